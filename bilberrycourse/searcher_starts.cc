#include "bilberrycourse/searcher_starts.h"

namespace bilberrycourse {
namespace {

// The directory drops searchers that are gone without a notice. Their entries
// are dropped once there are this many beyond its size.
constexpr std::size_t kMaxExtraEntries = 1024;

}  // namespace

void searcher_starts::Observe(const searcher_directory& directory,
                              time_point now) {
  if (directory.revision() < revision_) Clear();
  if (directory.revision() == revision_) return;
  for (const searcher_record& record : directory.ChangesSince(revision_)) {
    const auto [entry, added] = starts_.try_emplace(record.report.id);
    start& known = entry->second;
    if (!added && known.started_at_ms == record.report.started_at_ms) continue;
    known = {record.report.started_at_ms, now};
  }
  revision_ = directory.revision();
  if (starts_.size() <= directory.size() + kMaxExtraEntries) return;
  std::erase_if(starts_, [&](const auto& entry) {
    return directory.Find(entry.first) == nullptr;
  });
}

std::optional<wall_time_ms> searcher_starts::KnownBefore(
    const std::string& id, time_point time) const {
  const auto found = starts_.find(id);
  // Times are rounded down, so an equal time may be a later one.
  if (found == starts_.end() || found->second.known_at >= time) {
    return std::nullopt;
  }
  return found->second.started_at_ms;
}

void searcher_starts::Clear() {
  revision_ = 0;
  starts_.clear();
}

}  // namespace bilberrycourse
