#ifndef BILBERRYCOURSE_LOG_CODEC_H_
#define BILBERRYCOURSE_LOG_CODEC_H_

// Encodes the log file and recovers the log from its bytes.
//
//   std::string file = EncodeLogFile(generation, recovered);  // new file
//   file += EncodeChanges(generation, file.size(), effect);   // appended
//   log_recovery recovered = RecoverLog(file, generation, synced_length);
//
// A log file is a sequence of records: identity, optional snapshot, state,
// entries; later state, truncate and entry records are appended. Each record
// carries its length and an xxHash64 over type, payload, generation and
// offset, so that a record copied from another file or offset is invalid.
//
// Recovery: records up to the synced length must be intact, otherwise the log
// is damaged. The synced length is the larger of the length of the file at its
// creation, which is stored in the first record, and the length in the sync
// mark. After it, a loss of power may leave an unsynced write present, missing
// or torn in any mix of blocks, with intact records behind a hole. The log ends
// at the first defect there; recovery drops the rest as a torn tail.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/consensus_types.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

// Returns the contents of a new log file of this generation.
std::string EncodeLogFile(std::uint64_t generation,
                          const recovered_log& contents);

// Returns the records that a persist effect without snapshot appends at
// `offset`.
std::string EncodeChanges(std::uint64_t generation, std::uint64_t offset,
                          const persist_effect& changes);

struct log_recovery {
  // kOk, or kLogDamaged with a reason.
  result_code code = result_code::kOk;
  std::string reason;
  recovered_log log;
  // The file must be truncated to this length, and synced, before anything is
  // appended.
  std::uint64_t valid_length = 0;
  bool torn_tail = false;
};

log_recovery RecoverLog(std::string_view file, std::uint64_t generation,
                        std::uint64_t synced_length);

// Records the generation of the current log file and a length up to which it is
// synced. The file has two slots, of which the writer overwrites only one until
// it has synced the file, so that a loss of power leaves the other one intact.
// Without a readable slot only the length at creation is known to be synced.
struct sync_mark {
  std::uint64_t sequence = 0;
  std::uint64_t generation = 0;
  std::uint64_t length = 0;
  bool operator==(const sync_mark&) const = default;
};

inline constexpr std::size_t kSyncMarkBytes = 32;

std::string EncodeSyncMark(const sync_mark& mark);
// Returns the newest valid mark of the file and its slot (0 or 1); nullopt if
// neither slot is valid. `slot` may be null.
std::optional<sync_mark> DecodeSyncMarks(std::string_view file,
                                         std::size_t* slot = nullptr);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LOG_CODEC_H_
