#include "app/control_service.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <charconv>
#include <utility>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"
#include "bilberrycourse/consensus_codec.h"

namespace bilberrycourse {
namespace {

constexpr std::size_t kWallClockBytes = 8;
// Oldest confirmation with which an instance takes its first routes.
constexpr duration kMaxFirstRoutesAge = std::chrono::milliseconds(1200);
constexpr duration kRepairPeriod = std::chrono::milliseconds(100);
// With the routed interface a spare replaces a member that has been silent for
// this long. A replaced instance counts as lost until its successor has joined,
// and a second one may be lost seconds later.
constexpr duration kRoutesMemberLostAfter = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxHistoryEntries = 200;
// The room on the disk is asked for after each write and this often.
constexpr duration kRoomCheckPeriod = std::chrono::milliseconds(250);

// A log payload is the leader's wall clock followed by the command, so that
// every member expires records at the same entry.
shared_body WrapCommand(wall_time_ms now, const std::string& command) {
  auto payload = std::make_shared<std::string>();
  payload->reserve(kWallClockBytes + command.size());
  const std::int64_t wire = boost::endian::native_to_little(now);
  payload->append(reinterpret_cast<const char*>(&wire), kWallClockBytes);
  payload->append(command);
  return payload;
}

std::vector<control_instance> ControlInstances(const settings& config) {
  std::vector<control_instance> instances;
  for (const instance_name& name : config.initial_members) {
    instances.push_back({name, "", true});
  }
  if (config.interface == serving_interface::kRoutes) {
    for (control_instance& member : instances) {
      member.address = SeedAddress(config, member.instance);
    }
  }
  for (const instance_name& name : config.spares) {
    instances.push_back({name, "", false});
  }
  return instances;
}

}  // namespace

control_service::control_service(boost::asio::any_io_executor executor,
                                 const settings& config,
                                 peer_transport* transport)
    : executor_(std::move(executor)),
      config_(config),
      transport_(transport),
      alive_(std::make_shared<control_service*>(this)) {}

control_service::~control_service() {
  *alive_ = nullptr;
  store_.reset();
}

void control_service::Start(time_point now) { Open(now); }

void control_service::StartMember(recovered_log log, time_point now) {
  consensus_settings options;
  options.address = config_.peer_advertised.ToText();
  options.instances = ControlInstances(config_);
  options.may_form_group = config_.bootstrap;
  // Differs between members and between starts, so that election timeouts do
  // not collide repeatedly.
  options.seed = static_cast<std::uint64_t>(log.identity.id) ^
                 static_cast<std::uint64_t>(now.time_since_epoch().count());
  member_ = std::make_unique<consensus_member>(std::move(options),
                                               std::move(log), now);
  repair_options repair;
  repair.voters = config_.initial_members.size();
  if (config_.interface == serving_interface::kRoutes) {
    repair.lost_after = kRoutesMemberLostAfter;
    repair.voters = std::max<std::size_t>(repair.voters, config_.voters);
  }
  repair_ = std::make_unique<member_repair>(repair);
}

void control_service::OnSeedsChanged() {
  if (member_ != nullptr) {
    member_->SetDiscoveryTargets(ControlInstances(config_));
  }
}

void control_service::Tick(time_point now) {
  if (reopen_at_.has_value() && now >= *reopen_at_) {
    reopen_at_.reset();
    LogEvent(log_level::kWarning, "folder_reopened",
             {{"set_aside", folder_unusable_}});
    Open(now);
  }
  if (member_ == nullptr) return;
  if (now >= room_check_due_) {
    room_check_due_ = now + kRoomCheckPeriod;
    CheckRoom();
    RemoveSetAsideIfVoter();
  }
  consensus_effects effects;
  member_->Tick(now, &effects);
  Execute(std::move(effects));
  Repair(now);
}

void control_service::OnConsensusFrame(std::string_view bytes, time_point now) {
  if (member_ == nullptr) return;
  const auto message = DecodeMessage(bytes);
  if (!message.has_value()) return;
  consensus_effects effects;
  member_->Step(*message, now, &effects);
  Execute(std::move(effects));
}

void control_service::Propose(const std::string& command,
                              control_callback callback) {
  if (member_ == nullptr) return callback({stop_code_, "", ""});
  const time_point now = Now();
  if (leads() && !room_.Fits(command.size())) {
    return RefuseForRoom(now, callback);
  }
  consensus_effects effects;
  const proposal_result proposal =
      member_->Propose(WrapCommand(WallNow(), command), now, &effects);
  if (proposal.code != result_code::kOk) {
    callback({proposal.code, "", leader()});
  } else {
    proposals_[proposal.index] = {proposal.term, std::move(callback)};
  }
  Execute(std::move(effects));
}

void control_service::FailProposals() {
  const auto proposals = std::move(proposals_);
  proposals_.clear();
  for (const auto& [index, pending] : proposals) {
    pending.callback({result_code::kProposalLost, "", ""});
  }
}

void control_service::Read(const std::string& view, const std::string& argument,
                           control_callback callback) {
  if (member_ == nullptr) return callback({stop_code_, "", ""});
  consensus_effects effects;
  const std::uint64_t token = next_read_++;
  reads_[token] = {view, argument, std::move(callback)};
  const result_code code = member_->ReadBarrier(token, Now(), &effects);
  if (code != result_code::kOk) {
    const auto found = reads_.find(token);
    const control_callback rejected = std::move(found->second.callback);
    reads_.erase(found);
    rejected({code, "", leader()});
  }
  Execute(std::move(effects));
}

std::vector<log_member> control_service::Group() const {
  if (member_ == nullptr) return {};
  const bool outside =
      member_->membership().members.empty() || member_->removed();
  return outside ? member_->known_group() : member_->membership().members;
}

control_poll_reply control_service::AnswerPoll(const known_versions& known,
                                               time_point now) const {
  control_poll_reply reply;
  reply.leader = leader();
  if (member_ == nullptr) return reply;
  const auto age = member_->confirmation_age(now);
  if (known.routed) {
    reply.routes = RouteUpdate(known, age);
    reply.group = Group();
  }
  reply.confirmed = age.has_value();
  reply.age = age.value_or(duration{0});
  reply.published_version = state_.published_version();
  if (reply.published_version > known.published_version) {
    if (published_cache_version_ != reply.published_version) {
      published_cache_ = state_.SavePublished();
      published_cache_version_ = reply.published_version;
    }
    reply.state = published_cache_;
  }
  return reply;
}

// An instance without routes takes only confirmed ones, so it gets no others:
// after a loss of power all entry instances ask several times a second, and
// each list of all searchers costs milliseconds that the election needs. They
// all ask for the same list, so it is kept.
std::string control_service::RouteUpdate(
    const known_versions& known, const std::optional<duration>& age) const {
  const bool nothing_known = known.route_version == 0 &&
                             known.searcher_revision == 0 &&
                             known.evacuation_version.value_or(0) == 0;
  if (!nothing_known) {
    return state_.SaveRouteUpdate(known.route_version, known.searcher_revision,
                                  known.evacuation_version);
  }
  if (!age.has_value() || *age > kMaxFirstRoutesAge) return {};
  const known_versions current{
      0, known.evacuation_version.has_value(), state_.routes().version,
      state_.searchers().revision(), state_.evacuations().version};
  if (whole_update_.empty() || current != whole_update_versions_) {
    whole_update_ = state_.SaveRouteUpdate(0, 0, known.evacuation_version);
    whole_update_versions_ = current;
  }
  return whole_update_;
}

bool control_service::leads() const {
  return member_ != nullptr && member_->role() == consensus_role::kLeader;
}

instance_name control_service::leader() const {
  return member_ == nullptr ? instance_name() : member_->leader_instance();
}

boost::json::object control_service::Describe(time_point now) const {
  boost::json::object out;
  if (member_ == nullptr) {
    out["role"] = ToString(consensus_role::kStopped);
    out["code"] = bilberrycourse::Describe(stop_code_).number;
    out["reason"] = stop_reason_;
    return out;
  }
  const auto age = member_->confirmation_age(now);
  out["role"] = ToString(member_->role());
  out["member"] = static_cast<std::uint64_t>(member_->identity().id);
  out["term"] = member_->term();
  out["leader"] = leader();
  out["commit_index"] = member_->commit_index();
  out["snapshot_index"] = member_->snapshot_index();
  out["quorum_age_ms"] =
      age ? boost::json::value(age->count() / 1000) : boost::json::value();
  boost::json::array members;
  for (const log_member& member : member_->membership().members) {
    members.push_back(
        boost::json::object{{"member", static_cast<std::uint64_t>(member.id)},
                            {"instance", member.instance},
                            {"voter", member.role == member_role::kVoter}});
  }
  out["members"] = std::move(members);
  if (member_->stop_code() != result_code::kOk) {
    out["code"] = bilberrycourse::Describe(member_->stop_code()).number;
    out["reason"] = member_->stop_reason();
  }
  return out;
}

void control_service::OnPeerConnected(time_point now) {
  if (member_ == nullptr) return;
  const group_membership& membership = member_->membership();
  const auto linked = static_cast<std::size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [&](const log_member& member) {
                      return member.role == member_role::kVoter &&
                             (member.id == member_->identity().id ||
                              transport_->Connected(member.instance));
                    }));
  if (2 * linked > membership.voter_count()) member_->OnMajorityLinked(now);
}

