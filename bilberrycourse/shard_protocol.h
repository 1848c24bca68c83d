#ifndef BILBERRYCOURSE_SHARD_PROTOCOL_H_
#define BILBERRYCOURSE_SHARD_PROTOCOL_H_

// Typed messages between the origin of a query (query_coordinator) and the
// owner of a shard (shard_dispatcher). The daemon sends them over a peer link,
// or passes them directly when origin and owner are the same instance.

#include <cstdint>
#include <string>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// One sub-request of one query for one shard.
struct shard_request {
  shard_request_id id{};
  shard_key shard;
  // The pinned snapshot; only searchers that serve it may run the request.
  index_version version{};
  // On the receiver's clock; the daemon computes it from the remaining time.
  time_point deadline{};
  caller_name caller;
  // Name of the target whose service_policy applies.
  std::string scope;
  fingerprint content{};
  bool idempotent = true;
  // True for the first shard of a request of unknown content: it is neither
  // hedged nor retried on a second replica after a crash.
  bool canary = false;
  // True if this content has run without a crash before, on the canary shard
  // of this query or recently. Otherwise a single crash on any searcher stops
  // further attempts.
  bool proven = false;
  // True when the receiver replaces an owner that does not respond.
  bool deputy = false;
  shared_body body;
  std::string traceparent;
};

// Outcome of one shard_request. Exactly one is returned for each request that
// was not cancelled.
struct shard_result {
  shard_request_id id{};
  // kOk, or the reason why the shard has no answer.
  result_code code = result_code::kOk;
  // True if the result proves that no attempt of the request ran.
  bool not_run = false;
  // Index version that the searcher states in its reply.
  index_version version{};
  std::string replica;
  // Attempts sent for this request, the first one included.
  std::uint32_t attempts = 0;
  // Time in the owner's queue before the first attempt.
  duration queue_wait{0};
  // Time from sending the answering attempt to its reply.
  duration service_time{0};
  shared_body body;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_PROTOCOL_H_
