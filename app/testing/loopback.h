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
#include <random>

namespace bilberrycourse {

// Returns a port on which a test can listen. It lies below the range from which
// the system takes the ports of outgoing connections: one of another program
// could otherwise take it before the test does.
inline std::uint16_t FreePort() {
  constexpr int kFirstPort = 10000;
  constexpr int kLastPort = 32000;
  constexpr int kTries = 1000;
  static std::mt19937 random{std::random_device()()};
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  boost::asio::io_context context;
  for (int i = 0; i < kTries; ++i) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            boost::asio::ip::tcp::v4());
    boost::system::error_code error;
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) return port;
  }
  return 0;
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
