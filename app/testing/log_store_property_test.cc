#include <gtest/gtest.h>
// GoogleTest comes before RapidCheck's adapter.
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/log_store.h"

namespace bilberrycourse {
namespace {

// In-memory files that track written and synced data separately and fail one
// operation on request.
class memory_files : public storage_files {
 public:
  struct file {
    std::string data;
    std::string synced;
  };

  // Number of operations before the one that fails; negative for no failure.
  int fail_in = -1;
  result_code fail_with = result_code::kStorageIo;
  std::map<std::string, std::shared_ptr<file>> names;
  std::map<std::string, std::shared_ptr<file>> synced_names;

  // Simulates power loss: `choice` determines which unsynced data and names
  // survive.
  void Crash(std::uint64_t choice) {
    fail_in = -1;
    if (choice % 2 == 0) names = synced_names;
    choice /= 2;
    for (auto& [name, f] : names) {
      if (f->data.size() > f->synced.size() && f->data.starts_with(f->synced)) {
        const std::size_t added = f->data.size() - f->synced.size();
        f->data.resize(f->synced.size() + choice % (added + 1));
      } else if (choice % 2 == 0) {
        f->data = f->synced;
      }
      choice /= 3;
      f->synced = f->data;
    }
    synced_names = names;
  }

  result_code List(std::vector<std::string>* out) override {
    out->clear();
    for (const auto& [name, f] : names) out->push_back(name);
    return result_code::kOk;
  }
  result_code Read(const std::string& name, std::string* bytes) override {
    *bytes = names[name] ? names[name]->data : std::string();
    return result_code::kOk;
  }
  result_code Write(const std::string& name, std::uint64_t offset,
                    std::string_view bytes) override {
    auto& f = names[name];
    if (!f) f = std::make_shared<file>();
    const bool fails = Fails();
    if (fails) bytes = bytes.substr(0, bytes.size() / 2);  // A short write.
    if (f->data.size() < offset + bytes.size()) {
      f->data.resize(offset + bytes.size());
    }
    f->data.replace(offset, bytes.size(), bytes);
    return fails ? fail_with : result_code::kOk;
  }
  result_code Truncate(const std::string& name, std::uint64_t size) override {
    if (Fails()) return fail_with;
    names[name]->data.resize(size);
    return result_code::kOk;
  }
  result_code Sync(const std::string& name) override {
    if (Fails()) return result_code::kSyncFailed;
    names[name]->synced = names[name]->data;
    return result_code::kOk;
  }
  result_code Rename(const std::string& from, const std::string& to) override {
    if (Fails()) return fail_with;
    names[to] = names[from];
    names.erase(from);
    return result_code::kOk;
  }
  result_code Remove(const std::string& name) override {
    if (Fails()) return fail_with;
    names.erase(name);
    return result_code::kOk;
  }
  result_code SyncFolder() override {
    if (Fails()) return result_code::kSyncFailed;
    synced_names = names;
    return result_code::kOk;
  }

