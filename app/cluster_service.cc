#include "app/cluster_service.h"

#include <boost/json.hpp>
#include <utility>

#include "app/frames.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

constexpr duration kDialPeriod = std::chrono::milliseconds(200);

instance_record SelfRecord(const settings& config, std::uint64_t incarnation) {
  instance_record record;
  record.name = config.name;
  record.incarnation = incarnation;
  record.zone = config.zone;
  record.peer_address = config.peer_advertised.ToText();
  record.http_address = config.caller_listen.ToText();
  if (config.entry) record.roles.Add(instance_role::kEntry);
  if (config.control) record.roles.Add(instance_role::kControl);
  return record;
}

membership_options MembershipOptions(const settings& config,
                                     std::uint64_t incarnation) {
  membership_options options;
  options.seed = incarnation;
  for (const socket_address& seed : config.seeds) {
    if (seed == config.peer_advertised) continue;
    options.seeds.push_back(seed.ToText());
  }
  return options;
}

gossip_options GossipOptions(std::uint64_t incarnation) {
  gossip_options options;
  options.seed = incarnation;
  return options;
}

std::string EvidenceKey(const crash_evidence_record& record) {
  return std::to_string(static_cast<std::uint64_t>(record.content)) +
         (record.success ? "/ok"
                         : "/" + ToString(record.server) + "/" +
                               std::to_string(record.incarnation));
}

std::string EncodeEvidence(const crash_evidence_record& record) {
  return boost::json::serialize(boost::json::object{
      {"content", static_cast<std::uint64_t>(record.content)},
      {"success", record.success},
      {"service", record.server.shard.service},
      {"shard", record.server.shard.shard},
      {"replica", record.server.replica},
      {"incarnation", record.incarnation},
      {"age_us", record.age.count()}});
}

bool DecodeEvidence(const std::string& value, crash_evidence_record* record) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(value, error);
  if (error || !parsed.is_object()) return false;
  try {
    record->content = fingerprint{parsed.at("content").to_number<uint64_t>()};
    record->success = parsed.at("success").as_bool();
    record->server.shard.service = parsed.at("service").as_string().c_str();
    record->server.shard.shard = parsed.at("shard").to_number<uint32_t>();
    record->server.replica = parsed.at("replica").as_string().c_str();
    record->incarnation = parsed.at("incarnation").to_number<uint64_t>();
    record->age = duration(parsed.at("age_us").to_number<int64_t>());
  } catch (const std::exception&) {
    return false;
  }
  return record->age >= duration{0};
}

}  // namespace

cluster_service::cluster_service(const settings& config,
                                 std::uint64_t incarnation,
                                 peer_transport* transport,
                                 cluster_handler* handler)
    : config_(config),
      transport_(transport),
      handler_(handler),
      members_(SelfRecord(config, incarnation),
               MembershipOptions(config, incarnation)),
      gossip_(config.name, GossipOptions(incarnation)),
      servers_(config.name, {}),
      incarnation_(incarnation) {}

void cluster_service::Start(time_point now) {
  std::vector<membership_effect> effects;
  members_.Start(now, &effects);
  Execute(std::move(effects), now);
  ExecuteEffect(view_changed{members_.view_term()}, now);
}

void cluster_service::Tick(time_point now) {
  if (now >= dial_due_) DialPeers(now);
  std::vector<membership_effect> member_effects;
  members_.Tick(now, &member_effects);
  Execute(std::move(member_effects), now);
  std::vector<backend_server_effect> server_effects;
  servers_.Tick(now, &server_effects);
  Execute(std::move(server_effects), now);
  std::vector<gossip_effect> gossip_effects;
  gossip_.Tick(now, &gossip_effects);
  Execute(std::move(gossip_effects), now);
}

void cluster_service::DialPeers(time_point now) {
  dial_due_ = now + kDialPeriod;
  for (const socket_address& seed : config_.seeds) {
    // A seed whose instance is connected needs no second link. The transport
    // closes duplicate links that can't be recognized here.
    if (seed == config_.peer_advertised) continue;
    const std::string address = seed.ToText();
    bool connected = false;
    for (const instance_record& member : members_.alive()) {
      connected = connected || (member.peer_address == address &&
                                transport_->Connected(member.name));
    }
    if (!connected) transport_->Dial(address);
  }
  for (const instance_record& member : members_.alive()) {
    if (member.name == config_.name || transport_->Connected(member.name))
      continue;
    transport_->Dial(member.peer_address);
  }
}

