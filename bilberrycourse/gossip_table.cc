#include "bilberrycourse/gossip_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "bilberrycourse/gossip_codec.h"

namespace bilberrycourse {
namespace {

constexpr std::array<std::string_view, 3> kKindNames{
    "instance", "backend_server", "crash_evidence"};

// Records received by an exchange are pushed on only if the message has at most
// this many: a larger one is a copy of the table for a new instance, and its
// records are known to the other instances.
constexpr std::size_t kMaxRepairPushRecords = 16;

// Size of the root table, payload table, vtables and vector length of a
// message.
constexpr std::size_t kMessageOverheadBytes = 96;

std::uint64_t Hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t KeyHash(record_kind kind, std::string_view key) {
  return Hash(key, static_cast<std::uint64_t>(kind) + 1);
}

// Covers all fields but the lifetime, which decreases while a record is
// relayed.
std::uint64_t ContentHash(const soft_record& r, std::uint64_t key_hash) {
  const std::array<std::uint64_t, 4> numbers{
      key_hash, r.version.incarnation, r.version.sequence, r.deleted ? 1u : 0u};
  std::uint64_t hash = XXH3_64bits(numbers.data(), sizeof(numbers));
  hash = Hash(r.owner, hash);
  return Hash(r.value, hash);
}

std::size_t BucketOf(std::uint64_t key_hash) {
  return key_hash % gossip_table::kBuckets;
}

}  // namespace

std::string_view Name(record_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index] : "unknown";
}

bool IsRecordKind(std::uint8_t value) { return value < kKindNames.size(); }

gossip_table::gossip_table(instance_name self, gossip_options options)
    : self_(std::move(self)),
      options_(options),
      random_(Hash(self_, options.seed)) {}

gossip_table::~gossip_table() = default;

void gossip_table::SetPeers(std::vector<instance_name> peers) {
  std::erase(peers, self_);
  peers_ = std::move(peers);
}

gossip_table::entry* gossip_table::FindEntry(std::uint64_t key_hash) {
  const auto it = entries_.find(key_hash);
  return it == entries_.end() ? nullptr : it->second.get();
}

const soft_record* gossip_table::Find(record_kind kind,
                                      std::string_view key) const {
  const auto it = entries_.find(KeyHash(kind, key));
  return it == entries_.end() || it->second->record.key != key
             ? nullptr
             : &it->second->record;
}

void gossip_table::ForEach(
    record_kind kind,
    const std::function<void(const soft_record&)>& visit) const {
  for (const bucket_list& bucket : buckets_) {
    for (const entry& e : bucket) {
      if (e.record.kind == kind) visit(e.record);
    }
  }
}

void gossip_table::Erase(entry* e) {
  bucket_hashes_[BucketOf(e->key_hash)] ^= e->content_hash;
  entries_.erase(e->key_hash);
}

void gossip_table::Withdraw(record_kind kind, std::string_view key) {
  entry* e = FindEntry(KeyHash(kind, key));
  if (e != nullptr && e->record.key == key) Erase(e);
}

bool gossip_table::EnsureCapacity() {
  if (entries_.size() < options_.max_records) return true;
  // Removes the record that expires next if it is a tombstone.
  if (expiries_.empty() || !expiries_.begin()->record.deleted) {
    ++counters_.table_full;
    return false;
  }
  Erase(&*expiries_.begin());
  return true;
}

bool gossip_table::Store(soft_record record, time_point now, bool push) {
  if (record.key.empty() || record.key.size() > options_.max_key_bytes ||
      record.owner.size() > options_.max_key_bytes ||
      record.value.size() > options_.max_value_bytes) {
    ++counters_.malformed;
    return false;
  }
  const std::uint64_t key_hash = KeyHash(record.kind, record.key);
  const std::uint64_t content_hash = ContentHash(record, key_hash);
  entry* e = FindEntry(key_hash);
  if (e != nullptr) {
    // Equal versions with different content are published if two instances each
    // consider themselves the owner. Any order works if all instances use the
    // same; a tombstone wins because an owner that is alive publishes again.
    const auto rank = [](const soft_record& r, std::uint64_t hash) {
      return std::tuple(r.version, r.deleted, hash);
    };
    if (e->record.key != record.key ||
        !(rank(e->record, e->content_hash) < rank(record, content_hash))) {
      ++counters_.stale;
      return false;
    }
  } else {
    if (!EnsureCapacity()) return false;
    auto owned = std::make_unique<entry>();
    e = owned.get();
    e->key_hash = key_hash;
    buckets_[BucketOf(key_hash)].push_back(*e);
    entries_.emplace(key_hash, std::move(owned));
  }
  bucket_hashes_[BucketOf(key_hash)] ^= e->content_hash ^ content_hash;
  e->content_hash = content_hash;

  if (record.deleted && (record.lifetime <= duration{0} ||
                         record.lifetime > options_.tombstone_retention)) {
    record.lifetime = options_.tombstone_retention;
  }
  auto& expiry_hook = static_cast<expiry_hook_type&>(*e);
  if (expiry_hook.is_linked()) expiry_hook.unlink();
  if (record.lifetime > duration{0}) {
    e->expires_at = now + record.lifetime;
    expiries_.insert(*e);
  }
  e->record = std::move(record);

  auto& push_hook = static_cast<push_hook_type&>(*e);
  if (push && !push_hook.is_linked()) push_queue_.push_back(*e);
  return true;
}

