#ifndef BILBERRYCOURSE_MEMBERSHIP_H_
#define BILBERRYCOURSE_MEMBERSHIP_H_

// SWIM-style failure detection among the instances of the tier.
//
//   membership members(self, options);        // options.seeds: addresses
//   std::vector<membership_effect> out;
//   members.Start(now, &out);
//   members.Receive("e2", bytes, now, &out);  // payload of a membership frame
//   members.Merge(record, expired, now, &out);  // from record_changed
//   members.Tick(now, &out);                  // every 10 ms
//   members.SetFreshness(freshness, now);     // after each control poll
//
// Every probe period one peer is probed, in shuffled order. If it does not ack
// within `ack_timeout`, `indirect_probes` other peers are requested to probe
// it, so that a single bad link does not remove a healthy instance. Without any
// ack within the probe period the peer is suspected. It is declared dead
// `suspicion_timeout` later unless it refutes with a higher incarnation.
//
// The version of an instance record is (incarnation, status), with status in
// the order alive, suspect, dead, leaving. Only the instance itself raises its
// incarnation. While this instance sees a peer alive, a claim by gossip that
// the peer is dead counts as a suspicion only, and an instance that receives a
// suspicion notifies the suspected peer. Otherwise an instance that returns
// from a partition would remove all others from every view.
//
// After a gap between ticks (the process was paused), the deadlines of running
// probes and suspicions are extended, because acks and refutations may have
// been received but not processed.
//
// An instance that was declared dead refutes that and withdraws its own claims
// that others are suspect or dead: it was probably partitioned itself.

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

// Control state versions known to an instance, sent in probes and acks.
struct control_freshness {
  std::uint64_t config_version = 0;
  std::uint64_t state_version = 0;
  // Age of the last quorum confirmation known to the sender.
  duration age = duration::max();
  bool operator==(const control_freshness&) const = default;
};

// Send `bytes` to a known peer.
struct membership_send {
  instance_name to;
  std::string bytes;
};
// Send `bytes` to a seed whose name is not known yet. The daemon connects to
// the address and passes the reply to Receive() with the name that the
// handshake authenticated.
struct membership_send_to_address {
  std::string address;
  std::string bytes;
};
// The status or the record of a peer changed in the view of this instance. Not
// emitted for this instance itself.
struct instance_changed {
  instance_record record;
  instance_status status = instance_status::kAlive;
};
// The set of alive instances changed, or the zone, an address or the roles of
// one of them; alive() returns the new set. The daemon passes its names to
// gossip_table::SetPeers().
struct view_changed {
  std::uint64_t view_term = 0;
};
// Freshness reported by a peer. If `probe_sent_at` is set, the peer measured
// the value after that local time, so probe_sent_at - age is a safe lower bound
// of the time of the control confirmation. Otherwise the value was received
// with a probe and is only a hint that newer versions exist.
struct freshness_received {
  instance_name from;
  control_freshness freshness;
  std::optional<time_point> probe_sent_at;
};
// A peer was reached for the first time or again, and the daemon calls
// gossip_table::Synchronize(peer). Emitted at most once per probe period, and
// also whenever a peer has declared this instance dead.
struct synchronize_with {
  instance_name peer;
};
// The claim about another instance may be outdated because this instance was
// declared dead; the daemon calls gossip_table::Withdraw(kInstance, name).
struct withdraw_record {
  instance_name name;
};
// A peer declared this instance dead; it refuted with `incarnation`.
struct declared_dead {
  // Empty if the claim was received by gossip.
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
  // In this interval, at most one dead peer and one unreached seed are probed,
  // so that both sides of a healed partition find each other.
  duration reconnect_period = std::chrono::seconds(1);
  // Expected probes of each dead peer per interval, summed over all instances.
  // Without this limit a restarting instance would get 1,700 attempts a second,
  // which would overload it.
  double reconnect_attempts = 4;
  // A longer gap between ticks counts as a pause; the excess extends deadlines.
  duration pause_threshold = std::chrono::milliseconds(50);
  // Peer addresses from the settings; this instance's own address is ignored.
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

  // Publishes the record of this instance and probes the seeds.
  void Start(time_point now, std::vector<membership_effect>* out);

  // Handles one message. `from` is the peer that the handshake of the link
  // authenticated.
  void Receive(const instance_name& from, std::string_view bytes,
               time_point now, std::vector<membership_effect>* out);

  // Merges a record of kind kInstance from gossip_table; `expired` as in
  // record_changed.
  void Merge(const soft_record& record, bool expired, time_point now,
             std::vector<membership_effect>* out);