void cluster_service::OnPeerConnected(const instance_name& peer,
                                      time_point now) {
  for (auto message = messages_awaiting_link_.begin();
       message != messages_awaiting_link_.end();) {
    wire::membershipT payload;
    payload.payload = ToBytes(message->second);
    const bool sent = transport_->SendToAddress(message->first,
                                                MakeFrame(std::move(payload)));
    message =
        sent ? messages_awaiting_link_.erase(message) : std::next(message);
  }
  std::vector<gossip_effect> effects;
  gossip_.Synchronize(peer, now, &effects);
  Execute(std::move(effects), now);
}

void cluster_service::OnMembershipFrame(const instance_name& from,
                                        std::string_view bytes,
                                        time_point now) {
  std::vector<membership_effect> effects;
  members_.Receive(from, bytes, now, &effects);
  Execute(std::move(effects), now);
}

void cluster_service::OnGossipFrame(const instance_name& from,
                                    std::string_view bytes, time_point now) {
  std::vector<gossip_effect> effects;
  gossip_.Receive(from, bytes, now, &effects);
  Execute(std::move(effects), now);
}

result_code cluster_service::Announce(const backend_server_record& record,
                                      time_point now) {
  std::vector<backend_server_effect> effects;
  const result_code code = servers_.Announce(record, now, &effects);
  Execute(std::move(effects), now);
  return code;
}

void cluster_service::PublishCrash(const crash_evidence_record& record,
                                   duration lifetime, time_point now) {
  soft_record out;
  out.kind = record_kind::kCrashEvidence;
  out.key = EvidenceKey(record);
  out.owner = config_.name;
  out.version = {incarnation_, ++evidence_sequence_};
  out.lifetime = lifetime;
  out.value = EncodeEvidence(record);
  ExecuteEffect(publish_record{std::move(out)}, now);
}

void cluster_service::SetRecordedShards(std::vector<shard_key> shards,
                                        time_point) {
  recorded_shards_ = std::move(shards);
  UpdateOwnership();
}

void cluster_service::SetFreshness(const control_freshness& freshness,
                                   time_point now) {
  members_.SetFreshness(freshness, now);
}

void cluster_service::Leave(time_point now) {
  std::vector<membership_effect> effects;
  members_.Leave(now, &effects);
  Execute(std::move(effects), now);
}

void cluster_service::Execute(std::vector<membership_effect> effects,
                              time_point now) {
  for (const auto& effect : effects) {
    std::visit(
        [&](const auto& typed_effect) { ExecuteEffect(typed_effect, now); },
        effect);
  }
}

void cluster_service::Execute(std::vector<gossip_effect> effects,
                              time_point now) {
  for (const auto& effect : effects) {
    std::visit(
        [&](const auto& typed_effect) { ExecuteEffect(typed_effect, now); },
        effect);
  }
}

void cluster_service::Execute(std::vector<backend_server_effect> effects,
                              time_point now) {
  for (const auto& effect : effects) {
    std::visit(
        [&](const auto& typed_effect) { ExecuteEffect(typed_effect, now); },
        effect);
  }
}

void cluster_service::SendMembership(const instance_name& to,
                                     const std::string& bytes) {
  wire::membershipT payload;
  payload.payload = ToBytes(bytes);
  if (transport_->Send(to, MakeFrame(std::move(payload)))) return;
  // Dead peers are dialed as well, so that both sides reconnect after a network
  // partition.
  const instance_record* peer = members_.Find(to);
  if (peer != nullptr) transport_->Dial(peer->peer_address);
}

void cluster_service::ExecuteEffect(const membership_send& effect, time_point) {
  SendMembership(effect.to, effect.bytes);
}

void cluster_service::ExecuteEffect(const membership_send_to_address& effect,
                                    time_point) {
  wire::membershipT payload;
  payload.payload = ToBytes(effect.bytes);
  if (transport_->SendToAddress(effect.address,
                                MakeFrame(std::move(payload)))) {
    return;
  }
  messages_awaiting_link_[effect.address] = effect.bytes;
  transport_->Dial(effect.address);
}