 private:
  bool Fails() { return fail_in >= 0 && fail_in-- == 0; }
};

std::string Describe(const recovered_log& log) {
  std::string text = std::to_string(log.state.term) + ":";
  if (log.snapshot) text += "s" + std::to_string(log.snapshot->index);
  for (const log_entry& entry : log.entries) {
    text += " " + std::to_string(entry.index) + "/" + *entry.payload;
  }
  return text;
}

// Applies one generated change to `log` and returns the effect. Each change is
// one record, so that a crash cannot preserve half of it.
persist_effect NextChange(int kind, std::uint64_t position,
                          recovered_log* log) {
  persist_effect effect;
  effect.position = position;
  const log_index base = log->snapshot ? log->snapshot->index : 0;
  switch (kind) {
    case 0:
      ++log->state.term;
      effect.state_changed = true;
      break;
    case 1:
      if (!log->entries.empty()) {
        effect.truncate_from = base + log->entries.size();
        log->entries.pop_back();
      }
      break;
    case 2:
      if (!log->entries.empty()) {
        log->snapshot =
            log_snapshot{base + 1,
                         log->entries[0].term,
                         {},
                         std::make_shared<const std::string>(40, 's')};
        log->entries.erase(log->entries.begin());
        effect.snapshot = log->snapshot;
        effect.entries = log->entries;
      }
      break;
    default:
      log->entries.push_back(
          {base + log->entries.size() + 1, log->state.term,
           entry_kind::kCommand,
           std::make_shared<const std::string>(std::to_string(position))});
      effect.entries = {log->entries.back()};
      break;
  }
  effect.state = log->state;
  return effect;
}

// Guards against a store that, after a failed operation or power loss, confirms
// data that is not stored, loses confirmed data or continues after a failure.
RC_GTEST_PROP(log_store_property_test, FaultThenCrash_KeepsConfirmedState, ()) {
  const auto kinds =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, 7));
  memory_files files;
  std::vector<log_store_event> events;
  std::vector<std::string> states;
  std::uint64_t confirmed = 0;
  int failures = 0;
  {
    log_store store(&files, {"group", "c1", 9},
                    [&](log_store_event e) { events.push_back(std::move(e)); });
    log_store::open_result o = store.Open();
    RC_ASSERT(o.code == result_code::kOk && o.created);
    states.push_back(Describe(o.log));
    const int fail_in = *rc::gen::inRange<int>(-1, 80);
    files.fail_with =
        *rc::gen::element(result_code::kDiskFull, result_code::kStorageIo);
    files.fail_in = fail_in;
    for (const int kind : kinds) {
      store.Persist(NextChange(kind, states.size(), &o.log));
      states.push_back(Describe(o.log));
      if (kind % 2 == 0) store.Drain();
    }
    store.Drain();
    for (const log_store_event& event : events) {
      RC_ASSERT(failures == 0);  // Nothing follows a failure.
      if (event.code == result_code::kOk) {
        confirmed = event.position;
      } else {
        RC_ASSERT(!event.reason.empty());
        ++failures;
      }
    }
    RC_ASSERT(failures == 1 || confirmed + 1 == states.size());
  }
  files.Crash(*rc::gen::arbitrary<std::uint64_t>());
  log_store store(&files, {"group", "c1", 10}, [](log_store_event) {});
  const log_store::open_result o = store.Open();
  RC_ASSERT(o.code == result_code::kOk);
  RC_ASSERT(!o.created && o.log.identity.id == member_id{9});
  bool state_found = false;
  for (std::size_t i = confirmed; i < states.size(); ++i) {
    state_found = state_found || states[i] == Describe(o.log);
  }
  RC_ASSERT(state_found);
}

// Guards against damage at rest that goes undetected: whichever byte of a file
// changes, Open() recovers the confirmed state or fails.
RC_GTEST_PROP(log_store_property_test, DamageAtRest_RefusedOrConfirmed, ()) {
  const auto kinds =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, 7));
  memory_files files;
  std::string last;
  {
    log_store store(&files, {"group", "c1", 9}, [](log_store_event) {});
    log_store::open_result o = store.Open();
    std::uint64_t position = 0;
    for (const int kind : kinds) {
      store.Persist(NextChange(kind, ++position, &o.log));
    }
    store.Drain();
    last = Describe(o.log);
  }
  auto damaged = files.names.begin();
  std::advance(damaged, *rc::gen::inRange<std::size_t>(0, files.names.size()));
  std::string& data = damaged->second->data;
  const std::size_t offset = *rc::gen::inRange<std::size_t>(0, data.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      data[offset] =
          static_cast<char>(data[offset] ^ *rc::gen::inRange(1, 256));
      break;
    case 1:
      data.resize(offset);
      break;
    default:
      files.names.erase(damaged);
      break;
  }
  log_store store(&files, {"group", "c1", 10}, [](log_store_event) {});
  const log_store::open_result o = store.Open();
  if (o.code == result_code::kOk) {
    RC_ASSERT(Describe(o.log) == last);
  } else {
    RC_ASSERT(o.code == result_code::kLogDamaged);
    RC_ASSERT(!o.reason.empty());
  }
}

