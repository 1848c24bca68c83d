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
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace bilberrycourse {

enum class load_balancing : std::uint8_t {
  // The lowest score, apart from a small jitter.
  kBest = 0,
  // A searcher of similar score is chosen with a probability that falls with
  // the distance from the lowest score.
  kSpread = 1,
};

std::string_view ToString(load_balancing rule);
std::optional<load_balancing> ParseLoadBalancing(std::string_view name);

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
};

// The objects live as long as the process.
const placement_strategy& StrategyFor(load_balancing rule);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_PLACEMENT_STRATEGY_H_
