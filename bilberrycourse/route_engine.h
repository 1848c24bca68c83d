#ifndef BILBERRYCOURSE_ROUTE_ENGINE_H_
#define BILBERRYCOURSE_ROUTE_ENGINE_H_

// Carries requests of the routed interface to searchers: which searcher, when
// to send once more, when to answer with what is in, when to refuse. No
// socket, clock or file.
//
//   route_engine engine(options, self, zone);
//   engine.SetRoutes(table);
//   engine.UpdateSearchers(records, whole, now, &effects);
//   engine.Begin({id, table, route, received, time_left}, now, &effects);
//   engine.OnReply(connection, reply, keep_alive, now, &effects);
//   engine.Tick(now, &effects);          // at next_due() or every 10 ms
//
// Every request gets exactly one finish_route_request, unless it is cancelled.
// The parts of a request are its shards; a request to one service has one
// part. For each part the engine keeps the attempts in flight:
//
//  - The first attempt goes to the searcher with the least expected time.
//  - A second one follows when the first takes longer than the usual 90% of
//    its route (hedge), when it failed, or when the searcher proved that it
//    did not run the request. Repeats draw on the service's retry budget, and
//    a request that must not run twice is repeated only after such a proof.
//  - An answer over shards is given when all shards are in, or just before the
//    latency objective with those that are in, if they reach the least
//    coverage. After the objective an answer is worth little, so that a
//    missing shard costs less than its wait.
//
// A request that has left the tier is never refused as `not run`, unless each
// searcher that got it has proved that it did not run it.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/retry_budget.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/route_effects.h"
#include "bilberrycourse/searcher_pool.h"
#include "bilberrycourse/service_time_estimator.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct route_engine_options {
  searcher_pool_options pool;
  retry_budget_options budget;
  // Quantile of a route's service times after which a hedge is sent, and its
  // bounds as shares of the latency objective. The upper bound leaves the
  // second attempt time to finish within the objective.
  double hedge_quantile = 0.9;
  double min_hedge_share = 0.06;
  double max_hedge_share = 0.35;
  // A partial answer leaves this long before the objective, for the way back
  // to the caller and the merge.
  duration answer_margin = std::chrono::milliseconds(4);
  // Longest wait for a connection or slot as a share of the objective; after
  // that a request that has not been sent is refused, so that its caller can
  // come back while the answer still has its worth.
  double max_wait_share = 0.2;
  // A searcher is overloaded if attempts wait for it longer than this share of
  // the objective.
  double fifo_wait_share = 0.25;
  // Attempts over shards are given up by the searcher after this multiple of
  // the objective: beyond it nobody waits for them.
  double shard_deadline_factor = 1.3;
  // An attempt without a reply is given up this long after its deadline.
  duration reply_grace = std::chrono::milliseconds(300);
  // A relay reports this long before the answer leaves the origin, and counts
  // as silent that long after.
  duration relay_return = std::chrono::milliseconds(6);
  // Requests in flight; more are refused.
  std::size_t max_requests = 4096;
};

struct route_call {
  route_request_id id{};
  // The configuration by which the request was matched; kept until its end.
  std::shared_ptr<const route_table> table;
  const route* matched_route = nullptr;
  // When the caller sent the request, as far as that is known.
  time_point sent_at{};
  // The caller's own deadline, from `now` on.
  duration time_left{0};
  // Groups of shards that other instances search; the origin searches the rest.
  std::vector<relay_group> relays;
  // On a relay: `matched` is not a route of the table, but stands for the part
  // of the request that came from another instance. Its result is reported by
  // route_progress: at `answer_at` what is there, then each further shard.
  std::shared_ptr<const route> partial;
  time_point answer_at{};
  bool streamed() const { return partial != nullptr; }
};

struct route_engine_counters {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t partial = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t budget_refusals = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t broken_attempts = 0;
  std::uint64_t late_replies = 0;
};

class route_engine {
 public:
  route_engine(route_engine_options options, instance_name self,
               availability_zone zone);

