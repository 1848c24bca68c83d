#ifndef BENCH_HTTP_POOL_H_
#define BENCH_HTTP_POOL_H_

// Pool of keep-alive HTTP connections to one address.
//
//   http_pool pool(endpoint, max_connections, &context);
//   auto reply = co_await pool.Send(std::move(request), deadline);
//
// Not thread-safe: must be used on the thread of the io_context only.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "bench/endpoint.h"

namespace bilberrycourse {

enum class http_failure : std::uint8_t {
  kNone,
  // No connection was available; nothing was sent.
  kNotConnected,
  // The connection failed before the answer was complete.
  kBroken,
  kTimeout,
};

struct http_reply {
  http_failure failure = http_failure::kNone;
  boost::beast::http::response<boost::beast::http::string_body> response;
};

class http_pool {
 public:
  using clock = std::chrono::steady_clock;
  using http_request =
      boost::beast::http::request<boost::beast::http::string_body>;

  // While `max_connections` requests are in flight, further ones fail
  // immediately with kNotConnected.
  http_pool(const tcp_endpoint& endpoint, std::size_t max_connections,
            boost::asio::io_context* context)
      : endpoint_(endpoint),
        max_connections_(max_connections),
        context_(context) {}

  boost::asio::awaitable<http_reply> Send(http_request request,
                                          clock::time_point deadline);

 private:
  using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

  // Returns an idle connection that the peer has not closed, or null.
  stream_ptr TakeIdle();

  // Sends on an idle connection, or on a new one if there is none.
  boost::asio::awaitable<http_reply> SendOnConnection(
      http_request request, clock::time_point deadline);

  tcp_endpoint endpoint_;
  const std::size_t max_connections_;
  boost::asio::io_context* context_;
  std::size_t in_use_ = 0;
  std::vector<stream_ptr> idle_;
};

}  // namespace bilberrycourse

#endif  // BENCH_HTTP_POOL_H_
