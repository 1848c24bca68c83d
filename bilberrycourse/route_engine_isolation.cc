#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Loss of the links to searchers: how this instance notices that it reaches
// none, and how other entry instances send on its behalf.
//
// Searchers that are down, slow or paused fail one by one while others answer.
// An instance that is cut off hears from nobody: no reply and no new
// connection. So it counts as isolated if several searchers have failed or are
// silent, and none has given a sign of life meanwhile. With few requests in
// flight it opens connections to others to find out.

namespace bilberrycourse {
namespace {

// Time without a sign of life of any searcher after which those with unanswered
// attempts are suspect, and after which the instance can count as isolated.
// Pauses of a single searcher last up to 200 ms.
constexpr duration kSilenceTime = std::chrono::milliseconds(300);
constexpr duration kIsolationTime = std::chrono::milliseconds(400);
// Number of suspect searchers that proves the isolation.
constexpr std::size_t kMinSuspects = 3;
constexpr duration kContactCheckPeriod = std::chrono::milliseconds(100);
// A check that is this late shows that the process itself did not run. The
// replies that have arrived meanwhile are not read yet.
constexpr duration kMaxCheckDelay = std::chrono::milliseconds(100);
// While isolated or in doubt, this many searchers are probed in each period.
constexpr std::size_t kProbedSearchers = 3;
constexpr duration kProbePeriod = std::chrono::milliseconds(250);
// Number of fallback relays that may be asked for one part, one after the
// other.
constexpr std::size_t kMaxFallbacks = 2;
// Time for which a link to a fallback relay is waited for, unless links have
// been wanted shortly before, so that there is none to be had.
constexpr duration kFallbackWait = std::chrono::milliseconds(150);
constexpr duration kFallbackWantedTime = std::chrono::seconds(5);
// Shards of one request that go to the same fallback relay, unless there are
// too few relays.
constexpr std::size_t kMaxDelegatedShards = 20;
// A service that no asked instance reaches is not asked for again so soon.
constexpr duration kLostEverywhereTime = std::chrono::milliseconds(500);

}  // namespace

void route_engine::NoteContact(time_point now, route_effects* out) {
  contact_at_ = now;
  suspects_.clear();
  if (!isolated_) return;
  isolated_ = false;
  out->push_back(isolation_changed{false});
}

// Records that the searcher has failed or is silent.
void route_engine::NoteSuspect(const std::string& searcher, time_point now,
                               route_effects* out) {
  WatchContact(now);
  suspects_.insert(searcher);
  CheckIsolation(now, out);
}

void route_engine::CheckIsolation(time_point now, route_effects* out) {
  if (isolated_ || now - contact_at_ < kIsolationTime) return;
  if (suspects_.size() < std::min(kMinSuspects, pool_.size())) return;
  if (suspects_.empty()) return;
  isolated_ = true;
  ++counters_.isolations;
  WantFallback(now);
  probe_due_ = now;
  out->push_back(isolation_changed{true});
  MoveUnanswered(now, out);
  ReleaseHeld(now, out);
}

// Checks the contact with searchers while attempts are in flight.
void route_engine::WatchContact(time_point now) {
  if (contact_watched_) return;
  contact_watched_ = true;
  if (suspects_.empty() && !isolated_) contact_at_ = std::max(contact_at_, now);
  SetTimer(timer_kind::kContact, now + kContactCheckPeriod, {});
}

void route_engine::OnContactDue(time_point due, time_point now,
                                route_effects* out) {
  contact_watched_ = false;
  if (now - due > kMaxCheckDelay && !isolated_) {
    contact_at_ = now;
    suspects_.clear();
  }
  bool waiting = false;
  const bool silent = now - contact_at_ >= kSilenceTime;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.sent) continue;
    waiting = true;
    if (silent && now - attempt.sent_at >= kSilenceTime) {
      suspects_.insert(attempt.searcher);
    }
  }
  if (isolated_ || (silent && !suspects_.empty())) ProbeSearchers(now, out);
  CheckIsolation(now, out);
  if (!waiting && !isolated_ && suspects_.empty()) return;
  contact_watched_ = true;
  SetTimer(timer_kind::kContact, now + kContactCheckPeriod, {});
}

