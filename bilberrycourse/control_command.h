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

// Adds one exception to the current document. The author and reason of the
// exception are those of the change.
struct exception_add {
  std::string change_id;
  // Current version required; nullopt: any.
  std::optional<std::uint64_t> base_version;
  config_exception exception;
};

struct exception_remove {
  std::string change_id;
  std::optional<std::uint64_t> base_version;
  std::string exception_id;
  std::string author;
  std::string reason;
};

// First record of (service, version) wins.
struct shard_set_record {
  std::string service;
  index_version version{};
  std::uint32_t shard_count = 0;
  bool operator==(const shard_set_record&) const = default;
};

// Identifies one run of one request: the instance that received it and an id
// that this instance never uses twice, also across restarts.
struct request_run {
  instance_name origin;
  std::uint64_t run_id = 0;
  bool operator==(const request_run&) const = default;
};

// Commits before the only attempt leaves.
struct request_begin {
  // Keys of different callers are independent.
  caller_name caller;
  std::string key;
  request_run run;
  std::string target;
  std::uint64_t body_hash = 0;
  wall_time_ms issued_at_ms = 0;
  // Time from begin within which the origin records an outcome.
  std::uint32_t deadline_ms = 0;
  bool idempotent = false;
  bool keep = false;
};

// Commits the outcome before it is answered.
struct request_finish {
  caller_name caller;
  std::string key;
  request_run run;
  // Outcome of the request; kOutcomeUnknown if it may or may not have run.
  result_code code = result_code::kOk;
  // Answer body; longer ones than the limit are recorded without body.
  std::string answer;
};

// States that no attempt of this run ran and none will; the request may run
// again under another run.
struct request_abandon {
  caller_name caller;
  std::string key;
  request_run run;
};

// Configuration of the routed interface. It is kept as the operator sent it;
// whoever proposes it has checked it. A version that is not higher than the
// newest one changes nothing and is accepted.
struct route_document {
  std::uint64_t version = 0;
  std::string document;
  bool operator==(const route_document&) const = default;
};

// Changes of searchers, in the order in which they were received.
struct searcher_reports {
  std::vector<searcher_report> reports;
};

using control_command =
    std::variant<config_change, exception_add, exception_remove,
                 shard_set_record, request_begin, request_finish,
                 request_abandon, route_document, searcher_reports>;

// What the origin of a request must do after request_begin.
enum class request_decision : std::uint8_t {
  // Not a request_begin, or refused: nothing may be sent.
  kRefuse = 0,
  // Send the only attempt.
  kRun = 1,
  // Another run has not finished: wait until the deadline, then `unknown`.
  kWait = 2,
  // Answer with recorded_code and recorded_answer.
  kRecorded = 3,
};

struct control_outcome {
  result_code code = result_code::kOk;
  // Changes: the accepted version; on kVersionConflict the current one.
  std::uint64_t version = 0;
  // JSON object, may be empty. kInvalidDocument: `errors` [{path, message}].
  // kVersionConflict: `winner` {version, change_id, author, reason,
  // accepted_at_ms}, and as lists of {path, before, after} `difference`
  // (current to refused document) and `changed_since_base` (base to current).
  // Other codes: `message`.
  std::string detail;
  request_decision decision = request_decision::kRefuse;
  result_code recorded_code = result_code::kOk;
  std::string recorded_answer;
  // True if the recorded answer exceeded the limit and was not kept.
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
