#ifndef BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_
#define BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_

// The systems of the shard_dispatcher that run over its tables. Only its own
// sources include this file:
//
//   shard_dispatcher.cc              interface and events
//   shard_dispatcher_connections.cc  connections to searchers
//   shard_dispatcher_queue.cc        queues of shards and choice of replicas
//   shard_dispatcher_attempts.cc     attempts, hedges, probes
//   shard_dispatcher_replies.cc      what an attempt's end means
//   shard_dispatcher_ends.cc         ends and cancellation of requests

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
        choice_(
            {options.completion, options.zone_tie, options.hold_for_faster}),
        default_scope_(options.budget) {}

  ~implementation();

  // Every event starts here: effects and time of the event at hand.
  void Begin(time_point now, dispatch_effects* out);
  void SetPolicy(const std::string& scope, const service_policy& policy);
  void SetCallerWeight(const caller_name& caller, double weight);
  void SetSendingAllowed(bool allowed);
  void SetShardOwned(const shard_key& key, bool owned);
  void UpdateBackendServer(const backend_server_record& record);
  void Submit(const instance_name& origin, shard_request request);
  void Cancel(const instance_name& origin, shard_request_id id);
  void OnOriginLost(const instance_name& origin);
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
  // In the order of attempt_reply_kind.
  static const reply_handler kReplyHandlers[5];

  // ---- Entities ----

  dispatch_shard& ShardOf(const shard_key& key);
  dispatch_server* ServerOf(connection_id id);
  static bool Contains(const std::vector<index_version>& versions,
                       index_version version);
  static bool Serves(const dispatch_server& server, index_version version);
  bool Cold(const dispatch_server& server) const;

  // One connection is reserved for cancellations; a searcher that accepts only
  // one uses it for attempts.
  static std::uint32_t ConnectionLimit(const dispatch_server& server);
  std::uint32_t Slots(const dispatch_server& server) const;
  bool Reachable(const dispatch_server& server) const;
  bool Wanted(const dispatch_server& server) const;
  bool Available(const dispatch_server& server) const;

  // ---- Connections ----

  // Keeps the connections of a shard that is not owned for a while.
  void Want(dispatch_shard* shard);
  void WatchUnused(dispatch_shard* shard);
  void MaintainShard(dispatch_shard* shard);

  // Opens connections up to the target, or closes unused ones.
  void Maintain(dispatch_server* server);
  void CloseUnused(dispatch_server* server);

  // A new incarnation starts cold, over connections of its own. Attempts of
  // the old one go on until they end or their connections break.
  void Restarted(dispatch_server* server);
  void EraseIfGone(dispatch_server* server);
  void Pause(dispatch_server* server);
  void PauseUntil(dispatch_server* server, time_point until);

  // ---- Queue ----

  double WeightOf(const caller_name& caller) const;
  void Enqueue(dispatch_request* request);

  // Why a request can not run at all now, if so.
  std::optional<failure> RefusalOf(const dispatch_request& request) const;

  // A condemned content is refused, and so is one with any crash that has not
  // been seen to run: its canary alone may be sent.
  bool Refused(const shard_request& request) const;
  std::optional<failure> Impossible(const dispatch_request& request) const;

  template <typename Judge>
  void FailQueued(dispatch_shard* shard, Judge judge) {
    std::vector<std::pair<dispatch_request*, failure>> failed;
    shard->queue.ForEach([&](const fair_queue_entry& entry) {
      const auto& request = static_cast<const dispatch_request&>(entry);
      if (const auto why = judge(request)) {
        failed.emplace_back(const_cast<dispatch_request*>(&request), *why);
      }
    });
    for (auto& [request, why] : failed) Fail(request, why);
  }

  void FailImpossible(dispatch_shard* shard);

  // Sends queued requests while a replica should take one.
  void Pump(dispatch_shard* shard);

  // A queue may be held for a busy replica that never replies. Its attempts
  // grow older without an event, so the choice is repeated.
  void WatchQueue(dispatch_shard* shard);

  // ---- Replica choice ----

  duration PriorServiceTime(const dispatch_shard& shard) const;
  replica_load LoadOf(const dispatch_server& server, duration prior,
                      const dispatch_request* request) const;

  // The replica to send to. `request` excludes the replicas on which it runs
  // and ranks those that it tried last.
  dispatch_server* Choose(const dispatch_shard& shard, index_version version,
                          const dispatch_request* request, bool may_hold);
  static bool RunsOn(const dispatch_request& request,
                     const dispatch_server& server);

  // ---- Attempts ----

  duration Remaining(const dispatch_request& request,
                     const dispatch_server& server) const;

  // Time that a request from the queue must have left. Under overload the
  // queue hands out requests that are close to their deadline, and attempts
  // that end after it would take the slots of those that can be answered. A
  // request that did not wait, or is the last one, is always tried, because an
  // estimate that is too high would otherwise never be corrected.
  duration LeastRemaining(const dispatch_request& request,
                          const dispatch_server& server) const;

  // First attempt or retry of a request that was just taken from the queue.
  void Start(dispatch_request* request, dispatch_server* server);
  void Send(dispatch_request* request, dispatch_server* server,
            dispatch_reason reason);

  // A request whose content may crash searchers runs on one at a time. A canary
  // that has run for the canary wait without a crash counts as harmless, as it
  // does for the other shards of its query.
  bool MayDuplicate(const dispatch_request& request) const;

  // The hedge is due when the other replica would probably have answered: at
  // the quantile of its own service time, so that a slowed replica does not
  // delay the hedges of its own requests.
  void ScheduleHedge(dispatch_request* request, const dispatch_server& server);
  void HedgeAfter(dispatch_request* request, duration delay);
  void OnHedgeDue(dispatch_request* request);

  // A replica that is passed over because it was slow gives no samples, so its
  // recovery would go unnoticed. It gets a duplicate of an attempt that runs
  // on the chosen replica, so that no answer waits for it.
  void ProbeAvoided(dispatch_request* request, const dispatch_server& chosen);

  // ---- Replies ----

  void OnOk(dispatch_attempt* attempt, const attempt_reply& reply);
  static void MarkGone(dispatch_server* server, index_version version);
  void OnShed(dispatch_attempt* attempt, const attempt_reply&);
  void OnVersionGone(dispatch_attempt* attempt, const attempt_reply&);
  void OnFailed(dispatch_attempt* attempt, const attempt_reply&);

  // A connection broke while it carried the attempt.
  void OnBroken(dispatch_attempt* attempt);

  // All contents in flight are suspect. One crash breaks several connections,
  // so contents that were already reported are not reported again.
  void ReportCrash(dispatch_attempt* broken);

  // The attempt of `request` on `server` ended without an answer and is erased
  // already. Waits for another attempt, retries, or finishes the request.
  void AttemptFailed(dispatch_request* request, dispatch_server* server,
                     failure why, dispatch_reason retry_reason);

  // ---- Ends ----

  void OnDeadline(dispatch_request* request);
  void Fail(dispatch_request* request, failure why);

  // The only place that returns a result; the request is erased.
  void Finish(dispatch_request* request, shard_result result, bool expired);

  // Takes the request out of the queue and cancels what runs.
  void Withdraw(dispatch_request* request, bool expired);

  // Gives up an attempt whose request has ended.
  void CancelAttempt(dispatch_attempt* attempt);
  static void StopRunning(dispatch_request* request);
  void LimitWait(dispatch_attempt* attempt, time_point end);

  // A searcher that answers neither an attempt nor its cancellation may hang.
  // Closing the connection frees the slot here.
  void OnGraceOver(dispatch_attempt* attempt);
  void Detach(dispatch_attempt* attempt);
  static void Unlink(dispatch_attempt* attempt);
  void EraseAttempt(dispatch_attempt* attempt);
  void Erase(dispatch_request* request);
  void RecordDecision(const dispatch_request& request, dispatch_reason reason,
                      result_code code, const dispatch_attempt* attempt);

  const dispatch_options options_;
  const crash_evidence* const evidence_;
  const replica_choice choice_;

  // Declared first, because entities unlink their timers when they go.
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
  // Reused between events.
  std::vector<connection_id> scratch_ids_;
  std::vector<replica_load> loads_;
  std::vector<dispatch_server*> candidates_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_DISPATCHER_IMPLEMENTATION_H_
