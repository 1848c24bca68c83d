#include "bilberrycourse/member_repair.h"

#include <algorithm>

namespace bilberrycourse {

repair_view MakeRepairView(const consensus_member& member, time_point now) {
  repair_view view;
  if (member.role() != consensus_role::kLeader) return view;
  view.self = member.identity().id;
  view.self_leaving = member.leaving();
  view.membership = member.membership();
  view.peers = member.peers(now);
  view.spares = member.spares(now);
  view.commit_index = member.commit_index();
  view.change_pending = member.membership_change_pending();
  const std::optional<duration> age = member.confirmation_age(now);
  view.quorum_confirmed = age && *age < std::chrono::milliseconds(600);
  return view;
}

// Returns true if `voter` is the earlier identity of an instance that has lost
// its disk and is back under a new id. It never returns, but a leader that has
// just been elected does not know yet how long it has been silent.
bool member_repair::IsSuperseded(const peer_status& voter,
                                 const repair_view& view) const {
  const auto supersedes = [&](const log_member& member,
                              duration since_last_contact) {
    return member.id != voter.member.id &&
           member.instance == voter.member.instance &&
           since_last_contact < options_.alive_within &&
           since_last_contact < voter.since_last_contact;
  };
  return std::any_of(view.peers.begin(), view.peers.end(),
                     [&](const peer_status& peer) {
                       return supersedes(peer.member, peer.since_last_contact);
                     }) ||
         std::any_of(view.spares.begin(), view.spares.end(),
                     [&](const spare_status& spare) {
                       return supersedes(spare.member,
                                         spare.since_last_contact);
                     });
}

std::optional<membership_change> member_repair::Plan(
    const repair_view& view) const {
  if (view.self == kNoMember || view.change_pending || !view.quorum_confirmed) {
    return std::nullopt;
  }
  const auto make_change = [](membership_change_kind kind,
                              const log_member& member) {
    return std::optional<membership_change>({kind, member});
  };

  const peer_status* lost = nullptr;
  const peer_status* leaving = nullptr;
  const peer_status* least_advanced = nullptr;
  const peer_status* learner = nullptr;
  for (const peer_status& peer : view.peers) {
    if (peer.member.role == member_role::kVoter) {
      if ((peer.since_last_contact >= options_.lost_after ||
           IsSuperseded(peer, view)) &&
          (lost == nullptr ||
           peer.since_last_contact > lost->since_last_contact)) {
        lost = &peer;
      }
      if (peer.leaving) leaving = &peer;
      if (least_advanced == nullptr || peer.match < least_advanced->match) {
        least_advanced = &peer;
      }
    } else if (peer.since_last_contact >= options_.lost_after || peer.leaving) {
      // A lost learner would prevent a working spare from being added.
      return make_change(membership_change_kind::kRemove, peer.member);
    } else if (learner == nullptr) {
      learner = &peer;
    }
  }

  const peer_status* replaced = lost != nullptr ? lost : leaving;
  const std::size_t voters = view.membership.voter_count();
  if (voters > options_.voters) {
    // A leaving leader transfers its leadership, and its successor removes it.
    if (replaced == nullptr && view.self_leaving) return std::nullopt;
    // If the voter is back in contact, or no longer leaves, the voter with the
    // least advanced log is removed.
    const peer_status* surplus =
        replaced != nullptr ? replaced : least_advanced;
    if (surplus == nullptr) return std::nullopt;
    return make_change(membership_change_kind::kRemove, surplus->member);
  }
  if (voters == options_.voters && replaced == nullptr && !view.self_leaving) {
    return std::nullopt;
  }

  if (learner != nullptr) {
    if (learner->since_last_contact >= options_.alive_within ||
        learner->receiving_snapshot || learner->match < view.commit_index) {
      return std::nullopt;
    }
    return make_change(membership_change_kind::kPromote, learner->member);
  }
  // A spare on the instance of the lost voter, restarted with an empty data
  // folder, is preferred: it keeps the distribution over availability zones.
  const spare_status* selected = nullptr;
  for (const spare_status& spare : view.spares) {
    if (spare.since_last_contact >= options_.alive_within) continue;
    const bool same_instance =
        replaced != nullptr &&
        spare.member.instance == replaced->member.instance;
    if (selected == nullptr || same_instance) selected = &spare;
    if (same_instance) break;
  }
  if (selected == nullptr) return std::nullopt;
  return make_change(membership_change_kind::kAddLearner, selected->member);
}

}  // namespace bilberrycourse
