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
  dispatch_scope& entry =
      scopes_.try_emplace(scope, options_.budget).first->second;
  entry.policy = policy;
  // Retries may use twice the budget of hedges (10% for the usual 5%).
  entry.budget.SetShare(policy.extra_attempt_budget,
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
      Pump(&shard);
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
  dispatch_shard& shard = ShardOf(key);
  if (shard.owned == owned) return;
  shard.owned = owned;
  if (owned) {
    MaintainShard(&shard);
  } else {
    Want(&shard);
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

void shard_dispatcher::implementation::Submit(const instance_name& origin,
                                              shard_request request) {
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
    auto* least =
        static_cast<dispatch_request*>(shard.queue.EvictionCandidate());
    ++counters_.overloaded;
    Fail(least, {result_code::kOverloaded, dispatch_reason::kQueueFull});
  }
}

void shard_dispatcher::implementation::Cancel(const instance_name& origin,
                                              shard_request_id id) {
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

void shard_dispatcher::implementation::OnOriginLost(
    const instance_name& origin) {
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

void shard_dispatcher::implementation::OnConnectionOpened(connection_id id) {
  dispatch_server* server = ServerOf(id);
  if (server == nullptr || !server->pool.OnOpened(id)) return;
  ++counters_.connections_opened;
  Maintain(server);
  Pump(server->shard);
}

void shard_dispatcher::implementation::OnConnectionFailed(connection_id id) {
  dispatch_server* server = ServerOf(id);
  if (server == nullptr || !server->pool.OnFailed(id, now_)) return;
  connections_.erase(id);
  ++counters_.connections_failed;
  Maintain(server);
  FailImpossible(server->shard);
  EraseIfGone(server);
}

void shard_dispatcher::implementation::OnConnectionClosed(connection_id id) {
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
