#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "app/http_server.h"
#include "app/peer_transport.h"
#include "app/testing/loopback.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kShortageTime{400};
// Handlers that may run meanwhile: one for each retry of accept() and some for
// the connections themselves.
constexpr std::size_t kMaxHandlers = 50;

// A process without free descriptors, to which a connection is made.
class accept_shortage_test : public ::testing::Test,
                             public peer_transport_handler {
 protected:
  void SetUp() override {
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit_), 0);
    address_ = {"127.0.0.1", FreePort()};
  }
  void TearDown() override { EndShortage(); }

  void BeginShortage() {
    // The next descriptor is the lowest free one.
    const int lowest_free = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    ASSERT_GE(lowest_free, 0);
    ::close(lowest_free);
    rlimit shortage = limit_;
    shortage.rlim_cur = static_cast<rlim_t>(lowest_free);
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &shortage), 0);
  }

  void EndShortage() { ::setrlimit(RLIMIT_NOFILE, &limit_); }

  // Connects during a shortage and returns how many handlers ran in its time.
  std::size_t ConnectDuringShortage() {
    caller_.connect({asio::ip::make_address("127.0.0.1"), address_.port});
    BeginShortage();
    const std::size_t handlers = context_.run_for(kShortageTime);
    EndShortage();
    return handlers;
  }

  void OnPeerConnected(const instance_name&) override {}
  void OnPeerDisconnected(const instance_name&) override {}
  void OnPeerFrame(const instance_name&, const wire::peer_frame&) override {}

  rlimit limit_{};
  socket_address address_;
  asio::io_context context_;
  tcp::socket caller_{context_};
};

// Guards against a process that does nothing but repeat a failing accept() once
// its descriptors are used up, and against a listener that stays deaf.
TEST_F(accept_shortage_test, HttpServer_NoDescriptors_WaitsAndAcceptsLater) {
  http_server_options options;
  options.listen = address_;
  http_server server(context_.get_executor(), options,
                     [](const http_request&, const http_responder& respond) {
                       respond({200, "", "answer"});
                     });
  ASSERT_TRUE(server.Listen());
  EXPECT_LE(ConnectDuringShortage(), kMaxHandlers);
  caller_.send(asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  EXPECT_TRUE(
      RunContextUntil(&context_, [&] { return caller_.available() > 0; }));
}

// Guards as above on the links between instances.
TEST_F(accept_shortage_test, PeerTransport_NoDescriptors_WaitsAndAcceptsLater) {
  peer_transport_options options;
  options.self = "e1";
  options.listen = address_;
  peer_transport transport(context_.get_executor(), options, this);
  ASSERT_TRUE(transport.Listen());
  EXPECT_LE(ConnectDuringShortage(), kMaxHandlers);
  // A link that says nothing is closed after the handshake timeout.
  EXPECT_TRUE(RunContextUntil(
      &context_, [&] { return transport.counters().rejected_links > 0; }));
}

}  // namespace
}  // namespace bilberrycourse
