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
// An entry instance of the routed interface serves on without news; it must
// only learn of changes well within the seconds that they may take.
constexpr duration kRoutesPollPeriod = std::chrono::milliseconds(400);
// A poll without an answer for this long goes to another member.
constexpr duration kPollTimeout = std::chrono::milliseconds(150);
// A member whose last quorum confirmation is older is cut off or without a
// leader, and another one is polled. Members confirm with every heartbeat of
// the leader; an election may take twice the longest election timeout.
constexpr duration kMaxNewsAge = std::chrono::milliseconds(1200);
constexpr std::size_t kMaxOutstandingPolls = 16;
// Wait before a call is sent to another member.
constexpr duration kCallTimeout = std::chrono::milliseconds(500);
constexpr duration kRetryWait = std::chrono::milliseconds(25);

// Spreads the polls of entry instances over the control members.
instance_name FirstPollTarget(const settings& config, bool local) {
  if (local) return config.name;
  const std::size_t hash = std::hash<std::string>()(config.name);
  return config.initial_members[hash % config.initial_members.size()];
}

bool Retriable(result_code code) {
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
      poll_target_(FirstPollTarget(config, local != nullptr)),
      poll_answered_(local != nullptr) {}

void control_client::Tick(time_point now) {
  if (now >= poll_due_) {
    if (!poll_answered_) poll_target_ = NextTarget(poll_target_);
    PollNext(now);
  }
  std::vector<std::uint64_t> due;
  for (const auto& [id, each] : calls_) {
    if (now >= each.deadline || now >= each.resend_at) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    if (now >= found->second.deadline) {
      Answer(id,
             {found->second.sent ? result_code::kProposalLost
                                 : result_code::kNoQuorum,
              "", leader_},
             now);
      continue;
    }
    found->second.target = NextTarget(found->second.target);
    Send(id, now);
  }
}

void control_client::PollNext(time_point now) {
  poll_answered_ = false;
  // The next poll is due early, so that an unanswered one costs little of the
  // lease; an answer moves it back.
  poll_due_ = now + kPollTimeout;
  Poll(poll_target_, now);
}

void control_client::Poll(const instance_name& to, time_point now) {
  const known_versions known = Known();
  if (to == config_.name) {
    if (local_ != nullptr) TakeNews(now, local_->News(known, now));
    return;
  }
  wire::control_pollT poll;
  poll.poll_id = next_poll_++;
  poll.published_version = known.published_version;
  poll.routed = known.routed;
  poll.route_version = known.route_version;
  poll.searcher_revision = known.searcher_revision;
  poll.entry_digest = entry_digest_;
  poll.group_digest = group_digest_;
  const std::uint64_t id = poll.poll_id;
  if (!transport_->Send(to, MakeFrame(std::move(poll)))) return;
  polls_[id] = {to, now};
  while (polls_.size() > kMaxOutstandingPolls) polls_.erase(polls_.begin());
}

known_versions control_client::Known() const {
  return {lease_.applied_version(),
          config_.interface == serving_interface::kRoutes && local_ == nullptr,
          route_version_, searcher_revision_};
}

void control_client::SetGroup(std::vector<instance_name> names) {
  group_ = std::move(names);
}

void control_client::OnNews(const instance_name& from,
                            const wire::control_news& news, time_point) {
  const auto found = polls_.find(news.poll_id());
  if (found == polls_.end() || found->second.to != from) return;
  const time_point sent_at = found->second.at;
  polls_.erase(found);
  control_news taken;
  taken.confirmed = news.confirmed();
  taken.age = duration(static_cast<duration::rep>(
      std::min<std::uint64_t>(news.confirmed_age_us(), 3'600'000'000ULL)));
  taken.published_version = news.published_version();
  taken.state = ToText(news.state());
  taken.leader = ToText(news.leader());
  taken.routes = ToText(news.routes());
  TakeNews(sent_at, taken);
  TakeInstances(news);
}

// A member that is cut off sees few entry instances, so that only one with a
// fresh confirmation is believed.
void control_client::TakeInstances(const wire::control_news& news) {
  if (!news.confirmed() || news.confirmed_age_us() > static_cast<std::uint64_t>(
                                                         kMaxNewsAge.count())) {
    return;
  }
  if (news.entry_instances() != entry_instances_) {
    entry_instances_ = news.entry_instances();
    handler_->OnEntryCount(entry_instances_);
  }
  if (news.group_digest() != group_digest_ && news.group() != nullptr) {
    std::vector<log_member> group;
    for (const wire::control_address* row : *news.group()) {
      log_member member;
      member.instance = ToText(row->instance());
      member.address = ToText(row->address());
      group.push_back(std::move(member));
    }
    group_digest_ = news.group_digest();
    handler_->OnControlGroup(group);
  }
  if (news.entry_digest() != entry_digest_ && news.entries() != nullptr) {
    std::vector<entry_instance> entries;
    for (const wire::entry_instance* row : *news.entries()) {
      entries.push_back({ToText(row->instance()), ToText(row->address()),
                         ToText(row->availability_zone())});
    }
    entry_digest_ = news.entry_digest();
    handler_->OnEntryInstances(entries);
  }
}

// Versions never go back: news of a member that is behind is ignored.
void control_client::TakeRouteNews(const control_news& news) {
  if (news.routes.empty()) return;
  auto routes = LoadRouteUpdate(news.routes);
  if (!routes.has_value()) {
    LogEvent(log_level::kError, "route_news_invalid", {});
    return;
  }
  const bool searchers_fit = routes->revision >= searcher_revision_ &&
                             (routes->base_revision == 0 ||
                              routes->base_revision == searcher_revision_);
  if (!searchers_fit) {
    routes->searchers.clear();
    routes->base_revision = searcher_revision_;
    routes->revision = searcher_revision_;
  }
  if (routes->routes.version <= route_version_) routes->routes = {};
  handler_->OnRouteUpdate(*routes);
  route_version_ = std::max(route_version_, routes->routes.version);
  searcher_revision_ = routes->revision;
}

void control_client::TakeNews(time_point sent_at, const control_news& news) {
  if (!news.leader.empty()) leader_ = news.leader;
  TakeRouteNews(news);
  if (!news.state.empty() &&
      news.published_version > lease_.applied_version()) {
    auto state = LoadPublished(news.state);
    if (!state.has_value()) {
      LogEvent(log_level::kError, "published_state_invalid",
               {{"version", news.published_version}});
      return;
    }
    published_ = std::move(*state);
    published_bytes_ = news.state;
    handler_->OnPublished(published_);
    lease_.OnApplied(published_.published_version);
  }
  if (!news.confirmed) return;
  lease_.OnConfirmed(sent_at, news.age, news.published_version);
  if (news.age > kMaxNewsAge) return;
  poll_answered_ = true;
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

control_news control_client::Relay(std::uint64_t published_version,
                                   time_point now) const {
  control_news news;
  news.leader = leader_;
  const auto age = lease_.ConfirmationAge(now);
  if (!age.has_value()) return news;
  news.confirmed = true;
  news.age = *age;
  news.published_version = lease_.confirmed_version();
  if (published_.published_version > published_version) {
    news.state = published_bytes_;
    news.published_version = published_.published_version;
  }
  return news;
}

std::vector<instance_name> control_client::ControlNames() const {
  if (!group_.empty()) return group_;
  std::vector<instance_name> names = config_.initial_members;
  names.insert(names.end(), config_.spares.begin(), config_.spares.end());
  return names;
}

// The next control instance after `previous` to which there is a way; when
// none is reachable, any peer, which relays what it knows.
instance_name control_client::NextTarget(const instance_name& previous) const {
  const std::vector<instance_name> names = ControlNames();
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
  return peers.empty() ? names.front() : peers.front();
}

void control_client::Propose(const std::string& command, time_point deadline,
                             control_callback callback) {
  call started;
  started.command = command;
  started.deadline = deadline;
  started.callback = std::move(callback);
  Start(std::move(started));
}

void control_client::Read(const std::string& view, const std::string& argument,
                          time_point deadline, control_callback callback) {
  call started;
  started.read = true;
  started.view = view;
  started.command = argument;
  started.deadline = deadline;
  started.callback = std::move(callback);
  Start(std::move(started));
}

void control_client::Start(call started) {
  const std::uint64_t id = next_call_++;
  started.target = leader_.empty() ? NextTarget("") : leader_;
  calls_[id] = std::move(started);
  Send(id, Now());
}

void control_client::Send(std::uint64_t id, time_point now) {
  call& sending = calls_.at(id);
  sending.resend_at = now + kCallTimeout;
  if (sending.target == config_.name && local_ != nullptr) {
    sending.sent = true;
    const auto done = [this, id](const control_reply& reply) {
      RetryOrAnswer(id, reply, Now());
    };
    // Copies, because the callback may erase the call.
    const std::string view = sending.view;
    const std::string command = sending.command;
    if (sending.read) return local_->Read(view, command, done);
    return local_->Propose(command, done);
  }
  bool reached = false;
  if (sending.read) {
    wire::readT read;
    read.read_id = id;
    read.view = sending.view;
    read.argument = sending.command;
    reached = transport_->Send(sending.target, MakeFrame(std::move(read)));
  } else {
    wire::proposeT propose;
    propose.proposal_id = id;
    propose.command = ToBytes(sending.command);
    reached = transport_->Send(sending.target, MakeFrame(std::move(propose)));
  }
  if (!reached) {
    sending.resend_at = now + kRetryWait;
  } else {
    sending.sent = true;
  }
}

void control_client::OnProposeResult(const wire::propose_result& result,
                                     time_point now) {
  RetryOrAnswer(result.proposal_id(),
                {ResultCodeFromNumber(result.code()), ToText(result.outcome()),
                 ToText(result.leader())},
                now);
}

void control_client::OnReadResult(const wire::read_result& result,
                                  time_point now) {
  RetryOrAnswer(result.read_id(),
                {ResultCodeFromNumber(result.code()), ToText(result.body()),
                 ToText(result.leader())},
                now);
}

void control_client::RetryOrAnswer(std::uint64_t id, const control_reply& reply,
                                   time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (!Retriable(reply.code)) return Answer(id, reply, now);
  if (!reply.leader.empty() && reply.leader != found->second.target) {
    // Follow the hint at once.
    leader_ = reply.leader;
    found->second.target = reply.leader;
    found->second.resend_at = now;
    // NextTarget() would skip the hint, so it is sent here.
    if (transport_->Connected(reply.leader) || reply.leader == config_.name) {
      return Send(id, now);
    }
  }
  found->second.resend_at = now + kRetryWait;
}

void control_client::Answer(std::uint64_t id, const control_reply& reply,
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
  PollNext(now);
}

void control_client::OnPeerDisconnected(const instance_name& peer,
                                        time_point now) {
  if (peer == leader_) leader_.clear();
  for (auto& [id, each] : calls_) {
    if (each.target == peer) each.resend_at = now;
  }
  if (poll_target_ == peer) poll_due_ = now;
}

}  // namespace bilberrycourse
