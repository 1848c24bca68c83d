#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Eight shards with two searchers each, a service that may be repeated and one
// that may not. Replies come when a test answers.
class route_engine_isolation_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.AddRoute("lots", 8, true, 2, 0.75);
    for (int i = 0; i < 8; ++i) {
      const std::string service = "lots-" + std::to_string(i);
      rig_.AddSearcher(service, service + "a");
      rig_.AddSearcher(service, service + "b");
    }
    rig_.AddRoute("lookup", 0, true);
    rig_.AddRoute("order", 0, false);
    for (const char* id : {"k1", "k2"}) rig_.AddSearcher("lookup", id);
    for (const char* id : {"o1", "o2"}) rig_.AddSearcher("order", id);
  }

  void Link(const std::vector<instance_name>& relays) {
    rig_.engine.SetFallbackRelays(relays);
    route_effects effects;
    rig_.Execute(&effects);
  }

  // From now on, no searcher answers and no connection opens.
  void Cut() { rig_.connect = false; }

  // Advances in steps of 100 ms, after each of which the connections that were
  // opened fail. Returns how many these were.
  std::size_t AdvanceCut(duration by) {
    std::size_t failed = 0;
    for (const time_point end = rig_.now + by; rig_.now < end;) {
      rig_.Advance(milliseconds(100));
      for (const auto& opening : std::exchange(rig_.opened, {})) {
        ++failed;
        route_effects effects;
        rig_.engine.OnClosed(opening.connection, connection_end::kNotOpened,
                             rig_.now, &effects);
        rig_.Execute(&effects);
      }
    }
    return failed;
  }

  // Lets the instance find out that it is cut off.
  void Isolate() {
    Cut();
    rig_.Begin(1000, "lots");
    AdvanceCut(milliseconds(700));
    ASSERT_TRUE(rig_.engine.isolated());
    rig_.finished.clear();
    rig_.relayed.clear();
    rig_.sends.clear();
  }

  void Deliver(std::uint64_t id, std::size_t group,
               const shard_report& report) {
    route_effects effects;
    rig_.engine.OnRelayReport(route_request_id{id}, group, report, rig_.now,
                              &effects);
    rig_.Execute(&effects);
  }

  static shard_report Refusal(std::size_t shards, result_code code) {
    shard_report report;
    for (std::size_t i = 0; i < shards; ++i) {
      report.failed.push_back({i, code, true});
    }
    report.final = true;
    return report;
  }

  route_engine_rig rig_;
};

// Guards against callers of an instance without searchers that are refused,
// although other instances reach them (RECOVER in coldline-search, stranded: 0
// of 90 first tries served).
TEST_F(route_engine_isolation_test,
       Begin_AllSearchersLost_AnotherInstanceSends) {
  Link({"e2"});
  Isolate();
  rig_.Begin(1, "lots");
  EXPECT_TRUE(rig_.sends.empty());
  ASSERT_EQ(rig_.relayed.size(), 1u);
  EXPECT_EQ(rig_.relayed[0].relay, "e2");
  EXPECT_EQ(rig_.relayed[0].shards.size(), 8u);
  EXPECT_FALSE(rig_.relayed[0].single);
  shard_report report;
  for (std::size_t i = 0; i < 8; ++i) {
    report.answered.push_back(i);
    report.stamps.push_back("s" + std::to_string(i));
  }
  report.body = std::string(16, 'z');
  report.final = true;
  Deliver(1, 0, report);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].code, result_code::kOk);
  EXPECT_EQ(rig_.finished[0].stamps.size(), 8u);
}

// Guards against a late discovery: the users allow 4 s.
TEST_F(route_engine_isolation_test, Tick_LinksHang_IsNoticedWithinASecond) {
  Link({"e2"});
  Cut();
  rig_.Begin(1, "lots");
  rig_.Advance(milliseconds(600));
  EXPECT_EQ(rig_.isolations, (std::vector<bool>{true}));
}