void control_service::TransferLeadership(time_point now) {
  if (!leads()) return;
  consensus_effects effects;
  member_->TransferLeadership(now, &effects);
  Execute(std::move(effects));
}

void control_service::Leave(time_point now) {
  if (member_ == nullptr) return;
  consensus_effects effects;
  member_->Leave(now, &effects);
  Execute(std::move(effects));
}

bool control_service::HandoverPending(time_point now) const {
  if (member_ == nullptr) return false;
  const repair_options& repair = repair_->options();
  return member_->HandoverPending(repair.voters, repair.alive_within, now);
}

void control_service::Execute(consensus_effects effects) {
  for (consensus_effect& effect : effects) {
    std::visit([this](auto& concrete) { ExecuteEffect(concrete); }, effect);
  }
  CompactIfDue();
}

void control_service::ExecuteEffect(send_message_effect& effect) {
  wire::consensusT payload;
  payload.payload = ToBytes(EncodeMessage(effect.message));
  transport_->Send(effect.to, MakeFrame(std::move(payload)));
}

void control_service::ExecuteEffect(apply_entry_effect& effect) {
  control_outcome outcome;
  outcome.code = result_code::kInternal;
  const log_entry& entry = effect.entry;
  if (entry.kind == entry_kind::kCommand && entry.payload != nullptr &&
      entry.payload->size() >= kWallClockBytes) {
    const auto wall = boost::endian::load_little_s64(
        reinterpret_cast<const unsigned char*>(entry.payload->data()));
    outcome =
        state_.Apply(entry.index, wall,
                     std::string_view(*entry.payload).substr(kWallClockBytes));
  }
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) return;
  const pending_proposal pending = std::move(found->second);
  proposals_.erase(found);
  if (pending.term != entry.term) {
    return pending.callback({result_code::kProposalLost, "", leader()});
  }
  pending.callback({result_code::kOk, EncodeOutcome(outcome), leader()});
}

