#include <algorithm>
#include <cmath>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Request limits that searchers state: permissions for attempts, and requests
// that are held until enough of their shards have one.

namespace bilberrycourse {
namespace {

// The allocator counts as lost if it has not answered by then. It answers
// within a few milliseconds, and a waiting request can still be refused early.
constexpr duration kAllocatorTimeout = std::chrono::milliseconds(50);
// Time between attempts to reach a lost allocator.
constexpr duration kAllocatorRetryPeriod = std::chrono::milliseconds(250);
// Without an allocator, the own share is tried again after this time.
constexpr duration kShareRetryTime = std::chrono::milliseconds(50);
// Limits the time for which a refusal of the allocator holds, because the limit
// may have changed meanwhile.
constexpr duration kMaxDenialTime = std::chrono::seconds(1);

}  // namespace

// A reply without a limit lifts it. A malformed one changes nothing.
void route_engine::ObserveLimit(searcher_entry* entry,
                                const stated_limit& limit, time_point now,
                                route_effects* out) {
  if (limit.present && !limit.per_second.has_value()) return;
  if (!limit.present && !entry->quota.limited()) return;
  if (!entry->quota.Observe(limit.per_second, now)) return;
  limit_changed_.insert(entry->report.id);
  out->push_back(searcher_limit_changed{entry->report.id, limit.per_second});
}

// Returns the searcher that the statement is about, or nullptr if this process
// of it is not known.
searcher_entry* route_engine::ApplyStatement(const limit_statement& statement,
                                             time_point now,
                                             route_effects* out) {
  searcher_entry* entry = pool_.Find(statement.searcher);
  if (entry == nullptr ||
      entry->report.started_at_ms != statement.started_at_ms) {
    return nullptr;
  }
  if (entry->quota.Observe(statement.per_second, now - statement.age)) {
    out->push_back(
        searcher_limit_changed{statement.searcher, statement.per_second});
  }
  return entry;
}

double route_engine::ShareOf(const searcher_entry& entry) const {
  const auto service = services_.find(entry.report.service);
  const std::uint32_t sharing =
      service == services_.end() ? 0 : service->second.sharing_instances;
  return entry.quota.per_second().value_or(0) /
         std::max<std::uint32_t>(sharing > 0 ? sharing : instances_, 1);
}

// Returns true if the waiting attempt may be sent now. Takes a permission for
// it if its searcher limits requests, and notes that one is wanted if there is
// none.
bool route_engine::MaySend(attempt_state* attempt, searcher_entry* entry,
                           time_point now) {
  const request_state* request = FindRequest(attempt->request);
  if (request == nullptr) return false;
  // The expiry timer may be late: a process that was frozen handles the events
  // of its connections first when it resumes.
  if (request->call.last_start.has_value() &&
      now >= *request->call.last_start) {
    return false;
  }
  if (entry->quota.limited() && !attempt->permission.has_value()) {
    attempt->permission = entry->quota.Take(request->priority(), now);
    if (!attempt->permission.has_value() && allocator_lost_at_.has_value() &&
        entry->quota.TakeShare(ShareOf(*entry), *allocator_lost_at_, now)) {
      attempt->permission = now;
    }
    if (!attempt->permission.has_value()) {
      limit_wanted_.insert(entry->report.id);
      return false;
    }
  }
  return !request->held;
}

// Sends the request if as many shards as the minimum coverage needs have a
// permission or need none.
bool route_engine::ReleaseIfReady(request_state* request, time_point now,
                                  route_effects* out) {
  std::size_t ready = 0;
  for (const part_state& part : request->parts) {
    bool part_ready = !part.owned_by_self();
    for (const attempt_id id : part.running) {
      attempt_state* attempt = FindAttempt(id);
      searcher_entry* entry = pool_.Find(attempt->searcher, attempt->serial);
      if (entry == nullptr) continue;
      MaySend(attempt, entry, now);
      part_ready = part_ready || !entry->quota.limited() ||
                   attempt->permission.has_value();
    }
    if (part_ready) ++ready;
  }
  const double share =
      static_cast<double>(ready) / static_cast<double>(request->parts.size());
  if (ready == 0 || share < request->call.matched_route->min_coverage) {
    return false;
  }
  request->held = false;
  for (const part_state& part : request->parts) {
    const std::vector<attempt_id> running = part.running;
    for (const attempt_id id : running) {
      const attempt_state* attempt = FindAttempt(id);
      if (attempt == nullptr || attempt->sent) continue;
      searcher_entry* entry = pool_.Find(attempt->searcher, attempt->serial);
      if (entry != nullptr) Dispatch(entry, now, out);
    }
  }
  return true;
}

void route_engine::ReleaseHeld(time_point now, route_effects* out) {
  for (auto id = held_.begin(); id != held_.end();) {
    request_state* request = FindRequest(*id);
    const bool waits = request != nullptr && request->held &&
                       !ReleaseIfReady(request, now, out);
    id = waits ? std::next(id) : held_.erase(id);
  }
}

// Moves the waiting attempts without a permission to other searchers.
void route_engine::MoveDenied(searcher_entry* entry, std::uint32_t priority,
                              time_point now, route_effects* out) {
  std::vector<attempt_state> denied;
  for (const attempt_id id : entry->waiting) {
    const attempt_state* attempt = FindAttempt(id);
    if (attempt == nullptr || attempt->sent || attempt->permission.has_value())
      continue;
    const request_state* request = FindRequest(attempt->request);
    if (request != nullptr && request->priority() >= priority) {
      denied.push_back(*attempt);
    }
  }
  for (const attempt_state& attempt : denied) {
    // Moving one may have ended the request of another.
    if (FindAttempt(attempt.id) == nullptr) continue;
    ++counters_.limit_denials;
    MoveUnsent(attempt, now, out);
  }
}

// Fails a part for which no searcher was found.
void route_engine::FailUnplaced(request_state* request, std::size_t index,
                                time_point now) {
  const std::string& service = request->parts[index].service;
  const duration denied = pool_.DeniedFor(service, request->priority(), now);
  const duration resting = pool_.RestingFor(service, now);
  result_code code = result_code::kNoServingReplica;
  duration excluded = denied;
  if (denied > duration{0}) {
    code = result_code::kBackendServerLimited;
    if (resting > duration{0}) excluded = std::min(denied, resting);
  } else if (resting > duration{0}) {
    code = result_code::kBackendServerShed;
    excluded = resting;
  }
  if (pool_.Evacuated(service) &&
      request->refusal == result_code::kQueueDeadline) {
    request->refusal = code;
  }
  request->excluded_for = std::max(request->excluded_for, excluded);
  FailPart(request, index, code);
}

// Returns how many permissions the waiting attempts need, by searcher and
// priority.
std::vector<limit_want> route_engine::TakeWants(time_point now) {
  std::vector<limit_want> wants;
  for (const std::string& searcher : std::exchange(limit_wanted_, {})) {
    const searcher_entry* entry = pool_.Find(searcher);
    if (entry == nullptr || !entry->quota.limited()) continue;
    std::map<std::uint32_t, std::uint32_t> by_priority;
    for (const attempt_id id : entry->waiting) {
      const attempt_state* attempt = FindAttempt(id);
      const request_state* request =
          attempt == nullptr ? nullptr : FindRequest(attempt->request);
      if (request == nullptr || attempt->sent ||
          attempt->permission.has_value()) {
        continue;
      }
      ++by_priority[request->priority()];
    }
    for (const auto& [priority, wanted] : by_priority) {
      limit_want want;
      want.statement = {searcher, entry->report.started_at_ms,
                        entry->quota.per_second(),
                        now - entry->quota.stated_at()};
      want.priority = priority;
      want.wanted = wanted;
      wants.push_back(std::move(want));
    }
  }
  return wants;
}

void route_engine::FlushLimitRequest(time_point now, route_effects* out) {
  limit_request request;
  while (limit_request_ == 0 && !limit_wanted_.empty()) {
    request.wants = TakeWants(now);
    if (!allocator_lost_at_.has_value() || now >= allocator_retry_at_) break;
    // Attempts that the own share leaves out. They move to searchers that they
    // have not tried, so this ends.
    for (const limit_want& want : std::exchange(request.wants, {})) {
      searcher_entry* entry = pool_.Find(want.statement.searcher);
      if (entry == nullptr) continue;
      entry->quota.Deny(want.priority, now + kShareRetryTime);
      MoveDenied(entry, want.priority, now, out);
    }
    ReleaseHeld(now, out);
  }
  for (const std::string& searcher : std::exchange(limit_changed_, {})) {
    const searcher_entry* entry = pool_.Find(searcher);
    if (entry == nullptr) continue;
    request.statements.push_back({searcher, entry->report.started_at_ms,
                                  entry->quota.per_second(),
                                  now - entry->quota.stated_at()});
  }
  if (request.wants.empty() && request.statements.empty()) return;
  if (!request.wants.empty()) {
    request.id = next_limit_request_++;
    limit_request_ = request.id;
    for (const limit_want& want : request.wants) {
      counters_.permissions_wanted += want.wanted;
    }
    SetTimer(timer_kind::kLimitRequest, now + kAllocatorTimeout, {},
             request.id);
  }
  out->push_back(send_limit_request{std::move(request)});
}

// Sends waiting attempts for which permissions have come, and notes again what
// the others want.
void route_engine::DispatchWanted(time_point now, route_effects* out) {
  std::vector<searcher_entry*> limited;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.sent || attempt.permission.has_value()) continue;
    searcher_entry* entry = pool_.Find(attempt.searcher, attempt.serial);
    if (entry != nullptr) limited.push_back(entry);
  }
  std::sort(limited.begin(), limited.end());
  limited.erase(std::unique(limited.begin(), limited.end()), limited.end());
  for (searcher_entry* entry : limited) Dispatch(entry, now, out);
}

