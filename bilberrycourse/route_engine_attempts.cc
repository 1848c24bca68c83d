#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Attempts of route_engine, and the connections that carry them.

namespace bilberrycourse {
namespace {

// An idle connection is not used this shortly before the searcher's idle limit:
// a request sent while the searcher closes the connection may be lost, or run
// without a reply.
constexpr duration kIdleMargin = std::chrono::milliseconds(700);
// Error statuses from this on are failures of the searcher, after which another
// one is tried, as are those for which PromisesNotRun() is true. Other error
// statuses refuse the request itself.
constexpr unsigned kFirstServerError = 500;
// Maximum number of searchers tried for one part beyond its max_attempts.
constexpr std::size_t kMaxRefusals = 3;

// Time for which a searcher that shed a request gets one request at a time. It
// is several times the wait in a full queue, so that the queue can drain
// meanwhile.
constexpr duration kThrottleDuration = std::chrono::milliseconds(300);

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

}  // namespace

route_engine::attempt_state* route_engine::FindAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

bool route_engine::StartAttempt(request_state* request, std::size_t index,
                                send_reason reason, time_point now,
                                route_effects* out) {
  part_state& part = request->parts[index];
  if (!part.owned_by_self()) return false;
  searcher_entry* entry = isolated_ ? nullptr
                                    : pool_.Choose(part.service, part.tried,
                                                   now, request->priority());
  if (entry == nullptr) return false;
  attempt_state attempt;
  attempt.id = attempt_id{next_attempt_++};
  attempt.request = request->call.id;
  attempt.part = index;
  attempt.service = part.service;
  attempt.searcher = entry->report.id;
  attempt.serial = entry->serial;
  attempt.content = request->call.content;
  attempt.reason = reason;
  attempt.expected = ExpectedServiceTime(*request->call.matched_route);
  attempt.placement = pool_.latest_decision();
  ++counters_.choices;
  if (!attempt.placement.lowest_score) ++counters_.choices_not_lowest;
  if (attempt.placement.other_zone) ++counters_.choices_other_zone;
  part.tried.push_back(attempt.searcher);
  part.running.push_back(attempt.id);
  entry->waiting.push_back(attempt.id);
  if (reason == send_reason::kFirst &&
      request->call.matched_route->idempotent) {
    SetTimer(timer_kind::kHedge,
             now + HedgeDelay(*request->call.matched_route, now),
             request->call.id, index);
  }
  attempts_.emplace(attempt.id, std::move(attempt));
  // ReleaseIfReady() dispatches all attempts of a request that is held.
  if (!request->held) Dispatch(entry, now, out);
  return true;
}

// Returns the waiting attempt to send next. Attempts whose request can still be
// answered in time come first, in FIFO order. Once the oldest has waited so
// long that the searcher counts as overloaded, the order is LIFO, because in
// FIFO order every request would be slightly late. The order depends only on
// the request's age, so all shards of a request choose alike.
route_engine::attempt_state* route_engine::NextWaiting(searcher_entry* entry,
                                                       time_point now) {
  std::erase_if(entry->waiting, [&](attempt_id id) {
    const attempt_state* attempt = FindAttempt(id);
    return attempt == nullptr || attempt->sent;
  });
  attempt_state* oldest = nullptr;
  attempt_state* newest = nullptr;
  for (const attempt_id id : entry->waiting) {
    attempt_state* attempt = FindAttempt(id);
    if (!MaySend(attempt, entry, now)) continue;
    if (oldest == nullptr) oldest = attempt;
    const request_state* request = FindRequest(attempt->request);
    if (now + attempt->expected >= request->answer_at) continue;
    const duration max_fifo_wait =
        Scaled(request->call.matched_route->latency_objective,
               options_.fifo_wait_share);
    if (newest == nullptr && now - request->received <= max_fifo_wait)
      return attempt;
    newest = attempt;
  }
  return newest != nullptr ? newest : oldest;
}

// Sends waiting attempts to the searcher while connections are available.
void route_engine::Dispatch(searcher_entry* entry, time_point now,
                            route_effects* out) {
  if (entry->resting(now)) return;
  while (attempt_state* next = NextWaiting(entry, now)) {
    const auto connection = TakeConnection(entry, now, out);
    if (!connection.has_value()) {
      OpenConnections(entry, static_cast<std::uint32_t>(entry->load()), now,
                      out);
      return;
    }
    std::erase(entry->waiting, next->id);
    Send(next, *connection, now, out);
  }
}

void route_engine::OpenConnections(searcher_entry* entry, std::uint32_t wanted,
                                   time_point now, route_effects* out) {
  const std::uint32_t limit = pool_.ConnectionShare(*entry);
  OpenUpTo(entry, std::min(std::max(wanted, 1u), limit), now, out);
}

// Opens connections until the searcher has `target` in all.
void route_engine::OpenUpTo(searcher_entry* entry, std::uint32_t target,
                            time_point now, route_effects* out) {
  std::vector<connection_id> opening;
  entry->connections.Open(target, now, &next_connection_, &opening);
  for (const connection_id id : opening) {
    connection_state& state = connections_[id];
    state.searcher = entry->report.id;
    state.serial = entry->serial;
    out->push_back(open_searcher_connection{id, entry->report.address});
  }
}

std::optional<connection_id> route_engine::TakeConnection(searcher_entry* entry,
                                                          time_point now,
                                                          route_effects* out) {
  // A searcher with a full queue would shed further requests, which would use
  // up the retry budget. One request of each instance keeps its slots busy.
  if (now < entry->throttled_until && !entry->in_flight.empty())
    return std::nullopt;
  while (const auto id = entry->connections.Take()) {
    const connection_state& state = connections_[*id];
    const bool stale =
        state.idle_limit.has_value() &&
        now - state.idle_since + kIdleMargin >= *state.idle_limit;
    if (!stale) return id;
    entry->connections.Remove(*id);
    connections_.erase(*id);
    out->push_back(close_searcher_connection{*id});
  }
  return std::nullopt;
}

void route_engine::Send(attempt_state* attempt, connection_id connection,
                        time_point now, route_effects* out) {
  request_state* request = FindRequest(attempt->request);
  searcher_entry* entry = pool_.Find(attempt->searcher, attempt->serial);
  const route& matched_route = *request->call.matched_route;
  duration remaining = std::max<duration>(request->expires_at - now,
                                          std::chrono::milliseconds(1));
  if (request->fan_out() && matched_route.latency_objective > duration{0}) {
    remaining = std::min(remaining, Scaled(matched_route.latency_objective,
                                           options_.shard_deadline_factor));
  }
  attempt->sent = true;
  attempt->sent_at = now;
  attempt->connection = connection;
  connections_[connection].running = attempt->id;
  part_state& part = request->parts[attempt->part];
  ++part.may_have_run;
  ++request->attempts;
  request->last_searcher = attempt->searcher;
  switch (attempt->reason) {
    case send_reason::kFirst:
      ++counters_.first_attempts;
      break;
    case send_reason::kHedge:
      ++counters_.hedges;
      break;
    default:
      ++counters_.retries;
  }
  send_to_searcher effect;
  effect.connection = connection;
  effect.request = attempt->request;
  effect.searcher = attempt->searcher;
  effect.remaining = remaining;
  effect.reason = attempt->reason;
  effect.expected = attempt->expected;
  effect.in_flight = static_cast<std::uint32_t>(entry->in_flight.size());
  effect.placement = attempt->placement;
  out->push_back(std::move(effect));
  pool_.OnSent(entry, attempt->expected, now);
  WatchContact(now);
  SetTimer(timer_kind::kAttempt, now + remaining + options_.reply_grace,
           attempt->request, attempt->part, attempt->id);
}

bool route_engine::MaySendAgain(const request_state& request,
                                const part_state& part, send_reason reason,
                                time_point now) const {
  const route& matched_route = *request.call.matched_route;
  const fingerprint content = request.call.content;
  if (Quarantined(content, now) || !FitsBeforeStop(request, now)) return false;
  if (reason != send_reason::kNotExecuted && !MayRepeat(content, now))
    return false;
  if (part.tried.size() >= matched_route.max_attempts + kMaxRefusals)
    return false;
  // An attempt that waits for a connection will run as well.
  const auto unsent = static_cast<std::uint32_t>(
      std::count_if(part.running.begin(), part.running.end(),
                    [&](attempt_id id) { return !attempts_.at(id).sent; }));
  if (part.may_have_run + unsent >= matched_route.max_attempts) return false;
  if (matched_route.idempotent) return true;
  return reason == send_reason::kNotExecuted && part.may_have_run == 0;
}

// Sends the part again if the route and the retry budget allow it, unless
// another attempt is still running. Otherwise fails the part.
void route_engine::RetryOrFail(request_state* request, std::size_t index,
                               send_reason reason, result_code code,
                               time_point now, route_effects* out) {
  part_state& part = request->parts[index];
  if (part.ended() || !part.owned_by_self()) return;
  // Another attempt is still running and may answer.
  if (!part.running.empty()) return;
  bool retried = false;
  if (MaySendAgain(*request, part, reason, now)) {
    if (FindOrCreateService(part.service).budget.TryTake()) {
      retried = Place(request, index, reason, now, out);
    } else {
      ++counters_.budget_refusals;
    }
  }
  if (retried) return;
  FailPart(request, index, code);
  CheckDone(request, now, out);
}

// Moves an attempt that was never sent, because its searcher stopped or cannot
// be reached, to another searcher. It does not count as a retry.
void route_engine::MoveUnsent(const attempt_state& attempt, time_point now,
                              route_effects* out) {
  EndAttempt(attempt.id);
  request_state* request = FindRequest(attempt.request);
  if (request == nullptr) return;
  part_state& part = request->parts[attempt.part];
  if (part.ended() || !part.owned_by_self()) return;
  if (StartAttempt(request, attempt.part, attempt.reason, now, out)) return;
  if (!part.running.empty() || Delegate(request, attempt.part, now)) return;
  FailUnplaced(request, attempt.part, now);
  CheckDone(request, now, out);
}

void route_engine::EndAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const attempt_state& attempt = found->second;
  if (request_state* request = FindRequest(attempt.request)) {
    std::erase(request->parts[attempt.part].running, id);
  }
  if (!attempt.sent) {
    if (searcher_entry* entry = pool_.Find(attempt.searcher, attempt.serial)) {
      std::erase(entry->waiting, id);
      if (attempt.permission.has_value()) {
        const request_state* request = FindRequest(attempt.request);
        entry->quota.Return(request == nullptr ? 0 : request->priority(),
                            *attempt.permission);
      }
    }
  }
  attempts_.erase(found);
}