// Opens a connection to some searchers. One that opens is a sign of life. The
// share of connections is exceeded by one: those that the pool counts may be
// dead.
void route_engine::ProbeSearchers(time_point now, route_effects* out) {
  if (now < probe_due_) return;
  probe_due_ = now + kProbePeriod;
  for (searcher_entry* entry : pool_.Sample(kProbedSearchers)) {
    if (entry->connections.opening_count() > 0) continue;
    OpenUpTo(entry, entry->connections.open_count() + 1, now, out);
  }
}

// Sends the attempts in flight again by other ways, as far as they may be
// repeated. Others are left alone: their reply may still come.
void route_engine::MoveUnanswered(time_point now, route_effects* out) {
  std::vector<attempt_state> attempts;
  for (const auto& [id, attempt] : attempts_) attempts.push_back(attempt);
  std::sort(attempts.begin(), attempts.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  for (const attempt_state& attempt : attempts) {
    if (FindAttempt(attempt.id) == nullptr) continue;
    if (!attempt.sent) {
      MoveUnsent(attempt, now, out);
      continue;
    }
    request_state* request = FindRequest(attempt.request);
    if (request == nullptr || !request->call.matched_route->idempotent)
      continue;
    std::erase(request->parts[attempt.part].running, attempt.id);
    AbortAttempt(attempt, out);
    RetryOrFail(request, attempt.part, send_reason::kFailed,
                result_code::kDeadlineExceeded, now, out);
  }
}

// Starts an attempt, or lets another instance search the part if this one
// reaches none of its searchers. Returns false if neither is possible.
bool route_engine::Place(request_state* request, std::size_t index,
                         send_reason reason, time_point now,
                         route_effects* out) {
  if (StartAttempt(request, index, reason, now, out)) return true;
  const service_state& service =
      FindOrCreateService(request->parts[index].service);
  return now >= service.lost_everywhere_until && Delegate(request, index, now);
}

// Returns false if the part can't be given to another instance.
bool route_engine::Delegate(request_state* request, std::size_t index,
                            time_point now) {
  const part_state& part = request->parts[index];
  if (request->call.streamed() || !part.owned_by_self()) return false;
  // The reply of an attempt could come beside that of the relay.
  if (!part.running.empty()) return false;
  if (part.fallbacks.size() >= kMaxFallbacks) return false;
  if (pool_.Evacuated(part.service)) return false;
  if (!isolated_ && !pool_.Unreachable(part.service)) return false;
  WantFallback(now);
  if (fallback_relays_.empty() && now >= fallback_due_) return false;
  HandOver(request, index);
  return true;
}

// Lets the next Flush() give the part, which has no attempt, to a fallback
// relay.
void route_engine::HandOver(request_state* request, std::size_t index) {
  request->parts[index].owner = part_owner::kHandover;
  delegated_[request->call.id].push_back(index);
}

// Gives a part to another instance that waits for the first connection to its
// searcher.
bool route_engine::DelegateUnsent(request_state* request, std::size_t index) {
  part_state& part = request->parts[index];
  if (request->call.streamed() || fallback_relays_.empty() ||
      part.fallbacks.size() >= kMaxFallbacks) {
    return false;
  }
  for (const attempt_id id : part.running) {
    const attempt_state* attempt = FindAttempt(id);
    const searcher_entry* entry =
        pool_.Find(attempt->searcher, attempt->serial);
    if (entry != nullptr && entry->connections.open_count() > 0) return false;
  }
  const std::vector<attempt_id> running = part.running;
  for (const attempt_id id : running) EndAttempt(id);
  HandOver(request, index);
  return true;
}

// Asks the adapter for links to fallback relays. Unless it keeps them already,
// parts wait a little for the first one.
void route_engine::WantFallback(time_point now) {
  if (now - fallback_wanted_at_ > kFallbackWantedTime) {
    fallback_due_ = now + kFallbackWait;
    SetTimer(timer_kind::kFallback, fallback_due_, {});
  }
  fallback_wanted_at_ = now;
  fallback_wanted_ = true;
}

void route_engine::FlushDelegated(time_point now, route_effects* out) {
  if (fallback_relays_.empty() && now < fallback_due_) return;
  for (const auto& [id, parts] : std::exchange(delegated_, {})) {
    request_state* request = FindRequest(id);
    if (request != nullptr) SendDelegated(request, parts, now, out);
  }
}

// Divides the parts of a request among fallback relays. One instance would be
// late with hundreds of shards, as for planned relays.
void route_engine::SendDelegated(request_state* request,
                                 const std::vector<std::size_t>& parts,
                                 time_point now, route_effects* out) {
  const std::size_t chunks =
      (parts.size() + kMaxDelegatedShards - 1) / kMaxDelegatedShards;
  const std::size_t relays =
      std::max<std::size_t>(1, std::min(chunks, fallback_relays_.size()));
  bool sent_all = true;
  for (std::size_t i = 0; i < relays; ++i) {
    const auto first = parts.begin() + i * parts.size() / relays;
    const auto last = parts.begin() + (i + 1) * parts.size() / relays;
    sent_all &= SendToFallback(request, {first, last}, now, out);
  }
  if (!sent_all) CheckDone(request, now, out);
}

// Sends the parts to one fallback relay that none of them has been sent to.
// Fails them and returns false if there is none.
bool route_engine::SendToFallback(request_state* request,
                                  std::vector<std::size_t> parts,
                                  time_point now, route_effects* out) {
  const auto asked = [&](const instance_name& relay) {
    return std::any_of(parts.begin(), parts.end(), [&](std::size_t index) {
      const auto& fallbacks = request->parts[index].fallbacks;
      return std::find(fallbacks.begin(), fallbacks.end(), relay) !=
             fallbacks.end();
    });
  };
  const instance_name* relay = nullptr;
  for (std::size_t i = 0; i < fallback_relays_.size() && relay == nullptr;
       ++i) {
    const instance_name& candidate =
        fallback_relays_[next_fallback_++ % fallback_relays_.size()];
    if (!asked(candidate)) relay = &candidate;
  }
  if (relay == nullptr) {
    for (const std::size_t index : parts) {
      request->parts[index].owner = part_owner::kSelf;
      FailPart(request, index, result_code::kNoServingReplica);
    }
    return false;
  }
  std::uint32_t used = 0;
  for (const std::size_t index : parts) {
    request->parts[index].fallbacks.push_back(*relay);
    used = std::max(used, request->parts[index].may_have_run);
  }
  counters_.delegated_parts += parts.size();
  const std::uint32_t allowed = request->call.matched_route->max_attempts;
  request->relays.emplace_back().group = {*relay, std::move(parts)};
  SendGroup(request, request->relays.size() - 1,
            allowed > used ? allowed - used : 1, now, out);
  return true;
}

// Handles a shard that a relay has not found. If nothing ran, the shard takes
// another way.
void route_engine::OnRelayFailure(request_state* request, std::size_t index,
                                  const failed_shard& failure, time_point now,
                                  route_effects* out) {
  part_state& part = request->parts[index];
  part.owner = part_owner::kSelf;
  if (failure.not_run) {
    if (part.may_have_run > 0) --part.may_have_run;
    const bool unserved = failure.code == result_code::kNoServingReplica;
    // A relay that stops refuses what the origin may still search, as does one
    // whose configuration lacks the key of the request.
    const bool key_refused =
        failure.code == result_code::kControlLeaseExpired &&
        request->call.last_start.has_value();
    if (unserved || key_refused || failure.code == result_code::kShuttingDown) {
      if (Place(request, index, send_reason::kFirst, now, out)) return;
      if (unserved && !part.fallbacks.empty()) {
        FindOrCreateService(part.service).lost_everywhere_until =
            now + kLostEverywhereTime;
      }
    }
  }
  FailPart(request, index, failure.code);
}

void route_engine::Flush(time_point now, route_effects* out) {
  FlushDelegated(now, out);
  FlushLimitRequest(now, out);
  // Refusals of limits may have delegated further parts.
  if (!delegated_.empty()) FlushDelegated(now, out);
  if (std::exchange(fallback_wanted_, false)) out->push_back(fallback_wanted{});
}

}  // namespace bilberrycourse
