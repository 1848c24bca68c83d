#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Changes of the searchers of route_engine: the directory and the evacuation of
// availability zones.

namespace bilberrycourse {

void route_engine::Preconnect(time_point now, route_effects* out) {
  if (table_ == nullptr) return;
  for (const auto& [name, service] : table_->config().services) {
    for (searcher_entry* entry : pool_.OfService(name)) {
      Preconnect(entry, now, out);
    }
  }
}

void route_engine::Preconnect(searcher_entry* entry, time_point now,
                              route_effects* out) {
  if (entry == nullptr || table_ == nullptr || !entry->usable()) return;
  if (pool_.ShouldPreconnect(*entry) &&
      table_->config().services.contains(entry->report.service)) {
    OpenConnections(entry, 1, now, out);
  }
}

void route_engine::UpdateSearchers(const std::vector<searcher_record>& changes,
                                   bool complete_list, time_point now,
                                   route_effects* out) {
  std::vector<std::string> stopped;
  std::vector<connection_id> unused;
  pool_.Update(changes, complete_list, now, &stopped, &unused);
  LeaveSearchers(stopped, std::move(unused), now, out);
  // A searcher may move to an evacuated zone; it gets no probe there.
  std::erase_if(stopped, [&](const std::string& id) {
    const searcher_entry* entry = pool_.Find(id);
    return entry == nullptr || !entry->evacuated;
  });
  ReleaseProbed(stopped, now, out);
  for (const searcher_record& change : changes) {
    Preconnect(pool_.Find(change.report.id), now, out);
  }
}

// Closes the idle connections to the searchers and moves the attempts that wait
// for them to others. Also closes the connections in `unused`.
void route_engine::LeaveSearchers(const std::vector<std::string>& stopped,
                                  std::vector<connection_id> unused,
                                  time_point now, route_effects* out) {
  for (const std::string& id : stopped) {
    searcher_entry* entry = pool_.Find(id);
    if (entry != nullptr) {
      entry->connections.RemoveUnused(&unused);
      entry->waiting.clear();
    }
  }
  for (const connection_id id : unused) {
    connections_.erase(id);
    out->push_back(close_searcher_connection{id});
  }
  if (stopped.empty()) return;
  const std::set<std::string> left(stopped.begin(), stopped.end());
  std::vector<attempt_state> unsent;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.sent && left.contains(attempt.searcher)) {
      unsent.push_back(attempt);
    }
  }
  for (const attempt_state& attempt : unsent) {
    if (FindAttempt(attempt.id) != nullptr) MoveUnsent(attempt, now, out);
  }
}

void route_engine::SetEvacuatedZones(std::set<availability_zone> zones,
                                     time_point now, route_effects* out) {
  std::vector<std::string> stopped;
  std::vector<std::string> resumed;
  pool_.SetEvacuatedZones(std::move(zones), &stopped, &resumed);
  LeaveSearchers(stopped, {}, now, out);
  ReleaseProbed(stopped, now, out);
  // Attempts of held requests may have moved to searchers without a limit.
  if (!stopped.empty()) ReleaseHeld(now, out);
  for (const std::string& id : resumed) Preconnect(pool_.Find(id), now, out);
}

// Ends the probes that would show whether searchers have crashed. Machines of
// an evacuated zone may be switched off, so that a lost attempt there proves
// nothing, and the parts that wait for the result go elsewhere.
void route_engine::ReleaseProbed(const std::vector<std::string>& evacuated,
                                 time_point now, route_effects* out) {
  std::vector<std::pair<route_request_id, std::size_t>> parts;
  for (const std::string& id : evacuated) {
    const auto lost = lost_searchers_.find(id);
    if (lost == lost_searchers_.end()) continue;
    parts.insert(parts.end(), lost->second.parts.begin(),
                 lost->second.parts.end());
    lost_searchers_.erase(lost);
  }
  for (const auto& [id, part] : parts) {
    request_state* request = FindRequest(id);
    if (request == nullptr) continue;
    RetryOrFail(request, part, send_reason::kFailed,
                result_code::kBackendServerCrashed, now, out);
  }
}

// Refuses a request that can't reach its minimum coverage, because the usable
// searchers of too many shards are all in evacuated zones. Returns true if the
// request has ended. A relay instead reports each shard to the origin.
bool route_engine::RefuseEvacuated(request_state* request, time_point now,
                                   route_effects* out) {
  if (request->call.streamed() || pool_.evacuated_zone_count() == 0) {
    return false;
  }
  std::size_t left = 0;
  for (const part_state& part : request->parts) {
    if (!pool_.Evacuated(part.service)) ++left;
  }
  const double share =
      static_cast<double>(left) / static_cast<double>(request->parts.size());
  if (left > 0 && share >= request->call.matched_route->min_coverage) {
    return false;
  }
  FinishFailed(request, result_code::kNoServingReplica, now, out);
  return true;
}

relay_plan::replica_zones route_engine::ReplicaZones(
    const std::vector<std::string>& shards) const {
  relay_plan::replica_zones all;
  all.reserve(shards.size());
  for (const std::string& shard : shards) {
    std::set<availability_zone> zones;
    for (const searcher_entry* entry : pool_.OfService(shard)) {
      if (entry->usable()) zones.insert(entry->report.zone);
    }
    all.emplace_back(zones.begin(), zones.end());
  }
  return all;
}

}  // namespace bilberrycourse
