#ifndef BILBERRYCOURSE_CONTROL_COMMAND_H_
#define BILBERRYCOURSE_CONTROL_COMMAND_H_

// Commands of the control state machine, their outcomes, and both as bytes
// (FlatBuffers, fbs/control_state.fbs).
//
//   std::string bytes = EncodeCommand(shard_set_record{"glaze-01",
//                                                      index_version{7}, 4});
//   std::optional<control_command> command = DecodeCommand(bytes);

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/config_document.h"
#include "bilberrycourse/evacuated_zones.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/searcher_directory.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Replaces the whole document. Accepted only while `base_version` is the
// current version.
struct config_change {
  std::string change_id;
  std::uint64_t base_version = 0;
  std::string author;
  std::string reason;
  std::string document;
};

// Adds one exception to the current document. The author and the reason of the
// exception are also recorded for the change.
struct exception_add {
  std::string change_id;
  // If set, the change is accepted only while this is the current version.
  std::optional<std::uint64_t> base_version;
  config_exception exception;
};

// Removes one exception from the current document.
struct exception_remove {
  std::string change_id;
  // As in exception_add.
  std::optional<std::uint64_t> base_version;
  std::string exception_id;
  std::string author;
  std::string reason;
};

// Records the shard count of an index version. The first record of a (service,
// version) pair is final; a later one with another count is refused.
struct shard_set_record {
  std::string service;
  index_version version{};
  std::uint32_t shard_count = 0;
  bool operator==(const shard_set_record&) const = default;
};

// Identifies one run of one request: the instance that received the request and
// an id that this instance never reuses, not even after a restart.
struct request_run {
  instance_name origin;
  std::uint64_t run_id = 0;
  bool operator==(const request_run&) const = default;
};

// Starts a run. Must be committed before the only attempt is sent.
struct request_begin {
  // Keys of different callers are independent.
  caller_name caller;
  std::string key;
  request_run run;
  std::string target;
  std::uint64_t body_hash = 0;
  wall_time_ms issued_at_ms = 0;
  // Time from begin within which the origin records an outcome, in ms.
  std::uint32_t deadline_ms = 0;
  bool idempotent = false;
  bool keep = false;
};

// Records the outcome of a run. Must be committed before the caller is
// answered.
struct request_finish {
  caller_name caller;
  std::string key;
  request_run run;
  // Outcome of the request; kOutcomeUnknown if it may or may not have run.
  result_code code = result_code::kOk;
  // Answer body; a body beyond the size limit is not recorded.
  std::string answer;
};

// States that no attempt of this run was executed and none will be. The request
// may be executed by another run.
struct request_abandon {
  caller_name caller;
  std::string key;
  request_run run;
};

// Configuration of the routed interface, stored as the operator sent it. The
// proposer must have validated it. A version that is not higher than the newest
// one is accepted without effect.
struct route_document {
  std::uint64_t version = 0;
  std::string document;
  bool operator==(const route_document&) const = default;
};

// Reports about searchers, in the order of receipt.
struct searcher_reports {
  std::vector<searcher_report> reports;
};

using control_command =
    std::variant<config_change, exception_add, exception_remove,
                 shard_set_record, request_begin, request_finish,
                 request_abandon, route_document, searcher_reports,
                 zone_evacuation>;

// What the origin of a request must do after request_begin.
enum class request_decision : std::uint8_t {
  // Not a request_begin, or refused: nothing may be sent.
  kRefuse = 0,
  // Send the only attempt.
  kRun = 1,
  // Another run has not finished: wait until the deadline, then answer
  // `unknown`.
  kWait = 2,
  // Answer with recorded_code and recorded_answer.
  kRecorded = 3,
};

struct control_outcome {
  result_code code = result_code::kOk;
  // For changes the accepted version, on kVersionConflict the current version;
  // for zone_evacuation, those of the evacuation_list.
  std::uint64_t version = 0;
  // JSON object or empty. kInvalidDocument: `errors` [{path, message}].
  // kVersionConflict: `winner` {version, change_id, author, reason,
  // accepted_at_ms}, and as lists of {path, before, after} `difference`
  // (current to refused document) and `changed_since_base` (base to current).
  // Other codes: `message`.
  std::string detail;
  request_decision decision = request_decision::kRefuse;
  result_code recorded_code = result_code::kOk;
  std::string recorded_answer;
  // True if the answer exceeded the size limit and was not recorded.
  bool answer_omitted = false;
  bool operator==(const control_outcome&) const = default;
};

std::string EncodeCommand(const control_command& command);
// Returns nullopt for bytes that are not a complete valid command.
std::optional<control_command> DecodeCommand(std::string_view bytes);

std::string EncodeOutcome(const control_outcome& outcome);
std::optional<control_outcome> DecodeOutcome(std::string_view bytes);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONTROL_COMMAND_H_
