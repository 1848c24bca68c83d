#include "bilberrycourse/consensus_member.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_codec.h"

// Log, persistence, roles and the entry points of one member.

namespace bilberrycourse {

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
  // The member has not heard from a leader since it started, so the first
  // election timeout may be shorter. A healthy leader is not disturbed, because
  // its followers reject pre-votes.
  std::uniform_int_distribution<std::int64_t> timeout_distribution(
      settings_.first_election_min.count(),
      settings_.election_timeout_min.count());
  election_due_ = now + duration(timeout_distribution(random_));
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
  const log_member* member = FindMember(leader_);
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
  persist_effect effect;
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

std::uint64_t consensus_member::IssuePersist(persist_effect effect,
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
  persist_effect effect;
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
  // Drops the versions before the one in force at `index`.
  auto next = std::find_if(
      memberships_.begin(), memberships_.end(),
      [&](const membership_version& version) { return version.index > index; });
  if (next != memberships_.begin()) {
    memberships_.erase(memberships_.begin(), std::prev(next));
  }
  snapshot_ = {index, term, memberships_.front().membership, std::move(state)};
  std::size_t trailing_bytes = 0;
  for (std::size_t i = 0; i < index - base_index_; ++i) {
    trailing_bytes += log_[i].payload == nullptr ? 0 : log_[i].payload->size();
  }
  while (base_index_ + settings_.trailing_entries < index ||
         (base_index_ < index && trailing_bytes > settings_.trailing_bytes)) {
    const shared_body& payload = log_.front().payload;
    trailing_bytes -= payload == nullptr ? 0 : payload->size();
    base_term_ = log_.front().term;
    ++base_index_;
    log_.pop_front();
  }
  persist_effect effect;
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

const log_member* consensus_member::FindMember(member_id id) const {
  if (id == kNoMember) return nullptr;
  if (const log_member* member = membership().Find(id)) return member;
  for (const auto& [instance, peer] : discovered_) {
    if (peer.member.id == id) return &peer.member;
  }
  return nullptr;
}

void consensus_member::Send(member_id to, consensus_message message,
                            consensus_effects* out) {
  const log_member* member = FindMember(to);
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
  message.leaving = leaving_;
  send_message_effect send{instance, address, std::move(message)};
  // Every message carries a term and a formation, so it is held back until the
  // hard state is synced. Unsynced entries are never acknowledged, because
  // replies carry durable_index_.
  if (state_position_ > persisted_position_) {
    pending_sends_.push_back({state_position_, std::move(send)});
  } else {
    out->push_back(std::move(send));
  }
}

consensus_message consensus_member::MakeReply(
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
  out->push_back(role_changed_effect{role, state_.term, leader});
}

void consensus_member::ResetElectionTimer(time_point now) {
  std::uniform_int_distribution<std::int64_t> timeout_distribution(
      settings_.election_timeout_min.count(),
      settings_.election_timeout_max.count());
  election_due_ = now + duration(timeout_distribution(random_));
}

bool consensus_member::HasRecentLeaderContact(time_point now) const {
  return role_ == consensus_role::kLeader ||
         (leader_ != kNoMember && has_leader_contact_ &&
          now - last_leader_contact_ < settings_.election_timeout_min);
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
    incoming_snapshot_ = {};
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
  out->push_back(stopped_effect{stop_code_, stop_reason_});
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

bool consensus_member::LogIsUpToDate(log_index index, log_term term) const {
  if (settings_.faults.skip_log_check_in_vote) return true;
  return term > LastTerm() || (term == LastTerm() && index >= last_index());
}

// ---- Events ----

void consensus_member::Tick(time_point now, consensus_effects* out) {
  if (role_ == consensus_role::kStopped) {
    if (!stop_reported_) {
      stop_reported_ = true;
      out->push_back(stopped_effect{stop_code_, stop_reason_});
    }
    return;
  }
  // A member without a leader may have been removed from the group while it was
  // unreachable; its discovery message lets the leader use it as a spare.
  const bool leaderless =
      role_ != consensus_role::kLeader &&
      now - std::max(last_leader_contact_, time_point(duration(started_us_))) >=
          4 * settings_.election_timeout_max;
  // A leaving member tells spares apart from those that leave as well, and
  // learns of its removal, as the leader sends nothing to a removed member.
  if ((role_ == consensus_role::kUnformed || leaderless || leaving_) &&
      now >= discover_due_) {
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
    if (transfer_target_ != kNoMember && now >= transfer_deadline_) {
      transfer_target_ = kNoMember;
    }
    if (leaving_ && transfer_target_ == kNoMember && now >= transfer_due_) {
      transfer_due_ = now + 2 * settings_.election_timeout_max;
      TransferLeadership(now, out);
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
  // Drops messages to an earlier identity of this instance and messages of
  // another formation of the group.
  if (message.to != identity_.id) return;
  if (message.formation == 0 || message.formation != state_.formation) return;
  if (message.members.size() == 1 &&
      message.members.front().id == message.from &&
      message.kind != message_kind::kSnapshotChunk &&
      discovered_.size() < kMaxDiscovered) {
    discovered_instance& peer = discovered_[message.members.front().instance];
    peer = {message.members.front(), message.formation, true, message.leaving,
            now};
  }

  switch (message.kind) {
    case message_kind::kPreVote:
      OnPreVote(message, now, out);
      return;
    case message_kind::kVote:
      // A vote request is ignored while the leader is in contact, so that a
      // partitioned candidate does not disturb the group.
      if (message.term > state_.term && !message.forced &&
          HasRecentLeaderContact(now)) {
        return;
      }
      break;
    case message_kind::kPreVoteReply:
      // A granted pre-vote carries the requested term, which no member has
      // entered yet.
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
                           message.kind == message_kind::kStaleDataFolder;
  if (message.term > state_.term) {
    BecomeFollower(message.term, from_leader ? message.from : kNoMember, now,
                   out);
  } else if (message.term < state_.term) {
    // Informs a deposed leader or candidate of the newer term.
    if (message.kind == message_kind::kAppend ||
        message.kind == message_kind::kSnapshotChunk) {
      consensus_message reply = MakeReply(message_kind::kAppendReply, message);
      reply.rejected = true;
      Send(message.from, std::move(reply), out);
    } else if (message.kind == message_kind::kVote) {
      consensus_message reply = MakeReply(message_kind::kVoteReply, message);
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
    has_leader_contact_ = true;
    last_leader_contact_ = now;
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
    case message_kind::kStaleDataFolder:
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

}  // namespace bilberrycourse
