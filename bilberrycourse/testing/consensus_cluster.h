#ifndef BILBERRYCOURSE_TESTING_CONSENSUS_CLUSTER_H_
#define BILBERRYCOURSE_TESTING_CONSENSUS_CLUSTER_H_

// A group of consensus_member state machines over a simulated network and
// simulated disks in virtual time, checked by an oracle after each step.
//
//   consensus_cluster cluster({.voters = 3, .spares = 2});
//   cluster.Run(100);                       // 100 ticks of 10 ms, no faults
//   cluster.Propose(cluster.leader());
//   EXPECT_EQ(cluster.violation(), "");
//
// Messages pass through consensus_codec and disks hold the bytes of
// log_codec, so both are exercised as well. Each instance has its own clock
// offset; only the oracle sees the global time.

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_codec.h"
#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/log_codec.h"
#include "bilberrycourse/member_repair.h"

namespace bilberrycourse {

struct cluster_options {
  std::size_t voters = 3;
  std::size_t spares = 2;
  std::uint64_t seed = 1;
  consensus_test_faults faults;
  // Injected fault of the platform: a wiped instance keeps its member id.
  bool wiped_member_keeps_identity = false;
  // If false, no member may form a group.
  bool bootstrap = true;
  // Instances with this or a higher number are configured with only one other
  // instance, `seed_instance`.
  std::size_t first_new_instance = ~std::size_t{0};
  std::size_t seed_instance = 0;
};

// Checks the invariants over all members. Every committed entry is recorded
// when the first member applies it, and must never change afterwards.
struct consensus_oracle {
  struct committed_entry {
    log_term term = 0;
    entry_kind kind = entry_kind::kNoOp;
    std::string payload;
    time_point committed_at;
    std::string state;
  };
  std::vector<committed_entry> committed;
  group_membership membership;
  std::map<std::pair<std::uint64_t, log_term>, member_id> leaders;
  std::map<std::pair<member_id, log_term>, member_id> votes;
  std::string violation;

  void Check(bool holds, const std::string& what) {
    if (!holds && violation.empty()) violation = what;
  }
};

class consensus_cluster {
 public:
  struct envelope {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  struct node {
    instance_name name;
    std::unique_ptr<consensus_member> member;
    bool paused = false;
    duration clock_offset{0};
    member_id id = kNoMember;
    // Disk contents.
    std::uint64_t generation = 0;
    std::string synced;
    std::vector<persist_effect> unsynced;
    // State of the running process.
    log_index applied = 0;
    std::string state;
    time_point leader_since{};
    std::map<member_id, time_point> replies;
    std::map<std::uint64_t, log_index> reads;
    // Messages that arrived during a pause.
    std::vector<envelope> inbox;
  };

