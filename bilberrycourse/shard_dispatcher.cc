#include "bilberrycourse/shard_dispatcher.h"

#include <algorithm>
#include <cstdlib>
#include <unordered_map>
#include <utility>

#include "bilberrycourse/dispatch_tables.h"
#include "bilberrycourse/key_hash.h"
#include "bilberrycourse/replica_choice.h"
#include "bilberrycourse/timer_service.h"

namespace bilberrycourse {
namespace {

// Wait before a hedge that found no free slot or no budget is tried again.
constexpr duration kHedgeRetry = std::chrono::milliseconds(1);

// Longest time between two choices for a queue that is not empty.
constexpr duration kQueueReview = std::chrono::milliseconds(10);

// Hedge quantile when the budget is empty.
constexpr double kLatestHedgeQuantile = 0.99;

// A replica is probed if its service time is this many times that of the
// chosen one; below that it still gets requests of its own.
constexpr int kProbeRatio = 2;

bool Contains(const std::vector<index_version>& versions, index_version v) {
  return std::find(versions.begin(), versions.end(), v) != versions.end();
}

}  // namespace

class shard_dispatcher::implementation {
 public:
  implementation(const dispatch_options& options,
                 const crash_evidence* evidence)
      : options_(options),
        evidence_(evidence),
        choice_(
            {options.completion, options.zone_tie, options.hold_for_faster}),
        default_scope_(options.budget) {}

  ~implementation() {
    for (auto& [id, attempt] : attempts_) Unlink(&attempt);
    for (auto& [origin, requests] : requests_) {
      for (auto& [id, request] : requests) {
        if (request.queued()) request.shard->queue.Remove(&request);
      }
    }
  }

  // Every event starts here: effects and time of the event at hand.
  void Begin(time_point now, dispatch_effects* out) {
    now_ = now;
    out_ = out;
  }

  void SetPolicy(const std::string& scope, const service_policy& policy) {
    dispatch_scope& entry =
        scopes_.try_emplace(scope, options_.budget).first->second;
    entry.policy = policy;
    // Retries may use twice the budget of hedges (10% for the usual 5%).
    entry.budget.SetShare(policy.extra_attempt_budget,
                          2 * policy.extra_attempt_budget);
  }

  void SetCallerWeight(const caller_name& caller, double weight) {
    if (weight == 1) {
      weights_.erase(caller);
    } else {
      weights_[caller] = weight;
    }
  }

  void SetSendingAllowed(bool allowed) {
    if (allowed == sending_allowed_) return;
    sending_allowed_ = allowed;
    for (auto& [key, shard] : shards_) {
      if (allowed) {
        Pump(&shard);
      } else {
        FailQueued(&shard, [](const dispatch_request&) {
          return std::optional(failure{result_code::kControlLeaseExpired,
                                       dispatch_reason::kSendingForbidden});
        });
      }
    }
  }

  void SetShardOwned(const shard_key& key, bool owned) {
    dispatch_shard& shard = ShardOf(key);
    if (shard.owned == owned) return;
    shard.owned = owned;
    if (owned) {
      MaintainShard(&shard);
    } else {
      Want(&shard);
    }
  }

  void UpdateBackendServer(const backend_server_record& record) {
    auto found = servers_.find(record.key);
    if (found == servers_.end()) {
      if (record.state == backend_server_state::kLost) return;
      found =
          servers_
              .try_emplace(record.key,
                           connection_pool_options{options_.reconnect_wait,
                                                   options_.max_reconnect_wait},
                           options_.service_time)
              .first;
      dispatch_server& server = found->second;
      server.shard = &ShardOf(record.key.shard);
      server.shard->servers.push_back(&server);
    } else {
      const backend_server_record& known = found->second.record;
      if (std::pair(record.incarnation, record.sequence) <
          std::pair(known.incarnation, known.sequence)) {
        return;
      }
      if (record.incarnation != known.incarnation) Restarted(&found->second);
    }
    dispatch_server& server = found->second;
    // The announcement is newer than the refusals.
    server.gone.clear();
    const bool moved = server.record.address != record.address;
    server.record = record;
    if (moved) CloseUnused(&server);
    Maintain(&server);
    dispatch_shard& shard = *server.shard;
    FailImpossible(&shard);
    Pump(&shard);
    EraseIfGone(&server);
  }

  void Submit(const instance_name& origin, shard_request request) {
    ++counters_.submitted;
    auto& of_origin = requests_[origin];
    const auto [found, is_new] = of_origin.try_emplace(request.id);
    if (!is_new) {
      ++counters_.duplicate_submits;
      return;
    }
    dispatch_request& entry = found->second;
    entry.origin = origin;
    entry.message = std::make_shared<const shard_request>(std::move(request));
    entry.version = entry.message->version;
    entry.deadline = entry.message->deadline;
    entry.submitted_at = now_;
    const auto scope = scopes_.find(entry.message->scope);
    entry.scope = scope == scopes_.end() ? &default_scope_ : &scope->second;

    if (const auto shard = shards_.find(entry.message->shard);
        shard != shards_.end()) {
      entry.shard = &shard->second;
    }
    if (const auto refused = RefusalOf(entry)) {
      Fail(&entry, *refused);
      return;
    }
    dispatch_shard& shard = *entry.shard;
    if (!shard.owned) Want(&shard);
    timers_.SubscribeOnce(
        entry.deadline, [this, e = &entry](time_point) { OnDeadline(e); },
        &entry.deadline_timer);
    Enqueue(&entry);
    Pump(&shard);
    if (shard.queue.size() > options_.max_queue_per_shard) {
      auto* least = static_cast<dispatch_request*>(shard.queue.LeastEntitled());
      ++counters_.overloaded;
      Fail(least, {result_code::kOverloaded, dispatch_reason::kQueueFull});
    }
  }

