#include "app/query_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// An owner that has requests of this origin and sends nothing for this long is
// considered crashed or paused.
constexpr duration kOwnerSilenceTimeout = std::chrono::milliseconds(150);
constexpr duration kHeartbeatPeriod = std::chrono::milliseconds(50);
// Origins are sent heartbeats for this long after their last shard request.
// Requests that take longer are rare, and an owner that appears silent costs
// only an extra attempt.
constexpr duration kOriginRetention = std::chrono::seconds(30);
constexpr duration kCrashEvidenceLifetime = std::chrono::minutes(10);

dispatch_options DispatchOptions(const settings& config) {
  dispatch_options options;
  options.zone = config.zone;
  options.record_decisions = config.decision_rate > 0;
  return options;
}

query_coordinator_options CoordinatorOptions(std::uint64_t incarnation) {
  query_coordinator_options options;
  options.first_block = incarnation & 0xffffffffffULL;
  return options;
}

fingerprint FingerprintOf(const caller_query& query) {
  XXH64_state_t* state = XXH64_createState();
  XXH64_reset(state, 0);
  XXH64_update(state, query.target.data(), query.target.size() + 1);
  if (query.body != nullptr) {
    XXH64_update(state, query.body->data(), query.body->size());
  }
  const fingerprint content{XXH64_digest(state)};
  XXH64_freeState(state);
  return content;
}

attempt_reply ToAttemptReply(const backend_reply& reply) {
  attempt_reply out;
  out.version = reply.version;
  out.body = reply.body;
  out.limit = reply.limit;
  out.rest = reply.rest;
  if (reply.status == 200) {
    out.kind = attempt_reply_kind::kOk;
  } else if (reply.status == 503 && reply.not_run) {
    out.kind = attempt_reply_kind::kShed;
  } else if (reply.status == 410) {
    out.kind = attempt_reply_kind::kVersionGone;
  } else if (reply.status == 499) {
    out.kind = attempt_reply_kind::kCancelled;
  } else {
    out.kind = attempt_reply_kind::kFailed;
  }
  return out;
}

constexpr std::chrono::milliseconds kConnectTimeout{1000};

std::uint32_t IntegerWeight(double weight) {
  return static_cast<std::uint32_t>(std::max(1.0, weight));
}

}  // namespace

query_service::query_service(boost::asio::any_io_executor executor,
                             const settings& config, std::uint64_t incarnation,
                             peer_transport* transport,
                             cluster_service* cluster, metrics* counters)
    : config_(config),
      incarnation_(incarnation),
      transport_(transport),
      cluster_(cluster),
      metrics_(counters),
      coordinator_(&directory_, CoordinatorOptions(incarnation)),
      dispatcher_(DispatchOptions(config), &evidence_),
      backend_(std::move(executor), ClientOptions(config, kConnectTimeout),
               this) {}

query_service::~query_service() = default;

query_id query_service::Submit(const caller_query& query, time_point now,
                               answer_callback callback) {
  const query_id id{next_query_++};
  const fingerprint content = FingerprintOf(query);
  const crash_verdict verdict = evidence_.Verdict(content, now);
  const bool in_cooldown = evidence_.InCrashCooldown(content, now);
  if (verdict == crash_verdict::kCondemned || in_cooldown) {
    query_answer refused;
    refused.query = id;
    refused.code = result_code::kSuspectedCrasher;
    LogDecision("query_refused",
                {{"query", static_cast<std::uint64_t>(id)},
                 {"target", query.target},
                 {"caller", query.caller},
                 {"reason", in_cooldown ? "content in crash cooldown"
                                        : "condemned content"}});
    if (in_cooldown) refused.retry_after = std::chrono::seconds(1);
    callback(refused);
    return id;
  }
  query_request request;
  request.query = id;
  request.target = query.target;
  request.caller = query.caller;
  request.caller_weight = IntegerWeight(query.caller_weight);
  request.deadline = query.deadline;
  request.content = content;
  request.idempotent = query.idempotent;
  request.canary_needed =
      query.policy.canary && verdict != crash_verdict::kRecentlyGood;
  request.content_proven = verdict == crash_verdict::kRecentlyGood;
  request.body = query.body;
  request.traceparent = query.traceparent;
  request.policy = query.policy;
  if (verdict == crash_verdict::kSuspect) {
    // Content that has crashed a server runs on its canary only, until the
    // canary ends.
    request.canary_needed = true;
    request.canary_avoid = evidence_.CrashedShards(content, now);
    request.policy.canary = true;
    request.policy.canary_wait = Remaining(query.deadline, now);
  }
  queries_[static_cast<std::uint64_t>(id)] = {std::move(callback), content, now,
                                              query.target, false};
  coordinator_.Submit(request, now, &coordinator_out_);
  Run(now);
  return id;
}

