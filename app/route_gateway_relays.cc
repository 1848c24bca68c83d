#include <algorithm>
#include <set>
#include <utility>

#include "app/crash_frames.h"
#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"
#include "app/limit_frames.h"
#include "app/quota_frames.h"
#include "app/route_gateway.h"

// The relay functions of route_gateway. For a request over many shards, the
// origin lets other entry instances (relays) search groups of the shards. Every
// entry instance is an origin for its own requests and a relay for others.

namespace bilberrycourse {
namespace {

// A relay that did not report in time is not used for this long.
constexpr duration kSilentRelayPause = std::chrono::seconds(3);
// A relay that shuts down is not used before it connects again. The limit
// applies if its shutdown takes unusually long.
constexpr duration kLeavingRelayPause = std::chrono::seconds(30);
// Searchers change in bursts, when all of them start or a release runs.
constexpr duration kMinRelayUpdatePeriod = std::chrono::seconds(2);

duration FromMicros(std::uint64_t micros) {
  constexpr std::uint64_t kDay = 24ULL * 3600 * 1'000'000;
  return duration(static_cast<duration::rep>(std::min(micros, kDay)));
}

std::uint64_t ToMicros(duration value) {
  return static_cast<std::uint64_t>(std::max<duration::rep>(value.count(), 0));
}

// Memory of a request while this instance runs it.
std::uint64_t RelayedBytes(const wire::relay_request& request) {
  std::uint64_t bytes = request.body() == nullptr ? 0 : request.body()->size();
  if (request.headers() == nullptr) return bytes;
  for (const wire::forwarded_header* header : *request.headers()) {
    bytes += sizeof(header_list::value_type) + ToText(header->name()).size() +
             ToText(header->value()).size();
  }
  return bytes;
}

searcher_reply_pointer FromWire(const wire::forwarded_reply& forwarded) {
  auto reply = std::make_shared<searcher_reply>();
  reply->status = forwarded.status();
  reply->stamp = ToText(forwarded.stamp());
  if (forwarded.headers() != nullptr) {
    for (const wire::forwarded_header* header : *forwarded.headers()) {
      reply->headers.emplace_back(ToText(header->name()),
                                  ToText(header->value()));
    }
  }
  reply->body = ToText(forwarded.body());
  return reply;
}

std::unique_ptr<wire::forwarded_replyT> ToWire(const searcher_reply& reply) {
  auto out = std::make_unique<wire::forwarded_replyT>();
  out->status = reply.status;
  out->stamp = reply.stamp;
  for (const auto& [name, value] : reply.headers) {
    auto header = std::make_unique<wire::forwarded_headerT>();
    header->name = name;
    header->value = value;
    out->headers.push_back(std::move(header));
  }
  out->body = ToBytes(reply.body);
  return out;
}

shard_report FromWire(const wire::relay_result& result) {
  shard_report report;
  if (result.answered() != nullptr) {
    report.answered.assign(result.answered()->begin(),
                           result.answered()->end());
  }
  if (result.stamps() != nullptr) {
    for (const flatbuffers::String* stamp : *result.stamps()) {
      report.stamps.push_back(ToText(stamp));
    }
  }
  report.body = ToText(result.body());
  if (result.failed() != nullptr && result.codes() != nullptr) {
    const std::size_t count =
        std::min(result.failed()->size(), result.codes()->size());
    for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
      const bool not_run = result.not_run() != nullptr &&
                           i < result.not_run()->size() &&
                           result.not_run()->Get(i) != 0;
      report.failed.push_back({result.failed()->Get(i),
                               ResultCodeFromNumber(result.codes()->Get(i)),
                               not_run});
    }
  }
  if (result.reply() != nullptr) report.reply = FromWire(*result.reply());
  report.attempts = result.attempts();
  report.hedges = result.hedges();
  report.final = result.final();
  return report;
}

}  // namespace

void route_gateway::SetEntryInstances(
    const std::vector<entry_instance>& entries, time_point now) {
  plan_.SetInstances(entries);
  fallback_peers_.SetInstances(entries);
  UpdateRelays(now);
  UpdateFallbackRelays(now);
}