  // The configuration of requests to come; opens a connection to each searcher
  // that it names.
  void SetRoutes(std::shared_ptr<const route_table> table, time_point now,
                 route_effects* out);
  void SetInstances(std::uint32_t instances);
  // Entry instances that use the searchers of this service; 0: all of them.
  // They share its connections and its retry budget.
  void SetSharingInstances(const std::string& service, std::uint32_t users);
  void UpdateSearchers(const std::vector<searcher_record>& changes, bool whole,
                       time_point now, route_effects* out);

  void Begin(route_call call, time_point now, route_effects* out);
  // The caller has left: nothing of its request goes on.
  void Cancel(route_request_id id, time_point now, route_effects* out);

  // Nobody waits for the request, but its attempts in flight may run on: their
  // replies free the connections.
  void Abandon(route_request_id id);

  void OnOpened(connection_id connection, time_point now, route_effects* out);
  // The connection failed to open or was closed; an attempt on it, if any, may
  // have run.
  void OnClosed(connection_id connection, time_point now, route_effects* out);
  // `idle_limit`: the searcher closes the connection when it is idle longer.
  void OnReply(connection_id connection, searcher_reply_pointer reply,
               bool keep_alive, std::optional<duration> idle_limit,
               time_point now, route_effects* out);

  // What a relay reports of one group.
  void OnRelayReport(route_request_id id, std::size_t group,
                     const shard_report& report, time_point now,
                     route_effects* out);
  // The link to the relay broke: the origin searches its shards itself.
  void OnRelayLost(const instance_name& relay, time_point now,
                   route_effects* out);

  void Tick(time_point now, route_effects* out);
  std::optional<time_point> next_due() const;

  std::size_t in_flight() const { return requests_.size(); }
  const route_engine_counters& counters() const { return counters_; }
  searcher_pool& pool() { return pool_; }

 private:
  struct attempt {
    attempt_id id{};
    route_request_id request{};
    std::size_t part = 0;
    std::string service;
    std::string searcher;
    std::uint64_t serial = 0;
    send_reason reason = send_reason::kFirst;
    bool sent = false;
    connection_id connection{};
    time_point sent_at{};
    duration usual{0};
  };

  struct part {
    std::string service;
    // Searchers that were tried, whatever became of it.
    std::vector<std::string> tried;
    std::vector<attempt_id> running;
    // Attempts that may have run.
    std::uint32_t may_have_run = 0;
    bool hedged = false;
    // Searched by a relay.
    bool relayed = false;
    // Named by a route_progress.
    bool reported = false;
    bool failed = false;
    result_code failure = result_code::kOk;
    searcher_reply_pointer reply;
    // A failure that a searcher answered.
    searcher_reply_pointer refusal;
  };

  struct request {
    route_call call;
    std::vector<part> parts;
    std::size_t answered = 0;
    std::size_t failed = 0;
    time_point received{};
    time_point answer_at{};
    time_point give_up_at{};
    bool past_answer = false;
    bool first_reported = false;
    // By group of call.relays: whether the relay has reported, and finally.
    std::vector<bool> relay_heard;
    std::vector<bool> relay_done;
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::string last_searcher;
    bool fan_out() const { return !call.matched_route->shards.empty(); }
  };

  struct connection_row {
    std::string searcher;
    std::uint64_t serial = 0;
    std::optional<attempt_id> running;
    time_point idle_since{};
    std::optional<duration> idle_limit;
  };

  enum class alarm_kind : std::uint8_t {
    kHedge,
    kWait,
    kAnswer,
    kRelay,
    kGiveUp,
    kAttempt
  };
  struct alarm {
    time_point due{};
    alarm_kind kind = alarm_kind::kHedge;
    route_request_id request{};
    std::size_t part = 0;
    attempt_id attempt{};
    bool operator>(const alarm& other) const { return due > other.due; }
  };

