#include "bilberrycourse/fair_queue.h"

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace bilberrycourse {
namespace {

class fair_queue_test : public ::testing::Test {
 protected:
  struct entry : fair_queue_entry {
    caller_name caller;
  };

  entry* Push(const caller_name& caller, int deadline_ms, double weight = 1,
              index_version version = index_version{1}) {
    entry& e = entries_.emplace_back();
    e.caller = caller;
    e.version = version;
    e.deadline = time_point{} + std::chrono::milliseconds(deadline_ms);
    queue_.Push(&e, caller, weight);
    return &e;
  }

  entry* Pop() {
    return static_cast<entry*>(queue_.Pop([](index_version) { return true; }));
  }

  std::deque<entry> entries_;
  fair_queue queue_;
};

// Guards against a caller that delays others by sending more requests.
TEST_F(fair_queue_test, Pop_OneCallerFloods_SharesFollowWeights) {
  struct share_case {
    double weight;
    int expected_of_30;
  };
  for (const share_case& c : {share_case{1, 15}, {2, 20}, {0.5, 10}, {4, 24}}) {
    for (int i = 0; i < 100; ++i) Push("flood", 1);
    for (int i = 0; i < 30; ++i) Push("light", 1000, c.weight);
    int light = 0;
    for (int i = 0; i < 30; ++i) light += Pop()->caller == "light" ? 1 : 0;
    EXPECT_NEAR(light, c.expected_of_30, 1) << c.weight;
    while (Pop() != nullptr) {
    }
  }
}

// Guards against entries that expire while entries with later deadlines are
// served.
TEST_F(fair_queue_test, Pop_OneCaller_EarliestDeadlineFirst) {
  Push("a", 30);
  entry* urgent = Push("a", 10);
  entry* next = Push("a", 10);
  EXPECT_EQ(Pop(), urgent);
  EXPECT_EQ(Pop(), next);
}

// Guards against entries of one version that block those of another.
TEST_F(fair_queue_test, Pop_VersionCannotRun_IsSkipped) {
  Push("a", 10, 1, index_version{1});
  entry* runnable = Push("a", 20, 1, index_version{2});
  Push("b", 10, 1, index_version{1});
  const auto second_only = [](index_version v) {
    return v == index_version{2};
  };
  EXPECT_EQ(queue_.Pop(second_only), runnable);
  EXPECT_EQ(queue_.Pop(second_only), nullptr);
  EXPECT_EQ(queue_.size(), 2u);
}

// Guards against evicting entries of a caller that sends few.
TEST_F(fair_queue_test, EvictionCandidate_ByWeight_LatestOfLongestCaller) {
  Push("light", 99);
  Push("heavy", 1, 4);
  Push("heavy", 3, 4);
  EXPECT_EQ(queue_.EvictionCandidate(), &entries_[0]);
  Push("flood", 1);
  entry* last = Push("flood", 5);
  Push("flood", 3);
  EXPECT_EQ(queue_.EvictionCandidate(), last);
  queue_.Remove(last);
  EXPECT_FALSE(last->queued());
  EXPECT_EQ(queue_.size(), 5u);
}

}  // namespace
}  // namespace bilberrycourse