// The same with one request in flight, so that few searchers are silent.
TEST_F(route_engine_isolation_test, Tick_OneRequestInFlight_IsNoticedByProbes) {
  Link({"e2"});
  Cut();
  rig_.Begin(1, "order");
  AdvanceCut(seconds(1));
  EXPECT_TRUE(rig_.engine.isolated());
}

// Guards against taking slow or paused searchers for a cut while others answer.
TEST_F(route_engine_isolation_test, Tick_OtherSearchersAnswer_IsNotIsolated) {
  std::uint64_t id = 0;
  for (int i = 0; i < 20; ++i) {
    rig_.Begin(++id, "lots");
    rig_.Advance(milliseconds(100));
    const auto sends = std::exchange(rig_.sends, {});
    for (const auto& sent : sends) {
      // Half of the shards never answer.
      if (sent.searcher >= "lots-4") rig_.Answer(sent);
    }
  }
  EXPECT_TRUE(rig_.isolations.empty());
}

// Guards against taking one slow searcher for a cut while nothing else runs:
// probes open connections to others.
TEST_F(route_engine_isolation_test, Tick_OnlyRequestSlow_IsNotIsolated) {
  rig_.Begin(1, "order");
  rig_.Advance(milliseconds(1900));
  EXPECT_TRUE(rig_.isolations.empty());
}

// Guards against taking a pause of the own process for a cut: the replies have
// arrived, but are not read yet.
TEST_F(route_engine_isolation_test, Tick_ProcessWasPaused_IsNotIsolated) {
  rig_.Begin(1, "lots");
  rig_.now += seconds(1);
  route_effects effects;
  rig_.engine.Tick(rig_.now, &effects);
  rig_.Execute(&effects);
  EXPECT_TRUE(rig_.isolations.empty());
}

// Guards against requests in flight that are lost with the links, although they
// may be repeated, and against repeating those that may not.
TEST_F(route_engine_isolation_test,
       Tick_Isolated_RepeatsOnlyIdempotentRequests) {
  // The hedge and the first attempt leave one more.
  rig_.Route("lots")->max_attempts = 3;
  rig_.Apply();
  Link({"e2"});
  Cut();
  rig_.Begin(1, "lookup");
  rig_.Begin(2, "order");
  rig_.Begin(3, "lots");
  rig_.Advance(milliseconds(450));
  ASSERT_TRUE(rig_.engine.isolated());
  for (const auto& relayed : rig_.relayed) {
    EXPECT_NE(relayed.request, route_request_id{2});
  }
  EXPECT_TRUE(std::any_of(
      rig_.relayed.begin(), rig_.relayed.end(),
      [](const auto& r) { return r.request == route_request_id{3}; }));
  rig_.Advance(seconds(2));
  const auto order = std::find_if(
      rig_.finished.begin(), rig_.finished.end(),
      [](const auto& f) { return f.request == route_request_id{2}; });
  ASSERT_NE(order, rig_.finished.end());
  EXPECT_FALSE(Describe(order->code).not_run);
}

// Guards against changing a searcher's reply on its way through a relay.
TEST_F(route_engine_isolation_test, OnRelayReport_OneService_ReplyIsForwarded) {
  Link({"e2"});
  Isolate();
  rig_.Begin(1, "order");
  ASSERT_EQ(rig_.relayed.size(), 1u);
  EXPECT_TRUE(rig_.relayed[0].single);
  shard_report report;
  report.answered = {0};
  report.stamps = {"s"};
  auto reply = route_engine_rig::Reply(207, "s", "body");
  reply.headers = {{"X-A", "b"}};
  report.reply = std::make_shared<const searcher_reply>(reply);
  report.final = true;
  Deliver(1, 0, report);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_FALSE(rig_.finished[0].merged);
  ASSERT_NE(rig_.finished[0].reply, nullptr);
  EXPECT_EQ(rig_.finished[0].reply->status, 207u);
  EXPECT_EQ(rig_.finished[0].reply->body, "body");
  EXPECT_EQ(rig_.finished[0].reply->headers.size(), 1u);
}

