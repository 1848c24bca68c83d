#include <gtest/gtest.h>

#include "bilberrycourse/testing/relay_tier.h"

namespace bilberrycourse {
namespace {

class route_engine_tier_test : public ::testing::TestWithParam<std::uint32_t> {
};

// Guards against answers whose records are not those of the parts that they
// name, and against parts that run more often than allowed, when a part can
// take several ways: an own attempt, a hedge, a retry, a relay or a fallback
// relay (MIXED in review/12).
TEST_P(route_engine_tier_test, Run_RandomFaults_AnswersHoldTheirParts) {
  constexpr std::uint32_t kSeedsPerTest = 25;
  std::uint64_t delegated = 0;
  std::size_t answered = 0;
  for (std::uint32_t i = 0; i < kSeedsPerTest; ++i) {
    const std::uint32_t seed = GetParam() * kSeedsPerTest + i;
    relay_tier tier(seed);
    tier.Run(std::chrono::seconds(20));
    EXPECT_EQ(tier.violations(), std::vector<std::string>()) << "seed " << seed;
    delegated += tier.delegated();
    answered += tier.answered();
  }
  // Without these, the faults would not reach the ways under test.
  EXPECT_GT(delegated, 100u);
  EXPECT_GT(answered, 1000u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, route_engine_tier_test,
                         ::testing::Range(0u, 8u));

}  // namespace
}  // namespace bilberrycourse
