#include "bilberrycourse/route_engine.h"

#include <algorithm>
#include <utility>

#include "bilberrycourse/top_records.h"

// Requests and their parts; route_engine_attempts.cc holds attempts and
// connections.

namespace bilberrycourse {
namespace {

// Prior of a route's service time as a share of its objective.
constexpr double kUsualShare = 0.15;
constexpr double kHedgeShare = 0.25;
// A caller whose deadline passes gets its answer this much earlier.
constexpr duration kGiveUpMargin = std::chrono::milliseconds(10);
constexpr int kServiceUnavailable = 503;
// Callers follow Retry-After up to a third of the time that they have left.
constexpr double kRetryAfterShare = 0.3;

}  // namespace

route_engine::route_engine(route_engine_options options, instance_name self,
                           availability_zone zone)
    : options_(options),
      pool_(options.pool, std::move(self), std::move(zone)) {}

void route_engine::SetRoutes(std::shared_ptr<const route_table> table,
                             time_point now, route_effects* out) {
  table_ = std::move(table);
  for (const auto& [name, service] : table_->config().services) {
    pool_.SetLimit(name, std::max<std::uint32_t>(service.connection_limit, 1));
    for (searcher_entry* entry : pool_.OfService(name)) {
      if (entry->usable() && pool_.KeepsWarm(*entry)) {
        OpenConnections(entry, 1, now, out);
      }
    }
  }
}

void route_engine::SetInstances(std::uint32_t instances) {
  if (instances == 0 || instances == instances_) return;
  instances_ = instances;
  pool_.SetInstances(instances);
  for (auto& [name, row] : services_) {
    if (row.users == 0) row.budget.SetInstances(instances);
  }
}

void route_engine::SetSharingInstances(const std::string& service,
                                       std::uint32_t users) {
  pool_.SetSharingInstances(service, users);
  service_row& row = Service(service);
  row.users = users;
  row.budget.SetInstances(users > 0 ? users : instances_);
}

route_engine::service_row& route_engine::Service(const std::string& name) {
  const auto found = services_.find(name);
  if (found != services_.end()) return found->second;
  service_row& row =
      services_.emplace(name, service_row(options_.budget)).first->second;
  row.budget.SetInstances(instances_);
  return row;
}

void route_engine::UpdateSearchers(const std::vector<searcher_record>& changes,
                                   bool whole, time_point now,
                                   route_effects* out) {
  std::vector<std::string> stopped;
  std::vector<connection_id> unused;
  pool_.Update(changes, whole, now, &stopped, &unused);
  for (const std::string& id : stopped) {
    searcher_entry* entry = pool_.Find(id);
    if (entry != nullptr) {
      entry->connections.RemoveUnused(&unused);
      entry->waiting.clear();
    }
  }
  for (const connection_id id : unused) {
    connections_.erase(id);
    out->push_back(close_searcher_connection{id});
  }
  if (!stopped.empty()) {
    // Attempts that have not been sent there go to another searcher.
    std::vector<attempt> moved;
    for (const auto& [id, each] : attempts_) {
      if (!each.sent && std::find(stopped.begin(), stopped.end(),
                                  each.searcher) != stopped.end()) {
        moved.push_back(each);
      }
    }
    for (const attempt& each : moved) MoveUnsent(each, now, out);
  }
  if (table_ == nullptr) return;
  for (const searcher_record& change : changes) {
    searcher_entry* entry = pool_.Find(change.report.id);
    if (entry != nullptr && entry->usable() && pool_.KeepsWarm(*entry) &&
        table_->config().services.contains(entry->report.service)) {
      OpenConnections(entry, 1, now, out);
    }
  }
}

duration route_engine::Usual(const route& matched_route) const {
  const auto found = service_times_.find(matched_route.name);
  const duration prior = Scaled(matched_route.latency_objective, kUsualShare);
  if (found == service_times_.end()) return prior;
  return found->second.recent().value_or(prior);
}

duration route_engine::HedgeDelay(const route& matched_route,
                                  time_point now) const {
  const duration objective = matched_route.latency_objective;
  std::optional<duration> quantile;
  const auto found = service_times_.find(matched_route.name);
  if (found != service_times_.end()) {
    quantile = found->second.Quantile(options_.hedge_quantile, now);
  }
  return std::clamp(quantile.value_or(Scaled(objective, kHedgeShare)),
                    Scaled(objective, options_.min_hedge_share),
                    Scaled(objective, options_.max_hedge_share));
}

// Smooth weighted round robin: over any sequence of requests each backend gets
// its share to within one request.
std::string route_engine::PickBackend(const route& matched_route) {
  if (matched_route.backends.size() == 1)
    return matched_route.backends.front().service;
  split_row& current = splits_[matched_route.name];
  std::int64_t total = 0;
  const std::string* best = nullptr;
  for (const route_backend& backend : matched_route.backends) {
    total += backend.weight;
    current[backend.service] += backend.weight;
    if (backend.weight == 0) continue;
    if (best == nullptr || current[backend.service] > current[*best]) {
      best = &backend.service;
    }
  }
  current[*best] -= total;
  return *best;
}

route_engine::request* route_engine::FindRequest(route_request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void route_engine::SetAlarm(alarm_kind kind, time_point due,
                            route_request_id id, std::size_t index,
                            attempt_id attempt) {
  alarms_.push({due, kind, id, index, attempt});
}

std::optional<time_point> route_engine::next_due() const {
  if (alarms_.empty()) return std::nullopt;
  return alarms_.top().due;
}

void route_engine::Tick(time_point now, route_effects* out) {
  while (!alarms_.empty() && alarms_.top().due <= now) {
    const alarm due = alarms_.top();
    alarms_.pop();
    OnAlarm(due, now, out);
  }
}

void route_engine::OnAlarm(const alarm& due, time_point now,
                           route_effects* out) {
  if (due.kind == alarm_kind::kAttempt) {
    return OnAttemptDue(due.attempt, now, out);
  }
  request* row = FindRequest(due.request);
  if (row == nullptr) return;
  switch (due.kind) {
    case alarm_kind::kHedge:
      return OnHedgeDue(row, due.part, now, out);
    case alarm_kind::kWait:
      return OnWaitDue(row, now, out);
    case alarm_kind::kAnswer:
      return OnAnswerDue(row, now, out);
    case alarm_kind::kRelay:
      return OnRelayDue(row, due.part, out);
    case alarm_kind::kGiveUp:
      return OnGiveUpDue(row, now, out);
    case alarm_kind::kAttempt:
      return;
  }
}

void route_engine::Begin(route_call call, time_point now, route_effects* out) {
  ++counters_.requests;
  const route_request_id id = call.id;
  const route& matched_route = *call.matched_route;
  request& row = requests_[id];
  row.call = std::move(call);
  row.received = now;
  row.give_up_at = now + std::max(duration{0}, std::min(matched_route.timeout,
                                                        row.call.time_left) -
                                                   kGiveUpMargin);
  row.answer_at =
      std::max(now, row.call.sent_at + matched_route.latency_objective -
                        options_.answer_margin);
  if (row.call.streamed()) row.answer_at = row.call.answer_at;
  if (row.fan_out()) {
    for (const std::string& service : matched_route.shards) {
      row.parts.emplace_back().service = service;
    }
  } else {
    row.parts.emplace_back().service = PickBackend(matched_route);
  }
  if (requests_.size() > options_.max_requests) {
    return FinishFailed(&row, result_code::kOverloaded, now, out);
  }
  StartRelays(&row, now, out);
  for (std::size_t i = 0; i < row.parts.size(); ++i) {
    if (row.parts[i].relayed) continue;
    Service(row.parts[i].service).budget.OnRequest();
    if (!StartAttempt(&row, i, send_reason::kFirst, now, out)) {
      FailPart(&row, i, result_code::kNoServingReplica);
    }
  }
  SetAlarm(alarm_kind::kGiveUp, row.give_up_at, id);
  if (row.fan_out()) {
    SetAlarm(alarm_kind::kAnswer, row.answer_at, id);
  } else {
    SetAlarm(
        alarm_kind::kWait,
        now + Scaled(matched_route.latency_objective, options_.max_wait_share),
        id);
  }
  CheckDone(&row, now, out);
}

void route_engine::OnHedgeDue(request* row, std::size_t index, time_point now,
                              route_effects* out) {
  part& each = row->parts[index];
  if (each.reply != nullptr || each.failed || each.hedged) return;
  each.hedged = true;
  if (!MayRepeat(*row, each, send_reason::kHedge)) return;
  // Under load a hedge only lengthens the queue that it is to avoid.
  const searcher_entry* other = pool_.Choose(each.service, each.tried, now);
  if (other == nullptr || other->load() > 0) return;
  if (!Service(each.service).budget.Take()) {
    ++counters_.budget_refusals;
    return;
  }
  if (StartAttempt(row, index, send_reason::kHedge, now, out)) {
    ++row->hedges;
  }
}

// A request that no searcher has room for is refused while its caller can
// still be served elsewhere or later.
void route_engine::OnWaitDue(request* row, time_point now, route_effects* out) {
  const part& each = row->parts.front();
  if (each.may_have_run > 0 || each.reply != nullptr) return;
  FinishFailed(row, result_code::kOverloaded, now, out);
}

void route_engine::OnAnswerDue(request* row, time_point now,
                               route_effects* out) {
  row->past_answer = true;
  CheckDone(row, now, out);
}

void route_engine::OnGiveUpDue(request* row, time_point now,
                               route_effects* out) {
  if (row->call.streamed()) {
    for (std::size_t i = 0; i < row->parts.size(); ++i) {
      FailPart(row, i, result_code::kDeadlineExceeded);
    }
    return Report(row, out);
  }
  if (row->fan_out() && EnoughCoverage(*row)) {
    return FinishMerged(row, now, out);
  }
  FinishFailed(row, result_code::kDeadlineExceeded, now, out);
}

bool route_engine::EnoughCoverage(const request& row) const {
  const double share =
      static_cast<double>(row.answered) / static_cast<double>(row.parts.size());
  return row.answered > 0 && share >= row.call.matched_route->min_coverage;
}

void route_engine::FailPart(request* row, std::size_t index, result_code code) {
  part& each = row->parts[index];
  if (each.failed || each.reply != nullptr) return;
  each.failed = true;
  each.failure = code;
  ++row->failed;
}

void route_engine::OnPartAnswered(request* row, std::size_t index,
                                  searcher_reply_pointer reply, time_point now,
                                  route_effects* out) {
  part& each = row->parts[index];
  each.reply = std::move(reply);
  ++row->answered;
  CheckDone(row, now, out);
}

// Answers the request if nothing more can come, if nothing more is waited for,
// or if the least coverage can't be reached any more.
void route_engine::CheckDone(request* row, time_point now, route_effects* out) {
  const std::size_t count = row->parts.size();
  if (row->call.streamed()) {
    const bool done = row->answered + row->failed == count;
    if (done || row->past_answer) Report(row, out);
    return;
  }
  if (!row->fan_out()) {
    const part& only = row->parts.front();
    if (only.reply != nullptr) {
      finish_route_request finish;
      finish.reply = only.reply;
      return FinishWith(row, std::move(finish), now, out);
    }
    if (only.failed) FinishFailed(row, only.failure, now, out);
    return;
  }
  const bool all = row->answered + row->failed == count;
  if ((all || row->past_answer) && EnoughCoverage(*row)) {
    return FinishMerged(row, now, out);
  }
  const double reachable =
      static_cast<double>(count - row->failed) / static_cast<double>(count);
  if (all || reachable < row->call.matched_route->min_coverage) {
    FinishFailed(row, result_code::kCoverageTooLow, now, out);
  }
}

void route_engine::FinishMerged(request* row, time_point now,
                                route_effects* out) {
  finish_route_request finish;
  finish.merged = true;
  std::vector<std::string_view> bodies;
  for (const part& each : row->parts) {
    if (each.reply != nullptr) {
      finish.stamps.push_back(each.reply->stamp);
      bodies.push_back(each.reply->body);
      continue;
    }
    finish.missing.push_back(
        {each.service,
         each.failed ? each.failure : result_code::kDeadlineExceeded});
  }
  finish.body = TopRecords(bodies, row->call.matched_route->top_records);
  if (!finish.missing.empty()) ++counters_.partial;
  FinishWith(row, std::move(finish), now, out);
}

void route_engine::FinishFailed(request* row, result_code code, time_point now,
                                route_effects* out) {
  finish_route_request finish;
  bool may_have_run = false;
  for (const part& each : row->parts) {
    may_have_run = may_have_run || each.may_have_run > 0;
    if (each.failed) finish.missing.push_back({each.service, each.failure});
  }
  finish.code = code;
  // No answer that is read as `not run` once a searcher may have run a part.
  if (may_have_run && Describe(code).http_status == kServiceUnavailable) {
    finish.code = result_code::kBackendServerFailed;
  }
  if (may_have_run && !row->call.matched_route->idempotent) {
    finish.code = result_code::kOutcomeUnknown;
  }
  if (!row->fan_out()) finish.reply = row->parts.front().refusal;
  if (!may_have_run) {
    // Nothing has reached a searcher that could have run it.
    if (!Describe(finish.code).not_run) {
      finish.code = result_code::kQueueDeadline;
    }
    finish.retry_after = RetryAfter(*row, now);
  }
  ++(may_have_run ? counters_.failed : counters_.refused);
  FinishWith(row, std::move(finish), now, out);
}

duration route_engine::RetryAfter(const request& row, time_point now) const {
  const duration left = row.received + row.call.time_left > now
                            ? row.received + row.call.time_left - now
                            : duration{0};
  const duration wanted = std::max<duration>(
      std::chrono::milliseconds(20), 2 * Usual(*row.call.matched_route));
  return std::min(wanted, Scaled(left, kRetryAfterShare));
}

// Attempts in flight run on: their connections become free with their replies.
void route_engine::FinishWith(request* row, finish_route_request finish,
                              time_point now, route_effects* out) {
  finish.request = row->call.id;
  finish.attempts = row->attempts;
  finish.hedges = row->hedges;
  finish.last_searcher = row->last_searcher;
  finish.elapsed = now - row->received;
  ForgetUnsent(*row);
  CancelRelays(*row, false, out);
  const route_request_id id = row->call.id;
  out->push_back(std::move(finish));
  requests_.erase(id);
}

void route_engine::Abandon(route_request_id id) {
  request* row = FindRequest(id);
  if (row == nullptr) return;
  ForgetUnsent(*row);
  requests_.erase(id);
}

void route_engine::Cancel(route_request_id id, time_point, route_effects* out) {
  request* row = FindRequest(id);
  if (row == nullptr) return;
  ++counters_.cancelled;
  ForgetUnsent(*row);
  CancelRelays(*row, true, out);
  for (const part& each : row->parts) {
    for (const attempt_id running : each.running) {
      const attempt* ended = FindAttempt(running);
      if (ended != nullptr) BreakOff(*ended, out);
    }
  }
  requests_.erase(id);
}

}  // namespace bilberrycourse
