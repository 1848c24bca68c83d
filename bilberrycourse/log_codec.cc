#include "bilberrycourse/log_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bilberrycourse/consensus_codec.h"

namespace bilberrycourse {
namespace {

// Record: u32 payload length, u8 type, payload, u64 checksum; little-endian.
constexpr std::size_t kHeaderBytes = 5;
constexpr std::size_t kChecksumBytes = 8;
// A larger length is treated as damage; snapshots are the largest payloads.
constexpr std::uint32_t kMaxPayloadBytes = 256u * 1024 * 1024;
constexpr std::uint8_t kFormatVersion = 1;

enum class record_type : std::uint8_t {
  kIdentity = 1,
  kSnapshot,
  kState,
  kTruncate,
  kEntry,
};

void AppendNumber(std::uint64_t value, std::size_t bytes, std::string* out) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out->push_back(static_cast<char>(value >> (8 * i)));
  }
}

void AppendText(std::string_view text, std::string* out) {
  AppendNumber(text.size(), 4, out);
  out->append(text);
}

// Reads values written by AppendNumber and AppendText; `ok` becomes false at
// the end of the input and remains false.
struct byte_reader {
  std::string_view rest;
  bool ok = true;

  std::uint64_t Number(std::size_t bytes) {
    if (rest.size() < bytes) {
      ok = false;
      rest = {};
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
      value |= std::uint64_t{static_cast<unsigned char>(rest[i])} << (8 * i);
    }
    rest.remove_prefix(bytes);
    return value;
  }

  std::string_view Text() {
    const std::uint64_t length = Number(4);
    if (!ok || rest.size() < length) {
      ok = false;
      return {};
    }
    const std::string_view text = rest.substr(0, length);
    rest.remove_prefix(length);
    return text;
  }
};

std::uint64_t ComputeChecksum(std::string_view record, std::uint64_t generation,
                              std::uint64_t offset) {
  std::string position;
  AppendNumber(generation, 8, &position);
  AppendNumber(offset, 8, &position);
  const std::uint64_t seed = XXH64(position.data(), position.size(), 0);
  return XXH64(record.data(), record.size(), seed);
}

// Appends one record to `out`, which starts at byte `base` of the file.
void AppendRecord(record_type type, std::string_view payload,
                  std::uint64_t generation, std::uint64_t base,
                  std::string* out) {
  const std::size_t start = out->size();
  AppendNumber(payload.size(), 4, out);
  out->push_back(static_cast<char>(type));
  out->append(payload);
  const std::uint64_t checksum = ComputeChecksum(
      std::string_view(*out).substr(start), generation, base + start);
  AppendNumber(checksum, kChecksumBytes, out);
}

std::string StatePayload(const hard_state& state) {
  std::string payload;
  AppendNumber(state.term, 8, &payload);
  AppendNumber(static_cast<std::uint64_t>(state.voted_for), 8, &payload);
  AppendNumber(state.formation, 8, &payload);
  return payload;
}

std::string EntryPayload(const log_entry& entry) {
  std::string payload;
  AppendNumber(entry.index, 8, &payload);
  AppendNumber(entry.term, 8, &payload);
  AppendNumber(static_cast<std::uint64_t>(entry.kind), 1, &payload);
  if (entry.payload != nullptr) payload += *entry.payload;
  return payload;
}

std::string SnapshotPayload(const log_snapshot& snapshot) {
  std::string payload;
  AppendNumber(snapshot.index, 8, &payload);
  AppendNumber(snapshot.term, 8, &payload);
  AppendText(EncodeGroupMembership(snapshot.membership), &payload);
  if (snapshot.state != nullptr) payload += *snapshot.state;
  return payload;
}

// The identity record is the first one and stores the length of the file at its
// creation. The length takes a fixed number of bytes, so that it can be filled
// in after the file has been encoded.
std::string IdentityPayload(const member_identity& identity,
                            std::uint64_t created_length) {
  std::string payload;
  AppendNumber(kFormatVersion, 1, &payload);
  AppendNumber(created_length, 8, &payload);
  AppendNumber(static_cast<std::uint64_t>(identity.id), 8, &payload);
  AppendText(identity.group, &payload);
  AppendText(identity.instance, &payload);
  return payload;
}

