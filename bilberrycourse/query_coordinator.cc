#include "bilberrycourse/query_coordinator.h"

#include <algorithm>
#include <boost/intrusive/set.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <iterator>
#include <utility>

namespace bilberrycourse {
namespace {

// A shard request id consists of a block (40 bits), a round (4 bits) and a
// shard index (20 bits). Each query takes one block per snapshot, so that one
// lookup finds the query of a result and ids of an abandoned snapshot are not
// reused.
constexpr std::uint32_t kIndexBits = 20;
constexpr std::uint32_t kRoundBits = 4;
constexpr std::uint64_t kMaxShards = 1ull << kIndexBits;
constexpr std::uint64_t kBlockMask = (1ull << 40) - 1;
// Sends per shard: to the owner, to the deputy, and once more after kNotOwner
// or a crash.
constexpr std::uint32_t kMaxRounds = 3;

constexpr std::string_view kOutcomeNames[] = {"complete", "partial", "not_run",
                                              "unknown"};
constexpr std::string_view kDecisionNames[] = {
    "snapshot_pinned",  "canary_sent",         "canary_passed",
    "canary_failed",    "canary_wait_ended",   "fanned_out",
    "sent_to_deputy",   "retried_after_crash", "restarted",
    "restart_declined", "stragglers_cut",      "answered",
    "abandoned"};

// While the owner has not sent the canary, the query waits for it this many
// times the canary wait.
constexpr int kCanaryStartWaitFactor = 10;

enum class query_phase : std::uint8_t { kAdmission, kCanary, kCollecting };
enum class shard_phase : std::uint8_t { kUnsent, kSent, kAnswered, kMissing };

}  // namespace

std::string_view ToString(query_outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view ToString(coordinator_decision_kind kind) {
  return kDecisionNames[static_cast<std::size_t>(kind)];
}

struct query_coordinator::shard_entry {
  shard_phase state = shard_phase::kUnsent;
  // Reason why the shard has no answer.
  result_code code = result_code::kOk;
  // True if a round ended without proof that no attempt ran.
  bool may_have_run = false;
  // True if the request was sent to the deputy because the owner did not
  // respond.
  bool sent_to_deputy = false;
  // True if the request was sent again after kNotOwner.
  bool redirected = false;
  // True if the request was sent again after a crash of its searcher.
  bool retried_after_crash = false;
  std::uint8_t rounds = 0;
  // Bit r is set while a result of round r can still arrive.
  std::uint8_t live_rounds = 0;
  std::string replica;
  shared_body body;
};

struct query_coordinator::query_entry
    : public boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  query_request request;
  std::string scope;
  query_phase phase = query_phase::kAdmission;
  bool idempotent = true;
  // True while an admission grant or request must be released at the end.
  bool admission_open = false;
  // True if any shard request was sent.
  bool any_sent = false;
  // True if the content has run without a crash, recently or as the canary.
  bool proven = false;
  bool restarted = false;
  bool decline_logged = false;
  // True if work on an abandoned snapshot may have run.
  bool earlier_may_have_run = false;
  time_point submitted{};
  time_point due{};
  time_point canary_deadline{};
  std::uint64_t block = 0;
  std::shared_ptr<const snapshot_plan> plan;
  std::vector<shard_entry> shards;
  std::size_t canary = 0;
  std::uint32_t searched = 0;
  std::uint32_t missing = 0;
  std::uint32_t extra_attempts = 0;
  duration queue_wait{0};
  duration service_time{0};
  // Plan and results of the abandoned snapshot, used for the answer if the new
  // snapshot covers less.
  std::shared_ptr<const snapshot_plan> earlier_plan;
  std::vector<shard_entry> earlier_shards;
  std::uint32_t earlier_searched = 0;

  friend bool operator<(const query_entry& a, const query_entry& b) {
    return a.due < b.due;
  }
};

struct query_coordinator::tables {
  using due_set =
      boost::intrusive::multiset<query_entry,
                                 boost::intrusive::constant_time_size<false>>;
  boost::unordered_flat_map<query_id, std::unique_ptr<query_entry>> queries;
  boost::unordered_flat_map<std::uint64_t, query_entry*> blocks;
  due_set by_due;
};

query_coordinator::query_coordinator(const shard_directory* directory,
                                     query_coordinator_options options)
    : directory_(directory),
      options_(options),
      next_block_(options.first_block),
      tables_(std::make_unique<tables>()) {}

query_coordinator::~query_coordinator() = default;

std::size_t query_coordinator::in_flight() const {
  return tables_->queries.size();
}

query_coordinator::query_entry* query_coordinator::FindQuery(
    query_id query) const {
  const auto position = tables_->queries.find(query);
  return position == tables_->queries.end() ? nullptr : position->second.get();
}

shard_request_id query_coordinator::RequestId(const query_entry& query,
                                              std::size_t index,
                                              std::uint32_t round) const {
  return shard_request_id{(query.block << (kRoundBits + kIndexBits)) |
                          (std::uint64_t{round} << kIndexBits) | index};
}

query_coordinator::live_request query_coordinator::FindRequest(
    shard_request_id id) const {
  const auto value = static_cast<std::uint64_t>(id);
  const auto position =
      tables_->blocks.find(value >> (kRoundBits + kIndexBits));
  if (position == tables_->blocks.end()) return {};
  live_request request{position->second,
                       static_cast<std::size_t>(value & (kMaxShards - 1)),
                       static_cast<std::uint32_t>((value >> kIndexBits) &
                                                  ((1u << kRoundBits) - 1))};
  const auto& shards = request.query->shards;
  if (request.round >= kMaxRounds || request.index >= shards.size() ||
      (shards[request.index].live_rounds & (1u << request.round)) == 0) {
    return {};
  }
  return request;
}

void query_coordinator::LogDecision(coordinator_decision_kind kind,
                                    const query_entry& query,
                                    std::uint32_t shards, result_code code,
                                    effects* out,
                                    std::optional<shard_key> shard) const {
  coordinator_decision decision;
  decision.kind = kind;
  decision.query = query.request.query;
  decision.target = query.request.target;
  if (query.plan != nullptr) {
    decision.version = query.plan->version;
    decision.total = static_cast<std::uint32_t>(query.plan->shards.size());
  }
  decision.shards = shards;
  decision.shard = std::move(shard);
  decision.code = code;
  out->push_back(std::move(decision));
}

void query_coordinator::Refuse(const query_request& request, result_code code,
                               effects* out) {
  query_answer refusal;
  refusal.query = request.query;
  refusal.outcome = query_outcome::kNotRun;
  refusal.code = code;
  if (code == result_code::kNoServingReplica) {
    const auto plan = directory_->Pick(request.target);
    refusal.snapshot = plan->version;
    refusal.coverage.total = static_cast<std::uint32_t>(plan->shards.size());
    for (const planned_shard& shard : plan->shards) {
      refusal.coverage.missing.push_back(
          {shard.key, shard.serving ? result_code::kCancelled : code});
    }
  }
  ++counters_.answered[static_cast<std::size_t>(refusal.outcome)];
  coordinator_decision decision;
  decision.kind = coordinator_decision_kind::kAnswered;
  decision.query = request.query;
  decision.target = request.target;
  decision.code = code;
  out->push_back(std::move(refusal));
  out->push_back(std::move(decision));
}

result_code query_coordinator::Submit(const query_request& request,
                                      time_point now, effects* out) {
  if (tables_->queries.contains(request.query)) {
    return result_code::kInvalidField;
  }
  ++counters_.submitted;
  const auto plan = directory_->Pick(request.target);
  const bool idempotent = request.idempotent && request.policy.idempotent;
  result_code refusal = result_code::kOk;
  if (plan == nullptr) {
    refusal = result_code::kUnknownTarget;
  } else if (draining_) {
    refusal = result_code::kShuttingDown;
  } else if (request.deadline <= now) {
    refusal = result_code::kDeadlinePassed;
  } else if (tables_->queries.size() >= options_.max_in_flight ||
             plan->shards.size() > kMaxShards) {
    refusal = result_code::kOverloaded;
  } else if (plan->serving == 0 ||
             (!idempotent && plan->serving < plan->shards.size())) {
    // A non-idempotent request that has run on only some shards cannot be
    // repeated, so it is refused before anything runs.
    refusal = result_code::kNoServingReplica;
  }
  if (refusal != result_code::kOk) {
    Refuse(request, refusal, out);
    return result_code::kOk;
  }

  auto owned = std::make_unique<query_entry>();
  query_entry* query = owned.get();
  tables_->queries.emplace(request.query, std::move(owned));
  query->request = request;
  query->request.deadline =
      std::min(request.deadline, now + request.policy.max_deadline);
  query->idempotent = idempotent;
  query->submitted = now;
  if (!request.policy.admission) {
    Begin(query, now, out);
    return result_code::kOk;
  }
  query->scope = directory_->ScopeOf(request.target);
  query->admission_open = true;
  Schedule(query, now);
  out->push_back(request_admission{request.query, query->scope, request.caller,
                                   request.caller_weight,
                                   std::min(request.policy.max_admission_wait,
                                            query->request.deadline - now),
                                   query->request.deadline});
  return result_code::kOk;
}

void query_coordinator::OnAdmission(query_id id, bool granted, result_code code,
                                    duration retry_after, time_point now,
                                    effects* out) {
  query_entry* query = FindQuery(id);
  if (query == nullptr || query->phase != query_phase::kAdmission) {
    // If the query has ended, its admission was released at that time.
    ++counters_.late_admissions;
    return;
  }
  if (granted) {
    Begin(query, now, out);
    return;
  }
  query->admission_open = false;
  RefuseQueued(query,
               code == result_code::kOk ? result_code::kOverloaded : code,
               retry_after, out);
}

void query_coordinator::RefuseQueued(query_entry* query, result_code code,
                                     duration retry_after, effects* out) {
  query_answer refusal;
  refusal.query = query->request.query;
  refusal.outcome = query_outcome::kNotRun;
  refusal.code = code;
  refusal.retry_after = retry_after;
  ++counters_.answered[static_cast<std::size_t>(refusal.outcome)];
  LogDecision(coordinator_decision_kind::kAnswered, *query, 0, code, out);
  out->push_back(std::move(refusal));
  Finish(query, out);
}

void query_coordinator::Pin(query_entry* query,
                            std::shared_ptr<const snapshot_plan> plan) {
  if (query->block != 0) tables_->blocks.erase(query->block);
  query->block = next_block_++ & kBlockMask;
  if (query->block == 0) query->block = next_block_++;
  tables_->blocks.emplace(query->block, query);
  query->plan = std::move(plan);
  query->shards.clear();
  query->shards.resize(query->plan->shards.size());
  query->searched = 0;
  query->missing = 0;
  for (std::size_t index = 0; index < query->shards.size(); ++index) {
    if (!query->plan->shards[index].serving) {
      MarkMissing(query, index, result_code::kNoServingReplica);
    }
  }
}

void query_coordinator::Begin(query_entry* query, time_point now,
                              effects* out) {
  // The snapshot is picked only now because the directory may have changed
  // while the query waited for admission.
  auto plan = directory_->Pick(query->request.target);
  if (plan == nullptr || plan->shards.size() > kMaxShards) {
    RefuseQueued(query, result_code::kUnknownTarget, {}, out);
    return;
  }
  query->phase = query_phase::kCollecting;
  if (plan->serving == 0 ||
      (!query->idempotent && plan->serving < plan->shards.size())) {
    Pin(query, std::move(plan));
    for (std::size_t index = 0; index < query->shards.size(); ++index) {
      if (query->shards[index].state == shard_phase::kUnsent) {
        MarkMissing(query, index, result_code::kCancelled);
      }
    }
    Answer(query, out);
    return;
  }
  Pin(query, std::move(plan));
  LogDecision(coordinator_decision_kind::kSnapshotPinned, *query,
              query->plan->serving, result_code::kOk, out);
  query->proven = query->request.content_proven;
  if (query->request.canary_needed && query->request.policy.canary) {
    query->phase = query_phase::kCanary;
    query->canary_deadline =
        now + kCanaryStartWaitFactor * query->request.policy.canary_wait;
    SendCanary(query, now, out);
  } else {
    SendUnsent(query, out);
  }
  Schedule(query, now);
}

void query_coordinator::Send(query_entry* query, std::size_t index, bool canary,
                             bool deputy, effects* out) {
  shard_entry& shard = query->shards[index];
  const std::uint32_t round = shard.rounds++;
  shard.state = shard_phase::kSent;
  shard.live_rounds |= 1u << round;
  query->any_sent = true;
  auto& effect = std::get<send_shard_request>(
      out->emplace_back(std::in_place_type<send_shard_request>));
  effect.query = query->request.query;
  effect.deputy = deputy;
  shard_request& request = effect.request;
  request.id = RequestId(*query, index, round);
  request.shard = query->plan->shards[index].key;
  request.version = query->plan->version;
  request.deadline = query->request.deadline;
  request.caller = query->request.caller;
  request.scope = query->request.target;
  request.content = query->request.content;
  request.idempotent = query->idempotent;
  request.canary = canary;
  request.proven = query->proven;
  request.deputy = deputy;
  request.body = query->request.body;
  request.traceparent = query->request.traceparent;
}

std::uint32_t query_coordinator::ReplicasForCanary(const query_entry& query,
                                                   std::size_t index) {
  const planned_shard& shard = query.plan->shards[index];
  const auto& avoid = query.request.canary_avoid;
  const bool lost_replica =
      std::find(avoid.begin(), avoid.end(), shard.key) != avoid.end();
  return lost_replica ? 0 : shard.replicas;
}

void query_coordinator::SendCanary(query_entry* query, time_point now,
                                   effects* out) {
  // The content selects the first shard to consider. This spreads the canaries
  // of different contents and sends a repeated content to the same shard.
  const std::size_t count = query->shards.size();
  const std::size_t start =
      static_cast<std::uint64_t>(query->request.content) % count;
  // The shard with the most replicas can best afford to lose one. A shard that
  // lost a replica to this content counts as having none, so that the next
  // canary runs on another shard.
  std::optional<std::size_t> chosen;
  for (std::size_t offset = 0; offset < count && now < query->canary_deadline;
       ++offset) {
    const std::size_t index = (start + offset) % count;
    if (query->shards[index].state != shard_phase::kUnsent) continue;
    if (!chosen.has_value() ||
        ReplicasForCanary(*query, index) > ReplicasForCanary(*query, *chosen)) {
      chosen = index;
    }
  }
  if (chosen.has_value()) {
    const std::size_t index = *chosen;
    query->canary = index;
    Send(query, index, true, false, out);
    LogDecision(coordinator_decision_kind::kCanarySent, *query, 1,
                result_code::kOk, out, query->plan->shards[index].key);
    return;
  }
  SendUnsent(query, out);
}

void query_coordinator::SendUnsent(query_entry* query, effects* out) {
  query->phase = query_phase::kCollecting;
  out->reserve(out->size() + query->shards.size() + 2);
  std::uint32_t sent = 0;
  for (std::size_t index = 0; index < query->shards.size(); ++index) {
    if (query->shards[index].state != shard_phase::kUnsent) continue;
    Send(query, index, false, false, out);
    ++sent;
  }
  LogDecision(coordinator_decision_kind::kFannedOut, *query, sent,
              result_code::kOk, out);
}

bool query_coordinator::SendToDeputy(query_entry* query, std::size_t index,
                                     effects* out) {
  shard_entry& shard = query->shards[index];
  if (!query->idempotent || query->request.policy.max_attempts < 2 ||
      shard.sent_to_deputy || shard.rounds >= kMaxRounds) {
    return false;
  }
  shard.sent_to_deputy = true;
  ++query->extra_attempts;
  ++counters_.sent_to_deputy;
  const bool canary =
      query->phase == query_phase::kCanary && index == query->canary;
  Send(query, index, canary, true, out);
  LogDecision(coordinator_decision_kind::kSentToDeputy, *query, 1,
              result_code::kOwnerUnreachable, out,
              query->plan->shards[index].key);
  return true;
}

bool query_coordinator::RetryAfterCrash(query_entry* query, std::size_t index,
                                        effects* out) {
  shard_entry& shard = query->shards[index];
  if (!query->proven || !query->idempotent || shard.retried_after_crash ||
      query->request.policy.max_attempts < 2 || shard.rounds >= kMaxRounds ||
      query->phase != query_phase::kCollecting ||
      query->plan->shards[index].replicas < 2) {
    return false;
  }
  shard.retried_after_crash = true;
  ++query->extra_attempts;
  Send(query, index, false, false, out);
  LogDecision(coordinator_decision_kind::kRetriedAfterCrash, *query, 1,
              result_code::kBackendServerCrashed, out,
              query->plan->shards[index].key);
  return true;
}

void query_coordinator::OnCanaryStarted(shard_request_id request,
                                        time_point now) {
  const live_request live = FindRequest(request);
  if (live.query == nullptr) return;
  query_entry* query = live.query;
  if (query->phase != query_phase::kCanary || live.index != query->canary) {
    return;
  }
  query->canary_deadline = now + query->request.policy.canary_wait;
  Schedule(query, now);
}

void query_coordinator::MarkMissing(query_entry* query, std::size_t index,
                                    result_code code) {
  shard_entry& shard = query->shards[index];
  shard.state = shard_phase::kMissing;
  shard.code = code;
  ++query->missing;
}

void query_coordinator::OnShardResult(const shard_result& result,
                                      time_point now, effects* out) {
  const live_request live = FindRequest(result.id);
  if (live.query == nullptr) {
    ++counters_.dropped_results;
    return;
  }
  query_entry* query = live.query;
  shard_entry& shard = query->shards[live.index];
  shard.live_rounds &= ~(1u << live.round);
  query->queue_wait = std::max(query->queue_wait, result.queue_wait);
  query->service_time = std::max(query->service_time, result.service_time);
  if (result.attempts > 1) query->extra_attempts += result.attempts - 1;

  const bool ok = result.code == result_code::kOk;
  if (ok && result.version == query->plan->version) {
    shard.state = shard_phase::kAnswered;
    shard.code = result_code::kOk;
    shard.may_have_run = true;
    shard.replica = result.replica;
    shard.body = result.body;
    ++query->searched;
    if (shard.live_rounds != 0) {
      cancel_shard_requests cancel{query->request.query, {}};
      for (std::uint32_t round = 0; round < kMaxRounds; ++round) {
        if ((shard.live_rounds & (1u << round)) != 0) {
          cancel.requests.push_back(RequestId(*query, live.index, round));
        }
      }
      shard.live_rounds = 0;
      out->push_back(std::move(cancel));
    }
    if (query->phase == query_phase::kCanary && live.index == query->canary) {
      OnCanaryFinished(query, now, out);
    }
    AnswerIfDone(query, now, out);
    return;
  }
  if (ok) {
    ++counters_.wrong_version_results;
    EndRound(query, live.index, result_code::kVersionGone, false, now, out);
    return;
  }
  const bool cannot_send = result.code == result_code::kNotOwner ||
                           result.code == result_code::kControlLeaseExpired;
  if (cannot_send && result.not_run && !shard.redirected &&
      shard.rounds < kMaxRounds) {
    // The views of ownership differ, or the owner has just started and has no
    // control lease yet. The next instance in the order owns the shard in the
    // other view, or serves it as deputy.
    shard.redirected = true;
    const bool canary =
        query->phase == query_phase::kCanary && live.index == query->canary;
    Send(query, live.index, canary, true, out);
    LogDecision(coordinator_decision_kind::kSentToDeputy, *query, 1,
                result.code, out, query->plan->shards[live.index].key);
    return;
  }
  EndRound(query, live.index, result.code, result.not_run, now, out);
}

void query_coordinator::EndRound(query_entry* query, std::size_t index,
                                 result_code code, bool not_run, time_point now,
                                 effects* out) {
  shard_entry& shard = query->shards[index];
  // The code of a round that may have run takes precedence over a refusal.
  const bool keep_code = shard.may_have_run && not_run;
  if (!keep_code) shard.code = code;
  shard.may_have_run = shard.may_have_run || !not_run;
  if (shard.live_rounds != 0) return;
  if (code == result_code::kBackendServerCrashed &&
      RetryAfterCrash(query, index, out)) {
    return;
  }
  MarkMissing(query, index, shard.code);
  if ((code == result_code::kVersionGone ||
       code == result_code::kNoServingReplica) &&
      RestartIfBetter(query, now, out)) {
    return;
  }
  if (query->phase == query_phase::kCanary && index == query->canary) {
    OnCanaryFinished(query, now, out);
  }
  AnswerIfDone(query, now, out);
}

void query_coordinator::OnCanaryFinished(query_entry* query, time_point now,
                                         effects* out) {
  const shard_entry& shard = query->shards[query->canary];
  const shard_key& key = query->plan->shards[query->canary].key;
  if (shard.state == shard_phase::kAnswered) {
    query->proven = true;
    LogDecision(coordinator_decision_kind::kCanaryPassed, *query, 1,
                result_code::kOk, out, key);
    SendUnsent(query, out);
  } else if (shard.code == result_code::kBackendServerCrashed ||
             shard.code == result_code::kSuspectedCrasher) {
    LogDecision(coordinator_decision_kind::kCanaryFailed, *query, 1, shard.code,
                out, key);
    query->phase = query_phase::kCollecting;
    const result_code code = shard.code == result_code::kSuspectedCrasher
                                 ? result_code::kSuspectedCrasher
                                 : result_code::kCanaryNotPassed;
    for (std::size_t index = 0; index < query->shards.size(); ++index) {
      if (query->shards[index].state == shard_phase::kUnsent) {
        MarkMissing(query, index, code);
      }
    }
  } else if (shard.may_have_run) {
    // The canary failed without a crash, for example at its deadline.
    SendUnsent(query, out);
  } else {
    // The canary never ran and says nothing about the content.
    SendCanary(query, now, out);
  }
  Schedule(query, now);
}

bool query_coordinator::RestartIfBetter(query_entry* query, time_point now,
                                        effects* out) {
  if (query->restarted) return false;
  const auto other =
      directory_->PickExcluding(query->request.target, query->plan->version);
  const auto total = static_cast<std::uint64_t>(query->shards.size());
  const std::uint64_t reachable = total - query->missing;
  const duration needed = std::max(options_.min_restart_time,
                                   query->queue_wait + query->service_time);
  bool better = other != nullptr && other->shards.size() <= kMaxShards &&
                other->serving * total > reachable * other->shards.size() &&
                query->request.deadline - now >= needed;
  if (better && !query->idempotent) {
    better = other->serving == other->shards.size() &&
             std::ranges::none_of(query->shards, [](const shard_entry& shard) {
               return shard.may_have_run || shard.live_rounds != 0;
             });
  }
  if (!better) {
    if (!query->decline_logged) {
      query->decline_logged = true;
      LogDecision(coordinator_decision_kind::kRestartDeclined, *query,
                  static_cast<std::uint32_t>(reachable),
                  result_code::kVersionGone, out);
    }
    return false;
  }

  CancelLive(query, out);
  for (const shard_entry& shard : query->shards) {
    // Work done on the abandoned snapshot is repeated on the other one.
    if (shard.may_have_run || shard.live_rounds != 0) {
      ++query->extra_attempts;
      query->earlier_may_have_run = true;
    }
  }
  query->restarted = true;
  ++counters_.restarted;
  if (query->searched > 0) {
    query->earlier_plan = query->plan;
    query->earlier_shards = std::move(query->shards);
    query->earlier_searched = query->searched;
  }
  Pin(query, other);
  LogDecision(coordinator_decision_kind::kRestarted, *query, other->serving,
              result_code::kVersionGone, out);
  if (query->phase == query_phase::kCanary) {
    SendCanary(query, now, out);
  } else {
    SendUnsent(query, out);
  }
  Schedule(query, now);
  return true;
}

void query_coordinator::OnOwnerUnresponsive(
    std::span<const shard_request_id> requests, time_point, effects* out) {
  for (const shard_request_id id : requests) {
    const live_request live = FindRequest(id);
    if (live.query != nullptr) SendToDeputy(live.query, live.index, out);
  }
}

void query_coordinator::OnOwnerDisconnected(
    std::span<const shard_request_id> requests, time_point now, effects* out) {
  for (const shard_request_id id : requests) {
    const live_request live = FindRequest(id);
    if (live.query == nullptr) continue;
    shard_entry& shard = live.query->shards[live.index];
    shard.live_rounds &= ~(1u << live.round);
    shard.may_have_run = true;
    shard.code = result_code::kOwnerUnreachable;
    if (shard.live_rounds == 0 && SendToDeputy(live.query, live.index, out))
      continue;
    EndRound(live.query, live.index, result_code::kOwnerUnreachable, false, now,
             out);
  }
}

void query_coordinator::OnCallerDisconnected(query_id id, time_point,
                                             effects* out) {
  query_entry* query = FindQuery(id);
  if (query == nullptr) return;
  ++counters_.abandoned;
  CancelLive(query, out);
  LogDecision(coordinator_decision_kind::kAbandoned, *query, query->searched,
              result_code::kCancelled, out);
  Finish(query, out);
}

void query_coordinator::AnswerIfDone(query_entry* query, time_point now,
                                     effects* out) {
  const std::size_t total = query->shards.size();
  if (query->searched + query->missing == total) {
    Answer(query, out);
    return;
  }
  const service_policy& policy = query->request.policy;
  if (!policy.coverage_first && query->idempotent &&
      query->phase == query_phase::kCollecting && query->searched > 0 &&
      now >= query->submitted + policy.straggler_cutoff &&
      query->searched >= policy.least_coverage * static_cast<double>(total)) {
    LogDecision(coordinator_decision_kind::kStragglersCutOff, *query,
                query->searched, result_code::kDeadlineExceeded, out);
    Answer(query, out);
  }
}

void query_coordinator::Schedule(query_entry* query, time_point now) {
  time_point due = query->request.deadline;
  const service_policy& policy = query->request.policy;
  if (query->phase == query_phase::kCanary) {
    due = std::min(due, query->canary_deadline);
  } else if (query->phase == query_phase::kCollecting &&
             !policy.coverage_first && query->idempotent &&
             query->submitted + policy.straggler_cutoff > now) {
    due = std::min(due, query->submitted + policy.straggler_cutoff);
  }
  if (query->is_linked() && query->due == due) return;
  query->unlink();
  query->due = due;
  tables_->by_due.insert(*query);
}

std::optional<time_point> query_coordinator::next_due() const {
  if (tables_->by_due.empty()) return std::nullopt;
  return tables_->by_due.begin()->due;
}

void query_coordinator::Tick(time_point now, effects* out) {
  auto& by_due = tables_->by_due;
  while (!by_due.empty() && by_due.begin()->due <= now) {
    query_entry* query = &*by_due.begin();
    if (now >= query->request.deadline) {
      Answer(query, out);
    } else if (query->phase == query_phase::kCanary) {
      LogDecision(coordinator_decision_kind::kCanaryWaitEnded, *query, 1,
                  result_code::kOk, out,
                  query->plan->shards[query->canary].key);
      SendUnsent(query, out);
      Schedule(query, now);
    } else {
      // Schedule comes first because AnswerIfDone may end and erase the query.
      Schedule(query, now);
      AnswerIfDone(query, now, out);
    }
  }
}

void query_coordinator::CancelLive(query_entry* query, effects* out) {
  cancel_shard_requests cancel{query->request.query, {}};
  for (std::size_t index = 0; index < query->shards.size(); ++index) {
    const std::uint32_t live = query->shards[index].live_rounds;
    if (live == 0) continue;
    for (std::uint32_t round = 0; round < kMaxRounds; ++round) {
      if ((live & (1u << round)) != 0) {
        cancel.requests.push_back(RequestId(*query, index, round));
      }
    }
  }
  if (!cancel.requests.empty()) out->push_back(std::move(cancel));
}

void query_coordinator::Answer(query_entry* query, effects* out) {
  CancelLive(query, out);
  query_answer result;
  result.query = query->request.query;
  result.extra_attempts = query->extra_attempts;
  result.restarted = query->restarted;
  bool ran = query->earlier_may_have_run;
  // The code of the answer is taken from a shard that may have run, else from
  // one that a request was sent to, else from the first missing shard. Without
  // any shard, the query waited for admission until its deadline.
  result_code reason = result_code::kQueueDeadline;
  int reason_rank = -1;
  for (std::size_t index = 0; index < query->shards.size(); ++index) {
    shard_entry& shard = query->shards[index];
    if (shard.state == shard_phase::kUnsent) {
      MarkMissing(query, index, result_code::kQueueDeadline);
    } else if (shard.state == shard_phase::kSent) {
      shard.may_have_run = true;
      MarkMissing(query, index, result_code::kDeadlineExceeded);
    }
    if (shard.state == shard_phase::kAnswered) {
      ran = true;
      continue;
    }
    ran = ran || shard.may_have_run;
    const int rank = shard.may_have_run                      ? 3
                     : shard.rounds > 0                      ? 2
                     : shard.code != result_code::kCancelled ? 1
                                                             : 0;
    if (rank > reason_rank) {
      reason = shard.code;
      reason_rank = rank;
    }
  }
  // Use the abandoned snapshot if the new one covers a smaller share.
  const bool use_earlier =
      query->earlier_plan != nullptr &&
      std::uint64_t{query->earlier_searched} * query->shards.size() >
          std::uint64_t{query->searched} * query->earlier_shards.size();
  if (use_earlier) {
    query->plan = query->earlier_plan;
    query->shards = std::move(query->earlier_shards);
    query->searched = query->earlier_searched;
    reason = result_code::kVersionGone;
  }
  const auto total = static_cast<std::uint32_t>(query->shards.size());
  result.coverage.searched = query->searched;
  result.coverage.total = total;
  if (query->plan != nullptr) result.snapshot = query->plan->version;
  result.results.reserve(query->searched);
  for (std::size_t index = 0; index < total; ++index) {
    shard_entry& shard = query->shards[index];
    const shard_key& key = query->plan->shards[index].key;
    if (shard.state == shard_phase::kAnswered) {
      result.results.push_back(
          {key, std::move(shard.replica), std::move(shard.body)});
    } else {
      // Shards without a result when the snapshot was abandoned were cancelled.
      const result_code code = shard.state == shard_phase::kMissing
                                   ? shard.code
                                   : result_code::kCancelled;
      result.coverage.missing.push_back({key, code});
    }
  }

  const double least_coverage = query->request.policy.least_coverage;
  if (total > 0 && query->searched == total) {
    result.outcome = query_outcome::kComplete;
  } else if (!ran) {
    result.outcome = query_outcome::kNotRun;
    result.code = reason;
  } else if (!query->idempotent) {
    result.outcome = query_outcome::kUnknown;
    result.code = result_code::kOutcomeUnknown;
  } else {
    result.outcome = query_outcome::kPartial;
    if (query->searched == 0) {
      result.code = reason;
    } else if (query->searched < least_coverage * static_cast<double>(total)) {
      result.code = result_code::kCoverageTooLow;
    }
  }
  ++counters_.answered[static_cast<std::size_t>(result.outcome)];
  LogDecision(coordinator_decision_kind::kAnswered, *query, query->searched,
              result.code, out);
  out->push_back(std::move(result));
  Finish(query, out);
}

void query_coordinator::Finish(query_entry* query, effects* out) {
  if (query->admission_open) {
    out->push_back(release_admission{query->request.query, query->scope,
                                     query->any_sent, query->queue_wait,
                                     query->service_time});
  }
  if (query->block != 0) tables_->blocks.erase(query->block);
  tables_->queries.erase(query->request.query);
}

}  // namespace bilberrycourse
