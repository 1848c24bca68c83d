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

bool backend_server_table::IsValid(const backend_server_record& r) const {
  const auto name_is_valid = [&](const std::string& name) {
    return !name.empty() && name.size() <= options_.max_name_bytes;
  };
  return name_is_valid(r.key.shard.service) && name_is_valid(r.key.replica) &&
         name_is_valid(r.address) && r.zone.size() <= options_.max_name_bytes &&
         r.key.shard.shard < r.shard_count && r.incarnation > 0 &&
         r.slots > 0 && r.connection_limit > 0 &&
         r.versions.size() <= options_.max_versions &&
         std::is_sorted(r.versions.begin(), r.versions.end());
}

bool backend_server_table::IsAlive(const instance_name& name) const {
  return name == self_ || Contains(alive_, name);
}

void backend_server_table::MoveTo(entry_list* list, entry* e, time_point now) {
  if (e->is_linked()) e->unlink();
  e->since = now;
  list->push_back(*e);
}

void backend_server_table::Classify(entry* e, time_point now) {
  const backend_server_record& r = e->published;
  if (r.state == backend_server_state::kLost) {
    MoveTo(&lost_, e, now);
  } else if (r.registrar == self_) {
    MoveTo(&renewed_, e, now);
  } else {
    MoveTo(IsAlive(r.registrar) ? &remote_ : &orphaned_, e, now);
  }
}

void backend_server_table::SetView(entry* e, const backend_server_record& view,
                                   std::vector<backend_server_effect>* out) {
  if (IsSameRecord(e->view, view)) return;
  e->view = view;
  out->push_back(backend_server_changed{view});
}

void backend_server_table::Publish(entry* e, backend_server_record record,
                                   time_point now,
                                   std::vector<backend_server_effect>* out) {
  e->published = std::move(record);
  Classify(e, now);
  out->push_back(publish_record{ToSoftRecord(e->published)});
  SetView(e, e->published, out);
}

void backend_server_table::PublishLost(
    entry* e, time_point now, std::vector<backend_server_effect>* out) {
  backend_server_record lost = e->published;
  ++lost.sequence;
  lost.state = backend_server_state::kLost;
  Publish(e, std::move(lost), now, out);
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
  entry& e = it->second;
  const backend_server_record& known = e.published;
  if (record.incarnation < known.incarnation) {
    return result_code::kStaleIncarnation;
  }
  if (record.incarnation == known.incarnation) {
    if (known.registrar == self_ && HasSameAttributes(known, record)) {
      MoveTo(&renewed_, &e, now);
      return result_code::kOk;
    }
    record.sequence = known.sequence + 1;
  }
  Publish(&e, std::move(record), now, out);
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
  entry& e = it->second;
  const backend_server_record& known = e.published;
  // gossip_table has already ordered records of equal versions, so an equal
  // version is accepted as newer.
  if (std::pair(merged->incarnation, merged->sequence) <
      std::pair(known.incarnation, known.sequence)) {
    return;
  }
  const bool renewed_here = known.registrar == self_ &&
                            known.state != backend_server_state::kLost &&
                            now - e.since < options_.lost_after;
  if (renewed_here && merged->incarnation == known.incarnation &&
      merged->state == backend_server_state::kLost) {
    // Another instance, for example the former registrar, reports the loss of a
    // searcher that renews here. The renewals show that it is alive.
    backend_server_record ours = known;
    ours.sequence = merged->sequence + 1;
    Publish(&e, std::move(ours), now, out);
    return;
  }
  e.published = std::move(*merged);
  Classify(&e, now);
  SetView(&e, e.published, out);
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
      entry& e = *it++;
      if (Contains(registrars, e.published.registrar)) move(&e);
    }
  };
  move_records_of(&remote_, removed,
                  [&](entry* e) { MoveTo(&orphaned_, e, now); });
  const auto restore = [&](entry* e) {
    MoveTo(&remote_, e, now);
    SetView(e, e->published, out);
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
    for (entry& e : renewed_) e.since = std::min(now, e.since + pause);
  }
  const auto is_due = [&](entry_list& list, duration delay) {
    return !list.empty() && list.front().since + delay <= now;
  };
  while (is_due(renewed_, options_.lost_after)) {
    PublishLost(&renewed_.front(), now, out);
  }
  while (is_due(orphaned_, options_.registrar_grace)) {
    entry& e = orphaned_.front();
    // Only the view of this instance changes: a registrar that was merely
    // unreachable still receives renewals, and its records are in force again
    // when it returns.
    MoveTo(&abandoned_, &e, now);
    backend_server_record lost = e.published;
    lost.state = backend_server_state::kLost;
    SetView(&e, lost, out);
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
  for (const auto& [key, e] : entries_) visit(e.view);
}

}  // namespace bilberrycourse