void query_service::Abandon(query_id query, time_point now) {
  queries_.erase(static_cast<std::uint64_t>(query));
  coordinator_.OnCallerDisconnected(query, now, &coordinator_out_);
  Run(now);
}

void query_service::OnPublished(const published_state& state, time_point now) {
  const config_document& document = state.document;
  std::set<std::string> groups;
  for (const std::string& name : document.groups()) {
    groups.insert(name);
    directory_.SetGroup(name, document.ServicesOf(name));
    dispatcher_.SetPolicy(name, *document.FindPolicy(name));
  }
  for (const std::string& name : groups_) {
    if (!groups.contains(name)) directory_.RemoveGroup(name);
  }
  groups_ = std::move(groups);
  for (const std::string& name : document.services()) {
    dispatcher_.SetPolicy(name, *document.FindPolicy(name));
  }
  for (const caller_name& caller : weighted_callers_) {
    dispatcher_.SetCallerWeight(caller, 1.0);
  }
  weighted_callers_.clear();
  for (const config_exception& exception : document.exceptions()) {
    const auto overrides = document.CallerPolicyAt(exception.caller, WallNow());
    dispatcher_.SetCallerWeight(exception.caller, overrides.caller_weight);
    weighted_callers_.insert(exception.caller);
  }
  std::vector<shard_key> shards;
  for (const shard_set_record& set : state.shard_sets) {
    directory_.RecordShardSet(set.service, set.version, set.shard_count);
    for (std::uint32_t shard = 0; shard < set.shard_count; ++shard) {
      shards.push_back({set.service, shard});
    }
  }
  cluster_->SetRecordedShards(std::move(shards), now);
  Run(now);
}

void query_service::OnBackendServer(const backend_server_record& record,
                                    time_point now) {
  addresses_[record.key] = record.address;
  directory_.UpdateBackendServer(record);
  dispatcher_.UpdateBackendServer(record, now, &dispatch_out_);
  Run(now);
}

void query_service::OnOwnership(time_point now) {
  std::set<shard_key> owned;
  for (shard_key& shard : cluster_->ownership().OwnedBy(config_.name)) {
    owned.insert(std::move(shard));
  }
  for (const shard_key& shard : owned_) {
    if (owned.contains(shard)) continue;
    dispatcher_.SetShardOwned(shard, false, now, &dispatch_out_);
  }
  for (const shard_key& shard : owned) {
    if (owned_.contains(shard)) continue;
    LogDecision("shard_owned",
                {{"shard", ToString(shard)},
                 {"view_term", cluster_->members().view_term()}});
    dispatcher_.SetShardOwned(shard, true, now, &dispatch_out_);
  }
  owned_ = std::move(owned);
  admission_client_.SetOriginCount(
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(
                                     cluster_->ownership().instances().size())),
      now, &admission_client_out_);
  for (auto& [scope, instance] : admission_of_scope_) {
    const instance_name* current =
        cluster_->ownership().AdmissionInstance(scope);
    if (current == nullptr || *current == instance) continue;
    instance = *current;
    LogDecision("admission_instance", {{"scope", scope}, {"to", instance}});
    admission_client_.OnInstanceChanged(scope, now, &admission_client_out_);
  }
  Run(now);
}

void query_service::OnCrashEvidence(const crash_evidence_record& record,
                                    time_point now) {
  evidence_.Merge({&record, 1}, now);
}

