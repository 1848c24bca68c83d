#include "bilberrycourse/connection_pool.h"

#include <algorithm>

namespace bilberrycourse {

void connection_pool::Open(std::uint32_t target, time_point now,
                           std::uint64_t* next_id,
                           std::vector<connection_id>* opening) {
  if (now < open_after_) return;
  if (failures_ > 0 && opening_ > 0) return;
  while (connections_.size() < target) {
    const connection_id id{(*next_id)++};
    connections_[id].id = id;
    ++opening_;
    opening->push_back(id);
    if (failures_ > 0) return;
  }
}

bool connection_pool::OnOpened(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() ||
      found->second.phase != connection_phase::kOpening) {
    return false;
  }
  --opening_;
  found->second.phase = connection_phase::kIdle;
  idle_.push_front(found->second);
  ++idle_count_;
  failures_ = 0;
  open_after_ = time_point::min();
  return true;
}

bool connection_pool::OnFailed(connection_id id, time_point now) {
  const auto found = connections_.find(id);
  if (found == connections_.end() ||
      found->second.phase != connection_phase::kOpening) {
    return false;
  }
  --opening_;
  connections_.erase(found);
  const duration wait =
      options_.reconnect_wait * (std::int64_t{1} << std::min(failures_, 16u));
  open_after_ = now + std::min(wait, options_.max_reconnect_wait);
  ++failures_;
  return true;
}

bool connection_pool::OnClosed(connection_id id, time_point now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  if (found->second.phase == connection_phase::kOpening)
    return OnFailed(id, now);
  RemoveFromIdle(&found->second);
  connections_.erase(found);
  // Prevents a busy loop if a searcher accepts connections and closes them at
  // once.
  open_after_ = std::max(open_after_, now + options_.reconnect_wait);
  return true;
}

std::optional<connection_id> connection_pool::Take() {
  if (idle_.empty()) return std::nullopt;
  pooled_connection& connection = idle_.front();
  RemoveFromIdle(&connection);
  connection.phase = connection_phase::kBusy;
  return connection.id;
}

void connection_pool::Release(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() ||
      found->second.phase != connection_phase::kBusy) {
    return;
  }
  found->second.phase = connection_phase::kIdle;
  idle_.push_front(found->second);
  ++idle_count_;
}

void connection_pool::Remove(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (found->second.phase == connection_phase::kOpening) --opening_;
  RemoveFromIdle(&found->second);
  connections_.erase(found);
}

void connection_pool::ResetFailures() {
  failures_ = 0;
  open_after_ = time_point::min();
}

void connection_pool::RemoveUnused(std::vector<connection_id>* closed) {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    pooled_connection& unused = entry->second;
    if (unused.phase == connection_phase::kBusy) {
      ++entry;
      continue;
    }
    if (unused.phase == connection_phase::kOpening) --opening_;
    RemoveFromIdle(&unused);
    closed->push_back(unused.id);
    entry = connections_.erase(entry);
  }
}

void connection_pool::RemoveFromIdle(pooled_connection* connection) {
  if (!connection->is_linked()) return;
  idle_.erase(idle_.iterator_to(*connection));
  --idle_count_;
}

}  // namespace bilberrycourse
