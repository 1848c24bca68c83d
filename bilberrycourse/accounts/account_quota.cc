#include "bilberrycourse/accounts/account_quota.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace bilberrycourse {
namespace {

using seconds = std::chrono::duration<double>;

// Parts of the slack and of the overshoot that are for own shares. The rest is
// for what the allocator does not see; see quota_allocator.
constexpr double kFreeSlack = 0.125;
constexpr double kFreeOvershoot = 0.5;
// Time after an unanswered request in which the allocator is not asked.
constexpr duration kSilencePause = std::chrono::milliseconds(200);
// Retry-After while the allocator is lost and the own share is used up. A new
// leader is elected within 0.3 to 2.5 s.
constexpr duration kLostRetryTime = std::chrono::milliseconds(500);
// Longest Retry-After of one refused request after others.
constexpr duration kMaxRetryTime = std::chrono::seconds(30);
constexpr duration kRemovalPeriod = std::chrono::seconds(5);
// Bounds the memory. Above the greatest number of accounts in a configuration.
constexpr std::size_t kMaxAccounts = 16384;
// Permits of one account held at once, if a reply grants more than was asked.
constexpr std::size_t kMaxPermits = 4096;

double LimitOfWindow(const quota_tolerance& tolerance,
                     const quota_limits& limits) {
  return limits.requests_per_second * seconds(tolerance.window).count() +
         limits.burst;
}

// Returns a number in [0, 1) that differs between accounts and times.
double RandomFraction(const std::string& account, time_point now) {
  const std::uint64_t mixed =
      (std::hash<std::string>()(account) ^
       static_cast<std::uint64_t>(now.time_since_epoch().count())) *
      0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mixed >> 11U) / static_cast<double>(1ULL << 53U);
}

}  // namespace

std::uint64_t OwnShare(const quota_tolerance& tolerance,
                       const quota_limits& limits, std::uint64_t grants,
                       std::uint64_t all_grants, double random) {
  if (grants == 0) return 0;
  const double limit = LimitOfWindow(tolerance, limits);
  // Rates near the largest double add up to no finite limit.
  if (!std::isfinite(limit)) return grants;
  const double room = std::min(kFreeOvershoot * tolerance.overshoot * limit +
                                   kFreeSlack * tolerance.slack,
                               limit);
  // `all_grants` is as old as the latest reply. Half of the limit in its place
  // keeps the sum of all shares in bounds while the load of an account rises.
  const double whole =
      std::max(static_cast<double>(std::max(grants, all_grants)), limit / 2);
  const double part = static_cast<double>(grants) / whole;
  return static_cast<std::uint64_t>(room * part + random);
}

account_quota::account_state* account_quota::Find(const quota_limits& limits,
                                                  time_point now) {
  if (now >= removal_due_) RemoveIdle(now);
  auto found = accounts_.find(limits.account);
  if (found == accounts_.end()) {
    if (accounts_.size() >= kMaxAccounts) return nullptr;
    found = accounts_.emplace(limits.account, tolerance_.window).first;
  }
  account_state& state = found->second;
  state.limits = limits;
  state.used_at = now;
  return &state;
}

void account_quota::RemoveExpired(account_state* state, time_point now) {
  state->expired += static_cast<std::uint32_t>(std::erase_if(
      state->permit_ends, [&](time_point end) { return end <= now; }));
}

// Every refused request moves the time at which there is room for the next one.
quota_decision account_quota::Refuse(account_state* state, time_point now) {
  const time_point room_at =
      std::max({state->denied_until, state->room_at, now});
  const seconds interval(1 / state->limits.requests_per_second);
  quota_decision refused;
  refused.retry_after = std::min(room_at - now, kMaxRetryTime);
  state->room_at = std::min(room_at + std::chrono::ceil<duration>(std::min(
                                          interval, seconds(kMaxRetryTime))),
                            now + kMaxRetryTime);
  return refused;
}

quota_decision account_quota::Decide(const quota_limits& limits,
                                     time_point now) {
  account_state* state = Find(limits, now);
  if (state == nullptr) return {quota_verdict::kRefused, kLostRetryTime, {}};
  RemoveExpired(state, now);
  if (!state->permit_ends.empty()) {
    const auto first = std::ranges::min_element(state->permit_ends);
    const time_point end = *first;
    state->permit_ends.erase(first);
    return {quota_verdict::kAdmitted, duration{0}, end};
  }
  if (now < state->denied_until) return Refuse(state, now);
  if (lost_ && now < ask_again_at_) return DecideAlone(limits, now);
  return {quota_verdict::kAsk, duration{0}, {}};
}

