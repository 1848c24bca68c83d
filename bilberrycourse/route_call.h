#ifndef BILBERRYCOURSE_ROUTE_CALL_H_
#define BILBERRYCOURSE_ROUTE_CALL_H_

// What a route_engine needs to know of a request when it begins.
//
//   route_call call;
//   call.id = route_request_id{7};
//   call.table = table;
//   call.matched_route = table->Match("shop.example", "/lots/7");
//   call.sent_at = now;
//   call.time_left = std::chrono::seconds(1);
//   engine.Begin(std::move(call), now, &effects);

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/route_effects.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct route_call {
  route_request_id id{};
  // The configuration that selected the route; kept until the request ends.
  std::shared_ptr<const route_table> table;
  const route* matched_route = nullptr;
  // What the request asks, regardless of who sends it and when; see
  // crash_evidence.h.
  fingerprint content{};
  // Time at which the caller sent the request, or its best estimate.
  time_point sent_at{};
  // Time until the caller's own deadline, counted from Begin().
  duration time_left{0};
  // Replaces the priority of the route.
  std::optional<std::uint32_t> priority;
  // No attempt starts at this time or later.
  std::optional<time_point> last_start;
  // Groups of shards that relays search; the origin searches the others.
  std::vector<relay_group> relays;
  // Set on a relay only: a route over the part of the shards that the origin
  // assigned to this relay; `matched_route` then points to it. Results are
  // reported by route_progress: at `answer_at` the shards done so far, then
  // each further one.
  std::shared_ptr<const route> relay_route;
  time_point answer_at{};
  bool streamed() const { return relay_route != nullptr; }

  // Ends the request by `end`, and lets no attempt start then or later.
  void EndBy(time_point end, time_point now) {
    last_start = end;
    time_left = std::min(time_left, end - now);
  }
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_CALL_H_
