#include "bilberrycourse/backend_server_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "bilberrycourse/gossip_codec.h"

namespace bilberrycourse {
namespace {

// Returns true if the records differ at most in key, incarnation, sequence and
// registrar.
bool HasSameAttributes(const backend_server_record& a,
                       const backend_server_record& b) {
  return a.shard_count == b.shard_count && a.address == b.address &&
         a.zone == b.zone && a.slots == b.slots &&
         a.connection_limit == b.connection_limit && a.versions == b.versions &&
         a.state == b.state;
}

bool IsSameRecord(const backend_server_record& a,
                  const backend_server_record& b) {
  return HasSameAttributes(a, b) && a.incarnation == b.incarnation &&
         a.sequence == b.sequence && a.registrar == b.registrar;
}

std::vector<instance_name> Difference(const std::vector<instance_name>& a,
                                      const std::vector<instance_name>& b) {
  std::vector<instance_name> difference;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(difference));
  return difference;
}

bool Contains(const std::vector<instance_name>& sorted,
              const instance_name& name) {
  return std::binary_search(sorted.begin(), sorted.end(), name);
}

}  // namespace

backend_server_table::backend_server_table(instance_name self,
                                           backend_server_options options)
    : self_(std::move(self)), options_(options) {}

bool backend_server_table::IsValid(const backend_server_record& record) const {
  const auto name_is_valid = [&](const std::string& name) {
    return !name.empty() && name.size() <= options_.max_name_bytes;
  };
  return name_is_valid(record.key.shard.service) &&
         name_is_valid(record.key.replica) && name_is_valid(record.address) &&
         record.zone.size() <= options_.max_name_bytes &&
         record.key.shard.shard < record.shard_count &&
         record.incarnation > 0 && record.slots > 0 &&
         record.connection_limit > 0 &&
         record.versions.size() <= options_.max_versions &&
         std::is_sorted(record.versions.begin(), record.versions.end());
}

bool backend_server_table::IsAlive(const instance_name& name) const {
  return name == self_ || Contains(alive_, name);
}

void backend_server_table::MoveTo(entry_list* list, server_entry* entry,
                                  time_point now) {
  if (entry->is_linked()) entry->unlink();
  entry->since = now;
  list->push_back(*entry);
}

void backend_server_table::Classify(server_entry* entry, time_point now) {
  const backend_server_record& record = entry->published;
  if (record.state == backend_server_state::kLost) {
    MoveTo(&lost_, entry, now);
  } else if (record.registrar == self_) {
    MoveTo(&renewed_, entry, now);
  } else {
    MoveTo(IsAlive(record.registrar) ? &remote_ : &orphaned_, entry, now);
  }
}

void backend_server_table::SetView(server_entry* entry,
                                   const backend_server_record& view,
                                   std::vector<backend_server_effect>* out) {
  if (IsSameRecord(entry->view, view)) return;
  entry->view = view;
  out->push_back(backend_server_changed{view});
}

void backend_server_table::Publish(server_entry* entry,
                                   backend_server_record record, time_point now,
                                   std::vector<backend_server_effect>* out) {
  entry->published = std::move(record);
  Classify(entry, now);
  out->push_back(publish_record{ToSoftRecord(entry->published)});
  SetView(entry, entry->published, out);
}

void backend_server_table::PublishLost(
    server_entry* entry, time_point now,
    std::vector<backend_server_effect>* out) {
  backend_server_record lost = entry->published;
  ++lost.sequence;
  lost.state = backend_server_state::kLost;
  Publish(entry, std::move(lost), now, out);
}

result_code backend_server_table::Announce(
    const backend_server_record& announced, time_point now,
    std::vector<backend_server_effect>* out) {
  if (!IsValid(announced) || announced.state == backend_server_state::kLost) {
    return result_code::kInvalidField;
  }
  backend_server_record record = announced;
  record.registrar = self_;
  record.sequence = 1;
  auto it = entries_.find(record.key);
  if (it == entries_.end()) {
    if (entries_.size() >= options_.max_records)
      return result_code::kOverloaded;
    it = entries_.try_emplace(record.key).first;
    Publish(&it->second, std::move(record), now, out);
    return result_code::kOk;
  }
  server_entry& entry = it->second;
  const backend_server_record& known = entry.published;
  if (record.incarnation < known.incarnation) {
    return result_code::kStaleIncarnation;
  }
  if (record.incarnation == known.incarnation) {
    if (known.registrar == self_ && HasSameAttributes(known, record)) {
      MoveTo(&renewed_, &entry, now);
      return result_code::kOk;
    }
    record.sequence = known.sequence + 1;
  }
  Publish(&entry, std::move(record), now, out);
  return result_code::kOk;
}

