#include "bilberrycourse/shard_dispatcher.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {

shard_dispatcher::implementation::~implementation() {
  for (auto& [id, attempt] : attempts_) Unlink(&attempt);
  for (auto& [origin, requests] : requests_) {
    for (auto& [id, request] : requests) {
      if (request.queued()) request.shard->queue.Remove(&request);
    }
  }
}

void shard_dispatcher::implementation::Begin(time_point now,
                                             dispatch_effects* out) {
  now_ = now;
  out_ = out;
}

void shard_dispatcher::implementation::SetPolicy(const std::string& scope,
                                                 const service_policy& policy) {
  dispatch_scope& target_scope =
      scopes_.try_emplace(scope, options_.budget).first->second;
  target_scope.policy = policy;
  // Retries may use twice the budget of hedges (10% for the default of 5%).
  target_scope.budget.SetShare(policy.extra_attempt_budget,
                               2 * policy.extra_attempt_budget);
}

void shard_dispatcher::implementation::SetCallerWeight(
    const caller_name& caller, double weight) {
  if (weight == 1) {
    weights_.erase(caller);
  } else {
    weights_[caller] = weight;
  }
}

void shard_dispatcher::implementation::SetSendingAllowed(bool allowed) {
  if (allowed == sending_allowed_) return;
  sending_allowed_ = allowed;
  for (auto& [key, shard] : shards_) {
    if (allowed) {
      SendQueued(&shard);
    } else {
      FailQueued(&shard, [](const dispatch_request&) {
        return std::optional(failure{result_code::kControlLeaseExpired,
                                     dispatch_reason::kSendingForbidden});
      });
    }
  }
}

void shard_dispatcher::implementation::SetShardOwned(const shard_key& key,
                                                     bool owned) {
  dispatch_shard& shard = FindOrCreateShard(key);
  if (shard.owned == owned) return;
  shard.owned = owned;
  if (owned) {
    AdjustShardConnections(&shard);
  } else {
    KeepConnected(&shard);
  }
}

void shard_dispatcher::implementation::UpdateBackendServer(
    const backend_server_record& record) {
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
    server.shard = &FindOrCreateShard(record.key.shard);
    server.shard->servers.push_back(&server);
  } else {
    const backend_server_record& known = found->second.record;
    if (std::pair(record.incarnation, record.sequence) <
        std::pair(known.incarnation, known.sequence)) {
      return;
    }
    if (record.incarnation != known.incarnation) ResetServer(&found->second);
  }
  dispatch_server& server = found->second;
  // The new announcement supersedes earlier refusals.
  server.refused_versions.clear();
  const bool address_changed = server.record.address != record.address;
  server.record = record;
  if (address_changed) CloseUnused(&server);
  AdjustConnections(&server);
  dispatch_shard& shard = *server.shard;
  FailUnservable(&shard);
  SendQueued(&shard);
  EraseIfLost(&server);
}

void shard_dispatcher::implementation::Submit(const instance_name& origin,
                                              shard_request request) {
  ++counters_.submitted;
  auto& origin_requests = requests_[origin];
  const auto [found, is_new] = origin_requests.try_emplace(request.id);
  if (!is_new) {
    ++counters_.duplicate_submits;
    return;
  }
  dispatch_request& new_request = found->second;
  new_request.origin = origin;
  new_request.message =
      std::make_shared<const shard_request>(std::move(request));
  new_request.version = new_request.message->version;
  new_request.deadline = new_request.message->deadline;
  new_request.submitted_at = now_;
  const auto scope = scopes_.find(new_request.message->scope);
  new_request.scope = scope == scopes_.end() ? &default_scope_ : &scope->second;

  if (const auto shard = shards_.find(new_request.message->shard);
      shard != shards_.end()) {
    new_request.shard = &shard->second;
  }
  if (const auto refused = CheckSendable(new_request)) {
    Fail(&new_request, *refused);
    return;
  }
  dispatch_shard& shard = *new_request.shard;
  if (!shard.owned) KeepConnected(&shard);
  timers_.SubscribeOnce(
      new_request.deadline,
      [this, expired_request = &new_request](time_point) {
        OnDeadline(expired_request);
      },
      &new_request.deadline_timer);
  Enqueue(&new_request);
  SendQueued(&shard);
  if (shard.queue.size() > options_.max_queue_per_shard) {
    auto* rejected =
        static_cast<dispatch_request*>(shard.queue.EvictionCandidate());
    ++counters_.overloaded;
    Fail(rejected, {result_code::kOverloaded, dispatch_reason::kQueueFull});
  }
}

