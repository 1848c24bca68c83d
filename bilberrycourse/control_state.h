#ifndef BILBERRYCOURSE_CONTROL_STATE_H_
#define BILBERRYCOURSE_CONTROL_STATE_H_

// Deterministic state machine that applies the replicated log: configuration
// with history, shard sets of index versions, routes, searchers, evacuated
// zones, and the ledger of non-idempotent and kept requests. Members that apply
// the same entries hold the same state.
//
//   control_outcome outcome = state.Apply(index, leader_wall_ms, bytes);
//   std::string snapshot = state.SaveSnapshot();
//   if (!other.LoadSnapshot(snapshot)) RefuseToVote();
//
// Records expire by the leader's wall clock, made non-decreasing over the log.
// Records are never removed early to save memory: when a table is full, further
// entries are refused with kOverloaded.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bilberrycourse/config_document.h"
#include "bilberrycourse/control_command.h"
#include "bilberrycourse/evacuated_zones.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/searcher_directory.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Injected faults. Only tests set them, to verify that their checks detect
// them.
enum class control_fault : std::uint8_t {
  kNone,
  kAcceptStaleBase,
  kDropChangeIds,
  kDropChangeIdsInSnapshot,
  kAcceptReusedChangeId,
  kRevertVersionOnReload,
  kRunWhileRunning,
  kRunAfterFinish,
  kFinishByAnyRun,
  kAbandonByAnyRun,
  kIgnoreBodyHash,
  kExpireLedgerEarly,
  kAcceptExpiredKey,
  kDropAbandonedRuns,
  kAllowDecreasingClock,
  kShardSetLastWins,
  kAcceptOlderRoutes,
  kDropRoutesInSnapshot,
};

struct control_state_options {
  config_limits limits;
  wall_time_ms change_id_retention_ms = 7LL * 24 * 3600 * 1000;
  wall_time_ms request_retention_ms = 72LL * 3600 * 1000;
  // A request whose issue time is ahead of the leader's clock by more than this
  // is refused.
  wall_time_ms max_clock_skew_ms = 5LL * 60 * 1000;
  std::size_t max_history = 200;
  std::size_t max_change_ids = 65536;
  std::size_t max_requests = 200000;
  std::size_t max_answer_bytes = 64 * 1024;
  // Total over all requests; beyond it, answers are recorded without a body.
  std::size_t max_total_answer_bytes = 64 * 1024 * 1024;
  std::size_t max_versions_per_service = 8;
  std::size_t max_services = 4096;
  // Abandoned runs stored for each request; the oldest are removed first.
  std::size_t max_abandoned_runs = 16;
  control_fault fault = control_fault::kNone;
};

struct history_entry {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  std::string reason;
  wall_time_ms accepted_at_ms = 0;
  std::string document;
};

enum class request_phase : std::uint8_t {
  kRunning = 0,
  kFinished = 1,
  kAbandoned = 2,
};

struct request_record {
  request_phase phase = request_phase::kRunning;
  request_run run;
  std::string target;
  std::uint64_t body_hash = 0;
  // Copied from the request_begin of `run`.
  wall_time_ms issued_at_ms = 0;
  // Start of the retention period. No request_begin with this key that could
  // still be accepted has a later issue time.
  wall_time_ms retain_from_ms = 0;
  wall_time_ms begun_at_ms = 0;
  wall_time_ms ended_at_ms = 0;
  std::uint32_t deadline_ms = 0;
  bool idempotent = false;
  bool keep = false;
  result_code code = result_code::kOk;
  std::string answer;
  bool answer_omitted = false;
  // Runs whose delayed request_begin must be refused; newest last.
  std::vector<request_run> abandoned_runs;
};

class control_state {
 public:
  explicit control_state(const control_state_options& options = {});

  // Applies one committed entry. Entries at or below applied_index() are
  // ignored and return kInternal. Undecodable bytes return kMalformedRequest.
  control_outcome Apply(std::uint64_t index, wall_time_ms leader_wall_ms,
                        std::string_view command);
  // Same as above, for a decoded command.
  control_outcome Apply(std::uint64_t index, wall_time_ms leader_wall_ms,
                        const control_command& command);

  std::string SaveSnapshot() const;
  // Replaces the whole state. Returns false and leaves the state unchanged if
  // the bytes are damaged or older than the state.
  bool LoadSnapshot(std::string_view bytes);

  std::uint64_t applied_index() const { return applied_index_; }
  // Leader's clock at the newest applied entry; never decreases.
  wall_time_ms now_ms() const { return now_ms_; }
  // 0 before the first accepted change.
  std::uint64_t config_version() const { return config_version_; }
  // Increases with every change that is sent to entry instances: configuration
  // and shard sets.
  std::uint64_t published_version() const { return published_version_; }
  const config_document& document() const { return document_; }
  const std::deque<history_entry>& history() const { return history_; }
  // All recorded shard sets, ordered by service and version.
  std::vector<shard_set_record> ShardSets() const;
  const request_record* FindRequest(std::string_view caller,
                                    std::string_view key) const;
  std::size_t request_count() const { return requests_.size(); }

