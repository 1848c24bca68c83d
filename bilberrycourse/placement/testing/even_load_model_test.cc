#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "bilberrycourse/placement/testing/placement_model_implementation.h"

namespace bilberrycourse {
namespace {

struct model_rule {
  std::string name;
  searcher_pool_options pool{};
  bool exact = false;
};

std::vector<std::pair<std::string, model_options>> Variants() {
  return {{"usual", {}},
          {"short x2.5", {.short_demand = 2.5}},
          {"slow 15% x6", {.slow_share = 0.15}},
          {"crash 10%", {.crash_share = 0.10}},
          {"uneven zones", {.zone_demand = {4, 2, 1, 1}}}};
}

std::vector<model_rule> Rules() {
  std::vector<model_rule> rules(2);
  rules[0].name = "best";
  rules[1].name = "spread";
  rules[1].pool.strategy = &StrategyFor(load_balancing::kSpread);
  model_rule& exact = rules.emplace_back();
  exact.name = "exact";
  exact.exact = true;
  return rules;
}

// Prints the table of docs/design/even-load.md; it checks nothing.
TEST(even_load_model, DISABLED_Report) {
  const char* seeds_text = std::getenv("SEEDS");
  const std::uint32_t seeds = seeds_text ? std::atoi(seeds_text) : 3;
  for (const auto& [variant, base] : Variants()) {
    std::printf("%-13s %-10s share  var    queue99  long50/99     short50/99"
                "    late%%  extra%% zone%%  slowed%%\n",
                variant.c_str(), "");
    for (const model_rule& rule : Rules()) {
      placement_figures sum;
      for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        model_options options = base;
        options.seed = seed;
        options.pool = rule.pool;
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
      std::printf("%-13s %-10s %.3f  %.4f %6.1f %7.1f /%6.1f %6.1f /%6.1f "
                  "%6.2f %6.2f %6.2f %6.2f\n",
                  "", rule.name.c_str(), sum.greatest_share, sum.share_variance,
                  sum.queue_p99_ms, sum.long_p50_ms, sum.long_p99_ms,
                  sum.short_p50_ms, sum.short_p99_ms, 100 * sum.late_share,
                  100 * sum.extra_share, 100 * sum.other_zone_share,
                  100 * sum.slowed_share);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace bilberrycourse