void shard_dispatcher::implementation::Cancel(const instance_name& origin,
                                              shard_request_id id) {
  const auto origin_requests = requests_.find(origin);
  if (origin_requests == requests_.end()) return;
  const auto found = origin_requests->second.find(id);
  if (found == origin_requests->second.end()) return;
  ++counters_.cancelled;
  dispatch_shard* shard = found->second.shard;
  AbortRequest(&found->second, /*expired=*/false);
  EraseRequest(&found->second);
  SendQueued(shard);
}

void shard_dispatcher::implementation::OnOriginDisconnected(
    const instance_name& origin) {
  const auto origin_requests = requests_.find(origin);
  if (origin_requests == requests_.end()) return;
  for (auto& [id, request] : origin_requests->second) {
    ++counters_.cancelled;
    if (request.message->idempotent) {
      AbortRequest(&request, /*expired=*/false);
    } else {
      // Non-idempotent work continues, because its effect may matter although
      // this origin no longer receives the result.
      while (!request.in_flight.empty()) {
        dispatch_attempt& attempt = request.in_flight.front();
        Detach(&attempt);
        ScheduleForcedClose(&attempt, request.deadline);
      }
      StopRunning(&request);
      if (request.queued()) request.shard->queue.Remove(&request);
    }
  }
  requests_.erase(origin_requests);
}

void shard_dispatcher::implementation::OnConnectionOpened(connection_id id) {
  dispatch_server* server = FindServer(id);
  if (server == nullptr || !server->pool.OnOpened(id)) return;
  ++counters_.connections_opened;
  AdjustConnections(server);
  SendQueued(server->shard);
}

void shard_dispatcher::implementation::OnConnectionFailed(connection_id id) {
  dispatch_server* server = FindServer(id);
  if (server == nullptr || !server->pool.OnFailed(id, now_)) return;
  connections_.erase(id);
  ++counters_.connections_failed;
  AdjustConnections(server);
  FailUnservable(server->shard);
  EraseIfLost(server);
}

void shard_dispatcher::implementation::OnConnectionClosed(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  dispatch_server* server = found->second.server;
  dispatch_attempt* attempt = found->second.attempt;
  server->pool.OnClosed(id, now_);
  connections_.erase(found);
  ++counters_.connections_broken;
  if (attempt != nullptr) OnAttemptDisconnected(attempt);
  AdjustConnections(server);
  FailUnservable(server->shard);
  SendQueued(server->shard);
  EraseIfLost(server);
}

void shard_dispatcher::implementation::OnReply(attempt_id id,
                                               const attempt_reply& reply) {
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
  if (current) {
    ObserveLimit(server, reply.limit);
    ObserveRest(server, reply.rest);
  }
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
    if (reply.kind == attempt_reply_kind::kShed && current) BackOff(server);
    EraseAttempt(&attempt);
  } else {
    // The handlers erase the attempt.
    (this->*kReplyHandlers[static_cast<std::size_t>(reply.kind)])(&attempt,
                                                                  reply);
  }
  if (!NeedsConnections(*server)) CloseUnused(server);
  SendQueued(server->shard);
  EraseIfLost(server);
}

std::vector<backend_server_status>
shard_dispatcher::implementation::BackendServers() const {
  std::vector<backend_server_status> all;
  all.reserve(servers_.size());
  for (const auto& [key, server] : servers_) {
    all.push_back({server.record, server.shard->owned, Cold(server),
                   server.in_flight, server.pool.open_count(),
                   server.pool.opening_count(), server.estimator.recent()});
  }
  return all;
}

std::vector<shard_status> shard_dispatcher::implementation::Shards(
    time_point now) const {
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

const shard_dispatcher::implementation::reply_handler
    shard_dispatcher::implementation::kReplyHandlers[5] = {
        &implementation::OnOk, &implementation::OnShed,
        &implementation::OnVersionGone, &implementation::OnFailed,
        // kCancelled: a cancellation that this dispatcher did not request.
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

void shard_dispatcher::OnOriginDisconnected(const instance_name& origin,
                                            time_point now,
                                            dispatch_effects* out) {
  implementation_->Begin(now, out);
  implementation_->OnOriginDisconnected(origin);
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