  void Cancel(const instance_name& origin, shard_request_id id) {
    const auto of_origin = requests_.find(origin);
    if (of_origin == requests_.end()) return;
    const auto found = of_origin->second.find(id);
    if (found == of_origin->second.end()) return;
    ++counters_.cancelled;
    dispatch_shard* shard = found->second.shard;
    Withdraw(&found->second, /*expired=*/false);
    Erase(&found->second);
    Pump(shard);
  }

  void OnOriginLost(const instance_name& origin) {
    const auto of_origin = requests_.find(origin);
    if (of_origin == requests_.end()) return;
    for (auto& [id, request] : of_origin->second) {
      ++counters_.cancelled;
      if (request.message->idempotent) {
        Withdraw(&request, /*expired=*/false);
      } else {
        // The outcome of running non-idempotent work matters even if nobody
        // waits for it here.
        while (!request.in_flight.empty()) {
          dispatch_attempt& attempt = request.in_flight.front();
          Detach(&attempt);
          LimitWait(&attempt, request.deadline);
        }
        StopRunning(&request);
        if (request.queued()) request.shard->queue.Remove(&request);
      }
    }
    requests_.erase(of_origin);
  }

  void OnConnectionOpened(connection_id id) {
    dispatch_server* server = ServerOf(id);
    if (server == nullptr || !server->pool.OnOpened(id)) return;
    ++counters_.connections_opened;
    Maintain(server);
    Pump(server->shard);
  }

  void OnConnectionFailed(connection_id id) {
    dispatch_server* server = ServerOf(id);
    if (server == nullptr || !server->pool.OnFailed(id, now_)) return;
    connections_.erase(id);
    ++counters_.connections_failed;
    Maintain(server);
    FailImpossible(server->shard);
    EraseIfGone(server);
  }

  void OnConnectionClosed(connection_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    dispatch_server* server = found->second.server;
    dispatch_attempt* attempt = found->second.attempt;
    server->pool.OnClosed(id, now_);
    connections_.erase(found);
    ++counters_.connections_broken;
    if (attempt != nullptr) OnBroken(attempt);
    Maintain(server);
    FailImpossible(server->shard);
    Pump(server->shard);
    EraseIfGone(server);
  }

