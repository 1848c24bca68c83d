#include "bilberrycourse/log_room.h"

#include <gtest/gtest.h>

#include <optional>

namespace bilberrycourse {
namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;

// A disk with a log whose snapshot is as large as its last command.
class log_room_test : public ::testing::Test {
 protected:
  void SetDisk(std::uint64_t capacity) {
    room_.SetDisk(capacity - snapshot_ - log_, snapshot_ + log_);
  }
  void Append(std::uint64_t bytes) {
    room_.Queue(++position_, bytes);
    room_.Written(position_);
    log_ += bytes;
  }
  void Compact(std::uint64_t snapshot) {
    snapshot_ = snapshot;
    log_ = 0;
    room_.Reset(snapshot);
  }

  log_room room_;
  std::uint64_t position_ = 0;
  std::uint64_t snapshot_ = 0;
  std::uint64_t log_ = 0;
};

// Guards against compactions that cost more than the commands they follow.
TEST_F(log_room_test, CompactionDue_LogShorterThanSnapshot_Waits) {
  Compact(100'000);
  room_.Queue(1, 99'999);
  EXPECT_FALSE(room_.CompactionDue(true));
  room_.Queue(2, 1);
  EXPECT_TRUE(room_.CompactionDue(true));
  EXPECT_FALSE(room_.CompactionDue(false));
}

// Guards against a log whose length is bounded by the number of its entries
// only.
TEST_F(log_room_test, CompactionDue_FewLargeEntries_IsDue) {
  Compact(500'000);
  room_.Queue(1, 4 * kMegabyte);
  EXPECT_TRUE(room_.CompactionDue(false));
}

// Guards against a log that fills its disk with records that are no commands,
// such as those of elections.
TEST_F(log_room_test, CompactionDue_OnlyRecordsOfState_IsDueInTime) {
  const std::uint64_t capacity = 2 * kMegabyte;
  Compact(500'000);
  bool due = false;
  for (int i = 0; i < 30'000 && !due; ++i) {
    Append(64);
    SetDisk(capacity);
    due = room_.CompactionDue(false);
  }
  EXPECT_TRUE(due);
  EXPECT_TRUE(room_.CompactionFits(snapshot_ + log_));
}

// Guards against a burst of commands that are all accepted before the first one
// is written.
TEST_F(log_room_test, Fits_QueuedCommands_Count) {
  Compact(500'000);
  SetDisk(4 * kMegabyte);
  std::uint64_t accepted = 0;
  while (room_.Fits(100'000) && accepted < 100) {
    room_.Queue(++accepted, 100'000);
  }
  EXPECT_GT(accepted, 5u);
  EXPECT_TRUE(room_.CompactionFits(500'000 + accepted * 100'000));
}

// Guards against a log that takes the room of its next generation, and against
// commands that are refused although a compaction would make room.
TEST_F(log_room_test, Fits_DisksOfAnySize_RefusedOnlyIfCompactionDoesNotHelp) {
  for (std::uint64_t capacity = 256 * 1024; capacity <= 128 * kMegabyte;
       capacity *= 2) {
    for (std::uint64_t command = 500; command <= 4 * kMegabyte; command *= 3) {
      room_ = log_room();
      Compact(0);
      int accepted = 0;
      for (int i = 0; i < 400; ++i) {
        SetDisk(capacity);
        ASSERT_TRUE(room_.CompactionFits(snapshot_ + log_))
            << capacity << " " << command;
        const bool fits = room_.Fits(command);
        if (fits) {
          Append(command);
          ++accepted;
        } else if (!room_.CompactionFrees()) {
          break;
        }
        if (!fits || room_.CompactionDue(i % 256 == 255)) Compact(command);
      }
      // Snapshot, log and next generation, and a command twice.
      if (capacity >= 6 * command + 256 * 1024) {
        EXPECT_GE(accepted, 199) << capacity << " " << command;
      }
    }
  }
}

// Guards against changes that are refused on a file system that does not tell
// its room.
TEST_F(log_room_test, Fits_RoomUnknown_Always) {
  room_.SetDisk(std::nullopt, kMegabyte);
  EXPECT_TRUE(room_.Fits(100 * kMegabyte));
  EXPECT_TRUE(room_.CompactionFits(100 * kMegabyte));
}

}  // namespace
}  // namespace bilberrycourse