void query_service::SetSendingAllowed(bool allowed, time_point now) {
  if (allowed == sending_allowed_) return;
  sending_allowed_ = allowed;
  dispatcher_.SetSendingAllowed(allowed, now, &dispatch_out_);
  Run(now);
}

void query_service::OnPeerFrameReceived(const instance_name& peer,
                                        time_point now) {
  const auto link = owners_.find(peer);
  if (link == owners_.end()) return;
  link->second.silent_since = now;
  link->second.silent = false;
}

void query_service::OnPeerFrame(const instance_name& peer,
                                const wire::peer_frame& frame, time_point now) {
  if (const auto* batch = frame.payload_as_shard_batch()) {
    OnShardBatch(peer, *batch, now);
  } else if (const auto* results = frame.payload_as_shard_result_batch()) {
    OnResultBatch(peer, *results, now);
  } else if (const auto* cancel = frame.payload_as_shard_cancel()) {
    if (cancel->request_ids() != nullptr) {
      for (const std::uint64_t id : *cancel->request_ids()) {
        dispatcher_.Cancel(peer, shard_request_id{id}, now, &dispatch_out_);
      }
    }
  } else if (const auto* canaries = frame.payload_as_canary_started()) {
    if (canaries->request_ids() != nullptr) {
      for (const std::uint64_t id : *canaries->request_ids()) {
        coordinator_.OnCanaryStarted(shard_request_id{id}, now);
      }
    }
  } else if (const auto* admission = frame.payload_as_admission_batch()) {
    OnAdmissionBatch(peer, *admission, now);
  }
  Run(now);
}

void query_service::OnShardBatch(const instance_name& peer,
                                 const wire::shard_batch& batch,
                                 time_point now) {
  origins_[peer] = now;
  if (batch.requests() == nullptr) return;
  for (const wire::shard_request* request : *batch.requests()) {
    dispatcher_.Submit(peer, FromWire(*request, now), now, &dispatch_out_);
  }
}

void query_service::OnResultBatch(const instance_name&,
                                  const wire::shard_result_batch& batch,
                                  time_point now) {
  if (batch.results() == nullptr) return;
  for (const wire::shard_result* result : *batch.results()) {
    ApplyShardResult(FromWire(*result), now);
  }
}

void query_service::OnAdmissionBatch(const instance_name& peer,
                                     const wire::admission_batch& batch,
                                     time_point now) {
  if (batch.requests() != nullptr) {
    for (const wire::admission_request* request : *batch.requests()) {
      const admission_request typed_request = FromWire(*request, now);
      admission_.SetFloor(typed_request.scope,
                          AdmissionFloor(typed_request.scope));
      admission_.OnRequest(peer, typed_request, now, &admission_out_);
    }
  }
  if (batch.decisions() != nullptr) {
    for (const wire::admission_decision* decision : *batch.decisions()) {
      admission_client_.OnDecision(FromWire(*decision), now,
                                   &admission_client_out_);
    }
  }
  if (batch.releases() != nullptr) {
    for (const wire::admission_release* release : *batch.releases()) {
      admission_.OnRelease(peer, FromWire(*release), now, &admission_out_);
    }
  }
}

void query_service::ApplyShardResult(const shard_result& result,
                                     time_point now) {
  const auto owner =
      owner_of_request_.find(static_cast<std::uint64_t>(result.id));
  if (owner != owner_of_request_.end()) {
    owners_[owner->second].outstanding.erase(result.id);
    owner_of_request_.erase(owner);
  }
  coordinator_.OnShardResult(result, now, &coordinator_out_);
}

void query_service::OnPeerConnected(const instance_name& peer, time_point now) {
  for (const auto& [scope, instance] : admission_of_scope_) {
    if (instance != peer) continue;
    admission_client_.OnInstanceChanged(scope, now, &admission_client_out_);
  }
  Run(now);
}

