#ifndef BILBERRYCOURSE_CONSENSUS_TYPES_H_
#define BILBERRYCOURSE_CONSENSUS_TYPES_H_

// Value types of the replicated log, shared by consensus_member, its codecs
// and the log storage.
//
//     log_member spare{.id = member_id{7},
//                      .instance = "c4",
//                      .address = "10.0.0.4:7000",
//                      .role = member_role::kLearner};
//     bool added = membership.Find(spare.id) != nullptr;

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

using log_index = std::uint64_t;
using log_term = std::uint64_t;

inline constexpr member_id kNoMember{0};

enum class member_role : std::uint8_t { kVoter, kLearner };

struct log_member {
  member_id id = kNoMember;
  instance_name instance;
  std::string address;
  member_role role = member_role::kLearner;
  bool operator==(const log_member&) const = default;
};

struct group_membership {
  std::vector<log_member> members;

  const log_member* Find(member_id id) const {
    for (const log_member& member : members) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  bool IsVoter(member_id id) const {
    const log_member* member = Find(id);
    return member != nullptr && member->role == member_role::kVoter;
  }
  std::size_t voter_count() const {
    std::size_t count = 0;
    for (const log_member& member : members) {
      count += member.role == member_role::kVoter ? 1 : 0;
    }
    return count;
  }
  bool operator==(const group_membership&) const = default;
};

// One change of the membership; only one may be uncommitted at a time.
enum class membership_change_kind : std::uint8_t {
  kAddLearner,
  kPromote,
  kRemove
};

struct membership_change {
  membership_change_kind kind = membership_change_kind::kAddLearner;
  // For kPromote and kRemove only the id is read.
  log_member member;
  bool operator==(const membership_change&) const = default;
};

// kNoOp is the first entry of a leader's term. kMembership carries an encoded
// group_membership, kCommand a payload that only the control state interprets.
enum class entry_kind : std::uint8_t { kNoOp, kCommand, kMembership };

struct log_entry {
  log_index index = 0;
  log_term term = 0;
  entry_kind kind = entry_kind::kNoOp;
  shared_body payload;
};

// The state after applying the log up to `index`; replaces those entries.
struct log_snapshot {
  log_index index = 0;
  log_term term = 0;
  group_membership membership;
  shared_body state;
};

// State that a member must keep across restarts besides the log itself.
// `formation` identifies the group formation that the member has joined; 0
// until it has joined one.
struct hard_state {
  log_term term = 0;
  member_id voted_for = kNoMember;
  std::uint64_t formation = 0;
  bool operator==(const hard_state&) const = default;
};

// Written once when a data folder is created and verified at each start.
struct member_identity {
  std::string group;
  member_id id = kNoMember;
  instance_name instance;
  bool operator==(const member_identity&) const = default;
};

// Contents of the data folder at start.
struct recovered_log {
  member_identity identity;
  hard_state state;
  std::optional<log_snapshot> snapshot;
  // Contiguous; the first entry follows the snapshot.
  std::vector<log_entry> entries;
};

enum class message_kind : std::uint8_t {
  kDiscover,
  kDiscoverReply,
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshotChunk,
  kSnapshotReply,
  kTimeoutNow,
  kStaleDataFolder,
};
inline constexpr std::uint8_t kMessageKindCount = 12;

// One message between members. The fields in use depend on `kind`; the others
// keep their defaults and take no bytes on the wire.
struct consensus_message {
  message_kind kind = message_kind::kDiscover;
  // Hash of the configured group id; members drop messages of other groups.
  std::uint64_t group = 0;
  std::uint64_t formation = 0;
  member_id from = kNoMember;
  // kNoMember only in kDiscover, which is sent before ids are known.
  member_id to = kNoMember;
  log_term term = 0;
  // Append: index of the entry before `entries`. Votes: last index of the
  // candidate. Append replies: highest index that is known to match the
  // leader's log, synced or not; in a rejection, the index that was rejected.
  // Chunks and their replies: index of the snapshot. Discover replies: index of
  // the membership in `members` if it is committed, otherwise 0.
  log_index index = 0;
  log_term index_term = 0;
  // Append: commit index of the leader. Append replies: last index of the
  // sender's log.
  log_index commit = 0;
  // Replies: the highest index that is known to match the leader's log and is
  // synced on the sender; in a rejection, the highest index that may match.
  log_index match = 0;
  bool rejected = false;
  // Discover: the sender belongs to a group.
  bool formed = false;
  // Votes: the candidate campaigns because of a leadership transfer.
  bool forced = false;
  // Append: sequence number and send time at the leader, echoed in the reply.
  std::uint64_t sequence = 0;
  std::int64_t sent_us = 0;
  // Append: age of the leader's quorum confirmation when sent, -1 if none.
  std::int64_t confirmation_age_us = -1;
  // Reply: the follower's clock. The leader echoes the value in its next append
  // together with the time that it held the value, so that the follower can
  // bound the transit time by its own clock alone.
  std::int64_t follower_us = -1;
  std::int64_t held_us = 0;
  std::vector<log_entry> entries;
  // Discover: the sender. Chunk: the membership of the snapshot.
  std::vector<log_member> members;
  // Chunk: `data` is the part of the state at `offset`; the state has `total`
  // bytes. Reply: `offset` is the next offset to send, and `total` the offset
  // of the chunk that is acknowledged.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  // The process of the sender is shutting down.
  bool leaving = false;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONSENSUS_TYPES_H_
