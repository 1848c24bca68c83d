#include <algorithm>
#include <utility>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {

void shard_dispatcher::implementation::OnDeadline(dispatch_request* request) {
  dispatch_shard* shard = request->shard;
  if (request->queued()) {
    ++counters_.expired_in_queue;
    Fail(request,
         {result_code::kQueueDeadline, dispatch_reason::kDeadlineInQueue});
  } else {
    Fail(request, {result_code::kDeadlineExceeded,
                   dispatch_reason::kDeadlineWhileRunning});
  }
  Pump(shard);
}

void shard_dispatcher::implementation::Fail(dispatch_request* request,
                                            failure why) {
  if (options_.record_decisions) {
    RecordDecision(*request, why.reason, why.code, nullptr);
  }
  if (request->attempts == 0) {
    request->queue_wait = now_ - request->submitted_at;
  }
  shard_result result;
  result.code = why.code;
  result.not_run = request->may_have_run == 0;
  Finish(request, std::move(result),
         why.code == result_code::kDeadlineExceeded);
}

void shard_dispatcher::implementation::Finish(dispatch_request* request,
                                              shard_result result,
                                              bool expired) {
  ++counters_.finished;
  result.id = request->message->id;
  result.attempts = request->attempts;
  result.queue_wait = request->queue_wait;
  out_->push_back(finish_request{request->origin, std::move(result)});
  Withdraw(request, expired);
  Erase(request);
}

void shard_dispatcher::implementation::Withdraw(dispatch_request* request,
                                                bool expired) {
  if (request->queued()) request->shard->queue.Remove(request);
  StopRunning(request);
  while (!request->in_flight.empty()) {
    dispatch_attempt& attempt = request->in_flight.front();
    Detach(&attempt);
    if (attempt.probe && !expired) {
      timers_.SubscribeOnce(
          now_ + options_.probe_interval,
          [this, a = &attempt](time_point) { CancelAttempt(a); },
          &attempt.grace_timer);
      continue;
    }
    attempt.expired = expired;
    CancelAttempt(&attempt);
  }
}

void shard_dispatcher::implementation::CancelAttempt(
    dispatch_attempt* attempt) {
  attempt->cancelled = true;
  // What was given up took at least that long, and a slowed replica that
  // loses against every hedge gives no other sample.
  if (attempt->incarnation == attempt->server->record.incarnation) {
    attempt->server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
  }
  out_->push_back(cancel_attempt{attempt->id, attempt->connection,
                                 attempt->server->record.key});
  LimitWait(attempt, now_);
}

void shard_dispatcher::implementation::StopRunning(dispatch_request* request) {
  if (!request->running) return;
  request->running = false;
  --request->shard->running;
}

void shard_dispatcher::implementation::LimitWait(dispatch_attempt* attempt,
                                                 time_point end) {
  timers_.SubscribeOnce(
      std::max(end, now_) + options_.cancel_grace,
      [this, attempt](time_point) { OnGraceOver(attempt); },
      &attempt->grace_timer);
}

void shard_dispatcher::implementation::OnGraceOver(dispatch_attempt* attempt) {
  dispatch_server* server = attempt->server;
  const connection_id id = attempt->connection;
  server->pool.Remove(id);
  connections_.erase(id);
  out_->push_back(close_connection{id});
  if (attempt->incarnation == server->record.incarnation) {
    server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
  }
  EraseAttempt(attempt);
  Maintain(server);
  Pump(server->shard);
  EraseIfGone(server);
}

void shard_dispatcher::implementation::Detach(dispatch_attempt* attempt) {
  dispatch_request* request = attempt->request;
  request->in_flight.erase(request->in_flight.iterator_to(*attempt));
  attempt->request = nullptr;
}

void shard_dispatcher::implementation::Unlink(dispatch_attempt* attempt) {
  server_attempt_list& of_server = attempt->server->attempts;
  of_server.erase(of_server.iterator_to(*attempt));
  if (attempt->request == nullptr) return;
  request_attempt_list& of_request = attempt->request->in_flight;
  of_request.erase(of_request.iterator_to(*attempt));
}

void shard_dispatcher::implementation::EraseAttempt(dispatch_attempt* attempt) {
  dispatch_server* server = attempt->server;
  if (attempt->incarnation == server->record.incarnation) {
    --server->in_flight;
  }
  Unlink(attempt);
  attempts_.erase(attempt->id);
}

void shard_dispatcher::implementation::Erase(dispatch_request* request) {
  const auto of_origin = requests_.find(request->origin);
  of_origin->second.erase(request->message->id);
  if (of_origin->second.empty()) requests_.erase(of_origin);
}

void shard_dispatcher::implementation::RecordDecision(
    const dispatch_request& request, dispatch_reason reason, result_code code,
    const dispatch_attempt* attempt) {
  dispatch_decision decision;
  decision.reason = reason;
  decision.origin = request.origin;
  decision.request = request.message->id;
  decision.shard = request.message->shard;
  decision.code = code;
  decision.queue_wait = now_ - request.submitted_at;
  if (attempt != nullptr) {
    decision.replica = attempt->server->record.key.replica;
    decision.attempt = attempt->id;
  }
  if (request.shard != nullptr) {
    const dispatch_shard& shard = *request.shard;
    decision.queued = static_cast<std::uint32_t>(shard.queue.size());
    const duration prior = PriorServiceTime(shard);
    decision.candidates.reserve(shard.servers.size());
    for (const dispatch_server* server : shard.servers) {
      if (!Serves(*server, request.version)) continue;
      const replica_load load = LoadOf(*server, prior, nullptr);
      decision.candidates.push_back(
          {server->record.key.replica, load.in_flight, load.slots,
           load.service_time, load.oldest_age,
           choice_.ExpectedCompletion(load, shard.queue.size()),
           load.available});
    }
  }
  out_->push_back(std::move(decision));
}

}  // namespace bilberrycourse
