#ifndef APP_CONTROL_SERVICE_H_
#define APP_CONTROL_SERVICE_H_

// The control role of an instance: runs one member of the replicated log with
// its folder on disk, applies committed commands to the control state, answers
// proposals, reads and polls, and replaces lost members.
//
//   control_service control(executor, settings, &transport);
//   control.Start(now);
//   control.Propose(EncodeCommand(command), [](const control_reply& r) {...});
//
// A folder that is damaged or foreign does not end the process: the member
// stays out of the group and reports the reason, while the entry role continues
// with the other members. With the routed interface no operator repairs a
// folder: after a failed write the folder is reopened until that succeeds, and
// a damaged or foreign folder is set aside, so that the instance rejoins as one
// that lost its disk. The files are kept until the group has taken the new
// member in as a voter (folder_set_aside.h).
//
// A full disk must not end in a log that can't be compacted any more. The log
// is compacted while there is room for that (log_room), and a leader whose disk
// is short of room refuses changes and gives up the lead, but keeps voting.

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "app/log_store.h"
#include "app/peer_transport.h"
#include "app/settings.h"
#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/log_room.h"
#include "bilberrycourse/member_repair.h"

namespace bilberrycourse {

struct control_reply {
  result_code code = result_code::kInternal;
  // An encoded control_outcome, or the JSON text of a read.
  std::string body;
  // The instance that leads the group, empty if unknown.
  instance_name leader;
};
using control_callback = std::function<void(const control_reply&)>;

// The reply to a poll of the control group.
struct control_poll_reply {
  // True if this instance has a quorum confirmation, which is `age` old.
  bool confirmed = false;
  duration age{0};
  std::uint64_t published_version = 0;
  // Encoded published_state, empty if the poller is up to date.
  std::string state;
  instance_name leader;
  // Routed interface: encoded route_news, empty if the poller is up to date,
  // and the members of the group.
  std::string routes;
  std::vector<log_member> group;
};

// The versions that the sender of a poll already has.
struct known_versions {
  std::uint64_t published_version = 0;
  bool routed = false;
  std::uint64_t route_version = 0;
  std::uint64_t searcher_revision = 0;
  // Version of the evacuated zones; unset for pollers of earlier builds, which
  // do not know evacuations.
  std::optional<std::uint64_t> evacuation_version;
  bool operator==(const known_versions&) const = default;
};

struct request_key {
  std::string caller;
  std::string idempotency_key;
};

// Reads the argument of the view `request`, a JSON array of caller and key.
// Returns nullopt for anything else, since peers send it.
std::optional<request_key> ParseRequestKey(const std::string& argument);

class control_service {
 public:
  control_service(boost::asio::any_io_executor executor, const settings& config,
                  peer_transport* transport);
  ~control_service();

  void Start(time_point now);
  // The seeds of the settings have changed. A member without a group looks for
  // one there as well.
  void OnSeedsChanged();
  void Tick(time_point now);
  void OnConsensusFrame(std::string_view bytes, time_point now);

  // Answers kNotLeader with a hint unless this member leads.
  void Propose(const std::string& command, control_callback callback);
  // Linearizable read of the views config, history, exceptions, requests,
  // request, group and zone_orders.
  void Read(const std::string& view, const std::string& argument,
            control_callback callback);
  // Returns what the poller lacks; `known` are the versions that it has.
  control_poll_reply AnswerPoll(const known_versions& known,
                                time_point now) const;
  // Returns the members of the group. While this member belongs to no group,
  // returns those that a member has reported to it.
  std::vector<log_member> Group() const;
  const control_state& state() const { return state_; }
  // Changes when state() begins anew from the data folder.
  std::uint64_t opening() const { return opening_; }

  bool leads() const;
  instance_name leader() const;
  // State of the member for status replies and logs.
  boost::json::object Describe(time_point now) const;

  // Length of the log and room left on its disk in bytes; the room is unknown
  // on some file systems.
  std::uint64_t log_bytes() const;
  std::optional<std::uint64_t> disk_room() const { return room_.disk(); }

