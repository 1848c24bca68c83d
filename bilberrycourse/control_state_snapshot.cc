// Encodes and decodes snapshots, the published state and route updates of
// control_state.

#include <xxhash.h>
#include <zlib.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

#include "bilberrycourse/control_codec.h"
#include "bilberrycourse/control_state.h"

namespace bilberrycourse {
namespace {

namespace wire = control_wire;

constexpr std::uint32_t kSnapshotFormat = 1;

template <typename T>
T ToLittleEndian(T value) {
  return flatbuffers::EndianScalar(value);
}

// Appends a hash of the content, because the FlatBuffers verifier does not
// detect changed bytes within a string.
std::string AppendHash(std::string bytes) {
  const std::uint64_t hash =
      ToLittleEndian<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size()));
  bytes.append(reinterpret_cast<const char*>(&hash), sizeof(hash));
  return bytes;
}

std::optional<std::string_view> VerifyAndStripHash(std::string_view bytes) {
  std::uint64_t hash = 0;
  if (bytes.size() < sizeof(hash)) return std::nullopt;
  const std::string_view content = bytes.substr(0, bytes.size() - sizeof(hash));
  std::memcpy(&hash, content.data() + content.size(), sizeof(hash));
  if (ToLittleEndian(hash) != XXH3_64bits(content.data(), content.size())) {
    return std::nullopt;
  }
  return content;
}

// Bounds the memory that a damaged length can allocate. A directory of 65,536
// searchers has 12 MB.
constexpr std::uint32_t kMaxDecompressedBytes = 64 << 20;

// Returns the length of the content followed by the deflated content. A
// configuration repeats each service name several times, and traffic between
// zones is charged.
std::string Compress(const std::string& content) {
  uLongf size = compressBound(content.size());
  const auto length =
      ToLittleEndian(static_cast<std::uint32_t>(content.size()));
  std::string out(sizeof(length) + size, '\0');
  std::memcpy(out.data(), &length, sizeof(length));
  compress(reinterpret_cast<Bytef*>(out.data() + sizeof(length)), &size,
           reinterpret_cast<const Bytef*>(content.data()), content.size());
  out.resize(sizeof(length) + size);
  return out;
}

std::optional<std::string> Decompress(std::string_view bytes) {
  std::uint32_t length = 0;
  if (bytes.size() < sizeof(length)) return std::nullopt;
  std::memcpy(&length, bytes.data(), sizeof(length));
  length = ToLittleEndian(length);
  if (length > kMaxDecompressedBytes) return std::nullopt;
  std::string out(length, '\0');
  uLongf size = length;
  const int status =
      uncompress(reinterpret_cast<Bytef*>(out.data()), &size,
                 reinterpret_cast<const Bytef*>(bytes.data() + sizeof(length)),
                 bytes.size() - sizeof(length));
  if (status != Z_OK || size != length) return std::nullopt;
  return out;
}

std::unique_ptr<wire::request_recordT> RequestToWire(
    const std::string& caller, const std::string& key,
    const request_record& record) {
  auto out = std::make_unique<wire::request_recordT>();
  out->caller = caller;
  out->key = key;
  out->phase = static_cast<std::uint8_t>(record.phase);
  out->run = ToWire(record.run);
  out->target = record.target;
  out->body_hash = record.body_hash;
  out->issued_at_ms = record.issued_at_ms;
  out->retain_from_ms = record.retain_from_ms;
  out->begun_at_ms = record.begun_at_ms;
  out->ended_at_ms = record.ended_at_ms;
  out->deadline_ms = record.deadline_ms;
  out->idempotent = record.idempotent;
  out->keep = record.keep;
  out->code = static_cast<std::uint16_t>(record.code);
  out->answer = record.answer;
  out->answer_omitted = record.answer_omitted;
  for (const auto& run : record.abandoned_runs) {
    out->abandoned_runs.push_back(ToWire(run));
  }
  return out;
}

bool RequestFromWire(const wire::request_recordT& in, request_record* record) {
  if (in.phase > static_cast<std::uint8_t>(request_phase::kAbandoned) ||
      !ResultCodeFromWire(in.code, &record->code) ||
      !FromWire(in.run, &record->run)) {
    return false;
  }
  record->phase = static_cast<request_phase>(in.phase);
  record->target = in.target;
  record->body_hash = in.body_hash;
  record->issued_at_ms = in.issued_at_ms;
  record->retain_from_ms = in.retain_from_ms;
  record->begun_at_ms = in.begun_at_ms;
  record->ended_at_ms = in.ended_at_ms;
  record->deadline_ms = in.deadline_ms;
  record->idempotent = in.idempotent;
  record->keep = in.keep;
  record->answer = in.answer;
  record->answer_omitted = in.answer_omitted;
  for (const auto& run : in.abandoned_runs) {
    if (!FromWire(run, &record->abandoned_runs.emplace_back())) return false;
  }
  return true;
}

}  // namespace

