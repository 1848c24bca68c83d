#ifndef BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_
#define BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_

// Implementation of the shard_dispatcher over its tables. Only the sources of
// the shard_dispatcher include this file:
//
//   shard_dispatcher.cc              interface and events
//   shard_dispatcher_connections.cc  connections to searchers
//   shard_dispatcher_queue.cc        shard queues and replica choice
//   shard_dispatcher_attempts.cc     attempts, hedges, probes
//   shard_dispatcher_replies.cc      replies, failures and retries
//   shard_dispatcher_ends.cc         completion and cancellation of requests

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bilberrycourse/dispatch_tables.h"
#include "bilberrycourse/key_hash.h"
#include "bilberrycourse/replica_choice.h"
#include "bilberrycourse/shard_dispatcher.h"
#include "bilberrycourse/timer_service.h"

namespace bilberrycourse {

class shard_dispatcher::implementation {
 public:
  implementation(const dispatch_options& options,
                 const crash_evidence* evidence)
      : options_(options),
        evidence_(evidence),
        choice_({options.completion, options.same_zone_tolerance,
                 options.wait_for_faster_replica}),
        default_scope_(options.budget) {}

  ~implementation();

  // Sets the time and the effects of the current event. Called first in every
  // event.
  void Begin(time_point now, dispatch_effects* out);
  void SetPolicy(const std::string& scope, const service_policy& policy);
  void SetCallerWeight(const caller_name& caller, double weight);
  void SetSendingAllowed(bool allowed);
  void SetShardOwned(const shard_key& key, bool owned);
  void UpdateBackendServer(const backend_server_record& record);
  void Submit(const instance_name& origin, shard_request request);
  void Cancel(const instance_name& origin, shard_request_id id);
  void OnOriginDisconnected(const instance_name& origin);
  void OnConnectionOpened(connection_id id);
  void OnConnectionFailed(connection_id id);
  void OnConnectionClosed(connection_id id);
  void OnReply(attempt_id id, const attempt_reply& reply);
  void Tick() { timers_.Advance(now_); }

  std::optional<time_point> next_due() const { return timers_.next_due(); }
  const dispatch_counters& counters() const { return counters_; }

  std::vector<backend_server_status> BackendServers() const;
  std::vector<shard_status> Shards(time_point now) const;

 private:
  struct failure {
    result_code code = result_code::kInternal;
    dispatch_reason reason = dispatch_reason::kNoReplica;
  };
  struct connection_entry {
    dispatch_server* server = nullptr;
    dispatch_attempt* attempt = nullptr;
  };
  using reply_handler = void (implementation::*)(dispatch_attempt*,
                                                 const attempt_reply&);
  // Indexed by attempt_reply_kind.
  static const reply_handler kReplyHandlers[5];

  // ---- Entities ----

  dispatch_shard& FindOrCreateShard(const shard_key& key);
  dispatch_server* FindServer(connection_id id);
  static bool Contains(const std::vector<index_version>& versions,
                       index_version version);
  static bool Serves(const dispatch_server& server, index_version version);
  bool Cold(const dispatch_server& server) const;

  // One connection is reserved for cancellations; a searcher that accepts only
  // one uses it for attempts.
  static std::uint32_t ConnectionLimit(const dispatch_server& server);
  std::uint32_t Slots(const dispatch_server& server) const;
  bool Reachable(const dispatch_server& server) const;
  bool NeedsConnections(const dispatch_server& server) const;
  bool Available(const dispatch_server& server) const;
  // Returns false if the searcher's request limit leaves no room now.
  bool WithinLimit(const dispatch_server& server) const;
  void ObserveLimit(dispatch_server* server, const stated_limit& limit);
  void ObserveRest(dispatch_server* server, std::optional<duration> rest);

  // ---- Connections ----

  // Keeps the connections of a shard that is not owned open for
  // idle_connection_timeout.
  void KeepConnected(dispatch_shard* shard);
  void ScheduleIdleClose(dispatch_shard* shard);
  void AdjustShardConnections(dispatch_shard* shard);

