#include "app/log_store.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <utility>

namespace bilberrycourse {
namespace {

constexpr std::string_view kLogPrefix = "log-";
constexpr std::string_view kTemporarySuffix = ".tmp";
const char kSyncMarkName[] = "sync-mark";
// Marks in a row without a sync of their file. Bounds the part of the log in
// which damage that comes with a loss of power is taken for a torn write.
constexpr int kMaxUnsyncedMarks = 8;

result_code ResultCodeOfErrno(int error) {
  return error == ENOSPC || error == EDQUOT ? result_code::kDiskFull
                                            : result_code::kStorageIo;
}

std::uint64_t RandomId() {
  std::random_device device;
  std::uint64_t id = 0;
  while (id == 0) id = (std::uint64_t{device()} << 32) | device();
  return id;
}

}  // namespace

std::uint64_t LogGeneration(std::string_view name) {
  if (!name.starts_with(kLogPrefix)) return 0;
  name.remove_prefix(kLogPrefix.size());
  if (name.empty() || name.size() > 18) return 0;
  std::uint64_t generation = 0;
  for (const char c : name) {
    if (c < '0' || c > '9') return 0;
    generation = generation * 10 + static_cast<std::uint64_t>(c - '0');
  }
  return generation;
}

// ---- posix_storage_files ----

posix_storage_files::posix_storage_files(std::string folder)
    : folder_(std::move(folder)) {
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) {
    state_ = ResultCodeOfErrno(errno);
    return;
  }
  folder_descriptor_ =
      ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_descriptor_ < 0 ||
      ::flock(folder_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    state_ = result_code::kStorageIo;
  }
}

posix_storage_files::~posix_storage_files() {
  for (const open_file& file : open_) ::close(file.descriptor);
  if (folder_descriptor_ >= 0) ::close(folder_descriptor_);
}

result_code posix_storage_files::List(std::vector<std::string>* names) {
  if (state_ != result_code::kOk) return state_;
  DIR* folder = ::opendir(folder_.c_str());
  if (folder == nullptr) return ResultCodeOfErrno(errno);
  names->clear();
  while (const dirent* entry = ::readdir(folder)) {
    const std::string_view name = entry->d_name;
    if (name != "." && name != "..") names->emplace_back(name);
  }
  ::closedir(folder);
  std::sort(names->begin(), names->end());
  return result_code::kOk;
}

