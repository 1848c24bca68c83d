#include "bilberrycourse/accounts/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace bilberrycourse {
namespace {

using seconds = std::chrono::duration<double>;

// Shares of the slack: tokens in a bucket beyond the burst, spare permits that
// may be held at once, tokens credited for unused permits, and the content of a
// bucket after a change of the leader.
constexpr double kCapacityShare = 0.5;
constexpr double kSpareShare = 0.125;
constexpr double kCreditShare = 0.125;
constexpr double kStartShare = 0.125;
constexpr duration kRemovalPeriod = std::chrono::seconds(5);
// Above the greatest number of accounts in a configuration, 10,000. Bounds the
// memory if instances ask for unknown accounts.
constexpr std::size_t kMaxAccounts = 16384;
// Shortest time after which an instance that was refused asks again.
constexpr duration kMinRetryTime = std::chrono::milliseconds(1);

double Seconds(duration value) { return seconds(value).count(); }

}  // namespace

duration QuotaLifetime(const quota_tolerance& tolerance,
                       double requests_per_second) {
  const double time = tolerance.overshoot * Seconds(tolerance.window) +
                      tolerance.slack / (2 * requests_per_second);
  return std::chrono::duration_cast<duration>(seconds(std::clamp(
      time, Seconds(kMinQuotaLifetime), Seconds(kMaxQuotaLifetime))));
}

double quota_allocator::Capacity(double burst) const {
  return std::max(burst + kCapacityShare * tolerance_.slack, 1.0);
}

void quota_allocator::Start(time_point now) {
  accounts_.clear();
  started_at_ = now;
  removal_due_ = now + kRemovalPeriod;
}

void quota_allocator::Refill(account_state* state, time_point now) const {
  const double elapsed = std::max(Seconds(now - state->filled_at), 0.0);
  state->tokens = std::min(state->tokens + state->per_second * elapsed,
                           Capacity(state->burst));
  state->filled_at = now;
}

// Returns the filled bucket of the account, with the newest known limits, or
// nullptr if there is no memory for another account.
quota_allocator::account_state* quota_allocator::Find(const quota_want& want,
                                                      time_point now) {
  const duration lifetime = QuotaLifetime(tolerance_, want.requests_per_second);
  auto found = accounts_.find(want.account);
  if (found == accounts_.end()) {
    if (accounts_.size() >= kMaxAccounts) return nullptr;
    const bool grants_unknown = now - started_at_ < tolerance_.window;
    const double tokens =
        grants_unknown ? kStartShare * tolerance_.slack : Capacity(want.burst);
    account_state added{want.requests_per_second,
                        want.burst,
                        want.config_version,
                        std::min(tokens, Capacity(want.burst)),
                        grants_unknown ? started_at_ : now,
                        window_counter(lifetime),
                        window_counter(tolerance_.window),
                        window_counter(tolerance_.window + kMaxQuotaLifetime)};
    found = accounts_.emplace(want.account, std::move(added)).first;
  }
  account_state& state = found->second;
  Refill(&state, now);
  if (want.config_version > state.config_version) {
    if (want.requests_per_second != state.per_second) {
      state.spares = window_counter(lifetime);
    }
    state.per_second = want.requests_per_second;
    state.burst = want.burst;
    state.config_version = want.config_version;
    state.tokens = std::min(state.tokens, Capacity(state.burst));
  }
  return &state;
}

void quota_allocator::Credit(std::uint32_t returned, account_state* state,
                             time_point now) {
  counters_.returned += returned;
  const double most = kCreditShare * tolerance_.slack;
  const double room =
      std::min(most - static_cast<double>(state->credited.AtMost(now)),
               Capacity(state->burst) - state->tokens);
  const auto count = static_cast<std::uint32_t>(
      std::clamp(std::floor(room), 0.0, static_cast<double>(returned)));
  state->tokens += count;
  state->credited.Add(count, now);
  counters_.credited += count;
}

bool quota_allocator::SpareAllowed(account_state* state, time_point now) {
  return state->tokens - 1 >= Capacity(state->burst) / 2 &&
         static_cast<double>(state->spares.AtMost(now)) + 1 <=
             kSpareShare * tolerance_.slack;
}

quota_grant quota_allocator::Grant(const quota_want& want, time_point now) {
  quota_grant grant;
  grant.account = want.account;
  grant.retry_in = kRemovalPeriod;
  counters_.wanted += want.wanted;
  if (want.requests_per_second <= 0) return grant;
  account_state* state = Find(want, now);
  if (state == nullptr) return grant;
  Credit(want.returned, state, now);
  grant.lifetime = QuotaLifetime(tolerance_, state->per_second);
  grant.granted = static_cast<std::uint32_t>(
      std::min(std::floor(state->tokens), static_cast<double>(want.wanted)));
  state->tokens -= grant.granted;
  if (grant.granted < want.wanted) {
    const seconds missing((1 - state->tokens) / state->per_second);
    // A rate close to 0 would give a time that no duration can hold.
    const seconds longest(std::chrono::hours(1));
    grant.retry_in = std::max(
        std::chrono::ceil<duration>(std::min(missing, longest)), kMinRetryTime);
  } else {
    grant.retry_in = duration{0};
    if (want.wanted > 0 && SpareAllowed(state, now)) {
      state->tokens -= 1;
      state->spares.Add(1, now);
      ++grant.granted;
      ++counters_.spares;
    }
  }
  state->grants.Add(grant.granted, now);
  grant.window_granted = state->grants.AtMost(now);
  counters_.granted += grant.granted;
  return grant;
}

quota_reply quota_allocator::Handle(const quota_request& request,
                                    time_point now) {
  quota_reply reply;
  reply.id = request.id;
  reply.allocated = true;
  if (now >= removal_due_) RemoveIdle(now);
  for (const quota_want& want : request.wants) {
    reply.grants.push_back(Grant(want, now));
  }
  return reply;
}

// A bucket that is full equals a new one once its counters are empty.
void quota_allocator::RemoveIdle(time_point now) {
  removal_due_ = now + kRemovalPeriod;
  if (now - started_at_ < tolerance_.window) return;
  std::erase_if(accounts_, [&](const auto& entry) {
    const account_state& state = entry.second;
    const bool idle =
        now - state.filled_at > tolerance_.window + kMaxQuotaLifetime;
    if (!idle) return false;
    const double filled =
        state.tokens + state.per_second * Seconds(now - state.filled_at);
    return filled >= Capacity(state.burst);
  });
}

}  // namespace bilberrycourse
