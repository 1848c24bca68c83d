#include "bilberrycourse/entry_instance_log.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace bilberrycourse {
namespace {

class entry_instance_log_test : public ::testing::Test {
 protected:
  static entry_instance Entry(int number) {
    const std::string name = "e" + std::to_string(number);
    return {name, name + ":1", "z" + std::to_string(number % 6)};
  }
  static entry_list Entries(const std::set<int>& numbers) {
    entry_list entries;
    for (const int number : numbers) entries.push_back(Entry(number));
    return entries;
  }

  entry_instance_log log_;
};

// Guards against a list that is sent whole with each start and stop: a restart
// of all instances in turn, each polling after up to three changes.
TEST_F(entry_instance_log_test, ChangeSince_RollingRestart_SendsFewEntries) {
  constexpr int kInstances = 295;
  std::set<int> running;
  for (int i = 0; i < kInstances; ++i) running.insert(i);
  log_.Set(Entries(running));
  const entry_list_change first = log_.ChangeSince(0);
  EXPECT_EQ(first.added.size(), 295u);
  auto known = ApplyChange({}, first);
  std::size_t sent = 0;
  for (int i = 0; i < kInstances; ++i) {
    running.erase(i);
    if (i >= 3) running.insert(i - 3);
    log_.Set(Entries(running));
    if (i % 3 != 0) continue;
    const entry_list_change change = log_.ChangeSince(DigestOf(known.value()));
    sent += change.added.size() + change.removed.size();
    known = ApplyChange(*known, change);
    ASSERT_TRUE(known.has_value());
    EXPECT_EQ(known->size(), running.size());
  }
  EXPECT_LE(sent, 3u * kInstances);
}

// Guards against an instance that continues with a wrong list, for random
// changes, lost polls and lists that come back.
TEST_F(entry_instance_log_test, ApplyChange_RandomChanges_GivesCurrentList) {
  std::minstd_rand random(17);
  std::set<int> running;
  entry_list known;
  for (int step = 0; step < 2000; ++step) {
    const int number = static_cast<int>(random() % 12);
    if (!running.erase(number)) running.insert(number);
    log_.Set(Entries(running));
    if (random() % 4 != 0) continue;
    const std::uint64_t digest = random() % 20 == 0 ? 7 : DigestOf(known);
    const auto applied = ApplyChange(known, log_.ChangeSince(digest));
    ASSERT_TRUE(applied.has_value());
    known = *applied;
    ASSERT_EQ(DigestOf(known), log_.digest());
    ASSERT_EQ(known.size(), running.size());
  }
}

// Guards against an address that stays the old one after a restart elsewhere.
TEST_F(entry_instance_log_test, ChangeSince_NewAddress_ReplacesEntry) {
  log_.Set({Entry(1), Entry(2)});
  const auto known = ApplyChange({}, log_.ChangeSince(0));
  log_.Set({{"e1", "e1:9", "z1"}, Entry(2)});
  const entry_list_change change = log_.ChangeSince(DigestOf(known.value()));
  ASSERT_EQ(change.added.size(), 1u);
  EXPECT_TRUE(change.removed.empty());
  EXPECT_EQ(ApplyChange(*known, change)->front().address, "e1:9");
}

// Guards against a change that is applied to another list than its base.
TEST_F(entry_instance_log_test, ApplyChange_OtherBase_IsRefused) {
  log_.Set({Entry(1), Entry(2)});
  const std::uint64_t digest = log_.digest();
  log_.Set({Entry(1), Entry(2), Entry(3)});
  EXPECT_FALSE(ApplyChange({Entry(5)}, log_.ChangeSince(digest)).has_value());
}

}  // namespace
}  // namespace bilberrycourse
