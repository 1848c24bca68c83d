#ifndef APP_LOG_STORE_H_
#define APP_LOG_STORE_H_

// The replicated log on disk: one data folder with one log file and a sync
// mark.
//
//   posix_storage_files files("/var/lib/bilberrycourse");
//   log_store store(&files, {.group = "orders", .instance = "c1"},
//                   [&](log_store_event e) { asio::post(executor, ...); });
//   log_store::open_result result = store.Open();
//   store.Persist(std::move(effect));
//
// Persist() queues an effect. One worker thread writes everything that is
// queued, syncs it once and reports completion through the callback, which runs
// on the worker thread; then it writes the sync mark. After a failed write or
// sync the store reports the failure once and accepts no more effects: data of
// a failed sync may be lost even if a second sync succeeds.
//
// A new generation is written beside the log that it replaces, so the disk
// needs room for both; see log_room.h.
//
// A folder without any log file gets a new random member id. Open() returns
// kDataFolderForeign for a folder of another group or instance, and kLogDamaged
// for a damaged one. Nothing that a loss of power leaves is damage: it may lose
// or tear every write behind the last sync of its file, in all files at once,
// and again while Open() recovers from the first loss.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/consensus_types.h"
#include "bilberrycourse/log_codec.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

// File operations inside one folder. Tests replace it to inject faults. Every
// operation returns kOk, kDiskFull, kSyncFailed or kStorageIo.
class storage_files {
 public:
  virtual ~storage_files() = default;
  virtual result_code List(std::vector<std::string>* names) = 0;
  virtual result_code Read(const std::string& name, std::string* bytes) = 0;
  // Writes at `offset`, creating the file if needed.
  virtual result_code Write(const std::string& name, std::uint64_t offset,
                            std::string_view bytes) = 0;
  virtual result_code Truncate(const std::string& name,
                               std::uint64_t length) = 0;
  virtual result_code Sync(const std::string& name) = 0;
  virtual result_code Rename(const std::string& from,
                             const std::string& to) = 0;
  virtual result_code Remove(const std::string& name) = 0;
  virtual result_code SyncFolder() = 0;
  // Returns the bytes that the disk still takes, or nullopt if that is unknown.
  // Called on any thread.
  virtual std::optional<std::uint64_t> Room() { return std::nullopt; }
};

class posix_storage_files : public storage_files {
 public:
  // Creates the folder if it does not exist and locks it against a second
  // process; a failure is reported by the first operation.
  explicit posix_storage_files(std::string folder);
  ~posix_storage_files() override;
  posix_storage_files(const posix_storage_files&) = delete;
  posix_storage_files& operator=(const posix_storage_files&) = delete;

  result_code List(std::vector<std::string>* names) override;
  result_code Read(const std::string& name, std::string* bytes) override;
  result_code Write(const std::string& name, std::uint64_t offset,
                    std::string_view bytes) override;
  result_code Truncate(const std::string& name, std::uint64_t length) override;
  result_code Sync(const std::string& name) override;
  result_code Rename(const std::string& from, const std::string& to) override;
  result_code Remove(const std::string& name) override;
  result_code SyncFolder() override;
  std::optional<std::uint64_t> Room() override;

 private:
  struct open_file {
    std::string name;
    int descriptor = -1;
  };

  // Descriptor of the file, opened on first use; -1 on failure.
  int Descriptor(const std::string& name);
  void Close(const std::string& name);

  std::string folder_;
  int folder_descriptor_ = -1;
  result_code state_ = result_code::kOk;
  std::vector<open_file> open_;
};

// Creates the file operations of a data folder.
using storage_files_factory =
    std::function<std::unique_ptr<storage_files>(const std::string& folder)>;

// Returns the factory in use. It creates posix_storage_files unless a test
// program replaces it, which must happen before any folder is opened.
storage_files_factory& StorageFilesFactory();

// Returns the generation in the name of a log file, 0 for any other file.
std::uint64_t LogGeneration(std::string_view name);

struct log_store_settings {
  std::string group;
  instance_name instance;
  // Id of a newly created member; 0 draws a random one. Set by tests.
  std::uint64_t new_member_id = 0;
};

// Completion of all persist effects up to `position`, or the failure.
struct log_store_event {
  result_code code = result_code::kOk;
  std::uint64_t position = 0;
  std::string reason;
};

class log_store {
 public:
  using callback = std::function<void(log_store_event)>;

  struct open_result {
    result_code code = result_code::kOk;
    std::string reason;
    recovered_log log;
    // True if the folder had no log and a new member id was drawn.
    bool created = false;
    // True if an unsynced tail was dropped.
    bool torn_tail = false;
    // True if neither slot of the sync mark was readable.
    bool sync_mark_lost = false;
  };

  log_store(storage_files* files, log_store_settings settings,
            callback completed);
  ~log_store();
  log_store(const log_store&) = delete;
  log_store& operator=(const log_store&) = delete;

  // Recovers the folder and starts the worker. Must be called once; blocks on
  // disk operations.
  open_result Open();

  void Persist(persist_effect effect);

  // Runs `task` on the worker thread, between two writes, so that it may use
  // the files. It is dropped if the store fails or is destroyed before.
  void RunTask(std::function<void()> task);

  // Length of the log file in bytes.
  std::uint64_t log_bytes() const { return log_bytes_; }

  // Blocks until everything queued is synced or has failed.
  void Drain();

 private:
  void Run();
  result_code WriteBatch(std::vector<persist_effect>& batch,
                         std::string* reason);
  result_code StartGeneration(const recovered_log& contents,
                              std::string* reason);
  result_code WriteSyncMark(bool sync, std::string* reason);
  std::string LogName(std::uint64_t generation) const;

  storage_files* files_;
  log_store_settings settings_;
  callback on_completed_;
  member_identity identity_;
  std::uint64_t generation_ = 0;
  std::uint64_t length_ = 0;
  sync_mark mark_;
  // The slot that the next mark overwrites. The other slot is synced.
  std::size_t mark_slot_ = 0;
  // Marks written since the last sync of their file.
  int unsynced_marks_ = 0;
  // Copy of length_ for other threads.
  std::atomic<std::uint64_t> log_bytes_ = 0;

  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<persist_effect> queue_;
  std::vector<std::function<void()>> tasks_;
  bool busy_ = false;
  bool stopping_ = false;
  bool failed_ = false;
  std::thread worker_;
};

}  // namespace bilberrycourse

#endif  // APP_LOG_STORE_H_
