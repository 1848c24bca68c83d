#include <algorithm>
#include <utility>

#include "bilberrycourse/shard_dispatcher_implementation.h"

// Completion and cancellation of requests and attempts, and the record of each
// decision.

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
  SendQueued(shard);
}

void shard_dispatcher::implementation::Fail(dispatch_request* request,
                                            failure cause) {
  if (options_.record_decisions) {
    RecordDecision(*request, cause.reason, cause.code, nullptr);
  }
  if (request->attempts == 0) {
    request->queue_wait = now_ - request->submitted_at;
  }
  shard_result result;
  result.code = cause.code;
  result.not_run = request->may_have_run == 0;
  Finish(request, std::move(result),
         cause.code == result_code::kDeadlineExceeded);
}

void shard_dispatcher::implementation::Finish(dispatch_request* request,
                                              shard_result result,
                                              bool expired) {
  ++counters_.finished;
  result.id = request->message->id;
  result.attempts = request->attempts;
  result.queue_wait = request->queue_wait;
  out_->push_back(finish_request{request->origin, std::move(result)});
  AbortRequest(request, expired);
  EraseRequest(request);
}

void shard_dispatcher::implementation::AbortRequest(dispatch_request* request,
                                                    bool expired) {
  if (request->queued()) request->shard->queue.Remove(request);
  StopRunning(request);
  while (!request->in_flight.empty()) {
    dispatch_attempt& attempt = request->in_flight.front();
    Detach(&attempt);
    if (attempt.probe && !expired) {
      timers_.SubscribeOnce(
          now_ + options_.probe_interval,
          [this, probe = &attempt](time_point) { CancelAttempt(probe); },
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
  // The service time is at least the elapsed time. A slow replica whose
  // attempts always lose to hedges provides no other sample.
  if (attempt->incarnation == attempt->server->record.incarnation) {
    attempt->server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
  }
  out_->push_back(cancel_attempt{attempt->id, attempt->connection,
                                 attempt->server->record.key});
  ScheduleForcedClose(attempt, now_);
}

void shard_dispatcher::implementation::StopRunning(dispatch_request* request) {
  if (!request->running) return;
  request->running = false;
  --request->shard->running;
}

void shard_dispatcher::implementation::ScheduleForcedClose(
    dispatch_attempt* attempt, time_point end) {
  timers_.SubscribeOnce(
      std::max(end, now_) + options_.cancel_grace,
      [this, attempt](time_point) { OnCancelGraceExpired(attempt); },
      &attempt->grace_timer);
}

void shard_dispatcher::implementation::OnCancelGraceExpired(
    dispatch_attempt* attempt) {
  dispatch_server* server = attempt->server;
  const connection_id id = attempt->connection;
  server->pool.Remove(id);
  connections_.erase(id);
  out_->push_back(close_connection{id});
  if (attempt->incarnation == server->record.incarnation) {
    server->estimator.RecordAtLeast(now_ - attempt->sent_at, now_);
  }
  EraseAttempt(attempt);
  AdjustConnections(server);
  SendQueued(server->shard);
  EraseIfLost(server);
}

void shard_dispatcher::implementation::Detach(dispatch_attempt* attempt) {
  dispatch_request* request = attempt->request;
  request->in_flight.erase(request->in_flight.iterator_to(*attempt));
  attempt->request = nullptr;
}

void shard_dispatcher::implementation::Unlink(dispatch_attempt* attempt) {
  server_attempt_list& server_attempts = attempt->server->attempts;
  server_attempts.erase(server_attempts.iterator_to(*attempt));
  if (attempt->request == nullptr) return;
  request_attempt_list& request_attempts = attempt->request->in_flight;
  request_attempts.erase(request_attempts.iterator_to(*attempt));
}

void shard_dispatcher::implementation::EraseAttempt(dispatch_attempt* attempt) {
  dispatch_server* server = attempt->server;
  if (attempt->incarnation == server->record.incarnation) {
    --server->in_flight;
  }
  Unlink(attempt);
  attempts_.erase(attempt->id);
}

void shard_dispatcher::implementation::EraseRequest(dispatch_request* request) {
  const auto origin_requests = requests_.find(request->origin);
  origin_requests->second.erase(request->message->id);
  if (origin_requests->second.empty()) requests_.erase(origin_requests);
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
