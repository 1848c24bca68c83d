#include "bilberrycourse/version_history.h"

#include <algorithm>
#include <cstddef>

namespace bilberrycourse {
namespace {

constexpr std::size_t kMaxVersions = 256;

}  // namespace

void version_history::Observe(std::uint64_t version, time_point now) {
  if (!observed_.empty() && observed_.back().second == version) return;
  // The state has begun anew, so its earlier versions mean nothing now.
  if (!observed_.empty() && observed_.back().second > version) Clear();
  observed_.emplace_back(now, version);
  if (observed_.size() > kMaxVersions) observed_.pop_front();
}

std::uint64_t version_history::KnownBefore(time_point time) const {
  // Times are rounded down, so an equal time may be a later one.
  const auto after = std::ranges::lower_bound(
      observed_, time, {}, [](const auto& entry) { return entry.first; });
  return after == observed_.begin() ? 0 : std::prev(after)->second;
}

}  // namespace bilberrycourse