void query_service::OnPeerDisconnected(const instance_name& peer,
                                       time_point now) {
  const auto link = owners_.find(peer);
  if (link != owners_.end()) {
    const std::vector<shard_request_id> lost(link->second.outstanding.begin(),
                                             link->second.outstanding.end());
    owners_.erase(link);
    for (const shard_request_id id : lost) {
      owner_of_request_.erase(static_cast<std::uint64_t>(id));
    }
    coordinator_.OnOwnerDisconnected(lost, now, &coordinator_out_);
  }
  origins_.erase(peer);
  last_sent_.erase(peer);
  dispatcher_.OnOriginDisconnected(peer, now, &dispatch_out_);
  admission_.OnOriginDisconnected(peer, now, &admission_out_);
  for (const auto& [scope, instance] : admission_of_scope_) {
    if (instance != peer) continue;
    admission_client_.OnInstanceLost(scope, now, &admission_client_out_);
  }
  Run(now);
}

void query_service::Tick(time_point now) {
  coordinator_.Tick(now, &coordinator_out_);
  dispatcher_.Tick(now, &dispatch_out_);
  admission_client_.Tick(now, &admission_client_out_);
  admission_.Tick(now, &admission_out_);
  evidence_.Tick(now);
  CheckSilentOwners(now);
  SendHeartbeats(now);
  Run(now);
}

std::optional<time_point> query_service::next_due() const {
  std::optional<time_point> due;
  for (const auto& component_due :
       {coordinator_.next_due(), dispatcher_.next_due(),
        admission_client_.next_due(), admission_.next_due()}) {
    if (component_due.has_value() &&
        (!due.has_value() || *component_due < *due))
      due = component_due;
  }
  return due;
}

bool query_service::drained() const {
  if (coordinator_.in_flight() > 0) return false;
  for (const backend_server_status& server : dispatcher_.BackendServers()) {
    if (server.in_flight > 0) return false;
  }
  return true;
}

// Empties the effect queues. An effect may add to any queue, but never calls
// into a component that is running.
void query_service::Run(time_point now) {
  if (running_) return;
  running_ = true;
  const auto execute = [&](auto* queue) {
    auto effects = std::move(*queue);
    queue->clear();
    for (auto& effect : effects) {
      if constexpr (requires { effect.index(); }) {
        std::visit([&](auto& concrete) { ExecuteEffect(concrete, now); },
                   effect);
      } else {
        ExecuteEffect(effect, now);
      }
    }
  };
  while (!coordinator_out_.empty() || !dispatch_out_.empty() ||
         !admission_client_out_.empty() || !admission_out_.empty()) {
    execute(&coordinator_out_);
    execute(&dispatch_out_);
    execute(&admission_client_out_);
    execute(&admission_out_);
  }
  running_ = false;
  Flush(now);
}

void query_service::Flush(time_point now) {
  if (outgoing_.empty()) return;
  auto all = std::move(outgoing_);
  outgoing_.clear();
  for (auto& [peer, out] : all) {
    last_sent_[peer] = now;
    if (!out.cancels.empty()) {
      wire::shard_cancelT cancel;
      cancel.request_ids = out.cancels;
      transport_->Send(peer, MakeFrame(std::move(cancel)));
    }
    if (!out.canaries.empty()) {
      wire::canary_startedT started;
      started.request_ids = std::move(out.canaries);
      transport_->Send(peer, MakeFrame(std::move(started)));
    }
    if (out.admission != nullptr) {
      transport_->Send(peer, MakeFrame(std::move(*out.admission)));
    }
    if (!out.requests.empty()) {
      wire::shard_batchT batch;
      batch.requests = std::move(out.requests);
      transport_->Send(peer, MakeFrame(std::move(batch)));
    }
    if (!out.results.empty()) {
      wire::shard_result_batchT batch;
      batch.results = std::move(out.results);
      transport_->Send(peer, MakeFrame(std::move(batch)));
    }
  }
}

void query_service::CheckSilentOwners(time_point now) {
  for (auto& [peer, link] : owners_) {
    if (link.outstanding.empty() || link.silent) continue;
    if (now - link.silent_since < kOwnerSilenceTimeout) continue;
    link.silent = true;
    LogDecision("owner_silent",
                {{"owner", peer}, {"outstanding", link.outstanding.size()}});
    const std::vector<shard_request_id> waiting(link.outstanding.begin(),
                                                link.outstanding.end());
    coordinator_.OnOwnerUnresponsive(waiting, now, &coordinator_out_);
  }
}