void route_engine::DropUnsent(const request_state& request) {
  for (const part_state& part : request.parts) {
    const std::vector<attempt_id> running = part.running;
    for (const attempt_id id : running) {
      const attempt_state* waiting = FindAttempt(id);
      if (waiting != nullptr && !waiting->sent) EndAttempt(id);
    }
  }
}

// Aborts an attempt in flight by closing its connection, which notifies the
// searcher that the reply is no longer needed.
void route_engine::AbortAttempt(const attempt_state& attempt,
                                route_effects* out) {
  if (searcher_entry* entry = pool_.Find(attempt.searcher, attempt.serial)) {
    entry->connections.Remove(attempt.connection);
    pool_.OnEnded(entry, attempt.sent_at);
  }
  connections_.erase(attempt.connection);
  out->push_back(close_searcher_connection{attempt.connection});
  attempts_.erase(attempt.id);
}

void route_engine::OnOpened(connection_id connection, time_point now,
                            route_effects* out) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  searcher_entry* entry =
      pool_.Find(found->second.searcher, found->second.serial);
  if (entry == nullptr) return;
  NoteContact(now, out);
  const connection_state opened = found->second;
  found->second.idle_since = now;
  entry->connections.OnOpened(connection);
  if (entry->in_flight.empty()) pool_.OnReachable(entry);
  Dispatch(entry, now, out);
  OnProbeEnded(opened, connection, /*opened=*/true, now, out);
}

