#ifndef BILBERRYCOURSE_ADMISSION_CONTROLLER_H_
#define BILBERRYCOURSE_ADMISSION_CONTROLLER_H_

// The admission instance of one or more scopes: bounds the queries that run at
// the same time over all origins and shares the capacity among callers.
//
//   admission_controller controller(admission_controller_options{});
//   controller.SetFloor("catalogue", smallest_shard_slots);
//   std::vector<admission_reply> out;
//   controller.OnRequest("instance-1", request, now, &out);
//   controller.OnRelease("instance-1", release, now, &out);
//   controller.Tick(now, &out);  // at least at next_due()
//
// Fairness: each caller has one queue per scope. A deficit round robin over the
// callers grants `weight` queries per turn, so a caller that sends more than
// its share only waits behind its own requests. A request whose expected wait
// is too long is refused at once; any other request that is not granted is
// refused at the end of its max_wait. A caller whose running queries are below
// its share of the limit is granted at once, even if others use the whole
// limit; the total stays below twice the limit.
//
// Limit: additive increase while the queueing delay reported by releases is
// below the target and the limit is reached; multiplicative decrease while the
// delay is above the target; never below the floor. docs/decisions/admission.md
// gives the reasons for the constants.
//
// Cost: O(1) on average per event, plus O(log waiting) for the expiry queue.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/admission_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct admission_controller_options {
  // False in the fallback controller of admission_client, which sets the limit
  // explicitly.
  bool adaptive = true;
  // Each origin's equal share must absorb bursts while the admission instance
  // does not respond: at 8 origins and 35% load, a limit of 16 refuses up
  // to 1.2% of the queries, 24 refuses none.
  std::uint32_t initial_limit = 24;
  std::uint32_t max_limit = 1u << 20;
  // Target for the queueing delay at the shards, above which the limit
  // decreases: `target_delay_factor` x recent service time, at most
  // `max_delay_share` of the time from grant to deadline and at least
  // `min_target_delay`. Queueing delay and service time are maxima over the
  // shards of a query. A factor of 1 leaves slots idle while a query waits for
  // its slowest shard. A factor of 3 uses at least 96% of the slots up to a
  // service-time sigma of 1.0; 2.5 uses only 94%.
  duration min_target_delay = std::chrono::milliseconds(5);
  double target_delay_factor = 3.0;
  double max_delay_share = 0.25;
  // A decrease multiplies the limit by 1 - decrease_gain x (relative excess of
  // the delay over the target), but by no less than `min_decrease_factor`.
  double decrease_gain = 0.2;
  double min_decrease_factor = 0.8;
  // Increase after a window in which the limit was reached and the delay was at
  // most the target: the larger of `increase_step` and `increase_share` x
  // limit.
  double increase_step = 1.0;
  double increase_share = 0.05;
  // Minimum length of a measuring window. A window is also at least as long as
  // the time from grant to release, because a change of the limit affects the
  // measured delay only after that time; shorter windows make the limit
  // oscillate.
  duration measuring_window = std::chrono::milliseconds(20);
  // A request is refused at once if its expected wait exceeds this share of its
  // max_wait. At 1.0, more than 5% of the refusals come only after the full
  // max_wait, because waits vary around the expected value.
  double expected_wait_share = 0.25;
  // Memory bounds.
  std::size_t max_scopes = 4096;
  std::size_t max_waiting_per_scope = 65536;
  std::size_t max_running_per_scope = 1u << 20;
  std::size_t max_callers_per_scope = 16384;
  // A grant whose release was lost expires this long after its deadline.
  duration grant_grace = std::chrono::milliseconds(500);
};

// A decision and the origin to send it to.
struct admission_reply {
  instance_name origin;
  admission_decision decision;
};

struct admission_scope_status {
  std::uint32_t limit = 0;
  std::uint32_t floor = 0;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t callers = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  // Grants that expired without a release.
  std::uint64_t expired = 0;
  duration recent_queue_wait{0};
  duration recent_service_time{0};
};

class admission_controller {
 public:
  using effects = std::vector<admission_reply>;

  explicit admission_controller(admission_controller_options options = {});
  admission_controller(const admission_controller&) = delete;
  admission_controller& operator=(const admission_controller&) = delete;
  ~admission_controller();

  // Sets the minimum limit of a scope: the slots of its smallest shard.
  void SetFloor(const std::string& scope, std::uint32_t floor);
  // Sets the limit of a scope when `adaptive` is off; 0 is allowed then.
  void SetLimit(const std::string& scope, std::uint32_t limit, time_point now,
                effects* out);

  void OnRequest(const instance_name& origin, const admission_request& request,
                 time_point now, effects* out);
  void OnRelease(const instance_name& origin, const admission_release& release,
                 time_point now, effects* out);
  // Erases every grant and request of an origin whose link broke.
  void OnOriginDisconnected(const instance_name& origin, time_point now,
                            effects* out);
  // Refuses expired requests and erases expired grants.
  void Tick(time_point now, effects* out);
  // Returns the time at which Tick must be called next, if any.
  std::optional<time_point> next_due() const;

  std::optional<admission_scope_status> Status(const std::string& scope) const;

 private:
  struct scope_entry;
  struct caller_entry;
  struct ticket;
  struct ticket_key {
    std::uint32_t origin = 0;
    query_id query{};
    bool operator==(const ticket_key&) const = default;
  };
  struct ticket_key_hash {
    std::size_t operator()(const ticket_key& key) const;
  };

  scope_entry* FindScope(const std::string& name);
  scope_entry* FindOrCreateScope(const std::string& name);
  std::uint32_t OriginNumber(const instance_name& origin);
  // Grants waiting requests while fewer queries run than the limit.
  void Grant(scope_entry* scope, time_point now, effects* out);
  // Grants requests of a caller while it runs fewer queries than its share.
  void GrantBelowShare(scope_entry* scope, caller_entry* caller, time_point now,
                       effects* out);
  void GrantFirst(scope_entry* scope, caller_entry* caller, time_point now,
                  effects* out);
  static bool BelowShare(const scope_entry& scope, const caller_entry& caller);
  // Returns null if there are too many callers.
  caller_entry* FindOrCreateCaller(scope_entry* scope,
                                   const admission_request& request);
  static void EraseCallerIfIdle(scope_entry* scope, caller_entry* caller);
  // Erases the idle callers of a scope without waiting requests.
  static void EraseIdleCallers(scope_entry* scope);
  // Removes a ticket from the queue of its caller.
  static void RemoveFromQueue(ticket* entry);
  void Start(ticket* entry, time_point now);
  void Refuse(ticket* entry, result_code code, effects* out);
  void Reply(const ticket& entry, admission_verdict verdict, result_code code,
             duration retry_after, effects* out) const;
  void Erase(ticket* entry);
  // Erases a ticket and grants the requests that can then run.
  void EraseAndGrant(ticket* entry, time_point now, effects* out);
  // Adds a release to the current window; at the end of a window, adapts the
  // limit.
  void RecordMeasurement(scope_entry* scope, const admission_release& release,
                         time_point now);
  static duration ExpectedWait(const scope_entry& scope,
                               const caller_entry& caller);

  admission_controller_options options_;
  struct tables;
  std::unique_ptr<tables> tables_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ADMISSION_CONTROLLER_H_
