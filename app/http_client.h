#ifndef APP_HTTP_CLIENT_H_
#define APP_HTTP_CLIENT_H_

// Outgoing HTTP/1.1 keep-alive connections, one request at a time on each.
// The user of the class decides what to open and send: clients for specific
// servers build the requests and interpret the replies.
//
//   http_client client(executor, options, handler);
//   client.Open(connection, "10.0.0.7:8080");
//   client.Send(connection, std::move(request));
//
// A reply counts only if it is complete: a body without a length must end with
// an orderly close. A connection always has one read outstanding, so that a
// close by the server is also detected while the connection is idle.
// Unsolicited bytes close the connection.
//
// A reply with a status that HTTP does not have closes the connection with
// kInvalidStatus.
//
// A server in trouble may send bytes without end. Every form of it (head, body,
// chunk framing, trailers, interim and foreign replies) ends at a limit of
// http_client_options, which closes the connection with kReplyLimit. The user
// of the class limits the time.

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "app/settings.h"
#include "app/shared_string_body.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

using client_request = boost::beast::http::request<shared_string_body>;
using client_response =
    boost::beast::http::response<boost::beast::http::string_body>;

// Receives the events of all connections, on the client's executor. A handler
// may open, close and use connections during any of its calls.
class http_client_handler {
 public:
  virtual ~http_client_handler() = default;
  virtual void OnConnectionOpened(connection_id connection) = 0;
  // The connection failed to open, broke or exceeded a limit; it is gone.
  virtual void OnConnectionClosed(connection_id connection,
                                  connection_end end) = 0;
  // Returns true if `response` belongs to the outstanding request. Otherwise it
  // is dropped, and the connection reads the next one.
  virtual bool IsExpectedResponse(connection_id connection,
                                  const client_response& response) = 0;
  // The connection can carry another request if `keep_alive`; otherwise it
  // stays until Close().
  virtual void OnResponse(connection_id connection, client_response response,
                          bool keep_alive) = 0;
};

struct http_client_options {
  std::chrono::milliseconds connect_timeout{400};
  std::uint32_t max_head_bytes = 8192;
  // Body of one reply.
  std::uint64_t max_reply_bytes = 4 << 20;
  // All bytes received for one request. The excess over `max_reply_bytes` is
  // for heads, chunk framing and replies to other requests.
  std::uint64_t max_exchange_bytes = 6 << 20;
  // Interim replies and replies to other requests before the expected one. A
  // searcher sends at most a few.
  std::uint32_t max_skipped_replies = 16;
  // Memory for the replies on all connections. Beyond it, the connection that
  // holds most is closed.
  std::uint64_t max_buffered_bytes = 32 << 20;
};

// Returns options with the limits of [limits].
http_client_options ClientOptions(const settings& config,
                                  std::chrono::milliseconds connect_timeout);

class http_client {
 public:
  http_client(boost::asio::any_io_executor executor,
              const http_client_options& options, http_client_handler* handler);
  ~http_client();

  void Open(connection_id connection, const std::string& address);
  // Closes without a report to the handler.
  void Close(connection_id connection);
  // The connection must be open and have no outstanding request.
  void Send(connection_id connection, client_request request);
  void CloseAll();
  std::size_t connections() const;
  // Returns how many connections were closed because of a limit.
  std::uint64_t limit_closes() const;
  // Returns how many connections were closed because of a reply's status.
  std::uint64_t invalid_status_closes() const;
  // Memory in bytes of the replies that are being read.
  std::uint64_t buffered_bytes() const;

 private:
  class impl;
  class connection;
  std::shared_ptr<impl> impl_;
};

}  // namespace bilberrycourse

#endif  // APP_HTTP_CLIENT_H_
