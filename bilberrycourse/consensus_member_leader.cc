#include <algorithm>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_codec.h"
#include "bilberrycourse/consensus_member.h"

// Replication as the leader: progress of each peer, commit, proposals, reads
// and transfer of leadership.

namespace bilberrycourse {
namespace {

// Limits the number of messages; a larger group gains no availability.
constexpr std::size_t kMaxMembers = 16;
// Heartbeat intervals without progress after which a snapshot chunk is sent
// again.
constexpr int kChunkRetryHeartbeats = 4;

// Returns the largest value that more than half of `values` reach or exceed.
template <typename T>
T QuorumValue(std::vector<T> values) {
  const std::size_t rank = values.size() / 2;
  std::nth_element(values.begin(), values.begin() + rank, values.end(),
                   std::greater<>());
  return values[rank];
}

}  // namespace

void consensus_member::UpdatePeers(time_point now) {
  std::erase_if(peers_, [&](const auto& item) {
    return membership().Find(item.first) == nullptr;
  });
  for (const log_member& member : membership().members) {
    if (member.id == identity_.id) continue;
    auto [position, inserted] = peers_.try_emplace(member.id);
    if (!inserted) continue;
    position->second.next = last_index() + 1;
    position->second.last_contact = now;
  }
}

consensus_message consensus_member::AppendHeader(peer_progress& peer,
                                                 time_point now) {
  consensus_message message;
  message.kind = message_kind::kAppend;
  message.term = state_.term;
  message.commit = commit_index_;
  message.sequence = ++sequence_;
  message.sent_us = Microseconds(now);
  if (commit_index_ >= term_start_index_) {
    if (const std::optional<time_point> confirmed = QuorumTime(now)) {
      message.confirmation_age_us = (now - *confirmed).count();
    }
  }
  if (peer.follower_us >= 0) {
    message.follower_us = peer.follower_us;
    message.held_us = (now - peer.follower_received).count();
  }
  // A follower with an older log may not know this leader's address.
  if (peer.state == replication_state::kProbe ||
      now - peer.last_contact > 2 * settings_.heartbeat) {
    message.members = {Self()};
  }
  return message;
}

void consensus_member::ReplicateAll(bool heartbeat, time_point now,
                                    consensus_effects* out) {
  for (const log_member& member : membership().members) {
    if (member.id != identity_.id) Replicate(member.id, heartbeat, now, out);
  }
}

void consensus_member::Replicate(member_id id, bool heartbeat, time_point now,
                                 consensus_effects* out) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  peer_progress& peer = found->second;
  if (peer.state != replication_state::kSnapshot && peer.next <= base_index_) {
    peer.state = replication_state::kSnapshot;
    peer.snapshot = snapshot_;
    peer.snapshot_offset = 0;
    SendSnapshotChunk(id, now, out);
  }
  if (peer.state == replication_state::kSnapshot) {
    if (!heartbeat) return;
    Send(id, AppendHeader(peer, now), out);
    if (now - peer.chunk_sent_at >=
        kChunkRetryHeartbeats * settings_.heartbeat) {
      SendSnapshotChunk(id, now, out);
    }
    return;
  }
  if (peer.state == replication_state::kProbe) {
    if (peer.probe_sent && !heartbeat) return;
    peer.probe_sent = true;
    consensus_message message = AppendHeader(peer, now);
    message.index = peer.next - 1;
    message.index_term = TermAt(message.index);
    Send(id, std::move(message), out);
    return;
  }
  bool sent = false;
  while (peer.next <= last_index() &&
         peer.next <= peer.match + settings_.max_in_flight_entries) {
    consensus_message message = AppendHeader(peer, now);
    message.index = peer.next - 1;
    message.index_term = TermAt(message.index);
    std::size_t bytes = 0;
    while (peer.next <= last_index() &&
           message.entries.size() < settings_.max_append_entries &&
           (bytes == 0 || bytes < settings_.max_append_bytes)) {
      const log_entry& entry = EntryAt(peer.next);
      bytes += entry.payload == nullptr ? 1 : entry.payload->size() + 1;
      message.entries.push_back(entry);
      ++peer.next;
    }
    Send(id, std::move(message), out);
    sent = true;
  }
  if (heartbeat && !sent) {
    consensus_message message = AppendHeader(peer, now);
    message.index = peer.next - 1;
    message.index_term = TermAt(message.index);
    Send(id, std::move(message), out);
  }
}