  // Called when a link to another instance has opened.
  void OnPeerConnected(time_point now);
  // Hands leadership over; the member keeps following until the process ends.
  void TransferLeadership(time_point now);
  // Announces the shutdown, so that a spare takes the vote of this member.
  void Leave(time_point now);
  // True while a spare can take the vote of this leaving member, or has begun
  // to.
  bool HandoverPending(time_point now) const;
  // True if the group has removed this member.
  bool removed() const { return member_ != nullptr && member_->removed(); }
  // Blocks until everything written so far is synced or has failed.
  void Drain();

 private:
  struct pending_proposal {
    log_term term = 0;
    control_callback callback;
  };
  struct pending_read {
    std::string view;
    std::string argument;
    control_callback callback;
  };

  void Execute(consensus_effects effects);
  void ExecuteEffect(send_message_effect& effect);
  void ExecuteEffect(persist_effect& effect);
  void ExecuteEffect(apply_entry_effect& effect);
  void ExecuteEffect(restore_snapshot_effect& effect);
  void ExecuteEffect(read_ready_effect& effect);
  void ExecuteEffect(role_changed_effect& effect);
  void ExecuteEffect(stopped_effect& effect);
  void OnStoreEvent(std::uint64_t opening, const log_store_event& event);
  std::string RouteUpdate(const known_versions& known,
                          const std::optional<duration>& age) const;
  void Open(time_point now);
  void StartMember(recovered_log log, time_point now);
  void ScheduleReopen(result_code code, time_point now);
  void SetAside();
  void RemoveSetAsideIfVoter();
  void CompactIfDue();
  void Compact(time_point now);
  void OnWritten(std::uint64_t position);
  void CheckRoom();
  void RefuseForRoom(time_point now, const control_callback& callback);
  // Fails the proposals under way; they may be committed all the same.
  void FailProposals();
  void Repair(time_point now);
  std::string View(const std::string& view, const std::string& argument) const;
  std::string RequestView(const std::string& argument) const;
  void Stop(result_code code, const std::string& reason);

  boost::asio::any_io_executor executor_;
  const settings& config_;
  peer_transport* transport_;
  std::unique_ptr<storage_files> files_;
  std::unique_ptr<log_store> store_;
  std::unique_ptr<consensus_member> member_;
  control_state state_;
  std::unique_ptr<member_repair> repair_;
  time_point repair_due_{};
  std::map<log_index, pending_proposal> proposals_;
  std::map<std::uint64_t, pending_read> reads_;
  std::uint64_t next_read_ = 1;
  log_room room_;
  time_point room_check_due_{};
  // Earliest time of the next try after a compaction that had no room.
  time_point compaction_due_{};
  // Position of the write of the last compaction, 0 once it is done.
  std::uint64_t compaction_position_ = 0;
  // Size of its snapshot.
  std::size_t compacted_bytes_ = 0;
  time_point room_log_due_{};
  time_point room_transfer_due_{};
  mutable std::uint64_t published_cache_version_ = 0;
  // Everything that an instance without routes gets, and the versions in it.
  mutable std::string whole_update_;
  mutable known_versions whole_update_versions_;
  mutable std::string published_cache_;
  // Number of times the folder was opened. Completions that belong to an
  // earlier opening are dropped.
  std::uint64_t opening_ = 0;
  // When to reopen the folder after a failure; unset while it works.
  std::optional<time_point> reopen_at_;
  // True if the folder must be set aside before it is opened again.
  bool folder_unusable_ = false;
  // True while the folder keeps files that were set aside.
  bool has_set_aside_ = false;
  result_code stop_code_ = result_code::kOk;
  std::string stop_reason_;
  // Guards store completions that arrive after destruction.
  std::shared_ptr<control_service*> alive_;
};

}  // namespace bilberrycourse

#endif  // APP_CONTROL_SERVICE_H_
