#ifndef BILBERRYCOURSE_CONSENSUS_MEMBER_H_
#define BILBERRYCOURSE_CONSENSUS_MEMBER_H_

// One member of the replicated log (Raft), as a state machine that uses no
// clock, socket or file.
//
//   consensus_member member(settings, recovered, now);
//   std::vector<consensus_effect> out;
//   member.Tick(now, &out);                // every 10 ms
//   member.Step(message, now, &out);       // on each message from a peer
//   proposal_result proposal = member.Propose(body, now, &out);
//   for (consensus_effect& effect : out) std::visit(executor, effect);
//   member.OnPersisted(position, now, &out);  // once an effect is synced
//   if (member.compaction_due()) {
//     member.Compact(member.applied_index(), state.ToBytes(), &out);
//   }
//
// The owner restores its state from recovered.snapshot before it constructs
// the member; later snapshots arrive as effects. Committed entries after the
// snapshot are applied again once a leader confirms them.
//
// Effects are executed in order. Persist effects are written and synced in
// order, possibly on another thread; messages that depend on a pending write
// are held back until OnPersisted().
//
// A proposal is committed when an apply_entry_effect carries its index and
// term. An apply_entry_effect of that index with another term, or a snapshot
// that covers the index, means that the proposal was lost or that its outcome
// is unknown.
//
// Group formation: members whose data folder holds no log exchange kDiscover
// messages. The initial voter with the lowest instance name forms the group
// when every configured control instance, spares included, has recently
// replied that it belongs to no group. A member that learns of an existing
// group never forms one; it waits as a spare until the leader adds it as a
// learner. A wiped member therefore rejoins as a spare under its new id. A
// member of a group replies with the whole membership, so that a new instance
// finds the leader even if the instances in its configuration have left the
// group.

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "bilberrycourse/consensus_types.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// A configured control instance.
struct control_instance {
  instance_name instance;
  std::string address;
  // False for a spare, which joins only when it replaces a lost member.
  bool initial_voter = true;
};

// Injected faults, each of which removes one safety rule. Set only by tests,
// to verify that their checks detect each fault.
struct consensus_test_faults {
  bool promise_before_persist = false;
  bool commit_older_term = false;
  bool skip_check_quorum = false;
  bool read_without_quorum = false;
  bool skip_log_check_in_vote = false;
  bool forget_vote = false;
  bool skip_previous_entry_check = false;
  bool form_without_peers = false;
  bool overlap_membership_changes = false;
  bool confirm_before_applied = false;
  bool confirm_without_transit = false;
  bool count_learners = false;
  bool count_own_unsynced = false;
};

struct consensus_settings {
  std::string address;
  // All control instances, including this one; the list must be the same on
  // each of them.
  std::vector<control_instance> instances;
  // False for an instance that is added to an existing deployment: with an
  // empty data folder it only joins an existing group.
  bool may_form_group = true;
  // Seeds the election timeouts and the offset of the clock that followers
  // send; must differ between members and between starts.
  std::uint64_t seed = 0;
  duration heartbeat = std::chrono::milliseconds(75);
  duration election_timeout_min = std::chrono::milliseconds(300);
  duration election_timeout_max = std::chrono::milliseconds(600);
  // Minimum delay between the start of a member and its first election; the
  // connections of its instance take about 20 ms to open.
  duration first_election_min = std::chrono::milliseconds(50);
  duration discover_interval = std::chrono::milliseconds(200);
  // Limits of one message and of the entries in flight to one follower.
  std::size_t max_append_entries = 64;
  std::size_t max_append_bytes = 256 * 1024;
  std::size_t max_in_flight_entries = 512;
  std::size_t snapshot_chunk_bytes = 64 * 1024;
  std::size_t max_snapshot_bytes = 64 * 1024 * 1024;
  std::size_t max_payload_bytes = 4 * 1024 * 1024;
  // Uncommitted entries above which proposals are refused with kOverloaded.
  std::size_t max_uncommitted_entries = 4096;
  std::size_t max_pending_reads = 4096;
  // Applied entries since the last snapshot after which compaction_due() is
  // true, and entries that stay in memory for followers that lag slightly, with
  // their payloads up to `trailing_bytes`.
  std::size_t compaction_entries = 256;
  std::size_t trailing_entries = 128;
  std::size_t trailing_bytes = 4 * 1024 * 1024;
  consensus_test_faults faults;
};