  struct service_row {
    explicit service_row(const retry_budget_options& options)
        : budget(options) {}
    retry_budget budget;
    std::uint32_t users = 0;
  };

  // Current weights of a split, for smooth weighted round robin.
  using split_row = std::map<std::string, std::int64_t>;

  void OnAlarm(const alarm& due, time_point now, route_effects* out);
  void OnHedgeDue(request* row, std::size_t index, time_point now,
                  route_effects* out);
  void OnWaitDue(request* row, time_point now, route_effects* out);
  void OnAnswerDue(request* row, time_point now, route_effects* out);
  void OnRelayDue(request* row, std::size_t group, route_effects* out);
  void OnGiveUpDue(request* row, time_point now, route_effects* out);
  void OnAttemptDue(attempt_id id, time_point now, route_effects* out);

  // Starts an attempt for the part; false if there is no searcher for it.
  bool StartAttempt(request* row, std::size_t index, send_reason reason,
                    time_point now, route_effects* out);
  attempt* NextWaiting(searcher_entry* entry, time_point now);
  void Dispatch(searcher_entry* entry, time_point now, route_effects* out);
  void OpenConnections(searcher_entry* entry, std::uint32_t wanted,
                       time_point now, route_effects* out);
  std::optional<connection_id> TakeConnection(searcher_entry* entry,
                                              time_point now,
                                              route_effects* out);
  void Send(attempt* sending, connection_id connection, time_point now,
            route_effects* out);
  void RepeatOrFail(request* row, std::size_t index, send_reason reason,
                    result_code code, time_point now, route_effects* out);
  bool MayRepeat(const request& row, const part& each,
                 send_reason reason) const;
  void FailPart(request* row, std::size_t index, result_code code);
  void OnPartAnswered(request* row, std::size_t index,
                      searcher_reply_pointer reply, time_point now,
                      route_effects* out);
  void CheckDone(request* row, time_point now, route_effects* out);
  bool EnoughCoverage(const request& row) const;
  void StartRelays(request* row, time_point now, route_effects* out);
  void SearchInsteadOfRelay(request* row, std::size_t group, time_point now,
                            route_effects* out);
  void CancelRelays(const request& row, bool caller_left, route_effects* out);
  void Report(request* row, route_effects* out);
  void FinishMerged(request* row, time_point now, route_effects* out);
  void FinishWith(request* row, finish_route_request finish, time_point now,
                  route_effects* out);
  void FinishFailed(request* row, result_code code, time_point now,
                    route_effects* out);
  duration RetryAfter(const request& row, time_point now) const;
  void ForgetUnsent(const request& row);
  void MoveUnsent(const attempt& moved, time_point now, route_effects* out);
  void BreakOff(const attempt& ended, route_effects* out);
  void EndAttempt(attempt_id id);
  void HandleAttemptReply(const attempt& ended, searcher_reply_pointer reply,
                          time_point now, route_effects* out);
  std::string PickBackend(const route& matched_route);
  service_row& Service(const std::string& name);
  duration Usual(const route& matched_route) const;
  duration HedgeDelay(const route& matched_route, time_point now) const;
  void SetAlarm(alarm_kind kind, time_point due, route_request_id id,
                std::size_t index = 0, attempt_id attempt = {});
  request* FindRequest(route_request_id id);
  attempt* FindAttempt(attempt_id id);

  route_engine_options options_;
  searcher_pool pool_;
  std::shared_ptr<const route_table> table_;
  std::uint32_t instances_ = kAssumedInstances;
  std::unordered_map<route_request_id, request> requests_;
  std::unordered_map<attempt_id, attempt> attempts_;
  std::unordered_map<connection_id, connection_row> connections_;
  std::map<std::string, service_row> services_;
  std::map<std::string, split_row> splits_;
  std::map<std::string, service_time_estimator> service_times_;
  std::priority_queue<alarm, std::vector<alarm>, std::greater<>> alarms_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_connection_ = 1;
  route_engine_counters counters_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_ENGINE_H_