void query_service::SendHeartbeats(time_point now) {
  std::erase_if(origins_, [&](const auto& origin) {
    return now - origin.second > kOriginRetention;
  });
  for (const auto& [peer, unused] : origins_) {
    time_point& last = last_sent_[peer];
    if (now - last < kHeartbeatPeriod) continue;
    last = now;
    transport_->Send(peer, MakeFrame(wire::heartbeatT{}));
  }
}

instance_name query_service::ChooseOwner(const shard_key& shard,
                                         bool deputy) const {
  const shard_ownership& ownership = cluster_->ownership();
  const instance_name* first =
      deputy ? ownership.Deputy(shard) : ownership.Owner(shard);
  const instance_name* second =
      deputy ? ownership.Owner(shard) : ownership.Deputy(shard);
  for (const instance_name* candidate : {first, second}) {
    if (candidate == nullptr) continue;
    if (*candidate == config_.name) return *candidate;
    const auto link = owners_.find(*candidate);
    const bool silent = link != owners_.end() && link->second.silent;
    if (!silent && transport_->Connected(*candidate)) return *candidate;
  }
  // Neither the owner nor the deputy responds, so this instance dispatches.
  return config_.name;
}

// Returns twice the slots of the smallest shard. An admitted query holds no
// slot while its requests travel to the owners and searchers, and a queue of
// one request per slot adds about one service time.
std::uint32_t query_service::AdmissionFloor(const std::string& scope) const {
  return 2 * directory_.SmallestShardSlots(scope);
}

void query_service::ExecuteEffect(request_admission& effect, time_point now) {
  if (!admission_of_scope_.contains(effect.scope)) {
    const instance_name* instance =
        cluster_->ownership().AdmissionInstance(effect.scope);
    admission_of_scope_[effect.scope] =
        instance == nullptr ? config_.name : *instance;
  }
  admission_client_.SetFloor(effect.scope, AdmissionFloor(effect.scope));
  admission_request request;
  request.query = effect.query;
  request.scope = effect.scope;
  request.caller = effect.caller;
  request.weight = effect.weight;
  request.max_wait = effect.max_wait;
  request.deadline = effect.deadline;
  admission_client_.Request(request, now, &admission_client_out_);
}

void query_service::ExecuteEffect(release_admission& effect, time_point now) {
  admission_release release;
  release.query = effect.query;
  release.scope = effect.scope;
  release.measured = effect.measured;
  release.queue_wait = effect.queue_wait;
  release.service_time = effect.service_time;
  admission_client_.Release(release, now, &admission_client_out_);
}

void query_service::ExecuteEffect(send_shard_request& effect, time_point now) {
  const instance_name owner = ChooseOwner(effect.request.shard, effect.deputy);
  const shard_request_id id = effect.request.id;
  if (SampleDecision()) {
    LogDecision(
        "shard_request_sent",
        {{"query", static_cast<std::uint64_t>(effect.query)},
         {"request", static_cast<std::uint64_t>(id)},
         {"shard", ToString(effect.request.shard)},
         {"version", static_cast<std::uint64_t>(effect.request.version)},
         {"owner", owner},
         {"deputy", effect.deputy}});
  }
  if (owner == config_.name) {
    dispatcher_.Submit(config_.name, std::move(effect.request), now,
                       &dispatch_out_);
    return;
  }
  owner_link& link = owners_[owner];
  if (link.outstanding.empty()) link.silent_since = now;
  link.outstanding.insert(id);
  owner_of_request_[static_cast<std::uint64_t>(id)] = owner;
  outgoing_[owner].requests.push_back(
      std::make_unique<wire::shard_requestT>(ToWire(effect.request, now)));
}

void query_service::ExecuteEffect(cancel_shard_requests& effect,
                                  time_point now) {
  for (const shard_request_id id : effect.requests) {
    const auto found = owner_of_request_.find(static_cast<std::uint64_t>(id));
    if (found == owner_of_request_.end()) {
      dispatcher_.Cancel(config_.name, id, now, &dispatch_out_);
      continue;
    }
    owners_[found->second].outstanding.erase(id);
    outgoing_[found->second].cancels.push_back(static_cast<std::uint64_t>(id));
    owner_of_request_.erase(found);
  }
}

