#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/route_gateway.h"
#include "app/testing/loopback.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kDocument[] = R"({"version":1,"routes":[
  {"name":"order","host":"h.example","pathPrefix":"/order/",
   "routeType":"non_idempotent","timeoutMs":5000,"targetLatencyMs":2000,
   "backend":"desk","maxAttempts":2}],
  "services":[{"name":"desk","healthPath":"/health","maxConnections":10}]})";

constexpr std::uint64_t kMemoryMb = 32;

// An entry instance with its links to peers.
class relay_node : public peer_transport_handler {
 public:
  relay_node(asio::io_context* context, const instance_name& name,
             const edge_protocol* protocol, std::uint16_t searcher_port) {
    config_.strict_revocation = true;
    config_.name = name;
    config_.zone = "a";
    config_.entry = true;
    config_.memory_mb = kMemoryMb;
    peer_transport_options options;
    options.self = name;
    options.listen = {"127.0.0.1", FreePort()};
    options.shared_key = "key";
    address = options.listen.ToText();
    transport = std::make_unique<peer_transport>(context->get_executor(),
                                                 options, this);
    EXPECT_TRUE(transport->Listen());
    gateway = std::make_unique<route_gateway>(context->get_executor(), config_,
                                              protocol, transport.get(),
                                              &metrics_, [] {});
    route_update update;
    update.routes = {1, kDocument};
    searcher_record searcher;
    searcher.report.id = "i1";
    searcher.report.service = "desk";
    searcher.report.address = "127.0.0.1:" + std::to_string(searcher_port);
    searcher.report.slots = 2;
    searcher.revision = 1;
    update.revision = 1;
    update.searchers = {searcher};
    gateway->OnRouteUpdate(update, Now());
  }

  void OnPeerConnected(const instance_name& peer) override {
    gateway->OnPeerConnected(peer);
    gateway->SetRelayChecksAccounts(peer, peers_check_accounts);
    gateway->OnRelayState(peer, true, false, Now());
  }

  // Puts the account `shop` in force, which has this key.
  void SetKey(const std::string& key) {
    std::string document = kDocument;
    document.insert(document.size() - 1,
                    R"(,"tenants":[{"name":"shop","priority":7,"apiKeys":[")" +
                        key + R"("]}])");
    route_update update;
    update.routes = {2, document};
    update.base_revision = update.revision = 1;
    gateway->OnRouteUpdate(update, Now());
    lease.OnConfirmed(Now(), duration{0}, 0);
    gateway->SetRouteLease(&lease);
  }
  void OnPeerDisconnected(const instance_name& peer) override {
    gateway->OnPeerDisconnected(peer, Now());
  }
  void OnPeerFrame(const instance_name& peer,
                   const wire::peer_frame& frame) override {
    if (const auto* request = frame.payload_as_relay_request()) {
      relay_ids.push_back(request->relay_id());
      priority = request->priority();
    }
    if (const auto* result = frame.payload_as_relay_result()) {
      results.emplace_back();
      result->UnPackTo(&results.back());
    }
    gateway->OnPeerFrame(peer, frame, Now());
  }

  std::string address;
  std::unique_ptr<peer_transport> transport;
  std::unique_ptr<route_gateway> gateway;
  // Of the requests that other instances have sent.
  std::vector<std::uint64_t> relay_ids;
  std::vector<wire::relay_resultT> results;
  // Of the latest of them.
  std::uint32_t priority = 0;
  control_lease lease;
  bool peers_check_accounts = true;

 private:
  settings config_;
  metrics metrics_;
};

// The origin cannot reach the searcher, which the relay reaches.
class route_relay_test : public ::testing::Test {
 protected:
  void SetUp() override { StartOrigin(); }

  // Starts the origin's process, or a new one of the same name.
  void StartOrigin() {
    // Nothing listens on the port that the origin is given.
    origin_ = std::make_unique<relay_node>(&context_, "e1", protocol_.get(),
                                           FreePort());
    if (relay_ == nullptr) {
      relay_ = std::make_unique<relay_node>(&context_, "e2", protocol_.get(),
                                            acceptor_.local_endpoint().port());
    }
    origin_->gateway->SetEntryInstances(
        {{"e1", origin_->address, "a"}, {"e2", relay_->address, "a"}}, Now());
    origin_->transport->Dial(relay_->address);
    ASSERT_TRUE(RunUntil([&] { return origin_->transport->Connected("e2"); }));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return RunContextUntil(&context_, condition, [this] {
      origin_->gateway->Tick(Now());
      relay_->gateway->Tick(Now());
    });
  }