int posix_storage_files::Descriptor(const std::string& name) {
  for (const open_file& file : open_) {
    if (file.name == name) return file.descriptor;
  }
  const int descriptor = ::openat(folder_descriptor_, name.c_str(),
                                  O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (descriptor >= 0) open_.push_back({name, descriptor});
  return descriptor;
}

void posix_storage_files::Close(const std::string& name) {
  std::erase_if(open_, [&](const open_file& file) {
    if (file.name != name) return false;
    ::close(file.descriptor);
    return true;
  });
}

result_code posix_storage_files::Read(const std::string& name,
                                      std::string* bytes) {
  if (state_ != result_code::kOk) return state_;
  const int descriptor = Descriptor(name);
  if (descriptor < 0) return ResultCodeOfErrno(errno);
  bytes->clear();
  char block[64 * 1024];
  while (true) {
    const ssize_t count = ::pread(descriptor, block, sizeof(block),
                                  static_cast<off_t>(bytes->size()));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return ResultCodeOfErrno(errno);
    if (count == 0) return result_code::kOk;
    bytes->append(block, static_cast<std::size_t>(count));
  }
}

result_code posix_storage_files::Write(const std::string& name,
                                       std::uint64_t offset,
                                       std::string_view bytes) {
  if (state_ != result_code::kOk) return state_;
  const int descriptor = Descriptor(name);
  if (descriptor < 0) return ResultCodeOfErrno(errno);
  while (!bytes.empty()) {
    const ssize_t count = ::pwrite(descriptor, bytes.data(), bytes.size(),
                                   static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return ResultCodeOfErrno(errno);
    if (count == 0) return result_code::kStorageIo;
    bytes.remove_prefix(static_cast<std::size_t>(count));
    offset += static_cast<std::uint64_t>(count);
  }
  return result_code::kOk;
}

result_code posix_storage_files::Truncate(const std::string& name,
                                          std::uint64_t length) {
  const int descriptor = Descriptor(name);
  if (descriptor < 0 ||
      ::ftruncate(descriptor, static_cast<off_t>(length)) != 0) {
    return ResultCodeOfErrno(errno);
  }
  return result_code::kOk;
}

result_code posix_storage_files::Sync(const std::string& name) {
  const int descriptor = Descriptor(name);
  if (descriptor < 0) return ResultCodeOfErrno(errno);
  return ::fdatasync(descriptor) == 0 ? result_code::kOk
                                      : result_code::kSyncFailed;
}

result_code posix_storage_files::Rename(const std::string& from,
                                        const std::string& to) {
  Close(to);
  if (::renameat(folder_descriptor_, from.c_str(), folder_descriptor_,
                 to.c_str()) != 0) {
    return ResultCodeOfErrno(errno);
  }
  for (open_file& file : open_) {
    if (file.name == from) file.name = to;
  }
  return result_code::kOk;
}

result_code posix_storage_files::Remove(const std::string& name) {
  Close(name);
  if (::unlinkat(folder_descriptor_, name.c_str(), 0) != 0 && errno != ENOENT) {
    return ResultCodeOfErrno(errno);
  }
  return result_code::kOk;
}

result_code posix_storage_files::SyncFolder() {
  return ::fsync(folder_descriptor_) == 0 ? result_code::kOk
                                          : result_code::kSyncFailed;
}

std::optional<std::uint64_t> posix_storage_files::Room() {
  struct statvfs room {};
  if (folder_descriptor_ < 0 || ::fstatvfs(folder_descriptor_, &room) != 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(room.f_bavail) * room.f_frsize;
}

storage_files_factory& StorageFilesFactory() {
  static storage_files_factory factory = [](const std::string& folder) {
    return std::make_unique<posix_storage_files>(folder);
  };
  return factory;
}

// ---- log_store ----

log_store::log_store(storage_files* files, log_store_settings settings,
                     callback completed)
    : files_(files),
      settings_(std::move(settings)),
      on_completed_(std::move(completed)) {}

log_store::~log_store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_all();
  if (worker_.joinable()) worker_.join();
}

std::string log_store::LogName(std::uint64_t generation) const {
  return std::string(kLogPrefix) + std::to_string(generation);
}

result_code log_store::WriteSyncMark(bool sync, std::string* reason) {
  ++mark_.sequence;
  mark_.generation = generation_;
  mark_.length = length_;
  result_code code = files_->Write(kSyncMarkName, mark_slot_ * kSyncMarkBytes,
                                   EncodeSyncMark(mark_));
  if (code != result_code::kOk) {
    *reason = "cannot write the sync mark";
    return code;
  }
  if (++unsynced_marks_ < kMaxUnsyncedMarks && !sync) return code;
  code = files_->Sync(kSyncMarkName);
  if (code != result_code::kOk) {
    *reason = "cannot sync the sync mark";
    return code;
  }
  unsynced_marks_ = 0;
  mark_slot_ = 1 - mark_slot_;
  return code;
}

result_code log_store::StartGeneration(const recovered_log& contents,
                                       std::string* reason) {
  const std::uint64_t generation = generation_ + 1;
  const std::string name = LogName(generation);
  const std::string temporary = name + std::string(kTemporarySuffix);
  const std::string bytes = EncodeLogFile(generation, contents);
  *reason = "cannot write " + temporary;
  result_code code = files_->Write(temporary, 0, bytes);
  if (code != result_code::kOk) {
    // The part that was written would take the room that the log needs.
    files_->Remove(temporary);
    return code;
  }
  *reason = "cannot sync " + temporary;
  code = files_->Sync(temporary);
  if (code != result_code::kOk) return code;
  *reason = "cannot rename " + temporary;
  code = files_->Rename(temporary, name);
  if (code != result_code::kOk) return code;
  *reason = "cannot sync the data folder";
  code = files_->SyncFolder();
  if (code != result_code::kOk) return code;
  if (generation_ > 0) {
    *reason = "cannot remove " + LogName(generation_);
    code = files_->Remove(LogName(generation_));
    if (code != result_code::kOk) return code;
  }
  generation_ = generation;
  log_bytes_ = length_ = bytes.size();
  reason->clear();
  return result_code::kOk;
}

log_store::open_result log_store::Open() {
  open_result result;
  const auto failed = [&](result_code code, std::string reason) {
    result.code = code;
    result.reason = std::move(reason);
    result.log = {};
    return result;
  };

  std::vector<std::string> names;
  result_code code = files_->List(&names);
  if (code != result_code::kOk) {
    return failed(code,
                  "the data folder cannot be opened or is in use by another "
                  "process");
  }
  std::vector<std::uint64_t> generations;
  bool has_mark = false;
  for (const std::string& name : names) {
    // An unfinished generation takes the room that the steps below may need.
    if (name.ends_with(kTemporarySuffix)) files_->Remove(name);
    if (const std::uint64_t generation = LogGeneration(name)) {
      generations.push_back(generation);
    }
    has_mark = has_mark || name == kSyncMarkName;
  }
  std::sort(generations.begin(), generations.end());

  std::string reason;
  std::string mark_bytes;
  if (has_mark) {
    code = files_->Read(kSyncMarkName, &mark_bytes);
    if (code != result_code::kOk)
      return failed(code, "cannot read the sync mark");
  }
  if (generations.empty()) {
    if (has_mark) {
      return failed(result_code::kLogDamaged,
                    "the folder has a sync mark but no log file");
    }
    const std::uint64_t id =
        settings_.new_member_id != 0 ? settings_.new_member_id : RandomId();
    result.created = true;
    result.log.identity = {settings_.group, member_id{id}, settings_.instance};
    code = StartGeneration(result.log, &reason);
    if (code != result_code::kOk) return failed(code, reason);
  } else {
    generation_ = generations.back();
    std::string bytes;
    code = files_->Read(LogName(generation_), &bytes);
    if (code != result_code::kOk) return failed(code, "cannot read the log");
    std::size_t newest_slot = 0;
    const std::optional<sync_mark> mark =
        DecodeSyncMarks(mark_bytes, &newest_slot);
    if (mark && mark->generation > generation_) {
      return failed(result_code::kLogDamaged,
                    LogName(mark->generation) + " is missing");
    }
    log_recovery recovered =
        RecoverLog(bytes, generation_,
                   mark && mark->generation == generation_ ? mark->length : 0);
    if (recovered.code != result_code::kOk) {
      return failed(recovered.code, recovered.reason);
    }
    if (recovered.log.identity.group != settings_.group ||
        recovered.log.identity.instance != settings_.instance) {
      return failed(result_code::kDataFolderForeign,
                    "the folder belongs to instance " +
                        recovered.log.identity.instance + " of group " +
                        recovered.log.identity.group);
    }
    result.sync_mark_lost = !mark.has_value();
    if (mark) {
      mark_ = *mark;
      mark_slot_ = 1 - newest_slot;
      // A killed process may have left the newest mark unsynced.
      code = files_->Sync(kSyncMarkName);
      if (code != result_code::kOk) {
        return failed(code, "cannot sync the sync mark");
      }
    }
    result.log = std::move(recovered.log);
    result.torn_tail = recovered.torn_tail;
    log_bytes_ = length_ = recovered.valid_length;
    if (length_ < bytes.size()) {
      code = files_->Truncate(LogName(generation_), length_);
      if (code != result_code::kOk)
        return failed(code, "cannot truncate the log");
    }
    // A killed process may have left complete records that were not synced.
    code = files_->Sync(LogName(generation_));
    if (code != result_code::kOk) return failed(code, "cannot sync the log");
  }
  code = WriteSyncMark(/*sync=*/true, &reason);
  if (code != result_code::kOk) return failed(code, reason);
  code = files_->SyncFolder();
  if (code != result_code::kOk) {
    return failed(code, "cannot sync the data folder");
  }
  for (const std::string& name : names) {
    const std::uint64_t generation = LogGeneration(name);
    if (generation != 0 && generation != generation_) files_->Remove(name);
  }
  identity_ = result.log.identity;
  worker_ = std::thread([this] { Run(); });
  return result;
}

void log_store::Persist(persist_effect effect) {
  {
    const std::lock_guard lock(mutex_);
    if (failed_) return;
    queue_.push_back(std::move(effect));
  }
  queue_changed_.notify_all();
}

void log_store::RunTask(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    if (failed_) return;
    tasks_.push_back(std::move(task));
  }
  queue_changed_.notify_all();
}

void log_store::Drain() {
  std::unique_lock lock(mutex_);
  queue_changed_.wait(lock,
                      [&] { return failed_ || (queue_.empty() && !busy_); });
}

result_code log_store::WriteBatch(std::vector<persist_effect>& batch,
                                  std::string* reason) {
  std::string bytes;
  for (persist_effect& effect : batch) {
    if (effect.snapshot) {
      // The effect holds the whole log, so the effects before it in the batch
      // need not be written.
      bytes.clear();
      const recovered_log contents{identity_, effect.state,
                                   std::move(effect.snapshot),
                                   std::move(effect.entries)};
      const result_code code = StartGeneration(contents, reason);
      if (code != result_code::kOk) return code;
    } else {
      bytes += EncodeChanges(generation_, length_ + bytes.size(), effect);
    }
  }
  if (!bytes.empty()) {
    const std::string name = LogName(generation_);
    *reason = "cannot write " + name;
    result_code code = files_->Write(name, length_, bytes);
    if (code != result_code::kOk) return code;
    *reason = "cannot sync " + name;
    code = files_->Sync(name);
    if (code != result_code::kOk) return code;
    log_bytes_ = length_ += bytes.size();
  }
  reason->clear();
  return result_code::kOk;
}

void log_store::Run() {
  std::vector<persist_effect> batch;
  std::unique_lock lock(mutex_);
  while (true) {
    queue_changed_.wait(
        lock, [&] { return stopping_ || !queue_.empty() || !tasks_.empty(); });
    // Effects that are queued at shutdown are still written.
    if (queue_.empty()) {
      if (stopping_) return;
      const auto tasks = std::exchange(tasks_, {});
      lock.unlock();
      for (const auto& task : tasks) task();
      lock.lock();
      continue;
    }
    batch.assign(std::make_move_iterator(queue_.begin()),
                 std::make_move_iterator(queue_.end()));
    queue_.clear();
    busy_ = true;
    lock.unlock();
    log_store_event event{result_code::kOk, batch.back().position, {}};
    event.code = WriteBatch(batch, &event.reason);
    on_completed_(event);
    if (event.code == result_code::kOk) {
      event.code = WriteSyncMark(/*sync=*/false, &event.reason);
      if (event.code != result_code::kOk) on_completed_(event);
    }
    const bool failed = event.code != result_code::kOk;
    lock.lock();
    busy_ = false;
    failed_ = failed;
    if (failed) queue_.clear();
    queue_changed_.notify_all();
    if (failed) return;
  }
}

}  // namespace bilberrycourse