enum class consensus_role : std::uint8_t {
  // Has no log: waits until the group forms or the leader adds this member.
  kUnformed,
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kStopped,
};

std::string_view ToString(consensus_role role);

struct send_message_effect {
  instance_name to;
  std::string address;
  consensus_message message;
};

// Asks the owner to write and sync the changes, then call
// OnPersisted(position). If `snapshot` is set, the log is replaced by snapshot,
// state and `entries`; otherwise entries from `truncate_from` on (if not 0) are
// removed before `entries` are appended.
struct persist_effect {
  std::uint64_t position = 0;
  hard_state state;
  bool state_changed = false;
  log_index truncate_from = 0;
  std::optional<log_snapshot> snapshot;
  std::vector<log_entry> entries;
};

// Applies a committed entry. Entries are delivered in order, without gaps.
struct apply_entry_effect {
  log_entry entry;
};

// Replaces the applied state by that of the snapshot.
struct restore_snapshot_effect {
  log_snapshot snapshot;
};

// Result of ReadBarrier: with kOk, the state applied up to `index` reflects
// every change that was confirmed before the call.
struct read_ready_effect {
  std::uint64_t token = 0;
  result_code code = result_code::kOk;
  log_index index = 0;
};

struct role_changed_effect {
  consensus_role role = consensus_role::kUnformed;
  log_term term = 0;
  member_id leader = kNoMember;
};

// The member has stopped for good; `reason` is the cause.
struct stopped_effect {
  result_code code = result_code::kInternal;
  std::string reason;
};

using consensus_effect =
    std::variant<send_message_effect, persist_effect, apply_entry_effect,
                 restore_snapshot_effect, read_ready_effect,
                 role_changed_effect, stopped_effect>;
using consensus_effects = std::vector<consensus_effect>;

// Result of Propose: kOk with the index and term of the new entry, or the
// reason for the refusal.
struct proposal_result {
  result_code code = result_code::kOk;
  log_index index = 0;
  log_term term = 0;
};

// Replication status of a member, as known to the leader.
struct peer_status {
  log_member member;
  log_index match = 0;
  // Time since the last message from the member.
  duration since_last_contact{0};
  bool receiving_snapshot = false;
  // The member is shutting down.
  bool leaving = false;
};

// An instance outside the group that could replace a lost member.
struct spare_status {
  log_member member;
  duration since_last_contact{0};
};

class consensus_member {
 public:
  consensus_member(consensus_settings settings, recovered_log recovered,
                   time_point now);

  void Step(const consensus_message& message, time_point now,
            consensus_effects* out);
  void Tick(time_point now, consensus_effects* out);

  // Further instances at which a group may be found. They have no part in its
  // formation, which all members must base on the same instances.
  void SetDiscoveryTargets(std::vector<control_instance> targets) {
    discovery_targets_ = std::move(targets);
  }

  // Appends a command if this member is the leader. Returns kNotLeader,
  // kOverloaded, kShuttingDown (leadership is being transferred) or
  // kRequestTooLarge otherwise.
  proposal_result Propose(shared_body payload, time_point now,
                          consensus_effects* out);

  // Refused with kStillRunning while another change is uncommitted, and with
  // kInvalidField for a change that does not fit the membership, for example
  // the promotion of a learner that has not caught up.
  proposal_result ProposeMembership(const membership_change& change,
                                    time_point now, consensus_effects* out);

