#include "bilberrycourse/log_room.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

// Bytes of log above which it is compacted before enough entries have been
// applied.
constexpr std::uint64_t kMaxLogBytes = 4 * 1024 * 1024;
// Headers, records of state and the blocks of the file system.
constexpr std::uint64_t kRoomMargin = 64 * 1024;
// While room is short, the log is compacted once it has grown by this part of
// the snapshot.
constexpr std::uint64_t kShortRoomGrowth = 8;

}  // namespace

void log_room::Reset(std::size_t snapshot_bytes) {
  snapshot_bytes_ = snapshot_bytes;
  written_ = 0;
}

void log_room::Queue(std::uint64_t position, std::size_t bytes) {
  queue_.push_back({position, bytes});
  queued_bytes_ += bytes;
}

void log_room::Written(std::uint64_t position) {
  while (!queue_.empty() && queue_.front().position <= position) {
    queued_bytes_ -= queue_.front().bytes;
    queue_.pop_front();
  }
}

void log_room::SetDisk(std::optional<std::uint64_t> room,
                       std::uint64_t log_bytes) {
  disk_ = room;
  written_ = log_bytes - std::min(log_bytes, snapshot_bytes_);
}

std::uint64_t log_room::Available() const {
  return *disk_ - std::min(*disk_, queued_bytes_);
}

std::uint64_t log_room::NextGenerationBytes() const {
  return snapshot_bytes_ + Growth() + kRoomMargin;
}

bool log_room::CompactionDue(bool entries_due) const {
  const std::uint64_t growth = Growth();
  if (growth >= snapshot_bytes_ && (entries_due || growth >= kMaxLogBytes)) {
    return true;
  }
  return disk_.has_value() && Available() < 2 * NextGenerationBytes() &&
         growth >= std::max(kRoomMargin, snapshot_bytes_ / kShortRoomGrowth);
}

bool log_room::CompactionFits(std::size_t snapshot_bytes) const {
  return !disk_.has_value() || Available() >= snapshot_bytes + kRoomMargin;
}

bool log_room::Fits(std::size_t bytes) const {
  return !disk_.has_value() || Available() >= NextGenerationBytes() + 2 * bytes;
}

}  // namespace bilberrycourse
