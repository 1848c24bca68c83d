#ifndef APP_BACKEND_CLIENT_H_
#define APP_BACKEND_CLIENT_H_

// HTTP/1.1 keep-alive connections to backend servers. The shard_dispatcher
// decides which connection to open and what to send on it; this adapter only
// carries that out and reports what happened.
//
//   backend_client client(executor, options, handler);
//   client.Open(connection_id{7}, "127.0.0.1:9000");
//   client.SendAttempt(connection_id{7}, attempt);
//
// One attempt runs on a connection at a time. Cancellations travel on one
// separate connection for each backend server, opened on first use.

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct backend_attempt {
  attempt_id id{};
  // Unique over all instances: instance name, incarnation and attempt number.
  std::string wire_id;
  index_version version{};
  std::chrono::milliseconds remaining{0};
  std::string traceparent;
  shared_body body;
};

struct backend_reply {
  unsigned status = 0;
  // True if the backend server states that it did not run the attempt.
  bool not_run = false;
  index_version version{};
  shared_body body;
};

class backend_client_handler {
 public:
  virtual ~backend_client_handler() = default;
  virtual void OnBackendOpened(connection_id connection) = 0;
  // The connection failed to open, or was closed by either side.
  virtual void OnBackendClosed(connection_id connection, bool was_open) = 0;
  virtual void OnBackendReply(connection_id connection, attempt_id attempt,
                              const backend_reply& reply) = 0;
};

struct backend_client_options {
  std::chrono::milliseconds connect_timeout{1000};
  std::uint64_t max_reply_bytes = 16 << 20;
};

class backend_client {
 public:
  backend_client(boost::asio::any_io_executor executor,
                 backend_client_options options,
                 backend_client_handler* handler);
  ~backend_client();

  void Open(connection_id connection, const std::string& address);
  // Closes without a report to the handler.
  void Close(connection_id connection);
  void SendAttempt(connection_id connection, const backend_attempt& attempt);
  void Cancel(const std::string& address, const std::string& wire_id);
  void CloseAll();
  std::size_t connections() const;

 private:
  class impl;
  class connection;
  class cancel_channel;
  std::shared_ptr<impl> impl_;
};

}  // namespace bilberrycourse

#endif  // APP_BACKEND_CLIENT_H_