  void OnReply(attempt_id id, const attempt_reply& reply) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      ++counters_.unmatched_replies;
      return;
    }
    dispatch_attempt& attempt = found->second;
    dispatch_server* server = attempt.server;
    const bool current = attempt.incarnation == server->record.incarnation;
    server->pool.Release(attempt.connection);
    connections_[attempt.connection].attempt = nullptr;
    if (reply.kind == attempt_reply_kind::kOk && current) {
      server->estimator.Record(now_ - attempt.sent_at, now_);
      ++server->successes;
      server->shed_pause = duration{0};
    }
    dispatch_request* request = attempt.request;
    if (request == nullptr) {
      if (reply.kind != attempt_reply_kind::kCancelled) {
        ++counters_.late_replies;
      }
      if (reply.kind == attempt_reply_kind::kShed && current) Pause(server);
      EraseAttempt(&attempt);
    } else {
      // The handlers erase the attempt.
      (this->*kReplyHandlers[static_cast<std::size_t>(reply.kind)])(&attempt,
                                                                    reply);
    }
    if (!Wanted(*server)) CloseUnused(server);
    Pump(server->shard);
    EraseIfGone(server);
  }

  void Tick() { timers_.Advance(now_); }

  std::optional<time_point> next_due() const { return timers_.next_due(); }
  const dispatch_counters& counters() const { return counters_; }

  std::vector<backend_server_status> BackendServers() const {
    std::vector<backend_server_status> all;
    all.reserve(servers_.size());
    for (const auto& [key, server] : servers_) {
      all.push_back({server.record, server.shard->owned, Cold(server),
                     server.in_flight, server.pool.open_count(),
                     server.pool.opening_count(), server.estimator.recent()});
    }
    return all;
  }

  std::vector<shard_status> Shards(time_point now) const {
    std::vector<shard_status> all;
    all.reserve(shards_.size());
    for (const auto& [key, shard] : shards_) {
      shard_status status{key, static_cast<std::uint32_t>(shard.queue.size()),
                          shard.running};
      shard.queue.ForEach([&](const fair_queue_entry& entry) {
        const auto& request = static_cast<const dispatch_request&>(entry);
        status.oldest_wait =
            std::max(status.oldest_wait, now - request.submitted_at);
      });
      all.push_back(std::move(status));
    }
    return all;
  }

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

  dispatch_shard& ShardOf(const shard_key& key) {
    const auto [found, is_new] = shards_.try_emplace(key);
    if (is_new) found->second.key = key;
    return found->second;
  }

  dispatch_server* ServerOf(connection_id id) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second.server;
  }

  static bool Serves(const dispatch_server& server, index_version version) {
    return server.record.state == backend_server_state::kServing &&
           Contains(server.record.versions, version) &&
           !Contains(server.gone, version);
  }

  bool Cold(const dispatch_server& server) const {
    return server.successes < options_.ramp_successes;
  }

  // One connection is reserved for cancellations; a searcher that accepts only
  // one uses it for attempts.
  static std::uint32_t ConnectionLimit(const dispatch_server& server) {
    return std::max<std::uint32_t>(server.record.connection_limit, 2) - 1;
  }

  std::uint32_t Slots(const dispatch_server& server) const {
    if (Cold(server)) return std::min<std::uint32_t>(server.record.slots, 1);
    return std::min(server.record.slots, ConnectionLimit(server));
  }

  bool Reachable(const dispatch_server& server) const {
    return server.record.slots > 0 &&
           (server.pool.open_count() > 0 ||
            server.pool.failures() < options_.unreachable_after);
  }

  bool Wanted(const dispatch_server& server) const {
    return server.record.state == backend_server_state::kServing &&
           (server.shard->owned || now_ < server.shard->wanted_until);
  }

  bool Available(const dispatch_server& server) const {
    return server.in_flight < Slots(server) && now_ >= server.paused_until &&
           server.pool.idle_count() > 0;
  }

  // ---- Connections ----

  // Keeps the connections of a shard that is not owned for a while.
  void Want(dispatch_shard* shard) {
    shard->wanted_until = now_ + options_.idle_connection_timeout;
    if (!shard->unused_timer.active()) WatchUnused(shard);
    MaintainShard(shard);
  }

  void WatchUnused(dispatch_shard* shard) {
    timers_.SubscribeOnce(
        shard->wanted_until,
        [this, shard](time_point) {
          if (shard->owned) return;
          if (now_ < shard->wanted_until) {
            WatchUnused(shard);
            return;
          }
          for (dispatch_server* server : shard->servers) CloseUnused(server);
        },
        &shard->unused_timer);
  }

  void MaintainShard(dispatch_shard* shard) {
    for (dispatch_server* server : shard->servers) Maintain(server);
  }

  // Opens connections up to the target, or closes unused ones.
  void Maintain(dispatch_server* server) {
    if (!Wanted(*server)) {
      CloseUnused(server);
      return;
    }
    const std::uint32_t target =
        std::min(server->record.slots + options_.spare_connections,
                 ConnectionLimit(*server));
    scratch_ids_.clear();
    server->pool.Open(target, now_, &next_connection_id_, &scratch_ids_);
    for (const connection_id id : scratch_ids_) {
      connections_[id] = {server, nullptr};
      out_->push_back(
          open_connection{id, server->record.key, server->record.address});
    }
    const std::uint32_t have =
        server->pool.open_count() + server->pool.opening_count();
    if (have < target && server->pool.open_after() > now_) {
      timers_.SubscribeOnce(
          server->pool.open_after(),
          [this, server](time_point) { Maintain(server); },
          &server->reconnect_timer);
    }
  }

  void CloseUnused(dispatch_server* server) {
    scratch_ids_.clear();
    server->pool.ForgetUnused(&scratch_ids_);
    for (const connection_id id : scratch_ids_) {
      connections_.erase(id);
      out_->push_back(close_connection{id});
    }
  }

  // A new incarnation starts cold, over connections of its own. Attempts of
  // the old one go on until they end or their connections break.
  void Restarted(dispatch_server* server) {
    CloseUnused(server);
    server->in_flight = 0;
    server->successes = 0;
    server->estimator.Reset();
    server->paused_until = time_point::min();
    server->shed_pause = duration{0};
    server->pool.ForgetFailures();
  }

  void EraseIfGone(dispatch_server* server) {
    if (server->record.state != backend_server_state::kLost ||
        !server->attempts.empty() || !server->pool.empty()) {
      return;
    }
    std::erase(server->shard->servers, server);
    const backend_server_key key = server->record.key;
    servers_.erase(key);
  }

  void Pause(dispatch_server* server) {
    server->shed_pause = std::clamp(server->shed_pause * 2, options_.shed_pause,
                                    options_.max_shed_pause);
    PauseUntil(server, now_ + server->shed_pause);
  }

  void PauseUntil(dispatch_server* server, time_point until) {
    server->paused_until = std::max(server->paused_until, until);
    timers_.SubscribeOnce(
        server->paused_until,
        [this, shard = server->shard](time_point) { Pump(shard); },
        &server->pause_timer);
  }

  // ---- Queue ----

  double WeightOf(const caller_name& caller) const {
    const auto found = weights_.find(caller);
    return found == weights_.end() ? 1 : found->second;
  }

  void Enqueue(dispatch_request* request) {
    request->shard->queue.Push(request, request->message->caller,
                               WeightOf(request->message->caller));
  }

  // Why a request can not run at all now, if so.
  std::optional<failure> RefusalOf(const dispatch_request& request) const {
    if (!sending_allowed_) {
      return failure{result_code::kControlLeaseExpired,
                     dispatch_reason::kSendingForbidden};
    }
    if (request.deadline <= now_) {
      return failure{result_code::kQueueDeadline,
                     dispatch_reason::kDeadlineInQueue};
    }
    if (Refused(*request.message)) {
      return failure{result_code::kSuspectedCrasher,
                     dispatch_reason::kContentCondemned};
    }
    return Impossible(request);
  }

  // A condemned content is refused, and so is one with any crash that has not
  // been seen to run: its canary alone may be sent.
  bool Refused(const shard_request& request) const {
    if (evidence_ == nullptr) return false;
    const crash_verdict verdict = evidence_->Verdict(request.content, now_);
    return verdict == crash_verdict::kCondemned ||
           (verdict == crash_verdict::kSuspect && !request.proven &&
            !request.canary);
  }

  std::optional<failure> Impossible(const dispatch_request& request) const {
    const failure no_replica{result_code::kNoServingReplica,
                             dispatch_reason::kNoReplica};
    if (request.shard == nullptr) return no_replica;
    bool other_version = false;
    for (const dispatch_server* server : request.shard->servers) {
      if (server->record.state != backend_server_state::kServing ||
          !Reachable(*server)) {
        continue;
      }
      if (Serves(*server, request.version)) return std::nullopt;
      other_version = true;
    }
    if (!other_version) return no_replica;
    return failure{result_code::kVersionGone,
                   dispatch_reason::kVersionNotServed};
  }

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

  void FailImpossible(dispatch_shard* shard) {
    if (shard->queue.empty()) return;
    FailQueued(shard, [&](const dispatch_request& request) {
      return Impossible(request);
    });
  }

  // Sends queued requests while a replica should take one.
  void Pump(dispatch_shard* shard) {
    while (sending_allowed_ && !shard->queue.empty()) {
      // Callers usually ask for one version, so the last choice is kept.
      std::optional<index_version> chosen_version;
      dispatch_server* chosen = nullptr;
      fair_queue_entry* entry = shard->queue.Pop([&](index_version version) {
        if (chosen_version != version) {
          chosen_version = version;
          chosen = Choose(*shard, version, nullptr, /*may_hold=*/true);
        }
        return chosen != nullptr;
      });
      if (entry == nullptr) {
        WatchQueue(shard);
        return;
      }
      auto* request = static_cast<dispatch_request*>(entry);
      if (const auto refused = RefusalOf(*request)) {
        Fail(request, *refused);
        continue;
      }
      if (!request->tried.empty() || chosen_version != request->version) {
        chosen = Choose(*shard, request->version, request, /*may_hold=*/false);
      }
      Start(request, chosen);
    }
  }

  // A queue may be held for a busy replica that never replies. Its attempts
  // grow older without an event, so the choice is repeated.
  void WatchQueue(dispatch_shard* shard) {
    if (shard->queue_timer.active()) return;
    timers_.SubscribeOnce(
        now_ + kQueueReview, [this, shard](time_point) { Pump(shard); },
        &shard->queue_timer);
  }

  // ---- Replica choice ----

  duration PriorServiceTime(const dispatch_shard& shard) const {
    std::optional<duration> least;
    for (const dispatch_server* server : shard.servers) {
      const auto recent = server->estimator.recent();
      if (recent && (!least || *recent < *least)) least = recent;
    }
    return least.value_or(options_.initial_service_time);
  }

  replica_load LoadOf(const dispatch_server& server, duration prior,
                      const dispatch_request* request) const {
    replica_load load;
    load.in_flight = server.in_flight;
    load.slots = Slots(server);
    load.service_time = prior;
    const auto recent = server.estimator.recent();
    if (recent &&
        now_ - server.estimator.last_sample() < options_.estimate_expiry) {
      load.service_time = *recent;
    }
    if (!server.attempts.empty()) {
      load.oldest_age = now_ - server.attempts.front().sent_at;
      if (load.oldest_age < load.service_time * options_.age_evidence_factor) {
        load.oldest_age = duration{0};
      }
    }
    load.available = Available(server);
    load.reachable = Reachable(server) && server.pool.open_count() > 0 &&
                     now_ >= server.paused_until;
    load.same_zone = server.record.zone == options_.zone;
    load.last_used = server.last_used;
    load.tried = request != nullptr &&
                 std::find(request->tried.begin(), request->tried.end(),
                           &server) != request->tried.end();
    return load;
  }

  // The replica to send to. `request` excludes the replicas on which it runs
  // and ranks those that it tried last.
  dispatch_server* Choose(const dispatch_shard& shard, index_version version,
                          const dispatch_request* request, bool may_hold) {
    loads_.clear();
    candidates_.clear();
    const duration prior = PriorServiceTime(shard);
    for (dispatch_server* server : shard.servers) {
      if (!Serves(*server, version)) continue;
      if (request != nullptr && RunsOn(*request, *server)) continue;
      candidates_.push_back(server);
      loads_.push_back(LoadOf(*server, prior, request));
    }
    if (!may_hold) {
      for (replica_load& load : loads_) load.reachable = load.available;
    }
    const auto index = choice_.Choose(loads_, shard.queue.size());
    return index ? candidates_[*index] : nullptr;
  }

  static bool RunsOn(const dispatch_request& request,
                     const dispatch_server& server) {
    return std::any_of(request.in_flight.begin(), request.in_flight.end(),
                       [&](const dispatch_attempt& attempt) {
                         return attempt.server == &server;
                       });
  }

  // ---- Attempts ----

  duration Remaining(const dispatch_request& request,
                     const dispatch_server& server) const {
    const duration transit = server.record.zone == options_.zone
                                 ? options_.transit_same_zone
                                 : options_.transit_other_zone;
    return request.deadline - now_ - transit;
  }

  // Time that a request from the queue must have left. Under overload the
  // queue hands out requests that are close to their deadline, and attempts
  // that end after it would take the slots of those that can be answered. A
  // request that did not wait, or is the last one, is always tried, because an
  // estimate that is too high would otherwise never be corrected.
  duration LeastRemaining(const dispatch_request& request,
                          const dispatch_server& server) const {
    if (request.submitted_at == now_ || request.shard->queue.empty()) {
      return duration{0};
    }
    return server.estimator.Quantile(options_.least_remaining_quantile, now_)
        .value_or(duration{0});
  }

  // First attempt or retry of a request that was just taken from the queue.
  void Start(dispatch_request* request, dispatch_server* server) {
    if (Remaining(*request, *server) <= LeastRemaining(*request, *server)) {
      ++counters_.expired_in_queue;
      Fail(request,
           {result_code::kQueueDeadline, dispatch_reason::kDeadlineInQueue});
      return;
    }
    if (request->attempts == 0) {
      ++counters_.first_attempts;
      request->queue_wait = now_ - request->submitted_at;
      request->scope->budget.OnFirstAttempt();
    }
    request->running = true;
    ++request->shard->running;
    Send(request, server, request->next_reason);
    if (!MayDuplicate(*request)) return;
    ScheduleHedge(request, *server);
    if (request->attempts == 1 && !request->message->canary) {
      ProbeAvoided(request, *server);
    }
  }

  void Send(dispatch_request* request, dispatch_server* server,
            dispatch_reason reason) {
    const attempt_id id{next_attempt_id_++};
    dispatch_attempt& attempt = attempts_[id];
    attempt.id = id;
    attempt.server = server;
    attempt.request = request;
    attempt.connection = *server->pool.Take();
    attempt.incarnation = server->record.incarnation;
    attempt.version = request->version;
    attempt.content = request->message->content;
    attempt.sent_at = now_;
    attempt.hedge = reason == dispatch_reason::kHedge;
    attempt.probe = reason == dispatch_reason::kProbe;
    connections_[attempt.connection].attempt = &attempt;
    server->attempts.push_back(attempt);
    request->in_flight.push_back(attempt);
    if (options_.record_decisions) {
      RecordDecision(*request, reason, result_code::kOk, &attempt);
    }
    ++server->in_flight;
    server->last_used = now_;
    ++request->attempts;
    ++request->may_have_run;
    if (request->message->canary && request->attempts == 1) {
      out_->push_back(canary_started{request->origin, request->message->id});
    }
    out_->push_back(send_attempt{id, attempt.connection, server->record.key,
                                 request->message,
                                 Remaining(*request, *server)});
  }

  // A request whose content may crash searchers runs on one at a time. A canary
  // that has run for the canary wait without a crash counts as harmless, as it
  // does for the other shards of its query.
  bool MayDuplicate(const dispatch_request& request) const {
    const service_policy& policy = request.scope->policy;
    return policy.hedging && request.message->idempotent && !request.crashed &&
           !request.hedged && request.attempts < policy.max_attempts &&
           (evidence_ == nullptr ||
            evidence_->Verdict(request.message->content, now_) <
                crash_verdict::kSuspect);
  }

  // The hedge is due when the other replica would probably have answered: at
  // the quantile of its own service time, so that a slowed replica does not
  // delay the hedges of its own requests.
  void ScheduleHedge(dispatch_request* request, const dispatch_server& server) {
    // The emptier the budget, the later the hedge, so that tokens remain for
    // the slowest attempts.
    const double least = request->scope->policy.hedge_quantile;
    const double probability =
        least + std::max(kLatestHedgeQuantile - least, 0.0) *
                    (1 - request->scope->budget.fill());
    std::optional<duration> delay;
    bool other = false;
    for (const dispatch_server* candidate : request->shard->servers) {
      if (candidate == &server || !Serves(*candidate, request->version)) {
        continue;
      }
      other = true;
      const auto quantile = candidate->estimator.Quantile(probability, now_);
      if (quantile && (!delay || *quantile < *delay)) delay = quantile;
    }
    if (!other) return;
    if (!delay) {
      delay = server.estimator.Quantile(probability, now_);
    }
    duration wait = delay.value_or(options_.initial_hedge_delay);
    if (request->message->canary) {
      wait = std::max(wait, request->scope->policy.canary_wait);
    }
    HedgeAfter(request, wait);
  }

  void HedgeAfter(dispatch_request* request, duration delay) {
    const time_point due = now_ + std::max(delay, duration{1});
    if (due >= request->deadline) return;
    timers_.SubscribeOnce(
        due, [this, request](time_point) { OnHedgeDue(request); },
        &request->hedge_timer);
  }

  void OnHedgeDue(dispatch_request* request) {
    if (!sending_allowed_ || request->in_flight.empty() ||
        !MayDuplicate(*request)) {
      return;
    }
    attempt_budget& budget = request->scope->budget;
    dispatch_server* server = nullptr;
    if (request->shard->queue.empty() &&
        budget.Allows(extra_attempt_kind::kHedge)) {
      server = Choose(*request->shard, request->version, request,
                      /*may_hold=*/false);
    }
    if (server == nullptr) {
      HedgeAfter(request, kHedgeRetry);
      return;
    }
    if (Remaining(*request, *server) <= duration{0}) return;
    budget.TryTake(extra_attempt_kind::kHedge);
    ++counters_.hedges;
    request->hedged = true;
    Send(request, server, dispatch_reason::kHedge);
  }

  // A replica that is passed over because it was slow gives no samples, so its
  // recovery would go unnoticed. It gets a duplicate of an attempt that runs
  // on the chosen replica, so that no answer waits for it.
  void ProbeAvoided(dispatch_request* request, const dispatch_server& chosen) {
    if (!request->shard->queue.empty()) return;
    attempt_budget& budget = request->scope->budget;
    const duration prior = PriorServiceTime(*request->shard);
    const duration expected = LoadOf(chosen, prior, nullptr).service_time;
    for (dispatch_server* server : request->shard->servers) {
      if (server == &chosen || !server->attempts.empty() ||
          !Serves(*server, request->version) || !Available(*server) ||
          now_ - server->last_used < options_.probe_interval ||
          LoadOf(*server, prior, nullptr).service_time <
              kProbeRatio * expected ||
          Remaining(*request, *server) <= duration{0}) {
        continue;
      }
      if (!budget.TryTake(extra_attempt_kind::kProbe)) return;
      ++counters_.probes;
      request->hedged = true;
      request->hedge_timer.Cancel();
      Send(request, server, dispatch_reason::kProbe);
      return;
    }
  }

  // ---- Replies ----

  void OnOk(dispatch_attempt* attempt, const attempt_reply& reply) {
    dispatch_request* request = attempt->request;
    dispatch_server* server = attempt->server;
    if (reply.version != request->version) {
      ++counters_.wrong_version_replies;
      MarkGone(server, request->version);
      EraseAttempt(attempt);
      AttemptFailed(request, server,
                    {result_code::kVersionGone, dispatch_reason::kWrongVersion},
                    dispatch_reason::kRetryAfterVersionGone);
      FailImpossible(server->shard);
      return;
    }
    ++counters_.answered;
    if (attempt->hedge) ++counters_.hedges_won;
    shard_result result;
    result.code = result_code::kOk;
    result.version = reply.version;
    result.replica = server->record.key.replica;
    result.service_time = now_ - attempt->sent_at;
    result.body = reply.body;
    EraseAttempt(attempt);
    Finish(request, std::move(result), /*expired=*/false);
  }

  static void MarkGone(dispatch_server* server, index_version version) {
    if (!Contains(server->gone, version)) server->gone.push_back(version);
  }

  void OnShed(dispatch_attempt* attempt, const attempt_reply&) {
    ++counters_.sheds;
    dispatch_request* request = attempt->request;
    dispatch_server* server = attempt->server;
    if (attempt->incarnation == server->record.incarnation) Pause(server);
    EraseAttempt(attempt);
    --request->may_have_run;
    AttemptFailed(request, server,
                  {result_code::kBackendServerShed, dispatch_reason::kShed},
                  dispatch_reason::kRetryAfterShed);
  }

  void OnVersionGone(dispatch_attempt* attempt, const attempt_reply&) {
    ++counters_.versions_gone;
    dispatch_request* request = attempt->request;
    dispatch_server* server = attempt->server;
    MarkGone(server, request->version);
    EraseAttempt(attempt);
    --request->may_have_run;
    AttemptFailed(
        request, server,
        {result_code::kVersionGone, dispatch_reason::kVersionNotServed},
        dispatch_reason::kRetryAfterVersionGone);
    FailImpossible(server->shard);
  }

  void OnFailed(dispatch_attempt* attempt, const attempt_reply&) {
    ++counters_.failures;
    dispatch_request* request = attempt->request;
    dispatch_server* server = attempt->server;
    EraseAttempt(attempt);
    AttemptFailed(request, server,
                  {result_code::kBackendServerFailed, dispatch_reason::kFailed},
                  dispatch_reason::kRetryAfterFailure);
  }

  // A connection broke while it carried the attempt.
  void OnBroken(dispatch_attempt* attempt) {
    dispatch_request* request = attempt->request;
    dispatch_server* server = attempt->server;
    // Some searchers end a cancelled attempt by closing its connection.
    if (!attempt->cancelled || attempt->expired) ReportCrash(attempt);
    EraseAttempt(attempt);
    if (request == nullptr) return;
    request->crashed = true;
    request->hedge_timer.Cancel();
    AttemptFailed(request, server,
                  {result_code::kBackendServerCrashed,
                   dispatch_reason::kConnectionBroken},
                  dispatch_reason::kRetryAfterFailure);
  }

  // All contents in flight are suspect. One crash breaks several connections,
  // so contents that were already reported are not reported again.
  void ReportCrash(dispatch_attempt* broken) {
    if (broken->crash_reported) return;
    ++counters_.crashes;
    dispatch_server* server = broken->server;
    crash_report report{server->record.key, broken->incarnation, {}};
    for (dispatch_attempt& attempt : server->attempts) {
      if (attempt.incarnation != broken->incarnation ||
          attempt.crash_reported) {
        continue;
      }
      attempt.crash_reported = true;
      if (std::find(report.contents.begin(), report.contents.end(),
                    attempt.content) == report.contents.end()) {
        report.contents.push_back(attempt.content);
      }
    }
    out_->push_back(report_crash{std::move(report)});
    // The other connections of a dead searcher break within moments; an
    // attempt sent over one of them would be taken for running.
    if (broken->incarnation == server->record.incarnation) {
      PauseUntil(server, now_ + options_.reconnect_wait);
    }
  }

  // The attempt of `request` on `server` ended without an answer and is erased
  // already. Waits for another attempt, retries, or finishes the request.
  void AttemptFailed(dispatch_request* request, dispatch_server* server,
                     failure why, dispatch_reason retry_reason) {
    request->tried.push_back(server);
    if (!request->in_flight.empty()) return;
    StopRunning(request);
    if (request->crashed) {
      why = {result_code::kBackendServerCrashed,
             dispatch_reason::kConnectionBroken};
    }
    const bool shed = why.code == result_code::kBackendServerShed;
    // Only a shed answer permits another attempt of non-idempotent work.
    const bool may_retry =
        !request->crashed && (shed || request->message->idempotent) &&
        request->attempts < request->scope->policy.max_attempts &&
        !RefusalOf(*request) &&
        request->scope->budget.TryTake(extra_attempt_kind::kRetry);
    if (!may_retry) {
      Fail(request, why);
      return;
    }
    ++counters_.retries;
    request->next_reason = retry_reason;
    request->hedge_timer.Cancel();
    Enqueue(request);
  }

  // ---- Ends ----

  void OnDeadline(dispatch_request* request) {
    dispatch_shard* shard = request->shard;
    if (request->queued()) {
      ++counters_.expired_in_queue;
      Fail(request,
           {result_code::kQueueDeadline, dispatch_reason::kDeadlineInQueue});
    } else {
      Fail(request, {result_code::kDeadlineExceeded,
                     dispatch_reason::kDeadlineWhileRunning});
    }
    Pump(shard);
  }

  void Fail(dispatch_request* request, failure why) {
    if (options_.record_decisions) {
      RecordDecision(*request, why.reason, why.code, nullptr);
    }
    if (request->attempts == 0) {
      request->queue_wait = now_ - request->submitted_at;
    }
    shard_result result;
    result.code = why.code;
    result.not_run = request->may_have_run == 0;
    Finish(request, std::move(result),
           why.code == result_code::kDeadlineExceeded);
  }

  // The only place that returns a result; the request is erased.
  void Finish(dispatch_request* request, shard_result result, bool expired) {
    ++counters_.finished;
    result.id = request->message->id;
    result.attempts = request->attempts;
    result.queue_wait = request->queue_wait;
    out_->push_back(finish_request{request->origin, std::move(result)});
    Withdraw(request, expired);
    Erase(request);
  }

  // Takes the request out of the queue and cancels what runs.
  void Withdraw(dispatch_request* request, bool expired) {
    if (request->queued()) request->shard->queue.Remove(request);
    StopRunning(request);
    while (!request->in_flight.empty()) {
      dispatch_attempt& attempt = request->in_flight.front();
      Detach(&attempt);
      if (attempt.probe && !expired) {
        timers_.SubscribeOnce(
            now_ + options_.probe_interval,
            [this, a = &attempt](time_point) { CancelAttempt(a); },
            &attempt.grace_timer);
        continue;
      }
      attempt.expired = expired;
      CancelAttempt(&attempt);
    }
  }

  // Gives up an attempt whose request has ended.
  void CancelAttempt(dispatch_attempt* attempt) {
    attempt->cancelled = true;
    // What was given up took at least that long, and a slowed replica that
    // loses against every hedge gives no other sample.
    if (attempt->incarnation == attempt->server->record.incarnation) {
      attempt->server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
    }
    out_->push_back(cancel_attempt{attempt->id, attempt->connection,
                                   attempt->server->record.key});
    LimitWait(attempt, now_);
  }

  static void StopRunning(dispatch_request* request) {
    if (!request->running) return;
    request->running = false;
    --request->shard->running;
  }

  void LimitWait(dispatch_attempt* attempt, time_point end) {
    timers_.SubscribeOnce(
        std::max(end, now_) + options_.cancel_grace,
        [this, attempt](time_point) { OnGraceOver(attempt); },
        &attempt->grace_timer);
  }

  // A searcher that answers neither an attempt nor its cancellation may hang.
  // Closing the connection frees the slot here.
  void OnGraceOver(dispatch_attempt* attempt) {
    dispatch_server* server = attempt->server;
    const connection_id id = attempt->connection;
    server->pool.Forget(id);
    connections_.erase(id);
    out_->push_back(close_connection{id});
    if (attempt->incarnation == server->record.incarnation) {
      server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
    }
    EraseAttempt(attempt);
    Maintain(server);
    Pump(server->shard);
    EraseIfGone(server);
  }

  void Detach(dispatch_attempt* attempt) {
    dispatch_request* request = attempt->request;
    request->in_flight.erase(request->in_flight.iterator_to(*attempt));
    attempt->request = nullptr;
  }

  static void Unlink(dispatch_attempt* attempt) {
    server_attempt_list& of_server = attempt->server->attempts;
    of_server.erase(of_server.iterator_to(*attempt));
    if (attempt->request == nullptr) return;
    request_attempt_list& of_request = attempt->request->in_flight;
    of_request.erase(of_request.iterator_to(*attempt));
  }

  void EraseAttempt(dispatch_attempt* attempt) {
    dispatch_server* server = attempt->server;
    if (attempt->incarnation == server->record.incarnation) {
      --server->in_flight;
    }
    Unlink(attempt);
    attempts_.erase(attempt->id);
  }

  void Erase(dispatch_request* request) {
    const auto of_origin = requests_.find(request->origin);
    of_origin->second.erase(request->message->id);
    if (of_origin->second.empty()) requests_.erase(of_origin);
  }

  void RecordDecision(const dispatch_request& request, dispatch_reason reason,
                      result_code code, const dispatch_attempt* attempt) {
    dispatch_decision decision;
    decision.reason = reason;
    decision.origin = request.origin;
    decision.request = request.message->id;
    decision.shard = request.message->shard;
    decision.code = code;
    decision.queue_wait = now_ - request.submitted_at;
    if (attempt != nullptr) {
      decision.replica = attempt->server->record.key.replica;
      decision.attempt = attempt->id;
    }
    if (request.shard != nullptr) {
      const dispatch_shard& shard = *request.shard;
      decision.queued = static_cast<std::uint32_t>(shard.queue.size());
      const duration prior = PriorServiceTime(shard);
      decision.candidates.reserve(shard.servers.size());
      for (const dispatch_server* server : shard.servers) {
        if (!Serves(*server, request.version)) continue;
        const replica_load load = LoadOf(*server, prior, nullptr);
        decision.candidates.push_back(
            {server->record.key.replica, load.in_flight, load.slots,
             load.service_time, load.oldest_age,
             choice_.ExpectedCompletion(load, shard.queue.size()),
             load.available});
      }
    }
    out_->push_back(std::move(decision));
  }

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

