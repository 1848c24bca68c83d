#ifndef BILBERRYCOURSE_MEMBER_REPAIR_H_
#define BILBERRYCOURSE_MEMBER_REPAIR_H_

// Plans the replacement of a lost or leaving voter by a spare. The daemon calls
// Plan() on each tick while its member is the leader, and proposes the returned
// change.
//
//   member_repair repair({.voters = 3});
//   if (auto change = repair.Plan(MakeRepairView(member, now))) {
//     member.ProposeMembership(*change, now, &out);
//   }
//
// A voter is lost after `lost_after` without contact, or as soon as its
// instance is back under a new id. A lost voter, or one that is shutting down,
// is replaced in three changes, one at a time: add a spare as a learner,
// promote the learner once it has caught up and synced, remove the voter. The
// group never has fewer voters than configured. Lost voters come before leaving
// ones, which still vote. Without a spare nothing changes, so that a member
// that only restarts stays in the group.

#include <optional>
#include <vector>

#include "bilberrycourse/consensus_member.h"

namespace bilberrycourse {

struct repair_options {
  std::size_t voters = 3;
  duration lost_after = std::chrono::seconds(10);
  // A spare or learner is alive if its last message is younger than this.
  duration alive_within = std::chrono::seconds(2);
};

struct repair_view {
  member_id self = kNoMember;
  bool self_leaving = false;
  group_membership membership;
  std::vector<peer_status> peers;
  std::vector<spare_status> spares;
  log_index commit_index = 0;
  bool change_pending = false;
  // True if the last quorum confirmation is younger than an election timeout.
  bool quorum_confirmed = false;
};

repair_view MakeRepairView(const consensus_member& member, time_point now);

class member_repair {
 public:
  explicit member_repair(repair_options options) : options_(options) {}

  // Returns the next change; nullopt if there is nothing to do or the previous
  // change is not yet committed.
  std::optional<membership_change> Plan(const repair_view& view) const;
  const repair_options& options() const { return options_; }

 private:
  bool IsSuperseded(const peer_status& voter, const repair_view& view) const;

  repair_options options_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_MEMBER_REPAIR_H_