  void Request() {
    http_request request;
    request.method = "POST";
    request.target = "/order/7?x=1";
    request.path = "/order/7";
    request.host = "h.example";
    request.headers = {
        {"X-Request-Id", "r1"}, {"X-Deadline-Ms", "4000"}, {"X-Extra", "kept"}};
    request.authorization_fields = {"Bearer k1"};
    request.body = "question";
    request.on_disconnect = std::make_shared<std::function<void()>>();
    disconnect_ = request.on_disconnect;
    request.received_at = std::chrono::steady_clock::now();
    origin_->gateway->Handle(std::move(request), [this](http_response got) {
      response_ = std::make_unique<http_response>(std::move(got));
    });
  }

  // Accepts the relay's connection and reads the whole request.
  std::string AcceptRequest() {
    acceptor_.accept(searcher_);
    std::string received;
    EXPECT_TRUE(RunUntil([&] {
      char buffer[4096];
      if (searcher_.available() > 0) {
        received.append(buffer, searcher_.read_some(asio::buffer(buffer)));
      }
      return received.find("question") != std::string::npos;
    }));
    return received;
  }

  asio::io_context context_;
  std::unique_ptr<edge_protocol> protocol_ = MakePlatformProtocol();
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  std::unique_ptr<relay_node> origin_;
  std::unique_ptr<relay_node> relay_;
  tcp::socket searcher_{context_};
  std::shared_ptr<std::function<void()>> disconnect_;
  std::unique_ptr<http_response> response_;
};

// Guards against a request or a reply that another instance changes on its way.
TEST_F(route_relay_test, Handle_SearcherUnreachable_RelayForwardsUnchanged) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 1; }));
  const std::string received = AcceptRequest();
  EXPECT_TRUE(received.starts_with("POST /order/7?x=1 HTTP/1.1\r\n"));
  EXPECT_NE(received.find("X-Request-Id: r1\r\n"), std::string::npos);
  EXPECT_NE(received.find("X-Expected-Instance: i1\r\n"), std::string::npos);
  EXPECT_NE(received.find("X-Extra: kept\r\n"), std::string::npos);
  asio::write(searcher_, asio::buffer(std::string(
                             "HTTP/1.1 409 X\r\nX-Server-Stamp: s\r\n"
                             "X-Request-Id: r1\r\nContent-Type: a/b\r\n"
                             "Content-Length: 4\r\n\r\nbody")));
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 409u);
  EXPECT_EQ(response_->body, "body");
  EXPECT_NE(
      std::find(response_->headers.begin(), response_->headers.end(),
                std::pair<std::string, std::string>("X-Server-Stamp", "s")),
      response_->headers.end());
  EXPECT_EQ(origin_->gateway->in_flight(), 0u);
  EXPECT_EQ(relay_->gateway->in_flight(), 0u);
}

// Guards against a key, or an account of the caller's invention, that reaches a
// searcher through a relay.
TEST_F(route_relay_test, Handle_KeyValidOnBoth_RelaySendsAccount) {
  origin_->SetKey("k1");
  relay_->SetKey("k1");
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 1; }));
  const std::string received = AcceptRequest();
  EXPECT_NE(received.find("X-Tenant: shop\r\n"), std::string::npos);
  EXPECT_EQ(relay_->priority, 7u);
  EXPECT_EQ(received.find("k1"), std::string::npos);
}

// Guards against a relay that runs a request whose key its own configuration
// lacks, and against a request with a key to a relay that would not check it.
TEST_F(route_relay_test, Handle_RelayWouldNotRun_IsRefusedAsNotRun) {
  origin_->SetKey("k1");
  relay_->SetKey("k2");
  Request();
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 503u);
  EXPECT_EQ(relay_->relay_ids.size(), 1u);
  response_.reset();
  relay_->SetKey("k1");
  origin_->gateway->SetRelayChecksAccounts("e2", false);
  Request();
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 503u);
  EXPECT_EQ(relay_->relay_ids.size(), 1u);
  EXPECT_EQ(relay_->gateway->in_flight(), 0u);
}

// Guards against a reply that is cut in its head while another instance waits
// for it, and reaches the caller as a whole one.
TEST_F(route_relay_test, Handle_ReplyCutInHead_OutcomeIsUnknown) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 1; }));
  AcceptRequest();
  asio::write(searcher_, asio::buffer(std::string(
                             "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                             "X-Request-Id: r1\r\nContent-Le")));
  searcher_.close();
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 502u);
}

// Guards against a searcher that works on after the caller has left the origin.
TEST_F(route_relay_test, Handle_CallerLeaves_RelayClosesConnection) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 1; }));
  AcceptRequest();
  (*disconnect_)();
  EXPECT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 0; }));
  boost::system::error_code error;
  char byte = 0;
  searcher_.read_some(asio::buffer(&byte, 1), error);
  EXPECT_TRUE(error);
}