  // Opens connections up to the target, or closes the unused ones if the
  // server needs none.
  void AdjustConnections(dispatch_server* server);
  void CloseUnused(dispatch_server* server);

  // Resets the state of a server for a new incarnation, which starts cold and
  // uses new connections. Attempts of the old incarnation continue until they
  // end or their connections break.
  void ResetServer(dispatch_server* server);
  void EraseIfLost(dispatch_server* server);
  // Pauses sending to a server after a shed answer, with exponential backoff.
  void BackOff(dispatch_server* server);
  void PauseUntil(dispatch_server* server, time_point until);

  // ---- Queue ----

  double WeightOf(const caller_name& caller) const;
  void Enqueue(dispatch_request* request);

  // Returns why a request cannot be sent now, or nullopt.
  std::optional<failure> CheckSendable(const dispatch_request& request) const;

  // True if the content is condemned, or if it is suspected of a crash and has
  // not yet run without one; in the second case only its canary may be sent.
  bool IsContentRefused(const shard_request& request) const;
  // Returns the failure if no reachable replica serves the version.
  std::optional<failure> CheckServable(const dispatch_request& request) const;

  // Fails each queued request for which `find_failure` returns a failure.
  template <typename FindFailure>
  void FailQueued(dispatch_shard* shard, FindFailure find_failure) {
    std::vector<std::pair<dispatch_request*, failure>> failed;
    shard->queue.ForEach([&](const fair_queue_entry& entry) {
      const auto& request = static_cast<const dispatch_request&>(entry);
      if (const auto cause = find_failure(request)) {
        failed.emplace_back(const_cast<dispatch_request*>(&request), *cause);
      }
    });
    for (auto& [request, cause] : failed) Fail(request, cause);
  }

  void FailUnservable(dispatch_shard* shard);

  // Sends queued requests until no replica should be sent another one.
  void SendQueued(dispatch_shard* shard);

  // Repeats the replica choice later. The queue may be held for a busy replica
  // that never replies; the age of its attempts grows without an event.
  void ScheduleQueueReview(dispatch_shard* shard);

  // ---- Replica choice ----

  duration PriorServiceTime(const dispatch_shard& shard) const;
  replica_load LoadOf(const dispatch_server& server, duration prior,
                      const dispatch_request* request) const;

  // Returns the replica to send to, or null. If `request` is given, replicas
  // that already run it are excluded, and those that it has tried are ranked
  // last. If `may_wait` is false, only available replicas are considered.
  dispatch_server* Choose(const dispatch_shard& shard, index_version version,
                          const dispatch_request* request, bool may_wait);
  static bool RunsOn(const dispatch_request& request,
                     const dispatch_server& server);

  // ---- Attempts ----

  duration RemainingTime(const dispatch_request& request,
                         const dispatch_server& server) const;

  // Returns the least remaining time with which a queued request is still sent.
  // Under overload, dequeued requests are close to their deadlines, and
  // attempts that end after the deadline would use slots that other requests
  // need. A request that did not wait or is the last in the queue is always
  // sent, because an estimate that is too high would otherwise never be
  // corrected.
  duration MinRemainingTime(const dispatch_request& request,
                            const dispatch_server& server) const;

  // Sends the first attempt or a retry of a request that was just dequeued.
  void Start(dispatch_request* request, dispatch_server* server);
  void Send(dispatch_request* request, dispatch_server* server,
            dispatch_reason reason);

  // True if a second attempt may run in parallel. A request whose content may
  // crash searchers runs on one searcher at a time. A canary that has run for
  // the canary wait without a crash is considered safe and may be hedged; the
  // other shards of its query are sent at that time for the same reason.
  bool MayDuplicate(const dispatch_request& request) const;

  // Schedules the hedge at a quantile of the service time of the other
  // replicas, when one of them would probably have answered. The service time
  // of `server` is used only if no other replica has samples, so that a slow
  // replica does not delay the hedges of its own requests.
  void ScheduleHedge(dispatch_request* request, const dispatch_server& server);
  void HedgeAfter(dispatch_request* request, duration delay);
  void OnHedgeDue(dispatch_request* request);

