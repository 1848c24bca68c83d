#include "bench/http_pool.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <utility>

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

http_failure FailureOf(const beast::error_code& error) {
  return error == beast::error::timeout ? http_failure::kTimeout
                                        : http_failure::kBroken;
}

}  // namespace

http_pool::stream_ptr http_pool::TakeIdle() {
  while (!idle_.empty()) {
    stream_ptr stream = std::move(idle_.back());
    idle_.pop_back();
    char byte = 0;
    const ssize_t size = recv(stream->socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    // An idle connection has nothing to read; end of file or unexpected data
    // means that the server is closing it.
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return stream;
  }
  return nullptr;
}

asio::awaitable<http_reply> http_pool::Send(http_request request,
                                            clock::time_point deadline) {
  if (in_use_ >= max_connections_) {
    http_reply reply;
    reply.failure = http_failure::kNotConnected;
    co_return reply;
  }
  ++in_use_;
  http_reply reply = co_await SendOnConnection(std::move(request), deadline);
  --in_use_;
  co_return reply;
}

asio::awaitable<http_reply> http_pool::SendOnConnection(
    http_request request, clock::time_point deadline) {
  http_reply reply;
  stream_ptr stream = TakeIdle();
  if (!stream) {
    stream = std::make_unique<beast::tcp_stream>(*context_);
    stream->expires_at(deadline);
    const auto [error] = co_await stream->async_connect(endpoint_, kNoThrow);
    if (error) {
      reply.failure = http_failure::kNotConnected;
      co_return reply;
    }
    beast::error_code ignored;
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }
  stream->expires_at(deadline);
  const auto [write_error, written] =
      co_await http::async_write(*stream, request, kNoThrow);
  if (write_error) {
    reply.failure = FailureOf(write_error);
    co_return reply;
  }
  beast::flat_buffer buffer;
  const auto [read_error, read] =
      co_await http::async_read(*stream, buffer, reply.response, kNoThrow);
  if (read_error) {
    reply.failure = FailureOf(read_error);
    co_return reply;
  }
  if (reply.response.keep_alive()) {
    stream->expires_never();
    idle_.push_back(std::move(stream));
  }
  co_return reply;
}

}  // namespace bilberrycourse