std::string EncodeRecords(std::uint64_t generation, std::uint64_t base,
                          const recovered_log& contents) {
  std::string out;
  if (contents.snapshot) {
    AppendRecord(record_type::kSnapshot, SnapshotPayload(*contents.snapshot),
                 generation, base, &out);
  }
  AppendRecord(record_type::kState, StatePayload(contents.state), generation,
               base, &out);
  for (const log_entry& entry : contents.entries) {
    AppendRecord(record_type::kEntry, EntryPayload(entry), generation, base,
                 &out);
  }
  return out;
}

bool ReadIdentity(std::string_view payload, std::uint64_t* created_length,
                  member_identity* identity) {
  byte_reader in{payload};
  if (in.Number(1) != kFormatVersion) return false;
  *created_length = in.Number(8);
  identity->id = member_id{in.Number(8)};
  identity->group = in.Text();
  identity->instance = in.Text();
  return in.ok && in.rest.empty() && identity->id != kNoMember;
}

bool ReadSnapshot(std::string_view payload, log_snapshot* snapshot) {
  byte_reader in{payload};
  snapshot->index = in.Number(8);
  snapshot->term = in.Number(8);
  const std::optional<group_membership> membership =
      DecodeGroupMembership(in.Text());
  if (!in.ok || !membership) return false;
  snapshot->membership = *membership;
  snapshot->state = std::make_shared<const std::string>(in.rest);
  return snapshot->index > 0;
}

bool ReadEntry(std::string_view payload, log_entry* entry) {
  byte_reader in{payload};
  entry->index = in.Number(8);
  entry->term = in.Number(8);
  const std::uint64_t kind = in.Number(1);
  if (!in.ok || kind > static_cast<std::uint64_t>(entry_kind::kMembership)) {
    return false;
  }
  entry->kind = static_cast<entry_kind>(kind);
  entry->payload = std::make_shared<const std::string>(in.rest);
  return true;
}

