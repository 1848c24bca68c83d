#ifndef APP_TESTING_FAULTY_STORAGE_FILES_H_
#define APP_TESTING_FAULTY_STORAGE_FILES_H_

// A data folder whose operations fail at random or whose disk is full.
//
//   faulty_storage_files files(std::make_unique<posix_storage_files>(folder),
//                              {.sync_failure = 0.01, .seed = 7});
//
// A failed write leaves the first half of its bytes in the file, like a full
// disk. A failed sync keeps all bytes, but the caller must not rely on that. A
// write that would exceed the capacity leaves the bytes that fit.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "app/log_store.h"

namespace bilberrycourse {

struct storage_faults {
  // Probability that an operation fails.
  double sync_failure = 0;
  double write_failure = 0;
  // Upper bound of the added delay of a sync, which is uniformly distributed.
  std::chrono::milliseconds sync_delay{0};
  std::uint64_t seed = 0;
  // Bytes that the files of the folder may have in total; 0 is no limit.
  std::uint64_t capacity_bytes = 0;
  // While a file of this name exists, every write fails.
  std::string full_marker = {};
};

class faulty_storage_files : public storage_files {
 public:
  // `folder` is needed for a capacity only.
  faulty_storage_files(std::unique_ptr<storage_files> files,
                       const storage_faults& faults, std::string folder = {})
      : files_(std::move(files)),
        faults_(faults),
        random_(faults.seed),
        folder_(std::move(folder)) {}

  result_code List(std::vector<std::string>* names) override {
    return files_->List(names);
  }
  result_code Read(const std::string& name, std::string* bytes) override {
    return files_->Read(name, bytes);
  }
  result_code Write(const std::string& name, std::uint64_t offset,
                    std::string_view bytes) override {
    if (IsFull()) return result_code::kDiskFull;
    const std::string_view fitting =
        bytes.substr(0, BytesThatFit(name, offset, bytes.size()));
    if (fitting.size() < bytes.size()) {
      files_->Write(name, offset, fitting);
      return result_code::kDiskFull;
    }
    if (!ShouldFail(faults_.write_failure)) {
      return files_->Write(name, offset, bytes);
    }
    const result_code code =
        files_->Write(name, offset, bytes.substr(0, bytes.size() / 2));
    return code == result_code::kOk ? result_code::kDiskFull : code;
  }
  result_code Truncate(const std::string& name, std::uint64_t length) override {
    return files_->Truncate(name, length);
  }
  result_code Sync(const std::string& name) override {
    if (faults_.sync_delay.count() > 0) {
      std::uniform_int_distribution<std::int64_t> wait(
          0, faults_.sync_delay.count());
      std::this_thread::sleep_for(std::chrono::milliseconds(wait(random_)));
    }
    const result_code code = files_->Sync(name);
    if (code != result_code::kOk) return code;
    return ShouldFail(faults_.sync_failure) ? result_code::kSyncFailed : code;
  }
  result_code Rename(const std::string& from, const std::string& to) override {
    return files_->Rename(from, to);
  }
  result_code Remove(const std::string& name) override {
    return files_->Remove(name);
  }
  result_code SyncFolder() override { return files_->SyncFolder(); }

  std::optional<std::uint64_t> Room() override {
    if (IsFull()) return 0;
    if (faults_.capacity_bytes == 0) return files_->Room();
    return faults_.capacity_bytes -
           std::min(faults_.capacity_bytes, UsedBytes());
  }

 private:
  bool IsFull() const {
    return !faults_.full_marker.empty() &&
           std::filesystem::exists(faults_.full_marker);
  }
  std::uint64_t UsedBytes() const {
    std::uint64_t used = 0;
    std::error_code ignored;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder_, ignored)) {
      used += entry.file_size(ignored);
    }
    return used;
  }
  // Returns how many of `size` bytes at `offset` fit into the capacity.
  std::uint64_t BytesThatFit(const std::string& name, std::uint64_t offset,
                             std::uint64_t size) const {
    if (faults_.capacity_bytes == 0) return size;
    std::error_code missing;
    const std::uint64_t length = std::filesystem::file_size(
        std::filesystem::path(folder_) / name, missing);
    const std::uint64_t existing = missing ? 0 : length;
    const std::uint64_t used = UsedBytes();
    const std::uint64_t room =
        faults_.capacity_bytes - std::min(faults_.capacity_bytes, used);
    const std::uint64_t end = existing + room;
    return end <= offset ? 0 : std::min(size, end - offset);
  }
  bool ShouldFail(double share) {
    return std::bernoulli_distribution(share)(random_);
  }

  std::unique_ptr<storage_files> files_;
  storage_faults faults_;
  std::mt19937_64 random_;
  std::string folder_;
};

}  // namespace bilberrycourse

#endif  // APP_TESTING_FAULTY_STORAGE_FILES_H_