bool gossip_table::Publish(soft_record record, time_point now,
                           std::vector<gossip_effect>* out) {
  if (!Store(std::move(record), now, true)) return false;
  FlushPushes(now, out);
  return true;
}

soft_record gossip_table::WithRemainingLifetime(const entry& e,
                                                time_point now) const {
  soft_record record = e.record;
  if (record.lifetime > duration{0}) {
    record.lifetime = std::max(duration{1}, e.expires_at - now);
  }
  return record;
}

std::size_t gossip_table::message_budget() const {
  return options_.max_message_bytes -
         std::min(options_.max_message_bytes, kMessageOverheadBytes);
}

void gossip_table::FlushPushes(time_point now,
                               std::vector<gossip_effect>* out) {
  // The first push after an idle interval is sent immediately. Further ones are
  // delayed, so that bursts are sent in few messages.
  if (push_queue_.empty() || now < next_push_) return;
  if (peers_.empty()) {
    // Peers that appear later receive the records by anti-entropy.
    push_queue_.clear();
    return;
  }
  next_push_ = now + options_.push_interval;

  gossip_records message;
  std::size_t bytes = 0;
  while (!push_queue_.empty()) {
    const entry& e = push_queue_.front();
    const std::size_t size = EncodedSizeBound(e.record);
    if (!message.records.empty() && bytes + size > message_budget()) {
      break;
    }
    bytes += size;
    message.records.push_back(WithRemainingLifetime(e, now));
    push_queue_.pop_front();
  }
  const std::string encoded = EncodeGossip(message);
  // Sends to ceil(log2 N) + 1 peers; N includes this instance.
  const std::size_t fanout =
      std::min<std::size_t>(peers_.size(), std::bit_width(peers_.size()) + 1);
  for (std::size_t i = 0; i < fanout; ++i) {
    std::uniform_int_distribution<std::size_t> pick(i, peers_.size() - 1);
    std::swap(peers_[i], peers_[pick(random_)]);
    out->push_back(gossip_send{peers_[i], encoded});
  }
}

void gossip_table::SendRecords(const instance_name& to,
                               const std::vector<const entry*>& entries,
                               bool more, time_point now,
                               std::vector<gossip_effect>* out) {
  gossip_records message;
  message.exchange = true;
  std::size_t bytes = 0;
  for (const entry* e : entries) {
    const std::size_t size = EncodedSizeBound(e->record);
    if (!message.records.empty() && bytes + size > message_budget()) {
      out->push_back(gossip_send{to, EncodeGossip(message)});
      message.records.clear();
      bytes = 0;
    }
    bytes += size;
    message.records.push_back(WithRemainingLifetime(*e, now));
  }
  if (message.records.empty()) return;
  message.more = more;
  out->push_back(gossip_send{to, EncodeGossip(message)});
}

void gossip_table::Synchronize(const instance_name& peer, time_point,
                               std::vector<gossip_effect>* out) {
  if (peer == self_) return;
  ++counters_.digests_sent;
  out->push_back(
      gossip_send{peer, EncodeGossip(gossip_digest{bucket_hashes_})});
}

void gossip_table::Receive(const instance_name& from, std::string_view bytes,
                           time_point now, std::vector<gossip_effect>* out) {
  if (from == self_) return;
  std::optional<gossip_message> message = DecodeGossip(bytes);
  if (!message) {
    ++counters_.malformed;
    return;
  }
  std::visit([&](auto& m) { Handle(from, m, now, out); }, *message);
}

void gossip_table::Handle(const instance_name& from, gossip_records& message,
                          time_point now, std::vector<gossip_effect>* out) {
  const bool push =
      !message.exchange || message.records.size() <= kMaxRepairPushRecords;
  bool merged = false;
  for (soft_record& record : message.records) {
    soft_record copy = record;
    if (!Store(std::move(copy), now, push)) continue;
    merged = true;
    ++counters_.merged;
    out->push_back(record_changed{std::move(record), false});
  }
  FlushPushes(now, out);
  // Without a merged record, another digest would get the same reply.
  if (message.more && merged) Synchronize(from, now, out);
}

std::uint64_t gossip_table::RootHash() const {
  return XXH3_64bits(bucket_hashes_.data(), sizeof(bucket_hashes_));
}

void gossip_table::Handle(const instance_name& from,
                          const gossip_root_digest& digest, time_point now,
                          std::vector<gossip_effect>* out) {
  if (digest.hash != RootHash()) Synchronize(from, now, out);
}