// Relays of the plan, and the fallback relays while they are wanted.
std::vector<entry_instance> route_gateway::Relays(time_point now) const {
  std::vector<entry_instance> relays = relays_;
  for (entry_instance& peer : fallback_peers_.Targets(now)) {
    if (std::find(relays.begin(), relays.end(), peer) == relays.end()) {
      relays.push_back(std::move(peer));
    }
  }
  return relays;
}

bool route_gateway::Responsive(const instance_name& relay,
                               time_point now) const {
  const auto silent = silent_until_.find(relay);
  return (silent == silent_until_.end() || now >= silent->second) &&
         !fallback_peers_.Isolated(relay, now) && transport_->Connected(relay);
}

void route_gateway::UpdateFallbackRelays(time_point now) {
  // A request with a key may go to any of them.
  const bool checks_accounts = authenticator_.strict() && table_ != nullptr &&
                               !table_->accounts().empty();
  engine_.SetFallbackRelays(fallback_peers_.Usable(
      [&](const instance_name& peer) {
        return Responsive(peer, now) &&
               (!checks_accounts || account_checkers_.contains(peer));
      },
      now));
}

void route_gateway::SetRelayChecksAccounts(const instance_name& peer,
                                           bool checks) {
  if (checks) {
    account_checkers_.insert(peer);
  } else {
    account_checkers_.erase(peer);
  }
  UpdateFallbackRelays(Now());
}

void route_gateway::OnRelayState(const instance_name& peer, bool accepts_single,
                                 bool isolated, time_point now) {
  const bool was_isolated = fallback_peers_.Isolated(peer, now);
  fallback_peers_.SetState(peer, accepts_single, isolated);
  UpdateFallbackRelays(now);
  // Requests may have waited for the link.
  route_effects effects;
  Execute(&effects);
  if (isolated != was_isolated) {
    LogEvent(log_level::kInfo, "relay_state",
             {{"relay", peer}, {"isolated", isolated}});
    // Another target takes its place.
    if (relays_changed_) relays_changed_();
  }
}

void route_gateway::RefreshRelays(time_point now) {
  UpdateFallbackRelays(now);
  if (!searchers_changed_ || now < relays_due_ || table_ == nullptr) return;
  searchers_changed_ = false;
  relays_due_ = now + kMinRelayUpdatePeriod;
  const bool changed = std::any_of(
      table_->config().routes.begin(), table_->config().routes.end(),
      [&](const route& configured_route) {
        const std::vector<std::string>& shards = configured_route.shards;
        return !shards.empty() &&
               plan_.ReplicasMoved(shards, engine_.ReplicaZones(shards));
      });
  if (changed) UpdateRelays(now);
}

// Collects the relays of all routes, so that links to them are kept, and
// sets how many instances use each shard, which is fewer with relays.
void route_gateway::UpdateRelays(time_point now) {
  searchers_changed_ = false;
  relays_due_ = now + kMinRelayUpdatePeriod;
  relays_.clear();
  if (table_ == nullptr) return;
  std::set<instance_name> names;
  for (const route& configured_route : table_->config().routes) {
    const std::vector<std::string>& shards = configured_route.shards;
    if (shards.empty()) continue;
    if (plan_.SetReplicaZones(shards, engine_.ReplicaZones(shards))) {
      LogRelays(configured_route);
    }
    const std::uint32_t sharing_instances =
        plan_.UsesRelays(shards.size()) ? plan_.InstancesPerShard(shards) : 0;
    for (const std::string& shard : shards) {
      engine_.SetSharingInstances(shard, sharing_instances);
    }
    for (entry_instance& relay : plan_.Relays(shards)) {
      if (names.insert(relay.name).second) relays_.push_back(std::move(relay));
    }
  }
}

// Logs how many shards the relays of each zone search.
void route_gateway::LogRelays(const route& configured_route) {
  boost::json::object shards_by_zone;
  for (const auto& [zone, groups] : plan_.Groups(configured_route.shards)) {
    std::size_t shards = 0;
    for (const relay_group& group : groups) shards += group.parts.size();
    shards_by_zone[zone] = shards;
  }
  LogDecision("relays_assigned", {{"route", configured_route.name},
                                  {"shards_by_zone", shards_by_zone}});
}

