#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "app/daemon_clock.h"
#include "app/route_gateway.h"
#include "app/testing/loopback.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kShards = 12;
// A searcher's reply may have a head of 8 KB, so 12 signatures of this size
// exceed the 64 KB that a header field of Beast may have.
constexpr std::size_t kLongStampBytes = 7000;

// A gateway behind an HTTP server, and one server that answers as the searcher
// of all shards and of a single service. What a handler throws leaves the
// io_context, as it does in the process.
class route_gateway_exception_test : public ::testing::Test,
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
    options.listen = {"127.0.0.1", FreePort()};
    searcher_ = std::make_unique<http_server>(
        context_.get_executor(), options,
        [this](http_request request, http_responder respond) {
          received_.push_back(request.method + ":" + request.body);
          respond(SearcherReply(request));
        });
    ASSERT_TRUE(searcher_->Listen());
    route_update update;
    update.routes = {1, Document()};
    for (int i = 0; i <= kShards; ++i) {
      searcher_record record;
      record.report.id = "i" + std::to_string(i);
      record.report.service = "s" + std::to_string(i);
      record.report.address = options.listen.ToText();
      record.report.slots = 2;
      record.revision = 1;
      update.searchers.push_back(record);
    }
    update.revision = 1;
    gateway_->OnRouteUpdate(update, Now());
  }

  static std::string Document() {
    std::string services;
    std::string shards;
    for (int i = 0; i <= kShards; ++i) {
      const std::string name = "\"s" + std::to_string(i) + "\"";
      services += (i > 0 ? "," : "") + std::string("{\"name\":") + name +
                  R"(,"healthPath":"/h","maxConnections":10})";
      if (i > 0) shards += (i > 1 ? "," : "") + name;
    }
    return R"({"version":1,"routes":[{"name":"look","host":"h.example",)"
           R"("pathPrefix":"/look/","routeType":"idempotent",)"
           R"("timeoutMs":5000,"targetLatencyMs":3000,"backend":"s0",)"
           R"("maxAttempts":1},{"name":"all","host":"h.example",)"
           R"("pathPrefix":"/all/","routeType":"idempotent",)"
           R"("timeoutMs":5000,"targetLatencyMs":3000,"gather":[)" +
           shards +
           R"(],"topK":3,"minCoverage":0.5,"maxAttempts":1}],"services":[)" +
           services + "]}";
  }

  http_response SearcherReply(const http_request& request) {
    http_response reply{200, "text/plain", "0123456789abcdef"};
    for (const auto& [name, value] : request.headers) {
      if (name == "X-Request-Id") reply.headers.emplace_back(name, value);
    }
    reply.headers.emplace_back("X-Server-Stamp", stamp_);
    return reply;
  }

  void OnPeerConnected(const instance_name&) override {}
  void OnPeerDisconnected(const instance_name&) override {}
  void OnPeerFrame(const instance_name&, const wire::peer_frame&) override {}

  // Sends `head` and `body` on a new connection and returns the answer.
  std::string Exchange(const std::string& request_line,
                       const std::string& body) {
    tcp::socket caller(context_);
    caller.connect(
        {asio::ip::make_address("127.0.0.1"), config_.caller_listen.port});
    const std::string request =
        request_line +
        " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
        "X-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::write(caller, asio::buffer(request));
    std::string answer;
    bool closed = false;
    EXPECT_TRUE(RunContextUntil(
        &context_,
        [&] {
          char buffer[4096];
          boost::system::error_code error;
          caller.non_blocking(true, error);
          while (!error) {
            answer.append(buffer,
                          caller.read_some(asio::buffer(buffer), error));
          }
          closed = error == asio::error::eof;
          return closed;
        },
        [this] { gateway_->Tick(Now()); }));
    return answer;
  }

  asio::io_context context_;
  settings config_;
  std::unique_ptr<edge_protocol> protocol_ = MakePlatformProtocol();
  metrics metrics_;
  std::unique_ptr<peer_transport> transport_;
  std::unique_ptr<route_gateway> gateway_;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<http_server> searcher_;
  std::string stamp_ = "s";
  std::vector<std::string> received_;
};

// Guards against a request that ends each instance it reaches: Beast refused to
// build a TRACE request with a body by an exception that nothing caught.
TEST_F(route_gateway_exception_test, Handle_TraceWithBody_IsForwarded) {
  const std::string answer = Exchange("TRACE /look/x", "abc");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_EQ(received_, (std::vector<std::string>{"TRACE:abc"}));
}

// Guards against searchers that end each instance that merges their replies:
// their signatures together exceeded the size of one header field, for which
// Beast throws.
TEST_F(route_gateway_exception_test, Handle_LongSignatures_AreAllReturned) {
  stamp_ = std::string(kLongStampBytes, 's');
  const std::string answer = Exchange("GET /all/x", "");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer.substr(0, 200);
  std::size_t stamps = 0;
  for (std::size_t at = answer.find(stamp_); at != std::string::npos;
       at = answer.find(stamp_, at + stamp_.size())) {
    ++stamps;
  }
  EXPECT_EQ(stamps, std::size_t{kShards});
}

// Guards against many header lines where one is enough.
TEST_F(route_gateway_exception_test, Handle_ShortSignatures_ShareOneLine) {
  const std::string answer = Exchange("GET /all/x", "");
  EXPECT_NE(
      answer.find("X-Part-Stamps: s, s, s, s, s, s, s, s, s, s, s, s\r\n"),
      std::string::npos)
      << answer;
}

}  // namespace
}  // namespace bilberrycourse
