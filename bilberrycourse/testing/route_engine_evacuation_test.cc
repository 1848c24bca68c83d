#include <gtest/gtest.h>

#include <algorithm>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

// A service with searchers a1 in the own zone and b1 in another one, and a
// route over four shards that have one searcher in each of these zones.
class route_engine_evacuation_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.AddRoute("lookup", 0, true);
    rig_.AddSearcher("lookup", "a1", "a");
    rig_.AddSearcher("lookup", "b1", "b");
  }
  void AddShards() {
    rig_.AddRoute("lots", 4, true, 2, 0.75);
    for (const std::string zone : {"a", "b"}) {
      for (int i = 0; i < 4; ++i) {
        const std::string service = "lots-" + std::to_string(i);
        rig_.AddSearcher(service, service + zone, zone);
      }
    }
  }
  void Evacuate(std::set<availability_zone> zones) {
    route_effects effects;
    rig_.engine.SetEvacuatedZones(std::move(zones), rig_.now, &effects);
    rig_.Execute(&effects);
  }
  std::size_t SentTo(const std::string& searcher) const {
    return std::ranges::count(rig_.sends, searcher,
                              &route_engine_rig::sent_request::searcher);
  }

  route_engine_rig rig_;
};

// Guards against first attempts in the zone, and against searchers that stay
// unused after the end of the evacuation.
TEST_F(route_engine_evacuation_test, Begin_EvacuatedZone_UsesOthersUntilEnd) {
  Evacuate({"a"});
  for (std::uint64_t id = 1; id <= 20; ++id) rig_.Begin(id, "lookup");
  EXPECT_EQ(SentTo("a1"), 0);
  EXPECT_EQ(SentTo("b1"), rig_.sends.size());
  Evacuate({});
  for (const auto& sent : std::vector(rig_.sends)) rig_.Answer(sent);
  rig_.sends.clear();
  rig_.Begin(21, "lookup");
  EXPECT_EQ(SentTo("a1"), 1);
}

// Guards against searchers that come up in an evacuated zone and get requests
// or connections.
TEST_F(route_engine_evacuation_test, UpdateSearchers_EvacuatedZone_NotUsed) {
  Evacuate({"c"});
  rig_.connect = false;
  rig_.opened.clear();
  rig_.AddSearcher("lookup", "c1", "c");
  EXPECT_TRUE(rig_.opened.empty());
  Evacuate({});
  ASSERT_EQ(rig_.opened.size(), 1);
  EXPECT_EQ(rig_.opened.front().address, "c1:80");
}

// Guards against a hedge or a retry in the zone.
TEST_F(route_engine_evacuation_test, RepeatedAttempt_EvacuatedZone_IsNotSent) {
  Evacuate({"b"});
  rig_.Begin(1, "lookup");
  rig_.Advance(milliseconds(60));
  rig_.Begin(2, "lookup");
  for (const auto& sent : std::vector(rig_.sends)) {
    rig_.AnswerWith(sent, route_engine_rig::Reply(500, ""));
  }
  rig_.Advance(milliseconds(100));
  EXPECT_EQ(SentTo("b1"), 0);
  EXPECT_EQ(rig_.finished.size(), 2);
}

// Guards against attempts that wait for a searcher in the zone until their
// connection opens, and against a request in flight that the evacuation ends.
TEST_F(route_engine_evacuation_test, Evacuate_Waiting_MovesAndKeepsInFlight) {
  rig_.Begin(1, "lookup");
  ASSERT_EQ(SentTo("a1"), 1);
  const auto in_flight = rig_.sends.front();
  rig_.connect = false;
  rig_.AddRoute("idle", 0, true);
  rig_.AddSearcher("idle", "i1", "a");
  rig_.opened.clear();
  rig_.Begin(2, "idle");
  rig_.AddSearcher("idle", "i2", "b");
  rig_.connect = true;
  Evacuate({"a"});
  EXPECT_EQ(SentTo("i1"), 0);
  EXPECT_EQ(SentTo("i2"), 1);
  EXPECT_EQ(SentTo("a1"), 1);
  rig_.Answer(in_flight);
  ASSERT_EQ(rig_.finished.size(), 1);
  EXPECT_EQ(rig_.finished.front().code, result_code::kOk);
  EXPECT_EQ(SentTo("b1"), 0);
}

