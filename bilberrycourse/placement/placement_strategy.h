#ifndef BILBERRYCOURSE_PLACEMENT_PLACEMENT_STRATEGY_H_
#define BILBERRYCOURSE_PLACEMENT_PLACEMENT_STRATEGY_H_

// Chooses one of the searchers that may receive an attempt, given their scores.
//
//   const placement_strategy& strategy = StrategyFor(load_balancing::kSpread);
//   std::vector<placement_candidate> candidates = ...;
//   const placement_choice choice = strategy.Choose(candidates, &random);
//
// Load that it answers: many instances choose at the same moment from knowledge
// that is slightly old, so that the searcher with the lowest score may receive
// the requests of all of them. docs/design/even-load.md compares the rules.

#include <cstddef>
#include <random>
#include <span>

#include "bilberrycourse/placement/load_balancing.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct placement_candidate {
  // Lower is better; in multiples of the expected service time.
  double score = 0;
};

class placement_strategy {
 public:
  placement_strategy() = default;
  placement_strategy(const placement_strategy&) = delete;
  placement_strategy& operator=(const placement_strategy&) = delete;
  virtual ~placement_strategy() = default;

  // Returns the index of the candidate to use; `candidates` is not empty.
  virtual std::size_t Choose(std::span<const placement_candidate> candidates,
                             std::minstd_rand* random) const = 0;
  // Returns the estimate of a searcher's slowdown after a sample, whose weight
  // is from 0 to 1.
  virtual double Smoothed(double slowdown, double sample,
                          double weight) const = 0;
  // Returns the time in which a slowdown decays by a factor of e, given that of
  // the pool.
  virtual duration SlowdownDecayTime(duration configured) const = 0;
};

// The objects live as long as the process.
const placement_strategy& StrategyFor(load_balancing rule);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_PLACEMENT_STRATEGY_H_
