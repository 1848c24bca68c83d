#include "app/route_gateway.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "app/daemon_clock.h"
#include "app/testing/loopback.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kDocument[] = R"({"version":1,"routes":[
  {"name":"look","host":"h.example","pathPrefix":"/look/",
   "routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":500,
   "backend":"desk","maxAttempts":1}],
  "services":[{"name":"desk","healthPath":"/health","maxConnections":10}]})";

// A gateway behind an HTTP server, and a searcher that the test simulates.
class route_gateway_test : public ::testing::Test,
                           public peer_transport_handler {
 protected:
  void SetUp() override {
    config_.name = "e1";
    config_.zone = "a";
    config_.entry = true;
    config_.caller_listen = {"127.0.0.1", FreePort()};
    peer_transport_options peer_options;
    peer_options.self = "e1";
    peer_options.listen = {"127.0.0.1", FreePort()};
    transport_ = std::make_unique<peer_transport>(context_.get_executor(),
                                                  peer_options, this);
    gateway_ = std::make_unique<route_gateway>(
        context_.get_executor(), config_, protocol_.get(), transport_.get(),
        &metrics_, [] {});
    http_server_options options;
    options.listen = config_.caller_listen;
    options.keep_headers = true;
    server_ = std::make_unique<http_server>(
        context_.get_executor(), options,
        [this](http_request request, http_responder respond) {
          gateway_->Handle(std::move(request), std::move(respond));
        });
    ASSERT_TRUE(server_->Listen());
    route_update update;
    update.routes = {1, kDocument};
    searcher_record searcher;
    searcher.report.id = "i1";
    searcher.report.service = "desk";
    searcher.report.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    searcher.report.slots = 2;
    searcher.revision = 1;
    update.revision = 1;
    update.searchers = {searcher};
    gateway_->OnRouteUpdate(update, Now());
  }

  void OnPeerConnected(const instance_name&) override {}
  void OnPeerDisconnected(const instance_name&) override {}
  void OnPeerFrame(const instance_name&, const wire::peer_frame&) override {}

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return RunContextUntil(&context_, condition,
                           [this] { gateway_->Tick(Now()); });
  }

  void SendRequest(tcp::socket* caller, const std::string& deadline = "900",
                   const std::string& headers = {}) {
    caller->connect(
        {asio::ip::make_address("127.0.0.1"), config_.caller_listen.port});
    asio::write(*caller, asio::buffer("GET /look/x HTTP/1.1\r\nHost: "
                                      "h.example\r\nX-Request-Id: r1\r\n"
                                      "X-Deadline-Ms: " +
                                      deadline + "\r\n" + headers + "\r\n"));
  }

  void Accept(tcp::socket* searcher) {
    acceptor_.non_blocking(true);
    EXPECT_TRUE(RunUntil([&] {
      boost::system::error_code error;
      acceptor_.accept(*searcher, error);
      return !error;
    }));
  }

  // Replies with the status 600 to a request, and waits until its caller has
  // got 502 and the connection is closed.
  void ReplyWith600() {
    tcp::socket caller(context_);
    SendRequest(&caller);
    tcp::socket searcher(context_);
    Accept(&searcher);
    ReadUntil(&searcher, "\r\n\r\n");
    asio::write(searcher, asio::buffer(std::string(
                              "HTTP/1.1 600 X\r\nX-Server-Stamp: s\r\n"
                              "X-Request-Id: r1\r\n"
                              "Content-Length: 4\r\n\r\nbody")));
    ASSERT_TRUE(ReadUntil(&caller, "\r\n\r\n").starts_with("HTTP/1.1 502 "));
    searcher.non_blocking(true);
    ASSERT_TRUE(RunUntil([&] {
      boost::system::error_code error;
      char byte = 0;
      searcher.read_some(asio::buffer(&byte, 1), error);
      return error && error != asio::error::would_block;
    }));
  }

  // Reads until the bytes contain `end`.
  std::string ReadUntil(tcp::socket* from, const std::string& end) {
    std::string received;
    EXPECT_TRUE(RunUntil([&] {
      char buffer[1024];
      if (from->available() > 0) {
        received.append(buffer, from->read_some(asio::buffer(buffer)));
      }
      return received.find(end) != std::string::npos;
    }));
    return received;
  }

  asio::io_context context_;
  settings config_;
  std::unique_ptr<edge_protocol> protocol_ = MakePlatformProtocol();
  metrics metrics_;
  std::unique_ptr<peer_transport> transport_;
  std::unique_ptr<route_gateway> gateway_;
  std::unique_ptr<http_server> server_;
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
};

