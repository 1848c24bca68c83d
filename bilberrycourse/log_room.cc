#include "bilberrycourse/log_room.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

// Bytes of log above which it is compacted before enough entries have been
// applied.
constexpr std::uint64_t kMaxLogBytes = 4 * 1024 * 1024;
// Headers, records of state, uncommitted entries and the blocks of the file
// system.
constexpr std::uint64_t kRoomMargin = 64 * 1024;

}  // namespace

void log_room::Reset(std::size_t snapshot_bytes) {
  snapshot_bytes_ = snapshot_bytes;
  log_bytes_ = 0;
}

std::uint64_t log_room::NextGenerationBytes() const {
  return snapshot_bytes_ + log_bytes_ + kRoomMargin;
}

bool log_room::CompactionDue(bool entries_due) const {
  if (log_bytes_ < snapshot_bytes_) {
    // While the log is shorter than the snapshot, compaction gains little, but
    // it must come before the room for it is gone.
    return log_bytes_ > kRoomMargin && disk_.has_value() &&
           *disk_ < NextGenerationBytes() + kRoomMargin;
  }
  const bool room_short =
      disk_.has_value() && *disk_ < 2 * NextGenerationBytes();
  return entries_due || log_bytes_ >= kMaxLogBytes ||
         (room_short && log_bytes_ > kRoomMargin);
}

bool log_room::CompactionFits(std::size_t snapshot_bytes) const {
  return !disk_.has_value() || *disk_ >= snapshot_bytes + kRoomMargin;
}

bool log_room::Fits(std::size_t bytes) const {
  return !disk_.has_value() || *disk_ >= NextGenerationBytes() + 2 * bytes;
}

}  // namespace bilberrycourse
