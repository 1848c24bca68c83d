#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Attempts of route_engine and the connections that carry them.

namespace bilberrycourse {
namespace {

// An idle connection is not used for the last part of the searcher's idle
// limit: a request that crosses its close may be lost or run unseen.
constexpr duration kIdleMargin = std::chrono::milliseconds(700);
// Statuses of searchers that no other searcher would answer differently.
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kTooManyRequests = 429;
// Searchers tried for one part beyond those that may have run it.
constexpr std::size_t kMaxRefusals = 3;

// How long a searcher that shed a request counts as full: several times the
// wait in a full queue, so that the next look comes after it had time to drain.
constexpr duration kFullFor = std::chrono::milliseconds(300);

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

}  // namespace

route_engine::attempt* route_engine::FindAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

bool route_engine::StartAttempt(request* row, std::size_t index,
                                send_reason reason, time_point now,
                                route_effects* out) {
  part& each = row->parts[index];
  searcher_entry* entry = pool_.Choose(each.service, each.tried, now);
  if (entry == nullptr) return false;
  attempt started;
  started.id = attempt_id{next_attempt_++};
  started.request = row->call.id;
  started.part = index;
  started.service = each.service;
  started.searcher = entry->report.id;
  started.serial = entry->serial;
  started.reason = reason;
  started.usual = Usual(*row->call.matched_route);
  each.tried.push_back(started.searcher);
  each.running.push_back(started.id);
  entry->waiting.push_back(started.id);
  if (reason == send_reason::kFirst && row->call.matched_route->idempotent) {
    SetAlarm(alarm_kind::kHedge,
             now + HedgeDelay(*row->call.matched_route, now), row->call.id,
             index);
  }
  attempts_.emplace(started.id, std::move(started));
  Dispatch(entry, now, out);
  return true;
}

// The waiting attempt to send next. Attempts whose request can still be
// answered in time go first. Among them the oldest does, until it has waited so
// long that the searcher is overloaded: then the newest does, because the
// oldest would all be late by a little, and every shard of a request has to
// make the same choice.
route_engine::attempt* route_engine::NextWaiting(searcher_entry* entry,
                                                 time_point now) {
  std::erase_if(entry->waiting, [&](attempt_id id) {
    const attempt* each = FindAttempt(id);
    return each == nullptr || each->sent;
  });
  attempt* newest = nullptr;
  for (const attempt_id id : entry->waiting) {
    attempt* each = FindAttempt(id);
    const request* row = FindRequest(each->request);
    if (row == nullptr || now + each->usual >= row->answer_at) continue;
    const duration patience = Scaled(row->call.matched_route->latency_objective,
                                     options_.fifo_wait_share);
    if (newest == nullptr && now - row->received <= patience) return each;
    newest = each;
  }
  if (newest != nullptr) return newest;
  return entry->waiting.empty() ? nullptr : FindAttempt(entry->waiting.front());
}

// Sends what waits for the searcher as far as connections allow.
void route_engine::Dispatch(searcher_entry* entry, time_point now,
                            route_effects* out) {
  while (attempt* next = NextWaiting(entry, now)) {
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
  std::vector<connection_id> opening;
  entry->connections.Open(std::min(std::max(wanted, 1u), limit), now,
                          &next_connection_, &opening);
  for (const connection_id id : opening) {
    connection_row& row = connections_[id];
    row.searcher = entry->report.id;
    row.serial = entry->serial;
    out->push_back(open_searcher_connection{id, entry->report.address});
  }
}

std::optional<connection_id> route_engine::TakeConnection(searcher_entry* entry,
                                                          time_point now,
                                                          route_effects* out) {
  // Where a searcher's queue is full, more would be shed and use up the retry
  // budget; one request of each instance keeps all its slots busy.
  if (now < entry->full_until && !entry->in_flight.empty()) return std::nullopt;
  while (const auto id = entry->connections.Take()) {
    const connection_row& row = connections_[*id];
    const bool stale = row.idle_limit.has_value() &&
                       now - row.idle_since + kIdleMargin >= *row.idle_limit;
    if (!stale) return id;
    entry->connections.Remove(*id);
    connections_.erase(*id);
    out->push_back(close_searcher_connection{*id});
  }
  return std::nullopt;
}

void route_engine::Send(attempt* sending, connection_id connection,
                        time_point now, route_effects* out) {
  request* row = FindRequest(sending->request);
  searcher_entry* entry = pool_.Find(sending->searcher, sending->serial);
  const route& matched_route = *row->call.matched_route;
  duration remaining =
      std::max<duration>(row->give_up_at - now, std::chrono::milliseconds(1));
  if (row->fan_out() && matched_route.latency_objective > duration{0}) {
    remaining = std::min(remaining, Scaled(matched_route.latency_objective,
                                           options_.shard_deadline_factor));
  }
  sending->sent = true;
  sending->sent_at = now;
  sending->connection = connection;
  connections_[connection].running = sending->id;
  part& each = row->parts[sending->part];
  ++each.may_have_run;
  ++row->attempts;
  row->last_searcher = sending->searcher;
  switch (sending->reason) {
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
  effect.request = sending->request;
  effect.searcher = sending->searcher;
  effect.remaining = remaining;
  effect.reason = sending->reason;
  effect.expected = sending->usual;
  effect.in_flight = static_cast<std::uint32_t>(entry->in_flight.size());
  out->push_back(std::move(effect));
  pool_.OnSent(entry, sending->usual, now);
  SetAlarm(alarm_kind::kAttempt, now + remaining + options_.reply_grace,
           sending->request, sending->part, sending->id);
}

bool route_engine::MayRepeat(const request& row, const part& each,
                             send_reason reason) const {
  const route& matched_route = *row.call.matched_route;
  if (each.tried.size() >= matched_route.max_attempts + kMaxRefusals)
    return false;
  if (each.may_have_run >= matched_route.max_attempts) return false;
  if (matched_route.idempotent) return true;
  return reason == send_reason::kNotExecuted && each.may_have_run == 0;
}

void route_engine::RepeatOrFail(request* row, std::size_t index,
                                send_reason reason, result_code code,
                                time_point now, route_effects* out) {
  part& each = row->parts[index];
  if (each.reply != nullptr || each.failed) return;
  // The other attempt may still answer.
  if (!each.running.empty()) return;
  bool repeated = false;
  if (MayRepeat(*row, each, reason)) {
    if (Service(each.service).budget.Take()) {
      repeated = StartAttempt(row, index, reason, now, out);
    } else {
      ++counters_.budget_refusals;
    }
  }
  if (repeated) return;
  FailPart(row, index, code);
  CheckDone(row, now, out);
}

// An attempt that never left: its searcher stopped or can't be reached.
// Another searcher gets it, and it is no repeat.
void route_engine::MoveUnsent(const attempt& moved, time_point now,
                              route_effects* out) {
  EndAttempt(moved.id);
  request* row = FindRequest(moved.request);
  if (row == nullptr) return;
  part& each = row->parts[moved.part];
  if (each.reply != nullptr || each.failed) return;
  if (StartAttempt(row, moved.part, moved.reason, now, out)) return;
  if (!each.running.empty()) return;
  FailPart(row, moved.part, result_code::kNoServingReplica);
  CheckDone(row, now, out);
}

void route_engine::EndAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const attempt& ended = found->second;
  if (request* row = FindRequest(ended.request)) {
    std::erase(row->parts[ended.part].running, id);
  }
  if (!ended.sent) {
    if (searcher_entry* entry = pool_.Find(ended.searcher, ended.serial)) {
      std::erase(entry->waiting, id);
    }
  }
  attempts_.erase(found);
}

void route_engine::ForgetUnsent(const request& row) {
  for (const part& each : row.parts) {
    const std::vector<attempt_id> running = each.running;
    for (const attempt_id id : running) {
      const attempt* waiting = FindAttempt(id);
      if (waiting != nullptr && !waiting->sent) EndAttempt(id);
    }
  }
}

// Ends an attempt in flight by closing its connection, which is how a searcher
// learns that nobody waits.
void route_engine::BreakOff(const attempt& ended, route_effects* out) {
  if (searcher_entry* entry = pool_.Find(ended.searcher, ended.serial)) {
    entry->connections.Remove(ended.connection);
    pool_.OnEnded(entry, ended.sent_at);
  }
  connections_.erase(ended.connection);
  out->push_back(close_searcher_connection{ended.connection});
  attempts_.erase(ended.id);
}

void route_engine::OnOpened(connection_id connection, time_point now,
                            route_effects* out) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  searcher_entry* entry =
      pool_.Find(found->second.searcher, found->second.serial);
  if (entry == nullptr) return;
  found->second.idle_since = now;
  entry->connections.OnOpened(connection);
  if (entry->in_flight.empty()) pool_.OnReachable(entry);
  Dispatch(entry, now, out);
}

void route_engine::OnClosed(connection_id connection, time_point now,
                            route_effects* out) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  const connection_row closed = found->second;
  connections_.erase(found);
  searcher_entry* entry = pool_.Find(closed.searcher, closed.serial);
  if (entry != nullptr) {
    const bool failed_to_open = entry->connections.OnFailed(connection, now);
    if (!failed_to_open) entry->connections.OnClosed(connection, now);
    if (failed_to_open && entry->connections.open_count() == 0) {
      pool_.OnUnreachable(entry, now);
      const auto waiting = entry->waiting;
      for (const attempt_id id : waiting) {
        if (const attempt* moved = FindAttempt(id)) {
          MoveUnsent(attempt(*moved), now, out);
        }
      }
    }
  }
  if (!closed.running.has_value()) return;
  const attempt* running = FindAttempt(*closed.running);
  if (running == nullptr) return;
  const attempt ended = *running;
  ++counters_.broken_attempts;
  EndAttempt(ended.id);
  if (entry != nullptr) {
    pool_.OnAnswered(entry, ended.sent_at, ended.usual, true, now);
  }
  request* row = FindRequest(ended.request);
  if (row == nullptr) return;
  RepeatOrFail(row, ended.part, send_reason::kFailed,
               result_code::kBackendServerCrashed, now, out);
}