const shard_dispatcher::implementation::reply_handler
    shard_dispatcher::implementation::kReplyHandlers[5] = {
        &implementation::OnOk, &implementation::OnShed,
        &implementation::OnVersionGone, &implementation::OnFailed,
        // A cancellation that was not asked for here.
        &implementation::OnFailed};

shard_dispatcher::shard_dispatcher(const dispatch_options& options,
                                   const crash_evidence* evidence)
    : implementation_(std::make_unique<implementation>(options, evidence)) {}

shard_dispatcher::~shard_dispatcher() = default;

void shard_dispatcher::SetPolicy(const std::string& scope,
                                 const service_policy& policy) {
  implementation_->SetPolicy(scope, policy);
}

void shard_dispatcher::SetCallerWeight(const caller_name& caller,
                                       double weight) {
  implementation_->SetCallerWeight(caller, weight);
}

void shard_dispatcher::SetSendingAllowed(bool allowed, time_point now,
                                         dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->SetSendingAllowed(allowed);
}

void shard_dispatcher::SetShardOwned(const shard_key& shard, bool owned,
                                     time_point now, dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->SetShardOwned(shard, owned);
}

void shard_dispatcher::UpdateBackendServer(const backend_server_record& record,
                                           time_point now,
                                           dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->UpdateBackendServer(record);
}