quota_decision account_quota::DecideAlone(const quota_limits& limits,
                                          time_point now) {
  account_state* state = Find(limits, now);
  if (state == nullptr) return {quota_verdict::kRefused, kLostRetryTime, {}};
  // A lower limit that has arrived since binds here as well.
  const double limit = std::max(LimitOfWindow(tolerance_, limits), 1.0);
  const double share = std::min(static_cast<double>(state->own_share), limit);
  if (static_cast<double>(state->sends_alone.AtMost(now)) + 1 > share) {
    return {quota_verdict::kRefused, kLostRetryTime, {}};
  }
  state->sends_alone.Add(1, now);
  ++counters_.own_share;
  return {quota_verdict::kAdmitted, duration{0}, {}};
}

void account_quota::Return(const std::string& account,
                           const std::optional<time_point>& permit_end,
                           time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  account_state& state = found->second;
  if (!permit_end.has_value()) {
    state.sends_alone.Remove(1, now);
  } else if (state.permit_ends.size() < kMaxPermits) {
    state.permit_ends.push_back(*permit_end);
  }
}

quota_request account_quota::Ask(
    std::uint64_t id,
    const std::vector<std::pair<quota_limits, std::uint32_t>>& wanted,
    time_point now) {
  quota_request request;
  request.id = id;
  for (const auto& [limits, count] : wanted) {
    quota_want want{limits.account, limits.requests_per_second,
                    limits.burst,   limits.config_version,
                    count,          0};
    account_state* state = Find(limits, now);
    if (state != nullptr) {
      RemoveExpired(state, now);
      want.returned = std::exchange(state->expired, 0);
      state->grants.Remove(want.returned, now);
      counters_.returned += want.returned;
    }
    request.wants.push_back(std::move(want));
  }
  return request;
}

void account_quota::OnNotSent(const quota_request& request, time_point now) {
  for (const quota_want& want : request.wants) {
    const auto found = accounts_.find(want.account);
    if (found == accounts_.end()) continue;
    found->second.expired += want.returned;
    found->second.grants.Add(want.returned, now);
    counters_.returned -= want.returned;
  }
}

void account_quota::OnReply(const quota_reply& reply, time_point asked_at,
                            time_point now) {
  if (!reply.allocated) return OnLost(/*silent=*/false, now);
  lost_ = false;
  for (const quota_grant& grant : reply.grants) {
    const auto found = accounts_.find(grant.account);
    if (found == accounts_.end()) continue;
    account_state& state = found->second;
    RemoveExpired(&state, now);
    const auto granted = static_cast<std::uint32_t>(std::min<std::size_t>(
        grant.granted,
        kMaxPermits - std::min(kMaxPermits, state.permit_ends.size())));
    state.permit_ends.insert(state.permit_ends.end(), granted,
                             asked_at + grant.lifetime);
    state.grants.Add(granted, now);
    state.all_grants = grant.window_granted;
    counters_.granted += granted;
    if (grant.retry_in > duration{0}) {
      state.denied_until = now + std::min(grant.retry_in, kMaxRetryTime);
    }
  }
}

void account_quota::OnLost(bool silent, time_point now) {
  if (silent) ask_again_at_ = now + kSilencePause;
  if (lost_) return;
  lost_ = true;
  ++counters_.allocator_losses;
  for (auto& [name, state] : accounts_) {
    state.own_share =
        OwnShare(tolerance_, state.limits, state.grants.AtLeast(now),
                 state.all_grants, RandomFraction(name, now));
  }
}

// While the allocator is lost, what an account had been granted before is kept.
void account_quota::RemoveIdle(time_point now) {
  removal_due_ = now + kRemovalPeriod;
  std::erase_if(accounts_, [&](const auto& entry) {
    const account_state& state = entry.second;
    const bool keep = (lost_ && state.own_share > 0) || state.room_at > now;
    return !keep && now - state.used_at > 2 * tolerance_.window;
  });
}

}  // namespace bilberrycourse