// Guards against `not run` for a request that a relay has sent, and against a
// second run of it.
TEST_F(route_engine_isolation_test,
       OnRelayLost_NonIdempotent_OutcomeIsUnknown) {
  Link({"e2", "e3"});
  Isolate();
  rig_.Begin(1, "order");
  ASSERT_EQ(rig_.relayed.size(), 1u);
  route_effects effects;
  rig_.engine.OnRelayLost(rig_.relayed[0].relay, rig_.now, &effects);
  rig_.Execute(&effects);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].code, result_code::kOutcomeUnknown);
  EXPECT_EQ(rig_.relayed.size(), 1u);
}

// Guards against giving up although another instance reaches searchers: the
// first one is cut off as well, and proves that nothing ran.
TEST_F(route_engine_isolation_test,
       OnRelayReport_RelayIsolated_AnotherIsAsked) {
  Link({"e2", "e3"});
  Isolate();
  rig_.Begin(1, "order");
  ASSERT_EQ(rig_.relayed.size(), 1u);
  Deliver(1, 0, Refusal(1, result_code::kNoServingReplica));
  ASSERT_EQ(rig_.relayed.size(), 2u);
  EXPECT_NE(rig_.relayed[0].relay, rig_.relayed[1].relay);
  Deliver(1, 1, Refusal(1, result_code::kNoServingReplica));
  EXPECT_EQ(rig_.relayed.size(), 2u);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_TRUE(Describe(rig_.finished[0].code).not_run);
  EXPECT_GT(rig_.finished[0].retry_after, duration{0});
}

// Guards against more than one hop: a relay never hands on, and refuses at once
// what it can't send.
TEST_F(route_engine_isolation_test, Begin_RelayIsolated_RefusesAtOnce) {
  Link({"e2"});
  Isolate();
  rig_.BeginAsRelay(1, "lots");
  EXPECT_TRUE(rig_.relayed.empty());
  ASSERT_EQ(rig_.reports.size(), 1u);
  EXPECT_TRUE(rig_.reports[0].final);
  ASSERT_EQ(rig_.reports[0].failed.size(), 8u);
  EXPECT_TRUE(rig_.reports[0].failed[0].not_run);
}

// Guards against refusals in the first moments, before another instance is
// linked, and against waiting for one that never comes.
TEST_F(route_engine_isolation_test, Flush_NoRelayLinkedYet_WaitsAWhile) {
  Cut();
  rig_.Begin(1, "lots");
  rig_.Advance(milliseconds(450));
  ASSERT_TRUE(rig_.engine.isolated());
  EXPECT_GT(rig_.fallbacks_wanted, 0u);
  rig_.Begin(2, "lookup");
  EXPECT_TRUE(rig_.relayed.empty());
  const auto finished = [&](std::uint64_t id) {
    return std::any_of(
        rig_.finished.begin(), rig_.finished.end(),
        [&](const auto& f) { return f.request == route_request_id{id}; });
  };
  EXPECT_FALSE(finished(2));
  Link({"e2"});
  EXPECT_TRUE(std::any_of(
      rig_.relayed.begin(), rig_.relayed.end(),
      [](const auto& r) { return r.request == route_request_id{2}; }));
  Link({});
  rig_.Advance(milliseconds(200));
  rig_.Begin(3, "lookup");
  EXPECT_TRUE(finished(3));
}

