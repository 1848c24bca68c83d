#include "app/backend_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "app/testing/loopback.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// One connection from the client to a backend server that the test simulates.
class backend_client_test : public ::testing::Test,
                            public backend_client_handler {
 protected:
  static constexpr connection_id kConnection{3};
  static constexpr attempt_id kAttempt{11};

  void SetUp() override {
    client_ = std::make_unique<backend_client>(context_.get_executor(),
                                               http_client_options{}, this);
    const std::uint16_t port = acceptor_.local_endpoint().port();
    client_->Open(kConnection, "127.0.0.1:" + std::to_string(port));
    acceptor_.accept(socket_);
    ASSERT_TRUE(RunUntil([&] { return opened_ == 1; }));
    backend_attempt attempt;
    attempt.id = kAttempt;
    attempt.wire_id = "e1.1.11";
    attempt.version = index_version{4};
    attempt.remaining = std::chrono::milliseconds(250);
    attempt.body = std::make_shared<const std::string>("{}");
    client_->SendAttempt(kConnection, attempt);
  }

  void OnBackendOpened(connection_id) override { ++opened_; }
  void OnBackendClosed(connection_id, bool was_open) override {
    events_.push_back(was_open ? "closed" : "failed");
  }
  void OnBackendReply(connection_id, attempt_id attempt,
                      const backend_reply& reply) override {
    EXPECT_EQ(attempt, kAttempt);
    reply_ = reply;
    events_.emplace_back("reply");
    if (close_on_reply_) client_->Close(kConnection);
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return RunContextUntil(&context_, condition);
  }

  void Write(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }

  asio::io_context context_;
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket socket_{context_};
  std::unique_ptr<backend_client> client_;
  int opened_ = 0;
  bool close_on_reply_ = false;
  backend_reply reply_;
  std::vector<std::string> events_;
};

// Guards against losing a reply's version or its not-run header, which would
// mix versions or repeat an attempt that ran.
TEST_F(backend_client_test, Reply_FieldsAndBody_AreReported) {
  Write(
      "HTTP/1.1 503 Busy\r\nX-Snapshot: 4\r\nX-Not-Run: 1\r\n"
      "Content-Length: 2\r\n\r\n[]");
  ASSERT_TRUE(RunUntil([&] { return !events_.empty(); }));
  EXPECT_EQ(reply_.status, 503u);
  EXPECT_TRUE(reply_.not_run);
  EXPECT_EQ(reply_.version, index_version{4});
  EXPECT_EQ(*reply_.body, "[]");
  EXPECT_EQ(client_->connections(), 1u);
}

// Guards against missing the request limit that a searcher states.
TEST_F(backend_client_test, Reply_RequestLimit_IsReported) {
  Write(
      "HTTP/1.1 200 OK\r\nX-Snapshot: 4\r\nX-Request-Limit: 7.5\r\n"
      "Content-Length: 2\r\n\r\n[]");
  ASSERT_TRUE(RunUntil([&] { return !events_.empty(); }));
  EXPECT_EQ(reply_.limit.per_second, 7.5);
}

// Guards against the dispatcher reusing a connection that the backend server
// closes after the reply.
TEST_F(backend_client_test, Reply_ConnectionClose_IsReportedAsClosed) {
  Write(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Snapshot: 4\r\n"
      "Content-Length: 2\r\n\r\n[]");
  ASSERT_TRUE(RunUntil([&] { return events_.size() == 2; }));
  EXPECT_EQ(events_, (std::vector<std::string>{"reply", "closed"}));
  EXPECT_EQ(client_->connections(), 0u);
}

// Guards against reporting a close to a dispatcher that closed the connection
// itself while it handled the reply.
TEST_F(backend_client_test, Reply_HandlerCloses_IsNotReportedAgain) {
  close_on_reply_ = true;
  Write(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Snapshot: 4\r\n"
      "Content-Length: 2\r\n\r\n[]");
  ASSERT_TRUE(RunUntil([&] { return !events_.empty(); }));
  context_.restart();
  context_.run_for(std::chrono::milliseconds(20));
  EXPECT_EQ(events_, std::vector<std::string>{"reply"});
}

// Guards against a reply with a status that HTTP does not have that counts as a
// lost connection, which would condemn the content of the request, or that
// leaves the connection open.
TEST_F(backend_client_test, Reply_StatusOutsideHttp_IsFailureAndClose) {
  Write(
      "HTTP/1.1 600 X\r\nX-Snapshot: 4\r\nX-Not-Run: 1\r\n"
      "Content-Length: 2\r\n\r\n[]");
  ASSERT_TRUE(RunUntil([&] { return events_.size() == 2; }));
  EXPECT_EQ(events_, (std::vector<std::string>{"reply", "closed"}));
  EXPECT_EQ(reply_.status, 502u);
  EXPECT_FALSE(reply_.not_run);
  EXPECT_EQ(client_->connections(), 0u);
}

// Guards against an attempt that waits for its deadline although its connection
// has failed.
TEST_F(backend_client_test, Connection_Broken_IsReported) {
  socket_.close();
  ASSERT_TRUE(RunUntil([&] { return !events_.empty(); }));
  EXPECT_EQ(events_, std::vector<std::string>{"closed"});
}

}  // namespace
}  // namespace bilberrycourse
