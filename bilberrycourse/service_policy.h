#ifndef BILBERRYCOURSE_SERVICE_POLICY_H_
#define BILBERRYCOURSE_SERVICE_POLICY_H_

// Request policy for one target, which the operator sets in the configuration
// document. The same values apply to every caller; only a published exception
// changes `caller_weight` or `deadline` for one caller.

#include <chrono>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct service_policy {
  // Deadline of requests without one, and the upper limit of all deadlines.
  duration default_deadline = std::chrono::milliseconds(1000);
  duration max_deadline = std::chrono::milliseconds(10000);
  // False if a request must run at most once.
  bool idempotent = true;
  // Attempts per shard and request, including the first one.
  std::uint32_t max_attempts = 3;
  // Hedging sends a second attempt after this quantile of service time.
  bool hedging = true;
  double hedge_quantile = 0.95;
  // Hedges and probes per first attempt; with retries, at most twice as many.
  double extra_attempt_budget = 0.05;
  // If a smaller share of the shards was searched, an idempotent request is
  // reported as a failure.
  double least_coverage = 0.0;
  // If true, a request waits for missing shards until its deadline. Otherwise
  // it is answered as `partial` after `straggler_cutoff`.
  bool coverage_first = true;
  duration straggler_cutoff = std::chrono::milliseconds(500);
  // Longest wait for admission before the request is refused as `not_run`.
  duration max_admission_wait = std::chrono::milliseconds(12);
  bool admission = true;
  // Whether a request of unknown content runs on a canary shard first, and the
  // longest wait for that shard.
  bool canary = true;
  duration canary_wait = std::chrono::milliseconds(10);
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SERVICE_POLICY_H_