  // Sends a probe to a replica that is avoided because it was slow. Without new
  // samples its recovery would not be noticed. The probe duplicates an attempt
  // that runs on the chosen replica, so that no answer depends on the probe.
  void ProbeSlowReplica(dispatch_request* request,
                        const dispatch_server& chosen);

  // ---- Replies ----

  void OnOk(dispatch_attempt* attempt, const attempt_reply& reply);
  static void MarkVersionGone(dispatch_server* server, index_version version);
  void OnShed(dispatch_attempt* attempt, const attempt_reply&);
  void OnVersionGone(dispatch_attempt* attempt, const attempt_reply&);
  void OnFailed(dispatch_attempt* attempt, const attempt_reply&);

  // Called by OnConnectionClosed when the connection carried the attempt.
  void OnAttemptDisconnected(dispatch_attempt* attempt);

  // Reports a crash with the contents of all attempts in flight, each of which
  // is suspect. One crash breaks several connections, so contents that were
  // already reported are left out.
  void ReportCrash(dispatch_attempt* broken);

  // Called when the attempt of `request` on `server` has ended without an
  // answer and has been erased. Waits for another attempt, retries, or finishes
  // the request.
  void AttemptFailed(dispatch_request* request, dispatch_server* server,
                     failure cause, dispatch_reason retry_reason);

  // ---- Completion and cancellation ----

  void OnDeadline(dispatch_request* request);
  void Fail(dispatch_request* request, failure cause);

  // Returns the result and erases the request. No other function returns a
  // result.
  void Finish(dispatch_request* request, shard_result result, bool expired);

  // Removes the request from the queue and cancels its attempts.
  void AbortRequest(dispatch_request* request, bool expired);

  // Cancels an attempt whose request has ended.
  void CancelAttempt(dispatch_attempt* attempt);
  static void StopRunning(dispatch_request* request);
  // Schedules OnCancelGraceExpired for cancel_grace after `end`.
  void ScheduleForcedClose(dispatch_attempt* attempt, time_point end);

  // Closes the connection of an attempt to free its slot. The searcher answers
  // neither the attempt nor its cancellation and may hang.
  void OnCancelGraceExpired(dispatch_attempt* attempt);
  void Detach(dispatch_attempt* attempt);
  static void Unlink(dispatch_attempt* attempt);
  void EraseAttempt(dispatch_attempt* attempt);
  void EraseRequest(dispatch_request* request);
  void RecordDecision(const dispatch_request& request, dispatch_reason reason,
                      result_code code, const dispatch_attempt* attempt);

  const dispatch_options options_;
  const crash_evidence* const evidence_;
  const replica_choice choice_;

  // Declared before the tables, because the destructors of entities unlink
  // their timers.
  timer_service timers_;
  std::unordered_map<std::string, dispatch_scope, name_hash, std::equal_to<>>
      scopes_;
  dispatch_scope default_scope_;
  std::unordered_map<caller_name, double, name_hash, std::equal_to<>> weights_;
  std::unordered_map<shard_key, dispatch_shard, shard_key_hash> shards_;
  std::unordered_map<backend_server_key, dispatch_server,
                     backend_server_key_hash>
      servers_;
  std::unordered_map<connection_id, connection_entry> connections_;
  std::unordered_map<instance_name,
                     std::unordered_map<shard_request_id, dispatch_request>,
                     name_hash, std::equal_to<>>
      requests_;
  std::unordered_map<attempt_id, dispatch_attempt> attempts_;

  bool sending_allowed_ = false;
  std::uint64_t next_connection_id_ = 1;
  std::uint64_t next_attempt_id_ = 1;
  dispatch_counters counters_;

  time_point now_{};
  dispatch_effects* out_ = nullptr;
  // Scratch buffers that are reused between events.
  std::vector<connection_id> scratch_ids_;
  std::vector<replica_load> loads_;
  std::vector<dispatch_server*> candidates_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_
