#include <algorithm>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_codec.h"
#include "bilberrycourse/consensus_member.h"

// Discovery and group formation by members without a log.

namespace bilberrycourse {

bool consensus_member::IsCoordinator(const instance_name& instance) const {
  const instance_name* lowest = nullptr;
  for (const control_instance& configured : settings_.instances) {
    if (configured.initial_voter &&
        (lowest == nullptr || configured.instance < *lowest)) {
      lowest = &configured.instance;
    }
  }
  return lowest != nullptr && *lowest == instance;
}

bool consensus_member::KnowsFormedPeer(time_point) const {
  return std::any_of(discovered_.begin(), discovered_.end(),
                     [](const auto& item) { return item.second.formed; });
}

void consensus_member::Discover(time_point now, consensus_effects* out) {
  discover_due_ = now + settings_.discover_interval;
  if (!formed() && settings_.may_form_group &&
      IsCoordinator(identity_.instance) && !KnowsFormedPeer(now) &&
      state_.formation == 0) {
    state_.formation = static_cast<std::uint64_t>(identity_.id);
    PersistState(out);
  }
  for (const log_member& target : DiscoverTargets()) {
    consensus_message message;
    message.kind = message_kind::kDiscover;
    message.formed = formed();
    message.members = {Self()};
    SendTo(target.instance, target.address, std::move(message), out);
  }
  TryFormGroup(now, out);
}

// Returns the configured instances and the known group members, without
// duplicates.
std::vector<log_member> consensus_member::DiscoverTargets() const {
  std::vector<log_member> targets;
  const auto add = [&](const log_member& target) {
    if (target.instance == identity_.instance) return;
    const bool known = std::any_of(targets.begin(), targets.end(),
                                   [&](const log_member& other) {
                                     return other.instance == target.instance;
                                   });
    if (!known) targets.push_back(target);
  };
  for (const control_instance& configured : settings_.instances) {
    add({kNoMember, configured.instance, configured.address,
         member_role::kLearner});
  }
  for (const control_instance& target : discovery_targets_) {
    add({kNoMember, target.instance, target.address, member_role::kLearner});
  }
  for (const log_member& member : membership().members) add(member);
  for (const log_member& member : known_group_) add(member);
  return targets;
}

// A discovery message lists its sender first, then the members of the sender's
// group. A member that was removed still reports the group that it knew, so an
// older membership does not replace a newer one.
void consensus_member::LearnGroup(const consensus_message& message) {
  if (!message.formed || message.members.size() < 2) return;
  if (message.formation == known_group_formation_ &&
      message.index < known_group_index_) {
    return;
  }
  known_group_.assign(message.members.begin() + 1, message.members.end());
  known_group_formation_ = message.formation;
  known_group_index_ = message.index;
}

void consensus_member::CheckRemoval(const consensus_message& message) {
  if (!formed() || !message.formed || message.formation != state_.formation ||
      message.members.size() < 2 ||
      message.index <= std::max(memberships_.back().index, removed_index_)) {
    return;
  }
  const bool listed = std::any_of(
      message.members.begin() + 1, message.members.end(),
      [&](const log_member& member) { return member.id == identity_.id; });
  removed_index_ = listed ? 0 : message.index;
}

bool consensus_member::removed() const {
  return formed() && removed_index_ > memberships_.back().index;
}

log_index consensus_member::CommittedMembershipIndex() const {
  return memberships_.empty() || membership_change_pending()
             ? 0
             : memberships_.back().index;
}

void consensus_member::OnDiscover(const consensus_message& message,
                                  time_point now, consensus_effects* out) {
  if (message.members.empty() || message.members.front().id != message.from) {
    return;
  }
  LearnGroup(message);
  CheckRemoval(message);
  const log_member& sender = message.members.front();
  if (sender.instance == identity_.instance) return;
  if (discovered_.size() >= kMaxDiscovered &&
      !discovered_.contains(sender.instance)) {
    return;
  }
  discovered_[sender.instance] = {sender, message.formation, message.formed,
                                  message.leaving, now};
  if (const auto peer = peers_.find(sender.id); peer != peers_.end()) {
    peer->second.leaving = message.leaving;
  }
  if (!formed() && message.formation != 0 &&
      message.formation != state_.formation) {
    // An existing group takes precedence over one that is being formed.
    const bool join =
        message.formed ||
        (IsCoordinator(sender.instance) && !KnowsFormedPeer(now) &&
         message.formation == static_cast<std::uint64_t>(sender.id));
    if (join) {
      state_.formation = message.formation;
      PersistState(out);
    }
  }
  // An initial voter was wiped before the first election. The group is formed
  // again with the new identity of that voter, because a group that lost two
  // initial voters in this way could never elect a leader.
  if (formation_unsent_ && !message.formed &&
      membership().Find(sender.id) == nullptr &&
      std::any_of(membership().members.begin(), membership().members.end(),
                  [&](const log_member& member) {
                    return member.instance == sender.instance;
                  })) {
    AbandonFormation(out);
  }
  if (message.kind == message_kind::kDiscover) {
    consensus_message reply;
    reply.kind = message_kind::kDiscoverReply;
    reply.to = message.from;
    reply.formed = formed();
    reply.index = CommittedMembershipIndex();
    reply.members = {Self()};
    for (const log_member& member : membership().members) {
      reply.members.push_back(member);
    }
    SendTo(sender.instance, sender.address, std::move(reply), out);
  }
  TryFormGroup(now, out);
}

void consensus_member::TryFormGroup(time_point now, consensus_effects* out) {
  const auto own_formation = static_cast<std::uint64_t>(identity_.id);
  if (formed() || role_ == consensus_role::kStopped ||
      !IsCoordinator(identity_.instance) || state_.formation != own_formation ||
      state_position_ > persisted_position_) {
    return;
  }
  group_membership initial;
  for (const control_instance& configured : settings_.instances) {
    log_member member{identity_.id, configured.instance, configured.address,
                      member_role::kVoter};
    if (configured.instance != identity_.instance) {
      const auto peer = discovered_.find(configured.instance);
      // An old reply may predate the moment when the instance joined a group.
      const bool fresh =
          peer != discovered_.end() &&
          now - peer->second.last_contact <= 3 * settings_.discover_interval;
      const bool ready = fresh && !peer->second.formed &&
                         (!configured.initial_voter ||
                          peer->second.formation == own_formation);
      if (!ready && !settings_.faults.form_without_peers) return;
      if (peer == discovered_.end()) continue;
      member.id = peer->second.member.id;
    }
    if (configured.initial_voter) initial.members.push_back(std::move(member));
  }
  formation_unsent_ = true;
  state_.term = std::max<log_term>(state_.term, 1);
  std::vector<log_entry> entries;
  entries.push_back(
      {1, 1, entry_kind::kMembership,
       std::make_shared<const std::string>(EncodeGroupMembership(initial))});
  PersistState(out);
  Append(0, std::move(entries), out);
  SetRole(consensus_role::kFollower, kNoMember, out);
  election_due_ = now;
}

void consensus_member::AbandonFormation(consensus_effects* out) {
  formation_unsent_ = false;
  votes_.clear();
  Append(1, {}, out);
  SetRole(consensus_role::kUnformed, kNoMember, out);
}

}  // namespace bilberrycourse
