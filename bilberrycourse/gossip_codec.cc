#include "bilberrycourse/gossip_codec.h"

#include <algorithm>
#include <utility>

#include "bilberrycourse/membership_generated.h"
#include "bilberrycourse/wire_buffer.h"

namespace bilberrycourse {
namespace {

namespace wire = membership_wire;
using builder = flatbuffers::FlatBufferBuilder;

std::uint64_t ToMicroseconds(duration d) {
  return d.count() <= 0 ? 0 : static_cast<std::uint64_t>(d.count());
}

flatbuffers::Offset<wire::soft_record> Write(builder* b, const soft_record& r) {
  const auto key = b->CreateString(r.key);
  const auto owner = b->CreateString(r.owner);
  const auto value = b->CreateVector(
      reinterpret_cast<const std::uint8_t*>(r.value.data()), r.value.size());
  return wire::Createsoft_record(
      *b, static_cast<std::uint8_t>(r.kind), key, owner, r.version.incarnation,
      r.version.sequence, r.deleted, ToMicroseconds(r.lifetime), value);
}

bool Read(const wire::soft_record& in, soft_record* out) {
  // Lifetimes beyond a year would overflow when added to a time_point.
  constexpr std::uint64_t kMaxLifetimeUs = 365ull * 24 * 3600 * 1000000;
  if (!IsRecordKind(in.kind()) || in.key() == nullptr ||
      in.lifetime_us() > kMaxLifetimeUs) {
    return false;
  }
  out->kind = static_cast<record_kind>(in.kind());
  out->key = in.key()->str();
  out->owner = ToString(in.owner());
  out->version = {in.incarnation(), in.sequence()};
  out->deleted = in.deleted();
  out->lifetime = duration(static_cast<std::int64_t>(in.lifetime_us()));
  if (in.value() != nullptr) {
    out->value.assign(reinterpret_cast<const char*>(in.value()->data()),
                      in.value()->size());
  }
  return true;
}

// Writes the payload of a message and returns its type and offset.
struct message_writer {
  builder* b;
  using typed_payload =
      std::pair<wire::gossip_payload, flatbuffers::Offset<void>>;

