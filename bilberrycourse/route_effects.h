#ifndef BILBERRYCOURSE_ROUTE_EFFECTS_H_
#define BILBERRYCOURSE_ROUTE_EFFECTS_H_

// Actions that a route_engine requests from its adapter, which executes them
// in order, and the searcher replies that the adapter passes to the engine.
//
//   for (route_effect& effect : effects) {
//     std::visit([&](auto& e) { adapter.ExecuteEffect(e); }, effect);
//   }

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/limit_protocol.h"
#include "bilberrycourse/placement/placement_decision.h"
#include "bilberrycourse/request_limit.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Identifies a request of a caller; unique within the entry instance.
enum class route_request_id : std::uint64_t {};

// A complete, well-formed reply of a searcher.
struct searcher_reply {
  unsigned status = 0;
  // The searcher states that it did not run the request.
  bool not_executed = false;
  // The address now belongs to another searcher, so the request did not run.
  bool misdirected = false;
  // The searcher is about to stop and wants no further requests.
  bool leaving = false;
  // The request limit of the searcher, if it states one.
  stated_limit limit;
  // The time for which the searcher wants no requests from this instance.
  std::optional<duration> rest;
  // Signature of the searcher, which callers verify; empty if absent.
  std::string stamp;
  // End-to-end headers, for forwarding.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};
using searcher_reply_pointer = std::shared_ptr<const searcher_reply>;

// Why a request was sent to a searcher.
enum class send_reason : std::uint8_t {
  kFirst = 0,
  // The earlier attempt exceeded the hedge delay.
  kHedge = 1,
  // The searcher refused before running.
  kNotExecuted = 2,
  // The earlier attempt failed.
  kFailed = 3,
};
std::string_view ToString(send_reason reason);

struct open_searcher_connection {
  connection_id connection{};
  std::string address;
};

struct close_searcher_connection {
  connection_id connection{};
};

// Sends the request on this idle connection.
struct send_to_searcher {
  connection_id connection{};
  route_request_id request{};
  std::string searcher;
  // Deadline of the attempt, as the time left when it is sent.
  duration remaining{0};
  send_reason reason = send_reason::kFirst;
  // For logs: the expected service time, and this instance's requests in flight
  // at the searcher before this one.
  duration expected{0};
  std::uint32_t in_flight = 0;
  placement_decision placement;
};

// A shard that the answer does not contain.
struct missing_part {
  std::string service;
  result_code code = result_code::kOk;
};

// The answer to a request. With code kOk, `reply` is forwarded unchanged, or,
// if `merged`, the records of all replies make up the answer. Any other code is
// a refusal or failure of the tier; if `reply` is set nevertheless, it is a
// failure of the searcher, to be forwarded unchanged.
struct finish_route_request {
  route_request_id request{};
  result_code code = result_code::kOk;
  bool merged = false;
  searcher_reply_pointer reply;
  std::vector<std::string> stamps;
  std::string body;
  std::vector<missing_part> missing;
  // For refusals: the time after which the caller may retry.
  duration retry_after{0};
  // Summary for logs and metrics.
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  // Searcher of the latest attempt; empty if nothing was sent.
  std::string last_searcher;
  duration elapsed{0};
};

// Sends some shards of the request to another entry instance, which searches
// them.
struct send_to_relay {
  route_request_id request{};
  // Position of the group in route_call::relays; OnRelayReport() takes it.
  std::size_t group = 0;
  instance_name relay;
  std::vector<std::string> shards;
  // Searchers that the relay may use for each shard.
  std::uint32_t max_attempts = 1;
  // Time until the relay's first report is due, and until it stops searching.
  duration answer_in{0};
  duration time_left{0};
  // True if `shards` is the one service of a route that is not over shards. The
  // report then holds the whole reply.
  bool single = false;
  // True if the relay is a fallback, not one of the plan.
  bool fallback = false;
};

// Notifies the relay that the origin needs no further results. If `caller_left`
// is set, the caller has disconnected or cancelled, and the relay also aborts
// its attempts in flight.
struct cancel_at_relay {
  route_request_id request{};
  std::size_t group = 0;
  instance_name relay;
  bool caller_left = false;
};

// The first report of the relay has not arrived in time.
struct relay_silent {
  instance_name relay;
};

// A report of the relay was not used. `problem` is a literal.
struct relay_report_refused {
  instance_name relay;
  std::string_view problem;
};

// A shard that a relay has not found.
struct failed_shard {
  // In the request to the relay.
  std::size_t position = 0;
  result_code code = result_code::kOk;
  // True if it is certain that no searcher ran the request.
  bool not_run = false;
};

// Shards that have answered or failed, by their position in the request.
struct shard_report {
  std::vector<std::size_t> answered;
  std::vector<std::string> stamps;
  // The greatest records of the answered shards.
  std::string body;
  std::vector<failed_shard> failed;
  // For a request to one service: the reply to forward, also if it is an error.
  searcher_reply_pointer reply;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  // True if this is the last report.
  bool final = false;
};

// Partial result of a request for which route_call::streamed() is true.
struct route_progress {
  route_request_id request{};
  shard_report report;
};

// The connection to a searcher broke while it ran an attempt.
struct attempt_lost {
  std::string searcher;
  std::string service;
  fingerprint content{};
};

// A searcher has replied with a status that HTTP does not have, to this
// instance or to the relay.
struct reply_status_invalid {
  std::string searcher;
  std::string service;
  // Empty if the searcher replied to this instance.
  instance_name relay;
};

// A searcher has crashed, or content that crashed one has succeeded since. The
// records are for all other entry instances.
struct crash_evidence_found {
  std::vector<crash_evidence_record> records;
};

// Requests with this content are refused from now on.
struct content_quarantined {
  fingerprint content{};
  duration time{0};
};

// The request limit of a searcher has appeared, changed or vanished.
struct searcher_limit_changed {
  std::string searcher;
  // Requests per second of the whole tier; empty if it is not limited.
  std::optional<double> per_second;
};

// Asks the limit_allocator for permissions, and reports limits. With id 0 no
// reply is needed.
struct send_limit_request {
  limit_request request;
};

// The searcher wants no requests from this instance for so long.
struct searcher_resting {
  std::string searcher;
  duration time{0};
};

// The searcher has said that it is about to stop.
struct searcher_leaving {
  std::string searcher;
};

// This instance has lost all searchers, or reaches one again.
struct isolation_changed {
  bool isolated = false;
};

// Other entry instances should be linked, because they may have to send
// requests on behalf of this one.
struct fallback_wanted {};

using route_effect =
    std::variant<attempt_lost, crash_evidence_found, content_quarantined,
                 isolation_changed, fallback_wanted, searcher_limit_changed,
                 searcher_resting, searcher_leaving, reply_status_invalid,
                 send_limit_request, open_searcher_connection,
                 close_searcher_connection, send_to_searcher,
                 finish_route_request, send_to_relay, cancel_at_relay,
                 relay_silent, relay_report_refused, route_progress>;
using route_effects = std::vector<route_effect>;

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_EFFECTS_H_