void consensus_member::SendSnapshotChunk(member_id id, time_point now,
                                         consensus_effects* out) {
  peer_progress& peer = peers_.at(id);
  static const std::string kNoState;
  const std::string& state =
      peer.snapshot.state == nullptr ? kNoState : *peer.snapshot.state;
  consensus_message message;
  message.kind = message_kind::kSnapshotChunk;
  message.term = state_.term;
  message.index = peer.snapshot.index;
  message.index_term = peer.snapshot.term;
  message.members = peer.snapshot.membership.members;
  message.offset = peer.snapshot_offset;
  message.total = state.size();
  message.data =
      state.substr(peer.snapshot_offset, settings_.snapshot_chunk_bytes);
  peer.chunk_sent_at = now;
  Send(id, std::move(message), out);
}

void consensus_member::RecordReply(peer_progress& peer,
                                   const consensus_message& message,
                                   time_point now) {
  peer.last_contact = now;
  peer.leaving = message.leaving;
  if (message.sequence > peer.acked_sequence) {
    peer.acked_sequence = message.sequence;
    peer.acked_sent_at = time_point(duration(message.sent_us));
    peer.acked = true;
  }
  if (message.follower_us >= 0) {
    peer.follower_us = message.follower_us;
    peer.follower_received = now;
  }
}

void consensus_member::OnAppendReply(const consensus_message& message,
                                     time_point now, consensus_effects* out) {
  const auto found = peers_.find(message.from);
  if (role_ != consensus_role::kLeader || found == peers_.end()) return;
  peer_progress& peer = found->second;
  RecordReply(peer, message, now);

  // The reply answers an append that was sent after `match` was acknowledged,
  // but the follower's log ends before `match`: synced entries were lost.
  if (peer.match > 0 && message.sequence >= peer.match_sequence &&
      message.commit < peer.match) {
    consensus_message stale;
    stale.kind = message_kind::kStaleDataFolder;
    stale.term = state_.term;
    stale.match = peer.match;
    Send(message.from, std::move(stale), out);
    return;
  }

  if (message.rejected) {
    if (message.index > peer.match && message.index < peer.next &&
        peer.state != replication_state::kSnapshot) {
      peer.next =
          std::max(peer.match + 1, std::min(message.index, message.match + 1));
      peer.state = replication_state::kProbe;
      peer.probe_sent = false;
      Replicate(message.from, false, now, out);
    }
    CompleteReads(now, out);
    return;
  }

  const log_index match = std::min(message.match, last_index());
  const log_index verified = std::min(message.index, last_index());
  const bool advanced = match > peer.match;
  if (advanced) {
    peer.match = match;
    peer.match_sequence = sequence_ + 1;
  }
  if (peer.state == replication_state::kProbe) {
    peer.state = replication_state::kReplicate;
    peer.next = std::max(peer.match, verified) + 1;
  } else if (peer.state == replication_state::kSnapshot &&
             verified >= peer.snapshot.index) {
    peer.state = replication_state::kReplicate;
    peer.next = verified + 1;
    peer.snapshot = {};
  }
  peer.next = std::max(peer.next, peer.match + 1);
  if (advanced) AdvanceCommit(now, out);
  if (role_ != consensus_role::kLeader) return;
  CompleteReads(now, out);
  Replicate(message.from, false, now, out);
  if (advanced) ContinueLeadershipTransfer(now, out);
}

void consensus_member::OnSnapshotReply(const consensus_message& message,
                                       time_point now, consensus_effects* out) {
  const auto found = peers_.find(message.from);
  if (role_ != consensus_role::kLeader || found == peers_.end()) return;
  peer_progress& peer = found->second;
  peer.last_contact = now;
  peer.leaving = message.leaving;
  if (peer.state != replication_state::kSnapshot ||
      message.index != peer.snapshot.index || peer.snapshot.state == nullptr ||
      message.offset > peer.snapshot.state->size()) {
    return;
  }
  // A reply to the outstanding chunk that requests a smaller offset means that
  // the follower has restarted the transfer. Other smaller offsets belong to
  // outdated replies.
  const bool answers_outstanding = message.total == peer.snapshot_offset;
  if (message.offset > peer.snapshot_offset ||
      (message.offset < peer.snapshot_offset && answers_outstanding)) {
    peer.snapshot_offset = message.offset;
    SendSnapshotChunk(message.from, now, out);
  }
}

