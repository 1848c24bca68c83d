#include "bilberrycourse/log_room.h"

#include <gtest/gtest.h>

#include <optional>

namespace bilberrycourse {
namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;

class log_room_test : public ::testing::Test {
 protected:
  log_room room_;
};

// Guards against compactions that cost more than the commands they follow.
TEST_F(log_room_test, CompactionDue_LogShorterThanSnapshot_Waits) {
  room_.Reset(100'000);
  room_.Add(99'999);
  EXPECT_FALSE(room_.CompactionDue(true));
  room_.Add(1);
  EXPECT_TRUE(room_.CompactionDue(true));
  EXPECT_FALSE(room_.CompactionDue(false));
}

// Guards against a log whose length is bounded by the number of its entries
// only.
TEST_F(log_room_test, CompactionDue_FewLargeEntries_IsDue) {
  room_.Reset(500'000);
  room_.Add(4 * kMegabyte);
  EXPECT_TRUE(room_.CompactionDue(false));
}

// Guards against a log that takes the room of its next generation: as long as
// commands are taken and compaction is done when due, compaction fits.
TEST_F(log_room_test, CompactionFits_WheneverCommandsFit_OnDisksOfAnySize) {
  for (std::uint64_t capacity = 256 * 1024; capacity <= 128 * kMegabyte;
       capacity *= 2) {
    for (std::uint64_t command = 500; command <= 4 * kMegabyte; command *= 3) {
      log_room room;
      std::uint64_t snapshot = 0;
      std::uint64_t log = 0;
      for (int i = 0; i < 400; ++i) {
        room.SetDisk(capacity - snapshot - log);
        if (!room.Fits(command)) break;
        log += command;
        room.Add(command);
        room.SetDisk(capacity - snapshot - log);
        // The state has grown by every command.
        const std::uint64_t next = snapshot + log;
        ASSERT_TRUE(room.CompactionFits(next)) << capacity << " " << command;
        if (!room.CompactionDue(i % 256 == 255)) continue;
        // The state is again as small as one command.
        snapshot = command;
        log = 0;
        room.Reset(snapshot);
      }
    }
  }
}

// Guards against changes that are refused on a file system that does not tell
// its room.
TEST_F(log_room_test, Fits_RoomUnknown_Always) {
  room_.SetDisk(std::nullopt);
  EXPECT_TRUE(room_.Fits(100 * kMegabyte));
  EXPECT_TRUE(room_.CompactionFits(100 * kMegabyte));
}

}  // namespace
}  // namespace bilberrycourse