void query_service::ExecuteEffect(query_answer& effect, time_point now) {
  const auto found = queries_.find(static_cast<std::uint64_t>(effect.query));
  if (found == queries_.end()) return;
  const running_query query = std::move(found->second);
  queries_.erase(found);
  if (effect.outcome == query_outcome::kComplete) {
    const bool suspect =
        evidence_.Verdict(query.content, now) == crash_verdict::kSuspect;
    evidence_.RecordSuccess(query.content, now);
    if (suspect) {
      crash_evidence_record record;
      record.content = query.content;
      record.success = true;
      cluster_->PublishCrash(record, kCrashEvidenceLifetime, now);
    }
  }
  metrics_->RecordQuery(query.target, ToString(effect.outcome),
                        now - query.started_at, effect.extra_attempts,
                        effect.coverage.total, effect.coverage.searched);
  query.callback(effect);
}

void query_service::ExecuteEffect(coordinator_decision& effect, time_point) {
  if (!SampleDecision()) return;
  boost::json::object fields{
      {"query", static_cast<std::uint64_t>(effect.query)},
      {"target", effect.target},
      {"version", static_cast<std::uint64_t>(effect.version)},
      {"shards", effect.shards},
      {"total", effect.total},
      {"code", Describe(effect.code).number}};
  if (effect.shard.has_value()) fields["shard"] = ToString(*effect.shard);
  LogDecision(ToString(effect.kind), std::move(fields));
}

wire::admission_batchT& query_service::OutgoingAdmissionBatch(
    const instance_name& peer) {
  auto& batch = outgoing_[peer].admission;
  if (batch == nullptr) batch = std::make_unique<wire::admission_batchT>();
  return *batch;
}

void query_service::ExecuteEffect(send_admission_request& effect,
                                  time_point now) {
  const instance_name& to = admission_of_scope_[effect.message.scope];
  if (to == config_.name) {
    admission_.SetFloor(effect.message.scope,
                        AdmissionFloor(effect.message.scope));
    admission_.OnRequest(config_.name, effect.message, now, &admission_out_);
    return;
  }
  OutgoingAdmissionBatch(to).requests.push_back(
      std::make_unique<wire::admission_requestT>(ToWire(effect.message, now)));
}

void query_service::ExecuteEffect(send_admission_release& effect,
                                  time_point now) {
  const instance_name& to = admission_of_scope_[effect.message.scope];
  if (to == config_.name) {
    admission_.OnRelease(config_.name, effect.message, now, &admission_out_);
    return;
  }
  OutgoingAdmissionBatch(to).releases.push_back(
      std::make_unique<wire::admission_releaseT>(ToWire(effect.message)));
}

void query_service::ExecuteEffect(admission_result& effect, time_point now) {
  if (SampleDecision()) {
    LogDecision("admission",
                {{"query", static_cast<std::uint64_t>(effect.query)},
                 {"granted", effect.granted},
                 {"code", Describe(effect.code).number}});
  }
  coordinator_.OnAdmission(effect.query, effect.granted, effect.code,
                           effect.retry_after, now, &coordinator_out_);
}

void query_service::ExecuteEffect(admission_mode_changed& effect, time_point) {
  LogEvent(log_level::kWarning, "admission_mode",
           {{"scope", effect.scope},
            {"responsive", effect.responsive},
            {"share", effect.share}});
}

void query_service::ExecuteEffect(admission_reply& effect, time_point now) {
  if (effect.origin == config_.name) {
    admission_client_.OnDecision(effect.decision, now, &admission_client_out_);
    return;
  }
  OutgoingAdmissionBatch(effect.origin)
      .decisions.push_back(
          std::make_unique<wire::admission_decisionT>(ToWire(effect.decision)));
}

std::string query_service::AttemptWireId(attempt_id attempt) const {
  return config_.name + "-" + std::to_string(incarnation_) + "-" +
         std::to_string(static_cast<std::uint64_t>(attempt));
}

