#include "bilberrycourse/timer_service.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class timer_service_test : public ::testing::Test {
 protected:
  timer_service timers_;
  time_point now_{};
};

// Guards against timers that run early, late or out of order.
TEST_F(timer_service_test, Advance_SeveralDue_RunsThemInOrder) {
  std::vector<int> calls;
  timer_subscription first;
  timer_subscription second;
  timers_.SubscribeOnce(
      now_ + milliseconds(20), [&](time_point) { calls.push_back(2); },
      &second);
  timers_.SubscribeOnce(
      now_ + milliseconds(10), [&](time_point) { calls.push_back(1); }, &first);
  EXPECT_EQ(timers_.Advance(now_ + milliseconds(9)), 0u);
  EXPECT_EQ(timers_.Advance(now_ + milliseconds(20)), 2u);
  EXPECT_EQ(calls, (std::vector<int>{1, 2}));
  EXPECT_FALSE(timers_.next_due().has_value());
}

// Guards against a burst of calls after the process was paused.
TEST_F(timer_service_test, Advance_PeriodicAfterPause_RunsOnce) {
  int calls = 0;
  timer_subscription tick;
  timers_.SubscribePeriodic(
      milliseconds(10), now_, [&](time_point) { ++calls; }, &tick);
  EXPECT_EQ(timers_.Advance(now_ + milliseconds(1000)), 1u);
  EXPECT_EQ(timers_.Advance(now_ + milliseconds(1010)), 1u);
  EXPECT_EQ(calls, 2);
}

// Guards against calls to a destroyed subscriber.
TEST_F(timer_service_test, Advance_SubscriptionDestroyed_DoesNotRun) {
  int calls = 0;
  auto tick = std::make_unique<timer_subscription>();
  timers_.SubscribePeriodic(
      milliseconds(10), now_, [&](time_point) { ++calls; }, tick.get());
  tick.reset();
  EXPECT_EQ(timers_.Advance(now_ + milliseconds(100)), 0u);
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace bilberrycourse
