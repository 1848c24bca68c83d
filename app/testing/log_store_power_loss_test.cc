#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/folder_set_aside.h"
#include "app/log_store.h"
#include "app/testing/power_loss_files.h"

namespace bilberrycourse {
namespace {

// Folders that are tried for each time of a loss of power.
constexpr std::size_t kFolders = 200;
// Folders of a second loss of power, during the recovery from the first.
constexpr std::size_t kSecondFolders = 4;

std::string Describe(const recovered_log& log) {
  std::string text = std::to_string(log.state.term) + ":";
  if (log.snapshot) text += "s" + std::to_string(log.snapshot->index);
  for (const log_entry& entry : log.entries) {
    text += " " + std::to_string(entry.index) + "/" + *entry.payload;
  }
  return text;
}

// Runs one store and keeps every state of its log, record by record.
class log_store_power_loss_test : public ::testing::Test {
 protected:
  struct confirmation {
    std::size_t time = 0;
    // Index of the state that is confirmed.
    std::size_t state = 0;
  };

  log_store_power_loss_test() {
    store_ = std::make_unique<log_store>(
        &files_, log_store_settings{"group", "c1", 9},
        [this](log_store_event event) {
          EXPECT_EQ(event.code, result_code::kOk) << event.reason;
          confirmed_.push_back({files_.time(), states_.size() - 1});
        });
    log_ = store_->Open().log;
    states_.push_back(Describe(log_));
    confirmed_.push_back({files_.time(), 0});
  }

  void Persist(persist_effect effect) {
    effect.position = ++position_;
    effect.state = log_.state;
    store_->Persist(std::move(effect));
    store_->Drain();
  }

  // Appends entries in one write; a new term and the removal of the newest
  // entry go into the same write.
  void Append(std::size_t count, std::size_t bytes, bool new_term = false,
              bool truncates = false) {
    persist_effect effect;
    if (new_term) {
      ++log_.state.term;
      effect.state_changed = true;
      states_.push_back(Describe(log_));
    }
    if (truncates) {
      effect.truncate_from = log_.entries.back().index;
      log_.entries.pop_back();
      states_.push_back(Describe(log_));
    }
    for (std::size_t i = 0; i < count; ++i) {
      log_.entries.push_back(
          {Base() + log_.entries.size() + 1, log_.state.term,
           entry_kind::kCommand,
           std::make_shared<const std::string>(
               bytes, static_cast<char>('a' + (position_ + i) % 26))});
      effect.entries.push_back(log_.entries.back());
      states_.push_back(Describe(log_));
    }
    Persist(std::move(effect));
  }

  // Replaces all entries but the newest by a snapshot.
  void Compact() {
    const log_entry last = log_.entries.back();
    log_.snapshot = log_snapshot{last.index - 1,
                                 last.term,
                                 {},
                                 std::make_shared<const std::string>(70, 's')};
    log_.entries = {last};
    states_.push_back(Describe(log_));
    persist_effect effect;
    effect.snapshot = log_.snapshot;
    effect.entries = log_.entries;
    Persist(std::move(effect));
  }

  log_index Base() const { return log_.snapshot ? log_.snapshot->index : 0; }

  // Index of the newest state that was confirmed before `time`; nullopt while
  // the folder was being created.
  std::optional<std::size_t> ConfirmedAt(std::size_t time) const {
    std::optional<std::size_t> state;
    for (const confirmation& c : confirmed_) {
      if (c.time <= time) state = c.state;
    }
    return state;
  }

  // Opens a store on the folder and checks that it holds `text`, or any state
  // from `oldest` on.
  void ExpectRecovered(power_loss_files* left,
                       std::optional<std::size_t> oldest, std::string* text) {
    log_store store(left, {"group", "c1", 10}, [](log_store_event) {});
    const log_store::open_result opened = store.Open();
    ASSERT_EQ(opened.code, result_code::kOk) << opened.reason;
    *text = Describe(opened.log);
    if (!oldest.has_value()) return;
    ASSERT_EQ(opened.log.identity.id, member_id{9});
    bool found = false;
    for (std::size_t i = *oldest; i < states_.size(); ++i) {
      found = found || states_[i] == *text;
    }
    ASSERT_TRUE(found) << "confirmed: " << states_[*oldest]
                       << ", recovered: " << *text;
  }

  void TestSecondPowerLoss(const power_loss_files& first,
                           std::optional<std::size_t> oldest,
                           const std::string& recovered, std::uint64_t seed) {
    choice_sequence choices(0, seed);
    for (std::size_t i = 0; i < kSecondFolders; ++i) {
      const std::size_t time = choices.Choose(first.time() + 1);
      power_loss_files left(first.FolderAfterPowerLoss(time, &choices));
      std::string text;
      ASSERT_NO_FATAL_FAILURE(ExpectRecovered(&left, oldest, &text));
      // A member acts on what it has recovered.
      if (time == first.time()) {
        ASSERT_EQ(text, recovered);
      }
      choices.Next();
    }
  }

