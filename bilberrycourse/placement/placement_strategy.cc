#include "bilberrycourse/placement/placement_strategy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace bilberrycourse {
namespace {

// Breaks ties, so that instances with equal scores spread their load.
constexpr double kJitter = 0.05;
// Difference of scores that makes a searcher less probable by a factor of e.
constexpr double kScoreScale = 0.2;

constexpr std::array<std::string_view, 2> kNames = {"best", "spread"};

class best_strategy : public placement_strategy {
 public:
  std::size_t Choose(std::span<const placement_candidate> candidates,
                     std::minstd_rand* random) const override {
    std::uniform_real_distribution<double> jitter(0, kJitter);
    std::size_t best = 0;
    double best_score = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const double score = candidates[i].score + jitter(*random);
      if (i > 0 && score >= best_score) continue;
      best = i;
      best_score = score;
    }
    return best;
  }
};

class spread_strategy : public placement_strategy {
 public:
  std::size_t Choose(std::span<const placement_candidate> candidates,
                     std::minstd_rand* random) const override {
    double lowest = candidates.front().score;
    for (const auto& candidate : candidates) {
      lowest = std::min(lowest, candidate.score);
    }
    double total = 0;
    for (const auto& candidate : candidates) {
      total += std::exp((lowest - candidate.score) / kScoreScale);
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(*random);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      drawn -= std::exp((lowest - candidates[i].score) / kScoreScale);
      if (drawn < 0) return i;
    }
    return candidates.size() - 1;
  }
};

}  // namespace

std::string_view ToString(load_balancing rule) {
  return kNames.at(static_cast<std::size_t>(rule));
}

std::optional<load_balancing> ParseLoadBalancing(std::string_view name) {
  const auto* found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<load_balancing>(found - kNames.begin());
}

const placement_strategy& StrategyFor(load_balancing rule) {
  static const best_strategy kBest;
  static const spread_strategy kSpread;
  if (rule == load_balancing::kSpread) return kSpread;
  return kBest;
}

}  // namespace bilberrycourse
