#include "app/control_client.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

constexpr duration kPollPeriod = std::chrono::milliseconds(200);
// An entry instance of the routed interface keeps serving without poll replies.
// It only has to learn of a change well within the seconds that the change may
// take to apply.
constexpr duration kRoutesPollPeriod = std::chrono::milliseconds(400);
// After this long without an answer another member is polled.
constexpr duration kPollTimeout = std::chrono::milliseconds(150);
// A member whose last quorum confirmation is older is partitioned or has no
// leader, and another one is polled. Members confirm with every heartbeat of
// the leader; an election may take twice the longest election timeout.
constexpr duration kMaxConfirmationAge = std::chrono::milliseconds(1200);
// After an unanswered poll the target does not change to a preferred one for
// this long: a member that is slow or partitioned would be polled in turn with
// the next one.
constexpr duration kPreferencePause = std::chrono::seconds(5);
constexpr std::size_t kMaxOutstandingPolls = 16;
// After this long without a fresh answer of any member the links are probed.
// With the probe's time and a new link, an instance whose links fell silent is
// in touch again within the 4 s that the users allow (contactMs).
constexpr duration kContactLossTime = std::chrono::seconds(1);
// Delay before an unanswered call is sent to another member.
constexpr duration kCallResendDelay = std::chrono::milliseconds(500);
constexpr duration kCallRetryDelay = std::chrono::milliseconds(25);

// Spreads the polls of entry instances over the control members.
instance_name FirstPollTarget(const settings& config, bool local) {
  if (local) return config.name;
  if (config.initial_members.empty()) return {};
  const std::size_t hash = std::hash<std::string>()(config.name);
  return config.initial_members[hash % config.initial_members.size()];
}

bool IsRetriable(result_code code) {
  return code == result_code::kNotLeader ||
         code == result_code::kProposalLost || code == result_code::kNoQuorum ||
         code == result_code::kShuttingDown ||
         code == result_code::kLogDamaged ||
         code == result_code::kDataFolderForeign ||
         code == result_code::kSyncFailed || code == result_code::kDiskFull ||
         code == result_code::kStorageIo;
}

}  // namespace

control_client::control_client(const settings& config,
                               peer_transport* transport,
                               control_service* local,
                               control_client_handler* handler)
    : config_(config),
      transport_(transport),
      local_(local),
      handler_(handler),
      route_lease_(LeaseOptions(RevocationOptions(config))),
      poll_target_(FirstPollTarget(config, local != nullptr)),
      poll_answered_(local != nullptr) {
  OnSeedsChanged();
}

void control_client::Tick(time_point now) {
  if (now >= poll_due_) {
    if (poll_answered_) {
      poll_target_ = PreferredTarget(now);
    } else {
      keep_target_until_ = now + kPreferencePause;
      poll_target_ = NextTarget(poll_target_, now);
      if (now - fresh_at_ >= kContactLossTime) ProbeMembers(now);
    }
    PollCurrentTarget(now);
  }
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : calls_) {
    if (now >= call.deadline || now >= call.resend_at) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    if (now >= found->second.deadline) {
      FinishCall(id,
                 {found->second.sent ? result_code::kProposalLost
                                     : result_code::kNoQuorum,
                  "", leader_},
                 now);
      continue;
    }
    found->second.target = NextTarget(found->second.target, now);
    SendCall(id, now);
  }
}

void control_client::ProbeMembers(time_point now) {
  if (local_ != nullptr || config_.interface != serving_interface::kRoutes) {
    return;
  }
  for (const control_contact& contact : contacts_.Targets(now)) {
    transport_->Probe(contact.name);
  }
}

void control_client::PollCurrentTarget(time_point now) {
  if (fresh_at_ == time_point{}) fresh_at_ = now;
  poll_answered_ = false;
  // The next poll is due after the timeout, so that an unanswered poll uses up
  // little of the lease; an answer postpones it to the regular period.
  poll_due_ = now + kPollTimeout;
  Poll(poll_target_, now);
}

void control_client::Poll(const instance_name& to, time_point now) {
  const known_versions known = KnownVersions();
  if (to == config_.name) {
    if (local_ != nullptr)
      ApplyPollReply(now, local_->AnswerPoll(known, now), now);
    return;
  }
  wire::control_pollT poll;
  poll.poll_id = next_poll_id_++;
  poll.published_version = known.published_version;
  poll.routed = known.routed;
  poll.route_version = known.route_version;
  poll.searcher_revision = known.searcher_revision;
  if (known.routed) poll.evacuation_version = *known.evacuation_version;
  poll.entry_digest = entry_digest_;
  poll.group_digest = group_digest_;
  poll.entry_changes = true;
  const std::uint64_t id = poll.poll_id;
  if (!transport_->Send(to, MakeFrame(std::move(poll)))) return;
  polls_[id] = {to, now};
  while (polls_.size() > kMaxOutstandingPolls) polls_.erase(polls_.begin());
}

