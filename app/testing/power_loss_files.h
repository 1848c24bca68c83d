#ifndef APP_TESTING_POWER_LOSS_FILES_H_
#define APP_TESTING_POWER_LOSS_FILES_H_

// Files in memory that record each operation, and the contents that a folder
// may have after a loss of power.
//
//   power_loss_files files;
//   ... run a log_store on it ...
//   choice_sequence choices;
//   do {
//     power_loss_files left(files.FolderAfterPowerLoss(time, &choices));
//     ... open a log_store on `left` ...
//   } while (choices.Next());
//
// After a loss of power a file holds what its last sync covered; of each later
// write any mix of blocks is present, and each later truncation happened or
// not. A new name lasts once its file or the folder is synced; every other
// change of a name lasts independently of the others until the folder is
// synced.

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/log_store.h"

namespace bilberrycourse {

// Walks all sequences of choices like an odometer: the last choice changes
// first. If there are more than `limit`, as many random ones follow.
class choice_sequence {
 public:
  explicit choice_sequence(std::size_t limit, std::uint64_t seed = 1)
      : limit_(limit), random_(seed) {}

  // Returns a number below `count`.
  std::size_t Choose(std::size_t count) {
    if (position_ == choices_.size()) choices_.push_back({0, count});
    choices_[position_].count = count;
    if (limit_ == 0 || drawn_ > 0)
      choices_[position_].value = random_() % count;
    return choices_[position_++].value;
  }

  // Advances to the next sequence; returns false after the last one.
  bool Next() {
    position_ = 0;
    if (++walked_ >= limit_) {
      choices_.clear();
      return ++drawn_ < limit_;
    }
    while (!choices_.empty() &&
           choices_.back().value + 1 >= choices_.back().count) {
      choices_.pop_back();
    }
    if (choices_.empty()) return false;
    ++choices_.back().value;
    return true;
  }

 private:
  struct choice {
    std::size_t value = 0;
    std::size_t count = 1;
  };

  std::size_t limit_;
  std::mt19937_64 random_;
  std::size_t walked_ = 0;
  std::size_t drawn_ = 0;
  std::size_t position_ = 0;
  std::vector<choice> choices_;
};

class power_loss_files : public storage_files {
 public:
  using folder = std::map<std::string, std::string>;

  // Blocks are this many bytes, so that records span several of them.
  static constexpr std::size_t kBlockBytes = 32;

  explicit power_loss_files(folder contents = {})
      : initial_(contents), names_(std::move(contents)) {}

  // Number of operations so far; a time for FolderAfterPowerLoss().
  std::size_t time() const {
    const std::lock_guard lock(mutex_);
    return operations_.size();
  }

  folder FolderAfterPowerLoss(std::size_t time, choice_sequence* choices) const;

  result_code List(std::vector<std::string>* out) override {
    const std::lock_guard lock(mutex_);
    out->clear();
    for (const auto& [name, data] : names_) out->push_back(name);
    return result_code::kOk;
  }
  result_code Read(const std::string& name, std::string* bytes) override {
    const std::lock_guard lock(mutex_);
    *bytes = names_[name];
    return result_code::kOk;
  }
  result_code Write(const std::string& name, std::uint64_t offset,
                    std::string_view bytes) override {
    const std::lock_guard lock(mutex_);
    operations_.push_back(
        {operation_kind::kWrite, name, {}, offset, std::string(bytes)});
    ApplyWrite(offset, bytes, &names_[name]);
    return result_code::kOk;
  }
  result_code Truncate(const std::string& name, std::uint64_t length) override {
    const std::lock_guard lock(mutex_);
    operations_.push_back({operation_kind::kTruncate, name, {}, length, {}});
    names_[name].resize(length);
    return result_code::kOk;
  }
  result_code Sync(const std::string& name) override {
    const std::lock_guard lock(mutex_);
    operations_.push_back({operation_kind::kSync, name, {}, 0, {}});
    names_[name];
    return result_code::kOk;
  }
  result_code Rename(const std::string& from, const std::string& to) override {
    const std::lock_guard lock(mutex_);
    operations_.push_back({operation_kind::kRename, from, to, 0, {}});
    names_[to] = names_[from];
    names_.erase(from);
    return result_code::kOk;
  }
  result_code Remove(const std::string& name) override {
    const std::lock_guard lock(mutex_);
    operations_.push_back({operation_kind::kRemove, name, {}, 0, {}});
    names_.erase(name);
    return result_code::kOk;
  }
  result_code SyncFolder() override {
    const std::lock_guard lock(mutex_);
    operations_.push_back({operation_kind::kSyncFolder, {}, {}, 0, {}});
    return result_code::kOk;
  }

