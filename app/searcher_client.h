#ifndef APP_SEARCHER_CLIENT_H_
#define APP_SEARCHER_CLIENT_H_

// HTTP/1.1 keep-alive connections that forward requests to searchers. The
// route_engine decides what to open and send; this adapter carries it out.
//
//   searcher_client client(executor, options, names, handler);
//   client.Open(connection, "10.0.0.7:8080");
//   client.Send(connection, request);
//
// A reply counts only if it is complete: a body without a length must end with
// an orderly close. A reply that carries the id of another request is dropped,
// and the connection goes on reading. Bytes that no request asked for close
// the connection.

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "bilberrycourse/route_effects.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct forwarded_request {
  std::string method;
  // Path and query string as the caller sent them.
  std::string target;
  std::string host;
  std::string request_id;
  // End-to-end headers without those that the tier sets itself.
  std::shared_ptr<const header_list> headers;
  shared_body body;
  std::string searcher;
  std::chrono::milliseconds remaining{0};
};

class searcher_client_handler {
 public:
  virtual ~searcher_client_handler() = default;
  virtual void OnSearcherOpened(connection_id connection) = 0;
  virtual void OnSearcherClosed(connection_id connection) = 0;
  virtual void OnSearcherReply(connection_id connection,
                               searcher_reply_pointer reply, bool keep_alive,
                               std::optional<duration> idle_limit) = 0;
};

struct searcher_client_options {
  std::chrono::milliseconds connect_timeout{400};
  std::uint64_t max_reply_bytes = 4 << 20;
};

class searcher_client {
 public:
  searcher_client(boost::asio::any_io_executor executor,
                  searcher_client_options options, const edge_headers& names,
                  searcher_client_handler* handler);
  ~searcher_client();

  void Open(connection_id connection, const std::string& address);
  // Closes without a report to the handler.
  void Close(connection_id connection);
  void Send(connection_id connection, const forwarded_request& request);
  void CloseAll();
  std::size_t connections() const;

 private:
  class impl;
  class connection;
  std::shared_ptr<impl> impl_;
};

}  // namespace bilberrycourse

#endif  // APP_SEARCHER_CLIENT_H_
