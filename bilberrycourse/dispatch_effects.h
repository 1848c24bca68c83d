#ifndef BILBERRYCOURSE_DISPATCH_EFFECTS_H_
#define BILBERRYCOURSE_DISPATCH_EFFECTS_H_

// What a shard_dispatcher asks its owner to do, in the order in which it must
// be done, and the reply to an attempt.
//
//   for (dispatch_effect& effect : effects) {
//     std::visit([&](auto& e) { adapter.Do(e); }, effect);
//   }

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/shard_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Why an attempt or a result was decided.
enum class dispatch_reason : std::uint8_t {
  // Attempts.
  kFirstAttempt,
  kHedge,
  kProbe,
  kRetryAfterShed,
  kRetryAfterFailure,
  kRetryAfterVersionGone,
  // Results without an attempt at the time of the decision.
  kQueueFull,
  kDeadlineInQueue,
  kNoReplica,
  kVersionNotServed,
  kSendingForbidden,
  kContentCondemned,
  // Results after an attempt; an answer is no decision.
  kDeadlineWhileRunning,
  kConnectionBroken,
  kShed,
  kFailed,
  kWrongVersion,
};

std::string_view ToString(dispatch_reason reason);

// What a searcher, or the adapter on its behalf, said about an attempt.
enum class attempt_reply_kind : std::uint8_t {
  // 200 with the version and body.
  kOk,
  // 503 with X-Not-Run: refused before running.
  kShed,
  // 410: the searcher no longer serves the version, nothing ran.
  kVersionGone,
  // Any other answer; the request may have run.
  kFailed,
  // The searcher confirmed a cancellation, and the slot is free.
  kCancelled,
};

struct attempt_reply {
  attempt_reply_kind kind = attempt_reply_kind::kOk;
  index_version version{};
  shared_body body;
};

// Connect, then call OnConnectionOpened or OnConnectionFailed with the id.
struct open_connection {
  connection_id connection{};
  backend_server_key server;
  std::string address;
};

// Close at once; no event is expected for this id afterwards.
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

// The first attempt of a canary request follows; tell its origin, whose wait
// for the canary starts now.
struct canary_started {
  instance_name origin;
  shard_request_id request{};
};

// Send POST /cancel on the connection reserved for it. The attempt keeps its
// slot until OnReply or OnConnectionClosed.
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

// Record the crash locally and share it with other instances.
struct report_crash {
  crash_report report;
};

// One replica that was considered in a decision.
struct dispatch_candidate {
  std::string replica;
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  duration recent_service_time{0};
  duration oldest_age{0};
  duration expected_completion{0};
  bool available = false;
};

// Inputs and reason of one decision, for one log line. Written only if
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