  typed_payload operator()(const gossip_records& m) const {
    std::vector<flatbuffers::Offset<wire::soft_record>> records;
    records.reserve(m.records.size());
    for (const soft_record& r : m.records) records.push_back(Write(b, r));
    return {
        wire::gossip_payload::records,
        wire::Createrecords(*b, b->CreateVector(records), m.exchange, m.more)
            .Union()};
  }
  typed_payload operator()(const gossip_root_digest& m) const {
    return {wire::gossip_payload::root_digest,
            wire::Createroot_digest(*b, m.hash).Union()};
  }
  typed_payload operator()(const gossip_digest& m) const {
    return {wire::gossip_payload::digest,
            wire::Createdigest(
                *b, b->CreateVector(m.buckets.data(), m.buckets.size()))
                .Union()};
  }
  typed_payload operator()(const gossip_summary& m) const {
    std::vector<wire::summary_entry> entries;
    entries.reserve(m.entries.size());
    for (const gossip_summary_entry& e : m.entries) {
      entries.emplace_back(e.key_hash, e.version.incarnation,
                           e.version.sequence, e.content_hash);
    }
    return {
        wire::gossip_payload::summary,
        wire::Createsummary(*b, m.complete, b->CreateVectorOfStructs(entries))
            .Union()};
  }
  typed_payload operator()(const gossip_request& m) const {
    return {
        wire::gossip_payload::record_request,
        wire::Createrecord_request(*b, b->CreateVector(m.key_hashes)).Union()};
  }
};

std::optional<gossip_message> Read(const wire::records& in) {
  gossip_records out;
  out.exchange = in.exchange();
  out.more = in.more();
  if (in.items() != nullptr) {
    out.records.resize(in.items()->size());
    for (flatbuffers::uoffset_t i = 0; i < in.items()->size(); ++i) {
      if (!Read(*in.items()->Get(i), &out.records[i])) return std::nullopt;
    }
  }
  return out;
}

std::optional<gossip_message> Read(const wire::digest& in) {
  gossip_digest out;
  if (in.buckets() == nullptr || in.buckets()->size() != out.buckets.size()) {
    return std::nullopt;
  }
  std::copy(in.buckets()->begin(), in.buckets()->end(), out.buckets.begin());
  return out;
}

std::optional<gossip_message> Read(const wire::summary& in) {
  gossip_summary out;
  out.complete = in.complete();
  if (in.entries() != nullptr) {
    out.entries.reserve(in.entries()->size());
    for (const wire::summary_entry* e : *in.entries()) {
      out.entries.push_back({e->key_hash(),
                             {e->incarnation(), e->sequence()},
                             e->content_hash()});
    }
  }
  return out;
}

std::optional<gossip_message> Read(const wire::record_request& in) {
  gossip_request out;
  if (in.key_hashes() != nullptr) {
    out.key_hashes.assign(in.key_hashes()->begin(), in.key_hashes()->end());
  }
  return out;
}

}  // namespace

std::string EncodeGossip(const gossip_message& message) {
  builder b(1024);
  const auto [type, payload] = std::visit(message_writer{&b}, message);
  b.Finish(wire::Creategossip_message(b, type, payload));
  return ToBytes(b);
}

std::optional<gossip_message> DecodeGossip(std::string_view bytes) {
  const aligned_bytes buffer(bytes);
  const auto* root = buffer.Root<wire::gossip_message>();
  if (root == nullptr || root->payload() == nullptr) return std::nullopt;
  switch (root->payload_type()) {
    case wire::gossip_payload::records:
      return Read(*root->payload_as_records());
    case wire::gossip_payload::digest:
      return Read(*root->payload_as_digest());
    case wire::gossip_payload::summary:
      return Read(*root->payload_as_summary());
    case wire::gossip_payload::record_request:
      return Read(*root->payload_as_record_request());
    case wire::gossip_payload::root_digest:
      return gossip_root_digest{root->payload_as_root_digest()->hash()};
    case wire::gossip_payload::NONE:
      break;
  }
  return std::nullopt;
}

std::size_t EncodedSizeBound(const soft_record& record) {
  // Size of the table with its vtable, the offset in the vector, and for each
  // of the three vectors a length, a terminator and padding.
  constexpr std::size_t kOverheadBytes = 112;
  return kOverheadBytes + record.key.size() + record.owner.size() +
         record.value.size();
}

std::string EncodeInstance(const instance_record& r) {
  builder b(256);
  b.Finish(wire::CreateinstanceDirect(b, r.name.c_str(), r.incarnation,
                                      r.zone.c_str(), r.peer_address.c_str(),
                                      r.http_address.c_str(), r.roles.bits));
  return ToBytes(b);
}

std::optional<instance_record> DecodeInstance(std::string_view bytes) {
  const aligned_bytes buffer(bytes);
  const auto* root = buffer.Root<wire::instance>();
  if (root == nullptr) return std::nullopt;
  instance_record r{
      ToString(root->name()),         root->incarnation(),
      ToString(root->zone()),         ToString(root->peer_address()),
      ToString(root->http_address()), {root->roles()}};
  if (r.name.empty() || r.incarnation == 0) return std::nullopt;
  return r;
}

soft_record ToSoftRecord(const backend_server_record& r) {
  builder b(256);
  std::vector<std::uint64_t> versions;
  versions.reserve(r.versions.size());
  for (const index_version v : r.versions) {
    versions.push_back(static_cast<std::uint64_t>(v));
  }
  b.Finish(wire::Createbackend_serverDirect(
      b, r.key.shard.service.c_str(), r.key.shard.shard, r.key.replica.c_str(),
      r.shard_count, r.address.c_str(), r.zone.c_str(), r.slots,
      r.connection_limit, &versions, static_cast<std::uint8_t>(r.state)));
  soft_record out;
  out.kind = record_kind::kBackendServer;
  out.key = ToString(r.key);
  out.owner = r.registrar;
  out.version = {r.incarnation, r.sequence};
  out.deleted = r.state == backend_server_state::kLost;
  out.value = ToBytes(b);
  return out;
}

std::optional<backend_server_record> ToBackendServerRecord(
    const soft_record& record) {
  const aligned_bytes buffer(record.value);
  const auto* root = buffer.Root<wire::backend_server>();
  if (root == nullptr || record.kind != record_kind::kBackendServer ||
      root->state() > static_cast<std::uint8_t>(backend_server_state::kLost)) {
    return std::nullopt;
  }
  backend_server_record r;
  r.key = {{ToString(root->service()), root->shard()},
           ToString(root->replica())};
  r.shard_count = root->shard_count();
  r.incarnation = record.version.incarnation;
  r.sequence = record.version.sequence;
  r.address = ToString(root->address());
  r.zone = ToString(root->zone());
  r.slots = root->slots();
  r.connection_limit = root->connection_limit();
  if (root->versions() != nullptr) {
    r.versions.reserve(root->versions()->size());
    for (const std::uint64_t v : *root->versions()) {
      r.versions.push_back(static_cast<index_version>(v));
    }
  }
  r.state = static_cast<backend_server_state>(root->state());
  r.registrar = record.owner;
  const bool lost = r.state == backend_server_state::kLost;
  if (ToString(r.key) != record.key || lost != record.deleted) {
    return std::nullopt;
  }
  return r;
}

}  // namespace bilberrycourse
