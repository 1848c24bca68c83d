#ifndef BILBERRYCOURSE_PLACEMENT_LOAD_BALANCING_H_
#define BILBERRYCOURSE_PLACEMENT_LOAD_BALANCING_H_

// Names of the rules by which an instance chooses among the searchers of a
// service; placement_strategy.h has the rules.

#include <cstdint>
#include <optional>
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

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_LOAD_BALANCING_H_