void control_service::ExecuteEffect(restore_snapshot_effect& effect) {
  if (effect.snapshot.state == nullptr ||
      !state_.LoadSnapshot(*effect.snapshot.state)) {
    return Stop(result_code::kLogDamaged,
                "a log snapshot of the leader does not decode");
  }
  // The outcome of proposals that the snapshot covers is unknown here.
  while (!proposals_.empty() &&
         proposals_.begin()->first <= effect.snapshot.index) {
    const control_callback callback =
        std::move(proposals_.begin()->second.callback);
    proposals_.erase(proposals_.begin());
    callback({result_code::kProposalLost, "", leader()});
  }
}

void control_service::ExecuteEffect(read_ready_effect& effect) {
  const auto found = reads_.find(effect.token);
  if (found == reads_.end()) return;
  const pending_read pending = std::move(found->second);
  reads_.erase(found);
  if (effect.code != result_code::kOk) {
    return pending.callback({effect.code, "", leader()});
  }
  const std::string body = View(pending.view, pending.argument);
  pending.callback({result_code::kOk, body, leader()});
}

void control_service::ExecuteEffect(role_changed_effect& effect) {
  LogEvent(log_level::kInfo, "control_role",
           {{"role", ToString(effect.role)},
            {"term", effect.term},
            {"leader", leader()}});
}

