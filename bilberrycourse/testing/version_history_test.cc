#include "bilberrycourse/version_history.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class version_history_test : public ::testing::Test {
 protected:
  static time_point At(int ms) { return time_point(milliseconds(ms)); }

  version_history history_;
};

// Guards against a version that was not known yet at the time.
TEST_F(version_history_test, KnownBefore_AnyTime_IsNeverLaterVersion) {
  history_.Observe(3, At(10));
  history_.Observe(3, At(20));
  history_.Observe(7, At(30));
  const struct {
    int ms;
    std::uint64_t known;
  } cases[] = {{0, 0}, {10, 0}, {11, 3}, {30, 3}, {31, 7}, {9000, 7}};
  for (const auto& [ms, known] : cases) {
    EXPECT_EQ(history_.KnownBefore(At(ms)), known) << ms;
  }
}

// Guards against versions of another group that are taken for those of this
// one.
TEST_F(version_history_test, Observe_LowerVersion_ForgetsTheOthers) {
  history_.Observe(7, At(10));
  history_.Observe(2, At(20));
  EXPECT_EQ(history_.KnownBefore(At(15)), 0u);
  EXPECT_EQ(history_.KnownBefore(At(21)), 2u);
  history_.Clear();
  EXPECT_EQ(history_.KnownBefore(At(21)), 0u);
}

// Guards against memory that grows with the number of versions.
TEST_F(version_history_test, Observe_ManyVersions_KeepsTheNewest) {
  for (int i = 1; i <= 1000; ++i) {
    history_.Observe(static_cast<std::uint64_t>(i), At(i));
  }
  EXPECT_EQ(history_.KnownBefore(At(1001)), 1000u);
  EXPECT_EQ(history_.KnownBefore(At(901)), 900u);
  EXPECT_EQ(history_.KnownBefore(At(100)), 0u);
}

}  // namespace
}  // namespace bilberrycourse
