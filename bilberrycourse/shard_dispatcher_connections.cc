#include <algorithm>
#include <vector>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {

dispatch_shard& shard_dispatcher::implementation::FindOrCreateShard(
    const shard_key& key) {
  const auto [found, is_new] = shards_.try_emplace(key);
  if (is_new) found->second.key = key;
  return found->second;
}

dispatch_server* shard_dispatcher::implementation::FindServer(
    connection_id id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.server;
}

bool shard_dispatcher::implementation::Contains(
    const std::vector<index_version>& versions, index_version version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

bool shard_dispatcher::implementation::Serves(const dispatch_server& server,
                                              index_version version) {
  return server.record.state == backend_server_state::kServing &&
         Contains(server.record.versions, version) &&
         !Contains(server.refused_versions, version);
}

bool shard_dispatcher::implementation::Cold(
    const dispatch_server& server) const {
  return server.successes < options_.ramp_successes;
}

std::uint32_t shard_dispatcher::implementation::ConnectionLimit(
    const dispatch_server& server) {
  return std::max<std::uint32_t>(server.record.connection_limit, 2) - 1;
}

std::uint32_t shard_dispatcher::implementation::Slots(
    const dispatch_server& server) const {
  if (Cold(server)) return std::min<std::uint32_t>(server.record.slots, 1);
  return std::min(server.record.slots, ConnectionLimit(server));
}

bool shard_dispatcher::implementation::Reachable(
    const dispatch_server& server) const {
  return server.record.slots > 0 &&
         (server.pool.open_count() > 0 ||
          server.pool.failures() < options_.unreachable_after_failures);
}

bool shard_dispatcher::implementation::NeedsConnections(
    const dispatch_server& server) const {
  return server.record.state == backend_server_state::kServing &&
         (server.shard->owned || now_ < server.shard->keep_connected_until);
}

bool shard_dispatcher::implementation::Available(
    const dispatch_server& server) const {
  return server.in_flight < Slots(server) && now_ >= server.paused_until &&
         server.pool.idle_count() > 0 && WithinLimit(server);
}

bool shard_dispatcher::implementation::WithinLimit(
    const dispatch_server& server) const {
  return !server.request_limit.has_value() ||
         server.limit_tokens.Tokens(*server.request_limit, now_) >= 1;
}

// A reply without a limit lifts it. A malformed one changes nothing.
void shard_dispatcher::implementation::ObserveLimit(dispatch_server* server,
                                                    const stated_limit& limit) {
  if (limit.present && !limit.per_second.has_value()) return;
  if (limit.present && !server->request_limit.has_value()) {
    server->limit_tokens.Start(now_);
  }
  server->request_limit = limit.per_second;
}

// A shorter time after a longer one does not end the rest.
void shard_dispatcher::implementation::ObserveRest(
    dispatch_server* server, std::optional<duration> rest) {
  if (!rest.has_value() || now_ + *rest <= server->rest_until) return;
  server->rest_until = now_ + *rest;
  PauseUntil(server, server->rest_until);
}

void shard_dispatcher::implementation::KeepConnected(dispatch_shard* shard) {
  shard->keep_connected_until = now_ + options_.idle_connection_timeout;
  if (!shard->idle_timer.active()) ScheduleIdleClose(shard);
  AdjustShardConnections(shard);
}

void shard_dispatcher::implementation::ScheduleIdleClose(
    dispatch_shard* shard) {
  timers_.SubscribeOnce(
      shard->keep_connected_until,
      [this, shard](time_point) {
        if (shard->owned) return;
        if (now_ < shard->keep_connected_until) {
          ScheduleIdleClose(shard);
          return;
        }
        for (dispatch_server* server : shard->servers) CloseUnused(server);
      },
      &shard->idle_timer);
}

void shard_dispatcher::implementation::AdjustShardConnections(
    dispatch_shard* shard) {
  for (dispatch_server* server : shard->servers) AdjustConnections(server);
}

void shard_dispatcher::implementation::AdjustConnections(
    dispatch_server* server) {
  if (!NeedsConnections(*server)) {
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
  const std::uint32_t connection_count =
      server->pool.open_count() + server->pool.opening_count();
  if (connection_count < target && server->pool.open_after() > now_) {
    timers_.SubscribeOnce(
        server->pool.open_after(),
        [this, server](time_point) { AdjustConnections(server); },
        &server->reconnect_timer);
  }
}

void shard_dispatcher::implementation::CloseUnused(dispatch_server* server) {
  scratch_ids_.clear();
  server->pool.RemoveUnused(&scratch_ids_);
  for (const connection_id id : scratch_ids_) {
    connections_.erase(id);
    out_->push_back(close_connection{id});
  }
}

void shard_dispatcher::implementation::ResetServer(dispatch_server* server) {
  CloseUnused(server);
  server->in_flight = 0;
  server->successes = 0;
  server->estimator.Reset();
  server->paused_until = time_point::min();
  server->shed_pause = duration{0};
  server->rest_until = time_point::min();
  server->request_limit.reset();
  server->pool.ResetFailures();
}

void shard_dispatcher::implementation::EraseIfLost(dispatch_server* server) {
  if (server->record.state != backend_server_state::kLost ||
      !server->attempts.empty() || !server->pool.empty()) {
    return;
  }
  std::erase(server->shard->servers, server);
  const backend_server_key key = server->record.key;
  servers_.erase(key);
}

void shard_dispatcher::implementation::BackOff(dispatch_server* server) {
  server->shed_pause = std::clamp(server->shed_pause * 2, options_.shed_pause,
                                  options_.max_shed_pause);
  PauseUntil(server, now_ + server->shed_pause);
}

void shard_dispatcher::implementation::PauseUntil(dispatch_server* server,
                                                  time_point until) {
  server->paused_until = std::max(server->paused_until, until);
  timers_.SubscribeOnce(
      server->paused_until,
      [this, shard = server->shard](time_point) { SendQueued(shard); },
      &server->pause_timer);
}

}  // namespace bilberrycourse