void consensus_member::AdvanceCommit(time_point now, consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return;
  std::vector<log_index> matches;
  for (const log_member& member : membership().members) {
    if (member.role != member_role::kVoter &&
        !settings_.faults.count_learners) {
      continue;
    }
    const log_index own =
        settings_.faults.count_own_unsynced ? last_index() : durable_index_;
    matches.push_back(member.id == identity_.id ? own
                                                : peers_.at(member.id).match);
  }
  const log_index quorum = QuorumValue(std::move(matches));
  // An entry of an older term is committed only together with an entry of the
  // current term (Raft, section 5.4.2): a later leader could still replace an
  // entry that is merely stored on a majority.
  if (quorum <= commit_index_ ||
      (TermAt(quorum) != state_.term && !settings_.faults.commit_older_term)) {
    return;
  }
  commit_index_ = quorum;
  ApplyCommitted(out);
  if (role_ != consensus_role::kLeader) return;
  ReplicateAll(true, now, out);
  CompleteReads(now, out);
  if (!membership_change_pending() &&
      membership().Find(identity_.id) == nullptr) {
    BecomeFollower(state_.term, kNoMember, now, out);
  }
}

void consensus_member::ApplyCommitted(consensus_effects* out) {
  while (applied_index_ < commit_index_) {
    ++applied_index_;
    out->push_back(apply_entry_effect{EntryAt(applied_index_)});
  }
  ApplyPendingConfirmation();
}

std::uint64_t consensus_member::QuorumSequence() const {
  std::vector<std::uint64_t> acked;
  for (const log_member& member : membership().members) {
    if (member.role != member_role::kVoter) continue;
    acked.push_back(member.id == identity_.id
                        ? std::numeric_limits<std::uint64_t>::max()
                        : peers_.at(member.id).acked_sequence);
  }
  return acked.empty() ? 0 : QuorumValue(std::move(acked));
}

std::optional<time_point> consensus_member::QuorumTime(time_point now) const {
  std::vector<std::optional<time_point>> acked;
  for (const log_member& member : membership().members) {
    if (member.role != member_role::kVoter) continue;
    if (member.id == identity_.id) {
      acked.emplace_back(now);
      continue;
    }
    const auto peer = peers_.find(member.id);
    if (peer == peers_.end() || !peer->second.acked) {
      acked.emplace_back(std::nullopt);
    } else {
      acked.emplace_back(peer->second.acked_sent_at);
    }
  }
  return acked.empty() ? std::nullopt : QuorumValue(std::move(acked));
}

// ---- Requests from the owner ----

proposal_result consensus_member::Propose(shared_body payload, time_point now,
                                          consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return {result_code::kNotLeader, 0, 0};
  if (transfer_target_ != kNoMember) return {result_code::kShuttingDown, 0, 0};
  if (last_index() - commit_index_ >= settings_.max_uncommitted_entries) {
    return {result_code::kOverloaded, 0, 0};
  }
  if (payload != nullptr && payload->size() > settings_.max_payload_bytes) {
    return {result_code::kRequestTooLarge, 0, 0};
  }
  const proposal_result accepted{result_code::kOk, last_index() + 1,
                                 state_.term};
  AppendAsLeader(entry_kind::kCommand, std::move(payload), now, out);
  return accepted;
}

proposal_result consensus_member::ProposeMembership(
    const membership_change& change, time_point now, consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return {result_code::kNotLeader, 0, 0};
  if (transfer_target_ != kNoMember) return {result_code::kShuttingDown, 0, 0};
  // Majorities of consecutive memberships are sure to intersect only if the
  // earlier change is committed and this leader has committed an entry of its
  // own term.
  if ((membership_change_pending() || commit_index_ < term_start_index_) &&
      !settings_.faults.overlap_membership_changes) {
    return {result_code::kStillRunning, 0, 0};
  }
  const proposal_result refused{result_code::kInvalidField, 0, 0};
  group_membership next = membership();
  const auto member = std::find_if(
      next.members.begin(), next.members.end(),
      [&](const log_member& m) { return m.id == change.member.id; });
  const bool found = member != next.members.end();
  switch (change.kind) {
    case membership_change_kind::kAddLearner:
      if (found || change.member.id == kNoMember ||
          next.members.size() >= kMaxMembers) {
        return refused;
      }
      next.members.push_back(change.member);
      next.members.back().role = member_role::kLearner;
      break;
    case membership_change_kind::kPromote: {
      if (!found || member->role != member_role::kLearner) return refused;
      const peer_progress& peer = peers_.at(member->id);
      if (peer.match < commit_index_ ||
          now - peer.last_contact >= settings_.election_timeout_max) {
        return refused;
      }
      member->role = member_role::kVoter;
      break;
    }
    case membership_change_kind::kRemove:
      if (!found) return refused;
      next.members.erase(member);
      if (next.voter_count() == 0) return refused;
      break;
  }
  const proposal_result accepted{result_code::kOk, last_index() + 1,
                                 state_.term};
  AppendAsLeader(
      entry_kind::kMembership,
      std::make_shared<const std::string>(EncodeGroupMembership(next)), now,
      out);
  return accepted;
}