// Guards against a caller that closes only its sending side and gets no answer,
// although its request has run.
TEST_F(route_gateway_test, Handle_CallerClosesSendingSide_GetsAnswer) {
  tcp::socket caller(context_);
  SendRequest(&caller);
  ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }));
  caller.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(ReadUntil(&caller, "\r\n\r\n").starts_with("HTTP/1.1 502 "));
  EXPECT_TRUE(RunUntil([&] { return gateway_->in_flight() == 0; }));
  EXPECT_TRUE(RunUntil([&] { return server_->pending() == 0; }));
}

// Guards against a request that stays pending forever after its caller has
// disconnected. Its connection was never released, so that each shutdown waited
// for the whole grace period (soak seed 223: requests cut off at its end).
TEST_F(route_gateway_test, Handle_CallerDisconnects_ReleasesConnection) {
  tcp::socket caller(context_);
  SendRequest(&caller);
  ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }));
  EXPECT_EQ(server_->pending(), 1u);
  caller.close();
  EXPECT_TRUE(RunUntil([&] { return gateway_->in_flight() == 0; }));
  EXPECT_TRUE(RunUntil([&] { return server_->pending() == 0; }));
}

// Guards against changing a searcher's reply on its way to the caller.
TEST_F(route_gateway_test, Handle_SearcherAnswers_CallerGetsItsBytes) {
  tcp::socket caller(context_);
  SendRequest(&caller);
  ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }));
  tcp::socket searcher(context_);
  acceptor_.accept(searcher);
  const std::string received = ReadUntil(&searcher, "\r\n\r\n");
  EXPECT_NE(received.find("X-Expected-Instance: i1"), std::string::npos);
  asio::write(searcher, asio::buffer(std::string(
                            "HTTP/1.1 207 X\r\nX-Server-Stamp: s\r\n"
                            "X-Request-Id: r1\r\nContent-Type: a/b\r\n"
                            "Content-Length: 4\r\n\r\nbody")));
  const std::string answer = ReadUntil(&caller, "body");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 207 "));
  EXPECT_NE(answer.find("X-Server-Stamp: s\r\n"), std::string::npos);
  EXPECT_NE(answer.find("Content-Type: a/b\r\n"), std::string::npos);
}

// Guards against a status that HTTP does not have that reaches the caller, and
// against a searcher in trouble that nobody sees: each reply is counted, and
// the log lines about them are limited.
TEST_F(route_gateway_test, Handle_StatusOutsideHttp_IsFailureOfSearcher) {
  constexpr int kRequests = 12;
  ::testing::internal::CaptureStdout();
  for (int i = 0; i < kRequests && !HasFatalFailure(); ++i) ReplyWith600();
  const std::string log = ::testing::internal::GetCapturedStdout();
  ASSERT_FALSE(HasFailure()) << log;
  const std::string event = "\"event\":\"reply_status_invalid\"";
  int lines = 0;
  for (auto at = log.find(event); at != std::string::npos;
       at = log.find(event, at + 1)) {
    ++lines;
  }
  EXPECT_GE(lines, 1);
  EXPECT_LT(lines, kRequests);
  gateway_->UpdateMetrics();
  EXPECT_NE(metrics_.Text().find("bilberrycourse_route_invalid_replies 12"),
            std::string::npos);
}

// Guards against a request that waits without end for the final reply of a
// searcher that sends interim ones.
TEST_F(route_gateway_test, Handle_InterimRepliesOnly_EndsAtDeadline) {
  tcp::socket caller(context_);
  SendRequest(&caller, "200");
  tcp::socket searcher(context_);
  Accept(&searcher);
  ReadUntil(&searcher, "\r\n\r\n");
  asio::write(searcher,
              asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")));
  EXPECT_TRUE(ReadUntil(&caller, "\r\n\r\n").starts_with("HTTP/1.1 504 "));
}

// Guards against a deadline that overflows: the request was sent and answered
// 504 at once.
TEST_F(route_gateway_test, Handle_HugeDeadline_IsBounded) {
  for (const char* deadline :
       {"9223372036854775", "9223372036854776", "9223372036854775807",
        "9223372036854775808", "99999999999999999999999999"}) {
    tcp::socket caller(context_);
    SendRequest(&caller, deadline);
    ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }))
        << deadline;
    tcp::socket searcher(context_);
    acceptor_.accept(searcher);
    const std::string received = ReadUntil(&searcher, "\r\n\r\n");
    // The route's timeout of 1 s bounds what the searcher gets.
    EXPECT_NE(received.find("X-Deadline-Ms: 9"), std::string::npos) << received;
    asio::write(searcher,
                asio::buffer(std::string(
                    "HTTP/1.1 200 X\r\nX-Server-Stamp: s\r\nX-Request-Id: r1"
                    "\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
                    "body")));
    EXPECT_TRUE(ReadUntil(&caller, "body").starts_with("HTTP/1.1 200 "))
        << deadline;
  }
}

