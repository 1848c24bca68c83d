#ifndef APP_SEARCHER_CLIENT_H_
#define APP_SEARCHER_CLIENT_H_

// Forwards requests to searchers. The route_engine decides what to open and
// send; this adapter performs the I/O.
//
//   searcher_client client(executor, options, names, handler);
//   client.Open(connection, "10.0.0.7:8080");
//   client.Send(connection, request);
//
// A reply that carries the id of another request is dropped, and the
// connection continues reading.

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "app/edge_protocol.h"
#include "app/http_client.h"
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
  // End-to-end headers, except those that the tier sets itself.
  std::shared_ptr<const header_list> headers;
  shared_body body;
  std::string searcher;
  std::chrono::milliseconds remaining{0};
};

class searcher_client_handler {
 public:
  virtual ~searcher_client_handler() = default;
  virtual void OnSearcherOpened(connection_id connection) = 0;
  virtual void OnSearcherClosed(connection_id connection,
                                connection_end end) = 0;
  virtual void OnSearcherReply(connection_id connection,
                               searcher_reply_pointer reply, bool keep_alive,
                               std::optional<duration> idle_limit) = 0;
};

class searcher_client : private http_client_handler {
 public:
  searcher_client(boost::asio::any_io_executor executor,
                  const http_client_options& options, edge_headers names,
                  searcher_client_handler* handler);

  void Open(connection_id connection, const std::string& address);
  // Closes without a report to the handler.
  void Close(connection_id connection);
  void Send(connection_id connection, const forwarded_request& request);
  void CloseAll();
  std::size_t connections() const { return http_.connections(); }
  std::uint64_t limit_closes() const { return http_.limit_closes(); }
  std::uint64_t buffered_bytes() const { return http_.buffered_bytes(); }

 private:
  void OnConnectionOpened(connection_id connection) override;
  void OnConnectionClosed(connection_id connection,
                          connection_end end) override;
  bool IsExpectedResponse(connection_id connection,
                          const client_response& response) override;
  void OnResponse(connection_id connection, client_response response,
                  bool keep_alive) override;
  searcher_reply_pointer MakeReply(client_response* response) const;

  edge_headers names_;
  searcher_client_handler* handler_;
  // Id of the last request on each connection.
  std::unordered_map<connection_id, std::string> request_ids_;
  http_client http_;
};

}  // namespace bilberrycourse

#endif  // APP_SEARCHER_CLIENT_H_
