#include "bilberrycourse/route_engine.h"

#include <algorithm>
#include <utility>

#include "bilberrycourse/top_records.h"

// Requests and their parts. Attempts and connections are handled in
// route_engine_attempts.cc, changes of the searchers in
// route_engine_searchers.cc, relays in route_engine_relays.cc.

namespace bilberrycourse {
namespace {

// Estimates of a route without samples, as shares of its latency objective.
constexpr double kDefaultServiceTimeShare = 0.15;
constexpr double kDefaultHedgeDelayShare = 0.25;
// A request expires this long before the caller's deadline, so that the
// caller still receives the response.
constexpr duration kExpiryMargin = std::chrono::milliseconds(10);
// Contents remembered as successful, a few minutes' worth of different ones.
constexpr std::size_t kMaxSuccessfulContents = 4096;
// Shortest Retry-After. Callers of an instance that stops turn to another one,
// which need not recover first.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(20);
// A repeatable request is sent by an instance that stops if this many times its
// usual service time is left.
constexpr int kStopServiceTimes = 2;
// Retry-After stays below a share of the caller's remaining time: callers
// honor it only up to a third of that.
constexpr double kRetryAfterShare = 0.3;

crash_evidence_options EvidenceOptions() {
  crash_evidence_options options;
  options.max_successful_contents = kMaxSuccessfulContents;
  return options;
}

}  // namespace

route_engine::route_engine(route_engine_options options, instance_name self,
                           availability_zone zone)
    : options_(options),
      pool_(options.pool, std::move(self), std::move(zone)),
      next_limit_request_(options.first_limit_request),
      evidence_(EvidenceOptions()) {}

void route_engine::SetRoutes(std::shared_ptr<const route_table> table,
                             time_point now, route_effects* out) {
  table_ = std::move(table);
  for (const auto& [name, service] : table_->config().services) {
    pool_.SetConnectionLimit(
        name, std::max<std::uint32_t>(service.connection_limit, 1));
  }
  Preconnect(now, out);
}

void route_engine::SetInstances(std::uint32_t instances, time_point now,
                                route_effects* out) {
  if (instances == 0) return;
  instances_ = instances;
  pool_.SetInstances(instances);
  for (auto& [name, service] : services_) {
    if (service.sharing_instances == 0) service.budget.SetInstances(instances);
  }
  Preconnect(now, out);
}

void route_engine::SetSharingInstances(const std::string& service,
                                       std::uint32_t sharing_instances) {
  pool_.SetSharingInstances(service, sharing_instances);
  service_state& state = FindOrCreateService(service);
  state.sharing_instances = sharing_instances;
  state.budget.SetInstances(sharing_instances > 0 ? sharing_instances
                                                  : instances_);
}

route_engine::service_state& route_engine::FindOrCreateService(
    const std::string& name) {
  const auto found = services_.find(name);
  if (found != services_.end()) return found->second;
  service_state& state =
      services_.emplace(name, service_state(options_.budget)).first->second;
  state.budget.SetInstances(instances_);
  return state;
}

duration route_engine::ExpectedServiceTime(const route& matched_route) const {
  const auto found = service_times_.find(matched_route.name);
  const duration prior =
      Scaled(matched_route.latency_objective, kDefaultServiceTimeShare);
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
  return std::clamp(
      quantile.value_or(Scaled(objective, kDefaultHedgeDelayShare)),
      Scaled(objective, options_.min_hedge_share),
      Scaled(objective, options_.max_hedge_share));
}

// Smooth weighted round robin: over any sequence of requests each backend
// receives its share to within one request.
std::string route_engine::PickBackend(const route& matched_route) {
  if (matched_route.backends.size() == 1)
    return matched_route.backends.front().service;
  split_weights& current = splits_[matched_route.name];
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

route_engine::request_state* route_engine::FindRequest(route_request_id id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void route_engine::SetTimer(timer_kind kind, time_point due,
                            route_request_id id, std::size_t index,
                            attempt_id attempt) {
  timers_.push({due, kind, id, index, attempt});
}

std::optional<time_point> route_engine::next_due() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.top().due;
}

void route_engine::Tick(time_point now, route_effects* out) {
  while (!timers_.empty() && timers_.top().due <= now) {
    const timer due = timers_.top();
    timers_.pop();
    OnTimer(due, now, out);
  }
}

void route_engine::OnTimer(const timer& due, time_point now,
                           route_effects* out) {
  if (due.kind == timer_kind::kAttempt) {
    return OnAttemptTimeout(due.attempt, now, out);
  }
  if (due.kind == timer_kind::kLimitRequest) {
    return OnAllocatorUnavailable(due.part, now, out);
  }
  if (due.kind == timer_kind::kFallback) return;  // Flush() does the rest.
  if (due.kind == timer_kind::kContact) return OnContactDue(due.due, now, out);
  if (due.kind == timer_kind::kLostSearchers) {
    return ProbeLostSearchers(now, out);
  }
  request_state* request = FindRequest(due.request);
  if (request == nullptr) return;
  switch (due.kind) {
    case timer_kind::kHedge:
      return OnHedgeDue(request, due.part, now, out);
    case timer_kind::kQueueWait:
      return OnQueueWaitExpired(request, now, out);
    case timer_kind::kAnswer:
      return OnAnswerDue(request, now, out);
    case timer_kind::kRelay:
      return OnRelayDue(request, due.part, out);
    case timer_kind::kExpiry:
      return OnExpired(request, now, out);
    case timer_kind::kAttempt:
    case timer_kind::kLimitRequest:
    case timer_kind::kContact:
    case timer_kind::kFallback:
    case timer_kind::kLostSearchers:
      return;
  }
}

route_engine::request_state route_engine::MakeRequest(route_call call,
                                                      time_point now) {
  const route& matched_route = *call.matched_route;
  request_state request;
  request.call = std::move(call);
  for (relay_group& group : request.call.relays) {
    request.relays.emplace_back().group = std::move(group);
  }
  request.call.relays.clear();
  request.received = now;
  request.expires_at =
      now + std::max(duration{0},
                     std::min(matched_route.timeout, request.call.time_left) -
                         kExpiryMargin);
  request.answer_at =
      std::max(now, request.call.sent_at + matched_route.latency_objective -
                        options_.answer_margin);
  if (request.call.streamed()) request.answer_at = request.call.answer_at;
  if (request.fan_out()) {
    for (const std::string& service : matched_route.shards) {
      request.parts.emplace_back().service = service;
    }
  } else {
    request.parts.emplace_back().service = PickBackend(matched_route);
  }
  if (stop_at_.has_value()) {
    request.expires_at = std::min(request.expires_at, *stop_at_);
  }
  return request;
}

void route_engine::StopAt(time_point end, time_point now, route_effects* out) {
  stop_at_ = end;
  std::vector<route_request_id> unsent;
  for (auto& [id, request] : requests_) {
    if (!MayHaveRun(request) && !FitsBeforeStop(request, now)) {
      unsent.push_back(id);
    }
    if (request.expires_at <= end) continue;
    request.expires_at = end;
    SetTimer(timer_kind::kExpiry, end, id);
  }
  for (const route_request_id id : unsent) {
    FinishFailed(FindRequest(id), result_code::kShuttingDown, now, out);
  }
}

// A request that may not be repeated is sent only if its timeout or its
// caller's deadline ends it before the stop: another instance can run it
// without the risk of an unknown outcome. One that may be repeated is sent if
// it usually ends before, because a failure costs no more than a refusal.
bool route_engine::FitsBeforeStop(const request_state& request,
                                  time_point now) const {
  if (!stop_at_.has_value()) return true;
  const route& matched_route = *request.call.matched_route;
  const time_point deadline =
      request.received +
      std::min(matched_route.timeout, request.call.time_left);
  if (deadline <= *stop_at_) return true;
  const duration usual =
      std::max(matched_route.latency_objective,
               kStopServiceTimes * ExpectedServiceTime(matched_route));
  return matched_route.idempotent && now + usual <= *stop_at_;
}

void route_engine::Begin(route_call call, time_point now, route_effects* out) {
  ++counters_.requests;
  const route_request_id id = call.id;
  const route& matched_route = *call.matched_route;
  request_state& request = requests_[id] = MakeRequest(std::move(call), now);
  if (requests_.size() > options_.max_requests) {
    return FinishFailed(&request, result_code::kOverloaded, now, out);
  }
  if (!FitsBeforeStop(request, now)) {
    return FinishFailed(&request, result_code::kShuttingDown, now, out);
  }
  if (RefuseEvacuated(&request, now, out)) return;
  if (RefuseCrashing(&request, now, out)) return;
  StartRelays(&request, now, out);
  request.held =
      request.fan_out() && !request.call.streamed() && !request.canary;
  const std::size_t canary_part =
      static_cast<std::uint64_t>(id) % request.parts.size();
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    if (!request.parts[i].owned_by_self()) continue;
    if (request.canary && i != canary_part) continue;
    FindOrCreateService(request.parts[i].service).budget.OnRequest();
    if (!Place(&request, i, send_reason::kFirst, now, out)) {
      FailUnplaced(&request, i, now);
    }
  }
  if (request.held && !ReleaseIfReady(&request, now, out)) held_.insert(id);
  SetTimer(timer_kind::kExpiry, request.expires_at, id);
  if (request.fan_out() || request.call.streamed()) {
    SetTimer(timer_kind::kAnswer, request.answer_at, id);
  }
  if (!request.fan_out()) {
    SetTimer(timer_kind::kQueueWait,
             now + Scaled(matched_route.latency_objective,
                          options_.max_queue_wait_share),
             id);
  }
  CheckDone(&request, now, out);
}

void route_engine::OnHedgeDue(request_state* request, std::size_t index,
                              time_point now, route_effects* out) {
  part_state& part = request->parts[index];
  // The timer may be older than a handover of the part.
  if (part.ended() || part.hedged || !part.owned_by_self()) return;
  part.hedged = true;
  if (!MaySendAgain(*request, part, send_reason::kHedge, now)) return;
  // Under load a hedge would only lengthen the queues that it should avoid.
  const searcher_entry* other =
      pool_.Choose(part.service, part.tried, now, request->priority());
  if (other == nullptr || other->load() > 0 || other->quota.limited()) return;
  if (!FindOrCreateService(part.service).budget.TryTake()) {
    ++counters_.budget_refusals;
    return;
  }
  if (StartAttempt(request, index, send_reason::kHedge, now, out)) {
    ++request->hedges;
  }
}

// Refuses a request that could not be sent, while the caller still has time to
// retry.
void route_engine::OnQueueWaitExpired(request_state* request, time_point now,
                                      route_effects* out) {
  const part_state& part = request->parts.front();
  if (part.may_have_run > 0 || !part.owned_by_self() || part.ended()) return;
  if (DelegateUnsent(request, 0)) return;
  FinishFailed(request, result_code::kOverloaded, now, out);
}

void route_engine::OnAnswerDue(request_state* request, time_point now,
                               route_effects* out) {
  request->answer_due = true;
  if (request->held) {
    return FinishFailed(request, result_code::kBackendServerLimited, now, out);
  }
  CheckDone(request, now, out);
}

void route_engine::OnExpired(request_state* request, time_point now,
                             route_effects* out) {
  if (request->call.streamed()) {
    for (std::size_t i = 0; i < request->parts.size(); ++i) {
      FailPart(request, i, result_code::kDeadlineExceeded);
    }
    return Report(request, out);
  }
  if (request->fan_out() && EnoughCoverage(*request)) {
    return FinishMerged(request, now, out);
  }
  FinishFailed(request, result_code::kDeadlineExceeded, now, out);
}

bool route_engine::EnoughCoverage(const request_state& request) const {
  const double share = static_cast<double>(request.answered) /
                       static_cast<double>(request.parts.size());
  return request.answered > 0 &&
         share >= request.call.matched_route->min_coverage;
}

void route_engine::FailPart(request_state* request, std::size_t index,
                            result_code code) {
  part_state& part = request->parts[index];
  if (part.ended()) return;
  part.failed = true;
  part.failure = code;
  ++request->failed;
  if (code == result_code::kBackendServerLimited ||
      (code == result_code::kBackendServerShed &&
       request->refusal != result_code::kBackendServerLimited)) {
    request->refusal = code;
  }
  if (part.may_have_run == 0) request->report_due = true;
}

void route_engine::OnPartAnswered(request_state* request, std::size_t index,
                                  searcher_reply_pointer reply, time_point now,
                                  route_effects* out) {
  part_state& part = request->parts[index];
  part.reply = std::move(reply);
  ++request->answered;
  CheckDone(request, now, out);
}

// Answers the request if every part has a result, if the time to answer has
// come and the coverage suffices, or if the minimum coverage can no longer be
// reached.
void route_engine::CheckDone(request_state* request, time_point now,
                             route_effects* out) {
  const std::size_t count = request->parts.size();
  if (request->canary && request->answered > 0) {
    StartOtherParts(request, now, out);
  }
  if (request->canary && request->failed > 0) {
    const auto canary =
        std::find_if(request->parts.begin(), request->parts.end(),
                     [](const part_state& part) { return part.failed; });
    return FinishFailed(request, canary->failure, now, out);
  }
  if (request->call.streamed()) {
    const bool done = request->answered + request->failed == count;
    if (done || request->answer_due || request->report_due)
      Report(request, out);
    return;
  }
  if (!request->fan_out()) {
    const part_state& only = request->parts.front();
    if (only.reply != nullptr) {
      finish_route_request finish;
      finish.reply = only.reply;
      return FinishWith(request, std::move(finish), now, out);
    }
    if (only.failed) FinishFailed(request, only.failure, now, out);
    return;
  }
  const bool all = request->answered + request->failed == count;
  if ((all || request->answer_due) && EnoughCoverage(*request)) {
    return FinishMerged(request, now, out);
  }
  const double reachable =
      static_cast<double>(count - request->failed) / static_cast<double>(count);
  if (all || reachable < request->call.matched_route->min_coverage) {
    FinishFailed(request, result_code::kCoverageTooLow, now, out);
  }
}

void route_engine::FinishMerged(request_state* request, time_point now,
                                route_effects* out) {
  finish_route_request finish;
  finish.merged = true;
  if (request->answered == request->parts.size()) {
    evidence_.RememberSuccess(request->call.content, now);
  }
  std::vector<std::string_view> bodies(request->relay_bodies.begin(),
                                       request->relay_bodies.end());
  for (const part_state& part : request->parts) {
    if (part.reply != nullptr) {
      finish.stamps.push_back(part.reply->stamp);
      bodies.push_back(part.reply->body);
      continue;
    }
    finish.missing.push_back(
        {part.service,
         part.failed ? part.failure : result_code::kDeadlineExceeded});
  }
  finish.body = TopRecords(bodies, request->call.matched_route->top_records);
  if (!finish.missing.empty()) ++counters_.partial;
  FinishWith(request, std::move(finish), now, out);
}

void route_engine::FinishFailed(request_state* request, result_code code,
                                time_point now, route_effects* out) {
  if (request->call.streamed()) {
    for (std::size_t i = 0; i < request->parts.size(); ++i) {
      FailPart(request, i, code);
    }
    return Report(request, out);
  }
  finish_route_request finish;
  const bool may_have_run = MayHaveRun(*request);
  for (const part_state& part : request->parts) {
    if (part.failed) finish.missing.push_back({part.service, part.failure});
  }
  finish.code = code;
  if (may_have_run && !request->call.matched_route->idempotent) {
    finish.code = result_code::kOutcomeUnknown;
  }
  if (!request->fan_out()) finish.reply = request->parts.front().error_reply;
  if (!may_have_run) {
    // No attempt can have run.
    if (!Describe(finish.code).not_run) {
      finish.code = request->refusal;
    }
    finish.retry_after = request->quarantined_for > duration{0}
                             ? request->quarantined_for
                             : RetryAfter(*request, now);
  }
  ++(may_have_run ? counters_.failed : counters_.refused);
  FinishWith(request, std::move(finish), now, out);
}

duration route_engine::RetryAfter(const request_state& request,
                                  time_point now) const {
  if (stop_at_.has_value()) return kMinRetryAfter;
  const duration left = request.received + request.call.time_left > now
                            ? request.received + request.call.time_left - now
                            : duration{0};
  const duration wanted =
      std::max({kMinRetryAfter, request.excluded_for,
                2 * ExpectedServiceTime(*request.call.matched_route)});
  return std::min(wanted, Scaled(left, kRetryAfterShare));
}

bool route_engine::MayHaveRun(const request_state& request) {
  return std::any_of(
      request.parts.begin(), request.parts.end(),
      [](const part_state& part) { return part.may_have_run > 0; });
}

// Every answer to a caller passes here, whichever way the request took, so an
// answer that promises `not run` can't leave once a searcher may have run a
// part.
void route_engine::RemoveFalsePromise(const request_state& request,
                                      finish_route_request* finish) {
  if (finish->merged || !MayHaveRun(request)) return;
  const unsigned status =
      finish->reply != nullptr
          ? finish->reply->status
          : static_cast<unsigned>(Describe(finish->code).http_status);
  if (!PromisesNotRun(status)) return;
  finish->reply = nullptr;
  finish->code = request.call.matched_route->idempotent
                     ? result_code::kBackendServerFailed
                     : result_code::kOutcomeUnknown;
}

// Attempts in flight continue; their replies release the connections.
void route_engine::FinishWith(request_state* request,
                              finish_route_request finish, time_point now,
                              route_effects* out) {
  RemoveFalsePromise(*request, &finish);
  finish.request = request->call.id;
  finish.attempts = request->attempts;
  finish.hedges = request->hedges;
  finish.last_searcher = request->last_searcher;
  finish.elapsed = now - request->received;
  DropUnsent(*request);
  CancelRelays(*request, false, out);
  const route_request_id id = request->call.id;
  out->push_back(std::move(finish));
  requests_.erase(id);
}

void route_engine::Abandon(route_request_id id) {
  request_state* request = FindRequest(id);
  if (request == nullptr) return;
  DropUnsent(*request);
  requests_.erase(id);
}

void route_engine::Cancel(route_request_id id, time_point, route_effects* out) {
  request_state* request = FindRequest(id);
  if (request == nullptr) return;
  ++counters_.cancelled;
  DropUnsent(*request);
  CancelRelays(*request, true, out);
  for (const part_state& part : request->parts) {
    for (const attempt_id running : part.running) {
      const attempt_state* attempt = FindAttempt(running);
      if (attempt != nullptr) AbortAttempt(*attempt, out);
    }
  }
  requests_.erase(id);
}

}  // namespace bilberrycourse
