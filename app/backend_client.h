#ifndef APP_BACKEND_CLIENT_H_
#define APP_BACKEND_CLIENT_H_

// Sends the attempts of POST /query to backend servers. The shard_dispatcher
// decides which connection to open and what to send on it; this adapter
// performs the I/O and reports the results.
//
//   backend_client client(executor, options, handler);
//   client.Open(connection_id{7}, "127.0.0.1:9000");
//   client.SendAttempt(connection_id{7}, attempt);
//
// A connection carries one attempt at a time. Cancellations use one separate
// connection to each backend server, opened on first use.

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "app/http_client.h"
#include "app/log_limiter.h"
#include "bilberrycourse/request_limit.h"
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
  stated_limit limit = {};
  // The time for which the backend server wants no further attempts.
  std::optional<duration> rest = {};
};

class backend_client_handler {
 public:
  virtual ~backend_client_handler() = default;
  virtual void OnBackendOpened(connection_id connection) = 0;
  // The connection failed to open (`was_open` is false then), broke, or was
  // closed because it can't carry another attempt.
  virtual void OnBackendClosed(connection_id connection, bool was_open) = 0;
  virtual void OnBackendReply(connection_id connection, attempt_id attempt,
                              const backend_reply& reply) = 0;
};

class backend_client : private http_client_handler {
 public:
  backend_client(boost::asio::any_io_executor executor,
                 const http_client_options& options,
                 backend_client_handler* handler);
  ~backend_client() override;

  void Open(connection_id connection, const std::string& address);
  // Closes without a report to the handler.
  void Close(connection_id connection);
  void SendAttempt(connection_id connection, const backend_attempt& attempt);
  void Cancel(const std::string& address, const std::string& wire_id);
  void CloseAll();
  std::size_t connections() const { return http_.connections(); }
  std::uint64_t limit_closes() const { return http_.limit_closes(); }
  std::uint64_t invalid_status_closes() const {
    return http_.invalid_status_closes();
  }

 private:
  struct open_connection {
    std::string address;
    std::optional<attempt_id> attempt;
  };
  class cancel_channel;

  void OnConnectionOpened(connection_id connection) override;
  void OnConnectionClosed(connection_id connection,
                          connection_end end) override;
  bool IsExpectedResponse(connection_id connection,
                          const client_response& response) override;
  void OnResponse(connection_id connection, client_response response,
                  bool keep_alive) override;

  void LogInvalidStatus(const std::string& address);

  boost::asio::any_io_executor executor_;
  backend_client_handler* handler_;
  log_limiter status_log_limiter_;
  std::map<connection_id, open_connection> open_connections_;
  std::map<std::string, std::shared_ptr<cancel_channel>> cancel_channels_;
  http_client http_;
};

}  // namespace bilberrycourse

#endif  // APP_BACKEND_CLIENT_H_