std::string route_engine::SearcherOf(connection_id connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? std::string() : found->second.searcher;
}

void route_engine::OnClosed(connection_id connection, connection_end end,
                            time_point now, route_effects* out) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  if (end == connection_end::kInvalidStatus &&
      found->second.running.has_value()) {
    // The searcher is reachable and has not crashed: the end of the connection
    // is no evidence against the content of the request. A reply without a
    // status stands for the one that was rejected.
    return OnReply(connection, std::make_shared<const searcher_reply>(), false,
                   std::nullopt, now, out);
  }
  const connection_state closed = found->second;
  const bool limit_exceeded = end == connection_end::kReplyLimit;
  connections_.erase(found);
  searcher_entry* entry = pool_.Find(closed.searcher, closed.serial);
  if (end == connection_end::kNotOpened) {
    OnProbeEnded(closed, connection, /*opened=*/false, now, out);
  }
  if (entry != nullptr) {
    const bool failed_to_open = entry->connections.OnFailed(connection, now);
    if (!failed_to_open) entry->connections.OnClosed(connection, now);
    if (failed_to_open || closed.running.has_value()) {
      NoteSuspect(closed.searcher, now, out);
      // Isolation moves all attempts, also those to this searcher.
      entry = pool_.Find(closed.searcher, closed.serial);
    }
    if (entry != nullptr && failed_to_open &&
        entry->connections.open_count() == 0) {
      pool_.OnUnreachable(entry, now);
      MoveWaiting(*entry, now, out);
    }
  }
  if (!closed.running.has_value()) return;
  const attempt_state* running = FindAttempt(*closed.running);
  if (running == nullptr) return;
  const attempt_state attempt = *running;
  ++counters_.broken_attempts;
  out->push_back(
      attempt_lost{attempt.searcher, attempt.service, attempt.content});
  EndAttempt(attempt.id);
  if (entry != nullptr && end == connection_end::kLost) {
    NoteLostAttempt(attempt, *entry, now, out);
  }
  if (entry != nullptr) {
    if (limit_exceeded) {
      pool_.OnEnded(entry, attempt.sent_at);
      pool_.OnUnreachable(entry, now);
    } else {
      pool_.OnAnswered(entry, attempt.sent_at, attempt.expected, true, now);
    }
  }
  request_state* request = FindRequest(attempt.request);
  if (request == nullptr) return;
  ++request->lost_attempts;
  if (AwaitProbe(request, attempt, now)) return;
  RetryOrFail(request, attempt.part, send_reason::kFailed,
              limit_exceeded ? result_code::kReplyTooLarge
                             : result_code::kBackendServerCrashed,
              now, out);
}