 private:
  enum class operation_kind : std::uint8_t {
    kWrite,
    kTruncate,
    kSync,
    kRename,
    kRemove,
    kSyncFolder,
  };
  struct operation {
    operation_kind kind = operation_kind::kWrite;
    std::string name;
    std::string new_name;
    // Offset of a write, or length after a truncation.
    std::uint64_t offset = 0;
    std::string bytes;
  };
  struct file {
    std::string synced;
    std::vector<operation> unsynced;
    std::string data;
  };
  using file_names = std::map<std::string, std::size_t>;

  static void ApplyWrite(std::uint64_t offset, std::string_view bytes,
                         std::string* data) {
    if (data->size() < offset + bytes.size()) {
      data->resize(offset + bytes.size());
    }
    data->replace(offset, bytes.size(), bytes);
  }

  static std::size_t SyncedIndex(const file_names& names,
                                 const std::string& name) {
    const auto found = names.find(name);
    return found == names.end() ? SIZE_MAX : found->second;
  }
  static std::string ContentsAfterPowerLoss(const file& lost,
                                            choice_sequence* choices);

  mutable std::mutex mutex_;
  folder initial_;
  folder names_;
  std::vector<operation> operations_;
};

inline std::string power_loss_files::ContentsAfterPowerLoss(
    const file& lost, choice_sequence* choices) {
  std::string data = lost.synced;
  for (const operation& o : lost.unsynced) {
    if (o.kind == operation_kind::kTruncate) {
      if (choices->Choose(2) == 1) data.resize(o.offset);
      continue;
    }
    for (std::size_t at = 0; at < o.bytes.size();) {
      const std::size_t end = std::min(
          (o.offset + at) / kBlockBytes * kBlockBytes + kBlockBytes - o.offset,
          o.bytes.size());
      // The block is missing, present, or torn in its middle.
      const std::size_t kept = choices->Choose(3) * (end - at + 1) / 2;
      const std::size_t length = std::min(kept, end - at);
      if (length > 0) {
        ApplyWrite(o.offset + at, std::string_view(o.bytes).substr(at, length),
                   &data);
      }
      at = end;
    }
  }
  return data;
}

inline power_loss_files::folder power_loss_files::FolderAfterPowerLoss(
    std::size_t time, choice_sequence* choices) const {
  const std::lock_guard lock(mutex_);
  std::vector<file> files;
  file_names names;
  for (const auto& [name, data] : initial_) {
    names[name] = files.size();
    files.push_back({data, {}, data});
  }
  file_names synced_names = names;
  std::vector<operation> unsynced_names;
  const auto find = [&](const std::string& name) -> file& {
    const auto [at, created] = names.try_emplace(name, files.size());
    if (created) files.emplace_back();
    return files[at->second];
  };
  for (std::size_t i = 0; i < time; ++i) {
    const operation& o = operations_[i];
    switch (o.kind) {
      case operation_kind::kWrite:
        find(o.name).unsynced.push_back(o);
        ApplyWrite(o.offset, o.bytes, &find(o.name).data);
        break;
      case operation_kind::kTruncate:
        find(o.name).unsynced.push_back(o);
        find(o.name).data.resize(o.offset);
        break;
      case operation_kind::kSync:
        find(o.name).synced = find(o.name).data;
        find(o.name).unsynced.clear();
        // A new file becomes durable with its own sync, also where it has
        // replaced a removed one.
        if (names.at(o.name) != SyncedIndex(synced_names, o.name)) {
          std::erase_if(unsynced_names, [&](const operation& earlier) {
            return earlier.name == o.name;
          });
          synced_names[o.name] = names.at(o.name);
        }
        break;
      case operation_kind::kRename:
        names[o.new_name] = names.at(o.name);
        names.erase(o.name);
        unsynced_names.push_back(o);
        break;
      case operation_kind::kRemove:
        names.erase(o.name);
        unsynced_names.push_back(o);
        break;
      case operation_kind::kSyncFolder:
        synced_names = names;
        unsynced_names.clear();
        break;
    }
  }
  for (const operation& o : unsynced_names) {
    if (!synced_names.contains(o.name) || choices->Choose(2) == 0) continue;
    if (o.kind == operation_kind::kRename) {
      synced_names[o.new_name] = synced_names.at(o.name);
    }
    synced_names.erase(o.name);
  }
  for (const auto& [name, index] : names) {
    // A new name that was never synced may be there as well.
    if (!synced_names.contains(name) && !files[index].unsynced.empty() &&
        choices->Choose(2) == 1) {
      synced_names[name] = index;
    }
  }
  folder result;
  for (const auto& [name, index] : synced_names) {
    result[name] = ContentsAfterPowerLoss(files[index], choices);
  }
  return result;
}

}  // namespace bilberrycourse

#endif  // APP_TESTING_POWER_LOSS_FILES_H_
