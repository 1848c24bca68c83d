#ifndef BILBERRYCOURSE_SHARD_DISPATCHER_H_
#define BILBERRYCOURSE_SHARD_DISPATCHER_H_

// Owner side of the query path (design 3.2): queues sub-requests per shard,
// selects a replica, opens connections in advance, hedges, retries and cancels.
//
//   shard_dispatcher dispatcher(options);
//   dispatch_effects effects;
//   dispatcher.SetSendingAllowed(true, now, &effects);
//   dispatcher.SetShardOwned(shard, true, now, &effects);
//   dispatcher.UpdateBackendServer(record, now, &effects);
//   dispatcher.Submit(origin, request, now, &effects);
//   ExecuteEffects(effects);  // open connections, send attempts, ...
//   ...
//   dispatcher.OnReply(attempt, reply, now, &effects);
//
// Every request that Submit accepted gets exactly one finish_request, unless
// it was cancelled or its origin was lost. The owner of the dispatcher calls
// Tick() every 10 ms and also at next_due(), because hedges are due between
// ticks. A connection carries at most one attempt at a time.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/attempt_budget.h"
#include "bilberrycourse/backend_server_record.h"
#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/dispatch_effects.h"
#include "bilberrycourse/replica_choice.h"
#include "bilberrycourse/service_policy.h"
#include "bilberrycourse/service_time_estimator.h"
#include "bilberrycourse/shard_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct dispatch_options {
  // Zone of this instance.
  availability_zone zone;
  // Maximum number of queued requests per shard; more are refused with
  // kOverloaded.
  std::size_t max_queue_per_shard = 256;
  // Connections to open in addition to one per slot.
  std::uint32_t spare_connections = 2;
  // Connections to the searchers of a shard that is not owned are closed after
  // this time without a request.
  duration idle_connection_timeout = std::chrono::seconds(5);
  // Delay before reconnecting after a failure; doubles up to
  // max_reconnect_wait.
  duration reconnect_wait = std::chrono::milliseconds(10);
  duration max_reconnect_wait = std::chrono::seconds(1);
  // Consecutive failures after which a searcher without a connection counts as
  // unreachable, so that queued requests do not wait for it.
  std::uint32_t unreachable_after_failures = 2;
  // Successful replies after which a newly started searcher is given more than
  // one slot.
  std::uint32_t ramp_successes = 10;
  // Time without new attempts after a shed answer; doubles up to
  // max_shed_pause and is reset by a successful reply.
  duration shed_pause = std::chrono::milliseconds(2);
  duration max_shed_pause = std::chrono::milliseconds(50);
  // Network transit time of a request and its reply; subtracted from the
  // deadline that the searcher receives.
  duration transit_same_zone = std::chrono::microseconds(300);
  duration transit_other_zone = std::chrono::milliseconds(2);
  // While other requests are queued, a queued request whose remaining time is
  // below this quantile of the service time is refused with kQueueDeadline.
  double min_remaining_quantile = 0.99;
  // Expected completions that differ by at most this much count as equal, and
  // the replica in the same zone is preferred.
  duration same_zone_tolerance = std::chrono::milliseconds(1);
  // Service time assumed for a shard without samples.
  duration initial_service_time = std::chrono::milliseconds(10);
  // Hedge delay for a shard with too few samples.
  duration initial_hedge_delay = std::chrono::milliseconds(50);
  // A slow replica that has not been chosen for this long is sent a probe,
  // which is a duplicate attempt of an idempotent request. No answer waits for
  // a probe.
  duration probe_interval = std::chrono::milliseconds(200);
  // A service-time estimate without new samples for this long is ignored.
  duration estimate_expiry = std::chrono::seconds(5);
  // The connection of a cancelled or expired attempt is closed after this time
  // without a reply, because the searcher may hang.
  duration cancel_grace = std::chrono::milliseconds(500);
  // The age of the oldest attempt in flight affects replica choice only if it
  // is at least this many service times. With 1, the normal latency tail of one
  // slot would make a healthy replica look slow.
  int age_evidence_factor = 5;
  // Model for comparing replicas (docs/decisions/replica-choice.md).
  completion_model completion = completion_model::kParallelSlots;
  // True if a request waits when a busy replica is expected to answer sooner.
  bool wait_for_faster_replica = true;
  // True if each decision is emitted as a dispatch_decision.
  bool record_decisions = true;
  service_time_options service_time;
  attempt_budget_options budget;
};