void route_engine::OnReply(connection_id connection,
                           searcher_reply_pointer reply, bool keep_alive,
                           std::optional<duration> idle_limit, time_point now,
                           route_effects* out) {
  NoteContact(now, out);
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.running.has_value()) return;
  connection_state& state = found->second;
  const attempt_id id = *state.running;
  state.running.reset();
  state.idle_since = now;
  state.idle_limit = idle_limit;
  const std::string searcher = state.searcher;
  const std::uint64_t serial = state.serial;
  searcher_entry* entry = pool_.Find(searcher, serial);
  const bool keep = keep_alive && entry != nullptr && entry->usable();
  if (keep) {
    entry->connections.Release(connection);
  } else {
    if (entry != nullptr) entry->connections.Remove(connection);
    connections_.erase(connection);
    out->push_back(close_searcher_connection{connection});
  }
  const attempt_state* running = FindAttempt(id);
  if (running != nullptr) {
    const attempt_state attempt = *running;
    EndAttempt(id);
    HandleAttemptReply(attempt, std::move(reply), now, out);
  }
  entry = pool_.Find(searcher, serial);
  if (entry == nullptr) return;
  if (!entry->usable()) CloseUnused(entry, out);
  if (!entry->usable() || entry->resting(now)) {
    return MoveWaiting(*entry, now, out);
  }
  Dispatch(entry, now, out);
}

void route_engine::CloseUnused(searcher_entry* entry, route_effects* out) {
  std::vector<connection_id> unused;
  entry->connections.RemoveUnused(&unused);
  for (const connection_id id : unused) {
    connections_.erase(id);
    out->push_back(close_searcher_connection{id});
  }
}

// A shorter time after a longer one does not end the rest.
void route_engine::ObserveRest(searcher_entry* entry,
                               const searcher_reply& reply, time_point now,
                               route_effects* out) {
  if (!reply.rest.has_value()) return;
  ++counters_.rests;
  if (now + *reply.rest <= entry->rest_until) return;
  entry->rest_until = now + *reply.rest;
  out->push_back(searcher_resting{entry->report.id, *reply.rest});
}