// Answers the origin's request with this id as if its searcher had answered
// with `status`.
wire::peer_frameT MakeResult(std::uint64_t relay_id, unsigned status = 200) {
  wire::relay_resultT result;
  result.relay_id = relay_id;
  result.answered = {0};
  result.stamps = {"s"};
  result.reply = std::make_unique<wire::forwarded_replyT>();
  result.reply->status = status;
  result.reply->stamp = "s";
  result.final = true;
  return MakeFrame(std::move(result));
}

// Guards against answers to the process before that are taken for answers to
// this one (review/2: callers got parts of other requests).
TEST_F(route_relay_test, Handle_OriginRestarted_IdsAreNotUsedAgain) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->relay_ids.size() == 1; }));
  const std::uint64_t former = relay_->relay_ids.front();
  StartOrigin();
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->relay_ids.size() == 2; }));
  EXPECT_NE(relay_->relay_ids.back(), former);
  relay_->transport->Send("e1", MakeResult(former));
  relay_->transport->Send("e1", MakeResult(1));
  EXPECT_FALSE(
      RunContextUntil(&context_,
                      [&, end = Now() + std::chrono::milliseconds(100)] {
                        return response_ != nullptr || Now() > end;
                      }) &&
      response_ != nullptr);
  relay_->transport->Send("e1", MakeResult(relay_->relay_ids.back()));
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 200u);
}

// Guards against a status that HTTP does not have that reaches the caller from
// a relay of an older build.
TEST_F(route_relay_test, OnPeerFrame_StatusOutsideHttp_OutcomeIsUnknown) {
  for (const unsigned status : {0U, 101U, 600U, 70000U}) {
    response_.reset();
    const std::size_t former = relay_->relay_ids.size();
    Request();
    ASSERT_TRUE(RunUntil([&] { return relay_->relay_ids.size() > former; }));
    relay_->transport->Send("e1", MakeResult(relay_->relay_ids.back(), status));
    ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
    EXPECT_EQ(response_->status, 502u) << status;
  }
}

// Guards against a result of an instance that was not asked.
TEST_F(route_relay_test, OnPeerFrame_ResultOfAnotherPeer_IsIgnored) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->relay_ids.size() == 1; }));
  const wire::peer_frameT result = MakeResult(relay_->relay_ids.front());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::peer_frame::Pack(builder, &result));
  const auto* frame =
      flatbuffers::GetRoot<wire::peer_frame>(builder.GetBufferPointer());
  origin_->gateway->OnPeerFrame("e3", *frame, Now());
  EXPECT_EQ(response_, nullptr);
  origin_->gateway->OnPeerFrame("e2", *frame, Now());
  ASSERT_NE(response_, nullptr);
  EXPECT_EQ(response_->status, 200u);
}

// Guards against requests of several origins that together take all memory of
// their relay.
TEST_F(route_relay_test, OnPeerFrame_RequestsBeyondMemory_AreNotRun) {
  constexpr std::uint64_t kRequests = 8;
  wire::relay_requestT request;
  request.route = "order";
  request.method = "POST";
  request.target = "/order/7";
  request.host = "h.example";
  request.shards = {"desk"};
  request.single = true;
  request.max_attempts = 1;
  request.objective_us = request.answer_in_us = request.time_left_us =
      4'000'000;
  request.body.resize(1 << 20);
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    request.relay_id = i + 1;
    origin_->transport->Send("e2", MakeFrame(request));
  }
  request.relay_id = kRequests + 1;
  request.body.resize(100);
  origin_->transport->Send("e2", MakeFrame(request));
  ASSERT_TRUE(RunUntil([&] { return relay_->relay_ids.size() > kRequests; }));
  const std::size_t memory = kMemoryMb << 20;
  EXPECT_LT(relay_->gateway->relayed_in_flight() << 20, memory / 4);
  EXPECT_GT(relay_->gateway->relayed_in_flight(), 1u);
  ASSERT_TRUE(RunUntil([&] {
    return origin_->results.size() + relay_->gateway->relayed_in_flight() ==
           kRequests + 1;
  }));
  ASSERT_FALSE(origin_->results.empty());
  for (const wire::relay_resultT& result : origin_->results) {
    EXPECT_LE(result.relay_id, kRequests);
    EXPECT_TRUE(result.final);
    EXPECT_EQ(result.codes, std::vector<std::uint16_t>{201});
    EXPECT_EQ(result.not_run, std::vector<bool>{true});
  }
}

// Guards against `not run` or a second run after the relay is lost.
TEST_F(route_relay_test, Handle_RelayLost_OutcomeIsUnknown) {
  Request();
  ASSERT_TRUE(RunUntil([&] { return relay_->gateway->in_flight() == 1; }));
  AcceptRequest();
  relay_->transport->Close();
  ASSERT_TRUE(RunUntil([&] { return response_ != nullptr; }));
  EXPECT_EQ(response_->status, 502u);
}

}  // namespace
}  // namespace bilberrycourse