std::string control_state::SaveSnapshot() const {
  wire::snapshotT out;
  out.format = kSnapshotFormat;
  out.applied_index = applied_index_;
  out.now_ms = now_ms_;
  out.config_version = config_version_;
  out.published_version = published_version_;
  out.document = document_.text();
  for (const auto& entry : history_) {
    auto stored = std::make_unique<wire::history_entryT>();
    stored->version = entry.version;
    stored->change_id = entry.change_id;
    stored->author = entry.author;
    stored->reason = entry.reason;
    stored->accepted_at_ms = entry.accepted_at_ms;
    stored->document = entry.document;
    out.history.push_back(std::move(stored));
  }
  for (const auto& [recorded_at, id] : change_order_) {
    const auto change = changes_.find(id);
    if (change == changes_.end() ||
        change->second.recorded_at_ms != recorded_at) {
      continue;
    }
    auto stored = std::make_unique<wire::change_recordT>();
    stored->change_id = id;
    stored->content_hash = change->second.content_hash;
    stored->recorded_at_ms = recorded_at;
    stored->result =
        std::make_unique<wire::outcomeT>(ToWire(change->second.outcome));
    out.changes.push_back(std::move(stored));
  }
  for (const auto& record : ShardSets()) {
    out.shard_sets.push_back(
        std::make_unique<wire::shard_setT>(ToWire(record)));
  }
  for (const auto& [key, record] : requests_) {
    out.requests.push_back(RequestToWire(key.first, key.second, record));
  }
  out.routes = std::make_unique<wire::route_documentT>(ToWire(routes_));
  for (const searcher_record& record : searchers_.Records()) {
    out.searchers.push_back(ToWire(record));
  }
  out.searcher_revision = searchers_.revision();
  out.searchers_forgotten = searchers_.pruned_revision();
  if (evacuations_.version > 0) out.evacuations = ToWire(evacuations_);
  wire::control_rootT root;
  root.body.Set(std::move(out));
  return AppendHash(PackRoot(root));
}

bool control_state::LoadSnapshot(std::string_view bytes) {
  const auto content = VerifyAndStripHash(bytes);
  if (!content) return false;
  const auto root = UnpackRoot(*content, wire::root_body::snapshot);
  if (root == nullptr) return false;
  const wire::snapshotT& in = *root->body.Assnapshot();
  if (in.format != kSnapshotFormat || in.applied_index < applied_index_) {
    return false;
  }
  control_state loaded(options_);
  loaded.applied_index_ = in.applied_index;
  loaded.now_ms_ = in.now_ms;
  loaded.config_version_ = in.config_version;
  loaded.published_version_ = in.published_version;
  std::vector<document_error> errors;
  auto document = ParseConfig(in.document, &errors, options_.limits);
  if (!document) return false;
  loaded.document_ = std::move(*document);
  for (const auto& stored : in.history) {
    loaded.history_.push_back({stored->version, stored->change_id,
                               stored->author, stored->reason,
                               stored->accepted_at_ms, stored->document});
  }
  const std::uint64_t newest =
      loaded.history_.empty() ? 0 : loaded.history_.back().version;
  if (newest != loaded.config_version_) return false;
  if (HasFault(control_fault::kRevertVersionOnReload) && newest > 1) {
    loaded.history_.pop_back();
    loaded.config_version_ = newest - 1;
  }
  for (const auto& stored : in.changes) {
    change_record change;
    change.content_hash = stored->content_hash;
    change.recorded_at_ms = stored->recorded_at_ms;
    if (stored->result == nullptr ||
        !FromWire(*stored->result, &change.outcome)) {
      return false;
    }
    if (HasFault(control_fault::kDropChangeIdsInSnapshot)) continue;
    loaded.change_order_.emplace_back(change.recorded_at_ms, stored->change_id);
    loaded.changes_[stored->change_id] = std::move(change);
  }
  for (const auto& stored : in.shard_sets) {
    const shard_set_record record = FromWire(*stored);
    loaded.shard_sets_[record.service][record.version] = record.shard_count;
  }
  for (const auto& stored : in.requests) {
    request_record record;
    if (!RequestFromWire(*stored, &record)) return false;
    loaded.answer_bytes_ += record.answer.size();
    const request_key key{stored->caller, stored->key};
    loaded.request_order_.emplace(record.retain_from_ms, key);
    if (!loaded.requests_.emplace(key, std::move(record)).second) return false;
  }
  // Snapshots written before routes were introduced do not have this field.
  if (in.routes != nullptr && !HasFault(control_fault::kDropRoutesInSnapshot)) {
    loaded.routes_ = FromWire(*in.routes);
  }
  std::vector<searcher_record> searchers;
  for (const auto& stored : in.searchers) {
    if (!FromWire(*stored, &searchers.emplace_back())) return false;
  }
  loaded.searchers_.Restore(std::move(searchers), in.searcher_revision,
                            in.searchers_forgotten);
  // Missing in snapshots of earlier builds, which had no evacuations.
  if (in.evacuations != nullptr) {
    loaded.evacuations_ = FromWire(*in.evacuations);
  }
  loaded.zone_orders_.Reset(loaded.evacuations_.version);
  *this = std::move(loaded);
  return true;
}

