#include "bilberrycourse/searcher_pool.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class searcher_pool_test : public ::testing::Test {
 protected:
  static constexpr duration kExpected = milliseconds(20);

  // Allows one connection of each instance to every searcher.
  static void AllowOneConnectionEach(searcher_pool* pool) {
    pool->SetInstances(1);
    pool->SetConnectionLimit("lots", 10);
  }

  void Add(searcher_pool* pool, const std::string& id, const std::string& zone,
           wall_time_ms started = 1) {
    searcher_record record;
    record.report = {
        id, "lots", id + ":80", zone, 2, searcher_state::kServing, started, 1};
    pool->Update({record}, false, now_, &stopped_, &unused_);
  }

  int ChosenOutOf100(searcher_pool* pool, const std::string& id) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      const searcher_entry* chosen = pool->Choose("lots", {}, now_);
      if (chosen != nullptr && chosen->report.id == id) ++count;
    }
    return count;
  }

  time_point now_ = time_point(std::chrono::seconds(10));
  std::vector<std::string> stopped_;
  std::vector<connection_id> unused_;
};

// Guards against traffic between zones if the own zone has an equal searcher.
TEST_F(searcher_pool_test, Choose_EqualSearchers_PrefersOwnZone) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
}

// Guards against further requests to a paused searcher, which is known only
// from its unanswered attempt.
TEST_F(searcher_pool_test, Choose_OldAttemptInFlight_AvoidsItsSearcher) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  pool.OnSent(pool.Find("i1"), kExpected, now_);
  now_ += milliseconds(60);
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against a slowed searcher that still gets its share of requests, and
// against one that is still avoided after it has recovered.
TEST_F(searcher_pool_test, Choose_SlowedSearcher_IsAvoidedAndTriedAgain) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  for (int i = 0; i < 6; ++i) {
    pool.OnSent(pool.Find("i1"), kExpected, now_);
    const time_point sent = now_;
    now_ += milliseconds(200);
    pool.OnAnswered(pool.Find("i1"), sent, kExpected, false, now_);
  }
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
  now_ += std::chrono::seconds(12);
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
}

// Guards against preferring a searcher because it fails quickly.
TEST_F(searcher_pool_test, Choose_FailingSearcher_IsAvoided) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  for (int i = 0; i < 3; ++i) {
    pool.OnSent(pool.Find("i1"), kExpected, now_);
    pool.OnAnswered(pool.Find("i1"), now_, kExpected, true, now_);
  }
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against attempts for an unreachable searcher during its quarantine,
// and against one that is never tried again.
TEST_F(searcher_pool_test, Choose_UnreachableSearcher_IsTriedOneAtATime) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  pool.OnUnreachable(pool.Find("i1"), now_);
  EXPECT_EQ(pool.Choose("lots", {}, now_), nullptr);
  now_ += milliseconds(250);
  searcher_entry* trial = pool.Choose("lots", {}, now_);
  ASSERT_NE(trial, nullptr);
  pool.OnSent(trial, kExpected, now_);
  EXPECT_EQ(pool.Choose("lots", {}, now_), nullptr);
  pool.OnAnswered(trial, now_, kExpected, false, now_);
  EXPECT_NE(pool.Choose("lots", {}, now_), nullptr);
}

// Guards against keeping the state of an earlier process with the same id.
TEST_F(searcher_pool_test, Update_Restarted_ResetsState) {
  searcher_pool pool({}, "e1", "a");
  AllowOneConnectionEach(&pool);
  Add(&pool, "i1", "a");
  const std::uint64_t serial = pool.Find("i1")->serial;
  pool.OnUnreachable(pool.Find("i1"), now_);
  Add(&pool, "i1", "a", 2);
  EXPECT_EQ(pool.Find("i1", serial), nullptr);
  EXPECT_NE(pool.Choose("lots", {}, now_), nullptr);
  EXPECT_EQ(stopped_, (std::vector<std::string>{"i1"}));
}

// Guards against a paused replica that still gets all requests because it is
// preferred.
TEST_F(searcher_pool_test, Choose_PreferredUnresponsive_UsesAnother) {
  searcher_pool pool({}, "e1", "a");
  pool.SetInstances(100);
  pool.SetConnectionLimit("lots", 50);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  ASSERT_FALSE(pool.Find("i2")->preferred);
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
  pool.OnSent(pool.Find("i1"), kExpected, now_);
  now_ += milliseconds(120);
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against connections beyond a searcher's limit if there are more
// instances than it accepts connections. The searcher resets such connections
// (31,255 times in the scenario lakambini-search-grown).
TEST_F(searcher_pool_test,
       UpdatePreferred_ManyInstances_StaysWithinConnectionLimit) {
  std::map<std::string, int> connections;
  for (int i = 0; i < 88; ++i) {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    searcher_pool pool({}, "e" + std::to_string(i), zone);
    pool.SetInstances(88);
    pool.SetConnectionLimit("lots", 66);
    for (const char* id : {"a", "b", "c"}) Add(&pool, id, id);
    for (const searcher_entry* entry : pool.OfService("lots")) {
      if (!entry->preferred) continue;
      connections[entry->report.id] +=
          static_cast<int>(pool.ConnectionShare(*entry));
    }
  }
  for (const auto& [id, count] : connections) EXPECT_LE(count, 66) << id;
}

// Guards against searchers of an evacuated zone that are still chosen, sampled
// for probes or preferred in place of others, however they came there.
TEST_F(searcher_pool_test, SetEvacuatedZones_AnyUse_LeavesSearchersOut) {
  searcher_pool pool({}, "e1", "a");
  pool.SetInstances(100);
  pool.SetConnectionLimit("lots", 10);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  std::vector<std::string> resumed;
  pool.SetEvacuatedZones({"a", "c"}, &stopped_, &resumed);
  EXPECT_EQ(stopped_, std::vector<std::string>{"i1"});
  EXPECT_TRUE(pool.Find("i2")->preferred);
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
  EXPECT_EQ(pool.Sample(5), std::vector{pool.Find("i2")});
  EXPECT_FALSE(pool.Evacuated("lots"));
  // It moves into an evacuated zone, as after a correction of its record.
  Add(&pool, "i2", "c");
  EXPECT_EQ(stopped_.back(), "i2");
  EXPECT_EQ(pool.Choose("lots", {}, now_), nullptr);
  EXPECT_TRUE(pool.Evacuated("lots"));
  EXPECT_FALSE(pool.Evacuated("other"));
  pool.SetEvacuatedZones({"c"}, &stopped_, &resumed);
  EXPECT_EQ(resumed, std::vector<std::string>{"i1"});
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
}

}  // namespace
}  // namespace bilberrycourse
