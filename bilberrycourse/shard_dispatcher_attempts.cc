#include <algorithm>
#include <optional>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {
namespace {

// Delay before retrying a hedge that found no free slot or no budget.
constexpr duration kHedgeRetryDelay = std::chrono::milliseconds(1);

// Service-time quantile for hedges when the budget is empty.
constexpr double kMaxHedgeQuantile = 0.99;

// A replica is probed if its service time is at least this many times
// that of the chosen one; a faster replica is still sent regular requests.
constexpr int kProbeServiceTimeRatio = 2;

}  // namespace

duration shard_dispatcher::implementation::RemainingTime(
    const dispatch_request& request, const dispatch_server& server) const {
  const duration transit = server.record.zone == options_.zone
                               ? options_.transit_same_zone
                               : options_.transit_other_zone;
  return request.deadline - now_ - transit;
}

duration shard_dispatcher::implementation::MinRemainingTime(
    const dispatch_request& request, const dispatch_server& server) const {
  if (request.submitted_at == now_ || request.shard->queue.empty()) {
    return duration{0};
  }
  return server.estimator.Quantile(options_.min_remaining_quantile, now_)
      .value_or(duration{0});
}

void shard_dispatcher::implementation::Start(dispatch_request* request,
                                             dispatch_server* server) {
  if (RemainingTime(*request, *server) <= MinRemainingTime(*request, *server)) {
    ++counters_.expired_in_queue;
    Fail(request,
         {result_code::kQueueDeadline, dispatch_reason::kDeadlineInQueue});
    return;
  }
  if (request->attempts == 0) {
    ++counters_.first_attempts;
    request->queue_wait = now_ - request->submitted_at;
    request->scope->budget.OnFirstAttempt();
  }
  request->running = true;
  ++request->shard->running;
  Send(request, server, request->next_reason);
  if (!MayDuplicate(*request)) return;
  ScheduleHedge(request, *server);
  if (request->attempts == 1 && !request->message->canary) {
    ProbeSlowReplica(request, *server);
  }
}

void shard_dispatcher::implementation::Send(dispatch_request* request,
                                            dispatch_server* server,
                                            dispatch_reason reason) {
  const attempt_id id{next_attempt_id_++};
  dispatch_attempt& attempt = attempts_[id];
  attempt.id = id;
  attempt.server = server;
  attempt.request = request;
  attempt.connection = *server->pool.Take();
  attempt.incarnation = server->record.incarnation;
  attempt.version = request->version;
  attempt.content = request->message->content;
  attempt.sent_at = now_;
  attempt.hedge = reason == dispatch_reason::kHedge;
  attempt.probe = reason == dispatch_reason::kProbe;
  connections_[attempt.connection].attempt = &attempt;
  server->attempts.push_back(attempt);
  request->in_flight.push_back(attempt);
  if (options_.record_decisions) {
    RecordDecision(*request, reason, result_code::kOk, &attempt);
  }
  ++server->in_flight;
  if (server->request_limit.has_value()) {
    server->limit_tokens.Take(1, *server->request_limit, now_);
  }
  server->last_used = now_;
  ++request->attempts;
  ++request->may_have_run;
  if (request->message->canary && request->attempts == 1) {
    out_->push_back(canary_started{request->origin, request->message->id});
  }
  out_->push_back(send_attempt{id, attempt.connection, server->record.key,
                               request->message,
                               RemainingTime(*request, *server)});
}

bool shard_dispatcher::implementation::MayDuplicate(
    const dispatch_request& request) const {
  const service_policy& policy = request.scope->policy;
  return policy.hedging && request.message->idempotent && !request.crashed &&
         !request.hedged && request.attempts < policy.max_attempts &&
         (evidence_ == nullptr ||
          evidence_->Verdict(request.message->content, now_) <
              crash_verdict::kSuspect);
}

void shard_dispatcher::implementation::ScheduleHedge(
    dispatch_request* request, const dispatch_server& server) {
  // The emptier the budget, the later the hedge, so that tokens remain for
  // the slowest attempts.
  const double min_quantile = request->scope->policy.hedge_quantile;
  const double probability =
      min_quantile + std::max(kMaxHedgeQuantile - min_quantile, 0.0) *
                         (1 - request->scope->budget.fill());
  std::optional<duration> delay;
  bool has_other_replica = false;
  for (const dispatch_server* candidate : request->shard->servers) {
    if (candidate == &server || !Serves(*candidate, request->version)) {
      continue;
    }
    has_other_replica = true;
    const auto quantile = candidate->estimator.Quantile(probability, now_);
    if (quantile && (!delay || *quantile < *delay)) delay = quantile;
  }
  if (!has_other_replica) return;
  if (!delay) {
    delay = server.estimator.Quantile(probability, now_);
  }
  duration wait = delay.value_or(options_.initial_hedge_delay);
  if (request->message->canary) {
    wait = std::max(wait, request->scope->policy.canary_wait);
  }
  HedgeAfter(request, wait);
}

void shard_dispatcher::implementation::HedgeAfter(dispatch_request* request,
                                                  duration delay) {
  const time_point due = now_ + std::max(delay, duration{1});
  if (due >= request->deadline) return;
  timers_.SubscribeOnce(
      due, [this, request](time_point) { OnHedgeDue(request); },
      &request->hedge_timer);
}

void shard_dispatcher::implementation::OnHedgeDue(dispatch_request* request) {
  if (!sending_allowed_ || request->in_flight.empty() ||
      !MayDuplicate(*request)) {
    return;
  }
  attempt_budget& budget = request->scope->budget;
  dispatch_server* server = nullptr;
  if (request->shard->queue.empty() &&
      budget.Allows(extra_attempt_kind::kHedge)) {
    server = Choose(*request->shard, request->version, request,
                    /*may_wait=*/false);
  }
  if (server == nullptr || server->request_limit.has_value()) {
    HedgeAfter(request, kHedgeRetryDelay);
    return;
  }
  if (RemainingTime(*request, *server) <= duration{0}) return;
  budget.TryTake(extra_attempt_kind::kHedge);
  ++counters_.hedges;
  request->hedged = true;
  Send(request, server, dispatch_reason::kHedge);
}

void shard_dispatcher::implementation::ProbeSlowReplica(
    dispatch_request* request, const dispatch_server& chosen) {
  if (!request->shard->queue.empty()) return;
  attempt_budget& budget = request->scope->budget;
  const duration prior = PriorServiceTime(*request->shard);
  const duration expected = LoadOf(chosen, prior, nullptr).service_time;
  for (dispatch_server* server : request->shard->servers) {
    if (server == &chosen || !server->attempts.empty() ||
        server->request_limit.has_value() ||
        !Serves(*server, request->version) || !Available(*server) ||
        now_ - server->last_used < options_.probe_interval ||
        LoadOf(*server, prior, nullptr).service_time <
            kProbeServiceTimeRatio * expected ||
        RemainingTime(*request, *server) <= duration{0}) {
      continue;
    }
    if (!budget.TryTake(extra_attempt_kind::kProbe)) return;
    ++counters_.probes;
    request->hedged = true;
    request->hedge_timer.Cancel();
    Send(request, server, dispatch_reason::kProbe);
    return;
  }
}

}  // namespace bilberrycourse
