#include "bilberrycourse/entry_instance_log.h"

#include <algorithm>
#include <map>
#include <utility>

#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

// Lists change at most four times a second, and instances poll more than twice
// a second. The rest is for instances that lose some polls.
constexpr std::size_t kMaxLists = 24;

}  // namespace

std::uint64_t DigestOf(const entry_list& entries) {
  std::string text;
  for (const entry_instance& entry : entries) {
    text += entry.name + " " + entry.address + " " + entry.zone + "\n";
  }
  return std::max<std::uint64_t>(name_hash()(text), 1);
}

std::optional<entry_list> ApplyChange(const entry_list& base,
                                      const entry_list_change& change) {
  std::map<instance_name, entry_instance> by_name;
  if (change.base_digest != 0) {
    for (const entry_instance& entry : base) by_name[entry.name] = entry;
  }
  for (const instance_name& name : change.removed) by_name.erase(name);
  for (const entry_instance& entry : change.added) by_name[entry.name] = entry;
  entry_list result;
  for (auto& [name, entry] : by_name) result.push_back(std::move(entry));
  if (DigestOf(result) != change.digest) return std::nullopt;
  return result;
}

void entry_instance_log::Set(entry_list entries) {
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  const std::uint64_t digest = DigestOf(entries);
  if (digest == lists_.back().digest) return;
  // An instance that knows an earlier list with this digest continues from the
  // current one.
  std::erase_if(lists_,
                [&](const version& kept) { return kept.digest == digest; });
  lists_.push_back({digest, std::move(entries)});
  if (lists_.size() > kMaxLists) lists_.pop_front();
}

entry_list_change entry_instance_log::ChangeSince(std::uint64_t digest) const {
  const entry_list& current = lists_.back().entries;
  entry_list_change change;
  change.digest = lists_.back().digest;
  const auto base =
      std::find_if(lists_.begin(), lists_.end(),
                   [&](const version& kept) { return kept.digest == digest; });
  if (base == lists_.end()) {
    change.added = current;
    return change;
  }
  change.base_digest = digest;
  auto from = base->entries.begin();
  const auto from_end = base->entries.end();
  for (const entry_instance& entry : current) {
    while (from != from_end && from->name < entry.name) {
      change.removed.push_back((from++)->name);
    }
    if (from != from_end && from->name == entry.name) {
      if (*from != entry) change.added.push_back(entry);
      ++from;
      continue;
    }
    change.added.push_back(entry);
  }
  for (; from != from_end; ++from) change.removed.push_back(from->name);
  return change;
}

}  // namespace bilberrycourse
