#include "bilberrycourse/searcher_directory.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace bilberrycourse {
namespace {

class searcher_directory_test : public ::testing::Test {
 protected:
  static searcher_report Report(const std::string& id, searcher_state state,
                                wall_time_ms started, std::uint64_t sequence) {
    searcher_report report;
    report.id = id;
    report.service = "lots";
    report.address = "10.0.0.1:80";
    report.zone = "a";
    report.slots = 2;
    report.state = state;
    report.started_at_ms = started;
    report.sequence = sequence;
    return report;
  }

  searcher_state StateOf(const std::string& id) const {
    const searcher_record* record = directory_.Find(id);
    return record == nullptr ? searcher_state::kGone : record->report.state;
  }

  searcher_directory directory_;
};

// Guards against new requests to a draining searcher after an earlier report of
// it arrives late.
TEST_F(searcher_directory_test,
       Apply_LateServingReportAfterDrain_StaysDraining) {
  directory_.Apply(Report("i1", searcher_state::kServing, 100, 1), 1);
  directory_.Apply(Report("i1", searcher_state::kDraining, 100, 5), 2);
  EXPECT_FALSE(
      directory_.Apply(Report("i1", searcher_state::kServing, 100, 4), 3));
  EXPECT_FALSE(
      directory_.Apply(Report("i1", searcher_state::kServing, 100, 9), 4));
  EXPECT_EQ(StateOf("i1"), searcher_state::kDraining);
}

// Guards against ignoring a searcher that restarted with the same id, which
// resets its sequence.
TEST_F(searcher_directory_test, Apply_RestartUnderSameId_Serves) {
  directory_.Apply(Report("i1", searcher_state::kServing, 100, 50), 1);
  directory_.Apply(Report("i1", searcher_state::kGone, 0, 0), 2);
  EXPECT_TRUE(
      directory_.Apply(Report("i1", searcher_state::kServing, 200, 1), 3));
  EXPECT_EQ(StateOf("i1"), searcher_state::kServing);
}

// Guards against a delayed heartbeat of a crashed searcher that takes the
// address from its successor.
TEST_F(searcher_directory_test, Apply_OlderSearcherAtAddress_ChangesNothing) {
  directory_.Apply(Report("new", searcher_state::kServing, 200, 1), 1);
  EXPECT_FALSE(
      directory_.Apply(Report("old", searcher_state::kServing, 100, 9), 2));
  EXPECT_EQ(StateOf("new"), searcher_state::kServing);
}

// Guards against requests to the former owner of an address that now belongs to
// a searcher of another service.
TEST_F(searcher_directory_test, Apply_NewerSearcherAtAddress_MarksFormerGone) {
  directory_.Apply(Report("old", searcher_state::kServing, 100, 1), 1);
  directory_.Apply(Report("new", searcher_state::kServing, 200, 1), 2);
  EXPECT_EQ(StateOf("old"), searcher_state::kGone);
  EXPECT_EQ(directory_.ChangesSince(1).size(), 2u);
}

// Guards against log entries for reports without a change, which would fill the
// log.
TEST_F(searcher_directory_test, IsUpdate_RenewalWithHigherSequence_IsFalse) {
  directory_.Apply(Report("i1", searcher_state::kServing, 100, 1), 1);
  EXPECT_FALSE(
      directory_.IsUpdate(Report("i1", searcher_state::kServing, 100, 2)));
  EXPECT_TRUE(
      directory_.IsUpdate(Report("i1", searcher_state::kDraining, 100, 2)));
}

// Guards against a client that misses a removal because its record was pruned
// meanwhile.
TEST_F(searcher_directory_test, HasChangesSince_PrunedChange_IsFalse) {
  searcher_directory small({.max_gone = 2, .max_searchers = 100});
  std::uint64_t revision = 0;
  for (int i = 0; i < 5; ++i) {
    searcher_report report =
        Report("i" + std::to_string(i), searcher_state::kServing, 100, 1);
    report.address = "10.0.0." + std::to_string(i) + ":80";
    small.Apply(report, ++revision);
    report.state = searcher_state::kGone;
    small.Apply(report, ++revision);
  }
  EXPECT_FALSE(small.HasChangesSince(1));
  EXPECT_TRUE(small.HasChangesSince(0));
  EXPECT_TRUE(small.HasChangesSince(revision));
  EXPECT_TRUE(small.ChangesSince(0).empty());
}

// Guards against copies on entry instances that differ from the directory, for
// random reports, polls and snapshots.
TEST_F(searcher_directory_test, ChangesSince_AnyPolls_KeepCopyEqual) {
  std::mt19937 random(20261204);
  for (int run = 0; run < 200; ++run) {
    searcher_directory directory({.max_gone = 3, .max_searchers = 100});
    std::map<std::string, searcher_report> copy;
    std::uint64_t known = 0;
    for (std::uint64_t step = 1; step <= 120; ++step) {
      searcher_report report = Report("i" + std::to_string(random() % 8),
                                      static_cast<searcher_state>(random() % 3),
                                      1 + random() % 6, random() % 9);
      report.address = "10.0.0." + std::to_string(random() % 5) + ":80";
      directory.Apply(report, step);
      if (random() % 7 == 0) {
        searcher_directory restored({.max_gone = 3, .max_searchers = 100});
        restored.Restore(directory.Records(), directory.revision(),
                         directory.pruned_revision());
        directory = std::move(restored);
      }
      if (random() % 4 != 0) continue;
      if (!directory.HasChangesSince(known)) {
        known = 0;
        copy.clear();
      }
      for (const searcher_record& change : directory.ChangesSince(known)) {
        copy[change.report.id] = change.report;
      }
      known = directory.revision();
      std::set<std::string> addresses;
      for (const searcher_record& record : directory.Records()) {
        if (record.report.state == searcher_state::kGone) {
          const auto found = copy.find(record.report.id);
          ASSERT_TRUE(found == copy.end() ||
                      found->second.state == searcher_state::kGone);
          continue;
        }
        ASSERT_EQ(copy.at(record.report.id), record.report);
        ASSERT_TRUE(addresses.insert(record.report.address).second);
      }
    }
  }
}

}  // namespace
}  // namespace bilberrycourse
