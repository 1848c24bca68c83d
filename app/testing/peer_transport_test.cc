#include "app/peer_transport.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "app/frames.h"
#include "app/testing/loopback.h"
#include "app/testing/silent_proxy.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kMaxBacklogBytes = 32 << 20;

class recording_handler : public peer_transport_handler {
 public:
  void OnPeerConnected(const instance_name& peer) override {
    connected.push_back(peer);
  }
  void OnPeerDisconnected(const instance_name& peer) override {
    disconnected.push_back(peer);
  }
  void OnPeerFrame(const instance_name& peer,
                   const wire::peer_frame& frame) override {
    if (const auto* gossip = frame.payload_as_gossip()) {
      frames.push_back(peer + ":" + ToText(gossip->payload()));
    }
  }

  std::vector<std::string> connected;
  std::vector<std::string> disconnected;
  std::vector<std::string> frames;
};

class peer_transport_test : public ::testing::Test {
 protected:
  struct node {
    recording_handler handler;
    std::unique_ptr<peer_transport> transport;
    std::string address;
  };

  std::unique_ptr<node> Start(
      const std::string& name, const std::string& key,
      std::chrono::milliseconds ping_period = std::chrono::milliseconds(0)) {
    auto new_node = std::make_unique<node>();
    peer_transport_options options;
    options.self = name;
    options.listen = {"127.0.0.1", FreePort()};
    options.shared_key = key;
    options.handshake_timeout = std::chrono::milliseconds(300);
    options.ping_period = ping_period;
    options.silence_timeout = 3 * ping_period;
    options.probe_timeout = std::chrono::milliseconds(150);
    options.max_backlog_bytes = kMaxBacklogBytes;
    new_node->address = options.listen.ToText();
    new_node->transport = std::make_unique<peer_transport>(
        context_.get_executor(), options, &new_node->handler);
    EXPECT_TRUE(new_node->transport->Listen());
    return new_node;
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return RunContextUntil(&context_, condition);
  }

  static wire::peer_frameT MakeTextFrame(const std::string& text) {
    wire::gossipT gossip;
    gossip.payload = ToBytes(text);
    return MakeFrame(std::move(gossip));
  }

  asio::io_context context_;
};

TEST_F(peer_transport_test, Dial_SameKey_CarriesFramesBothWays) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  a->transport->Dial(b->address);
  ASSERT_TRUE(RunUntil([&] {
    return a->transport->Connected("b") && b->transport->Connected("a");
  }));
  EXPECT_TRUE(a->transport->Send("b", MakeTextFrame("one")));
  EXPECT_TRUE(b->transport->Send("a", MakeTextFrame("two")));
  ASSERT_TRUE(RunUntil([&] {
    return a->handler.frames.size() == 1 && b->handler.frames.size() == 1;
  }));
  EXPECT_EQ(b->handler.frames[0], "a:one");
  EXPECT_EQ(a->handler.frames[0], "b:two");
}

// Guards against peers that do not read and whose queues, of which each keeps
// to its limit, together take all memory.
TEST_F(peer_transport_test, Send_QueuesTogetherTooLong_LongestIsClosed) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  auto c = Start("c", "a-long-shared-key");
  a->transport->Dial(b->address);
  a->transport->Dial(c->address);
  ASSERT_TRUE(RunUntil([&] {
    return a->transport->Connected("b") && a->transport->Connected("c");
  }));
  // No peer reads meanwhile, because all run in one context.
  const std::string text(1 << 20, 'x');
  for (int i = 0; i < 24; ++i) a->transport->Send("b", MakeTextFrame(text));
  for (int i = 0; i < 12; ++i) a->transport->Send("c", MakeTextFrame(text));
  EXPECT_LE(a->transport->backlog_bytes(), kMaxBacklogBytes);
  EXPECT_TRUE(RunUntil([&] { return c->handler.frames.size() == 12; }));
  EXPECT_EQ(a->handler.disconnected, std::vector<std::string>{"b"});
  EXPECT_EQ(a->transport->counters().backlog_closes, 1u);
  EXPECT_TRUE(RunUntil([&] { return a->transport->backlog_bytes() == 0; }));
}

