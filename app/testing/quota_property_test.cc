#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "app/testing/quota_tier.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 85;

// Requests of one account, `per_second` on average at random times, to
// `instances` of the tier.
class random_demand {
 public:
  random_demand(std::string account, std::size_t instances, std::uint32_t seed)
      : account_(std::move(account)), random_(seed) {
    for (std::size_t i = 0; i < instances; ++i) {
      instances_.push_back(random_() % kInstances);
    }
  }
  void Step(quota_tier* tier, double per_second) {
    std::poisson_distribution<int> count(per_second * 0.002);
    for (int i = count(random_); i > 0; --i) {
      tier->Request(instances_[random_() % instances_.size()], account_);
    }
  }

 private:
  std::string account_;
  std::mt19937 random_;
  std::vector<std::size_t> instances_;
};

// Guards against more requests than the bound allows in any window, whatever
// the demand, while instances are cut from the leader (a zone or about 30% at a
// time) or restart, and while the leader changes.
RC_GTEST_PROP(quota_property_test, AnyFaults_SendsOfAnyWindow_WithinBound, ()) {
  quota_tier tier(kInstances);
  tier.limits["a"] = {"a", *rc::gen::element(0.3, 2.0, 8.0, 22.0),
                      *rc::gen::element(0.0, 5.0, 40.0), 1};
  const double rate = tier.limits["a"].requests_per_second;
  random_demand demand("a", *rc::gen::element<std::size_t>(2, 6, 300),
                       *rc::gen::arbitrary<std::uint32_t>());
  tier.delay = milliseconds(*rc::gen::element(1, 4, 20, 60));
  for (int i = *rc::gen::inRange(10, 60); i > 0; --i) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        tier.silent_cuts = *rc::gen::arbitrary<bool>();
        for (std::size_t k = 0; k < kInstances; ++k) tier.cut[k] = k % 4 == 1;
        break;
      case 1:
        for (std::size_t k = 0; k < kInstances; ++k) {
          tier.cut[k] = *rc::gen::inRange(0, 10) < 3;
        }
        break;
      case 2:
        tier.cut.assign(kInstances, false);
        for (int k = *rc::gen::inRange(0, 40); k > 0; --k) {
          tier.Restart(*rc::gen::inRange<std::size_t>(0, kInstances));
        }
        break;
      default:
        tier.cut.assign(kInstances, false);
        tier.leader_up = false;
        tier.Run(milliseconds(*rc::gen::inRange(300, 2500)),
                 [&] { demand.Step(&tier, 2 * rate); });
        tier.leader_up = true;
        tier.allocator.Start(tier.now);
    }
    const double load = *rc::gen::element(0.6, 1.0, 2.5, 7.0);
    tier.Run(milliseconds(*rc::gen::inRange(100, 6000)),
             [&] { demand.Step(&tier, load * rate); });
  }
  RC_ASSERT(static_cast<double>(tier.MostSends("a", seconds(5))) <=
            tier.Bound("a"));
  RC_ASSERT(tier.longest_wait <= milliseconds(80));
}

class quota_tier_test : public ::testing::Test {
 protected:
  quota_tier tier_{kInstances};
};

// Guards against refusals of an account that asks below its limit, also if its
// requests come at random times and it has no burst.
TEST_F(quota_tier_test, Load_BelowLimit_NoneRefused) {
  for (const double rate : {0.5, 2.0, 8.0, 22.0}) {
    for (const std::size_t instances : {2, 6, 300}) {
      const std::string name =
          std::to_string(rate) + "/" + std::to_string(instances);
      tier_.limits[name] = {name, rate, 0, 1};
      random_demand demand(name, instances, 1);
      tier_.Run(seconds(120), [&] { demand.Step(&tier_, rate / 1.6); });
      EXPECT_EQ(tier_.refused[name], 0u) << name;
    }
  }
}

// Guards against an account that, beyond its limit, changes what the others
// get.
TEST_F(quota_tier_test, Load_OneAccountSevenfold_OthersUnchanged) {
  std::vector<random_demand> demands;
  for (std::uint32_t i = 0; i < 20; ++i) {
    const std::string name = "a" + std::to_string(i);
    tier_.limits[name] = {name, i == 0 ? 22.0 : 3.0, 5, 1};
    demands.emplace_back(name, 4, i);
  }
  for (const double load : {1.0, 7.0}) {
    tier_.refused.clear();
    tier_.Run(seconds(20), [&] {
      demands[0].Step(&tier_, load * 22);
      for (std::size_t i = 1; i < demands.size(); ++i) {
        demands[i].Step(&tier_, 1.0);
      }
    });
    for (std::size_t i = 1; i < demands.size(); ++i) {
      EXPECT_EQ(tier_.refused["a" + std::to_string(i)], 0u) << load << " " << i;
    }
  }
  EXPECT_GT(tier_.refused["a0"], 1000u);
  EXPECT_GT(tier_.MostSends("a0", seconds(5)), 100u);
}

// Guards against permits and shares of a former, higher limit that are used for
// longer than one window.
TEST_F(quota_tier_test, Limit_Lowered_BindsAfterOneWindow) {
  tier_.limits["a"] = {"a", 20, 10, 1};
  random_demand demand("a", 10, 1);
  tier_.Run(seconds(10), [&] { demand.Step(&tier_, 60); });
  tier_.limits["a"] = {"a", 2, 0, 2};
  tier_.cut[0] = true;
  const time_point known = tier_.now;
  tier_.Run(seconds(20), [&] { demand.Step(&tier_, 60); });
  EXPECT_LE(tier_.MostSends("a", seconds(5), known + seconds(5)), 5u * 2 + 20);
  EXPECT_GE(tier_.MostSends("a", seconds(5), known + seconds(5)), 5u * 2);
}

}  // namespace
}  // namespace bilberrycourse