known_versions control_client::KnownVersions() const {
  return {lease_.applied_version(),
          config_.interface == serving_interface::kRoutes && local_ == nullptr,
          route_version_, searcher_revision_, evacuation_version_};
}

bool control_client::SetGroup(const std::vector<log_member>& members) {
  return contacts_.SetGroup(members);
}

void control_client::OnSeedsChanged() {
  std::vector<control_contact> seeds;
  for (const instance_name& name : config_.initial_members) {
    seeds.push_back({name, SeedAddress(config_, name)});
  }
  for (const instance_name& name : config_.spares) seeds.push_back({name, ""});
  contacts_.SetSeeds(std::move(seeds));
}

void control_client::OnPollReply(const instance_name& from,
                                 const wire::control_news& reply,
                                 time_point now) {
  const auto found = polls_.find(reply.poll_id());
  if (found == polls_.end() || found->second.target != from) return;
  const time_point sent_at = found->second.sent_at;
  polls_.erase(found);
  member_zones_[from] = ToText(reply.availability_zone());
  control_poll_reply poll_reply;
  poll_reply.confirmed = reply.confirmed();
  poll_reply.age = duration(static_cast<duration::rep>(
      std::min<std::uint64_t>(reply.confirmed_age_us(), 3'600'000'000ULL)));
  poll_reply.published_version = reply.published_version();
  poll_reply.state = ToText(reply.state());
  poll_reply.leader = ToText(reply.leader());
  poll_reply.routes = ToText(reply.routes());
  ApplyPollReply(sent_at, poll_reply, now);
  ApplyInstances(reply, now);
}

// A partitioned or removed member knows an old group and sees only some of the
// entry instances. Without a fresh confirmation its group is only a place to
// ask, and its list is ignored.
void control_client::ApplyInstances(const wire::control_news& reply,
                                    time_point now) {
  std::vector<log_member> group;
  if (reply.group() != nullptr) {
    for (const wire::control_address* address : *reply.group()) {
      log_member member;
      member.instance = ToText(address->instance());
      member.address = ToText(address->address());
      group.push_back(std::move(member));
    }
  }
  if (!reply.confirmed() ||
      reply.confirmed_age_us() >
          static_cast<std::uint64_t>(kMaxConfirmationAge.count())) {
    if (!contacts_.Confirmed(now)) contacts_.AddHints(group);
    return;
  }
  if (reply.group_digest() != group_digest_ && !group.empty()) {
    group_digest_ = reply.group_digest();
    handler_->OnControlGroup(group);
  }
  // The list comes first: with relays, fewer instances share a searcher than
  // the number alone tells.
  ApplyEntries(reply);
  if (reply.entry_instances() != entry_instances_) {
    entry_instances_ = reply.entry_instances();
    handler_->OnEntryCount(entry_instances_);
  }
}

void control_client::ApplyEntries(const wire::control_news& reply) {
  if (reply.entry_digest() == entry_digest_) return;
  // A change of an older list crosses a reply that has been applied since.
  if (reply.entry_base_digest() != 0 &&
      reply.entry_base_digest() != entry_digest_) {
    return;
  }
  if (reply.entries() == nullptr && reply.removed_entries() == nullptr) return;
  entry_list_change change;
  change.base_digest = reply.entry_base_digest();
  change.digest = reply.entry_digest();
  if (reply.entries() != nullptr) {
    for (const wire::entry_instance* entry : *reply.entries()) {
      change.added.push_back({ToText(entry->instance()),
                              ToText(entry->address()),
                              ToText(entry->availability_zone())});
    }
  }
  if (reply.removed_entries() != nullptr) {
    for (const flatbuffers::String* name : *reply.removed_entries()) {
      change.removed.push_back(ToText(name));
    }
  }
  auto entries = ApplyChange(entries_, change);
  if (!entries.has_value()) {
    LogEvent(log_level::kWarning, "entry_change_refused",
             {{"base_digest", change.base_digest}, {"digest", change.digest}});
    // The next poll asks for the whole list.
    entry_digest_ = 0;
    return;
  }
  entries_ = *std::move(entries);
  entry_digest_ = change.digest;
  handler_->OnEntryInstances(entries_);
}

// Versions never decrease: routes of a member that lags behind are ignored. An
// instance that has none yet could not tell, so it takes its first routes and
// searchers only with a fresh confirmation of a quorum: after a loss of power,
// control instances answer from their last snapshot before a leader is elected.
//
// Returns false if this instance may now lack routes that the member knows.
bool control_client::ApplyRouteUpdate(time_point sent_at,
                                      const control_poll_reply& reply,
                                      time_point now) {
  if (reply.routes.empty()) return true;
  const bool fresh =
      reply.confirmed && now - sent_at + reply.age <= kMaxConfirmationAge;
  if (route_version_ == 0 && !fresh) return false;
  auto routes = LoadRouteUpdate(reply.routes);
  if (!routes.has_value()) {
    LogEvent(log_level::kError, "route_news_invalid", {});
    return false;
  }
  // Replies to several polls may cross; a list that is already known would be
  // loaded again, which takes milliseconds of a small instance.
  const bool searchers_fit = routes->revision > searcher_revision_ &&
                             (routes->base_revision == 0 ||
                              routes->base_revision == searcher_revision_);
  if (!searchers_fit) {
    routes->searchers.clear();
    routes->base_revision = searcher_revision_;
    routes->revision = searcher_revision_;
  }
  if (routes->routes.version <= route_version_) routes->routes = {};
  if (routes->evacuations.version <= evacuation_version_) {
    routes->evacuations = {};
  }
  handler_->OnRouteUpdate(*routes);
  route_version_ = std::max(route_version_, routes->routes.version);
  searcher_revision_ = routes->revision;
  evacuation_version_ =
      std::max(evacuation_version_, routes->evacuations.version);
  return true;
}

void control_client::ApplyPollReply(time_point sent_at,
                                    const control_poll_reply& reply,
                                    time_point now) {
  if (!reply.leader.empty()) leader_ = reply.leader;
  const bool routes_known = ApplyRouteUpdate(sent_at, reply, now);
  // Before a member has named a version, there is nothing to confirm.
  if (reply.confirmed && routes_known && route_version_ > 0) {
    route_lease_.OnConfirmed(sent_at, reply.age, route_version_);
  }
  if (!reply.state.empty() &&
      reply.published_version > lease_.applied_version()) {
    auto state = LoadPublished(reply.state);
    if (!state.has_value()) {
      LogEvent(log_level::kError, "published_state_invalid",
               {{"version", reply.published_version}});
      return;
    }
    published_ = std::move(*state);
    published_bytes_ = reply.state;
    handler_->OnPublished(published_);
    lease_.OnApplied(published_.published_version);
  }
  if (!reply.confirmed) return;
  lease_.OnConfirmed(sent_at, reply.age, reply.published_version);
  if (reply.age > kMaxConfirmationAge) return;
  poll_answered_ = true;
  fresh_at_ = sent_at;
  contacts_.OnConfirmed(sent_at);
  poll_due_ = sent_at + (config_.interface == serving_interface::kRoutes
                             ? kRoutesPollPeriod
                             : kPollPeriod);
}

void control_client::OnRelayed(const instance_name& from, time_point sent_at,
                               duration age, std::uint64_t version,
                               time_point now) {
  lease_.OnRelayed(sent_at, age, version);
  OnHint(from, version, now);
}

void control_client::OnHint(const instance_name& from, std::uint64_t version,
                            time_point now) {
  if (version > lease_.applied_version()) Poll(from, now);
}

control_poll_reply control_client::AnswerPoll(std::uint64_t published_version,
                                              time_point now) const {
  control_poll_reply reply;
  reply.leader = leader_;
  const auto age = lease_.ConfirmationAge(now);
  if (!age.has_value()) return reply;
  reply.confirmed = true;
  reply.age = *age;
  reply.published_version = lease_.confirmed_version();
  if (published_.published_version > published_version) {
    reply.state = published_bytes_;
    reply.published_version = published_.published_version;
  }
  return reply;
}

// Returns the next connected control instance after `previous`. If none is
// connected, returns any connected peer, which relays its confirmed state.
instance_name control_client::NextTarget(const instance_name& previous,
                                         time_point now) const {
  std::vector<instance_name> names;
  for (const control_contact& contact : contacts_.Targets(now)) {
    names.push_back(contact.name);
  }
  const auto at = std::find(names.begin(), names.end(), previous);
  const std::size_t start =
      at == names.end() ? 0 : static_cast<std::size_t>(at - names.begin()) + 1;
  for (std::size_t i = 0; i < names.size(); ++i) {
    const instance_name& name = names[(start + i) % names.size()];
    const bool local = name == config_.name && local_ != nullptr;
    if (local || transport_->Connected(name)) return name;
  }
  const std::vector<instance_name> peers = transport_->connected_peers();
  const auto next = std::upper_bound(peers.begin(), peers.end(), previous);
  if (next != peers.end()) return *next;
  if (!peers.empty()) return peers.front();
  return names.empty() ? instance_name() : names.front();
}

instance_name control_client::PreferredTarget(time_point now) const {
  if (local_ != nullptr || now < keep_target_until_ ||
      config_.interface != serving_interface::kRoutes) {
    return poll_target_;
  }
  const auto zone_of = [&](const instance_name& member) {
    const auto found = member_zones_.find(member);
    return found == member_zones_.end() ? availability_zone() : found->second;
  };
  if (zone_of(poll_target_) == config_.zone) return poll_target_;
  instance_name unknown = poll_target_;
  for (const control_contact& contact : contacts_.Targets(now)) {
    const instance_name& name = contact.name;
    if (!transport_->Connected(name)) continue;
    if (zone_of(name) == config_.zone) return name;
    if (!member_zones_.contains(name)) unknown = name;
  }
  return unknown;
}

void control_client::Propose(const std::string& command, time_point deadline,
                             control_callback callback) {
  control_call new_call;
  new_call.command = command;
  new_call.deadline = deadline;
  new_call.callback = std::move(callback);
  StartCall(std::move(new_call));
}

void control_client::Read(const std::string& view, const std::string& argument,
                          time_point deadline, control_callback callback) {
  control_call new_call;
  new_call.read = true;
  new_call.view = view;
  new_call.command = argument;
  new_call.deadline = deadline;
  new_call.callback = std::move(callback);
  StartCall(std::move(new_call));
}

void control_client::StartCall(control_call new_call) {
  const std::uint64_t id = next_call_id_++;
  const time_point now = Now();
  new_call.target = leader_.empty() ? NextTarget("", now) : leader_;
  calls_[id] = std::move(new_call);
  SendCall(id, now);
}

void control_client::SendCall(std::uint64_t id, time_point now) {
  control_call& call = calls_.at(id);
  call.resend_at = now + kCallResendDelay;
  if (call.target == config_.name && local_ != nullptr) {
    call.sent = true;
    const auto done = [this, id](const control_reply& reply) {
      RetryOrFinishCall(id, reply, Now());
    };
    // Copies, because the callback may erase the call.
    const std::string view = call.view;
    const std::string command = call.command;
    if (call.read) return local_->Read(view, command, done);
    return local_->Propose(command, done);
  }
  bool sent = false;
  if (call.read) {
    wire::readT read;
    read.read_id = id;
    read.view = call.view;
    read.argument = call.command;
    sent = transport_->Send(call.target, MakeFrame(std::move(read)));
  } else {
    wire::proposeT propose;
    propose.proposal_id = id;
    propose.command = ToBytes(call.command);
    sent = transport_->Send(call.target, MakeFrame(std::move(propose)));
  }
  if (!sent) {
    call.resend_at = now + kCallRetryDelay;
  } else {
    call.sent = true;
  }
}

void control_client::OnProposeResult(const wire::propose_result& result,
                                     time_point now) {
  RetryOrFinishCall(result.proposal_id(),
                    {ResultCodeFromNumber(result.code()),
                     ToText(result.outcome()), ToText(result.leader())},
                    now);
}

void control_client::OnReadResult(const wire::read_result& result,
                                  time_point now) {
  RetryOrFinishCall(result.read_id(),
                    {ResultCodeFromNumber(result.code()), ToText(result.body()),
                     ToText(result.leader())},
                    now);
}

void control_client::RetryOrFinishCall(std::uint64_t id,
                                       const control_reply& reply,
                                       time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (!IsRetriable(reply.code)) return FinishCall(id, reply, now);
  if (!reply.leader.empty() && reply.leader != found->second.target) {
    // Send to the leader named by the reply without delay.
    leader_ = reply.leader;
    found->second.target = reply.leader;
    found->second.resend_at = now;
    // Sent here, because Tick() would choose the instance after the leader.
    if (transport_->Connected(reply.leader) || reply.leader == config_.name) {
      return SendCall(id, now);
    }
  }
  found->second.resend_at = now + kCallRetryDelay;
}

void control_client::FinishCall(std::uint64_t id, const control_reply& reply,
                                time_point) {
  const auto found = calls_.find(id);
  const control_callback callback = std::move(found->second.callback);
  calls_.erase(found);
  callback(reply);
}

void control_client::OnPeerConnected(const instance_name& peer,
                                     time_point now) {
  if (poll_answered_ || local_ != nullptr) return;
  poll_target_ = peer;
  PollCurrentTarget(now);
}

void control_client::OnPeerDisconnected(const instance_name& peer,
                                        time_point now) {
  if (peer == leader_) leader_.clear();
  for (auto& [id, call] : calls_) {
    if (call.target == peer) call.resend_at = now;
  }
  if (poll_target_ == peer) poll_due_ = now;
}

}  // namespace bilberrycourse