void control_service::ExecuteEffect(stopped_effect& effect) {
  LogEvent(log_level::kError, "control_stopped",
           {{"code", bilberrycourse::Describe(effect.code).number},
            {"reason", effect.reason},
            {"log_bytes", log_bytes()},
            {"disk_room", files_->Room().value_or(0)}});
  FailProposals();
  ScheduleReopen(effect.code, Now());
}

void control_service::Repair(time_point now) {
  if (!leads() || now < repair_due_) return;
  repair_due_ = now + kRepairPeriod;
  const auto change = repair_->Plan(MakeRepairView(*member_, now));
  if (!change.has_value()) return;
  consensus_effects effects;
  const proposal_result proposal =
      member_->ProposeMembership(*change, now, &effects);
  LogEvent(log_level::kInfo, "member_repair",
           {{"change", static_cast<int>(change->kind)},
            {"member", static_cast<std::uint64_t>(change->member.id)},
            {"member_instance", change->member.instance},
            {"code", bilberrycourse::Describe(proposal.code).number}});
  Execute(std::move(effects));
}

std::string control_service::View(const std::string& view,
                                  const std::string& argument) const {
  if (view == "config") return state_.ConfigView();
  if (view == "routes") return state_.routes().document;
  if (view == "history") return state_.HistoryView(kMaxHistoryEntries);
  if (view == "exceptions") return state_.ExceptionsView(WallNow());
  if (view == "request") return RequestView(argument);
  if (view == "zone_orders") return state_.ZoneOrdersView(argument);
  if (view == "group") return boost::json::serialize(Describe(Now()));
  if (view == "requests") {
    wall_time_ms since = 0;
    std::from_chars(argument.data(), argument.data() + argument.size(), since);
    return state_.RequestsView(since, WallNow());
  }
  return "{}";
}

std::optional<request_key> ParseRequestKey(const std::string& argument) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(argument, error);
  if (error || !parsed.is_array() || parsed.get_array().size() != 2) {
    return std::nullopt;
  }
  const auto& pair = parsed.get_array();
  if (!pair[0].is_string() || !pair[1].is_string()) return std::nullopt;
  return request_key{std::string(pair[0].get_string()),
                     std::string(pair[1].get_string())};
}

std::string control_service::RequestView(const std::string& argument) const {
  const auto key = ParseRequestKey(argument);
  if (!key.has_value()) return "{}";
  const request_record* record =
      state_.FindRequest(key->caller, key->idempotency_key);
  if (record == nullptr) return "{}";
  return boost::json::serialize(boost::json::object{
      {"phase", static_cast<int>(record->phase)},
      {"code", bilberrycourse::Describe(record->code).number},
      {"answer", record->answer},
      {"answer_omitted", record->answer_omitted}});
}

void control_service::Stop(result_code code, const std::string& reason) {
  stop_code_ = code;
  stop_reason_ = reason;
  member_.reset();
  LogEvent(log_level::kError, "control_refuses_to_vote",
           {{"code", bilberrycourse::Describe(code).number},
            {"name", bilberrycourse::Describe(code).name},
            {"reason", reason}});
}

}  // namespace bilberrycourse