result_code consensus_member::ReadBarrier(std::uint64_t token, time_point now,
                                          consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return result_code::kNotLeader;
  if (pending_reads_.size() >= settings_.max_pending_reads) {
    return result_code::kOverloaded;
  }
  pending_reads_.push_back(
      {token, sequence_, std::max(commit_index_, term_start_index_)});
  ReplicateAll(true, now, out);
  CompleteReads(now, out);
  return result_code::kOk;
}

void consensus_member::CompleteReads(time_point, consensus_effects* out) {
  if (role_ != consensus_role::kLeader || pending_reads_.empty()) return;
  const std::uint64_t confirmed = QuorumSequence();
  while (!pending_reads_.empty() &&
         applied_index_ >= pending_reads_.front().index &&
         (pending_reads_.front().sequence < confirmed ||
          settings_.faults.read_without_quorum)) {
    out->push_back(read_ready_effect{pending_reads_.front().token,
                                     result_code::kOk,
                                     pending_reads_.front().index});
    pending_reads_.pop_front();
  }
}

void consensus_member::FailReads(result_code code, consensus_effects* out) {
  for (const pending_read& read : pending_reads_) {
    out->push_back(read_ready_effect{read.token, code, 0});
  }
  pending_reads_.clear();
}

result_code consensus_member::TransferLeadership(time_point now,
                                                 consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return result_code::kNotLeader;
  const peer_progress* best = nullptr;
  for (const auto& [id, peer] : peers_) {
    if (!membership().IsVoter(id) || peer.leaving ||
        now - peer.last_contact >= settings_.election_timeout_min) {
      continue;
    }
    if (best == nullptr || peer.match > best->match) {
      best = &peer;
      transfer_target_ = id;
    }
  }
  if (best == nullptr) return result_code::kNoQuorum;
  transfer_deadline_ = now + settings_.election_timeout_max;
  ContinueLeadershipTransfer(now, out);
  return result_code::kOk;
}

void consensus_member::ContinueLeadershipTransfer(time_point,
                                                  consensus_effects* out) {
  const auto peer = peers_.find(transfer_target_);
  if (peer == peers_.end() || peer->second.match < last_index()) return;
  consensus_message message;
  message.kind = message_kind::kTimeoutNow;
  message.term = state_.term;
  Send(transfer_target_, std::move(message), out);
}

void consensus_member::Leave(time_point now, consensus_effects* out) {
  if (leaving_ || role_ == consensus_role::kStopped) return;
  leaving_ = true;
  discover_due_ = now;
  transfer_due_ = now;
  Tick(now, out);
}

bool consensus_member::HandoverPending(std::size_t voters,
                                       duration alive_within,
                                       time_point now) const {
  if (!leaving_ || role_ == consensus_role::kStopped || removed()) return false;
  if (!membership().IsVoter(identity_.id)) return membership_change_pending();
  // A learner or a surplus voter is there to replace somebody.
  if (membership().members.size() > voters) return true;
  const std::vector<spare_status> candidates = spares(now);
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const spare_status& spare) {
                       return spare.since_last_contact < alive_within;
                     });
}

std::vector<peer_status> consensus_member::peers(time_point now) const {
  std::vector<peer_status> result;
  for (const auto& [id, peer] : peers_) {
    result.push_back(
        {*membership().Find(id), peer.match, now - peer.last_contact,
         peer.state == replication_state::kSnapshot, peer.leaving});
  }
  return result;
}

std::vector<spare_status> consensus_member::spares(time_point now) const {
  std::vector<spare_status> result;
  for (const auto& [instance, peer] : discovered_) {
    if (membership().Find(peer.member.id) == nullptr && !peer.leaving &&
        peer.formation == state_.formation) {
      result.push_back({peer.member, now - peer.last_contact});
    }
  }
  return result;
}

}  // namespace bilberrycourse
