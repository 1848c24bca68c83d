#include "bilberrycourse/limit_allocator.h"

#include <algorithm>
#include <cmath>

namespace bilberrycourse {
namespace {

// Share of the bucket that requests leave to more urgent ones, and the time for
// which those count as competing.
constexpr double kUrgentShare = 0.5;
constexpr duration kUrgentTime = std::chrono::seconds(1);
// A searcher is forgotten when it has not stated its limit for this long; one
// without a limit earlier, after all instances have heard that it was lifted.
constexpr duration kMaxStatementAge = std::chrono::minutes(5);
constexpr duration kMaxLiftedAge = std::chrono::seconds(10);
constexpr duration kRemovalPeriod = std::chrono::seconds(5);
// Bounds the memory if instances send statements about unknown searchers.
constexpr std::size_t kMaxSearchers = 65536;

}  // namespace

limit_allocator::searcher_state* limit_allocator::Learn(
    const limit_statement& statement, time_point now) {
  const time_point stated_at = now - statement.age;
  const auto found = searchers_.find(statement.searcher);
  if (found == searchers_.end()) {
    if (searchers_.size() >= kMaxSearchers) return nullptr;
    searcher_state& added = searchers_[statement.searcher];
    added.started_at_ms = statement.started_at_ms;
    added.per_second = statement.per_second;
    added.stated_at = stated_at;
    added.bucket.Start(now);
    added.changed = statement.per_second.has_value();
    return &added;
  }
  searcher_state& state = found->second;
  if (statement.started_at_ms < state.started_at_ms) return &state;
  const bool restarted = statement.started_at_ms > state.started_at_ms;
  if (!restarted && stated_at <= state.stated_at) return &state;
  state.changed = state.changed || state.per_second != statement.per_second;
  if (restarted || !state.per_second.has_value()) {
    state.bucket.Start(now);
  }
  state.started_at_ms = statement.started_at_ms;
  state.per_second = statement.per_second;
  state.stated_at = stated_at;
  return &state;
}

limit_statement limit_allocator::Statement(const std::string& searcher,
                                           const searcher_state& state,
                                           time_point now) {
  return {searcher, state.started_at_ms, state.per_second,
          std::max(now - state.stated_at, duration{0})};
}

limit_grant limit_allocator::Grant(const limit_want& want, time_point now) {
  limit_grant grant;
  grant.priority = want.priority;
  searcher_state* state = Learn(want.statement, now);
  if (state == nullptr) {
    grant.statement = want.statement;
    grant.retry_in = kRemovalPeriod;
    return grant;
  }
  grant.statement = Statement(want.statement.searcher, *state, now);
  if (!state->per_second.has_value()) return grant;
  const double per_second = *state->per_second;
  const double tokens = state->bucket.Tokens(per_second, now);
  if (want.priority <= state->urgent_priority || now >= state->urgent_until) {
    state->urgent_priority = want.priority;
    state->urgent_until = now + kUrgentTime;
  }
  const double reserve = want.priority > state->urgent_priority
                             ? kUrgentShare * limit_bucket::Capacity(per_second)
                             : 0;
  const double available = std::floor(std::max(tokens - reserve, 0.0));
  grant.granted = static_cast<std::uint32_t>(
      std::min(available, static_cast<double>(want.wanted)));
  state->bucket.Take(grant.granted, per_second, now);
  if (grant.granted < want.wanted) {
    grant.retry_in = state->bucket.TimeUntil(reserve + 1, per_second, now);
  }
  return grant;
}

limit_reply limit_allocator::Handle(const limit_request& request,
                                    time_point now) {
  limit_reply reply;
  reply.id = request.id;
  reply.allocated = true;
  for (const limit_statement& statement : request.statements) {
    Learn(statement, now);
  }
  for (const limit_want& want : request.wants) {
    reply.grants.push_back(Grant(want, now));
  }
  if (now >= removal_due_) RemoveOld(now);
  return reply;
}

std::vector<limit_statement> limit_allocator::TakeChanges(time_point now) {
  std::vector<limit_statement> changes;
  for (auto& [searcher, state] : searchers_) {
    if (!state.changed) continue;
    state.changed = false;
    changes.push_back(Statement(searcher, state, now));
  }
  return changes;
}

std::vector<limit_statement> limit_allocator::Limits(time_point now) const {
  std::vector<limit_statement> limits;
  for (const auto& [searcher, state] : searchers_) {
    if (state.per_second.has_value()) {
      limits.push_back(Statement(searcher, state, now));
    }
  }
  return limits;
}

void limit_allocator::RemoveOld(time_point now) {
  removal_due_ = now + kRemovalPeriod;
  std::erase_if(searchers_, [&](const auto& entry) {
    const searcher_state& state = entry.second;
    return now - state.stated_at >
           (state.per_second.has_value() ? kMaxStatementAge : kMaxLiftedAge);
  });
}

void limit_allocator::Reset() { searchers_.clear(); }

}  // namespace bilberrycourse
