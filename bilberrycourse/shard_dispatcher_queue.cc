#include <algorithm>
#include <optional>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {
namespace {

// Longest time between two replica choices for a queue that is not empty.
constexpr duration kQueueReviewInterval = std::chrono::milliseconds(10);

}  // namespace

double shard_dispatcher::implementation::WeightOf(
    const caller_name& caller) const {
  const auto found = weights_.find(caller);
  return found == weights_.end() ? 1 : found->second;
}

void shard_dispatcher::implementation::Enqueue(dispatch_request* request) {
  request->shard->queue.Push(request, request->message->caller,
                             WeightOf(request->message->caller));
}

std::optional<shard_dispatcher::implementation::failure>
shard_dispatcher::implementation::CheckSendable(
    const dispatch_request& request) const {
  if (!sending_allowed_) {
    return failure{result_code::kControlLeaseExpired,
                   dispatch_reason::kSendingForbidden};
  }
  if (request.deadline <= now_) {
    return failure{result_code::kQueueDeadline,
                   dispatch_reason::kDeadlineInQueue};
  }
  if (IsContentRefused(*request.message)) {
    return failure{result_code::kSuspectedCrasher,
                   dispatch_reason::kContentCondemned};
  }
  return CheckServable(request);
}

bool shard_dispatcher::implementation::IsContentRefused(
    const shard_request& request) const {
  if (evidence_ == nullptr) return false;
  const crash_verdict verdict = evidence_->Verdict(request.content, now_);
  return verdict == crash_verdict::kCondemned ||
         (verdict == crash_verdict::kSuspect && !request.proven &&
          !request.canary);
}

std::optional<shard_dispatcher::implementation::failure>
shard_dispatcher::implementation::CheckServable(
    const dispatch_request& request) const {
  const failure no_replica{result_code::kNoServingReplica,
                           dispatch_reason::kNoReplica};
  if (request.shard == nullptr) return no_replica;
  bool other_version = false;
  bool limited = false;
  bool resting = false;
  for (const dispatch_server* server : request.shard->servers) {
    if (server->record.state != backend_server_state::kServing ||
        !Reachable(*server)) {
      continue;
    }
    if (Serves(*server, request.version)) {
      const bool rests = now_ < server->rest_until;
      if (!rests && WithinLimit(*server)) return std::nullopt;
      (rests ? resting : limited) = true;
    }
    other_version = true;
  }
  if (limited) {
    return failure{result_code::kBackendServerLimited,
                   dispatch_reason::kRequestLimit};
  }
  if (resting) {
    return failure{result_code::kBackendServerShed, dispatch_reason::kShed};
  }
  if (!other_version) return no_replica;
  return failure{result_code::kVersionGone, dispatch_reason::kVersionNotServed};
}

void shard_dispatcher::implementation::FailUnservable(dispatch_shard* shard) {
  if (shard->queue.empty()) return;
  FailQueued(shard, [&](const dispatch_request& request) {
    return CheckServable(request);
  });
}

void shard_dispatcher::implementation::SendQueued(dispatch_shard* shard) {
  while (sending_allowed_ && !shard->queue.empty()) {
    // Consecutive requests usually have the same version, so the last choice
    // is reused.
    std::optional<index_version> chosen_version;
    dispatch_server* chosen = nullptr;
    fair_queue_entry* entry = shard->queue.Pop([&](index_version version) {
      if (chosen_version != version) {
        chosen_version = version;
        chosen = Choose(*shard, version, nullptr, /*may_wait=*/true);
      }
      return chosen != nullptr;
    });
    if (entry == nullptr) {
      // A limit may have been used up while the requests waited for a slot.
      FailUnservable(shard);
      if (!shard->queue.empty()) ScheduleQueueReview(shard);
      return;
    }
    auto* request = static_cast<dispatch_request*>(entry);
    if (const auto refused = CheckSendable(*request)) {
      Fail(request, *refused);
      continue;
    }
    if (!request->tried_servers.empty() || chosen_version != request->version) {
      chosen = Choose(*shard, request->version, request, /*may_wait=*/false);
    }
    Start(request, chosen);
  }
}

void shard_dispatcher::implementation::ScheduleQueueReview(
    dispatch_shard* shard) {
  if (shard->queue_timer.active()) return;
  timers_.SubscribeOnce(
      now_ + kQueueReviewInterval,
      [this, shard](time_point) { SendQueued(shard); }, &shard->queue_timer);
}

duration shard_dispatcher::implementation::PriorServiceTime(
    const dispatch_shard& shard) const {
  std::optional<duration> shortest;
  for (const dispatch_server* server : shard.servers) {
    const auto recent = server->estimator.recent();
    if (recent && (!shortest || *recent < *shortest)) shortest = recent;
  }
  return shortest.value_or(options_.initial_service_time);
}

replica_load shard_dispatcher::implementation::LoadOf(
    const dispatch_server& server, duration prior,
    const dispatch_request* request) const {
  replica_load load;
  load.in_flight = server.in_flight;
  load.slots = Slots(server);
  load.service_time = prior;
  const auto recent = server.estimator.recent();
  if (recent &&
      now_ - server.estimator.last_sample() < options_.estimate_expiry) {
    load.service_time = *recent;
  }
  if (!server.attempts.empty()) {
    load.oldest_age = now_ - server.attempts.front().sent_at;
    if (load.oldest_age < load.service_time * options_.age_evidence_factor) {
      load.oldest_age = duration{0};
    }
  }
  load.available = Available(server);
  load.reachable = Reachable(server) && server.pool.open_count() > 0 &&
                   now_ >= server.paused_until && WithinLimit(server);
  load.same_zone = server.record.zone == options_.zone;
  load.last_used = server.last_used;
  load.already_tried =
      request != nullptr &&
      std::find(request->tried_servers.begin(), request->tried_servers.end(),
                &server) != request->tried_servers.end();
  return load;
}

dispatch_server* shard_dispatcher::implementation::Choose(
    const dispatch_shard& shard, index_version version,
    const dispatch_request* request, bool may_wait) {
  loads_.clear();
  candidates_.clear();
  const duration prior = PriorServiceTime(shard);
  for (dispatch_server* server : shard.servers) {
    if (!Serves(*server, version)) continue;
    if (request != nullptr && RunsOn(*request, *server)) continue;
    candidates_.push_back(server);
    loads_.push_back(LoadOf(*server, prior, request));
  }
  if (!may_wait) {
    for (replica_load& load : loads_) load.reachable = load.available;
  }
  const auto index = choice_.Choose(loads_, shard.queue.size());
  return index ? candidates_[*index] : nullptr;
}

bool shard_dispatcher::implementation::RunsOn(const dispatch_request& request,
                                              const dispatch_server& server) {
  return std::any_of(request.in_flight.begin(), request.in_flight.end(),
                     [&](const dispatch_attempt& attempt) {
                       return attempt.server == &server;
                     });
}

}  // namespace bilberrycourse