  // Completed by a read_ready_effect; refused with kNotLeader or kOverloaded.
  result_code ReadBarrier(std::uint64_t token, time_point now,
                          consensus_effects* out);

  // Called when all persist effects up to `position` are synced.
  void OnPersisted(std::uint64_t position, time_point now,
                   consensus_effects* out);
  // Called when a write or sync has failed; the member stops for good.
  void OnPersistFailed(result_code code, const std::string& reason,
                       consensus_effects* out);

  // Replaces the log up to `index`, which must be applied, by a snapshot of
  // `state`.
  void Compact(log_index index, shared_body state, consensus_effects* out);
  bool compaction_due() const;

  // Called when the links of this instance reach a majority of the voters. A
  // voter that knows no leader then campaigns within a heartbeat instead of an
  // election timeout: after a loss of power its first campaigns fail, because
  // the links are not open yet. A healthy leader is not disturbed, because its
  // followers reject pre-votes.
  void OnMajorityLinked(time_point now);

  // Transfers leadership to the voter with the most advanced log; aborted after
  // an election timeout. Returns kNotLeader if this member is not the leader,
  // and kNoQuorum if no other voter is in contact.
  result_code TransferLeadership(time_point now, consensus_effects* out);

  // Announces that the process of this member shuts down. A leader transfers
  // its leadership, again if that fails. The member keeps voting and following,
  // so that the group can replace it before it is gone.
  void Leave(time_point now, consensus_effects* out);
  bool leaving() const { return leaving_; }
  // True while this leaving voter should stay, because a spare that was heard
  // within `alive_within` can take its vote, or has begun to. `voters` is the
  // number of voters of a complete group.
  bool HandoverPending(std::size_t voters, duration alive_within,
                       time_point now) const;
  // True if the group has committed a membership without this member since the
  // newest one in its log.
  bool removed() const;

  // Age of the last quorum confirmation whose commit index this member has
  // applied; empty if there is none. Followers add an upper bound of the
  // transit time.
  std::optional<duration> confirmation_age(time_point now) const;

  consensus_role role() const { return role_; }
  log_term term() const { return state_.term; }
  const member_identity& identity() const { return identity_; }
  // kNoMember if no leader is known; its instance is empty then.
  member_id leader() const { return leader_; }
  instance_name leader_instance() const;
  log_index commit_index() const { return commit_index_; }
  log_index applied_index() const { return applied_index_; }
  log_index last_index() const { return base_index_ + log_.size(); }
  log_index snapshot_index() const { return snapshot_.index; }
  const group_membership& membership() const;
  // Members of the group as reported by one of them, while this member itself
  // belongs to no group or was removed from it.
  const std::vector<log_member>& known_group() const { return known_group_; }
  bool membership_change_pending() const;
  // Id of the formation that this member belongs to; 0 if none.
  std::uint64_t formation() const { return state_.formation; }
  result_code stop_code() const { return stop_code_; }
  const std::string& stop_reason() const { return stop_reason_; }

  // Empty unless this member is the leader.
  std::vector<peer_status> peers(time_point now) const;
  // Instances outside the group that may join it, without those that leave.
  std::vector<spare_status> spares(time_point now) const;

 private:
  // Limit of the instances recorded from discovery messages.
  static constexpr std::size_t kMaxDiscovered = 64;

  static std::int64_t Microseconds(time_point time) {
    return time.time_since_epoch().count();
  }

  enum class replication_state : std::uint8_t { kProbe, kReplicate, kSnapshot };

  struct peer_progress {
    log_index match = 0;
    log_index next = 1;
    replication_state state = replication_state::kProbe;
    bool probe_sent = false;
    time_point last_contact{};
    std::uint64_t acked_sequence = 0;
    time_point acked_sent_at{};
    bool acked = false;
    // Replies to appends with this or a later sequence must report at least
    // `match`.
    std::uint64_t match_sequence = 0;
    std::int64_t follower_us = -1;
    time_point follower_received{};
    log_snapshot snapshot;
    std::uint64_t snapshot_offset = 0;
    time_point chunk_sent_at{};
    bool leaving = false;
  };