// Guards against new connections to every searcher at once when the links are
// back, and against an instance that never finds out.
TEST_F(route_engine_isolation_test, OnOpened_LinksAreBack_ReturnsWithoutFlood) {
  Link({"e2"});
  Isolate();
  // At most three probes in each quarter of a second.
  const std::size_t probes = AdvanceCut(seconds(2));
  EXPECT_GE(probes, 3u);
  EXPECT_LE(probes, 27u);
  rig_.connect = true;
  rig_.Advance(milliseconds(1200));
  EXPECT_FALSE(rig_.engine.isolated());
  rig_.relayed.clear();
  rig_.sends.clear();
  rig_.Begin(1, "lots");
  EXPECT_EQ(rig_.sends.size() +
                (rig_.relayed.empty() ? 0 : rig_.relayed[0].shards.size()),
            8u);
}

// Guards against refusing what another instance can send while open connections
// to other services still work and new ones are refused.
TEST_F(route_engine_isolation_test,
       OnClosed_ServiceRefusesAll_RelaySendsThatPart) {
  Link({"e2"});
  // Keeps the connections of all other services busy.
  rig_.Begin(1, "lots");
  Cut();
  // All connections to the searchers of one shard end, new ones are refused.
  for (int round = 0; round < 20; ++round) {
    for (std::uint64_t c = 1; c < 200; ++c) {
      const connection_id connection{c};
      if (!rig_.engine.SearcherOf(connection).starts_with("lots-0")) continue;
      route_effects effects;
      rig_.engine.OnClosed(connection, connection_end::kNotOpened, rig_.now,
                           &effects);
      rig_.Execute(&effects);
    }
    // The others answer.
    const auto sends = std::exchange(rig_.sends, {});
    for (const auto& sent : sends) {
      if (!sent.searcher.starts_with("lots-0")) rig_.Answer(sent);
    }
    rig_.Advance(milliseconds(20));
    rig_.Begin(10 + round, "lots");
  }
  EXPECT_FALSE(rig_.engine.isolated());
  ASSERT_FALSE(rig_.relayed.empty());
  EXPECT_EQ(rig_.relayed.back().shards, (std::vector<std::string>{"lots-0"}));
}

// Guards against shards that go missing because their relay is cut off: the
// origin reaches their searchers itself.
TEST_F(route_engine_isolation_test,
       OnRelayReport_PlannedRelayIsolated_Takeover) {
  rig_.Begin(1, "lots", seconds(2), {{"e9", {6, 7}}});
  EXPECT_EQ(rig_.sends.size(), 6u);
  Deliver(1, 0, Refusal(2, result_code::kNoServingReplica));
  ASSERT_EQ(rig_.sends.size(), 8u);
  for (std::size_t i = 0; i < 8; ++i) rig_.Answer(rig_.sends[i]);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_TRUE(rig_.finished[0].missing.empty());
}

// Guards against asking other instances again and again for a shard whose
// searchers are down for all of them.
TEST_F(route_engine_isolation_test, OnRelayReport_ShardDown_IsNotAskedForSoon) {
  Link({"e2", "e3"});
  Isolate();
  rig_.Begin(1, "lookup");
  Deliver(1, 0, Refusal(1, result_code::kNoServingReplica));
  Deliver(1, 1, Refusal(1, result_code::kNoServingReplica));
  rig_.relayed.clear();
  rig_.Begin(2, "lookup");
  EXPECT_TRUE(rig_.relayed.empty());
  EXPECT_EQ(rig_.finished.size(), 2u);
}

// Guards against a report for each reply once a shard has failed early: reports
// cross zones.
TEST_F(route_engine_isolation_test,
       OnReply_RelayReportedEarly_NextReportIsRegular) {
  rig_.Report("lots-7", "lots-7a", "a", searcher_state::kGone);
  rig_.Report("lots-7", "lots-7b", "a", searcher_state::kGone);
  rig_.BeginAsRelay(1, "lots");
  ASSERT_EQ(rig_.reports.size(), 1u);
  EXPECT_EQ(rig_.reports[0].failed.size(), 1u);
  ASSERT_EQ(rig_.sends.size(), 7u);
  for (std::size_t i = 0; i < 6; ++i) rig_.Answer(rig_.sends[i]);
  EXPECT_EQ(rig_.reports.size(), 1u);
  rig_.Advance(milliseconds(80));
  ASSERT_EQ(rig_.reports.size(), 2u);
  EXPECT_EQ(rig_.reports[1].answered.size(), 6u);
}

