#include "bilberrycourse/consensus_member.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "bilberrycourse/consensus_codec.h"

namespace bilberrycourse {
namespace {

// A group larger than this gains no availability and pays in messages.
constexpr std::size_t kMaxMembers = 16;
// Instances outside the group that are remembered.
constexpr std::size_t kMaxDiscovered = 64;
// Heartbeats without progress after which a snapshot chunk is sent again.
constexpr int kChunkRetryHeartbeats = 4;

std::int64_t Microseconds(time_point time) {
  return time.time_since_epoch().count();
}

// Returns the value that more than half of `values` reach or exceed.
template <typename T>
T QuorumValue(std::vector<T> values) {
  const std::size_t rank = values.size() / 2;
  std::nth_element(values.begin(), values.begin() + rank, values.end(),
                   std::greater<>());
  return values[rank];
}

}  // namespace

std::string_view ToString(consensus_role role) {
  switch (role) {
    case consensus_role::kUnformed:
      return "unformed";
    case consensus_role::kFollower:
      return "follower";
    case consensus_role::kPreCandidate:
      return "pre_candidate";
    case consensus_role::kCandidate:
      return "candidate";
    case consensus_role::kLeader:
      return "leader";
    case consensus_role::kStopped:
      return "stopped";
  }
  return "unknown";
}

consensus_member::consensus_member(consensus_settings settings,
                                   recovered_log recovered, time_point now)
    : settings_(std::move(settings)),
      identity_(std::move(recovered.identity)),
      group_(GroupHash(identity_.group)),
      random_(settings_.seed),
      state_(recovered.state) {
  if (recovered.snapshot) {
    snapshot_ = *std::move(recovered.snapshot);
    base_index_ = snapshot_.index;
    base_term_ = snapshot_.term;
    memberships_.push_back({snapshot_.index, snapshot_.membership});
  }
  for (log_entry& entry : recovered.entries) {
    if (!AddMembershipVersion(entry)) {
      role_ = consensus_role::kStopped;
      stop_code_ = result_code::kLogDamaged;
      stop_reason_ = "membership entry " + std::to_string(entry.index) +
                     " cannot be decoded";
      return;
    }
    log_.push_back(std::move(entry));
  }
  commit_index_ = applied_index_ = snapshot_.index;
  durable_index_ = last_index();
  if (formed()) role_ = consensus_role::kFollower;
  // Term 1 is only the term of the first entry; no election has taken place.
  formation_unsent_ =
      last_index() == 1 && snapshot_.index == 0 && state_.term == 1 &&
      state_.formation == static_cast<std::uint64_t>(identity_.id);
  started_us_ = Microseconds(now);
  clock_offset_ = static_cast<std::int64_t>(random_() >> 3);
  discover_due_ = now;
  ResetElectionTimer(now);
}

const group_membership& consensus_member::membership() const {
  static const group_membership kEmpty;
  return memberships_.empty() ? kEmpty : memberships_.back().membership;
}

bool consensus_member::membership_change_pending() const {
  return !memberships_.empty() && memberships_.back().index > commit_index_;
}

instance_name consensus_member::leader_instance() const {
  if (leader_ == identity_.id) return identity_.instance;
  const log_member* member = Lookup(leader_);
  return member == nullptr ? instance_name() : member->instance;
}

// ---- Log ----

log_term consensus_member::TermAt(log_index index) const {
  if (index == base_index_) return base_term_;
  if (index == snapshot_.index) return snapshot_.term;
  if (index < base_index_ || index > last_index()) return 0;
  return EntryAt(index).term;
}

const log_entry& consensus_member::EntryAt(log_index index) const {
  return log_[index - base_index_ - 1];
}

bool consensus_member::AddMembershipVersion(const log_entry& entry) {
  if (entry.kind != entry_kind::kMembership) return true;
  if (entry.payload == nullptr) return false;
  std::optional<group_membership> membership =
      DecodeGroupMembership(*entry.payload);
  if (!membership || membership->voter_count() == 0) return false;
  memberships_.push_back({entry.index, *std::move(membership)});
  return true;
}

void consensus_member::TruncateFrom(log_index index) {
  log_.resize(index - base_index_ - 1);
  while (!memberships_.empty() && memberships_.back().index >= index) {
    memberships_.pop_back();
  }
  durable_index_ = std::min(durable_index_, index - 1);
  for (pending_persist& pending : pending_persists_) {
    pending.last_index = std::min(pending.last_index, index - 1);
  }
}

void consensus_member::Append(log_index truncate_from,
                              std::vector<log_entry> entries,
                              consensus_effects* out) {
  if (truncate_from > 0) TruncateFrom(truncate_from);
  for (const log_entry& entry : entries) {
    if (!AddMembershipVersion(entry)) {
      Stop(result_code::kInternal,
           "received a membership entry that cannot be decoded", out);
      return;
    }
    log_.push_back(entry);
  }
  persist effect;
  effect.truncate_from = truncate_from;
  effect.entries = std::move(entries);
  IssuePersist(std::move(effect), out);
}

void consensus_member::AppendAsLeader(entry_kind kind, shared_body payload,
                                      time_point now, consensus_effects* out) {
  std::vector<log_entry> entries;
  entries.push_back({last_index() + 1, state_.term, kind, std::move(payload)});
  Append(0, std::move(entries), out);
  if (kind == entry_kind::kMembership) UpdatePeers(now);
  ReplicateAll(false, now, out);
  // A group of one voter commits without any reply.
  AdvanceCommit(now, out);
}

// ---- Persistence ----

std::uint64_t consensus_member::IssuePersist(persist effect,
                                             consensus_effects* out) {
  effect.position = ++issued_position_;
  effect.state = state_;
  if (effect.state_changed) state_position_ = effect.position;
  pending_persists_.push_back({effect.position, last_index()});
  if (settings_.faults.promise_before_persist) {
    durable_index_ = last_index();
    state_position_ = 0;
  }
  const std::uint64_t position = effect.position;
  out->push_back(std::move(effect));
  return position;
}

void consensus_member::PersistState(consensus_effects* out) {
  persist effect;
  effect.state_changed = true;
  IssuePersist(std::move(effect), out);
}

void consensus_member::OnPersisted(std::uint64_t position, time_point now,
                                   consensus_effects* out) {
  if (role_ == consensus_role::kStopped) return;
  persisted_position_ = std::max(persisted_position_, position);
  const log_index durable_before = durable_index_;
  while (!pending_persists_.empty() &&
         pending_persists_.front().position <= persisted_position_) {
    durable_index_ =
        std::max(durable_index_, pending_persists_.front().last_index);
    pending_persists_.pop_front();
  }
  while (!pending_sends_.empty() &&
         pending_sends_.front().position <= persisted_position_) {
    out->push_back(std::move(pending_sends_.front().send));
    pending_sends_.pop_front();
  }
  if (role_ == consensus_role::kCandidate &&
      state_position_ <= persisted_position_) {
    votes_[identity_.id] = true;
    if (HasVoteQuorum()) BecomeLeader(now, out);
  } else if (role_ == consensus_role::kLeader) {
    AdvanceCommit(now, out);
  } else if (durable_index_ > durable_before) {
    SendAppendReply(now, out);
  }
  if (role_ == consensus_role::kUnformed) TryFormGroup(now, out);
}

void consensus_member::OnPersistFailed(result_code code,
                                       const std::string& reason,
                                       consensus_effects* out) {
  Stop(code, reason, out);
}

void consensus_member::Compact(log_index index, shared_body state,
                               consensus_effects* out) {
  if (role_ == consensus_role::kStopped || index <= snapshot_.index ||
      index > applied_index_) {
    return;
  }
  const log_term term = TermAt(index);
  // The versions before the one in force at `index` are no longer needed.
  auto next = std::find_if(
      memberships_.begin(), memberships_.end(),
      [&](const membership_version& version) { return version.index > index; });
  if (next != memberships_.begin()) {
    memberships_.erase(memberships_.begin(), std::prev(next));
  }
  snapshot_ = {index, term, memberships_.front().membership, std::move(state)};
  while (base_index_ + settings_.trailing_entries < index) {
    base_term_ = log_.front().term;
    ++base_index_;
    log_.pop_front();
  }
  persist effect;
  effect.snapshot = snapshot_;
  effect.entries.assign(log_.begin() + (index - base_index_), log_.end());
  IssuePersist(std::move(effect), out);
}

bool consensus_member::compaction_due() const {
  return role_ != consensus_role::kStopped &&
         applied_index_ - snapshot_.index >= settings_.compaction_entries;
}

// ---- Sending ----

log_member consensus_member::Self() const {
  return {identity_.id, identity_.instance, settings_.address,
          member_role::kLearner};
}

const log_member* consensus_member::Lookup(member_id id) const {
  if (id == kNoMember) return nullptr;
  if (const log_member* member = membership().Find(id)) return member;
  for (const auto& [instance, peer] : discovered_) {
    if (peer.member.id == id) return &peer.member;
  }
  return nullptr;
}

void consensus_member::Send(member_id to, consensus_message message,
                            consensus_effects* out) {
  const log_member* member = Lookup(to);
  if (member == nullptr) return;
  message.to = to;
  SendTo(member->instance, member->address, std::move(message), out);
}

void consensus_member::SendTo(const instance_name& instance,
                              const std::string& address,
                              consensus_message message,
                              consensus_effects* out) {
  message.group = group_;
  message.formation = state_.formation;
  message.from = identity_.id;
  send_message send{instance, address, std::move(message)};
  // Every message states a term or a formation, so it waits until those are
  // synced. Entries that are not synced are never acknowledged: replies state
  // durable_index_.
  if (state_position_ > persisted_position_) {
    pending_sends_.push_back({state_position_, std::move(send)});
  } else {
    out->push_back(std::move(send));
  }
}

consensus_message consensus_member::Reply(
    message_kind kind, const consensus_message& request) const {
  consensus_message reply;
  reply.kind = kind;
  reply.term = state_.term;
  reply.to = request.from;
  return reply;
}

// ---- Roles ----

void consensus_member::SetRole(consensus_role role, member_id leader,
                               consensus_effects* out) {
  if (role_ == role && leader_ == leader) return;
  role_ = role;
  leader_ = leader;
  out->push_back(role_changed{role, state_.term, leader});
}

void consensus_member::ResetElectionTimer(time_point now) {
  std::uniform_int_distribution<std::int64_t> spread(
      settings_.election_timeout_min.count(),
      settings_.election_timeout_max.count());
  election_due_ = now + duration(spread(random_));
}

bool consensus_member::LeaderHeardRecently(time_point now) const {
  return role_ == consensus_role::kLeader ||
         (leader_ != kNoMember && leader_contact_ &&
          now - leader_heard_ < settings_.election_timeout_min);
}

void consensus_member::BecomeFollower(log_term term, member_id leader,
                                      time_point now, consensus_effects* out) {
  if (role_ == consensus_role::kLeader) {
    if (commit_index_ >= term_start_index_) {
      confirmed_ = std::max(confirmed_, QuorumTime(now));
    }
    FailReads(result_code::kNotLeader, out);
    peers_.clear();
    transfer_target_ = kNoMember;
  }
  if (role_ != consensus_role::kFollower) ResetElectionTimer(now);
  votes_.clear();
  if (term > state_.term) {
    state_.term = term;
    state_.voted_for = kNoMember;
    verified_index_ = 0;
    last_sequence_ = 0;
    incoming_ = {};
    PersistState(out);
  }
  SetRole(formed() ? consensus_role::kFollower : consensus_role::kUnformed,
          leader, out);
}

void consensus_member::Stop(result_code code, std::string reason,
                            consensus_effects* out) {
  if (role_ == consensus_role::kStopped) return;
  FailReads(code, out);
  peers_.clear();
  pending_sends_.clear();
  stop_code_ = code;
  stop_reason_ = std::move(reason);
  stop_reported_ = true;
  SetRole(consensus_role::kStopped, kNoMember, out);
  out->push_back(stopped{stop_code_, stop_reason_});
}

bool consensus_member::HasVoteQuorum() const {
  std::size_t granted = 0;
  for (const log_member& member : membership().members) {
    const auto vote = votes_.find(member.id);
    if (member.role == member_role::kVoter && vote != votes_.end() &&
        vote->second) {
      ++granted;
    }
  }
  return granted > membership().voter_count() / 2;
}

bool consensus_member::LogIsCurrent(log_index index, log_term term) const {
  if (settings_.faults.skip_log_check_in_vote) return true;
  return term > LastTerm() || (term == LastTerm() && index >= last_index());
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
  incoming_ = {};
  PersistState(out);
  SetRole(consensus_role::kCandidate, kNoMember, out);
  // The own vote counts once it is synced; the requests wait for it as well,
  // because a repeated campaign in this term after a crash could collect votes
  // that were granted for a longer log.
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

// ---- Events ----

void consensus_member::Tick(time_point now, consensus_effects* out) {
  if (role_ == consensus_role::kStopped) {
    if (!stop_reported_) {
      stop_reported_ = true;
      out->push_back(stopped{stop_code_, stop_reason_});
    }
    return;
  }
  // A member without a leader may have been removed while it was away; its
  // announcement lets the leader use it as a spare.
  const bool alone =
      role_ != consensus_role::kLeader &&
      now - std::max(leader_heard_, time_point(duration(started_us_))) >=
          4 * settings_.election_timeout_max;
  if ((role_ == consensus_role::kUnformed || alone) && now >= discover_due_) {
    Discover(now, out);
  }
  if (role_ == consensus_role::kUnformed) return;

  if (role_ == consensus_role::kLeader) {
    if (!settings_.faults.skip_check_quorum) {
      const time_point contact =
          std::max(QuorumTime(now).value_or(leader_since_), leader_since_);
      if (now - contact >= settings_.election_timeout_max) {
        BecomeFollower(state_.term, kNoMember, now, out);
        return;
      }
    }
    if (transfer_target_ != kNoMember && now >= transfer_due_) {
      transfer_target_ = kNoMember;
    }
    if (now >= heartbeat_due_) {
      heartbeat_due_ = now + settings_.heartbeat;
      ReplicateAll(true, now, out);
    }
    return;
  }
  if (now >= election_due_ && membership().IsVoter(identity_.id)) {
    StartPreVote(now, out);
  }
}

void consensus_member::Step(const consensus_message& message, time_point now,
                            consensus_effects* out) {
  if (role_ == consensus_role::kStopped || message.group != group_ ||
      message.from == identity_.id || message.from == kNoMember) {
    return;
  }
  if (message.kind == message_kind::kDiscover ||
      message.kind == message_kind::kDiscoverReply) {
    OnDiscover(message, now, out);
    return;
  }
  // A message to the earlier identity of this instance, or of another
  // formation of the group, is not for this member.
  if (message.to != identity_.id) return;
  if (message.formation == 0 || message.formation != state_.formation) return;
  if (message.members.size() == 1 &&
      message.members.front().id == message.from &&
      message.kind != message_kind::kSnapshotChunk &&
      discovered_.size() < kMaxDiscovered) {
    discovered& peer = discovered_[message.members.front().instance];
    peer = {message.members.front(), message.formation, true, now};
  }

  switch (message.kind) {
    case message_kind::kPreVote:
      OnPreVote(message, now, out);
      return;
    case message_kind::kVote:
      // A vote request does not disturb members that hear from their leader.
      if (message.term > state_.term && !message.forced &&
          LeaderHeardRecently(now)) {
        return;
      }
      break;
    case message_kind::kPreVoteReply:
      // A grant names the term asked for, which nobody has entered yet.
      if (!message.rejected) {
        OnVoteReply(message, now, out);
        return;
      }
      break;
    default:
      break;
  }

  const bool from_leader = message.kind == message_kind::kAppend ||
                           message.kind == message_kind::kSnapshotChunk ||
                           message.kind == message_kind::kTimeoutNow ||
                           message.kind == message_kind::kStaleFolder;
  if (message.term > state_.term) {
    BecomeFollower(message.term, from_leader ? message.from : kNoMember, now,
                   out);
  } else if (message.term < state_.term) {
    // Tells a deposed leader or candidate the newer term.
    if (message.kind == message_kind::kAppend ||
        message.kind == message_kind::kSnapshotChunk) {
      consensus_message reply = Reply(message_kind::kAppendReply, message);
      reply.rejected = true;
      Send(message.from, std::move(reply), out);
    } else if (message.kind == message_kind::kVote) {
      consensus_message reply = Reply(message_kind::kVoteReply, message);
      reply.rejected = true;
      Send(message.from, std::move(reply), out);
    }
    return;
  }

  if (from_leader) {
    if (role_ == consensus_role::kLeader) {
      Stop(result_code::kInternal,
           "another leader in term " + std::to_string(state_.term), out);
      return;
    }
    if (leader_ != message.from || role_ == consensus_role::kPreCandidate ||
        role_ == consensus_role::kCandidate) {
      BecomeFollower(state_.term, message.from, now, out);
    }
    leader_contact_ = true;
    leader_heard_ = now;
    ResetElectionTimer(now);
  }
  switch (message.kind) {
    case message_kind::kVote:
      OnVote(message, now, out);
      return;
    case message_kind::kVoteReply:
      OnVoteReply(message, now, out);
      return;
    case message_kind::kAppend:
      OnAppend(message, now, out);
      return;
    case message_kind::kAppendReply:
      OnAppendReply(message, now, out);
      return;
    case message_kind::kSnapshotChunk:
      OnSnapshotChunk(message, now, out);
      return;
    case message_kind::kSnapshotReply:
      OnSnapshotReply(message, now, out);
      return;
    case message_kind::kTimeoutNow:
      OnTimeoutNow(message, now, out);
      return;
    case message_kind::kStaleFolder:
      Stop(result_code::kDataFolderForeign,
           "the data folder is older than what this member has acknowledged "
           "up to entry " +
               std::to_string(message.match),
           out);
      return;
    default:
      return;
  }
}

// ---- Elections ----

void consensus_member::OnPreVote(const consensus_message& message,
                                 time_point now, consensus_effects* out) {
  consensus_message reply = Reply(message_kind::kPreVoteReply, message);
  reply.rejected = message.term <= state_.term || LeaderHeardRecently(now) ||
                   !LogIsCurrent(message.index, message.index_term);
  if (!reply.rejected) reply.term = message.term;
  Send(message.from, std::move(reply), out);
}

void consensus_member::OnVote(const consensus_message& message, time_point now,
                              consensus_effects* out) {
  consensus_message reply = Reply(message_kind::kVoteReply, message);
  const bool free =
      state_.voted_for == kNoMember || state_.voted_for == message.from;
  const bool granted = (free || settings_.faults.forget_vote) &&
                       role_ != consensus_role::kLeader &&
                       LogIsCurrent(message.index, message.index_term);
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

// ---- Replication, follower ----

void consensus_member::OnAppend(const consensus_message& message,
                                time_point now, consensus_effects* out) {
  if (message.sequence > last_sequence_) {
    last_sequence_ = message.sequence;
    last_sent_us_ = message.sent_us;
  }
  for (std::size_t i = 0; i < message.entries.size(); ++i) {
    if (message.entries[i].index != message.index + 1 + i) return;
  }
  const bool missing = message.index > last_index();
  const bool different = !missing && message.index >= base_index_ &&
                         TermAt(message.index) != message.index_term &&
                         !settings_.faults.skip_previous_entry_check;
  if (missing || different) {
    consensus_message reply = Reply(message_kind::kAppendReply, message);
    reply.rejected = true;
    reply.index = message.index;
    reply.match = missing ? last_index() : message.index - 1;
    // Skips the whole conflicting term, so that the leader needs one round
    // for each term instead of one for each entry.
    if (different) {
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
  std::vector<log_entry> added;
  for (const log_entry& entry : message.entries) {
    if (entry.index <= base_index_) continue;
    if (added.empty() && entry.index <= last_index()) {
      if (TermAt(entry.index) == entry.term) continue;
      if (entry.index <= commit_index_) {
        Stop(result_code::kInternal,
             "the leader contradicts committed entry " +
                 std::to_string(entry.index),
             out);
        return;
      }
      truncate_from = entry.index;
    }
    added.push_back(entry);
  }
  if (!added.empty()) Append(truncate_from, std::move(added), out);
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
  NoteConfirmation(message, now);
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

// The leader's age is as of sending. The time since this member's own last
// reply, less the time that the leader held it, covers the way of that reply
// and of this message; it bounds the transit without comparing two clocks.
void consensus_member::NoteConfirmation(const consensus_message& message,
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

void consensus_member::PromoteConfirmation() {
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
    // Committed entries are equal on all members.
    verified_index_ = std::max(verified_index_, message.index);
    incoming_ = {};
    SendAppendReply(now, out);
    return;
  }
  if (message.total > settings_.max_snapshot_bytes ||
      message.data.size() > message.total ||
      group_membership{message.members}.voter_count() == 0) {
    return;
  }
  if (incoming_.from != message.from || incoming_.term != message.term ||
      incoming_.index != message.index) {
    incoming_ = {
        message.from, message.term, message.index, message.index_term, {}};
  }
  if (message.offset == incoming_.data.size() &&
      message.data.size() <= message.total - message.offset) {
    incoming_.data += message.data;
  }
  if (incoming_.data.size() < message.total) {
    consensus_message reply = Reply(message_kind::kSnapshotReply, message);
    reply.index = message.index;
    reply.offset = incoming_.data.size();
    reply.total = message.offset;
    Send(message.from, std::move(reply), out);
    return;
  }
  log_snapshot snapshot{
      message.index,
      message.index_term,
      {message.members},
      std::make_shared<const std::string>(std::move(incoming_.data))};
  incoming_ = {};
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
  persist effect;
  effect.snapshot = snapshot_;
  effect.entries.assign(log_.begin(), log_.end());
  IssuePersist(std::move(effect), out);
  out->push_back(restore_snapshot{snapshot_});
  PromoteConfirmation();
  if (role_ == consensus_role::kUnformed) {
    SetRole(consensus_role::kFollower, leader_, out);
  }
  SendAppendReply(now, out);
}

// ---- Replication, leader ----

void consensus_member::UpdatePeers(time_point now) {
  std::erase_if(peers_, [&](const auto& item) {
    return membership().Find(item.first) == nullptr;
  });
  for (const log_member& member : membership().members) {
    if (member.id == identity_.id) continue;
    auto [position, added] = peers_.try_emplace(member.id);
    if (!added) continue;
    position->second.next = last_index() + 1;
    position->second.last_heard = now;
  }
}

consensus_message consensus_member::AppendHeader(progress& peer,
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
  if (peer.state == transfer_state::kProbe ||
      now - peer.last_heard > 2 * settings_.heartbeat) {
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
  progress& peer = found->second;
  if (peer.state != transfer_state::kSnapshot && peer.next <= base_index_) {
    peer.state = transfer_state::kSnapshot;
    peer.snapshot = snapshot_;
    peer.snapshot_offset = 0;
    SendChunk(id, now, out);
  }
  if (peer.state == transfer_state::kSnapshot) {
    if (!heartbeat) return;
    Send(id, AppendHeader(peer, now), out);
    if (now - peer.snapshot_sent >=
        kChunkRetryHeartbeats * settings_.heartbeat) {
      SendChunk(id, now, out);
    }
    return;
  }
  if (peer.state == transfer_state::kProbe) {
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

void consensus_member::SendChunk(member_id id, time_point now,
                                 consensus_effects* out) {
  progress& peer = peers_.at(id);
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
  peer.snapshot_sent = now;
  Send(id, std::move(message), out);
}

void consensus_member::NoteReply(progress& peer,
                                 const consensus_message& message,
                                 time_point now) {
  peer.last_heard = now;
  if (message.sequence > peer.acked_sequence) {
    peer.acked_sequence = message.sequence;
    peer.acked_sent = time_point(duration(message.sent_us));
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
  progress& peer = found->second;
  NoteReply(peer, message, now);

  // The reply answers an append that was sent after `match` was acknowledged,
  // yet the log ends before it: synced entries are gone.
  if (peer.match > 0 && message.sequence >= peer.match_sequence &&
      message.commit < peer.match) {
    consensus_message stale;
    stale.kind = message_kind::kStaleFolder;
    stale.term = state_.term;
    stale.match = peer.match;
    Send(message.from, std::move(stale), out);
    return;
  }

  if (message.rejected) {
    if (message.index > peer.match && message.index < peer.next &&
        peer.state != transfer_state::kSnapshot) {
      peer.next =
          std::max(peer.match + 1, std::min(message.index, message.match + 1));
      peer.state = transfer_state::kProbe;
      peer.probe_sent = false;
      Replicate(message.from, false, now, out);
    }
    AnswerReads(now, out);
    return;
  }

  const log_index match = std::min(message.match, last_index());
  const log_index verified = std::min(message.index, last_index());
  const bool advanced = match > peer.match;
  if (advanced) {
    peer.match = match;
    peer.match_sequence = sequence_ + 1;
  }
  if (peer.state == transfer_state::kProbe) {
    peer.state = transfer_state::kReplicate;
    peer.next = std::max(peer.match, verified) + 1;
  } else if (peer.state == transfer_state::kSnapshot &&
             verified >= peer.snapshot.index) {
    peer.state = transfer_state::kReplicate;
    peer.next = verified + 1;
    peer.snapshot = {};
  }
  peer.next = std::max(peer.next, peer.match + 1);
  if (advanced) AdvanceCommit(now, out);
  if (role_ != consensus_role::kLeader) return;
  AnswerReads(now, out);
  Replicate(message.from, false, now, out);
  if (advanced) ContinueTransfer(now, out);
}

void consensus_member::OnSnapshotReply(const consensus_message& message,
                                       time_point now, consensus_effects* out) {
  const auto found = peers_.find(message.from);
  if (role_ != consensus_role::kLeader || found == peers_.end()) return;
  progress& peer = found->second;
  peer.last_heard = now;
  if (peer.state != transfer_state::kSnapshot ||
      message.index != peer.snapshot.index || peer.snapshot.state == nullptr ||
      message.offset > peer.snapshot.state->size()) {
    return;
  }
  // An answer to the outstanding chunk that asks for an earlier one means that
  // the follower has started over. Other smaller offsets are old replies.
  const bool answers_outstanding = message.total == peer.snapshot_offset;
  if (message.offset > peer.snapshot_offset ||
      (message.offset < peer.snapshot_offset && answers_outstanding)) {
    peer.snapshot_offset = message.offset;
    SendChunk(message.from, now, out);
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
    matches.push_back(member.id == identity_.id ? durable_index_
                                                : peers_.at(member.id).match);
  }
  const log_index quorum = QuorumValue(std::move(matches));
  // An entry of an older term is committed only together with one of the own
  // term; by count alone a later leader could still replace it.
  if (quorum <= commit_index_ ||
      (TermAt(quorum) != state_.term && !settings_.faults.commit_older_term)) {
    return;
  }
  commit_index_ = quorum;
  ApplyCommitted(out);
  if (role_ != consensus_role::kLeader) return;
  ReplicateAll(true, now, out);
  AnswerReads(now, out);
  if (!membership_change_pending() &&
      membership().Find(identity_.id) == nullptr) {
    BecomeFollower(state_.term, kNoMember, now, out);
  }
}

void consensus_member::ApplyCommitted(consensus_effects* out) {
  while (applied_index_ < commit_index_) {
    ++applied_index_;
    out->push_back(apply{EntryAt(applied_index_)});
  }
  PromoteConfirmation();
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
      acked.emplace_back(peer->second.acked_sent);
    }
  }
  return acked.empty() ? std::nullopt : QuorumValue(std::move(acked));
}

// ---- Requests of the owner ----

proposal consensus_member::Propose(shared_body payload, time_point now,
                                   consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return {result_code::kNotLeader, 0, 0};
  if (transfer_target_ != kNoMember) return {result_code::kShuttingDown, 0, 0};
  if (last_index() - commit_index_ >= settings_.max_uncommitted_entries) {
    return {result_code::kOverloaded, 0, 0};
  }
  if (payload != nullptr && payload->size() > settings_.max_payload_bytes) {
    return {result_code::kRequestTooLarge, 0, 0};
  }
  const proposal accepted{result_code::kOk, last_index() + 1, state_.term};
  AppendAsLeader(entry_kind::kCommand, std::move(payload), now, out);
  return accepted;
}

proposal consensus_member::ProposeMembership(const membership_change& change,
                                             time_point now,
                                             consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return {result_code::kNotLeader, 0, 0};
  if (transfer_target_ != kNoMember) return {result_code::kShuttingDown, 0, 0};
  // Two majorities of consecutive memberships intersect only if the earlier
  // change is committed and this leader has committed in its own term.
  if ((membership_change_pending() || commit_index_ < term_start_index_) &&
      !settings_.faults.overlap_membership_changes) {
    return {result_code::kStillRunning, 0, 0};
  }
  const proposal refused{result_code::kInvalidField, 0, 0};
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
      const progress& peer = peers_.at(member->id);
      if (peer.match < commit_index_ ||
          now - peer.last_heard >= settings_.election_timeout_max) {
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
  const proposal accepted{result_code::kOk, last_index() + 1, state_.term};
  AppendAsLeader(
      entry_kind::kMembership,
      std::make_shared<const std::string>(EncodeGroupMembership(next)), now,
      out);
  return accepted;
}

result_code consensus_member::ReadBarrier(std::uint64_t token, time_point now,
                                          consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return result_code::kNotLeader;
  if (reads_.size() >= settings_.max_pending_reads) {
    return result_code::kOverloaded;
  }
  reads_.push_back(
      {token, sequence_, std::max(commit_index_, term_start_index_)});
  ReplicateAll(true, now, out);
  AnswerReads(now, out);
  return result_code::kOk;
}

void consensus_member::AnswerReads(time_point, consensus_effects* out) {
  if (role_ != consensus_role::kLeader || reads_.empty()) return;
  const std::uint64_t confirmed = QuorumSequence();
  while (!reads_.empty() && applied_index_ >= reads_.front().index &&
         (reads_.front().sequence < confirmed ||
          settings_.faults.read_without_quorum)) {
    out->push_back(read_ready{reads_.front().token, result_code::kOk,
                              reads_.front().index});
    reads_.pop_front();
  }
}

void consensus_member::FailReads(result_code code, consensus_effects* out) {
  for (const pending_read& read : reads_) {
    out->push_back(read_ready{read.token, code, 0});
  }
  reads_.clear();
}

result_code consensus_member::TransferLeadership(time_point now,
                                                 consensus_effects* out) {
  if (role_ != consensus_role::kLeader) return result_code::kNotLeader;
  const progress* best = nullptr;
  for (const auto& [id, peer] : peers_) {
    if (!membership().IsVoter(id) ||
        now - peer.last_heard >= settings_.election_timeout_min) {
      continue;
    }
    if (best == nullptr || peer.match > best->match) {
      best = &peer;
      transfer_target_ = id;
    }
  }
  if (best == nullptr) return result_code::kNoQuorum;
  transfer_due_ = now + settings_.election_timeout_max;
  ContinueTransfer(now, out);
  return result_code::kOk;
}

void consensus_member::ContinueTransfer(time_point, consensus_effects* out) {
  const auto peer = peers_.find(transfer_target_);
  if (peer == peers_.end() || peer->second.match < last_index()) return;
  consensus_message message;
  message.kind = message_kind::kTimeoutNow;
  message.term = state_.term;
  Send(transfer_target_, std::move(message), out);
}

std::vector<peer_status> consensus_member::peers(time_point now) const {
  std::vector<peer_status> result;
  for (const auto& [id, peer] : peers_) {
    result.push_back({*membership().Find(id), peer.match, now - peer.last_heard,
                      peer.state == transfer_state::kSnapshot});
  }
  return result;
}

std::vector<spare_status> consensus_member::spares(time_point now) const {
  std::vector<spare_status> result;
  if (role_ != consensus_role::kLeader) return result;
  for (const auto& [instance, peer] : discovered_) {
    if (membership().Find(peer.member.id) == nullptr &&
        peer.formation == state_.formation) {
      result.push_back({peer.member, now - peer.heard});
    }
  }
  return result;
}

// ---- Formation of the group ----

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
  if (!formed() && IsCoordinator(identity_.instance) && !KnowsFormedPeer(now) &&
      state_.formation == 0) {
    state_.formation = static_cast<std::uint64_t>(identity_.id);
    PersistState(out);
  }
  for (const control_instance& configured : settings_.instances) {
    if (configured.instance == identity_.instance) continue;
    consensus_message message;
    message.kind = message_kind::kDiscover;
    message.formed = formed();
    message.members = {Self()};
    SendTo(configured.instance, configured.address, std::move(message), out);
  }
  TryFormGroup(now, out);
}

void consensus_member::OnDiscover(const consensus_message& message,
                                  time_point now, consensus_effects* out) {
  if (message.members.size() != 1 ||
      message.members.front().id != message.from) {
    return;
  }
  const log_member& sender = message.members.front();
  if (sender.instance == identity_.instance) return;
  if (discovered_.size() >= kMaxDiscovered &&
      !discovered_.contains(sender.instance)) {
    return;
  }
  discovered_[sender.instance] = {sender, message.formation, message.formed,
                                  now};
  if (!formed() && message.formation != 0 &&
      message.formation != state_.formation) {
    // A group that exists comes before one that is being formed.
    const bool joins =
        message.formed ||
        (IsCoordinator(sender.instance) && !KnowsFormedPeer(now) &&
         message.formation == static_cast<std::uint64_t>(sender.id));
    if (joins) {
      state_.formation = message.formation;
      PersistState(out);
    }
  }
  // An initial voter that was wiped before the first election: the group is
  // formed again with its new identity. With two such voters it could never
  // elect a leader.
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
    reply.members = {Self()};
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
      // An old answer may be from before the instance joined a group.
      const bool fresh =
          peer != discovered_.end() &&
          now - peer->second.heard <= 3 * settings_.discover_interval;
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
