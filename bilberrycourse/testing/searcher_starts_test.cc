#include "bilberrycourse/searcher_starts.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class searcher_starts_test : public ::testing::Test {
 protected:
  static time_point At(int ms) { return time_point(milliseconds(ms)); }

  void Report(const std::string& id, wall_time_ms started_at_ms,
              searcher_state state = searcher_state::kServing) {
    searcher_report report;
    report.id = id;
    report.address = id;
    report.started_at_ms = started_at_ms;
    report.state = state;
    directory_.Apply(report, ++revision_);
  }

  searcher_directory directory_{{.max_gone = 1}};
  std::uint64_t revision_ = 0;
  searcher_starts starts_;
};

// Guards against naming a process that was not known yet, and against
// forgetting one that only changes its state.
TEST_F(searcher_starts_test, KnownBefore_ProcessRestarted_NamesNone) {
  Report("a", 100);
  starts_.Observe(directory_, At(10));
  Report("a", 100, searcher_state::kDraining);
  starts_.Observe(directory_, At(20));
  EXPECT_EQ(starts_.KnownBefore("a", At(10)), std::nullopt);
  EXPECT_EQ(starts_.KnownBefore("a", At(11)), 100);
  EXPECT_EQ(starts_.KnownBefore("b", At(11)), std::nullopt);
  Report("a", 200);
  starts_.Observe(directory_, At(30));
  EXPECT_EQ(starts_.KnownBefore("a", At(30)), std::nullopt);
  EXPECT_EQ(starts_.KnownBefore("a", At(31)), 200);
}

// Guards against memory that grows with the searchers of the past, and against
// entries of another directory.
TEST_F(searcher_starts_test, Observe_ManySearchersGone_KeepsFewEntries) {
  for (int i = 0; i < 5000; ++i) {
    const std::string id = "s" + std::to_string(i);
    Report(id, 1);
    Report(id, 1, searcher_state::kGone);
    starts_.Observe(directory_, At(i));
  }
  EXPECT_LE(starts_.size(), 1100u);
  starts_.Observe(searcher_directory(), At(9000));
  EXPECT_EQ(starts_.size(), 0u);
}

}  // namespace
}  // namespace bilberrycourse