void query_service::ExecuteEffect(open_connection& effect, time_point) {
  connections_[effect.connection] = effect.server;
  backend_.Open(effect.connection, effect.address);
}

void query_service::ExecuteEffect(close_connection& effect, time_point) {
  connections_.erase(effect.connection);
  backend_.Close(effect.connection);
}

void query_service::ExecuteEffect(send_attempt& effect, time_point) {
  backend_attempt attempt;
  attempt.id = effect.attempt;
  attempt.wire_id = AttemptWireId(effect.attempt);
  attempt.version = effect.request->version;
  attempt.remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.remaining);
  attempt.traceparent = effect.request->traceparent;
  attempt.body = effect.request->body;
  backend_.SendAttempt(effect.connection, attempt);
}

void query_service::ExecuteEffect(canary_started& effect, time_point now) {
  if (effect.origin == config_.name) {
    return coordinator_.OnCanaryStarted(effect.request, now);
  }
  outgoing_[effect.origin].canaries.push_back(
      static_cast<std::uint64_t>(effect.request));
}

void query_service::ExecuteEffect(cancel_attempt& effect, time_point) {
  const auto address = addresses_.find(effect.server);
  if (address == addresses_.end()) return;
  backend_.Cancel(address->second, AttemptWireId(effect.attempt));
}

void query_service::ExecuteEffect(finish_request& effect, time_point now) {
  if (effect.origin == config_.name)
    return ApplyShardResult(effect.result, now);
  outgoing_[effect.origin].results.push_back(
      std::make_unique<wire::shard_resultT>(ToWire(effect.result)));
}

void query_service::ExecuteEffect(report_crash& effect, time_point now) {
  evidence_.RecordCrash(effect.report, now);
  for (const fingerprint content : effect.report.contents) {
    crash_evidence_record record;
    record.content = content;
    record.server = effect.report.server;
    record.incarnation = effect.report.incarnation;
    cluster_->PublishCrash(record, kCrashEvidenceLifetime, now);
  }
  LogDecision("backend_server_crashed",
              {{"backend_server", ToString(effect.report.server)},
               {"incarnation", effect.report.incarnation},
               {"contents", effect.report.contents.size()}});
}

void query_service::ExecuteEffect(dispatch_decision& effect, time_point) {
  if (!SampleDecision()) return;
  boost::json::array candidates;
  for (const dispatch_candidate& candidate : effect.candidates) {
    candidates.push_back(boost::json::object{
        {"replica", candidate.replica},
        {"in_flight", candidate.in_flight},
        {"slots", candidate.slots},
        {"recent_us", candidate.recent_service_time.count()},
        {"oldest_us", candidate.oldest_age.count()},
        {"expected_us", candidate.expected_completion.count()},
        {"available", candidate.available}});
  }
  LogDecision("dispatch",
              {{"reason", ToString(effect.reason)},
               {"origin", effect.origin},
               {"request", static_cast<std::uint64_t>(effect.request)},
               {"shard", ToString(effect.shard)},
               {"replica", effect.replica},
               {"attempt", static_cast<std::uint64_t>(effect.attempt)},
               {"code", Describe(effect.code).number},
               {"queued", effect.queued},
               {"queue_wait_us", effect.queue_wait.count()},
               {"candidates", std::move(candidates)}});
}

void query_service::OnBackendOpened(connection_id connection) {
  const time_point now = Now();
  dispatcher_.OnConnectionOpened(connection, now, &dispatch_out_);
  Run(now);
}

void query_service::OnBackendClosed(connection_id connection, bool was_open) {
  const time_point now = Now();
  connections_.erase(connection);
  if (was_open) {
    dispatcher_.OnConnectionClosed(connection, now, &dispatch_out_);
  } else {
    dispatcher_.OnConnectionFailed(connection, now, &dispatch_out_);
  }
  Run(now);
}

void query_service::OnBackendReply(connection_id, attempt_id attempt,
                                   const backend_reply& reply) {
  const time_point now = Now();
  dispatcher_.OnReply(attempt, ToAttemptReply(reply), now, &dispatch_out_);
  Run(now);
}

}  // namespace bilberrycourse
