#ifndef BILBERRYCOURSE_LOG_ROOM_H_
#define BILBERRYCOURSE_LOG_ROOM_H_

// Decides when the replicated log is compacted and when it may still grow, so
// that the disk always has room for the next generation, which is written
// beside the log.
//
//   log_room room;
//   room.Reset(snapshot_bytes);       // after each generation or opening
//   room.Add(command.size());         // for each applied entry
//   room.SetDisk(storage.Room());      // now and then
//   if (room.CompactionDue(entries_due)) ...
//   if (!room.Fits(command.size())) ...  // refuse the command
//
// Sizes are in bytes. A disk of unknown room takes everything.

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberrycourse {

class log_room {
 public:
  void Reset(std::size_t snapshot_bytes);
  void Add(std::size_t bytes) { log_bytes_ += bytes; }
  void SetDisk(std::optional<std::uint64_t> room) { disk_ = room; }

  // `entries_due` is true once enough entries have been applied. A log snapshot
  // takes time in proportion to the state. Writing one only after as many bytes
  // of log bounds the cost per command, and a restart reads at most twice the
  // size of the state.
  bool CompactionDue(bool entries_due) const;
  // Returns whether the next generation can be written with a snapshot of this
  // size.
  bool CompactionFits(std::size_t snapshot_bytes) const;
  // Returns whether a command of this size leaves room for the next generation.
  bool Fits(std::size_t bytes) const;

  std::optional<std::uint64_t> disk() const { return disk_; }

 private:
  // The next snapshot is as large as the last one and all commands since, at
  // the most: a command adds no more to the state than its own bytes.
  std::uint64_t NextGenerationBytes() const;

  std::uint64_t snapshot_bytes_ = 0;
  std::uint64_t log_bytes_ = 0;
  std::optional<std::uint64_t> disk_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LOG_ROOM_H_