  void Tick(time_point now, std::vector<membership_effect>* out);

  // Publishes that this instance leaves and stops probing. Call before shutting
  // down, and keep the process running for at least one push interval so that
  // the record is pushed.
  void Leave(time_point now, std::vector<membership_effect>* out);

  // Changes the roles of this instance and raises its incarnation.
  void SetRoles(instance_roles roles, time_point now,
                std::vector<membership_effect>* out);

  // Sets the freshness that probes and acks report; its age increases until the
  // next call.
  void SetFreshness(const control_freshness& freshness, time_point now);

  // Alive and suspected instances ordered by name. Includes this instance
  // unless it is leaving.
  std::span<const instance_record> alive() const { return alive_; }
  // Names of alive() with `role`.
  std::vector<instance_name> AliveWithRole(instance_role role) const;
  // Increases with each view_changed effect.
  std::uint64_t view_term() const { return view_term_; }
  const instance_record& self() const { return self_; }
  bool leaving() const { return leaving_; }
  // Returns the record of a known instance, also of a dead or leaving one, or
  // nullptr. The daemon uses it to find the address for a send effect.
  const instance_record* Find(const instance_name& name) const;
  // Returns the status of a known instance, nullopt if it is unknown.
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
    // The claim about this peer was withdrawn: another status counts as newer
    // at an equal incarnation.
    bool withdrawn = false;
  };
  // All suspicions have the same timeout, so appending keeps the order by
  // dead_at.
  using suspect_list =
      boost::intrusive::list<peer, boost::intrusive::constant_time_size<false>>;
  struct probe {
    // Empty for a seed whose name is not known yet.
    instance_name target;
    std::string seed_address;
    time_point sent_at{};
    time_point ack_deadline{};
    time_point expires_at{};
    bool probe_requests_sent = false;
    // Set if the probe was requested by another instance.
    instance_name requester;
    std::uint64_t requester_probe_id = 0;
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

  // Applies a claim about the record and status of an instance. `direct` is
  // true if the instance itself sent it, false if it was received by gossip.
  void ApplyClaim(const instance_record& record, instance_status status,
                  bool direct, time_point now,
                  std::vector<membership_effect>* out);
  // Raises the incarnation of this instance if a peer does not see it alive or
  // knows a higher incarnation. Returns true if it was raised.
  bool RefuteIfNeeded(const instance_knowledge& known, const instance_name& by,
                      std::vector<membership_effect>* out);
  // Sends the record of this instance to `to` if `known`, what `to` knows of
  // this instance, is outdated.
  void SendNoticeIfOutdated(const instance_knowledge& known,
                            const instance_name& to,
                            std::vector<membership_effect>* out) const;
  void SetStatus(peer* p, instance_status status, time_point now);
  void Publish(const instance_record& record, instance_status status,
               std::vector<membership_effect>* out) const;
  // Inserts, replaces or removes one instance in alive_.
  void UpdateView(const instance_record& record, bool present,
                  std::vector<membership_effect>* out);

  void ExtendTimersAfterPause(time_point now);
  void CheckProbes(time_point now, std::vector<membership_effect>* out);
  void Suspect(const instance_name& name, time_point now,
               std::vector<membership_effect>* out);
  void SendProbeRequests(std::uint64_t id, const probe& p,
                         std::vector<membership_effect>* out);
  void ProbeNext(time_point now, std::vector<membership_effect>* out);
  void Reconnect(time_point now, std::vector<membership_effect>* out);
  void ContactSeed(const std::string& address, time_point now,
                   std::vector<membership_effect>* out);
  void SendProbe(probe p, instance_knowledge known, time_point now,
                 std::vector<membership_effect>* out);

  std::size_t RandomBelow(std::size_t bound);
  bool IsSeedReached(const std::string& address) const;
  instance_knowledge KnowledgeOf(const instance_name& name) const;
  control_freshness FreshnessAt(time_point now) const;

  instance_record self_;
  const membership_options options_;
  bool leaving_ = false;
  std::map<instance_name, peer> peers_;
  suspect_list suspects_;
  std::map<std::uint64_t, probe> probes_;
  std::uint64_t next_probe_id_ = 1;
  // Probe targets of the current round, shuffled.
  std::vector<instance_name> probe_order_;
  std::size_t next_in_probe_order_ = 0;
  time_point next_probe_{};
  time_point next_reconnect_{};
  time_point next_synchronize_{};
  std::optional<time_point> last_tick_;
  // Instance names by seed address, known from acks of seeds.
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