// Guards against accepting a peer that does not know the shared key.
TEST_F(peer_transport_test, Dial_OtherKey_IsRejected) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "another-shared-key");
  a->transport->Dial(b->address);
  ASSERT_TRUE(
      RunUntil([&] { return b->transport->counters().rejected_links == 1; }));
  EXPECT_FALSE(a->transport->Connected("b"));
  EXPECT_FALSE(b->transport->Connected("a"));
  EXPECT_TRUE(b->handler.connected.empty());
}

// Guards against unauthenticated clients that hold connections by sending
// nothing or allocate memory by announcing a large frame.
TEST_F(peer_transport_test, Accept_SilentOrOversized_IsClosed) {
  auto a = Start("a", "a-long-shared-key");
  socket_address address;
  ASSERT_TRUE(ParseSocketAddress(a->address, &address));
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip),
                               address.port);
  tcp::socket silent(context_);
  silent.connect(endpoint);
  tcp::socket oversized(context_);
  oversized.connect(endpoint);
  const std::string length("\xff\xff\xff\x7f", 4);
  asio::write(oversized, asio::buffer(length));
  EXPECT_TRUE(
      RunUntil([&] { return a->transport->counters().rejected_links == 2; }));
}

// Guards against two instances that dial each other and end up using different
// links.
TEST_F(peer_transport_test, Dial_BothAtOnce_KeepsOneLink) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  a->transport->Dial(b->address);
  b->transport->Dial(a->address);
  ASSERT_TRUE(RunUntil([&] {
    return a->transport->Connected("b") && b->transport->Connected("a");
  }));
  context_.restart();
  context_.run_for(std::chrono::milliseconds(100));
  for (int i = 0; i < 10; ++i) {
    a->transport->Send("b", MakeTextFrame("ping"));
    b->transport->Send("a", MakeTextFrame("pong"));
  }
  ASSERT_TRUE(RunUntil([&] {
    return a->handler.frames.size() == 10 && b->handler.frames.size() == 10;
  }));
  EXPECT_EQ(a->handler.connected.size(), 1u);
  EXPECT_TRUE(a->handler.disconnected.empty());
  EXPECT_TRUE(b->handler.disconnected.empty());
}

// Guards against frames that are lost with the second of two links, without any
// notice that would let their sender repeat them: it is closed while the peer
// still uses it.
TEST_F(peer_transport_test, Dial_BothAtOnceWhileSending_NoFrameIsLost) {
  constexpr int kRounds = 30;
  constexpr std::size_t kFrames = 100;
  for (int round = 0; round < kRounds; ++round) {
    auto a = Start("a", "a-long-shared-key");
    auto b = Start("b", "a-long-shared-key");
    b->transport->Dial(a->address);
    // The second dial comes while the first link opens.
    for (int i = 0; i < round; ++i) context_.poll_one();
    a->transport->Dial(b->address);
    std::size_t sent_by_a = 0;
    std::size_t sent_by_b = 0;
    ASSERT_TRUE(RunUntil([&] {
      for (int i = 0; i < 5; ++i) {
        context_.restart();
        context_.poll_one();
        if (sent_by_a < kFrames) {
          sent_by_a += a->transport->Send("b", MakeTextFrame("x")) ? 1 : 0;
        }
        if (sent_by_b < kFrames) {
          sent_by_b += b->transport->Send("a", MakeTextFrame("x")) ? 1 : 0;
        }
      }
      return sent_by_a == kFrames && sent_by_b == kFrames;
    }));
    EXPECT_TRUE(RunContextUntil(&context_,
                                [&] {
                                  return (a->handler.frames.size() == kFrames &&
                                          b->handler.frames.size() ==
                                              kFrames) ||
                                         !a->handler.disconnected.empty();
                                }))
        << "round " << round << ": " << b->handler.frames.size() << " and "
        << a->handler.frames.size() << " of " << kFrames;
    EXPECT_EQ(a->handler.disconnected.size(), 0u);
    EXPECT_EQ(b->handler.disconnected.size(), 0u);
    if (HasFailure()) return;
  }
}