  // Serializes the part of the state that entry instances hold, for
  // control_news.state. LoadPublished() reads it.
  std::string SavePublished() const;

  // Configuration of the routed interface; version 0 before the first one is
  // applied.
  const route_document& routes() const { return routes_; }
  const searcher_directory& searchers() const { return searchers_; }
  const evacuation_list& evacuations() const { return evacuations_; }
  zone_order_state ZoneOrders(const availability_zone& zone) const;
  // Serializes what has changed since the given versions, for
  // LoadRouteUpdate(). Returns an empty string if nothing has changed.
  // Receivers of earlier builds know no version of the evacuated zones and get
  // none.
  std::string SaveRouteUpdate(
      std::uint64_t known_version, std::uint64_t known_revision,
      std::optional<std::uint64_t> known_evacuations = std::nullopt) const;

  // JSON views for read requests; docs/api.md describes the fields.
  std::string ConfigView() const;
  std::string HistoryView(std::size_t newest) const;
  std::string ExceptionsView(wall_time_ms wall_now) const;
  // ParseZoneOrdersView() reads it.
  std::string ZoneOrdersView(const availability_zone& zone) const;
  // Returns at most `limit` requests issued at or after `since`, oldest first.
  // The field `state` is answered, unanswered, unknown or running.
  std::string RequestsView(wall_time_ms since, wall_time_ms wall_now,
                           std::size_t limit = 10000) const;

 private:
  using request_key = std::pair<std::string, std::string>;

  struct change_record {
    std::uint64_t content_hash = 0;
    wall_time_ms recorded_at_ms = 0;
    control_outcome outcome;
  };

  // Common fields of the three commands that change the document.
  struct document_proposal;

  control_outcome ApplyCommand(const config_change& command);
  control_outcome ApplyCommand(const exception_add& command);
  control_outcome ApplyCommand(const exception_remove& command);
  control_outcome ApplyCommand(const shard_set_record& command);
  control_outcome ApplyCommand(const request_begin& command);
  control_outcome ApplyCommand(const request_finish& command);
  control_outcome ApplyCommand(const request_abandon& command);
  control_outcome ApplyCommand(const route_document& command);
  control_outcome ApplyCommand(const searcher_reports& command);
  control_outcome ApplyCommand(const zone_evacuation& command);

  control_outcome ApplyChange(const document_proposal& proposal);
  control_outcome DecideChange(const document_proposal& proposal);
  control_outcome AcceptChange(const document_proposal& proposal,
                               config_document document);
  control_outcome ConflictOutcome(const document_proposal& proposal) const;
  // Removes expired change ids and requests, at most a fixed number per call.
  void RemoveExpiredRecords();
  // Moves the start of the record's retention period to `at` if that is later.
  void ExtendRetention(const request_key& key, wall_time_ms at,
                       request_record* record);
  bool HasFault(control_fault fault) const { return options_.fault == fault; }

  control_state_options options_;
  std::uint64_t applied_index_ = 0;
  wall_time_ms now_ms_ = 0;
  std::uint64_t config_version_ = 0;
  std::uint64_t published_version_ = 0;
  config_document document_;
  std::deque<history_entry> history_;
  std::map<std::string, change_record, std::less<>> changes_;
  // Change ids ordered by the time of recording, for expiry.
  std::deque<std::pair<wall_time_ms, std::string>> change_order_;
  std::map<std::string, std::map<index_version, std::uint32_t>, std::less<>>
      shard_sets_;
  std::map<request_key, request_record> requests_;
  // Requests ordered by the start of their retention period, for expiry.
  std::set<std::pair<wall_time_ms, request_key>> request_order_;
  std::size_t answer_bytes_ = 0;
  route_document routes_;
  searcher_directory searchers_;
  evacuation_list evacuations_;
  zone_order_history zone_orders_;
};

// Returns nullopt if the text is not that of ZoneOrdersView(), as from a member
// of an earlier build.
std::optional<zone_order_state> ParseZoneOrdersView(std::string_view text);

// Incremental update of the routes and searchers of an entry instance.
struct route_update {
  // Version 0 if the receiver has the newest configuration.
  route_document routes;
  // `searchers` has the changes since this revision; 0 means the whole
  // directory.
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  std::vector<searcher_record> searchers;
  // Version 0 if the receiver has the newest list.
  evacuation_list evacuations;
};

// Returns nullopt if the bytes are damaged.
std::optional<route_update> LoadRouteUpdate(std::string_view bytes);

// The part of the control state that entry instances hold.
struct published_state {
  std::uint64_t config_version = 0;
  std::uint64_t published_version = 0;
  config_document document;
  std::vector<shard_set_record> shard_sets;
};

// Returns nullopt if the bytes are damaged or the document is not valid.
std::optional<published_state> LoadPublished(std::string_view bytes,
                                             const config_limits& limits = {});

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONTROL_STATE_H_
