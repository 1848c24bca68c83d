#include "bilberrycourse/placement/placement_strategy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bilberrycourse {
namespace {

// Breaks ties, so that instances with equal scores spread their load.
constexpr double kJitter = 0.05;
// A distance of this from the lowest score makes a searcher less probable by a
// factor of e; the square makes scores closer than that nearly equal, and the
// cost of another zone alone as rare as 1 in 190.
constexpr double kScoreScale = 0.35;
// Bounds the effect of a sample near 0.
constexpr double kMinRatio = 0.1;
// A sample above this multiple of the estimate is a pause, or the first sign of
// a slow searcher; it raises the estimate by the step. One step from 1 stays
// below the cost of another zone, two steps exceed it.
constexpr double kOutlierRatio = 3;
constexpr double kOutlierStep = 1.45;
// A searcher known to be slow is tried less often than with `best`: every trial
// costs one request its objective.
constexpr double kDecayFactor = 1.6;

constexpr std::array<std::string_view, 2> kNames = {"best", "spread"};

double Weight(const placement_candidate& candidate, double lowest) {
  const double distance = (candidate.score - lowest) / kScoreScale;
  return std::exp(-distance * distance);
}

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
  double Smoothed(double slowdown, double sample,
                  double weight) const override {
    return (1 - weight) * slowdown + weight * sample;
  }
  duration SlowdownDecayTime(duration configured) const override {
    return configured;
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
      total += Weight(candidate, lowest);
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(*random);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      drawn -= Weight(candidates[i], lowest);
      if (drawn < 0) return i;
    }
    return candidates.size() - 1;
  }
  // A pause of 100 ms is one sample of 10 or more. In an arithmetic mean it
  // moved the requests of an instance to another zone for seconds after the
  // pause had ended. Here one such sample is a limited step; a searcher that is
  // slow gives several. Other samples enter a geometric mean, in which a
  // service time of double and one of half the expected length cancel out.
  double Smoothed(double slowdown, double sample,
                  double weight) const override {
    const double ratio = std::max(sample / slowdown, kMinRatio);
    if (ratio > kOutlierRatio) return slowdown * kOutlierStep;
    return slowdown * std::pow(ratio, weight);
  }
  duration SlowdownDecayTime(duration configured) const override {
    return Scaled(configured, kDecayFactor);
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