void route_engine::OnLimitReply(const limit_reply& reply, time_point now,
                                route_effects* out) {
  if (reply.id != 0 && !reply.allocated) {
    return OnAllocatorUnavailable(reply.id, now, out);
  }
  if (reply.id != 0) {
    allocator_lost_at_.reset();
    if (reply.id == limit_request_) limit_request_ = 0;
  }
  for (const limit_statement& statement : reply.statements) {
    ApplyStatement(statement, now, out);
  }
  for (const limit_grant& grant : reply.grants) {
    searcher_entry* entry = ApplyStatement(grant.statement, now, out);
    if (entry == nullptr) continue;
    counters_.permissions_granted += grant.granted;
    entry->quota.OnGrant(grant.priority, grant.granted, now);
    if (grant.retry_in > duration{0}) {
      entry->quota.Deny(grant.priority,
                        now + std::min(grant.retry_in, kMaxDenialTime));
    }
  }
  ReleaseHeld(now, out);
  DispatchWanted(now, out);
  for (const limit_grant& grant : reply.grants) {
    searcher_entry* entry = pool_.Find(grant.statement.searcher);
    if (entry != nullptr && grant.retry_in > duration{0}) {
      MoveDenied(entry, grant.priority, now, out);
    }
  }
  ReleaseHeld(now, out);
}

void route_engine::OnAllocatorUnavailable(std::uint64_t id, time_point now,
                                          route_effects* out) {
  if (id == 0 || id != limit_request_) return;
  limit_request_ = 0;
  if (!allocator_lost_at_.has_value()) {
    allocator_lost_at_ = now;
    ++counters_.allocator_losses;
  }
  allocator_retry_at_ = now + kAllocatorRetryPeriod;
  ReleaseHeld(now, out);
  DispatchWanted(now, out);
}

}  // namespace bilberrycourse
