#include <algorithm>
#include <utility>

#include "bilberrycourse/consensus_member.h"

// Pre-votes, votes and the change to leader.

namespace bilberrycourse {

void consensus_member::OnMajorityLinked(time_point now) {
  const bool may_campaign = role_ == consensus_role::kFollower ||
                            role_ == consensus_role::kPreCandidate;
  if (!may_campaign || leader_ != kNoMember || !formed()) return;
  std::uniform_int_distribution<std::int64_t> delay(
      0, settings_.heartbeat.count());
  election_due_ = std::min(election_due_, now + duration(delay(random_)));
}

void consensus_member::StartPreVote(time_point now, consensus_effects* out) {
  ResetElectionTimer(now);
  votes_.clear();
  votes_[identity_.id] = true;
  SetRole(consensus_role::kPreCandidate, kNoMember, out);
  if (HasVoteQuorum()) {
    StartElection(false, now, out);
    return;
  }
  for (const log_member& member : membership().members) {
    if (member.role != member_role::kVoter || member.id == identity_.id) {
      continue;
    }
    consensus_message request;
    request.kind = message_kind::kPreVote;
    request.term = state_.term + 1;
    request.index = last_index();
    request.index_term = LastTerm();
    request.members = {Self()};
    Send(member.id, std::move(request), out);
  }
}

void consensus_member::StartElection(bool forced, time_point now,
                                     consensus_effects* out) {
  ResetElectionTimer(now);
  votes_.clear();
  ++state_.term;
  state_.voted_for = identity_.id;
  verified_index_ = 0;
  last_sequence_ = 0;
  incoming_snapshot_ = {};
  PersistState(out);
  SetRole(consensus_role::kCandidate, kNoMember, out);
  // The candidate counts its own vote once it is synced. The requests are held
  // back until then as well: after a crash, a second campaign in the same term
  // could collect votes that were granted for a longer log.
  for (const log_member& member : membership().members) {
    if (member.role != member_role::kVoter || member.id == identity_.id) {
      continue;
    }
    consensus_message request;
    request.kind = message_kind::kVote;
    request.term = state_.term;
    request.index = last_index();
    request.index_term = LastTerm();
    request.forced = forced;
    request.members = {Self()};
    Send(member.id, std::move(request), out);
  }
}

void consensus_member::BecomeLeader(time_point now, consensus_effects* out) {
  votes_.clear();
  peers_.clear();
  leader_since_ = now;
  heartbeat_due_ = now + settings_.heartbeat;
  transfer_target_ = kNoMember;
  term_start_index_ = last_index() + 1;
  formation_unsent_ = false;
  SetRole(consensus_role::kLeader, identity_.id, out);
  UpdatePeers(now);
  AppendAsLeader(entry_kind::kNoOp, nullptr, now, out);
}

void consensus_member::OnPreVote(const consensus_message& message,
                                 time_point now, consensus_effects* out) {
  consensus_message reply = MakeReply(message_kind::kPreVoteReply, message);
  reply.rejected = message.term <= state_.term || HasRecentLeaderContact(now) ||
                   !LogIsUpToDate(message.index, message.index_term);
  if (!reply.rejected) reply.term = message.term;
  Send(message.from, std::move(reply), out);
}

void consensus_member::OnVote(const consensus_message& message, time_point now,
                              consensus_effects* out) {
  consensus_message reply = MakeReply(message_kind::kVoteReply, message);
  const bool vote_available =
      state_.voted_for == kNoMember || state_.voted_for == message.from;
  const bool granted = (vote_available || settings_.faults.forget_vote) &&
                       role_ != consensus_role::kLeader &&
                       LogIsUpToDate(message.index, message.index_term);
  if (granted && state_.voted_for == kNoMember) {
    state_.voted_for = message.from;
    PersistState(out);
  }
  if (granted) ResetElectionTimer(now);
  reply.rejected = !granted;
  Send(message.from, std::move(reply), out);
}

void consensus_member::OnVoteReply(const consensus_message& message,
                                   time_point now, consensus_effects* out) {
  const bool pre = message.kind == message_kind::kPreVoteReply;
  if (message.rejected) return;
  if (pre && role_ == consensus_role::kPreCandidate &&
      message.term == state_.term + 1) {
    votes_[message.from] = true;
    if (HasVoteQuorum()) StartElection(false, now, out);
  } else if (!pre && role_ == consensus_role::kCandidate) {
    votes_[message.from] = true;
    if (HasVoteQuorum()) BecomeLeader(now, out);
  }
}

void consensus_member::OnTimeoutNow(const consensus_message&, time_point now,
                                    consensus_effects* out) {
  if (formed() && membership().IsVoter(identity_.id)) {
    StartElection(true, now, out);
  }
}

}  // namespace bilberrycourse
