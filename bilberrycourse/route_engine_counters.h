#ifndef BILBERRYCOURSE_ROUTE_ENGINE_COUNTERS_H_
#define BILBERRYCOURSE_ROUTE_ENGINE_COUNTERS_H_

// What a route_engine has done since its start, for metrics.
//
//   const route_engine_counters& counters = engine.counters();

#include <cstdint>

namespace bilberrycourse {

struct route_engine_counters {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t partial = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t budget_refusals = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t broken_attempts = 0;
  std::uint64_t late_replies = 0;
  // Permissions of the limit_allocator.
  std::uint64_t permissions_wanted = 0;
  std::uint64_t permissions_granted = 0;
  std::uint64_t allocator_losses = 0;
  // Parts that other instances were asked to search, because this one reaches
  // none of their searchers, and losses of all searchers.
  std::uint64_t delegated_parts = 0;
  std::uint64_t isolations = 0;
  // Reports of relays about shards that are not theirs.
  std::uint64_t refused_reports = 0;
  // Replies of searchers that asked for rest.
  std::uint64_t rests = 0;
  // Attempts that a request limit moved to another searcher or excluded.
  std::uint64_t limit_denials = 0;
  // Crashes of searchers while they ran a request, and requests refused because
  // their content has crashed searchers.
  std::uint64_t searcher_crashes = 0;
  std::uint64_t quarantine_refusals = 0;
  // Choices of a searcher, those of a searcher without the lowest score, and
  // those of one in another availability zone.
  std::uint64_t choices = 0;
  std::uint64_t choices_not_lowest = 0;
  std::uint64_t choices_other_zone = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_ENGINE_COUNTERS_H_
