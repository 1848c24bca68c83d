#include "bilberrycourse/request_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bilberrycourse/limit_allocator.h"

namespace bilberrycourse {
namespace {

using seconds = std::chrono::duration<double>;

// Relative change of a limit that is reported to the allocator at once.
constexpr double kReportedChange = 0.05;
// A share accumulates for at most this time, but to at least one request.
constexpr seconds kMaxShareTime{0.5};

}  // namespace

bool request_quota::Observe(std::optional<double> per_second,
                            time_point stated_at) {
  if (stated_at < stated_at_) return false;
  stated_at_ = stated_at;
  const std::optional<double> previous = std::exchange(per_second_, per_second);
  if (!per_second.has_value()) {
    permissions_.clear();
    denied_until_.clear();
    return previous.has_value();
  }
  return !previous.has_value() ||
         std::abs(*per_second - *previous) > kReportedChange * *previous;
}

std::optional<time_point> request_quota::Take(std::uint32_t priority,
                                              time_point now) {
  for (auto granted = permissions_.lower_bound(priority);
       granted != permissions_.end(); ++granted) {
    std::vector<time_point>& ends = granted->second;
    std::erase_if(ends, [&](time_point end) { return end <= now; });
    if (ends.empty()) continue;
    const auto first = std::min_element(ends.begin(), ends.end());
    const time_point end = *first;
    ends.erase(first);
    return end;
  }
  return std::nullopt;
}

void request_quota::Return(std::uint32_t priority, time_point end) {
  if (limited()) permissions_[priority].push_back(end);
}

void request_quota::OnGrant(std::uint32_t priority, std::uint32_t granted,
                            time_point now) {
  if (!limited() || granted == 0) return;
  std::vector<time_point>& ends = permissions_[priority];
  std::erase_if(ends, [&](time_point end) { return end <= now; });
  ends.insert(ends.end(), granted, now + kPermissionLifetime);
}

void request_quota::Deny(std::uint32_t priority, time_point until) {
  if (limited()) denied_until_[priority] = until;
}

bool request_quota::Denied(std::uint32_t priority, time_point now) const {
  return DeniedFor(priority, now) > duration{0};
}

duration request_quota::DeniedFor(std::uint32_t priority,
                                  time_point now) const {
  duration longest{0};
  for (const auto& [denied, until] : denied_until_) {
    if (denied <= priority) longest = std::max(longest, until - now);
  }
  return longest;
}

bool request_quota::TakeShare(double per_second, time_point lost_at,
                              time_point now) {
  if (share_at_ < lost_at) {
    share_at_ = lost_at;
    share_ = 0;
  }
  const double elapsed =
      std::chrono::duration_cast<seconds>(now - share_at_).count();
  share_at_ = now;
  share_ = std::min(share_ + per_second * elapsed,
                    std::max(1.0, per_second * kMaxShareTime.count()));
  if (share_ < 1) return false;
  share_ -= 1;
  return true;
}

}  // namespace bilberrycourse
