#ifndef BILBERRYCOURSE_GOSSIP_TABLE_H_
#define BILBERRYCOURSE_GOSSIP_TABLE_H_

// Table of soft records that is replicated to all instances by gossip. Only the
// owner of a record raises its version (owner incarnation, sequence); the
// highest version wins on every instance.
//
//   gossip_table table("e1", {});
//   std::vector<gossip_effect> out;
//   table.SetPeers({"e2", "e3"});             // on each change of the view
//   table.Publish(record, now, &out);         // a record of this instance
//   table.Receive("e2", bytes, now, &out);    // message from a peer
//   table.Tick(now, &out);                    // every 10 ms
//
// A new version is pushed once, in batches, to ceil(log2 N) + 1 random peers;
// each instance that receives it by a push pushes it on in the same way. Lost
// pushes are repaired by anti-entropy: once a second a hash of the whole table
// is sent to one random peer. If the peer's table differs, it replies with a
// digest of 64 bucket hashes and receives the versions in the buckets that
// differ.
//
// Messages are limited to `max_message_bytes` and the table to `max_records`.
// Tombstones and records with a lifetime are sent with their remaining
// lifetime, so that a copy never outlives the original by more than the transit
// time, and a peer that still has a removed record cannot restore it.

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class record_kind : std::uint8_t {
  kInstance,
  kBackendServer,
  kCrashEvidence,
};

// Returns the name of a kind for logs, "unknown" for values out of range.
std::string_view Name(record_kind kind);
bool IsRecordKind(std::uint8_t value);

struct record_version {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool operator==(const record_version&) const = default;
  friend bool operator<(const record_version& a, const record_version& b) {
    return std::tie(a.incarnation, a.sequence) <
           std::tie(b.incarnation, b.sequence);
  }
};

struct soft_record {
  record_kind kind = record_kind::kInstance;
  // Unique within the kind.
  std::string key;
  // The instance that published this version.
  instance_name owner;
  record_version version;
  // True for a tombstone: the record was removed, but its version is kept.
  bool deleted = false;
  // Zero means unlimited. For tombstones at most `tombstone_retention`, which
  // is also their default.
  duration lifetime{0};
  // Opaque to the table; the kind determines the encoding.
  std::string value;
  bool operator==(const soft_record&) const = default;
};

struct gossip_send {
  instance_name to;
  std::string bytes;
};
// A newer version was received from a peer, or the lifetime of a record ended
// (then `expired` is true and the record is no longer in the table).
struct record_changed {
  soft_record record;
  bool expired = false;
};
using gossip_effect = std::variant<gossip_send, record_changed>;

// Effect emitted by components that own records; the daemon passes `record` to
// gossip_table::Publish().
struct publish_record {
  soft_record record;
};

struct gossip_options {
  duration push_interval = std::chrono::milliseconds(50);
  duration anti_entropy_period = std::chrono::seconds(1);
  // Longer than the longest expected partition between regions (1 h).
  duration tombstone_retention = std::chrono::hours(2);
  // A record larger than this is sent alone in its message.
  std::size_t max_message_bytes = 16 * 1024;
  // Limits the bytes that the receiver of one digest sends in reply.
  std::size_t max_exchange_bytes = 128 * 1024;
  std::size_t max_key_bytes = 512;
  std::size_t max_value_bytes = 4 * 1024;
  std::size_t max_records = 65536;
  // Seed for choosing peers, combined with the instance name. Equal seeds make
  // a run reproducible.
  std::uint64_t seed = 0;
};

struct gossip_counters {
  std::uint64_t merged = 0;
  std::uint64_t stale = 0;
  std::uint64_t malformed = 0;
  std::uint64_t table_full = 0;
  std::uint64_t digests_sent = 0;
  std::uint64_t digests_differed = 0;
};

struct gossip_records;
struct gossip_root_digest;
struct gossip_digest;
struct gossip_summary;
struct gossip_request;

class gossip_table {
 public:
  gossip_table(instance_name self, gossip_options options);
  ~gossip_table();
  gossip_table(const gossip_table&) = delete;
  gossip_table& operator=(const gossip_table&) = delete;

  // Sets the peers to which pushes and digests are sent; the name of this
  // instance is ignored.
  void SetPeers(std::vector<instance_name> peers);

  // Stores a record of this instance and queues it for pushing. Returns false
  // if the version is not newer than the stored one or a limit is exceeded.
  // Emits no record_changed effect.
  bool Publish(soft_record record, time_point now,
               std::vector<gossip_effect>* out);

  // Handles one message from a peer. Malformed bytes are counted and ignored.
  void Receive(const instance_name& from, std::string_view bytes,
               time_point now, std::vector<gossip_effect>* out);