// Guards against requests to a searcher that leaves, while the control group,
// which would announce it, can't be reached.
TEST_F(route_gateway_test, Handle_SearcherHasSaidThatItLeaves_NotSent) {
  tcp::socket caller(context_);
  SendRequest(&caller);
  ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }));
  tcp::socket searcher(context_);
  acceptor_.accept(searcher);
  ReadUntil(&searcher, "\r\n\r\n");
  asio::write(searcher,
              asio::buffer(std::string(
                  "HTTP/1.1 200 X\r\nX-Server-Stamp: s\r\n"
                  "X-Request-Id: r1\r\nServer-Leaving: 1\r\n"
                  "Keep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nbody")));
  const std::string answer = ReadUntil(&caller, "body");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_NE(answer.find("Server-Leaving: 1\r\n"), std::string::npos);
  tcp::socket next(context_);
  SendRequest(&next);
  EXPECT_TRUE(ReadUntil(&next, "\r\n\r\n").starts_with("HTTP/1.1 503 "));
}

// Puts accounts in force, with routes that are known to be the newest.
constexpr char kAccounts[] = R"({"version":2,"routes":[
  {"name":"look","host":"h.example","pathPrefix":"/look/",
   "routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":500,
   "backend":"desk","maxAttempts":1}],
  "services":[{"name":"desk","maxConnections":10}],
  "tenants":[{"name":"shop","apiKeys":["the-key"]}]})";

// Guards against a searcher that gets a key, or an account's name that the
// caller has made up.
TEST_F(route_gateway_test, Handle_ValidKey_SearcherGetsAccountWithoutKey) {
  route_update update;
  update.routes = {2, kAccounts};
  update.base_revision = update.revision = 1;
  gateway_->OnRouteUpdate(update, Now());
  for (const char* connection :
       {"", "Connection: Authorization, X-Tenant\r\n"}) {
    tcp::socket caller(context_);
    SendRequest(&caller, "900",
                std::string(connection) + "authorization: bearer the-key\r\n" +
                    "x-tenant: forged\r\nX-Other: kept\r\n");
    ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 1; }));
    tcp::socket searcher(context_);
    acceptor_.accept(searcher);
    const std::string received = ReadUntil(&searcher, "\r\n\r\n");
    EXPECT_NE(received.find("X-Tenant: shop\r\n"), std::string::npos);
    EXPECT_NE(received.find("X-Other: kept\r\n"), std::string::npos);
    EXPECT_EQ(received.find("forged"), std::string::npos);
    EXPECT_EQ(received.find("the-key"), std::string::npos);
    caller.close();
    ASSERT_TRUE(RunUntil([&] { return gateway_->in_flight() == 0; }));
  }
}

// Guards against a 401 by routes that may be old, and against a key in the log
// or in an answer.
TEST_F(route_gateway_test, Handle_UnknownKey_IsRefusedByRecentRoutesOnly) {
  route_update update;
  update.routes = {2, kAccounts};
  update.base_revision = update.revision = 1;
  gateway_->OnRouteUpdate(update, Now());
  control_lease lease;
  gateway_->SetRouteLease(&lease);
  for (const char* status : {"HTTP/1.1 503 ", "HTTP/1.1 401 "}) {
    tcp::socket caller(context_);
    ::testing::internal::CaptureStdout();
    SendRequest(&caller, "900", "Authorization: Bearer other-key\r\n");
    const std::string answer = ReadUntil(&caller, "}");
    const std::string log = ::testing::internal::GetCapturedStdout();
    EXPECT_TRUE(answer.starts_with(status)) << answer;
    EXPECT_NE(answer.find(lease.Valid(Now()) ? "WWW-Authenticate: Bearer"
                                             : "Retry-After: "),
              std::string::npos);
    EXPECT_NE(log.find("request_refused"), std::string::npos);
    EXPECT_EQ((answer + log).find("other-key"), std::string::npos);
    lease.OnConfirmed(Now(), duration{0}, 0);
  }
}

// Guards against a log whose size is the product of instances and searchers
// when all instances restart: 68 entry instances wrote 53,129 lines in 250 ms
// (inc-d3fa).
TEST_F(route_gateway_test, OnRouteUpdate_FullList_LogsOneLine) {
  route_update update;
  update.revision = 60;
  for (std::uint64_t i = 2; i <= 60; ++i) {
    searcher_record searcher;
    searcher.report.id = "i" + std::to_string(i);
    searcher.report.service = "desk";
    searcher.report.address = "127.0.0.1:9";
    searcher.revision = i;
    update.searchers.push_back(searcher);
  }
  ::testing::internal::CaptureStdout();
  gateway_->OnRouteUpdate(update, Now());
  const std::string log = ::testing::internal::GetCapturedStdout();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1);
  EXPECT_NE(log.find("searchers_loaded"), std::string::npos);
  EXPECT_NE(log.find("\"searchers\":59"), std::string::npos);
}

}  // namespace
}  // namespace bilberrycourse