// Guards against using a link forever whose packets are lost without a reset.
// The peer here stops reading and answering, but keeps its socket open.
TEST_F(peer_transport_test, Ping_UnresponsivePeer_LinkIsClosed) {
  auto a = Start("a", "a-long-shared-key", std::chrono::milliseconds(50));
  asio::io_context other;
  recording_handler handler;
  peer_transport_options options;
  options.self = "b";
  options.listen = {"127.0.0.1", FreePort()};
  options.shared_key = "a-long-shared-key";
  peer_transport silent(other.get_executor(), options, &handler);
  ASSERT_TRUE(silent.Listen());
  a->transport->Dial(options.listen.ToText());
  ASSERT_TRUE(RunUntil([&] {
    other.restart();
    other.run_for(std::chrono::milliseconds(5));
    return a->transport->Connected("b") && silent.Connected("a");
  }));
  EXPECT_TRUE(RunUntil([&] { return !a->transport->Connected("b"); }));
}

// Guards against closing an idle link although both sides work.
TEST_F(peer_transport_test, Ping_IdlePeers_LinkStays) {
  auto a = Start("a", "a-long-shared-key", std::chrono::milliseconds(30));
  auto b = Start("b", "a-long-shared-key", std::chrono::milliseconds(30));
  a->transport->Dial(b->address);
  ASSERT_TRUE(RunUntil([&] { return b->transport->Connected("a"); }));
  context_.restart();
  context_.run_for(std::chrono::milliseconds(400));
  EXPECT_TRUE(a->transport->Connected("b"));
  EXPECT_TRUE(a->handler.disconnected.empty());
}

// Guards against a link without pings that is used forever although it has
// fallen silent, whichever side dialed it.
TEST_F(peer_transport_test, Probe_SilentLink_IsClosedByEitherSide) {
  for (const bool dialer_probes : {true, false}) {
    auto a = Start("a", "a-long-shared-key");
    auto b = Start("b", "a-long-shared-key");
    socket_address address;
    ASSERT_TRUE(ParseSocketAddress(b->address, &address));
    silent_proxy proxy(&context_, address.port);
    a->transport->Dial("127.0.0.1:" + std::to_string(proxy.port()));
    ASSERT_TRUE(RunUntil([&] {
      return a->transport->Connected("b") && b->transport->Connected("a");
    }));
    proxy.FallSilent();
    peer_transport* prober =
        dialer_probes ? a->transport.get() : b->transport.get();
    const std::string peer = dialer_probes ? "b" : "a";
    prober->Probe(peer);
    EXPECT_TRUE(RunUntil([&] { return !prober->Connected(peer); }));
    EXPECT_EQ(prober->counters().silent_links, 1u);
    a->transport->Close();
    b->transport->Close();
  }
}

// Guards against a peer whose process is a new one, or that has given up its
// link, and that still counts as the one before: what it had asked for must
// end.
TEST_F(peer_transport_test, Dial_AgainAfterSilence_OtherSideNotesLoss) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  socket_address address;
  ASSERT_TRUE(ParseSocketAddress(b->address, &address));
  silent_proxy proxy(&context_, address.port);
  const std::string dialed = "127.0.0.1:" + std::to_string(proxy.port());
  a->transport->Dial(dialed);
  ASSERT_TRUE(RunUntil([&] { return b->transport->Connected("a"); }));
  proxy.FallSilent();
  a->transport->Probe("b");
  ASSERT_TRUE(RunUntil([&] { return !a->transport->Connected("b"); }));
  EXPECT_TRUE(b->handler.disconnected.empty());
  a->transport->Dial(dialed);
  ASSERT_TRUE(RunUntil([&] { return b->handler.connected.size() == 2; }));
  EXPECT_EQ(b->handler.disconnected.size(), 1u);
  EXPECT_TRUE(b->transport->Send("a", MakeTextFrame("new")));
  EXPECT_TRUE(RunUntil([&] { return a->handler.frames.size() == 1; }));
}

