#ifndef BILBERRYCOURSE_LOG_CODEC_H_
#define BILBERRYCOURSE_LOG_CODEC_H_

// Bytes of the log file, and what may be recovered from them.
//
//   std::string file = EncodeLogFile(generation, recovered);  // new file
//   file += EncodeChanges(generation, file.size(), effect);   // appended
//   recovery r = RecoverLog(file, generation, synced_length);
//
// A log file is a sequence of records: identity, optional snapshot, state,
// entries; later state, truncate and entry records are appended. Each record
// carries its length and an xxHash64 over type, payload, generation and
// offset, so that a record that is valid elsewhere is not valid here.
//
// Recovery: records up to the synced length must be intact, otherwise the log
// is damaged. The synced length is the larger of the length that the file had
// when it was created, which its first record states, and the length in the
// sync mark. After it, the tail may be cut off or end in zero bytes, as an
// unsynced write leaves it; only such a tail is dropped. Any other damage is
// refused.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/consensus_types.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

// The contents of a new log file of this generation.
std::string EncodeLogFile(std::uint64_t generation,
                          const recovered_log& contents);

// The records that a persist effect without snapshot appends at `offset`.
std::string EncodeChanges(std::uint64_t generation, std::uint64_t offset,
                          const persist_effect& changes);

struct log_recovery {
  // kOk, or kLogDamaged with a reason.
  result_code code = result_code::kOk;
  std::string reason;
  recovered_log log;
  // The file is to be cut to this length before anything is appended.
  std::uint64_t valid_length = 0;
  bool torn_tail = false;
};

log_recovery RecoverLog(std::string_view file, std::uint64_t generation,
                        std::uint64_t synced_length);

// How much of which log file is known to be synced. Two slots are written in
// turn, so that a torn write of one leaves the other.
struct sync_mark {
  std::uint64_t sequence = 0;
  std::uint64_t generation = 0;
  std::uint64_t length = 0;
  bool operator==(const sync_mark&) const = default;
};

inline constexpr std::size_t kSyncMarkBytes = 32;

std::string EncodeSyncMark(const sync_mark& mark);
// The newer valid slot of the file's contents; empty if there is none.
std::optional<sync_mark> DecodeSyncMarks(std::string_view file);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LOG_CODEC_H_