// Returns the groups whose relays can be reached. The origin searches the other
// groups itself.
std::vector<relay_group> route_gateway::ReachableGroups(
    const route& matched_route, bool checks_accounts, time_point now) {
  if (matched_route.shards.empty()) return {};
  return plan_.UsableGroups(
      matched_route.shards, [&](const instance_name& relay) {
        return Responsive(relay, now) &&
               (!checks_accounts || account_checkers_.contains(relay));
      });
}

bool route_gateway::OnPeerFrame(const instance_name& peer,
                                const wire::peer_frame& frame, time_point now) {
  if (const auto* request = frame.payload_as_relay_request()) {
    OnRelayRequest(peer, *request, now);
    return true;
  }
  if (const auto* result = frame.payload_as_relay_result()) {
    OnRelayResult(peer, *result, now);
    return true;
  }
  if (const auto* cancel = frame.payload_as_relay_cancel()) {
    OnRelayCancel(peer, *cancel, now);
    return true;
  }
  if (const auto* reply = frame.payload_as_limit_reply()) {
    OnLimitReply(FromWire(*reply), now);
    return true;
  }
  if (const auto* reply = frame.payload_as_quota_reply()) {
    OnQuotaReply(FromWire(*reply), now);
    return true;
  }
  if (const auto* evidence = frame.payload_as_crash_records()) {
    OnCrashEvidence(FromWire(*evidence), now);
    return true;
  }
  return false;
}

void route_gateway::OnRelayLeaving(const instance_name& peer, time_point now) {
  silent_until_[peer] = now + kLeavingRelayPause;
  UpdateFallbackRelays(now);
  LogEvent(log_level::kInfo, "relay_leaving", {{"relay", peer}});
}

void route_gateway::OnPeerConnected(const instance_name& peer) {
  // The relay has restarted, or was only cut off.
  silent_until_.erase(peer);
  UpdateFallbackRelays(Now());
}

void route_gateway::OnPeerDisconnected(const instance_name& peer,
                                       time_point now) {
  fallback_peers_.OnDisconnected(peer, now);
  // After the loss of a link that was replaced, the peer's hello has arrived on
  // the other link and is not sent again.
  if (!transport_->Connected(peer)) account_checkers_.erase(peer);
  UpdateFallbackRelays(now);
  route_effects effects;
  engine_.OnRelayLost(peer, now, &effects);
  std::erase_if(relayed_groups_,
                [&](const auto& entry) { return entry.second.relay == peer; });
  // The origin's callers have lost their connections, so nothing waits for the
  // requests that it relayed here.
  std::vector<std::pair<instance_name, std::uint64_t>> orphaned_keys;
  for (const auto& [key, id] : served_requests_) {
    if (key.first == peer) orphaned_keys.push_back(key);
  }
  for (const auto& key : orphaned_keys) {
    const route_request_id id = served_requests_.at(key);
    served_requests_.erase(key);
    engine_.Cancel(id, now, &effects);
    calls_.erase(id);
  }
  Execute(&effects);
}

void route_gateway::ExecuteEffect(send_to_relay& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  const call_state& call = found->second;
  if (effect.fallback && retry_log_limiter_.Allow(Now())) {
    LogDecision("request_delegated",
                {{"request", call.forwarded.request_id},
                 {"relay", effect.relay},
                 {"shards", effect.shards.size()},
                 {"isolated", engine_.isolated()},
                 {"remaining_ms", effect.time_left.count() / 1000},
                 {"left_out", retry_log_limiter_.TakeSuppressedCount()}});
  }
  wire::relay_requestT request;
  request.relay_id = next_relay_id_++;
  request.route = call.matched_route->name;
  request.request_id = call.forwarded.request_id;
  request.method = call.forwarded.method;
  request.target = call.forwarded.target;
  request.host = call.forwarded.host;
  for (const auto& [name, value] : *call.forwarded.headers) {
    auto header = std::make_unique<wire::forwarded_headerT>();
    header->name = name;
    header->value = value;
    request.headers.push_back(std::move(header));
  }
  if (call.forwarded.body != nullptr) {
    request.body = ToBytes(*call.forwarded.body);
  }
  request.shards = std::move(effect.shards);
  request.top_records = call.matched_route->top_records;
  request.max_attempts = effect.max_attempts;
  request.priority = call.priority();
  if (call.account != nullptr) request.account = call.account->name;
  request.account_key = call.key_digest;
  request.objective_us = ToMicros(call.matched_route->latency_objective);
  request.answer_in_us = ToMicros(effect.answer_in);
  request.time_left_us = ToMicros(effect.time_left);
  request.single = effect.single;
  request.idempotent = call.matched_route->idempotent;
  relayed_groups_[request.relay_id] = {effect.request, effect.group,
                                       effect.relay};
  transport_->Send(effect.relay, MakeFrame(std::move(request)));
}