void backend_server_table::Merge(const soft_record& record, time_point now,
                                 std::vector<backend_server_effect>* out) {
  std::optional<backend_server_record> merged = ToBackendServerRecord(record);
  if (!merged || !IsValid(*merged)) {
    ++malformed_;
    return;
  }
  auto it = entries_.find(merged->key);
  if (it == entries_.end()) {
    if (entries_.size() >= options_.max_records) return;
    it = entries_.try_emplace(merged->key).first;
  }
  server_entry& entry = it->second;
  const backend_server_record& known = entry.published;
  // gossip_table has already ordered records of equal versions, so an equal
  // version is accepted as newer.
  if (std::pair(merged->incarnation, merged->sequence) <
      std::pair(known.incarnation, known.sequence)) {
    return;
  }
  const bool renewed_here = known.registrar == self_ &&
                            known.state != backend_server_state::kLost &&
                            now - entry.since < options_.lost_after;
  if (renewed_here && merged->incarnation == known.incarnation &&
      merged->state == backend_server_state::kLost) {
    // Another instance, for example the former registrar, reports the loss of a
    // searcher that renews here. The renewals show that it is alive.
    backend_server_record ours = known;
    ours.sequence = merged->sequence + 1;
    Publish(&entry, std::move(ours), now, out);
    return;
  }
  entry.published = std::move(*merged);
  Classify(&entry, now);
  SetView(&entry, entry.published, out);
}

void backend_server_table::SetAliveInstances(
    std::vector<instance_name> names, time_point now,
    std::vector<backend_server_effect>* out) {
  const std::vector<instance_name> removed = Difference(alive_, names);
  const std::vector<instance_name> added = Difference(names, alive_);
  alive_ = std::move(names);
  const auto move_records_of = [](entry_list* list,
                                  const std::vector<instance_name>& registrars,
                                  const auto& move) {
    if (registrars.empty()) return;
    for (auto it = list->begin(); it != list->end();) {
      server_entry& entry = *it++;
      if (Contains(registrars, entry.published.registrar)) move(&entry);
    }
  };
  move_records_of(&remote_, removed,
                  [&](server_entry* entry) { MoveTo(&orphaned_, entry, now); });
  const auto restore = [&](server_entry* entry) {
    MoveTo(&remote_, entry, now);
    SetView(entry, entry->published, out);
  };
  move_records_of(&orphaned_, added, restore);
  move_records_of(&abandoned_, added, restore);
}

void backend_server_table::Tick(time_point now,
                                std::vector<backend_server_effect>* out) {
  const duration gap = now - last_tick_.value_or(now);
  last_tick_ = now;
  if (gap > options_.pause_threshold) {
    const duration pause = gap - options_.pause_threshold;
    for (server_entry& entry : renewed_)
      entry.since = std::min(now, entry.since + pause);
  }
  const auto is_due = [&](entry_list& list, duration delay) {
    return !list.empty() && list.front().since + delay <= now;
  };
  while (is_due(renewed_, options_.lost_after)) {
    PublishLost(&renewed_.front(), now, out);
  }
  while (is_due(orphaned_, options_.registrar_grace)) {
    server_entry& entry = orphaned_.front();
    // Only the view of this instance changes: a registrar that was merely
    // unreachable still receives renewals, and its records are in force again
    // when it returns.
    MoveTo(&abandoned_, &entry, now);
    backend_server_record lost = entry.published;
    lost.state = backend_server_state::kLost;
    SetView(&entry, lost, out);
  }
  const bool is_first_alive = !alive_.empty() && alive_.front() == self_;
  while (is_first_alive && is_due(abandoned_, options_.orphan_retention)) {
    PublishLost(&abandoned_.front(), now, out);
  }
  while (is_due(lost_, options_.lost_retention)) {
    const backend_server_key key = lost_.front().published.key;
    entries_.erase(key);
  }
}

const backend_server_record* backend_server_table::Find(
    const backend_server_key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.view;
}

void backend_server_table::ForEach(
    const std::function<void(const backend_server_record&)>& visit) const {
  for (const auto& [key, entry] : entries_) visit(entry.view);
}

}  // namespace bilberrycourse
