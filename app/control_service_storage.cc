#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "app/control_service.h"
#include "app/daemon_clock.h"
#include "app/folder_set_aside.h"
#include "app/json_log.h"

// The folder of the control member: opening and reopening it, completions of
// its writes, compaction and the room on its disk.

namespace bilberrycourse {
namespace {

// Delay before a folder that failed is reopened.
constexpr duration kReopenDelay = std::chrono::milliseconds(500);
// Delay after a compaction for which the disk had no room.
constexpr duration kCompactionRetryDelay = std::chrono::seconds(1);
// Bytes of the header of one record in the log, at most.
constexpr std::size_t kRecordBytes = 64;
// A leader without room hands the lead over this often at most, as the disks of
// all members may be full.
constexpr duration kRoomTransferPeriod = std::chrono::seconds(5);
// Log lines about a lack of room are at least this far apart.
constexpr duration kRoomLogPeriod = std::chrono::seconds(1);

}  // namespace

void control_service::Open(time_point now) {
  member_.reset();
  store_.reset();
  state_ = control_state();
  whole_update_.clear();
  FailProposals();
  reads_.clear();
  room_ = log_room();
  compaction_position_ = 0;
  // Destroyed first, because it holds the lock of the folder.
  files_.reset();
  files_ = StorageFilesFactory()(config_.data_dir);
  if (folder_unusable_) SetAside();
  has_set_aside_ = !SetAsideFiles(files_.get()).empty();
  const auto completed = [executor = executor_, alive = alive_,
                          opening = ++opening_](const log_store_event& event) {
    boost::asio::post(executor, [alive, opening, event] {
      if (*alive != nullptr) (*alive)->OnStoreEvent(opening, event);
    });
  };
  store_ = std::make_unique<log_store>(
      files_.get(), log_store_settings{config_.group, config_.name, 0},
      completed);
  log_store::open_result opened = store_->Open();
  if (opened.code != result_code::kOk) {
    Stop(opened.code, opened.reason);
    return ScheduleReopen(opened.code, now);
  }
  if (opened.log.snapshot.has_value() &&
      opened.log.snapshot->state != nullptr &&
      !state_.LoadSnapshot(*opened.log.snapshot->state)) {
    return Stop(result_code::kLogDamaged, "the log snapshot does not decode");
  }
  room_.Reset(opened.log.snapshot.has_value() &&
                      opened.log.snapshot->state != nullptr
                  ? opened.log.snapshot->state->size()
                  : 0);
  CheckRoom();
  LogEvent(log_level::kInfo, "log_opened",
           {{"member", static_cast<std::uint64_t>(opened.log.identity.id)},
            {"created", opened.created},
            {"torn_tail", opened.torn_tail},
            {"sync_mark_lost", opened.sync_mark_lost},
            {"entries", opened.log.entries.size()},
            {"log_bytes", log_bytes()},
            {"disk_room", room_.disk().value_or(0)},
            {"snapshot_index",
             opened.log.snapshot ? opened.log.snapshot->index : 0}});
  StartMember(std::move(opened.log), now);
}

// Only the routed interface recovers a folder without an operator.
void control_service::ScheduleReopen(result_code code, time_point now) {
  if (config_.interface != serving_interface::kRoutes) return;
  reopen_at_ = now + kReopenDelay;
  folder_unusable_ = code == result_code::kDataFolderForeign ||
                     code == result_code::kLogDamaged;
}

// If this fails half-way, the folder is still recognized as unusable when it is
// opened.
void control_service::SetAside() {
  folder_unusable_ = false;
  const result_code code = SetFolderAside(files_.get());
  boost::json::array names;
  for (const std::string& name : SetAsideFiles(files_.get())) {
    names.emplace_back(name);
  }
  LogEvent(log_level::kWarning, "folder_set_aside",
           {{"code", bilberrycourse::Describe(code).number},
            {"kept_files", std::move(names)}});
}

void control_service::RemoveSetAsideIfVoter() {
  if (!has_set_aside_ || member_->membership_change_pending() ||
      !member_->membership().IsVoter(member_->identity().id)) {
    return;
  }
  has_set_aside_ = false;
  LogEvent(log_level::kInfo, "set_aside_removed", {});
  // A failure shows at the next opening, which finds the files again.
  store_->RunTask([files = files_.get()] { RemoveSetAside(files); });
}

void control_service::ExecuteEffect(persist_effect& effect) {
  if (effect.snapshot.has_value() && effect.snapshot->state != nullptr) {
    compaction_position_ = effect.position;
    compacted_bytes_ = effect.snapshot->state->size();
  }
  std::size_t bytes = kRecordBytes;
  for (const log_entry& entry : effect.entries) {
    bytes += kRecordBytes;
    if (entry.payload != nullptr) bytes += entry.payload->size();
  }
  room_.Queue(effect.position, bytes);
  store_->Persist(std::move(effect));
}

void control_service::OnStoreEvent(std::uint64_t opening,
                                   const log_store_event& event) {
  if (member_ == nullptr || opening != opening_) return;
  consensus_effects effects;
  if (event.code == result_code::kOk) {
    OnWritten(event.position);
    member_->OnPersisted(event.position, Now(), &effects);
  } else {
    member_->OnPersistFailed(event.code, event.reason, &effects);
  }
  Execute(std::move(effects));
}

void control_service::OnWritten(std::uint64_t position) {
  room_.Written(position);
  if (compaction_position_ > 0 && position >= compaction_position_) {
    compaction_position_ = 0;
    room_.Reset(compacted_bytes_);
  }
  CheckRoom();
}

void control_service::CompactIfDue() {
  if (member_ != nullptr && room_.CompactionDue(member_->compaction_due())) {
    Compact(Now());
  }
}

void control_service::Compact(time_point now) {
  if (member_ == nullptr || compaction_position_ > 0 || now < compaction_due_ ||
      member_->applied_index() <= member_->snapshot_index()) {
    return;
  }
  auto state = std::make_shared<const std::string>(state_.SaveSnapshot());
  CheckRoom();
  if (!room_.CompactionFits(state->size())) {
    compaction_due_ = now + kCompactionRetryDelay;
    LogEvent(log_level::kWarning, "compaction_postponed",
             {{"snapshot_bytes", state->size()},
              {"log_bytes", log_bytes()},
              {"disk_room", room_.disk().value_or(0)}});
    return;
  }
  consensus_effects effects;
  member_->Compact(member_->applied_index(), std::move(state), &effects);
  for (consensus_effect& effect : effects) {
    std::visit([this](auto& concrete) { ExecuteEffect(concrete); }, effect);
  }
}

void control_service::CheckRoom() {
  if (files_ == nullptr) return;
  const std::optional<std::uint64_t> room = files_->Room();
  if (room > room_.disk()) compaction_due_ = {};
  room_.SetDisk(room, log_bytes());
}

// Makes room if a compaction can, so that a repetition of the command fits.
// Otherwise the disk of another member may have room.
void control_service::RefuseForRoom(time_point now,
                                    const control_callback& callback) {
  if (now >= room_log_due_) {
    room_log_due_ = now + kRoomLogPeriod;
    LogEvent(log_level::kWarning, "command_refused",
             {{"code", bilberrycourse::Describe(result_code::kDiskFull).number},
              {"log_bytes", log_bytes()},
              {"disk_room", room_.disk().value_or(0)}});
  }
  callback({result_code::kDiskFull, "", ""});
  if (room_.CompactionFrees()) Compact(now);
  if (compaction_position_ > 0 || now < room_transfer_due_) return;
  room_transfer_due_ = now + kRoomTransferPeriod;
  TransferLeadership(now);
}

std::uint64_t control_service::log_bytes() const {
  return store_ == nullptr ? 0 : store_->log_bytes();
}

void control_service::Drain() {
  if (store_ != nullptr) store_->Drain();
}

}  // namespace bilberrycourse