void route_gateway::ExecuteEffect(cancel_at_relay& effect) {
  for (auto entry = relayed_groups_.begin(); entry != relayed_groups_.end();
       ++entry) {
    if (entry->second.request != effect.request ||
        entry->second.group != effect.group) {
      continue;
    }
    wire::relay_cancelT cancel;
    cancel.relay_id = entry->first;
    cancel.caller_left = effect.caller_left;
    transport_->Send(effect.relay, MakeFrame(std::move(cancel)));
    relayed_groups_.erase(entry);
    return;
  }
}

void route_gateway::ExecuteEffect(relay_silent& effect) {
  silent_until_[effect.relay] = Now() + kSilentRelayPause;
  // The relay may be slow, or the link may have fallen silent.
  transport_->Probe(effect.relay);
  UpdateFallbackRelays(Now());
  LogEvent(log_level::kWarning, "relay_silent", {{"relay", effect.relay}});
}

void route_gateway::ExecuteEffect(relay_report_refused& effect) {
  if (!report_log_limiter_.Allow(Now())) return;
  LogEvent(log_level::kWarning, "relay_report_refused",
           {{"relay", effect.relay},
            {"problem", effect.problem},
            {"left_out", report_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::OnRelayRequest(const instance_name& peer,
                                   const wire::relay_request& request,
                                   time_point now) {
  if (request.shards() == nullptr || request.shards()->size() == 0) return;
  if (table_ == nullptr) {
    return RejectRelayRequest(peer, request, result_code::kControlLeaseExpired);
  }
  const authentication sender = CheckRelayed(request, now);
  if (sender.code != result_code::kOk) {
    ++account_counters_.relay_refusals;
    return RejectRelayRequest(peer, request, sender.code);
  }
  auto memory = std::make_unique<memory_holder>(&relayed_budget_, [] {});
  if (!memory->Resize(RelayedBytes(request))) {
    // Instances of earlier versions do not know kMemoryExhausted.
    return RejectRelayRequest(peer, request, result_code::kOverloaded);
  }
  memory->SetReclaimable(false);
  auto relay_route = std::make_shared<route>();
  relay_route->name = ToText(request.route());
  relay_route->idempotent = !request.single() || request.idempotent();
  relay_route->latency_objective = FromMicros(request.objective_us());
  relay_route->timeout = FromMicros(request.time_left_us());
  relay_route->max_attempts = std::max(request.max_attempts(), 1u);
  relay_route->top_records = request.top_records();
  relay_route->priority = request.priority();
  if (request.single()) {
    relay_route->backends.push_back({ToText(request.shards()->Get(0)), 1});
  } else {
    for (const flatbuffers::String* shard : *request.shards()) {
      relay_route->shards.push_back(ToText(shard));
    }
  }
  const route_request_id id{next_request_++};
  call_state& state = calls_[id];
  state.relay_route = relay_route;
  state.relayed_memory = std::move(memory);
  state.matched_route = relay_route.get();
  state.table = table_;
  state.origin = peer;
  state.relay_id = request.relay_id();
  state.forwarded.method = ToText(request.method());
  state.forwarded.target = ToText(request.target());
  state.forwarded.host = ToText(request.host());
  state.forwarded.request_id = ToText(request.request_id());
  header_list headers;
  if (request.headers() != nullptr) {
    for (const wire::forwarded_header* header : *request.headers()) {
      headers.emplace_back(ToText(header->name()), ToText(header->value()));
    }
  }
  // An origin of an earlier version has not removed the caller's own fields.
  state.forwarded.headers =
      ForwardedHeaders(headers, *table_, ToText(request.account()));
  if (request.body() != nullptr && request.body()->size() > 0) {
    state.forwarded.body =
        std::make_shared<const std::string>(ToText(request.body()));
  }
  served_requests_[{peer, request.relay_id()}] = id;
  route_call call;
  call.id = id;
  call.table = table_;
  call.matched_route = relay_route.get();
  call.relay_route = relay_route;
  call.content = ContentOf(state.forwarded);
  call.sent_at = now;
  call.time_left = FromMicros(request.time_left_us());
  call.answer_at = now + FromMicros(request.answer_in_us());
  if (sender.last_start.has_value()) call.EndBy(*sender.last_start, now);
  route_effects effects;
  engine_.Begin(std::move(call), now, &effects);
  Execute(&effects);
}

// What is not run here, the origin must learn at once.
void route_gateway::RejectRelayRequest(const instance_name& peer,
                                       const wire::relay_request& request,
                                       result_code code) {
  wire::relay_resultT result;
  result.relay_id = request.relay_id();
  for (flatbuffers::uoffset_t i = 0; i < request.shards()->size(); ++i) {
    result.failed.push_back(static_cast<std::uint16_t>(i));
    result.codes.push_back(Describe(code).number);
    result.not_run.push_back(true);
  }
  result.final = true;
  transport_->Send(peer, MakeFrame(std::move(result)));
}

void route_gateway::ExecuteEffect(isolation_changed& effect) {
  LogEvent(log_level::kWarning, "isolation_changed",
           {{"isolated", effect.isolated},
            {"searchers", engine_.pool().size()},
            {"connections", client_.connections()}});
  if (relays_changed_) relays_changed_();
}

void route_gateway::ExecuteEffect(fallback_wanted&) {
  const time_point now = Now();
  if (!fallback_peers_.Want(now)) return;
  UpdateFallbackRelays(now);
  if (relays_changed_) relays_changed_();
}

void route_gateway::ExecuteEffect(route_progress& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  const call_state& call = found->second;
  const shard_report& report = effect.report;
  wire::relay_resultT result;
  result.relay_id = call.relay_id;
  result.answered.assign(report.answered.begin(), report.answered.end());
  result.stamps = report.stamps;
  result.body = ToBytes(report.body);
  for (const failed_shard& failure : report.failed) {
    result.failed.push_back(static_cast<std::uint16_t>(failure.position));
    result.codes.push_back(Describe(failure.code).number);
    result.not_run.push_back(failure.not_run);
  }
  if (report.reply != nullptr) result.reply = ToWire(*report.reply);
  result.attempts = report.attempts;
  result.hedges = report.hedges;
  result.final = report.final;
  transport_->Send(call.origin, MakeFrame(std::move(result)));
  if (!report.final) return;
  served_requests_.erase({call.origin, call.relay_id});
  calls_.erase(found);
}

void route_gateway::OnRelayResult(const instance_name& peer,
                                  const wire::relay_result& result,
                                  time_point now) {
  const auto found = relayed_groups_.find(result.relay_id());
  if (found == relayed_groups_.end() || found->second.relay != peer) return;
  const relayed_group group = found->second;
  if (result.final()) relayed_groups_.erase(found);
  route_effects effects;
  engine_.OnRelayReport(group.request, group.group, FromWire(result), now,
                        &effects);
  Execute(&effects);
}

void route_gateway::OnRelayCancel(const instance_name& peer,
                                  const wire::relay_cancel& cancel,
                                  time_point now) {
  const auto found = served_requests_.find({peer, cancel.relay_id()});
  if (found == served_requests_.end()) return;
  const route_request_id id = found->second;
  served_requests_.erase(found);
  route_effects effects;
  if (cancel.caller_left()) {
    engine_.Cancel(id, now, &effects);
  } else {
    engine_.Abandon(id);
  }
  calls_.erase(id);
  Execute(&effects);
}

}  // namespace bilberrycourse