void cluster_service::ExecuteEffect(const instance_changed& effect,
                                    time_point) {
  LogEvent(log_level::kInfo, "instance_changed",
           {{"peer", effect.record.name},
            {"status", Name(effect.status)},
            {"incarnation", effect.record.incarnation},
            {"availability_zone", effect.record.zone}});
  if (effect.status == instance_status::kAlive &&
      !transport_->Connected(effect.record.name)) {
    // Dial now, so that the handshake does not count towards a probe's timeout.
    transport_->Dial(effect.record.peer_address);
  }
}

void cluster_service::ExecuteEffect(const view_changed&, time_point now) {
  std::vector<instance_name> names;
  for (const instance_record& member : members_.alive()) {
    names.push_back(member.name);
  }
  gossip_.SetPeers(names);
  std::vector<backend_server_effect> effects;
  servers_.SetAliveInstances(std::move(names), now, &effects);
  Execute(std::move(effects), now);
  UpdateOwnership();
}

void cluster_service::ExecuteEffect(const freshness_received& effect,
                                    time_point) {
  handler_->OnFreshness(effect);
}

void cluster_service::ExecuteEffect(const synchronize_with& effect,
                                    time_point now) {
  std::vector<gossip_effect> effects;
  gossip_.Synchronize(effect.peer, now, &effects);
  Execute(std::move(effects), now);
}

void cluster_service::ExecuteEffect(const withdraw_record& effect, time_point) {
  gossip_.Withdraw(record_kind::kInstance, effect.name);
}

void cluster_service::ExecuteEffect(const declared_dead& effect, time_point) {
  LogEvent(log_level::kWarning, "declared_dead",
           {{"by", effect.by}, {"incarnation", effect.incarnation}});
}

void cluster_service::ExecuteEffect(const publish_record& effect,
                                    time_point now) {
  std::vector<gossip_effect> effects;
  gossip_.Publish(effect.record, now, &effects);
  Execute(std::move(effects), now);
}

void cluster_service::ExecuteEffect(const gossip_send& effect, time_point) {
  wire::gossipT payload;
  payload.payload = ToBytes(effect.bytes);
  transport_->Send(effect.to, MakeFrame(std::move(payload)));
}

void cluster_service::ExecuteEffect(const record_changed& effect,
                                    time_point now) {
  switch (effect.record.kind) {
    case record_kind::kInstance: {
      std::vector<membership_effect> effects;
      members_.Merge(effect.record, effect.expired, now, &effects);
      return Execute(std::move(effects), now);
    }
    case record_kind::kBackendServer: {
      if (effect.expired) return;
      std::vector<backend_server_effect> effects;
      servers_.Merge(effect.record, now, &effects);
      return Execute(std::move(effects), now);
    }
    case record_kind::kCrashEvidence: {
      crash_evidence_record record;
      if (effect.expired || effect.record.deleted) return;
      if (DecodeEvidence(effect.record.value, &record)) {
        handler_->OnCrashEvidence(record);
      }
      return;
    }
  }
}

void cluster_service::ExecuteEffect(const backend_server_changed& effect,
                                    time_point) {
  const backend_server_record& record = effect.record;
  LogEvent(log_level::kInfo, "backend_server_changed",
           {{"backend_server", ToString(record.key)},
            {"state", static_cast<int>(record.state)},
            {"incarnation", record.incarnation},
            {"sequence", record.sequence},
            {"address", record.address},
            {"registrar", record.registrar}});
  handler_->OnBackendServer(record);
  if (announced_shards_.insert(record.key.shard).second) UpdateOwnership();
}

void cluster_service::UpdateOwnership() {
  std::vector<shard_key> shards = recorded_shards_;
  shards.insert(shards.end(), announced_shards_.begin(),
                announced_shards_.end());
  const bool instances_changed =
      ownership_.SetInstances(members_.AliveWithRole(instance_role::kEntry));
  const bool shards_changed = ownership_.SetShards(std::move(shards));
  if (instances_changed || shards_changed) handler_->OnOwnership();
}

}  // namespace bilberrycourse