// Guards against waiting for what was sent on a link that is dead, when another
// one to the same peer opens before that is noticed: no loss was reported.
TEST_F(peer_transport_test, Dial_OtherLinkSilent_BothSidesNoteLoss) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  socket_address address;
  ASSERT_TRUE(ParseSocketAddress(a->address, &address));
  silent_proxy proxy(&context_, address.port);
  b->transport->Dial("127.0.0.1:" + std::to_string(proxy.port()));
  ASSERT_TRUE(RunUntil([&] {
    return a->transport->Connected("b") && b->transport->Connected("a");
  }));
  proxy.FallSilent();
  EXPECT_TRUE(a->transport->Send("b", MakeTextFrame("lost")));
  a->transport->Dial(b->address);
  EXPECT_TRUE(RunUntil([&] {
    return a->handler.disconnected.size() == 1 &&
           b->handler.disconnected.size() == 1;
  }));
  EXPECT_EQ(a->handler.connected.size(), 2u);
  EXPECT_EQ(b->handler.connected.size(), 2u);
  EXPECT_TRUE(a->transport->Send("b", MakeTextFrame("new")));
  EXPECT_TRUE(RunUntil([&] { return b->handler.frames.size() == 1; }));
}

// Guards against closing a link whose peer answers.
TEST_F(peer_transport_test, Probe_PeerAnswers_LinkStays) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  a->transport->Dial(b->address);
  ASSERT_TRUE(RunUntil([&] {
    return a->transport->Connected("b") && b->transport->Connected("a");
  }));
  for (int i = 0; i < 3; ++i) {
    a->transport->Probe("b");
    b->transport->Probe("a");
    context_.restart();
    context_.run_for(std::chrono::milliseconds(200));
  }
  EXPECT_TRUE(a->transport->Connected("b"));
  EXPECT_TRUE(b->transport->Connected("a"));
  EXPECT_EQ(a->transport->counters().silent_links, 0u);
}

TEST_F(peer_transport_test, Close_OneSide_NotifiesOtherSide) {
  auto a = Start("a", "a-long-shared-key");
  auto b = Start("b", "a-long-shared-key");
  a->transport->Dial(b->address);
  ASSERT_TRUE(RunUntil([&] { return b->transport->Connected("a"); }));
  a->transport->Close();
  EXPECT_TRUE(RunUntil([&] { return b->handler.disconnected.size() == 1; }));
  EXPECT_FALSE(b->transport->Send("a", MakeTextFrame("lost")));
}

// Guards against a shutdown that closes a link with queued frames: the results
// of a relay are then lost, although its searchers have answered.
TEST_F(peer_transport_test, Delivered_FramesQueued_NotBeforeAllAreReceived) {
  const auto a = Start("a", "key");
  const auto b = Start("b", "key");
  a->transport->Dial(b->address);
  ASSERT_TRUE(RunUntil([&] { return a->transport->Connected("b"); }));
  ASSERT_TRUE(RunUntil([&] { return a->transport->delivered(); }));
  constexpr std::size_t kFrames = 20;
  wire::gossipT gossip;
  gossip.payload.assign(1 << 20, 'x');
  for (std::size_t i = 0; i < kFrames; ++i) {
    ASSERT_TRUE(a->transport->Send("b", MakeFrame(wire::gossipT(gossip))));
  }
  EXPECT_FALSE(a->transport->delivered());
  ASSERT_TRUE(RunUntil([&] { return a->transport->delivered(); }));
  a->transport->Close();
  EXPECT_TRUE(RunUntil([&] { return b->handler.disconnected.size() == 1; }));
  EXPECT_EQ(b->handler.frames.size(), kFrames);
}

}  // namespace
}  // namespace bilberrycourse