void gossip_table::Handle(const instance_name& from,
                          const gossip_digest& digest, time_point now,
                          std::vector<gossip_effect>* out) {
  if (digest.buckets == bucket_hashes_) return;
  ++counters_.digests_differed;
  gossip_summary summary;
  std::vector<const entry*> records;
  std::size_t exchange_bytes = 0;
  std::size_t summary_bytes = 0;
  bool more = false;
  const auto send_summary = [&] {
    out->push_back(gossip_send{from, EncodeGossip(summary)});
    summary = {};
    summary_bytes = 0;
  };
  // Starts at a random bucket, so that the size limit of the reply does not
  // always exclude the same buckets.
  const std::size_t start = random_() % kBuckets;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::size_t bucket = (start + i) % kBuckets;
    if (digest.buckets[bucket] == bucket_hashes_[bucket]) continue;
    if (exchange_bytes >= options_.max_exchange_bytes) {
      more = true;
      break;
    }
    const bool peer_bucket_is_empty = digest.buckets[bucket] == 0;
    for (const entry& e : buckets_[bucket]) {
      if (peer_bucket_is_empty) {
        if (exchange_bytes >= options_.max_exchange_bytes) {
          more = true;
          break;
        }
        records.push_back(&e);
        exchange_bytes += EncodedSizeBound(e.record);
        continue;
      }
      if (summary_bytes + kSummaryEntryBytes > message_budget()) {
        send_summary();
      }
      summary.entries.push_back({e.key_hash, e.record.version, e.content_hash});
      summary_bytes += kSummaryEntryBytes;
      exchange_bytes += kSummaryEntryBytes;
    }
    if (peer_bucket_is_empty) continue;
    // A bucket whose entries began in an earlier message is not marked as
    // complete, because the receiver could not determine which of its own
    // records are missing here.
    const std::size_t bucket_bytes =
        kSummaryEntryBytes * buckets_[bucket].size();
    if (summary_bytes >= bucket_bytes) summary.complete |= 1ull << bucket;
  }
  if (summary.complete != 0 || !summary.entries.empty()) send_summary();
  SendRecords(from, records, more, now, out);
}

void gossip_table::Handle(const instance_name& from,
                          const gossip_summary& summary, time_point now,
                          std::vector<gossip_effect>* out) {
  gossip_request request;
  std::vector<const entry*> newer;
  std::size_t newer_bytes = 0;
  bool more = false;
  const auto add = [&](const entry& e) {
    if (newer_bytes >= options_.max_exchange_bytes) {
      more = true;
      return;
    }
    newer.push_back(&e);
    newer_bytes += EncodedSizeBound(e.record);
  };
  std::unordered_set<std::uint64_t> summarized_keys;
  for (const gossip_summary_entry& remote : summary.entries) {
    summarized_keys.insert(remote.key_hash);
    const entry* local = FindEntry(remote.key_hash);
    if (local != nullptr && local->content_hash == remote.content_hash)
      continue;
    if (local == nullptr || !(remote.version < local->record.version)) {
      request.key_hashes.push_back(remote.key_hash);
    }
    if (local != nullptr && !(local->record.version < remote.version))
      add(*local);
  }
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if ((summary.complete >> bucket & 1) == 0) continue;
    for (const entry& e : buckets_[bucket]) {
      if (!summarized_keys.contains(e.key_hash)) add(e);
    }
  }
  SendRecords(from, newer, more, now, out);
  if (!request.key_hashes.empty()) {
    out->push_back(gossip_send{from, EncodeGossip(request)});
  }
}

void gossip_table::Handle(const instance_name& from,
                          const gossip_request& request, time_point now,
                          std::vector<gossip_effect>* out) {
  std::vector<const entry*> records;
  std::size_t bytes = 0;
  bool more = false;
  for (const std::uint64_t key_hash : request.key_hashes) {
    const entry* e = FindEntry(key_hash);
    if (e == nullptr) continue;
    if (bytes >= options_.max_exchange_bytes) {
      more = true;
      break;
    }
    records.push_back(e);
    bytes += EncodedSizeBound(e->record);
  }
  SendRecords(from, records, more, now, out);
}

void gossip_table::Tick(time_point now, std::vector<gossip_effect>* out) {
  while (!expiries_.empty() && expiries_.begin()->expires_at <= now) {
    entry* e = &*expiries_.begin();
    soft_record record = std::move(e->record);
    Erase(e);
    out->push_back(record_changed{std::move(record), true});
  }
  FlushPushes(now, out);
  if (!digest_scheduled_) {
    // A random offset spreads the digests of instances that start together over
    // the period.
    digest_scheduled_ = true;
    next_digest_ =
        now + duration(static_cast<duration::rep>(
                  random_() % static_cast<std::uint64_t>(
                                  options_.anti_entropy_period.count())));
  }
  if (now < next_digest_ || peers_.empty()) return;
  next_digest_ = std::max(next_digest_ + options_.anti_entropy_period, now);
  ++counters_.digests_sent;
  // Sends only the hash of the whole table: the tables are nearly always equal,
  // and the full digest would account for most of the bytes of an idle second.
  out->push_back(gossip_send{peers_[random_() % peers_.size()],
                             EncodeGossip(gossip_root_digest{RootHash()})});
}

}  // namespace bilberrycourse
