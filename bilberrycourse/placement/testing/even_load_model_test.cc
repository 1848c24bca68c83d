#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "bilberrycourse/placement/placement_strategy.h"
#include "bilberrycourse/placement/testing/placement_model_implementation.h"

namespace bilberrycourse {
namespace {

struct model_rule {
  std::string name;
  searcher_pool_options pool{};
  relay_plan_options relays{};
  bool exact = false;
};

std::vector<std::pair<std::string, model_options>> Variants() {
  return {{"usual", {}},
          {"short x2.5", {.short_demand = 2.5}},
          {"slow 15% x6", {.slow_share = 0.15}},
          {"crash 10%", {.crash_share = 0.10}},
          {"uneven zones", {.zone_demand = {4, 2, 1, 1}}}};
}

// Alternatives to the rules of the library.
enum class draw { kLowest, kDistance, kTwo, kProportional };
class trial_strategy : public placement_strategy {
 public:
  trial_strategy(draw rule, double parameter, bool steps)
      : rule_(rule), parameter_(parameter), steps_(steps) {}
  std::size_t Choose(std::span<const placement_candidate> candidates,
                     std::minstd_rand* random) const override {
    const placement_strategy& lowest = StrategyFor(load_balancing::kBest);
    if (rule_ == draw::kLowest) return lowest.Choose(candidates, random);
    if (rule_ == draw::kTwo) {
      const std::size_t a = (*random)() % candidates.size();
      const std::size_t b = (*random)() % candidates.size();
      return candidates[b].score < candidates[a].score ? b : a;
    }
    double least = candidates.front().score;
    for (const auto& candidate : candidates) {
      least = std::min(least, candidate.score);
    }
    std::vector<double> weights;
    for (const auto& candidate : candidates) {
      weights.push_back(rule_ == draw::kProportional
                            ? std::pow(candidate.score, -parameter_)
                            : std::exp((least - candidate.score) / parameter_));
    }
    std::discrete_distribution<std::size_t> chosen(weights.begin(),
                                                   weights.end());
    return chosen(*random);
  }
  double Smoothed(double slowdown, double sample,
                  double weight) const override {
    const placement_strategy& spread = StrategyFor(load_balancing::kSpread);
    if (steps_) return spread.Smoothed(slowdown, sample, weight);
    return slowdown * std::pow(std::max(sample / slowdown, 0.1), weight);
  }

  duration SlowdownDecayTime(duration configured) const override {
    return steps_ ? StrategyFor(load_balancing::kSpread)
                        .SlowdownDecayTime(configured)
                  : configured;
  }

 private:
  draw rule_;
  double parameter_;
  bool steps_;
};

std::vector<model_rule> Rules() {
  static const trial_strategy kLowest(draw::kLowest, 0, false);
  static const trial_strategy kDistance(draw::kDistance, 0.1, true);
  static const trial_strategy kTwo(draw::kTwo, 0, true);
  static const trial_strategy kProportional(draw::kProportional, 3, true);
  const placement_strategy* spread = &StrategyFor(load_balancing::kSpread);
  std::vector<model_rule> rules = {{"best"}, {"spread", {.strategy = spread}}};
  rules.push_back({"lowest, geometric", {.strategy = &kLowest}});
  rules.push_back({"distance, step", {.strategy = &kDistance}});
  rules.push_back({"proportional", {.strategy = &kProportional}});
  rules.push_back({"two choices", {.strategy = &kTwo}});
  rules.push_back(
      {"spread, no zones", {.other_zone_cost = 0, .strategy = spread}});
  rules.push_back(
      {"spread, one set", {.strategy = spread}, {.min_instances = 12}});
  rules.push_back({"exact", {}, {}, true});
  return rules;
}

// Guards against a rule that moves requests to other zones after each pause of
// a searcher, which is billed, or that pays for it with late answers.
TEST(even_load_model, UsualLoad_Spread_StaysInZoneAndInTime) {
  model_options options;
  const placement_figures best = placement_model(options).Run();
  options.pool.strategy = &StrategyFor(load_balancing::kSpread);
  const placement_figures spread = placement_model(options).Run();
  EXPECT_LT(spread.other_zone_share, 0.65 * best.other_zone_share);
  EXPECT_LT(spread.share_variance, best.share_variance);
  EXPECT_LE(spread.late_share, best.late_share + 0.002);
}

// Prints the table of docs/design/even-load.md; it checks nothing.
TEST(even_load_model, DISABLED_Report) {
  const char* seeds_text = std::getenv("SEEDS");
  const std::uint32_t seeds = seeds_text ? std::atoi(seeds_text) : 3;
  for (const auto& [variant, base] : Variants()) {
    std::printf(
        "%-13s %-18s share  var    queue99  long50/99     short50/99"
        "    late%%  extra%% zone%%  slowed%%\n",
        variant.c_str(), "");
    for (const model_rule& rule : Rules()) {
      placement_figures sum;
      for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        model_options options = base;
        options.seed = seed;
        options.pool = rule.pool;
        options.relays = rule.relays;
        options.exact = rule.exact;
        const placement_figures one = placement_model(options).Run();
        for (auto member :
             {&placement_figures::greatest_share,
              &placement_figures::share_variance,
              &placement_figures::queue_p99_ms, &placement_figures::long_p50_ms,
              &placement_figures::long_p99_ms, &placement_figures::short_p50_ms,
              &placement_figures::short_p99_ms, &placement_figures::late_share,
              &placement_figures::extra_share,
              &placement_figures::other_zone_share,
              &placement_figures::slowed_share}) {
          sum.*member += one.*member / seeds;
        }
      }
      std::printf(
          "%-13s %-18s %.3f  %.4f %6.1f %7.1f /%6.1f %6.1f /%6.1f "
          "%6.2f %6.2f %6.2f %6.2f\n",
          "", rule.name.c_str(), sum.greatest_share, sum.share_variance,
          sum.queue_p99_ms, sum.long_p50_ms, sum.long_p99_ms, sum.short_p50_ms,
          sum.short_p99_ms, 100 * sum.late_share, 100 * sum.extra_share,
          100 * sum.other_zone_share, 100 * sum.slowed_share);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace bilberrycourse