struct dispatch_counters {
  std::uint64_t submitted = 0;
  std::uint64_t duplicate_submits = 0;
  std::uint64_t finished = 0;
  std::uint64_t answered = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedges_won = 0;
  std::uint64_t probes = 0;
  std::uint64_t retries = 0;
  std::uint64_t sheds = 0;
  std::uint64_t failures = 0;
  std::uint64_t crashes = 0;
  std::uint64_t versions_gone = 0;
  std::uint64_t wrong_version_replies = 0;
  // Replies to an attempt that is unknown or no longer in flight.
  std::uint64_t unmatched_replies = 0;
  // Replies to an attempt whose request had already finished.
  std::uint64_t late_replies = 0;
  std::uint64_t overloaded = 0;
  std::uint64_t expired_in_queue = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_failed = 0;
  std::uint64_t connections_broken = 0;
};

// State of one searcher as the dispatcher sees it.
struct backend_server_status {
  backend_server_record record;
  bool owned = false;
  bool cold = false;
  std::uint32_t in_flight = 0;
  std::uint32_t open_connections = 0;
  std::uint32_t opening_connections = 0;
  std::optional<duration> recent_service_time;
};

struct shard_status {
  shard_key shard;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  // Waiting time of the request that has been queued longest.
  duration oldest_wait{0};
};

class shard_dispatcher {
 public:
  // `evidence` may be null; otherwise it must outlive the dispatcher, and
  // requests whose content is condemned are refused before each attempt.
  explicit shard_dispatcher(const dispatch_options& options = {},
                            const crash_evidence* evidence = nullptr);
  shard_dispatcher(const shard_dispatcher&) = delete;
  shard_dispatcher& operator=(const shard_dispatcher&) = delete;
  ~shard_dispatcher();

  // Sets the policy of a scope. Scopes without one use the default policy.
  void SetPolicy(const std::string& scope, const service_policy& policy);
  // Sets a caller's weight in the fair queues: 1 unless an exception changes
  // it.
  void SetCallerWeight(const caller_name& caller, double weight);
  // Allows or forbids new attempts. They are forbidden initially and while the
  // control lease has expired: queued and new requests then finish with
  // kControlLeaseExpired, and running attempts continue.
  void SetSendingAllowed(bool allowed, time_point now, dispatch_effects* out);

  // Connections are opened in advance only for owned shards. Requests for other
  // shards are served too, as a deputy, over connections opened on demand.
  void SetShardOwned(const shard_key& shard, bool owned, time_point now,
                     dispatch_effects* out);
  // Adds or updates a searcher. A record older than the known one is ignored.
  void UpdateBackendServer(const backend_server_record& record, time_point now,
                           dispatch_effects* out);

  void Submit(const instance_name& origin, shard_request request,
              time_point now, dispatch_effects* out);
  // Cancels a request; no result is returned for it.
  void Cancel(const instance_name& origin, shard_request_id id, time_point now,
              dispatch_effects* out);
  // Called when the link to the origin is lost. Drops its queued requests and
  // cancels its running idempotent ones.
  void OnOriginDisconnected(const instance_name& origin, time_point now,
                            dispatch_effects* out);

  void OnConnectionOpened(connection_id connection, time_point now,
                          dispatch_effects* out);
  // Called when a connection could not be opened.
  void OnConnectionFailed(connection_id connection, time_point now,
                          dispatch_effects* out);
  // Called when the searcher closed a connection or it broke. An attempt on it
  // may have crashed the searcher.
  void OnConnectionClosed(connection_id connection, time_point now,
                          dispatch_effects* out);
  void OnReply(attempt_id attempt, const attempt_reply& reply, time_point now,
               dispatch_effects* out);

  void Tick(time_point now, dispatch_effects* out);
  // Returns the time of the earliest pending timer, at which Tick() must be
  // called.
  std::optional<time_point> next_due() const;

  const dispatch_counters& counters() const;
  std::vector<backend_server_status> BackendServers() const;
  std::vector<shard_status> Shards(time_point now) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_DISPATCHER_H_
