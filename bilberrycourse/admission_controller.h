#ifndef BILBERRYCOURSE_ADMISSION_CONTROLLER_H_
#define BILBERRYCOURSE_ADMISSION_CONTROLLER_H_

// The admission instance of one or more scopes: bounds the queries that run at
// the same time over all origins and shares the capacity among callers.
//
//   admission_controller controller(admission_controller_options{});
//   controller.SetFloor("catalogue",
//   directory.SmallestShardSlots("catalogue")); std::vector<admission_reply>
//   out; controller.OnRequest("instance-1", request, now, &out);
//   controller.OnRelease("instance-1", release, now, &out);
//   controller.Tick(now, &out);  // at least at next_due()
//
// Fairness: each caller has one queue per scope; a deficit round robin over the
// callers grants `weight` queries per turn, so a caller that sends more than
// its share only waits behind its own requests. A request whose expected wait
// is long is refused at once, any other at the end of its max_wait. A caller
// that has less than its share of the limit running is granted at once, even if
// others use the whole limit; the total stays below twice the limit.
//
// Limit: additive increase while the queueing delay that the releases report
// is below the target and the limit is in use, multiplicative decrease above
// it, never below the floor. docs/decisions/admission.md gives the measured
// reasons for the constants.
//
// Each event costs O(1) on average, the expiry queue O(log waiting).

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
  // Off in the local fallback of admission_client, where the limit is set.
  bool adaptive = true;
  // The equal share of it must carry bursts while the admission instance is
  // silent: at 8 origins, 16 refused up to 1.2% of the queries at 35% load, 24
  // none.
  std::uint32_t initial_limit = 24;
  std::uint32_t max_limit = 1u << 20;
  // Queueing delay at the shards above which the limit shrinks:
  // `target_delay_factor` x recent service time, but not more than
  // `most_delay_share` of the time that queries have, nor less than
  // `least_target_delay`. Both values are maxima over the shards of a
  // query. A factor of 1 leaves slots idle that wait for the slowest shard; 3
  // uses at least 96% of them up to a service-time sigma of 1.0, 2.5 only 94%.
  duration least_target_delay = std::chrono::milliseconds(5);
  double target_delay_factor = 3.0;
  double most_delay_share = 0.25;
  // The limit is multiplied by 1 - decrease_gain x (relative excess of the
  // delay), at least by `decrease_factor`.
  double decrease_gain = 0.2;
  double decrease_factor = 0.8;
  // Added in a window in which the limit was reached and the delay was low:
  // the larger of the step and the share of the limit.
  double increase_step = 1.0;
  double increase_share = 0.05;
  // Least length of a measuring window. A window also spans the time from
  // grant to release, after which a change of the limit shows in the delay;
  // shorter windows make the limit swing.
  duration window = std::chrono::milliseconds(20);
  // A request is refused at once if its expected wait exceeds this share of its
  // max_wait. With 1.0 more than 5% of the refusals come after the full
  // max_wait, because waits vary around the expected value.
  double expected_wait_share = 0.25;
  // Bounds of memory.
  std::size_t max_scopes = 4096;
  std::size_t max_waiting_per_scope = 65536;
  std::size_t max_running_per_scope = 1u << 20;
  std::size_t max_callers_per_scope = 16384;
  // A grant whose release was lost ends this long after its deadline.
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
  // Grants ended because no release arrived in time.
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

  // Sets the least limit of a scope: the slots of its smallest shard.
  void SetFloor(const std::string& scope, std::uint32_t floor);
  // Sets the limit of a scope when `adaptive` is off; 0 is allowed then.
  void SetLimit(const std::string& scope, std::uint32_t limit, time_point now,
                effects* out);

  void OnRequest(const instance_name& origin, const admission_request& request,
                 time_point now, effects* out);
  void OnRelease(const instance_name& origin, const admission_release& release,
                 time_point now, effects* out);
  // Ends every grant and request of an origin whose link broke.
  void OnOriginLost(const instance_name& origin, time_point now, effects* out);
  // Refuses expired requests and ends expired grants.
  void Tick(time_point now, effects* out);
  // When Tick has something to do next.
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
  // Grants while the limit allows.
  void Grant(scope_entry* scope, time_point now, effects* out);
  // Grants to a caller that has less than its share of the limit running.
  void GrantBelowShare(scope_entry* scope, caller_entry* caller, time_point now,
                       effects* out);
  void GrantFirst(scope_entry* scope, caller_entry* caller, time_point now,
                  effects* out);
  static bool BelowShare(const scope_entry& scope, const caller_entry& caller);
  // Null if there are too many callers.
  caller_entry* FindOrCreateCaller(scope_entry* scope,
                                   const admission_request& request);
  static void ForgetIfIdle(scope_entry* scope, caller_entry* caller);
  // Forgets the callers of a scope in which nothing waits.
  static void Trim(scope_entry* scope);
  // Takes a ticket out of its caller's queue.
  static void Withdraw(ticket* entry);
  void Start(ticket* entry, time_point now);
  void Refuse(ticket* entry, result_code code, effects* out);
  void Reply(const ticket& entry, admission_verdict verdict, result_code code,
             duration retry_after, effects* out) const;
  void Erase(ticket* entry);
  // Erases and grants what that makes room for.
  void End(ticket* entry, time_point now, effects* out);
  void Measure(scope_entry* scope, const admission_release& release,
               time_point now);
  static duration ExpectedWait(const scope_entry& scope,
                               const caller_entry& caller);

  admission_controller_options options_;
  struct tables;
  std::unique_ptr<tables> tables_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ADMISSION_CONTROLLER_H_