// Guards against a request that waits for its deadline, is given to another
// instance or counts as run although every searcher is evacuated.
TEST_F(route_engine_evacuation_test, Begin_AllEvacuated_IsRefusedAtOnce) {
  AddShards();
  rig_.engine.SetFallbackRelays({"e2"});
  Evacuate({"a", "b"});
  rig_.Begin(1, "lookup");
  rig_.Begin(2, "lots", std::chrono::seconds(2), {{"e2", {0, 1}}});
  ASSERT_EQ(rig_.finished.size(), 2);
  for (const auto& finish : rig_.finished) {
    EXPECT_EQ(finish.code, result_code::kNoServingReplica);
    EXPECT_EQ(finish.elapsed, duration{0});
  }
  EXPECT_TRUE(rig_.sends.empty());
  EXPECT_TRUE(rig_.relayed.empty());
  // A relay reports every shard as not run.
  rig_.BeginAsRelay(3, "lots");
  ASSERT_EQ(rig_.reports.size(), 1);
  ASSERT_EQ(rig_.reports.front().failed.size(), 4);
  for (const failed_shard& shard : rig_.reports.front().failed) {
    EXPECT_TRUE(shard.not_run);
    EXPECT_EQ(shard.code, result_code::kNoServingReplica);
  }
}

// Guards against a request that fails as if it had run when the evacuation
// takes its last searchers while it waits.
TEST_F(route_engine_evacuation_test, Evacuate_AllOfWaiting_RefusesAsNotRun) {
  rig_.connect = false;
  rig_.AddRoute("cold", 3, true, 2, 0.9);
  for (int i = 0; i < 3; ++i) {
    const std::string service = "cold-" + std::to_string(i);
    rig_.AddSearcher(service, service + "x", "b");
  }
  rig_.Begin(1, "cold");
  Evacuate({"b"});
  ASSERT_EQ(rig_.finished.size(), 1);
  EXPECT_EQ(rig_.finished.front().code, result_code::kNoServingReplica);
  EXPECT_TRUE(rig_.sends.empty());
}

// Guards against relays that are chosen for replicas in the zone.
TEST_F(route_engine_evacuation_test, ReplicaZones_EvacuatedZone_IsLeftOut) {
  AddShards();
  const std::vector<std::string> shards = {"lots-0", "lots-1"};
  Evacuate({"a"});
  EXPECT_EQ(rig_.engine.ReplicaZones(shards),
            (relay_plan::replica_zones{{"b"}, {"b"}}));
  Evacuate({});
  EXPECT_EQ(rig_.engine.ReplicaZones(shards),
            (relay_plan::replica_zones{{"a", "b"}, {"a", "b"}}));
}

// Guards against probes in the zone: of an instance in doubt about its links,
// and of a searcher that lost an attempt shortly before.
TEST_F(route_engine_evacuation_test, Probe_EvacuatedZone_IsNotSent) {
  AddShards();
  rig_.Begin(1, "lots");
  rig_.connect = false;
  for (const auto& sent : std::vector(rig_.sends)) rig_.Break(sent);
  rig_.opened.clear();
  Evacuate({"a"});
  for (int i = 0; i < 10; ++i) rig_.Advance(milliseconds(100));
  for (const auto& opening : rig_.opened) {
    EXPECT_TRUE(opening.address == "b1:80" || opening.address.ends_with("b:80"))
        << opening.address;
  }
}

}  // namespace
}  // namespace bilberrycourse