  explicit consensus_cluster(cluster_options options)
      : options_(options),
        random_(options.seed),
        nodes_(options.voters + options.spares),
        cut_(nodes_.size(), std::vector<bool>(nodes_.size(), false)) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].name = Name(i);
      Wipe(i);
      Start(i);
    }
  }

  static instance_name Name(std::size_t i) {
    return "c" + std::to_string(i + 1);
  }

  std::size_t size() const { return nodes_.size(); }
  node& at(std::size_t i) { return nodes_[i]; }
  time_point now() const { return now_; }
  consensus_oracle& oracle() { return oracle_; }
  const std::string& violation() const { return oracle_.violation; }
  std::deque<envelope>& network() { return network_; }
  std::uint64_t steps() const { return steps_; }
  const std::set<member_id>& lost_ids() const { return lost_ids_; }

  // The running leader of the highest term; size() if there is none.
  std::size_t leader() const {
    std::size_t best = nodes_.size();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].member == nullptr || nodes_[i].paused ||
          nodes_[i].member->role() != consensus_role::kLeader) {
        continue;
      }
      if (best == nodes_.size() ||
          nodes_[i].member->term() > nodes_[best].member->term()) {
        best = i;
      }
    }
    return best;
  }

  // ---- Commands ----

  // Calls `call` with the member of node `i`, executes the effects and checks
  // the invariants.
  template <typename Call>
  void Invoke(std::size_t i, Call call) {
    node& n = nodes_[i];
    if (n.member == nullptr || n.paused) return;
    ++steps_;
    now_ += duration(1);
    const log_index commit_before = n.member->commit_index();
    const bool led = n.member->role() == consensus_role::kLeader;
    consensus_effects out;
    call(*n.member, now_ + n.clock_offset, &out);
    for (consensus_effect& effect : out) {
      std::visit([&](auto& e) { ExecuteEffect(i, e); }, effect);
    }
    // A leader may advance the commit index only to an entry of its own term.
    if (led && n.member->role() == consensus_role::kLeader &&
        n.member->commit_index() > commit_before &&
        n.member->commit_index() <= oracle_.committed.size()) {
      oracle_.Check(
          oracle_.committed[n.member->commit_index() - 1].term ==
              n.member->term(),
          "a leader advanced the commit index to an entry of an older term");
    }
    if (led && n.member->role() == consensus_role::kLeader &&
        n.member->commit_index() > commit_before) {
      CheckDurable(*n.member);
    }
    CheckConfirmation(i);
  }

  void Propose(std::size_t i) {
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      m.Propose(
          std::make_shared<const std::string>(std::to_string(++last_command_)),
          now, out);
    });
  }

  void Read(std::size_t i) {
    if (nodes_[i].member == nullptr || nodes_[i].paused) return;
    const std::uint64_t token = ++last_token_;
    nodes_[i].reads[token] = oracle_.committed.size();
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      m.ReadBarrier(token, now, out);
    });
  }

  void Change(std::size_t i, const membership_change& change) {
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      const bool pending = m.membership_change_pending();
      const proposal_result p = m.ProposeMembership(change, now, out);
      oracle_.Check(
          p.code != result_code::kOk || !pending,
          "a membership change was accepted while another was pending");
    });
  }

  void Transfer(std::size_t i) {
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      m.TransferLeadership(now, out);
    });
  }

  void Leave(std::size_t i) {
    Invoke(i, [](consensus_member& m, time_point now, consensus_effects* out) {
      m.Leave(now, out);
    });
  }

  // Runs until no leaving member waits for a successor any more, or `limit`
  // ticks, and ends the processes of leaving members. Returns the ticks.
  std::size_t EndLeaving(std::size_t limit) {
    std::size_t ticks = 0;
    const auto waits = [&](const node& n) {
      return n.member != nullptr && n.member->leaving() &&
             n.member->HandoverPending(options_.voters, std::chrono::seconds(1),
                                       now_ + n.clock_offset);
    };
    while (ticks < limit && std::any_of(nodes_.begin(), nodes_.end(), waits)) {
      Run(1);
      ++ticks;
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].member != nullptr && nodes_[i].member->leaving()) {
        Crash(i, 0);
      }
    }
    return ticks;
  }

  // Syncs the first `count` outstanding writes.
  void Sync(std::size_t i, std::size_t count) {
    node& n = nodes_[i];
    if (n.member == nullptr || n.paused || n.unsynced.empty()) return;
    count = std::min(count, n.unsynced.size());
    std::uint64_t position = 0;
    for (std::size_t k = 0; k < count; ++k) {
      position = n.unsynced[k].position;
      WriteToDisk(n, n.unsynced[k]);
    }
    n.unsynced.erase(n.unsynced.begin(), n.unsynced.begin() + count);
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      m.OnPersisted(position, now, out);
    });
  }

  void Tick(std::size_t i) {
    Invoke(i, [&](consensus_member& m, time_point now, consensus_effects* out) {
      m.Tick(now, out);
    });
    CheckLeaderContact(i);
    if (nodes_[i].member == nullptr) return;
    if (nodes_[i].member->compaction_due()) Compact(i);
    if (nodes_[i].member->role() != consensus_role::kLeader) return;
    const member_repair repair({.voters = options_.voters,
                                .lost_after = std::chrono::seconds(2),
                                .alive_within = std::chrono::seconds(1)});
    const auto change = repair.Plan(
        MakeRepairView(*nodes_[i].member, now_ + nodes_[i].clock_offset));
    if (change) Change(i, *change);
  }

  void TickAll() {
    now_ += std::chrono::milliseconds(10);
    for (std::size_t i = 0; i < nodes_.size(); ++i) Tick(i);
  }

  void Compact(std::size_t i) {
    Invoke(i, [&](consensus_member& m, time_point, consensus_effects* out) {
      m.Compact(m.applied_index(),
                std::make_shared<const std::string>(nodes_[i].state), out);
    });
  }

  // Delivers the message at index `k` of the network; drops it if the link is
  // cut or the receiver is not running.
  void Deliver(std::size_t k) {
    if (k >= network_.size()) return;
    const envelope e = std::move(network_[k]);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(k));
    node& n = nodes_[e.to];
    if (n.member == nullptr || cut_[e.from][e.to]) return;
    if (n.paused) {
      n.inbox.push_back(e);
      return;
    }
    const std::optional<consensus_message> message = DecodeMessage(e.bytes);
    oracle_.Check(message.has_value(), "a message could not be decoded");
    if (!message) return;
    if (message->kind == message_kind::kAppendReply &&
        message->term == n.member->term()) {
      n.replies[message->from] = now_;
    }
    Invoke(e.to, [&](consensus_member& m, time_point now,
                     consensus_effects* out) { m.Step(*message, now, out); });
  }

  // Runs `ticks` ticks with deliveries and syncs. Of 256 messages, on average
  // `loss` are dropped, as many are duplicated and as many are delayed.
  void Run(std::size_t ticks, unsigned loss = 0) {
    for (std::size_t t = 0; t < ticks && violation().empty(); ++t) {
      TickAll();
      for (std::size_t round = 0; round < 12; ++round) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
          if (loss == 0 || random_() % 2 == 0) Sync(i, 100);
        }
        std::size_t count = network_.size();
        while (count-- > 0 && violation().empty()) {
          const unsigned roll = static_cast<unsigned>(random_() % 256);
          if (roll < loss) {
            network_.erase(network_.begin());
          } else if (roll < 2 * loss) {
            network_.push_back(network_.front());
            Deliver(0);
          } else if (roll < 3 * loss) {
            network_.push_back(network_.front());
            network_.erase(network_.begin());
          } else {
            Deliver(0);
          }
        }
      }
    }
  }

  void Cut(std::size_t from, std::size_t to) { cut_[from][to] = from != to; }
  void Isolate(std::size_t i) {
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
      Cut(i, k);
      Cut(k, i);
    }
  }
  void Heal() {
    for (std::vector<bool>& links : cut_) links.assign(links.size(), false);
  }

  // Stops the process. The first `survivors` bytes that were written but not
  // synced remain on the disk.
  void Crash(std::size_t i, std::size_t survivors) {
    node& n = nodes_[i];
    if (n.member == nullptr) return;
    n.member.reset();
    n.paused = false;
    n.inbox.clear();
    std::string written;
    for (const persist_effect& effect : n.unsynced) {
      if (effect.snapshot) break;
      written +=
          EncodeChanges(n.generation, n.synced.size() + written.size(), effect);
    }
    n.unsynced.clear();
    const std::uint64_t synced_length = n.synced.size();
    n.synced += written.substr(0, survivors);
    const log_recovery r = RecoverLog(n.synced, n.generation, synced_length);
    oracle_.Check(r.code == result_code::kOk,
                  "a crash left an unreadable log: " + r.reason);
    n.synced.resize(r.valid_length);
  }

  void Start(std::size_t i) {
    node& n = nodes_[i];
    if (n.member != nullptr) return;
    const log_recovery r = RecoverLog(n.synced, n.generation, n.synced.size());
    oracle_.Check(r.code == result_code::kOk, "restart: " + r.reason);
    if (r.code != result_code::kOk) return;
    consensus_settings settings;
    settings.address = n.name + ":7000";
    settings.may_form_group = options_.bootstrap;
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
      const bool known = i >= options_.first_new_instance
                             ? k == options_.seed_instance || k == i
                             : k < options_.first_new_instance;
      if (!known) continue;
      settings.instances.push_back(
          {Name(k), Name(k) + ":7000", k < options_.voters});
    }
    settings.seed = random_();
    settings.max_append_entries = 4;
    settings.max_in_flight_entries = 16;
    settings.snapshot_chunk_bytes = 40;
    settings.compaction_entries = 16;
    settings.trailing_entries = 6;
    settings.faults = options_.faults;
    n.clock_offset = std::chrono::seconds(random_() % 100000);
    n.applied = r.log.snapshot ? r.log.snapshot->index : 0;
    n.state = r.log.snapshot ? *r.log.snapshot->state : std::string();
    n.replies.clear();
    n.reads.clear();
    n.unsynced.clear();
    n.member = std::make_unique<consensus_member>(settings, r.log,
                                                  now_ + n.clock_offset);
  }

  // Empties the disk of a stopped instance; it gets a new member id.
  void Wipe(std::size_t i) {
    node& n = nodes_[i];
    n.member.reset();
    n.paused = false;
    n.inbox.clear();
    n.unsynced.clear();
    if (n.id != kNoMember) lost_ids_.insert(n.id);
    if (n.id == kNoMember || !options_.wiped_member_keeps_identity) {
      n.id = member_id{100 + ++last_id_};
    }
    n.generation = 1;
    n.synced = EncodeLogFile(1, {.identity = {"group", n.id, n.name},
                                 .state = {},
                                 .snapshot = {},
                                 .entries = {}});
  }

  // Returns true if the group tolerates the loss of the disk of node `i`. A
  // quorum survives only one lost disk at a time: the next disk may be lost
  // after the group has removed the previous lost identity.
  bool MayWipe(std::size_t i) const {
    const auto holds_lost = [&](const group_membership& membership) {
      return std::any_of(lost_ids_.begin(), lost_ids_.end(), [&](member_id id) {
        return membership.Find(id) != nullptr;
      });
    };
    bool any_formed = false;
    for (const node& n : nodes_) {
      if (n.member == nullptr) {
        if (n.id != nodes_[i].id) return false;
        continue;
      }
      any_formed = any_formed || n.member->last_index() > 0;
      if (holds_lost(n.member->membership())) return false;
    }
    if (oracle_.committed.empty()) return !any_formed;
    return !holds_lost(oracle_.membership);
  }

  void Pause(std::size_t i) { nodes_[i].paused = nodes_[i].member != nullptr; }
  void Resume(std::size_t i) {
    nodes_[i].paused = false;
    std::move(nodes_[i].inbox.begin(), nodes_[i].inbox.end(),
              std::back_inserter(network_));
    nodes_[i].inbox.clear();
  }

  // Ends all faults, restarts leaving members and returns the number of ticks
  // until the group has the configured number of voters, all with intact disks,
  // and all voters have applied a new entry; nullopt if this takes more than
  // `limit` ticks.
  std::optional<std::size_t> Settle(std::size_t limit) {
    Heal();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Resume(i);
      if (nodes_[i].member != nullptr && nodes_[i].member->leaving()) {
        Crash(i, 0);
      }
      Start(i);
    }
    const std::size_t before = oracle_.committed.size();
    for (std::size_t t = 0; t < limit && violation().empty(); ++t) {
      const std::size_t l = leader();
      if (l < size() && t % 20 == 0) Propose(l);
      Run(1);
      if (l < size() && HasSettled(l, before)) return t + 1;
    }
    return std::nullopt;
  }

 private:
  // Returns true if the disk of member `id` holds the committed entry `index`,
  // and so all entries before it. A generation that is not synced yet has not
  // replaced the one before it. The disk of a stopped node counts as if it held
  // every entry.
  bool IsDurable(member_id id, log_index index) const {
    for (const node& n : nodes_) {
      if (n.id != id || n.member == nullptr) continue;
      const log_recovery disk =
          RecoverLog(n.synced, n.generation, n.synced.size());
      const log_index base = disk.log.snapshot ? disk.log.snapshot->index : 0;
      if (index <= base) return true;
      if (index - base > disk.log.entries.size()) return false;
      return disk.log.entries[index - base - 1].term ==
             oracle_.committed[index - 1].term;
    }
    return true;
  }

  // Checks that a quorum of disks holds the committed entries. A check for lost
  // entries alone would rarely detect a leader that counts its own unsynced
  // entries: the leader must crash between append and sync while the only
  // follower that has synced is lost.
  void CheckDurable(const consensus_member& leader) {
    const log_index commit = leader.commit_index();
    if (commit == 0 || commit > oracle_.committed.size()) return;
    std::size_t voters = 0;
    std::size_t durable = 0;
    for (const log_member& member : leader.membership().members) {
      if (member.role != member_role::kVoter) continue;
      ++voters;
      if (IsDurable(member.id, commit)) ++durable;
    }
    oracle_.Check(2 * durable > voters,
                  "an entry was committed without a quorum of synced disks");
  }

  bool HasSettled(std::size_t l, std::size_t before) {
    const group_membership& membership = oracle_.membership;
    if (oracle_.committed.size() <= before ||
        oracle_.committed.back().kind != entry_kind::kCommand ||
        membership.voter_count() != options_.voters) {
      return false;
    }
    for (const log_member& voter : membership.members) {
      if (voter.role != member_role::kVoter) continue;
      const auto n = std::find_if(
          nodes_.begin(), nodes_.end(), [&](const node& candidate) {
            return candidate.id == voter.id && candidate.member != nullptr;
          });
      if (n == nodes_.end() || n->applied < oracle_.committed.size()) {
        return false;
      }
    }
    return nodes_[l].member != nullptr;
  }

  static void WriteToDisk(node& n, const persist_effect& effect) {
    if (effect.snapshot) {
      const log_recovery r =
          RecoverLog(n.synced, n.generation, n.synced.size());
      ++n.generation;
      n.synced = EncodeLogFile(n.generation, {r.log.identity, effect.state,
                                              effect.snapshot, effect.entries});
    } else {
      n.synced += EncodeChanges(n.generation, n.synced.size(), effect);
    }
  }

  void ExecuteEffect(std::size_t i, send_message_effect& effect) {
    CheckSyncedBeforeReply(i, effect.message);
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
      if (nodes_[k].name == effect.to && !cut_[i][k]) {
        network_.push_back({i, k, EncodeMessage(effect.message)});
      }
    }
    if (network_.size() > 3000) network_.erase(network_.begin());
  }

  void ExecuteEffect(std::size_t i, persist_effect& effect) {
    nodes_[i].unsynced.push_back(std::move(effect));
  }

  void ExecuteEffect(std::size_t i, apply_entry_effect& effect) {
    node& n = nodes_[i];
    const log_entry& entry = effect.entry;
    oracle_.Check(entry.index == n.applied + 1,
                  "an entry was applied out of order");
    n.applied = entry.index;
    const std::string payload =
        entry.payload == nullptr ? std::string() : *entry.payload;
    // Stands in for the control state; long enough for several snapshot chunks.
    n.state = (payload + "/" + std::to_string(entry.term) + ";" + n.state)
                  .substr(0, 200);
    if (entry.index == oracle_.committed.size() + 1) {
      oracle_.committed.push_back(
          {entry.term, entry.kind, payload, now_, n.state});
      if (entry.kind == entry_kind::kMembership) {
        const auto membership = DecodeGroupMembership(payload);
        oracle_.Check(
            membership && membership->voter_count() >= options_.voters,
            "fewer voters than configured");
        if (membership) oracle_.membership = *membership;
      }
      return;
    }
    oracle_.Check(entry.index <= oracle_.committed.size(),
                  "an entry was applied after a gap");
    if (!violation().empty()) return;
    const auto& committed = oracle_.committed[entry.index - 1];
    oracle_.Check(committed.term == entry.term && committed.payload == payload,
                  "committed entry " + std::to_string(entry.index) +
                      " differs between members");
  }

  void ExecuteEffect(std::size_t i, restore_snapshot_effect& effect) {
    node& n = nodes_[i];
    oracle_.Check(effect.snapshot.index >= n.applied,
                  "the applied index decreased");
    oracle_.Check(effect.snapshot.index <= oracle_.committed.size(),
                  "a snapshot covers uncommitted entries");
    if (!violation().empty()) return;
    n.applied = effect.snapshot.index;
    n.state = *effect.snapshot.state;
    oracle_.Check(n.state == oracle_.committed[n.applied - 1].state,
                  "the state of a snapshot differs from the committed state");
  }

  void ExecuteEffect(std::size_t i, read_ready_effect& effect) {
    const auto read = nodes_[i].reads.find(effect.token);
    oracle_.Check(read != nodes_[i].reads.end(), "a read was completed twice");
    if (read == nodes_[i].reads.end()) return;
    oracle_.Check(
        effect.code != result_code::kOk ||
            (effect.index >= read->second && nodes_[i].applied >= read->second),
        "a read missed a confirmed change");
    nodes_[i].reads.erase(read);
  }

  void ExecuteEffect(std::size_t i, role_changed_effect& effect) {
    node& n = nodes_[i];
    if (effect.role != consensus_role::kLeader) return;
    n.leader_since = now_;
    n.replies.clear();
    const auto [entry, added] =
        oracle_.leaders.try_emplace({n.member->formation(), effect.term}, n.id);
    oracle_.Check(added, "two leaders in term " + std::to_string(effect.term));
    oracle_.Check(n.member->last_index() >= oracle_.committed.size(),
                  "a new leader lacks committed entries");
  }

  void ExecuteEffect(std::size_t i, stopped_effect& effect) {
    oracle_.Check(false, nodes_[i].name + " stopped: " + effect.reason);
  }

  // Checks that a granted vote or an acknowledged entry is synced when the
  // reply is sent.
  void CheckSyncedBeforeReply(std::size_t i, const consensus_message& message) {
    const bool vote =
        message.kind == message_kind::kVoteReply && !message.rejected;
    const bool acknowledgement =
        message.kind == message_kind::kAppendReply && !message.rejected;
    if (vote) {
      const auto [entry, added] =
          oracle_.votes.try_emplace({message.from, message.term}, message.to);
      oracle_.Check(entry->second == message.to, "voted twice in a term");
    }
    const node& n = nodes_[i];
    if ((!vote && !acknowledgement) || n.unsynced.empty()) return;
    const log_recovery r = RecoverLog(n.synced, n.generation, n.synced.size());
    const log_index last = r.log.entries.empty()
                               ? (r.log.snapshot ? r.log.snapshot->index : 0)
                               : r.log.entries.back().index;
    oracle_.Check(!vote || (r.log.state.term >= message.term &&
                            (r.log.state.term > message.term ||
                             r.log.state.voted_for == message.to)),
                  "a vote was sent before it was synced");
    oracle_.Check(!acknowledgement || last >= message.match,
                  "an entry was acknowledged before it was synced");
  }

  // Checks that the member has applied every change that was committed before
  // the time of its confirmation.
  void CheckConfirmation(std::size_t i) {
    const node& n = nodes_[i];
    const auto age = n.member->confirmation_age(now_ + n.clock_offset);
    if (!age || n.applied >= oracle_.committed.size()) return;
    oracle_.Check(oracle_.committed[n.applied].committed_at >= now_ - *age,
                  "the reported confirmation is newer than the applied state");
  }

  // Checks that a leader steps down when it has received no replies from a
  // quorum for an election timeout.
  void CheckLeaderContact(std::size_t i) {
    const node& n = nodes_[i];
    if (n.member == nullptr || n.paused ||
        n.member->role() != consensus_role::kLeader) {
      return;
    }
    const duration limit = std::chrono::milliseconds(600);
    std::size_t responding = 0;
    for (const log_member& voter : n.member->membership().members) {
      if (voter.role != member_role::kVoter) continue;
      const auto reply = n.replies.find(voter.id);
      if (voter.id == n.id ||
          (reply != n.replies.end() && now_ - reply->second <= limit)) {
        ++responding;
      }
    }
    oracle_.Check(now_ - n.leader_since <= limit ||
                      responding > n.member->membership().voter_count() / 2,
                  "a leader without quorum did not step down");
  }

  cluster_options options_;
  std::mt19937_64 random_;
  std::vector<node> nodes_;
  std::vector<std::vector<bool>> cut_;
  std::deque<envelope> network_;
  std::set<member_id> lost_ids_;
  consensus_oracle oracle_;
  time_point now_{};
  std::uint64_t steps_ = 0;
  std::uint64_t last_command_ = 0;
  std::uint64_t last_token_ = 0;
  std::uint64_t last_id_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_CONSENSUS_CLUSTER_H_