// Moves the attempts that wait for the searcher to others.
void route_engine::MoveWaiting(const searcher_entry& entry, time_point now,
                               route_effects* out) {
  const std::deque<attempt_id> waiting = entry.waiting;
  for (const attempt_id id : waiting) {
    // Moving one may have ended the request of another.
    if (const attempt_state* attempt = FindAttempt(id)) {
      MoveUnsent(attempt_state(*attempt), now, out);
    }
  }
}

void route_engine::HandleAttemptReply(const attempt_state& attempt,
                                      searcher_reply_pointer reply,
                                      time_point now, route_effects* out) {
  // Nothing in a reply with an invalid status is believed, nor that the request
  // has not run.
  const bool valid = IsFinalStatus(reply->status);
  if (!valid) {
    out->push_back(reply_status_invalid{attempt.searcher, attempt.service, {}});
  }
  const bool not_run = valid && (reply->not_executed || reply->misdirected);
  const bool complete = IsSuccess(reply->status) && !reply->stamp.empty();
  const bool failed = !complete && (!valid || IsSuccess(reply->status) ||
                                    reply->status >= kFirstServerError ||
                                    PromisesNotRun(reply->status));
  request_state* request = FindRequest(attempt.request);
  if (complete) NoteServiceSuccess(attempt, now, out);
  if (searcher_entry* entry = pool_.Find(attempt.searcher, attempt.serial)) {
    if (valid && reply->misdirected) {
      entry->misdirected = true;
    } else if (valid) {
      ObserveLimit(entry, reply->limit, now, out);
      ObserveRest(entry, *reply, now, out);
      if (reply->leaving && !std::exchange(entry->leaving, true)) {
        out->push_back(searcher_leaving{entry->report.id});
      }
    }
    pool_.OnAnswered(entry, attempt.sent_at, attempt.expected, failed, now);
  }
  if (request == nullptr) {
    ++counters_.late_replies;
    return;
  }
  if (complete) {
    service_times_.try_emplace(request->call.matched_route->name)
        .first->second.Record(now - attempt.sent_at, now);
  }
  part_state& part = request->parts[attempt.part];
  if (part.reply != nullptr) {
    ++counters_.late_replies;
    return;
  }
  if (not_run) {
    ++counters_.not_executed;
    if (reply->not_executed) {
      if (searcher_entry* shedding =
              pool_.Find(attempt.searcher, attempt.serial)) {
        // After a rest, too, its queue may still be full.
        shedding->throttled_until =
            std::max(now, shedding->rest_until) + kThrottleDuration;
      }
    }
    --part.may_have_run;
    return RetryOrFail(request, attempt.part, send_reason::kNotExecuted,
                       result_code::kBackendServerShed, now, out);
  }
  if (complete) {
    if (!request->fan_out()) evidence_.RememberSuccess(attempt.content, now);
    return OnPartAnswered(request, attempt.part, std::move(reply), now, out);
  }
  if (!failed && !request->fan_out()) {
    // The request itself was refused; another searcher would refuse it, too.
    return OnPartAnswered(request, attempt.part, std::move(reply), now, out);
  }
  // A success without a signature must not be forwarded, nor a status that
  // promises what the searcher has not proved.
  if (valid && !IsSuccess(reply->status) && !PromisesNotRun(reply->status)) {
    part.error_reply = std::move(reply);
  }
  RetryOrFail(request, attempt.part, send_reason::kFailed,
              valid ? result_code::kBackendServerFailed
                    : result_code::kInvalidReplyStatus,
              now, out);
}

void route_engine::OnAttemptTimeout(attempt_id id, time_point now,
                                    route_effects* out) {
  const attempt_state* running = FindAttempt(id);
  if (running == nullptr || !running->sent) return;
  const attempt_state attempt = *running;
  request_state* request = FindRequest(attempt.request);
  if (request != nullptr) std::erase(request->parts[attempt.part].running, id);
  if (searcher_entry* entry = pool_.Find(attempt.searcher, attempt.serial)) {
    pool_.OnUnreachable(entry, now);
  }
  ++counters_.broken_attempts;
  AbortAttempt(attempt, out);
  NoteSuspect(attempt.searcher, now, out);
  request = FindRequest(attempt.request);
  if (request == nullptr) return;
  RetryOrFail(request, attempt.part, send_reason::kFailed,
              result_code::kDeadlineExceeded, now, out);
}

}  // namespace bilberrycourse
