#include "bilberrycourse/searcher_pool.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class searcher_pool_test : public ::testing::Test {
 protected:
  static constexpr duration kUsual = milliseconds(20);

  // Room for one connection of each instance.
  static void MakeRoom(searcher_pool* pool) {
    pool->SetInstances(1);
    pool->SetLimit("lots", 10);
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

// Guards against bytes between zones where the own zone serves as well.
TEST_F(searcher_pool_test, Choose_EqualSearchers_PrefersOwnZone) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
}

// Guards against requests that follow others into a searcher that stands
// still: an unanswered attempt is the only sign of it.
TEST_F(searcher_pool_test, Choose_OldAttemptInFlight_AvoidsItsSearcher) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  pool.OnSent(pool.Find("i1"), kUsual, now_);
  now_ += milliseconds(60);
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against a searcher that is slowed and goes on getting its share, and
// against one that stays avoided after it has recovered.
TEST_F(searcher_pool_test, Choose_SlowedSearcher_IsAvoidedAndTriedAgain) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  for (int i = 0; i < 6; ++i) {
    pool.OnSent(pool.Find("i1"), kUsual, now_);
    const time_point sent = now_;
    now_ += milliseconds(200);
    pool.OnAnswered(pool.Find("i1"), sent, kUsual, false, now_);
  }
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
  now_ += std::chrono::seconds(12);
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
}

// Guards against a searcher that fails quickly and therefore looks fast.
TEST_F(searcher_pool_test, Choose_FailingSearcher_IsAvoided) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  for (int i = 0; i < 3; ++i) {
    pool.OnSent(pool.Find("i1"), kUsual, now_);
    pool.OnAnswered(pool.Find("i1"), now_, kUsual, true, now_);
  }
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against attempts for a searcher that can't be reached, and against
// one that is never tried again.
TEST_F(searcher_pool_test, Choose_UnreachableSearcher_IsTriedOneAtATime) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  pool.OnUnreachable(pool.Find("i1"), now_);
  EXPECT_EQ(pool.Choose("lots", {}, now_), nullptr);
  now_ += milliseconds(250);
  searcher_entry* trial = pool.Choose("lots", {}, now_);
  ASSERT_NE(trial, nullptr);
  pool.OnSent(trial, kUsual, now_);
  EXPECT_EQ(pool.Choose("lots", {}, now_), nullptr);
  pool.OnAnswered(trial, now_, kUsual, false, now_);
  EXPECT_NE(pool.Choose("lots", {}, now_), nullptr);
}

// Guards against state of an earlier process under the same id.
TEST_F(searcher_pool_test, Update_Restarted_ForgetsWhatWasKnown) {
  searcher_pool pool({}, "e1", "a");
  MakeRoom(&pool);
  Add(&pool, "i1", "a");
  const std::uint64_t serial = pool.Find("i1")->serial;
  pool.OnUnreachable(pool.Find("i1"), now_);
  Add(&pool, "i1", "a", 2);
  EXPECT_EQ(pool.Find("i1", serial), nullptr);
  EXPECT_NE(pool.Choose("lots", {}, now_), nullptr);
  EXPECT_EQ(stopped_, (std::vector<std::string>{"i1"}));
}

// Guards against a preferred replica that keeps its requests while it stands
// still and another one works.
TEST_F(searcher_pool_test, Choose_PreferredStandsStill_UsesAnother) {
  searcher_pool pool({}, "e1", "a");
  pool.SetInstances(100);
  pool.SetLimit("lots", 50);
  Add(&pool, "i1", "a");
  Add(&pool, "i2", "b");
  ASSERT_FALSE(pool.Find("i2")->preferred);
  EXPECT_EQ(ChosenOutOf100(&pool, "i1"), 100);
  pool.OnSent(pool.Find("i1"), kUsual, now_);
  now_ += milliseconds(120);
  EXPECT_EQ(ChosenOutOf100(&pool, "i2"), 100);
}

// Guards against connections beyond a searcher's limit where there are more
// instances than it accepts connections: seen on lakambini-search-grown as
// 31,255 resets.
TEST_F(searcher_pool_test, Prefer_ManyInstances_StaysWithinConnectionLimit) {
  std::map<std::string, int> users;
  for (int i = 0; i < 88; ++i) {
    const std::string zone(1, static_cast<char>('a' + i % 3));
    searcher_pool pool({}, "e" + std::to_string(i), zone);
    pool.SetInstances(88);
    pool.SetLimit("lots", 66);
    for (const char* id : {"a", "b", "c"}) Add(&pool, id, id);
    for (const searcher_entry* entry : pool.OfService("lots")) {
      if (!entry->preferred) continue;
      users[entry->report.id] += static_cast<int>(pool.ConnectionShare(*entry));
    }
  }
  for (const auto& [id, count] : users) EXPECT_LE(count, 66) << id;
}

}  // namespace
}  // namespace bilberrycourse
