#ifndef BILBERRYCOURSE_ROUTE_EFFECTS_H_
#define BILBERRYCOURSE_ROUTE_EFFECTS_H_

// What a route_engine asks its owner to do, in the order in which it must be
// done, and what it is told of searchers' replies.
//
//   for (route_effect& effect : effects) {
//     std::visit([&](auto& e) { adapter.Do(e); }, effect);
//   }

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// One request of a caller, unique within the entry instance.
enum class route_request_id : std::uint64_t {};

// A complete, well-formed reply of a searcher.
struct searcher_reply {
  unsigned status = 0;
  // The searcher states that it did not run the request.
  bool not_executed = false;
  // Another searcher has the address; implies that nothing ran.
  bool misdirected = false;
  // Signature of the searcher, which callers check; empty if there was none.
  std::string stamp;
  // End-to-end headers, for forwarding.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};
using searcher_reply_pointer = std::shared_ptr<const searcher_reply>;

// Why a request was sent to a searcher.
enum class send_reason : std::uint8_t {
  kFirst = 0,
  // The earlier attempt takes longer than usual.
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

// Send the request on this idle connection.
struct send_to_searcher {
  connection_id connection{};
  route_request_id request{};
  std::string searcher;
  // Time left for the searcher.
  duration remaining{0};
  send_reason reason = send_reason::kFirst;
  // Inputs of the choice: expected service time and the searcher's own
  // requests in flight here.
  duration expected{0};
  std::uint32_t in_flight = 0;
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
  // Refusals: when the caller may come back.
  duration retry_after{0};
  // Summary for logs and metrics.
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  // The searcher that got the latest attempt, empty if there was none.
  std::string last_searcher;
  duration elapsed{0};
};

// Let another entry instance search some shards of the request.
struct send_to_relay {
  route_request_id request{};
  // Names the group in the calls about its results.
  std::size_t group = 0;
  instance_name relay;
  std::vector<std::string> shards;
  // When the relay reports what it has, and until when it goes on.
  duration answer_in{0};
  duration time_left{0};
};

// The origin needs no further result of the relay. With `caller_left`, work in
// flight is to be broken off as well.
struct cancel_at_relay {
  route_request_id request{};
  std::size_t group = 0;
  instance_name relay;
  bool caller_left = false;
};

// The relay has not been heard of when its report was due.
struct relay_silent {
  instance_name relay;
};

// Shards that have been answered or have failed, by their position.
struct shard_report {
  std::vector<std::size_t> answered;
  std::vector<std::string> stamps;
  // The greatest records of the answered shards.
  std::string body;
  std::vector<std::pair<std::size_t, result_code>> failed;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  // Nothing follows.
  bool final = false;
};

// Part of the result of a request that was begun as `streamed`.
struct route_progress {
  route_request_id request{};
  shard_report report;
};

using route_effect =
    std::variant<open_searcher_connection, close_searcher_connection,
                 send_to_searcher, finish_route_request, send_to_relay,
                 cancel_at_relay, relay_silent, route_progress>;
using route_effects = std::vector<route_effect>;

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_EFFECTS_H_
