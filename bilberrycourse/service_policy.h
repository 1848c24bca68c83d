#ifndef BILBERRYCOURSE_SERVICE_POLICY_H_
#define BILBERRYCOURSE_SERVICE_POLICY_H_

// The operator-controlled treatment of requests to one target, read from the
// configuration document. The same values apply to every caller; only a
// published exception changes `caller_weight` or `deadline` for one caller.

#include <chrono>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct service_policy {
  // Deadline used when the caller names none, and its upper limit.
  duration default_deadline = std::chrono::milliseconds(1000);
  duration max_deadline = std::chrono::milliseconds(10000);
  // False for targets whose requests must run at most once.
  bool idempotent = true;
  // Attempts per shard and request, the first one included.
  std::uint32_t max_attempts = 3;
  // Hedging sends a second attempt after this quantile of service time.
  bool hedging = true;
  double hedge_quantile = 0.95;
  // Extra attempts (hedges and retries) per first attempt.
  double extra_attempt_budget = 0.05;
  // Below this share of searched shards a read is reported as a failure.
  double least_coverage = 0.0;
  // Coverage first waits for missing shards until the deadline; latency first
  // answers `partial` after `straggler_cutoff`.
  bool coverage_first = true;
  duration straggler_cutoff = std::chrono::milliseconds(500);
  // Longest wait for admission before the request is refused as `not_run`.
  duration max_admission_wait = std::chrono::milliseconds(12);
  bool admission = true;
  // Longest wait for the canary shard of a request of unknown content.
  bool canary = true;
  duration canary_wait = std::chrono::milliseconds(10);
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SERVICE_POLICY_H_
