#ifndef BILBERRYCOURSE_DISPATCH_EFFECTS_H_
#define BILBERRYCOURSE_DISPATCH_EFFECTS_H_

// Effects that a shard_dispatcher returns for its owner to carry out in order,
// and the reply to an attempt.
//
//   for (dispatch_effect& effect : effects) {
//     std::visit([&](auto& e) { adapter.ExecuteEffect(e); }, effect);
//   }

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/request_limit.h"
#include "bilberrycourse/shard_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Why an attempt was sent or a request was finished.
enum class dispatch_reason : std::uint8_t {
  // Attempts.
  kFirstAttempt,
  kHedge,
  kProbe,
  kRetryAfterShed,
  kRetryAfterFailure,
  kRetryAfterVersionGone,
  // Results of requests that had no attempt in flight.
  kQueueFull,
  kDeadlineInQueue,
  kNoReplica,
  kVersionNotServed,
  kSendingForbidden,
  kContentCondemned,
  kRequestLimit,
  // Results after an attempt. A successful answer is not recorded as a
  // decision.
  kDeadlineWhileRunning,
  kConnectionBroken,
  kShed,
  kFailed,
  kWrongVersion,
};

std::string_view ToString(dispatch_reason reason);

// Outcome of an attempt as reported by the searcher, or by the adapter on its
// behalf.
enum class attempt_reply_kind : std::uint8_t {
  // 200 with the version and body.
  kOk,
  // 503 with X-Not-Run: refused before running.
  kShed,
  // 410: the searcher no longer serves the version; nothing ran.
  kVersionGone,
  // Any other answer; the request may have run.
  kFailed,
  // The searcher confirmed a cancellation; the slot is free.
  kCancelled,
};

struct attempt_reply {
  attempt_reply_kind kind = attempt_reply_kind::kOk;
  index_version version{};
  shared_body body;
  // The request limit of the searcher, if it states one.
  stated_limit limit = {};
  // The time for which the searcher wants no further requests.
  std::optional<duration> rest = {};
};

// Open a connection, then call OnConnectionOpened or OnConnectionFailed with
// its id.
struct open_connection {
  connection_id connection{};
  backend_server_key server;
  std::string address;
};

// Close the connection immediately; no event for this id follows.
struct close_connection {
  connection_id connection{};
};

// Send POST /attempt on the connection; call OnReply once with the answer, or
// OnConnectionClosed when the connection breaks.
struct send_attempt {
  attempt_id attempt{};
  connection_id connection{};
  backend_server_key server;
  std::shared_ptr<const shard_request> request;
  // X-Deadline-Ms, already reduced by the network transit time.
  duration remaining{0};
};

// Notify the origin that the first attempt of a canary request is being sent;
// the origin's canary wait starts now.
struct canary_started {
  instance_name origin;
  shard_request_id request{};
};

// Send POST /cancel on the connection reserved for cancellations. The attempt
// holds its slot until OnReply or OnConnectionClosed.
struct cancel_attempt {
  attempt_id attempt{};
  connection_id connection{};
  backend_server_key server;
};

// Return the result to the origin of the request.
struct finish_request {
  instance_name origin;
  shard_result result;
};

// Record the crash locally and report it to the other instances.
struct report_crash {
  crash_report report;
};

// Load of one replica that was considered in a decision.
struct dispatch_candidate {
  std::string replica;
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  duration recent_service_time{0};
  duration oldest_age{0};
  duration expected_completion{0};
  bool available = false;
};

// Inputs and reason of one decision, for one log line. Emitted only if
// dispatch_options::record_decisions is set.
struct dispatch_decision {
  dispatch_reason reason{};
  instance_name origin;
  shard_request_id request{};
  shard_key shard;
  // Empty for a result without an attempt.
  std::string replica;
  attempt_id attempt{};
  result_code code = result_code::kOk;
  std::uint32_t queued = 0;
  duration queue_wait{0};
  std::vector<dispatch_candidate> candidates;
};

using dispatch_effect =
    std::variant<open_connection, close_connection, send_attempt,
                 canary_started, cancel_attempt, finish_request, report_crash,
                 dispatch_decision>;
using dispatch_effects = std::vector<dispatch_effect>;

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_DISPATCH_EFFECTS_H_