// Guards against a folder that needs an operator because its creation was
// interrupted.
TEST(log_store_property_test, CreationInterruptedAnywhere_NextOpenSucceeds) {
  for (int operation = 0; operation < 8; ++operation) {
    for (std::uint64_t choice = 0; choice < 200; ++choice) {
      memory_files files;
      files.fail_in = operation;
      log_store(&files, {"group", "c1", 9}, {}).Open();
      files.Crash(choice);
      log_store store(&files, {"group", "c1", 10}, [](log_store_event) {});
      EXPECT_EQ(store.Open().code, result_code::kOk) << operation;
    }
  }
}

class log_store_files_test : public ::testing::Test {
 protected:
  log_store_files_test()
      : folder_(std::filesystem::temp_directory_path() /
                ("log_store_test_" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
  }
  ~log_store_files_test() override { std::filesystem::remove_all(folder_); }

  log_store::open_result Open(const std::string& group = "group",
                              int new_entries = 0) {
    posix_storage_files files(folder_.string());
    log_store store(&files, {group, "c1", 0}, [](log_store_event e) {
      EXPECT_EQ(e.code, result_code::kOk) << e.reason;
    });
    log_store::open_result o = store.Open();
    for (int i = 0; i < new_entries; ++i) {
      store.Persist(NextChange(6, i + 1, &o.log));
    }
    store.Drain();
    return o;
  }

  std::filesystem::path folder_;
};

// Guards against a store that works only with the in-memory files.
TEST_F(log_store_files_test, Reopen_ReturnsIdentityAndEntries) {
  const log_store::open_result first = Open("group", 5);
  EXPECT_TRUE(first.created);
  const log_store::open_result second = Open();
  EXPECT_EQ(second.code, result_code::kOk) << second.reason;
  EXPECT_FALSE(second.created);
  EXPECT_EQ(second.log.identity, first.log.identity);
  EXPECT_EQ(Describe(second.log), Describe(first.log));
}

// Guards against a wiped member that votes under its old id, and against the
// use of folders that are foreign, damaged or locked.
TEST_F(log_store_files_test, WipedForeignDamagedOrLocked_IsRecognized) {
  const member_id old = Open("group", 2).log.identity.id;
  EXPECT_EQ(Open("other").code, result_code::kDataFolderForeign);
  {
    posix_storage_files holder(folder_.string());
    EXPECT_EQ(Open().code, result_code::kStorageIo);
  }
  std::filesystem::resize_file(folder_ / "log-1", 90);
  EXPECT_EQ(Open().code, result_code::kLogDamaged);
  std::filesystem::remove(folder_ / "log-1");
  EXPECT_EQ(Open().code, result_code::kLogDamaged);
  std::filesystem::remove_all(folder_);
  const log_store::open_result wiped = Open();
  EXPECT_TRUE(wiped.created);
  EXPECT_NE(wiped.log.identity.id, old);
}

// Guards against a torn last write that prevents a member from starting.
TEST_F(log_store_files_test, UnsyncedTornTail_IsTruncated) {
  const log_store::open_result first = Open("group", 3);
  std::ofstream(folder_ / "log-1", std::ios::app | std::ios::binary)
      << std::string("\x20\0\0\0\x05\x01", 6);
  const log_store::open_result second = Open();
  EXPECT_EQ(second.code, result_code::kOk) << second.reason;
  EXPECT_TRUE(second.torn_tail);
  EXPECT_EQ(Describe(second.log), Describe(first.log));
}

}  // namespace
}  // namespace bilberrycourse