// Guards against a single instance that must search all shards of a large index
// for another one.
TEST_F(route_engine_isolation_test, Begin_ManyShards_SeveralInstancesSend) {
  rig_.AddRoute("wide", 90, true);
  for (int i = 0; i < 90; ++i) {
    rig_.AddSearcher("wide-" + std::to_string(i), "w" + std::to_string(i));
  }
  Link({"e2", "e3", "e4"});
  Isolate();
  rig_.Begin(1, "wide");
  ASSERT_EQ(rig_.relayed.size(), 3u);
  std::set<instance_name> relays;
  std::set<std::string> shards;
  for (const auto& relayed : rig_.relayed) {
    relays.insert(relayed.relay);
    EXPECT_EQ(relayed.shards.size(), 30u);
    shards.insert(relayed.shards.begin(), relayed.shards.end());
  }
  EXPECT_EQ(relays.size(), 3u);
  EXPECT_EQ(shards.size(), 90u);
}

// Guards against a relay that answers for an overloaded instance with a
// response to a caller that it does not have.
TEST_F(route_engine_isolation_test, Begin_RelayOverloaded_ReportsToOrigin) {
  route_engine_options options = route_engine_rig::Options();
  options.max_requests = 0;
  route_engine_rig rig(options);
  rig.AddRoute("order", 0, false);
  rig.AddSearcher("order", "o1");
  rig.BeginAsRelay(1, "order");
  EXPECT_TRUE(rig.finished.empty());
  ASSERT_EQ(rig.reports.size(), 1u);
  EXPECT_TRUE(rig.reports[0].failed.at(0).not_run);
}

// Guards against giving up an order in flight when the instance is isolated: it
// can't be sent again, and its reply may still come.
TEST_F(route_engine_isolation_test, CheckIsolation_OrderInFlight_IsLeftAlone) {
  Link({"e2"});
  rig_.Begin(1, "order");
  const auto order = rig_.sends.back();
  Isolate();
  EXPECT_TRUE(rig_.finished.empty());
  rig_.Answer(order);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].request, route_request_id{1});
  EXPECT_EQ(rig_.finished[0].code, result_code::kOk);
}

// Guards against asking the same instance twice for a part that it has refused.
TEST_F(route_engine_isolation_test,
       OnRelayReport_OnlyRelayRefuses_NotAskedAgain) {
  Link({"e2"});
  Isolate();
  rig_.Begin(1, "lots");
  ASSERT_EQ(rig_.relayed.size(), 1u);
  Deliver(1, 0, Refusal(8, result_code::kNoServingReplica));
  EXPECT_EQ(rig_.relayed.size(), 1u);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_TRUE(Describe(rig_.finished[0].code).not_run);
}

// Guards against a request that reaches more searchers than its route allows:
// one attempt was used here before the instance was isolated.
TEST_F(route_engine_isolation_test,
       CheckIsolation_AttemptUsed_RelayGetsTheRest) {
  Link({"e2"});
  rig_.Report("lookup", "k2", "a", searcher_state::kGone);
  rig_.Begin(1, "lookup");
  ASSERT_EQ(rig_.sends.size(), 1u);
  Cut();
  rig_.Begin(1000, "lots");
  AdvanceCut(milliseconds(700));
  ASSERT_TRUE(rig_.engine.isolated());
  const auto lookup =
      std::find_if(rig_.relayed.begin(), rig_.relayed.end(),
                   [](const send_to_relay& sent) { return sent.single; });
  ASSERT_NE(lookup, rig_.relayed.end());
  EXPECT_EQ(lookup->max_attempts, 1u);
}

}  // namespace
}  // namespace bilberrycourse
