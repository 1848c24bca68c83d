#ifndef APP_TESTING_LOOPBACK_H_
#define APP_TESTING_LOOPBACK_H_

// Helpers for tests that use loopback sockets.
//
//   const std::uint16_t port = FreePort();
//   ASSERT_TRUE(RunContextUntil(&context, [&] { return done; }));

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>

namespace bilberrycourse {

inline std::uint16_t FreePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

// Runs `context` until `condition` returns true. Returns false after 20
// seconds. `before_run` is called before each run of the context.
template <typename Condition, typename Callback>
bool RunContextUntil(boost::asio::io_context* context, Condition condition,
                     Callback before_run) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    before_run();
    context->restart();
    context->run_for(std::chrono::milliseconds(5));
  }
  return true;
}

template <typename Condition>
bool RunContextUntil(boost::asio::io_context* context, Condition condition) {
  return RunContextUntil(context, condition, [] {});
}

}  // namespace bilberrycourse

#endif  // APP_TESTING_LOOPBACK_H_
