#ifndef BILBERRYCOURSE_ADMISSION_PROTOCOL_H_
#define BILBERRYCOURSE_ADMISSION_PROTOCOL_H_

// Typed messages between an origin (admission_client) and the admission
// instance of a scope (admission_controller). The daemon sends them over a peer
// link in batches, or passes them directly if both are on the same instance.

#include <chrono>
#include <cstdint>
#include <string>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Requests permission to run one query.
struct admission_request {
  // Unique within the origin.
  query_id query{};
  std::string scope;
  caller_name caller;
  // Share of the caller relative to others. 1 unless an exception changes it.
  std::uint32_t weight = 1;
  // Maximum wait for a decision.
  duration max_wait = std::chrono::milliseconds(15);
  // In the receiver's clock. A grant without a release expires shortly after
  // it.
  time_point deadline{};
  // True if the origin has already admitted the query by its own decision. The
  // query is counted as running and no decision is returned.
  bool running = false;
};

enum class admission_verdict : std::uint8_t {
  kGranted,
  kRefused,
  // The request is queued; a grant or refusal follows within its max_wait. The
  // verdict shows the origin that the admission instance is responsive.
  kQueued,
};

struct admission_decision {
  query_id query{};
  std::string scope;
  admission_verdict verdict = admission_verdict::kGranted;
  // Reason of a refusal.
  result_code code = result_code::kOk;
  // Time after which the caller of a refused query should retry.
  duration retry_after{0};
  // Current limit on running queries of the scope, over all origins.
  std::uint32_t limit = 0;
};

// Ends one grant, or withdraws a queued request.
struct admission_release {
  query_id query{};
  std::string scope;
  // True if the query was sent to shards, so that the two durations count.
  bool measured = false;
  // Maxima over the shard results of the query.
  duration queue_wait{0};
  duration service_time{0};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ADMISSION_PROTOCOL_H_