  struct pending_persist {
    std::uint64_t position = 0;
    log_index last_index = 0;
  };

  struct pending_send {
    std::uint64_t position = 0;
    send_message_effect send;
  };

  struct pending_read {
    std::uint64_t token = 0;
    std::uint64_t sequence = 0;
    log_index index = 0;
  };

  struct membership_version {
    log_index index = 0;
    group_membership membership;
  };

  struct discovered_instance {
    log_member member;
    std::uint64_t formation = 0;
    bool formed = false;
    bool leaving = false;
    time_point last_contact{};
  };

  struct incoming_snapshot {
    member_id from = kNoMember;
    log_term term = 0;
    log_index index = 0;
    log_term index_term = 0;
    std::string data;
  };

  // Log access; index 0 stands for the empty log, with term 0.
  log_term TermAt(log_index index) const;
  const log_entry& EntryAt(log_index index) const;
  log_term LastTerm() const { return TermAt(last_index()); }
  bool formed() const { return last_index() > 0; }

  void Append(log_index truncate_from, std::vector<log_entry> entries,
              consensus_effects* out);
  void AppendAsLeader(entry_kind kind, shared_body payload, time_point now,
                      consensus_effects* out);
  void TruncateFrom(log_index index);
  std::uint64_t IssuePersist(persist_effect effect, consensus_effects* out);
  void PersistState(consensus_effects* out);

  void Send(member_id to, consensus_message message, consensus_effects* out);
  void SendTo(const instance_name& instance, const std::string& address,
              consensus_message message, consensus_effects* out);
  const log_member* FindMember(member_id id) const;

  void SetRole(consensus_role role, member_id leader, consensus_effects* out);
  void BecomeFollower(log_term term, member_id leader, time_point now,
                      consensus_effects* out);
  void StartPreVote(time_point now, consensus_effects* out);
  void StartElection(bool forced, time_point now, consensus_effects* out);
  void BecomeLeader(time_point now, consensus_effects* out);
  void Stop(result_code code, std::string reason, consensus_effects* out);
  void ResetElectionTimer(time_point now);
  bool HasVoteQuorum() const;
  bool LogIsUpToDate(log_index index, log_term term) const;

  void OnDiscover(const consensus_message& message, time_point now,
                  consensus_effects* out);
  void OnPreVote(const consensus_message& message, time_point now,
                 consensus_effects* out);
  void OnVote(const consensus_message& message, time_point now,
              consensus_effects* out);
  void OnVoteReply(const consensus_message& message, time_point now,
                   consensus_effects* out);
  void OnAppend(const consensus_message& message, time_point now,
                consensus_effects* out);
  void OnAppendReply(const consensus_message& message, time_point now,
                     consensus_effects* out);
  void OnSnapshotChunk(const consensus_message& message, time_point now,
                       consensus_effects* out);
  void OnSnapshotReply(const consensus_message& message, time_point now,
                       consensus_effects* out);
  void OnTimeoutNow(const consensus_message& message, time_point now,
                    consensus_effects* out);

  void Discover(time_point now, consensus_effects* out);
  void TryFormGroup(time_point now, consensus_effects* out);
  std::vector<log_member> DiscoverTargets() const;
  void LearnGroup(const consensus_message& message);
  void CheckRemoval(const consensus_message& message);
  log_index CommittedMembershipIndex() const;
  bool IsCoordinator(const instance_name& instance) const;
  void AbandonFormation(consensus_effects* out);

