#ifndef BILBERRYCOURSE_LOG_ROOM_H_
#define BILBERRYCOURSE_LOG_ROOM_H_

// Decides when the replicated log is compacted and when it may still grow, so
// that the disk always has room for the next generation, which is written
// beside the log.
//
//   log_room room;
//   room.Reset(snapshot_bytes);             // at each generation
//   room.Queue(position, bytes);            // for each write that is issued
//   room.Written(position);                 // once it is on the disk
//   room.SetDisk(storage.Room(), log_bytes);  // now and then
//   if (room.CompactionDue(entries_due)) ...
//   if (!room.Fits(command.size())) ...     // refuse the command
//
// Sizes are in bytes. A disk of unknown room takes everything.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace bilberrycourse {

class log_room {
 public:
  void Reset(std::size_t snapshot_bytes);
  void Queue(std::uint64_t position, std::size_t bytes);
  void Written(std::uint64_t position);
  // `log_bytes` is the length of the log file.
  void SetDisk(std::optional<std::uint64_t> room, std::uint64_t log_bytes);

  // `entries_due` is true once enough entries have been applied. A log snapshot
  // takes time in proportion to the state. Writing one only after as many bytes
  // of log bounds the cost per command, and a restart reads at most twice the
  // size of the state. If the room is short, less log is enough.
  bool CompactionDue(bool entries_due) const;
  // Returns whether the next generation can be written with a snapshot of this
  // size.
  bool CompactionFits(std::size_t snapshot_bytes) const;
  // Returns whether a command of this size leaves room for the next generation.
  bool Fits(std::size_t bytes) const;
  // Returns whether a compaction would free room.
  bool CompactionFrees() const { return Growth() > 0; }

  std::optional<std::uint64_t> disk() const { return disk_; }

 private:
  struct queued_write {
    std::uint64_t position = 0;
    std::uint64_t bytes = 0;
  };

  // Bytes of log since the snapshot, those that are still queued included.
  std::uint64_t Growth() const { return written_ + queued_bytes_; }
  // Room that is left once everything queued is written.
  std::uint64_t Available() const;
  // The next snapshot is as large as the last one and all commands since, at
  // the most: a command adds no more to the state than its own bytes.
  std::uint64_t NextGenerationBytes() const;

  std::uint64_t snapshot_bytes_ = 0;
  std::uint64_t written_ = 0;
  std::deque<queued_write> queue_;
  std::uint64_t queued_bytes_ = 0;
  std::optional<std::uint64_t> disk_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LOG_ROOM_H_