// Applies one intact record. Returns false if the record is inconsistent with
// the preceding records.
bool ApplyRecord(record_type type, std::string_view payload,
                 recovered_log* log) {
  const log_index base = log->snapshot ? log->snapshot->index : 0;
  byte_reader in{payload};
  switch (type) {
    case record_type::kIdentity:
      return false;
    case record_type::kSnapshot: {
      if (log->snapshot || !log->entries.empty()) return false;
      log_snapshot snapshot;
      if (!ReadSnapshot(payload, &snapshot)) return false;
      log->snapshot = std::move(snapshot);
      return true;
    }
    case record_type::kState: {
      hard_state state;
      state.term = in.Number(8);
      state.voted_for = member_id{in.Number(8)};
      state.formation = in.Number(8);
      if (!in.ok || state.term < log->state.term) return false;
      log->state = state;
      return true;
    }
    case record_type::kTruncate: {
      const log_index from = in.Number(8);
      if (!in.ok || from <= base || from > base + log->entries.size() + 1) {
        return false;
      }
      log->entries.resize(from - base - 1);
      return true;
    }
    case record_type::kEntry: {
      log_entry entry;
      if (!ReadEntry(payload, &entry) ||
          entry.index != base + log->entries.size() + 1) {
        return false;
      }
      log->entries.push_back(std::move(entry));
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeLogFile(std::uint64_t generation,
                          const recovered_log& contents) {
  std::string identity_record;
  AppendRecord(record_type::kIdentity, IdentityPayload(contents.identity, 0),
               generation, 0, &identity_record);
  const std::uint64_t base = identity_record.size();
  const std::string records = EncodeRecords(generation, base, contents);
  identity_record.clear();
  AppendRecord(record_type::kIdentity,
               IdentityPayload(contents.identity, base + records.size()),
               generation, 0, &identity_record);
  return identity_record + records;
}

std::string EncodeChanges(std::uint64_t generation, std::uint64_t offset,
                          const persist_effect& changes) {
  std::string out;
  // The state is written first: after a torn write the file must never hold
  // entries of a term that is newer than the term in the state.
  if (changes.state_changed) {
    AppendRecord(record_type::kState, StatePayload(changes.state), generation,
                 offset, &out);
  }
  if (changes.truncate_from > 0) {
    std::string payload;
    AppendNumber(changes.truncate_from, 8, &payload);
    AppendRecord(record_type::kTruncate, payload, generation, offset, &out);
  }
  for (const log_entry& entry : changes.entries) {
    AppendRecord(record_type::kEntry, EntryPayload(entry), generation, offset,
                 &out);
  }
  return out;
}

log_recovery RecoverLog(std::string_view file, std::uint64_t generation,
                        std::uint64_t synced_length) {
  log_recovery result;
  const auto damaged = [&](std::uint64_t offset, const char* what) {
    result.code = result_code::kLogDamaged;
    result.reason = "log file " + std::to_string(generation) + " at byte " +
                    std::to_string(offset) + ": " + what;
    result.log = {};
    return result;
  };

  std::uint64_t offset = 0;
  std::uint64_t created_length = 0;
  while (offset < file.size()) {
    const std::string_view rest = file.substr(offset);
    byte_reader in{rest};
    const std::uint64_t length = in.Number(4);
    const auto type = static_cast<record_type>(in.Number(1));
    bool intact = in.ok && length <= kMaxPayloadBytes &&
                  in.rest.size() >= length + kChecksumBytes;
    if (intact) {
      const std::string_view record = rest.substr(0, kHeaderBytes + length);
      byte_reader stored_checksum{rest.substr(record.size())};
      intact = stored_checksum.Number(kChecksumBytes) ==
               ComputeChecksum(record, generation, offset);
    }
    if (!intact) {
      // The identity was synced before the file was renamed into place.
      if (offset == 0) return damaged(offset, "identity record is damaged");
      if (offset < std::max(created_length, synced_length)) {
        return damaged(offset, "synced record is damaged");
      }
      // No sync has covered these bytes, so a loss of power may leave any mix
      // of written, missing and older blocks here. Intact records behind the
      // first defect may lack their predecessors and are dropped too.
      result.torn_tail = true;
      break;
    }
    const std::string_view payload = rest.substr(kHeaderBytes, length);
    const bool accepted =
        offset == 0
            ? type == record_type::kIdentity &&
                  ReadIdentity(payload, &created_length, &result.log.identity)
            : ApplyRecord(type, payload, &result.log);
    if (!accepted) return damaged(offset, "unexpected or invalid record");
    offset += kHeaderBytes + length + kChecksumBytes;
  }
  if (offset == 0 || offset < std::max(created_length, synced_length)) {
    return damaged(offset, "file is shorter than its synced length");
  }
  result.valid_length = offset;
  return result;
}

std::string EncodeSyncMark(const sync_mark& mark) {
  std::string out;
  AppendNumber(mark.sequence, 8, &out);
  AppendNumber(mark.generation, 8, &out);
  AppendNumber(mark.length, 8, &out);
  AppendNumber(XXH64(out.data(), out.size(), 0), 8, &out);
  return out;
}

std::optional<sync_mark> DecodeSyncMarks(std::string_view file,
                                         std::size_t* slot) {
  std::optional<sync_mark> newest;
  for (std::size_t i = 0; i < 2; ++i) {
    if (file.size() < (i + 1) * kSyncMarkBytes) break;
    const std::string_view bytes =
        file.substr(i * kSyncMarkBytes, kSyncMarkBytes);
    byte_reader in{bytes};
    sync_mark mark;
    mark.sequence = in.Number(8);
    mark.generation = in.Number(8);
    mark.length = in.Number(8);
    if (in.Number(8) != XXH64(bytes.data(), kSyncMarkBytes - 8, 0)) continue;
    if (newest && mark.sequence <= newest->sequence) continue;
    newest = mark;
    if (slot != nullptr) *slot = i;
  }
  return newest;
}

}  // namespace bilberrycourse
