#ifndef BILBERRYCOURSE_MEMBERSHIP_H_
#define BILBERRYCOURSE_MEMBERSHIP_H_

// SWIM-style failure detection among the instances of the tier.
//
//   membership members(self, options);      // options.seeds: addresses
//   std::vector<membership_effect> out;
//   members.Start(now, &out);
//   members.Receive("e2", bytes, now, &out);  // payload of a membership frame
//   members.Merge(record, now, &out);   // record_changed of kind kInstance
//   members.Tick(now, &out);                  // every 10 ms
//   members.SetFreshness(freshness, now);     // after each control poll
//
// Every probe period one peer is probed, in shuffled order. Without an ack
// within `ack_timeout` three others are asked to probe it, so that one bad link
// removes nobody. Without any ack within the period it is suspected, and dead
// `suspicion_timeout` later unless it refutes with a higher incarnation.
//
// The version of an instance record is (incarnation, status), with status in
// the order alive, suspect, dead, leaving. Only the instance itself raises its
// incarnation. A claim by gossip that a peer is dead counts as a suspicion
// while this instance sees the peer alive, and whoever learns of a suspicion
// tells the peer: an instance that was cut off and returns must not remove the
// others from every view.
//
// A gap between ticks (the process was paused) prolongs running probes and
// suspicions, because acks and refutations may be waiting unread.
//
// An instance that learns that it was declared dead refutes, and withdraws its
// own claims that others are suspect or dead: it was probably cut off itself.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/gossip_table.h"
#include "bilberrycourse/instance_record.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// What an instance knows of the control state, relayed in probes and acks.
struct control_freshness {
  std::uint64_t config_version = 0;
  std::uint64_t state_version = 0;
  // Age of the last quorum confirmation known to the sender.
  duration age = duration::max();
  bool operator==(const control_freshness&) const = default;
};

struct membership_send {
  instance_name to;
  std::string bytes;
};
// For a seed whose name is not known yet. The daemon connects to the address;
// the answer arrives by Receive() under the name that the handshake proved.
struct membership_send_to_address {
  std::string address;
  std::string bytes;
};
// The status or the facts of a peer changed in the view of this instance; for
// this instance itself no effect is emitted.
struct instance_changed {
  instance_record record;
  instance_status status = instance_status::kAlive;
};
// The set of alive instances, or a fact of one of them, changed; alive() has
// the new set. Pass its names to gossip_table::SetPeers().
struct view_changed {
  std::uint64_t view_term = 0;
};
// Freshness reported by a peer. With `probe_sent_at` the value was measured by
// the peer after that local time, so that a control confirmation of
// probe_sent_at - age is a safe lower bound. Without it the value came with a
// probe and is only a hint that newer versions exist.
struct freshness_received {
  instance_name from;
  control_freshness freshness;
  std::optional<time_point> probe_sent_at;
};
// A peer was reached for the first time or again; the daemon calls
// gossip_table::Synchronize(peer). At most one in each probe period.
struct synchronize_with {
  instance_name peer;
};
// Claims about other instances may be outdated because this one was declared
// dead; the daemon calls gossip_table::Withdraw(kInstance, name).
struct withdraw_record {
  instance_name name;
};
// A peer has declared this instance dead; it has refuted with `incarnation`.
struct declared_dead {
  instance_name by;
  std::uint64_t incarnation = 0;
};

using membership_effect =
    std::variant<membership_send, membership_send_to_address, instance_changed,
                 view_changed, freshness_received, synchronize_with,
                 withdraw_record, declared_dead, publish_record>;

struct membership_options {
  duration probe_period = std::chrono::milliseconds(200);
  duration ack_timeout = std::chrono::milliseconds(100);
  duration suspicion_timeout = std::chrono::seconds(1);
  std::uint32_t indirect_probes = 3;
  // Dead peers and unreached seeds are tried at most one each in this
  // interval, so that both sides of a healed partition find each other.
  duration reconnect_period = std::chrono::seconds(1);
  // All instances together try each dead peer about this often per interval;
  // 1,700 attempts a second to one restarting instance would overload it.
  double reconnect_attempts = 4;
  // The part of a gap between ticks beyond this counts as a pause.
  duration pause_threshold = std::chrono::milliseconds(50);
  // Peer addresses from the settings; the own address is ignored.
  std::vector<std::string> seeds;
  std::size_t max_instances = 16384;
  std::uint64_t seed = 0;
};

struct membership_counters {
  std::uint64_t probes = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  std::uint64_t malformed = 0;
};

struct instance_knowledge;
struct probe_message;
struct ack_message;
struct probe_request_message;
struct indirect_ack_message;
struct notice_message;

class membership {
 public:
  membership(instance_record self, membership_options options);
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  // Publishes the own record and contacts the seeds.
  void Start(time_point now, std::vector<membership_effect>* out);

  // Handles one message of the peer that the link's handshake proved.
  void Receive(const instance_name& from, std::string_view bytes,
               time_point now, std::vector<membership_effect>* out);

  // Takes a record of kind kInstance from gossip_table; `expired` as in
  // record_changed.
  void Merge(const soft_record& record, bool expired, time_point now,
             std::vector<membership_effect>* out);

  void Tick(time_point now, std::vector<membership_effect>* out);

  // Publishes that this instance leaves; call before shutting down and let
  // pushes go out for at least one push interval. It no longer probes.
  void Leave(time_point now, std::vector<membership_effect>* out);