void route_engine::OnReply(connection_id connection,
                           searcher_reply_pointer reply, bool keep_alive,
                           std::optional<duration> idle_limit, time_point now,
                           route_effects* out) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.running.has_value()) return;
  connection_row& row = found->second;
  const attempt_id id = *row.running;
  row.running.reset();
  row.idle_since = now;
  row.idle_limit = idle_limit;
  const std::string searcher = row.searcher;
  const std::uint64_t serial = row.serial;
  searcher_entry* entry = pool_.Find(searcher, serial);
  const bool keep = keep_alive && entry != nullptr && entry->usable();
  if (keep) {
    entry->connections.Release(connection);
  } else {
    if (entry != nullptr) entry->connections.Remove(connection);
    connections_.erase(connection);
    out->push_back(close_searcher_connection{connection});
  }
  const attempt* running = FindAttempt(id);
  if (running != nullptr) {
    const attempt ended = *running;
    EndAttempt(id);
    HandleAttemptReply(ended, std::move(reply), now, out);
  }
  entry = pool_.Find(searcher, serial);
  if (entry != nullptr) Dispatch(entry, now, out);
}

void route_engine::HandleAttemptReply(const attempt& ended,
                                      searcher_reply_pointer reply,
                                      time_point now, route_effects* out) {
  const bool not_run = reply->not_executed || reply->misdirected;
  const bool complete = IsSuccess(reply->status) && !reply->stamp.empty();
  const bool failed = !complete && (IsSuccess(reply->status) ||
                                    reply->status >= kFirstServerError ||
                                    reply->status == kTooManyRequests);
  request* row = FindRequest(ended.request);
  if (searcher_entry* entry = pool_.Find(ended.searcher, ended.serial)) {
    if (reply->misdirected) entry->misdirected = true;
    pool_.OnAnswered(entry, ended.sent_at, ended.usual, failed, now);
  }
  if (row == nullptr) {
    ++counters_.late_replies;
    return;
  }
  if (complete) {
    service_times_.try_emplace(row->call.matched_route->name)
        .first->second.Record(now - ended.sent_at, now);
  }
  part& each = row->parts[ended.part];
  if (each.reply != nullptr) {
    ++counters_.late_replies;
    return;
  }
  if (not_run) {
    ++counters_.not_executed;
    if (reply->not_executed) {
      if (searcher_entry* full = pool_.Find(ended.searcher, ended.serial)) {
        full->full_until = now + kFullFor;
      }
    }
    --each.may_have_run;
    return RepeatOrFail(row, ended.part, send_reason::kNotExecuted,
                        result_code::kBackendServerShed, now, out);
  }
  if (complete) {
    return OnPartAnswered(row, ended.part, std::move(reply), now, out);
  }
  if (!failed && !row->fan_out()) {
    // A refusal of the request itself; another searcher would say the same.
    return OnPartAnswered(row, ended.part, std::move(reply), now, out);
  }
  // A success without a signature is not to be passed on.
  if (!IsSuccess(reply->status)) each.refusal = std::move(reply);
  RepeatOrFail(row, ended.part, send_reason::kFailed,
               result_code::kBackendServerFailed, now, out);
}

void route_engine::OnAttemptDue(attempt_id id, time_point now,
                                route_effects* out) {
  const attempt* running = FindAttempt(id);
  if (running == nullptr || !running->sent) return;
  const attempt ended = *running;
  request* row = FindRequest(ended.request);
  if (row != nullptr) std::erase(row->parts[ended.part].running, id);
  if (searcher_entry* entry = pool_.Find(ended.searcher, ended.serial)) {
    pool_.OnUnreachable(entry, now);
  }
  ++counters_.broken_attempts;
  BreakOff(ended, out);
  if (row == nullptr) return;
  RepeatOrFail(row, ended.part, send_reason::kFailed,
               result_code::kDeadlineExceeded, now, out);
}

}  // namespace bilberrycourse
