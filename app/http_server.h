#ifndef APP_HTTP_SERVER_H_
#define APP_HTTP_SERVER_H_

// HTTP/1.1 server for callers, backend servers, operators and the platform.
//
//   http_server server(executor, options, [](http_request request,
//                                            http_responder respond) {
//     respond({.status = 200, .body = "{}"});
//   });
//   server.Listen();
//
// The handler must call the responder exactly once, either before it returns or
// later. A request that is not valid HTTP, too large or too slow gets a problem
// response with a numbered code before the connection is closed.
//
// Requests and answers on all connections share a memory budget. Beyond it, the
// connection that holds most gives its memory up (see memory_budget): a request
// that is still being read is refused as not run, an answer that its caller
// does not read is cut off. A request that has been handed to the handler
// stays.
//
// A request may have waited for a long time when its handler runs: this process
// may have been frozen, or a partition may have held up its bytes. Nothing in
// its bytes tells, so http_request::sent_after bounds its age. The bound is
// tight only if AcceptPending() is called often.

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/settings.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
  std::string method;
  // Path and query string as received.
  std::string target;
  std::string host;
  // All end-to-end headers as received, without hop-by-hop headers, Host and
  // Content-Length. Filled if http_server_options::keep_headers is set.
  header_list headers;
  // Time at which the first byte arrived.
  std::chrono::steady_clock::time_point received_at;
  // A time before the caller sent the request: for the first one on a
  // connection, the listen queue was empty then; for a later one, the answer to
  // the previous one had not been written. If bytes of a request arrive before
  // that answer, the request has the bound of the previous one; a pipelined
  // request that a partition holds up beyond that answer is taken for a newer
  // one. Filled if http_server_options::bound_send_times is set.
  time_point sent_after{};
  // True for the first request on a connection.
  bool first_on_connection = false;
  // Path without the query string.
  std::string path;
  // Query string without the question mark.
  std::string query;
  std::string body;
  std::string idempotency_key;
  std::string traceparent;
  std::string authorization;
  // All Authorization fields, also those that `headers` lacks because the
  // caller named them in Connection. Filled if keep_headers is set.
  std::vector<std::string> authorization_fields;
  // The handler may set a function, which is called if the caller closes its
  // connection before the response is sent.
  std::shared_ptr<std::function<void()>> on_disconnect;
};

struct http_response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  // Seconds, may be fractional; 0 omits the header.
  double retry_after = 0;
  // Headers to add. If `content_type` is empty, they may include Content-Type.
  header_list headers = {};
};

// Returns problem details (RFC 9457) with the number and name of `code` and the
// additional `members`.
http_response ProblemResponse(result_code code, std::string_view detail = {},
                              boost::json::object members = {});

using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
  socket_address listen;
  std::uint64_t max_request_bytes = 1 << 20;
  std::uint64_t max_connections = 10000;
  std::chrono::milliseconds read_timeout{10000};
  bool keep_headers = false;
  bool bound_send_times = false;
  std::uint32_t max_header_bytes = 8192;
  // A request may have this many bytes on the wire beyond the limits of its
  // head and body, for chunk framing and trailers.
  std::uint64_t max_framing_bytes = 1 << 20;
  // Memory for the requests and answers on all connections.
  std::uint64_t max_buffered_bytes = 256 << 20;
  // Time after accepting a connection for which StopAccepting() waits for its
  // first request.
  std::chrono::milliseconds first_request_timeout{300};
};

// A connection with a request that has not been answered in full.
struct unfinished_connection {
  // What the server waits for: `reading`, `handling`, `delivering`, or
  // `first_request` of a new connection in a shutdown.
  std::string_view state;
  // Of the current request, empty until it has been read.
  std::string target;
  // Time since its first byte; 0 without a byte.
  std::chrono::milliseconds age{0};
  // Bytes of the answer that the caller's system has not acknowledged.
  int unacknowledged_bytes = 0;
};

class http_server {
 public:
  http_server(boost::asio::any_io_executor executor,
              http_server_options options, http_handler handler);
  ~http_server();

  boost::leaf::result<void> Listen();
  // Accepts the connections in the listen queue. Needed only for a tight
  // http_request::sent_after: without it, the queue is known to be empty only
  // when the previous connection was accepted.
  void AcceptPending();
  // Adds `Connection: close` to all further responses. Called some time before
  // StopAccepting(), so that no connection is closed while its caller sends the
  // next request on it.
  void BeginDrain();
  // Stops accepting connections and closes idle ones. Requests whose first byte
  // has arrived are still answered, also those on connections that the system
  // has accepted but this class has not, and a caller that has just connected
  // may still send its first request for `first_request_timeout`.
  void StopAccepting();
  // Returns the number of connections with a request that is being read, runs
  // or is being answered, or whose first request is awaited in a shutdown. The
  // last answer on a connection is under way until the caller has closed it, or
  // has received nothing more for a second.
  std::size_t pending() const;
  // Returns the connections that pending() counts, `limit` of them at most.
  std::vector<unfinished_connection> Unfinished(std::size_t limit) const;
  // Memory in bytes of requests and answers, beyond the free bytes of each
  // connection.
  std::uint64_t buffered_bytes() const;
  // Returns how many requests and answers were given up for lack of memory.
  std::uint64_t memory_refusals() const;
  void Close();

 private:
  class impl;
  class session;
  std::shared_ptr<impl> impl_;
};

}  // namespace bilberrycourse

#endif  // APP_HTTP_SERVER_H_