  // Changes the roles of this instance with a higher incarnation.
  void SetRoles(instance_roles roles, time_point now,
                std::vector<membership_effect>* out);

  // Sets what probes and acks report; the age grows until the next call.
  void SetFreshness(const control_freshness& freshness, time_point now);

  // Alive and suspected instances by name, this one included unless it is
  // leaving.
  std::span<const instance_record> alive() const { return alive_; }
  // Names of alive() with `role`.
  std::vector<instance_name> AliveWithRole(instance_role role) const;
  // Grows with each change of the set of alive instances.
  std::uint64_t view_term() const { return view_term_; }
  const instance_record& self() const { return self_; }
  bool leaving() const { return leaving_; }
  // The record of a known instance, dead and leaving ones included; nullptr if
  // unknown. The daemon finds the address of a send effect here.
  const instance_record* Find(const instance_name& name) const;
  // Status of a known instance, nullopt if it is unknown.
  std::optional<instance_status> Status(const instance_name& name) const;
  const membership_counters& counters() const { return counters_; }

 private:
  using auto_unlink =
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
  // Linked into suspects_ while suspected.
  struct peer : boost::intrusive::list_base_hook<auto_unlink> {
    instance_record record;
    instance_status status = instance_status::kDead;
    // Valid while suspected.
    time_point dead_at{};
    // The claim about this peer was withdrawn: equal incarnations count as
    // news.
    bool withdrawn = false;
  };
  // All suspicions last equally long, so appending keeps the order of dead_at.
  using suspect_list =
      boost::intrusive::list<peer, boost::intrusive::constant_time_size<false>>;
  struct probe {
    // Empty for a seed whose name is not known yet.
    instance_name target;
    std::string seed_address;
    time_point sent_at{};
    time_point ack_due{};
    time_point verdict_due{};
    bool asked_others = false;
    // Set when the probe runs on behalf of another instance.
    instance_name requester;
    std::uint64_t requester_probe = 0;
  };

  void Handle(const instance_name& from, const probe_message& m, time_point now,
              std::vector<membership_effect>* out);
  void Handle(const instance_name& from, const ack_message& m, time_point now,
              std::vector<membership_effect>* out);
  void Handle(const instance_name& from, const probe_request_message& m,
              time_point now, std::vector<membership_effect>* out);
  void Handle(const instance_name& from, const indirect_ack_message& m,
              time_point now, std::vector<membership_effect>* out);
  void Handle(const instance_name& from, const notice_message& m,
              time_point now, std::vector<membership_effect>* out);

  // Takes facts and status of an instance. `direct`: stated by the instance
  // itself, not by gossip.
  void Learn(const instance_record& record, instance_status status, bool direct,
             time_point now, std::vector<membership_effect>* out);
  // Raises the own incarnation if a peer believes this instance not alive or
  // knows a higher incarnation. Returns true if it did.
  bool RefuteIfNeeded(const instance_knowledge& known, const instance_name& by,
                      std::vector<membership_effect>* out);
  // Tells `to` the own facts if `known`, its knowledge of them, is outdated.
  void CorrectIfOutdated(const instance_knowledge& known,
                         const instance_name& to,
                         std::vector<membership_effect>* out) const;
  void SetStatus(peer* p, instance_status status, time_point now);
  void Publish(const instance_record& record, instance_status status,
               std::vector<membership_effect>* out) const;
  // Inserts, replaces or removes one instance of the view.
  void UpdateView(const instance_record& record, bool present,
                  std::vector<membership_effect>* out);

  void AbsorbPause(time_point now);
  void CheckProbes(time_point now, std::vector<membership_effect>* out);
  void Suspect(const instance_name& name, time_point now,
               std::vector<membership_effect>* out);
  void AskOthers(std::uint64_t id, const probe& p,
                 std::vector<membership_effect>* out);
  void ProbeNext(time_point now, std::vector<membership_effect>* out);
  void Reconnect(time_point now, std::vector<membership_effect>* out);
  void ContactSeed(const std::string& address, time_point now,
                   std::vector<membership_effect>* out);
  void SendProbe(probe p, instance_knowledge known, time_point now,
                 std::vector<membership_effect>* out);

  std::size_t RandomBelow(std::size_t bound);
  bool SeedIsReached(const std::string& address) const;
  instance_knowledge Knowledge(const instance_name& name) const;
  control_freshness FreshnessAt(time_point now) const;

  instance_record self_;
  const membership_options options_;
  bool leaving_ = false;
  std::map<instance_name, peer> peers_;
  suspect_list suspects_;
  std::map<std::uint64_t, probe> probes_;
  std::uint64_t next_probe_id_ = 1;
  // Shuffled round of probe targets.
  std::vector<instance_name> order_;
  std::size_t next_in_order_ = 0;
  time_point next_probe_{};
  time_point next_reconnect_{};
  time_point next_synchronize_{};
  std::optional<time_point> last_tick_;
  // Names learned by contacting a seed.
  std::map<std::string, instance_name> seed_names_;
  std::size_t next_seed_ = 0;
  std::vector<instance_record> alive_;
  std::uint64_t view_term_ = 0;
  control_freshness freshness_;
  time_point freshness_set_at_{};
  std::mt19937_64 random_;
  membership_counters counters_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_MEMBERSHIP_H_
