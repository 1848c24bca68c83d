#include <algorithm>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_member.h"

// Replication as a follower: appends, log snapshots and the age of the leader's
// quorum confirmation.

namespace bilberrycourse {

void consensus_member::OnAppend(const consensus_message& message,
                                time_point now, consensus_effects* out) {
  if (message.sequence > last_sequence_) {
    last_sequence_ = message.sequence;
    last_sent_us_ = message.sent_us;
  }
  for (std::size_t i = 0; i < message.entries.size(); ++i) {
    if (message.entries[i].index != message.index + 1 + i) return;
  }
  const bool previous_missing = message.index > last_index();
  const bool previous_conflicts = !previous_missing &&
                                  message.index >= base_index_ &&
                                  TermAt(message.index) != message.index_term &&
                                  !settings_.faults.skip_previous_entry_check;
  if (previous_missing || previous_conflicts) {
    consensus_message reply = MakeReply(message_kind::kAppendReply, message);
    reply.rejected = true;
    reply.index = message.index;
    reply.match = previous_missing ? last_index() : message.index - 1;
    // Skips the whole conflicting term, so that the leader needs one round
    // trip for each term instead of one for each entry.
    if (previous_conflicts) {
      const log_term conflict = TermAt(message.index);
      while (reply.match > commit_index_ && reply.match > base_index_ &&
             TermAt(reply.match) == conflict) {
        --reply.match;
      }
    }
    reply.commit = last_index();
    reply.sequence = message.sequence;
    reply.sent_us = message.sent_us;
    reply.follower_us = Microseconds(now) + clock_offset_;
    Send(message.from, std::move(reply), out);
    return;
  }

  log_index truncate_from = 0;
  std::vector<log_entry> new_entries;
  for (const log_entry& entry : message.entries) {
    if (entry.index <= base_index_) continue;
    if (new_entries.empty() && entry.index <= last_index()) {
      if (TermAt(entry.index) == entry.term) continue;
      if (entry.index <= commit_index_) {
        Stop(result_code::kInternal,
             "an append from the leader conflicts with committed entry " +
                 std::to_string(entry.index),
             out);
        return;
      }
      truncate_from = entry.index;
    }
    new_entries.push_back(entry);
  }
  if (!new_entries.empty()) Append(truncate_from, std::move(new_entries), out);
  if (role_ == consensus_role::kStopped) return;
  if (role_ == consensus_role::kUnformed && formed()) {
    SetRole(consensus_role::kFollower, leader_, out);
  }
  verified_index_ = std::max(verified_index_,
                             message.index + log_index{message.entries.size()});
  const log_index commit = std::min(message.commit, verified_index_);
  if (commit > commit_index_) {
    commit_index_ = commit;
    ApplyCommitted(out);
  }
  RecordConfirmation(message, now);
  SendAppendReply(now, out);
}

void consensus_member::SendAppendReply(time_point now, consensus_effects* out) {
  if (leader_ == kNoMember || leader_ == identity_.id) return;
  consensus_message reply;
  reply.kind = message_kind::kAppendReply;
  reply.term = state_.term;
  reply.index = verified_index_;
  reply.match = std::min(verified_index_, durable_index_);
  reply.commit = last_index();
  reply.sequence = last_sequence_;
  reply.sent_us = last_sent_us_;
  reply.follower_us = Microseconds(now) + clock_offset_;
  Send(leader_, std::move(reply), out);
}

// The message carries the age of the confirmation at the time of sending. The
// time since this member sent its last reply, minus the time that the leader
// held that reply, is the round-trip time of the reply and this message. It is
// an upper bound of the transit time that needs no comparison of two clocks.
void consensus_member::RecordConfirmation(const consensus_message& message,
                                          time_point now) {
  if (message.confirmation_age_us < 0 || message.follower_us < 0) return;
  const std::int64_t echo = message.follower_us - clock_offset_;
  std::int64_t transit = Microseconds(now) - echo - message.held_us;
  if (echo < started_us_ || transit < 0) return;
  if (settings_.faults.confirm_without_transit) transit = 0;
  const time_point confirmed =
      now - duration(message.confirmation_age_us + transit);
  if (applied_index_ >= message.commit ||
      settings_.faults.confirm_before_applied) {
    confirmed_ = std::max(confirmed_, std::optional(confirmed));
  } else if (!pending_confirmed_) {
    pending_confirmed_ = confirmed;
    pending_confirmed_commit_ = message.commit;
  }
}

void consensus_member::ApplyPendingConfirmation() {
  if (!pending_confirmed_ || applied_index_ < pending_confirmed_commit_) return;
  confirmed_ = std::max(confirmed_, pending_confirmed_);
  pending_confirmed_.reset();
}

std::optional<duration> consensus_member::confirmation_age(
    time_point now) const {
  if (role_ == consensus_role::kStopped) return std::nullopt;
  std::optional<time_point> confirmed = confirmed_;
  if (role_ == consensus_role::kLeader && commit_index_ >= term_start_index_) {
    confirmed = std::max(confirmed, QuorumTime(now));
  }
  if (!confirmed) return std::nullopt;
  return now - *confirmed;
}

void consensus_member::OnSnapshotChunk(const consensus_message& message,
                                       time_point now, consensus_effects* out) {
  if (message.index <= commit_index_) {
    // Committed entries are the same on all members.
    verified_index_ = std::max(verified_index_, message.index);
    incoming_snapshot_ = {};
    SendAppendReply(now, out);
    return;
  }
  if (message.total > settings_.max_snapshot_bytes ||
      message.data.size() > message.total ||
      group_membership{message.members}.voter_count() == 0) {
    return;
  }
  if (incoming_snapshot_.from != message.from ||
      incoming_snapshot_.term != message.term ||
      incoming_snapshot_.index != message.index) {
    incoming_snapshot_ = {
        message.from, message.term, message.index, message.index_term, {}};
  }
  if (message.offset == incoming_snapshot_.data.size() &&
      message.data.size() <= message.total - message.offset) {
    incoming_snapshot_.data += message.data;
  }
  if (incoming_snapshot_.data.size() < message.total) {
    consensus_message reply = MakeReply(message_kind::kSnapshotReply, message);
    reply.index = message.index;
    reply.offset = incoming_snapshot_.data.size();
    reply.total = message.offset;
    Send(message.from, std::move(reply), out);
    return;
  }
  log_snapshot snapshot{
      message.index,
      message.index_term,
      {message.members},
      std::make_shared<const std::string>(std::move(incoming_snapshot_.data))};
  incoming_snapshot_ = {};
  InstallSnapshot(std::move(snapshot), now, out);
}

void consensus_member::InstallSnapshot(log_snapshot snapshot, time_point now,
                                       consensus_effects* out) {
  const log_index index = snapshot.index;
  const bool keep_suffix = index >= base_index_ && index <= last_index() &&
                           TermAt(index) == snapshot.term;
  if (keep_suffix) {
    log_.erase(log_.begin(), log_.begin() + (index - base_index_));
  } else {
    TruncateFrom(base_index_ + 1);
    durable_index_ = 0;
    for (pending_persist& pending : pending_persists_) pending.last_index = 0;
    memberships_.clear();
  }
  base_index_ = index;
  base_term_ = snapshot.term;
  std::erase_if(memberships_, [&](const membership_version& version) {
    return version.index <= index;
  });
  memberships_.insert(memberships_.begin(), {index, snapshot.membership});
  commit_index_ = applied_index_ = index;
  verified_index_ = std::max(verified_index_, index);
  snapshot_ = std::move(snapshot);
  persist_effect effect;
  effect.snapshot = snapshot_;
  effect.entries.assign(log_.begin(), log_.end());
  IssuePersist(std::move(effect), out);
  out->push_back(restore_snapshot_effect{snapshot_});
  ApplyPendingConfirmation();
  if (role_ == consensus_role::kUnformed) {
    SetRole(consensus_role::kFollower, leader_, out);
  }
  SendAppendReply(now, out);
}

}  // namespace bilberrycourse
