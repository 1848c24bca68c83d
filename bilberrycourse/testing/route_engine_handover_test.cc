#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Four shards with two searchers each. Those of the first two shards can't be
// reached, so that these shards are handed to another instance.
class route_engine_handover_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.connect = false;
    rig_.AddRoute("lots", 4, true);
    // The hedge is due after the first searchers of the shards are tried again.
    rig_.Route("lots")->latency_objective = seconds(1);
    rig_.Apply();
    for (int i = 0; i < 4; ++i) {
      const std::string service = "lots-" + std::to_string(i);
      rig_.AddSearcher(service, service + "a");
      rig_.AddSearcher(service, service + "b");
    }
    const auto opening = std::exchange(rig_.opened, {});
    for (const auto& connection : opening) {
      if (connection.address < "lots-2") continue;
      route_effects effects;
      rig_.engine.OnOpened(connection.connection, rig_.now, &effects);
      rig_.Execute(&effects);
    }
    FailOpening(opening, "a:80");
    rig_.Begin(1, "lots");
    FailOpening(opening, "b:80");
    rig_.connect = true;
  }

  // The connections to searchers of the first two shards can't be opened.
  void FailOpening(const std::deque<open_searcher_connection>& opening,
                   const std::string& ending) {
    for (const auto& connection : opening) {
      if (connection.address >= "lots-2") continue;
      if (!connection.address.ends_with(ending)) continue;
      route_effects effects;
      rig_.engine.OnClosed(connection.connection, connection_end::kNotOpened,
                           rig_.now, &effects);
      rig_.Execute(&effects);
    }
  }

  void Link(const std::vector<instance_name>& relays) {
    rig_.engine.SetFallbackRelays(relays);
    route_effects effects;
    rig_.Execute(&effects);
  }

  void Deliver(std::size_t group, const shard_report& report) {
    route_effects effects;
    rig_.engine.OnRelayReport(route_request_id{1}, group, report, rig_.now,
                              &effects);
    rig_.Execute(&effects);
  }

  void AnswerOwnShards() {
    for (const auto& sent : std::vector(rig_.sends)) {
      if (sent.searcher >= "lots-2") rig_.Answer(sent);
    }
  }

  static shard_report Answers() {
    shard_report report;
    report.answered = {0, 1};
    report.stamps = {"r0", "r1"};
    report.body = std::string(16, 'z') + std::string(16, 'y');
    report.final = true;
    return report;
  }

  bool SentToHandedOver() const {
    return std::any_of(
        rig_.sends.begin(), rig_.sends.end(),
        [](const auto& sent) { return sent.searcher < "lots-2"; });
  }

  route_engine_rig rig_;
};

// Guards against an answer that names shards without their records: the hedge
// timer of an earlier attempt sent a handed-over shard to a searcher, whose
// reply displaced the relay's report (MIXED in review/12).
TEST_F(route_engine_handover_test, Tick_HedgeDueAfterHandover_IsNotSent) {
  Link({"e2"});
  ASSERT_EQ(rig_.relayed.size(), 1u);
  ASSERT_EQ(rig_.relayed[0].shards,
            (std::vector<std::string>{"lots-0", "lots-1"}));
  rig_.Advance(milliseconds(400));
  EXPECT_FALSE(SentToHandedOver());
  AnswerOwnShards();
  Deliver(0, Answers());
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].stamps.size(), 4u);
  EXPECT_EQ(rig_.finished[0].body.substr(0, 32),
            std::string(16, 'z') + std::string(16, 'y'));
}

// Guards against giving up a shard that a second relay searches when the link
// to the first one is lost, which had refused it: the records of the shard then
// came without its signature.
TEST_F(route_engine_handover_test,
       OnRelayLost_ShardWithAnotherRelay_IsLeftThere) {
  Link({"e2", "e3"});
  ASSERT_EQ(rig_.relayed.size(), 1u);
  shard_report refusal;
  refusal.failed = {{0, result_code::kNoServingReplica, true}};
  Deliver(0, refusal);
  ASSERT_EQ(rig_.relayed.size(), 2u);
  ASSERT_NE(rig_.relayed[0].relay, rig_.relayed[1].relay);
  route_effects effects;
  rig_.engine.OnRelayLost(rig_.relayed[0].relay, rig_.now, &effects);
  rig_.Execute(&effects);
  AnswerOwnShards();
  shard_report report;
  report.answered = {0};
  report.stamps = {"r0"};
  report.body = std::string(16, 'z');
  report.final = true;
  Deliver(1, report);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].stamps.size(), 3u);
  ASSERT_EQ(rig_.finished[0].missing.size(), 1u);
  EXPECT_EQ(rig_.finished[0].missing[0].service, "lots-1");
  EXPECT_EQ(rig_.finished[0].body.substr(0, 16), std::string(16, 'z'));
}

// Guards against waiting for a shard that the last report of its relay leaves
// out.
TEST_F(route_engine_handover_test, OnRelayReport_FinalWithoutAShard_FailsIt) {
  Link({"e2"});
  AnswerOwnShards();
  shard_report report;
  report.answered = {1};
  report.stamps = {"r1"};
  report.body = std::string(16, 'z');
  report.final = true;
  Deliver(0, report);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].stamps.size(), 3u);
  EXPECT_EQ(rig_.finished[0].missing.size(), 1u);
}

struct unusable_report {
  const char* name;
  std::function<void(shard_report*)> spoil;

  friend std::ostream& operator<<(std::ostream& out,
                                  const unusable_report& report) {
    return out << report.name;
  }
};

class route_engine_report_test
    : public route_engine_handover_test,
      public ::testing::WithParamInterface<unusable_report> {};

// Guards against a report that is taken in part: its body holds the records of
// all its shards and can't be divided.
TEST_P(route_engine_report_test, OnRelayReport_Unusable_IsRefusedWhole) {
  Link({"e2"});
  AnswerOwnShards();
  ASSERT_TRUE(rig_.finished.empty());
  shard_report report = Answers();
  GetParam().spoil(&report);
  Deliver(0, report);
  EXPECT_EQ(rig_.engine.counters().refused_reports, 1u);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished[0].stamps.size(), 2u);
  EXPECT_EQ(rig_.finished[0].missing.size(), 2u);
  EXPECT_EQ(rig_.finished[0].body, std::string(32, 'x'));
  EXPECT_EQ(rig_.relay_cancels.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Reports, route_engine_report_test,
    ::testing::Values(
        unusable_report{"UnknownShard",
                        [](shard_report* r) { r->answered[1] = 2; }},
        unusable_report{"ShardTwice",
                        [](shard_report* r) { r->answered[1] = 0; }},
        unusable_report{"SignatureMissing",
                        [](shard_report* r) { r->stamps.pop_back(); }},
        unusable_report{"AnsweredAndFailed",
                        [](shard_report* r) {
                          r->failed.push_back(
                              {1, result_code::kBackendServerFailed, false});
                        }},
        unusable_report{
            "UnknownShardFailed",
            [](shard_report* r) {
              r->failed.push_back({9, result_code::kNoServingReplica, true});
            }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bilberrycourse