std::string control_state::SavePublished() const {
  wire::publishedT out;
  out.config_version = config_version_;
  out.published_version = published_version_;
  out.document = document_.text();
  for (const auto& record : ShardSets()) {
    out.shard_sets.push_back(
        std::make_unique<wire::shard_setT>(ToWire(record)));
  }
  wire::control_rootT root;
  root.body.Set(std::move(out));
  return AppendHash(PackRoot(root));
}

std::string control_state::SaveRouteUpdate(
    std::uint64_t known_version, std::uint64_t known_revision,
    std::optional<std::uint64_t> known_evacuations) const {
  const bool newer_routes = routes_.version > known_version;
  const bool newer_evacuations = known_evacuations.has_value() &&
                                 evacuations_.version > *known_evacuations;
  const bool send_all = !searchers_.HasChangesSince(known_revision);
  // A member that is behind the receiver has no searcher changes to send.
  if (!newer_routes && !newer_evacuations && !send_all &&
      searchers_.revision() <= known_revision) {
    return {};
  }
  wire::route_newsT out;
  if (newer_routes) {
    out.routes = std::make_unique<wire::route_documentT>(ToWire(routes_));
  }
  if (newer_evacuations) out.evacuations = ToWire(evacuations_);
  out.base_revision = send_all ? 0 : known_revision;
  out.revision = std::max(searchers_.revision(), out.base_revision);
  for (const searcher_record& record :
       searchers_.ChangesSince(out.base_revision)) {
    out.searchers.push_back(ToWire(record));
  }
  wire::control_rootT root;
  root.body.Set(std::move(out));
  return Compress(AppendHash(PackRoot(root)));
}

std::optional<route_update> LoadRouteUpdate(std::string_view bytes) {
  const auto decompressed = Decompress(bytes);
  if (!decompressed) return std::nullopt;
  const auto content = VerifyAndStripHash(*decompressed);
  if (!content) return std::nullopt;
  const auto root = UnpackRoot(*content, wire::root_body::route_news);
  if (root == nullptr) return std::nullopt;
  const wire::route_newsT& in = *root->body.Asroute_news();
  route_update result;
  if (in.routes != nullptr) result.routes = FromWire(*in.routes);
  if (in.evacuations != nullptr) result.evacuations = FromWire(*in.evacuations);
  result.base_revision = in.base_revision;
  result.revision = in.revision;
  for (const auto& stored : in.searchers) {
    if (!FromWire(*stored, &result.searchers.emplace_back()))
      return std::nullopt;
  }
  return result;
}

std::optional<published_state> LoadPublished(std::string_view bytes,
                                             const config_limits& limits) {
  const auto content = VerifyAndStripHash(bytes);
  if (!content) return std::nullopt;
  const auto root = UnpackRoot(*content, wire::root_body::published);
  if (root == nullptr) return std::nullopt;
  const wire::publishedT& in = *root->body.Aspublished();
  std::vector<document_error> errors;
  auto document = ParseConfig(in.document, &errors, limits);
  if (!document) return std::nullopt;
  published_state result;
  result.config_version = in.config_version;
  result.published_version = in.published_version;
  result.document = std::move(*document);
  for (const auto& stored : in.shard_sets) {
    result.shard_sets.push_back(FromWire(*stored));
  }
  return result;
}

}  // namespace bilberrycourse