  // Removes expired records and sends queued pushes and the periodic hash.
  void Tick(time_point now, std::vector<gossip_effect>* out);

  // Sends a digest to `peer` immediately, for example at the first contact.
  void Synchronize(const instance_name& peer, time_point now,
                   std::vector<gossip_effect>* out);

  // Removes a record without a tombstone, so that a copy of an equal or lower
  // version can be received from a peer.
  void Withdraw(record_kind kind, std::string_view key);

  // Returns the stored record, nullptr if there is none.
  const soft_record* Find(record_kind kind, std::string_view key) const;
  // Calls `visit` for every stored record of `kind`, tombstones included.
  void ForEach(record_kind kind,
               const std::function<void(const soft_record&)>& visit) const;

  std::size_t size() const { return entries_.size(); }
  const gossip_counters& counters() const { return counters_; }
  static constexpr std::size_t kBuckets = 64;
  // Equal on two instances whose tables hold the same versions.
  const std::array<std::uint64_t, kBuckets>& bucket_hashes() const {
    return bucket_hashes_;
  }

 private:
  struct push_tag;
  struct bucket_tag;
  struct expiry_tag;
  using auto_unlink =
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
  using push_hook_type =
      boost::intrusive::list_base_hook<boost::intrusive::tag<push_tag>,
                                       auto_unlink>;
  using bucket_hook_type =
      boost::intrusive::list_base_hook<boost::intrusive::tag<bucket_tag>,
                                       auto_unlink>;
  using expiry_hook_type =
      boost::intrusive::set_base_hook<boost::intrusive::tag<expiry_tag>,
                                      auto_unlink>;
  using unsized = boost::intrusive::constant_time_size<false>;

  struct entry : push_hook_type, bucket_hook_type, expiry_hook_type {
    soft_record record;
    std::uint64_t key_hash = 0;
    std::uint64_t content_hash = 0;
    // Valid while linked into expiries_.
    time_point expires_at{};
    friend bool operator<(const entry& a, const entry& b) {
      return a.expires_at < b.expires_at;
    }
  };
  using push_list =
      boost::intrusive::list<entry, boost::intrusive::base_hook<push_hook_type>,
                             unsized>;
  using bucket_list = boost::intrusive::list<
      entry, boost::intrusive::base_hook<bucket_hook_type>, unsized>;
  using expiry_set = boost::intrusive::multiset<
      entry, boost::intrusive::base_hook<expiry_hook_type>, unsized>;

  static constexpr std::size_t kSummaryEntryBytes = 32;

  entry* FindEntry(std::uint64_t key_hash);
  void Erase(entry* e);
  // Removes a tombstone if the table is full. Returns false if there is no room
  // for another record.
  bool EnsureCapacity();
  // Stores `record` and, if `push`, queues it for pushing. Returns false if the
  // record is malformed or not newer than the stored one, or the table is full.
  bool Store(soft_record record, time_point now, bool push);
  void Handle(const instance_name& from, gossip_records& message,
              time_point now, std::vector<gossip_effect>* out);
  void Handle(const instance_name& from, const gossip_root_digest& digest,
              time_point now, std::vector<gossip_effect>* out);
  void Handle(const instance_name& from, const gossip_digest& digest,
              time_point now, std::vector<gossip_effect>* out);
  void Handle(const instance_name& from, const gossip_summary& summary,
              time_point now, std::vector<gossip_effect>* out);
  void Handle(const instance_name& from, const gossip_request& request,
              time_point now, std::vector<gossip_effect>* out);
  void FlushPushes(time_point now, std::vector<gossip_effect>* out);
  void SendRecords(const instance_name& to,
                   const std::vector<const entry*>& entries, bool more,
                   time_point now, std::vector<gossip_effect>* out);
  std::uint64_t RootHash() const;
  // Maximum bytes of records or summary entries in one message.
  std::size_t message_budget() const;
  // Returns the record with its remaining lifetime.
  soft_record WithRemainingLifetime(const entry& e, time_point now) const;

  const instance_name self_;
  const gossip_options options_;
  std::vector<instance_name> peers_;
  std::unordered_map<std::uint64_t, std::unique_ptr<entry>> entries_;
  std::array<std::uint64_t, kBuckets> bucket_hashes_{};
  std::array<bucket_list, kBuckets> buckets_;
  push_list push_queue_;
  expiry_set expiries_;
  time_point next_push_{};
  time_point next_digest_{};
  bool digest_scheduled_ = false;
  std::mt19937_64 random_;
  gossip_counters counters_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_GOSSIP_TABLE_H_
