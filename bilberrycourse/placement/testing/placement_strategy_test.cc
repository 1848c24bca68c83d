#include "bilberrycourse/placement/placement_strategy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "bilberrycourse/searcher_pool.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

constexpr duration kExpected = milliseconds(8);

// One pool with three searchers of a service in its own zone, unless told.
class spread_test : public ::testing::Test {
 protected:
  spread_test() { pool_ = MakePool(1, {"a", "a", "a"}); }

  std::unique_ptr<searcher_pool> MakePool(
      std::uint32_t seed, const std::vector<std::string>& zones,
      load_balancing rule = load_balancing::kSpread) {
    searcher_pool_options options;
    options.strategy = &StrategyFor(rule);
    options.random_seed = seed;
    auto pool = std::make_unique<searcher_pool>(options, "e1", "a");
    pool->SetInstances(1);
    pool->SetConnectionLimit("lots", 10);
    for (std::size_t i = 0; i < zones.size(); ++i) {
      searcher_record record;
      const std::string id = "i" + std::to_string(i);
      record.report = {
          id, "lots", id + ":80", zones[i], 2, searcher_state::kServing, 1, 1};
      pool->Update({record}, false, now_, &stopped_, &unused_);
    }
    return pool;
  }

  // Sends one request, which takes `factor` of the chosen searcher times the
  // expected time, and returns the index of the searcher.
  std::size_t SendOne(const std::vector<double>& factors) {
    searcher_entry* chosen = pool_->Choose("lots", {}, now_);
    const auto index = static_cast<std::size_t>(chosen->report.id[1] - '0');
    pool_->OnSent(chosen, kExpected, now_);
    const time_point sent_at = now_;
    const duration took = Scaled(kExpected, factors[index]);
    pool_->OnAnswered(chosen, sent_at, kExpected, false, sent_at + took);
    now_ += milliseconds(100);
    return index;
  }

  std::vector<double> Shares(int requests, const std::vector<double>& factors) {
    std::vector<double> shares(factors.size());
    for (int i = 0; i < requests; ++i) {
      shares[SendOne(factors)] += 1.0 / requests;
    }
    return shares;
  }

  time_point now_ = time_point(std::chrono::seconds(10));
  std::vector<std::string> stopped_;
  std::vector<connection_id> unused_;
  std::unique_ptr<searcher_pool> pool_;
};

// Guards against other choices of the default rule than before strategies
// existed: a jitter for each candidate in order, then the lowest score.
TEST(best_strategy_test, Choose_AnyScores_EqualsTheRuleBefore) {
  std::minstd_rand scores(7);
  std::minstd_rand random(11);
  std::minstd_rand random_before(11);
  std::uniform_real_distribution<double> score(1, 1.1);
  for (int i = 0; i < 2000; ++i) {
    std::vector<placement_candidate> candidates(1 + i % 4);
    for (auto& candidate : candidates) candidate.score = score(scores);
    std::uniform_real_distribution<double> jitter(0, 0.05);
    std::size_t expected = candidates.size();
    double best_score = 0;
    for (std::size_t k = 0; k < candidates.size(); ++k) {
      const double value = candidates[k].score + jitter(random_before);
      if (expected != candidates.size() && value >= best_score) continue;
      expected = k;
      best_score = value;
    }
    const placement_strategy& best = StrategyFor(load_balancing::kBest);
    ASSERT_EQ(best.Choose(candidates, &random), expected);
    ASSERT_EQ(best.Smoothed(2.0, 4.0, 0.2), (1 - 0.2) * 2.0 + 0.2 * 4.0);
  }
}

// Guards against replicas of one zone that stay idle beside a busy one.
TEST_F(spread_test, Choose_EqualSearchers_SpreadsOverReplicas) {
  for (const double share : Shares(600, {1, 1, 1})) EXPECT_GT(share, 0.2);
}

// Guards against a fast searcher that gets no more than a slow one, and against
// one that gets everything.
TEST_F(spread_test, Choose_UnequalSpeeds_FasterOnesGetMore) {
  const std::vector<double> shares = Shares(3000, {1 / 0.8, 1 / 1.0, 1 / 1.3});
  EXPECT_GT(shares[1], 1.2 * shares[0]);
  EXPECT_GT(shares[2], 1.1 * shares[1]);
  EXPECT_GT(shares[0], 0.05);
  EXPECT_LT(shares[2], 0.75);
}

// Guards against choosers that all take the same searcher at one moment,
// because all have the same slightly old samples.
TEST_F(spread_test, Choose_ManyChoosersAtOnce_DoNotAllChooseTheSame) {
  const auto chosen_by_most = [&](load_balancing rule) {
    std::map<std::string, int> counts;
    for (std::uint32_t seed = 1; seed <= 85; ++seed) {
      const auto pool = MakePool(seed, {"a", "a", "a"}, rule);
      const milliseconds took[] = {milliseconds(8), milliseconds(12),
                                   milliseconds(12)};
      for (const auto& id : {"i0", "i1", "i2"}) {
        searcher_entry* entry = pool->Find(id);
        pool->OnSent(entry, kExpected, now_);
        pool->OnAnswered(entry, now_, kExpected, false,
                         now_ + took[id[1] - '0']);
      }
      ++counts[pool->Choose("lots", {}, now_ + milliseconds(12))->report.id];
    }
    return std::max({counts["i0"], counts["i1"], counts["i2"]});
  };
  EXPECT_EQ(chosen_by_most(load_balancing::kBest), 85);
  EXPECT_LT(chosen_by_most(load_balancing::kSpread), 50);
}

// Guards against billed traffic: one pause of a searcher in the own zone is one
// sample of many times the expected time, and says nothing about later.
TEST_F(spread_test, Choose_AfterOnePause_StaysInOwnZone) {
  pool_ = MakePool(1, {"a", "b", "b"});
  searcher_entry* own = pool_->Find("i0");
  pool_->OnSent(own, kExpected, now_);
  pool_->OnAnswered(own, now_, kExpected, false, now_ + milliseconds(100));
  now_ += milliseconds(100);
  EXPECT_GT(Shares(100, {1, 1, 1})[0], 0.9);
}

// Guards against a slow searcher that is not noticed within 5 requests or gets
// more than a tenth of them later, and against one that is still avoided 4 s
// after it has recovered.
TEST_F(spread_test, Choose_SlowSearcher_IsAvoidedAndFoundAgain) {
  pool_ = MakePool(1, {"a", "b", "b"});
  Shares(50, {1, 1, 1});
  int to_slow = 0;
  for (int i = 0; i < 5; ++i) to_slow += SendOne({6, 1, 1}) == 0 ? 1 : 0;
  EXPECT_LT(to_slow, 5);
  EXPECT_LT(Shares(100, {6, 1, 1})[0], 0.15);
  Shares(40, {1, 1, 1});
  EXPECT_GT(Shares(50, {1, 1, 1})[0], 0.8);
}

}  // namespace
}  // namespace bilberrycourse