  void Replicate(member_id id, bool heartbeat, time_point now,
                 consensus_effects* out);
  void ReplicateAll(bool heartbeat, time_point now, consensus_effects* out);
  void SendSnapshotChunk(member_id id, time_point now, consensus_effects* out);
  consensus_message AppendHeader(peer_progress& peer, time_point now);
  void RecordReply(peer_progress& peer, const consensus_message& message,
                   time_point now);
  void RecordConfirmation(const consensus_message& message, time_point now);
  void ApplyPendingConfirmation();
  void SendAppendReply(time_point now, consensus_effects* out);
  void AdvanceCommit(time_point now, consensus_effects* out);
  void ApplyCommitted(consensus_effects* out);
  void CompleteReads(time_point now, consensus_effects* out);
  void FailReads(result_code code, consensus_effects* out);
  void ContinueLeadershipTransfer(time_point now, consensus_effects* out);
  std::uint64_t QuorumSequence() const;
  std::optional<time_point> QuorumTime(time_point now) const;
  void UpdatePeers(time_point now);
  bool AddMembershipVersion(const log_entry& entry);
  log_member Self() const;
  bool HasRecentLeaderContact(time_point now) const;
  bool KnowsFormedPeer(time_point now) const;
  consensus_message MakeReply(message_kind kind,
                              const consensus_message& request) const;
  void InstallSnapshot(log_snapshot snapshot, time_point now,
                       consensus_effects* out);

  consensus_settings settings_;
  member_identity identity_;
  std::uint64_t group_ = 0;
  std::mt19937_64 random_;

  consensus_role role_ = consensus_role::kUnformed;
  hard_state state_;
  member_id leader_ = kNoMember;
  log_snapshot snapshot_;
  // log_ starts after base_index_, which is at or before the snapshot.
  log_index base_index_ = 0;
  log_term base_term_ = 0;
  std::deque<log_entry> log_;
  // Versions found in the log, oldest first; the last one is in force.
  std::vector<membership_version> memberships_;
  log_index commit_index_ = 0;
  log_index applied_index_ = 0;

  std::uint64_t issued_position_ = 0;
  std::uint64_t persisted_position_ = 0;
  std::uint64_t state_position_ = 0;
  log_index durable_index_ = 0;
  std::deque<pending_persist> pending_persists_;
  std::deque<pending_send> pending_sends_;

  time_point election_due_{};
  time_point last_leader_contact_{};
  bool has_leader_contact_ = false;
  std::map<member_id, bool> votes_;

  // Follower.
  log_index verified_index_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::int64_t last_sent_us_ = 0;
  incoming_snapshot incoming_snapshot_;
  std::optional<time_point> confirmed_;
  std::optional<time_point> pending_confirmed_;
  log_index pending_confirmed_commit_ = 0;

  // Leader.
  std::map<member_id, peer_progress> peers_;
  time_point heartbeat_due_{};
  time_point leader_since_{};
  std::uint64_t sequence_ = 0;
  log_index term_start_index_ = 0;
  std::deque<pending_read> pending_reads_;
  member_id transfer_target_ = kNoMember;
  time_point transfer_deadline_{};

  bool leaving_ = false;
  // When a leaving leader tries to transfer its leadership again.
  time_point transfer_due_{};
  // Index of the newest committed membership that another member has reported,
  // if this member is not in it.
  log_index removed_index_ = 0;

  time_point discover_due_{};
  std::vector<control_instance> discovery_targets_;
  // True if this member has formed the group but has never led it, so that no
  // other member can hold its first entry.
  bool formation_unsent_ = false;
  std::map<instance_name, discovered_instance> discovered_;
  std::vector<log_member> known_group_;
  // Formation and index of known_group_; the index is 0 if it is unknown.
  std::uint64_t known_group_formation_ = 0;
  log_index known_group_index_ = 0;

  // Added to the clock value in follower_us, so that an echo of a value sent by
  // an earlier process is recognized.
  std::int64_t clock_offset_ = 0;
  std::int64_t started_us_ = 0;

  bool stop_reported_ = false;
  result_code stop_code_ = result_code::kOk;
  std::string stop_reason_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONSENSUS_MEMBER_H_
