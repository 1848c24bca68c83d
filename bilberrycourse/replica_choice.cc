#include "bilberrycourse/replica_choice.h"

#include <algorithm>

namespace bilberrycourse {

duration replica_choice::ExpectedCompletion(const replica_load& load,
                                            std::size_t queued) const {
  const duration service = std::max(load.service_time, load.oldest_age);
  const std::int64_t slots = std::max<std::uint32_t>(load.slots, 1);
  if (options_.model == completion_model::kSharedProcessor) {
    return service * (load.in_flight + 1);
  }
  if (load.in_flight < slots) return service;
  // Number of requests that must finish before a slot is free for this one;
  // `slots` requests finish in each service time.
  const std::int64_t requests_ahead =
      load.in_flight - slots + 1 + static_cast<std::int64_t>(queued);
  return service + service * requests_ahead / slots;
}

bool replica_choice::IsBetter(const replica_load& a, duration cost_a,
                              const replica_load& b, duration cost_b) const {
  if (a.already_tried != b.already_tried) return b.already_tried;
  if (a.same_zone != b.same_zone) {
    const duration difference = cost_a - cost_b;
    if (difference <= options_.same_zone_tolerance &&
        -difference <= options_.same_zone_tolerance) {
      return a.same_zone;
    }
  }
  // With free slots on both, the costs are the service times. Unless they
  // differ by more than a quarter, prefer the replica with fewer attempts in
  // flight: a crash or slowdown of it affects fewer requests.
  const duration larger = std::max(cost_a, cost_b);
  const duration smaller = std::min(cost_a, cost_b);
  if (larger - smaller > smaller / 4) return cost_a < cost_b;
  if (a.in_flight != b.in_flight) return a.in_flight < b.in_flight;
  return a.last_used < b.last_used;
}

std::optional<std::size_t> replica_choice::Choose(
    std::span<const replica_load> loads, std::size_t queued) const {
  std::optional<std::size_t> best;
  duration best_cost{0};
  for (std::size_t i = 0; i < loads.size(); ++i) {
    if (!loads[i].available) continue;
    const duration cost = ExpectedCompletion(loads[i], queued);
    if (!best || IsBetter(loads[i], cost, loads[*best], best_cost)) {
      best = i;
      best_cost = cost;
    }
  }
  if (!best || !options_.wait_for_faster_replica) return best;
  for (const replica_load& load : loads) {
    if (load.available || !load.reachable || load.already_tried) continue;
    if (ExpectedCompletion(load, queued) < best_cost) return std::nullopt;
  }
  return best;
}

}  // namespace bilberrycourse
