#include "bilberrycourse/service_time_estimator.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

#include "bilberrycourse/attempt_budget.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class service_time_estimator_test : public ::testing::Test {
 protected:
  service_time_estimator estimator_;
  time_point now_{};
};

// Guards against hedge delays from a wrong quantile.
TEST_F(service_time_estimator_test, Quantile_UniformSamples_IsClose) {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> sample(0, 10000);
  EXPECT_FALSE(estimator_.Quantile(0.95, now_).has_value());
  for (int i = 0; i < 4000; ++i) {
    now_ += milliseconds(1);
    estimator_.Record(duration(sample(random)), now_);
  }
  for (const double p : {0.5, 0.9, 0.95, 0.99}) {
    EXPECT_NEAR(static_cast<double>(estimator_.Quantile(p, now_)->count()),
                p * 10000, 300);
  }
  // A probability out of range is clamped.
  EXPECT_EQ(estimator_.Quantile(2, now_), estimator_.Quantile(0.995, now_));
}

// Guards against quantiles of expired samples.
TEST_F(service_time_estimator_test, Quantile_TwoWindowsLater_IsEmpty) {
  for (int i = 0; i < 100; ++i) estimator_.Record(milliseconds(9), now_);
  EXPECT_TRUE(estimator_.Quantile(0.9, now_ + seconds(3)).has_value());
  EXPECT_FALSE(estimator_.Quantile(0.9, now_ + seconds(4)).has_value());
}

// Guards against a slowed searcher that looks fast because its attempts are
// cancelled early.
TEST_F(service_time_estimator_test, RecordAtLeast_NeverLowersTheAverage) {
  estimator_.Record(milliseconds(10), now_);
  estimator_.RecordAtLeast(milliseconds(1), now_);
  EXPECT_EQ(estimator_.recent(), milliseconds(10));
  estimator_.RecordAtLeast(milliseconds(50), now_);
  EXPECT_EQ(estimator_.recent(), milliseconds(20));
}

// Guards against more extra attempts than the budget allows, and against hedges
// that use up the budget of retries.
TEST(attempt_budget_test, TryTake_Always_StaysBelowShareAndCeiling) {
  attempt_budget budget;
  int hedges = 0;
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnFirstAttempt();
    hedges += budget.TryTake(extra_attempt_kind::kHedge) ? 1 : 0;
  }
  EXPECT_NEAR(hedges, 520, 2);
  EXPECT_LT(budget.fill(), 0.05);
  for (int i = 0; i < 10000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TryTake(extra_attempt_kind::kRetry) ? 1 : 0;
    EXPECT_FALSE(budget.TryTake(extra_attempt_kind::kHedge) && i > 1000);
  }
  EXPECT_NEAR(retries, 1000, 30);
  EXPECT_EQ(budget.extra_attempts(),
            static_cast<std::uint64_t>(hedges + retries));
}

}  // namespace
}  // namespace bilberrycourse