void shard_dispatcher::Submit(const instance_name& origin,
                              shard_request request, time_point now,
                              dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->Submit(origin, std::move(request));
}

void shard_dispatcher::Cancel(const instance_name& origin, shard_request_id id,
                              time_point now, dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->Cancel(origin, id);
}

void shard_dispatcher::OnOriginLost(const instance_name& origin, time_point now,
                                    dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnOriginLost(origin);
}

void shard_dispatcher::OnConnectionOpened(connection_id connection,
                                          time_point now,
                                          dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnConnectionOpened(connection);
}

void shard_dispatcher::OnConnectionFailed(connection_id connection,
                                          time_point now,
                                          dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnConnectionFailed(connection);
}

void shard_dispatcher::OnConnectionClosed(connection_id connection,
                                          time_point now,
                                          dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnConnectionClosed(connection);
}

void shard_dispatcher::OnReply(attempt_id attempt, const attempt_reply& reply,
                               time_point now, dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnReply(attempt, reply);
}

void shard_dispatcher::Tick(time_point now, dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->Tick();
}

std::optional<time_point> shard_dispatcher::next_due() const {
  return implementation_->next_due();
}

const dispatch_counters& shard_dispatcher::counters() const {
  return implementation_->counters();
}

std::vector<backend_server_status> shard_dispatcher::BackendServers() const {
  return implementation_->BackendServers();
}

std::vector<shard_status> shard_dispatcher::Shards(time_point now) const {
  return implementation_->Shards(now);
}

}  // namespace bilberrycourse
