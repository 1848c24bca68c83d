#include "bilberrycourse/retry_budget.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace bilberrycourse {
namespace {

class retry_budget_test : public ::testing::Test {
 protected:
  static constexpr double kRatio = 0.2;
  static constexpr std::uint64_t kAllowance = 54;
};

// Guards against a tier that exceeds its limit of extra attempts in some
// window: 7 instances with uneven load take tokens at random, over bursts and
// lulls.
TEST_F(retry_budget_test, TryTake_AnyLoad_TierStaysWithinLimitOverEveryWindow) {
  constexpr int kInstances = 7;
  constexpr int kSteps = 4000;
  std::mt19937 random(7);
  std::vector<retry_budget> budgets(
      kInstances, retry_budget({.ratio = kRatio, .allowance = kAllowance}));
  for (retry_budget& budget : budgets) budget.SetInstances(kInstances);
  std::vector<int> requests(kSteps + 1, 0);
  std::vector<int> repeats(kSteps + 1, 0);
  for (int step = 0; step < kSteps; ++step) {
    const bool burst = step / 500 % 2 == 0;
    int arrived = 0;
    int repeated = 0;
    for (int i = 0; i < kInstances; ++i) {
      if (random() % 10 < (burst ? 9u : 1u) &&
          static_cast<int>(random() % 7) >= i) {
        budgets[i].OnRequest();
        ++arrived;
      }
      while (random() % 2 == 0 && budgets[i].TryTake()) ++repeated;
    }
    requests[step + 1] = requests[step] + arrived;
    repeats[step + 1] = repeats[step] + repeated;
  }
  for (int from = 0; from < kSteps; ++from) {
    for (int to = from + 1; to <= std::min(kSteps, from + 400); ++to) {
      const double allowed =
          kRatio * (requests[to] - requests[from]) + kAllowance;
      ASSERT_LE(repeats[to] - repeats[from], allowed) << from << " " << to;
    }
  }
  // The budget must also allow a useful number of extra attempts.
  EXPECT_GT(repeats[kSteps], 0.5 * kRatio * requests[kSteps]);
}

// Guards against an instance that can never retry because its share of a small
// allowance is less than one.
TEST_F(retry_budget_test, SetInstances_ManyInstances_StillAllowsOne) {
  retry_budget budget({.ratio = kRatio, .allowance = 10});
  budget.SetInstances(100);
  for (int i = 0; i < 20; ++i) budget.OnRequest();
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
}

}  // namespace
}  // namespace bilberrycourse