  void TestAllPowerLosses() {
    store_.reset();
    for (std::size_t time = 0; time <= files_.time(); ++time) {
      const std::optional<std::size_t> oldest = ConfirmedAt(time);
      choice_sequence choices(kFolders, time + 1);
      std::uint64_t folder = 0;
      do {
        SCOPED_TRACE("operation " + std::to_string(time) + ", folder " +
                     std::to_string(folder));
        power_loss_files left(files_.FolderAfterPowerLoss(time, &choices));
        std::string text;
        ASSERT_NO_FATAL_FAILURE(ExpectRecovered(&left, oldest, &text));
        ASSERT_NO_FATAL_FAILURE(
            TestSecondPowerLoss(left, oldest, text, ++folder));
      } while (choices.Next());
    }
  }

  power_loss_files files_;
  std::unique_ptr<log_store> store_;
  recovered_log log_;
  std::uint64_t position_ = 0;
  std::vector<std::string> states_;
  std::vector<confirmation> confirmed_;
};

// Guards against synced records that are given up because of what a loss of
// power leaves of unsynced writes, to any file of the folder and in any mix.
TEST_F(log_store_power_loss_test, AnyUnsyncedBlocksLeft_KeepsConfirmedState) {
  Append(1, 10, /*new_term=*/true);
  Append(1, 100);
  Append(3, 40);
  Append(2, 20, /*new_term=*/true, /*truncates=*/true);
  for (int i = 0; i < 6; ++i) Append(1, 30);
  TestAllPowerLosses();
}

// Guards against unsynced writes to both slots of the sync mark: a loss of
// power that tears both hides which records are known to be synced.
TEST_F(log_store_power_loss_test, AnyTimeAfterOpen_OneSyncMarkIsReadable) {
  const std::size_t opened = files_.time();
  for (int i = 0; i < 20; ++i) Append(1, 10);
  store_.reset();
  for (std::size_t time = opened; time <= files_.time(); ++time) {
    choice_sequence choices(kFolders, time);
    do {
      const auto folder = files_.FolderAfterPowerLoss(time, &choices);
      ASSERT_TRUE(DecodeSyncMarks(folder.at("sync-mark")).has_value())
          << "operation " << time;
    } while (choices.Next());
  }
}

// Guards against a new generation that is lost, or an old one that returns.
TEST_F(log_store_power_loss_test, AroundCompaction_KeepsConfirmedState) {
  Append(3, 30, /*new_term=*/true);
  Compact();
  Append(1, 30);
  Append(2, 30, /*new_term=*/true);
  Compact();
  Append(1, 60);
  TestAllPowerLosses();
}

// Guards against a damaged log that opens as a complete one because a loss of
// power interrupted the steps that set it aside, or that is gone after them.
TEST_F(log_store_power_loss_test, SettingAside_KeepsDamagedLogUnused) {
  Append(2, 30, /*new_term=*/true);
  Compact();
  Append(2, 30);
  store_.reset();
  choice_sequence all_written(1);
  auto folder = files_.FolderAfterPowerLoss(files_.time(), &all_written);
  // The removal of the first generation was not synced.
  ASSERT_TRUE(folder.contains("log-1") && folder.contains("log-2"));
  folder["log-2"][60] ^= 1;
  power_loss_files damaged(folder);
  ASSERT_EQ(SetFolderAside(&damaged), result_code::kOk);
  for (std::size_t time = 0; time <= damaged.time(); ++time) {
    choice_sequence choices(kFolders);
    do {
      power_loss_files left(damaged.FolderAfterPowerLoss(time, &choices));
      log_store store(&left, {"group", "c1", 10}, [](log_store_event) {});
      const log_store::open_result opened = store.Open();
      if (opened.code == result_code::kOk) {
        EXPECT_EQ(opened.log.identity.id, member_id{10});
      } else {
        EXPECT_EQ(opened.code, result_code::kLogDamaged);
        ASSERT_EQ(SetFolderAside(&left), result_code::kOk);
      }
      bool kept = false;
      for (const std::string& name : SetAsideFiles(&left)) {
        std::string bytes;
        left.Read(name, &bytes);
        kept = kept || bytes == folder["log-2"];
      }
      EXPECT_TRUE(kept) << "operation " << time;
    } while (choices.Next());
  }
}

// Guards against set-aside files that fill the disk.
TEST_F(log_store_power_loss_test, SettingAsideRepeatedly_KeepsTwoFolders) {
  store_.reset();
  for (const char* contents : {"first", "second", "third", "fourth"}) {
    files_.Write("log-1", 0, contents);
    ASSERT_EQ(SetFolderAside(&files_), result_code::kOk);
  }
  EXPECT_THAT(
      SetAsideFiles(&files_),
      ::testing::ElementsAre("set-aside-1-log-1", "set-aside-1-sync-mark",
                             "set-aside-2-log-1"));
  ASSERT_EQ(RemoveSetAside(&files_), result_code::kOk);
  std::vector<std::string> names;
  files_.List(&names);
  EXPECT_THAT(names, ::testing::IsEmpty());
}

}  // namespace
}  // namespace bilberrycourse
