#ifndef BILBERRYCOURSE_ROUTE_ENGINE_H_
#define BILBERRYCOURSE_ROUTE_ENGINE_H_

// Dispatches requests of the routed interface to searchers: selects the
// searcher, hedges and retries, and decides when to answer with partial
// coverage and when to refuse. Uses no socket, clock or file.
//
//   route_engine engine(options, self, zone);
//   engine.SetRoutes(table);
//   engine.UpdateSearchers(records, complete_list, now, &effects);
//   engine.Begin({id, table, route, received, time_left}, now, &effects);
//   engine.OnReply(connection, reply, keep_alive, idle_limit, now, &effects);
//   engine.Tick(now, &effects);          // at next_due() or every 10 ms
//
// Every request ends with exactly one finish_route_request, unless it is
// cancelled, abandoned or reported by route_progress.
// The parts of a request are its shards; a request to one service has one
// part. For each part the engine keeps the attempts in flight:
//
//  - The first attempt goes to the searcher with the lowest score.
//  - A second attempt follows when the first takes longer than the 90th
//    percentile of its route (hedge), when it failed, or when the searcher
//    proved that it did not run the request. Extra attempts draw on the
//    service's retry budget. A request that is not idempotent is sent again
//    only after such a proof.
//  - A request over shards is answered when all shards have answered, or just
//    before the latency objective with the shards answered so far, if they
//    reach the minimum coverage. An answer after the objective has little
//    value, so a missing shard costs less than waiting for it.
//
// A searcher that states a request limit gets requests only with permissions of
// the limit_allocator, which counts those of all instances. Every attempt needs
// one, also retries and those for relays; hedges are not sent to such
// searchers. An attempt without a permission moves to another searcher; a
// request that can't reach its minimum coverage is refused before any of it is
// sent.
//
// A searcher that refuses a request and asks for rest gets nothing from this
// instance for that time. What waits for it moves to another searcher, and a
// request that finds none is refused at once.
//
// An instance that has lost its links to all searchers, or to all searchers of
// a service, lets another entry instance send (fallback relay), which never
// hands on itself. What the relay proves not to have run counts as not run.
//
// Each part has one owner at a time, this instance or one relay, and only the
// owner answers it. This instance hands a part over only while it has no
// attempt for it, and starts none before the relay has given the part back or
// is lost. A relay's report merges the records of several parts, so it is taken
// in whole, or refused whole if any of these parts is not the relay's.
//
// A request that crashes the searchers that run it must not be sent to one
// after the other. Its content is refused once two crashes are known
// (crash_evidence); after the first, it gets a single attempt, and a request
// over shards begins with one of them, unless its content has succeeded lately.
//
// A request that was sent is never refused as `not run`, unless every searcher
// that received it has proved that it did not run it. That includes the replies
// of searchers: one without a proof is a failure, even if its status promises
// that the request has not run.
//
// Searchers in evacuated zones get nothing. A request that can't reach its
// minimum coverage without them is refused before any of it is sent.
//
// An instance that stops answers every request by StopAt(). One that might
// still run then is refused before it is sent, so that its caller can turn to
// another instance.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/retry_budget.h"
#include "bilberrycourse/route_call.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/route_effects.h"
#include "bilberrycourse/route_engine_counters.h"
#include "bilberrycourse/searcher_pool.h"
#include "bilberrycourse/service_time_estimator.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct route_engine_options {
  searcher_pool_options pool;
  retry_budget_options budget;
  // Quantile of a route's service times after which a hedge is sent, and the
  // bounds of this delay as shares of the latency objective. The upper bound
  // leaves the second attempt time to finish within the objective.
  double hedge_quantile = 0.9;
  double min_hedge_share = 0.06;
  double max_hedge_share = 0.35;
  // A partial answer is sent this long before the objective, which covers the
  // merge and the transfer to the caller.
  duration answer_margin = std::chrono::milliseconds(4);
  // Longest wait for a connection or slot as a share of the objective. A
  // request that has not been sent by then is refused, so that its caller can
  // retry while the answer still has its full value.
  double max_queue_wait_share = 0.2;
  // A searcher counts as overloaded if attempts wait for it longer than this
  // share of the objective; its queue then switches from FIFO to LIFO.
  double fifo_wait_share = 0.25;
  // Deadline of attempts over shards, as a multiple of the objective. Later
  // replies are no longer used.
  double shard_deadline_factor = 1.3;
  // An attempt without a reply is aborted this long after its deadline.
  duration reply_grace = std::chrono::milliseconds(300);
  // A relay sends its first report this long before the origin answers. The
  // relay counts as silent if none has arrived this long after.
  duration relay_report_margin = std::chrono::milliseconds(6);
  // Id of the first request to the limit_allocator. It differs between the
  // processes of one instance, so that a reply to an earlier one is not used.
  std::uint64_t first_limit_request = 1;
  // Upper limit of requests in flight; further requests are refused.
  std::size_t max_requests = 4096;
};

class route_engine {
 public:
  route_engine(route_engine_options options, instance_name self,
               availability_zone zone);

  // Sets the configuration for later requests and opens a connection to each
  // searcher of its services for which ShouldPreconnect() holds.
  void SetRoutes(std::shared_ptr<const route_table> table, time_point now,
                 route_effects* out);
  // Sets the number of entry instances, and opens the connections that
  // ShouldPreconnect() then allows.
  void SetInstances(std::uint32_t instances, time_point now,
                    route_effects* out);
  // Number of entry instances that use the searchers of this service and share
  // its connections and its retry budget; 0 stands for all.
  void SetSharingInstances(const std::string& service,
                           std::uint32_t sharing_instances);
  void UpdateSearchers(const std::vector<searcher_record>& changes,
                       bool complete_list, time_point now, route_effects* out);

  // Sets the evacuated zones. What waits for a searcher there moves to another
  // one; requests that have been sent there end there.
  void SetEvacuatedZones(std::set<availability_zone> zones, time_point now,
                         route_effects* out);

  // Returns, for each shard, the zones in which it has a usable searcher,
  // sorted.
  relay_plan::replica_zones ReplicaZones(
      const std::vector<std::string>& shards) const;

  void Begin(route_call call, time_point now, route_effects* out);
  // Called when the caller has disconnected or cancelled. Aborts all attempts
  // of the request.
  void Cancel(route_request_id id, time_point now, route_effects* out);

  // Drops the request without an answer. Attempts in flight continue, because
  // their replies release the connections.
  void Abandon(route_request_id id);

  void OnOpened(connection_id connection, time_point now, route_effects* out);
  // Called when the connection has ended. An attempt on it, if any, may have
  // run. A searcher that exceeded a limit is quarantined.
  void OnClosed(connection_id connection, connection_end end, time_point now,
                route_effects* out);
  // Returns the id of the connection's searcher; empty if it is unknown.
  std::string SearcherOf(connection_id connection) const;
  // The searcher closes the connection once it is idle for `idle_limit`.
  void OnReply(connection_id connection, searcher_reply_pointer reply,
               bool keep_alive, std::optional<duration> idle_limit,
               time_point now, route_effects* out);

  // Handles a relay's report about one group of shards.
  void OnRelayReport(route_request_id id, std::size_t group,
                     const shard_report& report, time_point now,
                     route_effects* out);
  // Called when the link to the relay is lost. The origin then searches the
  // relay's shards itself.
  void OnRelayLost(const instance_name& relay, time_point now,
                   route_effects* out);

  // Handles a reply of the limit_allocator.
  void OnLimitReply(const limit_reply& reply, time_point now,
                    route_effects* out);
  // Called when the request with this id cannot reach the allocator. Until it
  // answers again, this instance uses its equal share of each limit.
  void OnAllocatorUnavailable(std::uint64_t id, time_point now,
                              route_effects* out);
  // Appends the requests to relays and to the limit_allocator that the last
  // event caused. Called after each event, so that one request carries all
  // shards.
  void Flush(time_point now, route_effects* out);

  // Applies crash evidence of other instances.
  void OnCrashEvidence(const std::vector<crash_evidence_record>& records,
                       time_point now, route_effects* out);
  // Returns the evidence that an instance without any needs: all about
  // quarantined content, and what is newer than `max_age`.
  std::vector<crash_evidence_record> CrashEvidence(duration max_age,
                                                   time_point now) const;

  // Sets the entry instances that may send requests on behalf of this one: they
  // are linked and reach searchers.
  void SetFallbackRelays(std::vector<instance_name> relays) {
    fallback_relays_ = std::move(relays);
  }
  // True while this instance reaches no searcher.
  bool isolated() const { return isolated_; }

  // The instance stops: answers every request by `end`, and refuses from now on
  // those that may not be answered by then, unless they may have run already.
  void StopAt(time_point end, time_point now, route_effects* out);

  void Tick(time_point now, route_effects* out);
  std::optional<time_point> next_due() const;

  std::size_t in_flight() const { return requests_.size(); }
  const route_engine_counters& counters() const { return counters_; }
  searcher_pool& pool() { return pool_; }

 private:
  struct attempt_state {
    attempt_id id{};
    route_request_id request{};
    std::size_t part = 0;
    std::string service;
    std::string searcher;
    std::uint64_t serial = 0;
    fingerprint content{};
    send_reason reason = send_reason::kFirst;
    bool sent = false;
    // End of its permission, if its searcher limits requests.
    std::optional<time_point> permission;
    connection_id connection{};
    time_point sent_at{};
    duration expected{0};
    placement_decision placement;
  };

  // Who searches a part and may answer it.
  enum class part_owner : std::uint8_t {
    // This instance, by its attempts.
    kSelf = 0,
    // Nobody: the part waits for a fallback relay.
    kHandover = 1,
    // The relay of the group `part_state::group`.
    kRelay = 2,
  };

  struct part_state {
    std::string service;
    part_owner owner = part_owner::kSelf;
    // In request_state::relays, while a relay owns the part.
    std::size_t group = 0;
    // Searchers to which an attempt was assigned, with any result.
    std::vector<std::string> tried;
    std::vector<attempt_id> running;
    // Number of attempts that may have run.
    std::uint32_t may_have_run = 0;
    bool hedged = false;
    // Fallback relays that the part was sent to.
    std::vector<instance_name> fallbacks;
    // Included in a route_progress already.
    bool reported = false;
    bool failed = false;
    result_code failure = result_code::kOk;
    searcher_reply_pointer reply;
    // Error reply of a searcher, forwarded if no attempt succeeds.
    searcher_reply_pointer error_reply;

    bool ended() const { return failed || reply != nullptr; }
    bool owned_by_self() const { return owner == part_owner::kSelf; }
    bool owned_by_relay(std::size_t relay_group) const {
      return owner == part_owner::kRelay && group == relay_group;
    }
  };

  // A group of shards that a relay searches.
  struct relay_task {
    relay_group group;
    // The relay may have received the group.
    bool sent = false;
    bool reported = false;
    // Nothing more is expected of the relay.
    bool done = false;
  };

  // MakeRequest() returns it complete, so that the request can end at any point
  // of Begin().
  struct request_state {
    route_call call;
    std::vector<part_state> parts;
    std::vector<relay_task> relays;
    // Bodies of the relays' reports, each with the records of all shards that
    // its report answers.
    std::vector<std::string> relay_bodies;
    std::size_t answered = 0;
    std::size_t failed = 0;
    time_point received{};
    time_point answer_at{};
    time_point expires_at{};
    bool answer_due = false;
    bool first_reported = false;
    // Nothing is sent before enough shards have a permission for the minimum
    // coverage; otherwise the request would use up limits and fail.
    bool held = false;
    // Why the request is refused if nothing has run: a request limit or a rest
    // of the searchers has excluded a shard.
    result_code refusal = result_code::kQueueDeadline;
    // Only one shard has been tried, because the content is suspected of
    // crashing searchers.
    bool canary = false;
    // For a request with quarantined content: the time until it ends.
    duration quarantined_for{0};
    // On a relay: a shard has failed without an attempt, and the origin may
    // find another way if it hears at once.
    bool report_due = false;
    // Longest time until an excluded shard can be searched again.
    duration excluded_for{0};
    // Attempts whose connection broke.
    std::uint32_t lost_attempts = 0;
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::string last_searcher;
    bool fan_out() const { return !call.matched_route->shards.empty(); }
    std::uint32_t priority() const {
      return call.priority.value_or(call.matched_route->priority);
    }
  };

  struct connection_state {
    std::string searcher;
    std::uint64_t serial = 0;
    std::optional<attempt_id> running;
    time_point idle_since{};
    std::optional<duration> idle_limit;
  };

  enum class timer_kind : std::uint8_t {
    kHedge,
    kQueueWait,
    kAnswer,
    kRelay,
    kExpiry,
    kAttempt,
    // `part` is the id of the limit_request.
    kLimitRequest,
    kContact,
    kFallback,
    kLostSearchers
  };
  struct timer {
    time_point due{};
    timer_kind kind = timer_kind::kHedge;
    route_request_id request{};
    std::size_t part = 0;
    attempt_id attempt{};
    bool operator>(const timer& other) const { return due > other.due; }
  };

  struct service_state {
    explicit service_state(const retry_budget_options& options)
        : budget(options) {}
    retry_budget budget;
    std::uint32_t sharing_instances = 0;
    // Until then no other instance is asked either, because one could not reach
    // the service.
    time_point lost_everywhere_until = time_point::min();
  };

  // A searcher that broke a connection on which it ran an attempt.
  struct lost_searcher {
    std::string service;
    wall_time_ms started_at_ms = 0;
    std::uint64_t serial = 0;
    time_point at{};
    // Connections with this id or a higher one were opened after the loss.
    connection_id first_probe{};
    bool crashed = false;
    std::vector<fingerprint> contents;
    // Parts that are sent again only if the searcher has not crashed.
    std::vector<std::pair<route_request_id, std::size_t>> parts;
  };

  // Current weights of a split, for smooth weighted round robin.
  using split_weights = std::map<std::string, std::int64_t>;

  void Preconnect(time_point now, route_effects* out);
  void Preconnect(searcher_entry* entry, time_point now, route_effects* out);
  void LeaveSearchers(const std::vector<std::string>& stopped,
                      std::vector<connection_id> unused, time_point now,
                      route_effects* out);
  void ReleaseProbed(const std::vector<std::string>& evacuated, time_point now,
                     route_effects* out);
  bool RefuseEvacuated(request_state* request, time_point now,
                       route_effects* out);
  request_state MakeRequest(route_call call, time_point now);
  static bool MayHaveRun(const request_state& request);
  static void RemoveFalsePromise(const request_state& request,
                                 finish_route_request* finish);
  bool FitsBeforeStop(const request_state& request, time_point now) const;
  void OnTimer(const timer& due, time_point now, route_effects* out);
  void OnHedgeDue(request_state* request, std::size_t index, time_point now,
                  route_effects* out);
  void OnQueueWaitExpired(request_state* request, time_point now,
                          route_effects* out);
  void OnAnswerDue(request_state* request, time_point now, route_effects* out);
  void OnRelayDue(request_state* request, std::size_t group,
                  route_effects* out);
  void OnExpired(request_state* request, time_point now, route_effects* out);
  void OnAttemptTimeout(attempt_id id, time_point now, route_effects* out);

  // Starts an attempt for the part. Returns false if no searcher is available,
  // or if this instance does not own the part.
  bool StartAttempt(request_state* request, std::size_t index,
                    send_reason reason, time_point now, route_effects* out);
  attempt_state* NextWaiting(searcher_entry* entry, time_point now);
  void Dispatch(searcher_entry* entry, time_point now, route_effects* out);
  void OpenConnections(searcher_entry* entry, std::uint32_t wanted,
                       time_point now, route_effects* out);
  void OpenUpTo(searcher_entry* entry, std::uint32_t target, time_point now,
                route_effects* out);
  std::optional<connection_id> TakeConnection(searcher_entry* entry,
                                              time_point now,
                                              route_effects* out);
  void Send(attempt_state* attempt, connection_id connection, time_point now,
            route_effects* out);
  void RetryOrFail(request_state* request, std::size_t index,
                   send_reason reason, result_code code, time_point now,
                   route_effects* out);
  bool MaySendAgain(const request_state& request, const part_state& part,
                    send_reason reason, time_point now) const;
  void FailPart(request_state* request, std::size_t index, result_code code);
  void OnPartAnswered(request_state* request, std::size_t index,
                      searcher_reply_pointer reply, time_point now,
                      route_effects* out);
  void CheckDone(request_state* request, time_point now, route_effects* out);
  bool EnoughCoverage(const request_state& request) const;
  void StartRelays(request_state* request, time_point now, route_effects* out);
  void SearchInsteadOfRelay(request_state* request, std::size_t group,
                            time_point now, route_effects* out);
  void SendGroup(request_state* request, std::size_t group,
                 std::uint32_t max_attempts, time_point now,
                 route_effects* out);
  static std::string_view ReportProblem(const request_state& request,
                                        std::size_t group,
                                        const shard_report& report);
  void RefuseReport(request_state* request, std::size_t group,
                    std::string_view problem, time_point now,
                    route_effects* out);
  void AnswerByRelay(request_state* request, std::size_t group,
                     const shard_report& report);
  void OnRelayFailure(request_state* request, std::size_t index,
                      const failed_shard& failure, time_point now,
                      route_effects* out);
  void CancelRelays(const request_state& request, bool caller_left,
                    route_effects* out);
  void Report(request_state* request, route_effects* out);
  void FinishMerged(request_state* request, time_point now, route_effects* out);
  void FinishWith(request_state* request, finish_route_request finish,
                  time_point now, route_effects* out);
  void FinishFailed(request_state* request, result_code code, time_point now,
                    route_effects* out);
  duration RetryAfter(const request_state& request, time_point now) const;
  void DropUnsent(const request_state& request);
  void MoveUnsent(const attempt_state& attempt, time_point now,
                  route_effects* out);
  void AbortAttempt(const attempt_state& attempt, route_effects* out);
  void EndAttempt(attempt_id id);
  // Loss of the searchers; see route_engine_isolation.cc.
  bool Place(request_state* request, std::size_t index, send_reason reason,
             time_point now, route_effects* out);
  bool Delegate(request_state* request, std::size_t index, time_point now);
  bool DelegateUnsent(request_state* request, std::size_t index);
  void HandOver(request_state* request, std::size_t index);
  void WantFallback(time_point now);
  void FlushDelegated(time_point now, route_effects* out);
  void SendDelegated(request_state* request,
                     const std::vector<std::size_t>& parts, time_point now,
                     route_effects* out);
  bool SendToFallback(request_state* request, std::vector<std::size_t> parts,
                      time_point now, route_effects* out);
  void NoteContact(time_point now, route_effects* out);
  void NoteSuspect(const std::string& searcher, time_point now,
                   route_effects* out);
  void CheckIsolation(time_point now, route_effects* out);
  void WatchContact(time_point now);
  void OnContactDue(time_point due, time_point now, route_effects* out);
  void ProbeSearchers(time_point now, route_effects* out);
  void MoveUnanswered(time_point now, route_effects* out);

  void ObserveRest(searcher_entry* entry, const searcher_reply& reply,
                   time_point now, route_effects* out);
  void CloseUnused(searcher_entry* entry, route_effects* out);
  void MoveWaiting(const searcher_entry& entry, time_point now,
                   route_effects* out);

  // Crashes of searchers; see route_engine_crashes.cc.
  bool RefuseCrashing(request_state* request, time_point now,
                      route_effects* out);
  void NoteLostAttempt(const attempt_state& attempt,
                       const searcher_entry& entry, time_point now,
                       route_effects* out);
  bool AwaitProbe(request_state* request, const attempt_state& attempt,
                  time_point now);
  void ProbeLostSearchers(time_point now, route_effects* out);
  void OnProbeEnded(const connection_state& ended, connection_id connection,
                    bool opened, time_point now, route_effects* out);
  void RecordCrash(const std::string& searcher, const lost_searcher& lost,
                   time_point now, route_effects* out);
  void NoteServiceSuccess(const attempt_state& attempt, time_point now,
                          route_effects* out);
  bool Quarantined(fingerprint content, time_point now) const;
  bool Suspected(fingerprint content, time_point now) const;
  bool MayRepeat(fingerprint content, time_point now) const;
  void Quarantine(fingerprint content, time_point now, route_effects* out);
  void StartOtherParts(request_state* request, time_point now,
                       route_effects* out);

  // Request limits; see route_engine_limits.cc.
  void FlushLimitRequest(time_point now, route_effects* out);
  void ObserveLimit(searcher_entry* entry, const stated_limit& limit,
                    time_point now, route_effects* out);
  searcher_entry* ApplyStatement(const limit_statement& statement,
                                 time_point now, route_effects* out);
  bool MaySend(attempt_state* attempt, searcher_entry* entry, time_point now);
  double ShareOf(const searcher_entry& entry) const;
  bool ReleaseIfReady(request_state* request, time_point now,
                      route_effects* out);
  void ReleaseHeld(time_point now, route_effects* out);
  void MoveDenied(searcher_entry* entry, std::uint32_t priority, time_point now,
                  route_effects* out);
  std::vector<limit_want> TakeWants(time_point now);
  void DispatchWanted(time_point now, route_effects* out);
  void FailUnplaced(request_state* request, std::size_t index, time_point now);
  void HandleAttemptReply(const attempt_state& attempt,
                          searcher_reply_pointer reply, time_point now,
                          route_effects* out);
  std::string PickBackend(const route& matched_route);
  service_state& FindOrCreateService(const std::string& name);
  duration ExpectedServiceTime(const route& matched_route) const;
  duration HedgeDelay(const route& matched_route, time_point now) const;
  void SetTimer(timer_kind kind, time_point due, route_request_id id,
                std::size_t index = 0, attempt_id attempt = {});
  request_state* FindRequest(route_request_id id);
  attempt_state* FindAttempt(attempt_id id);

  route_engine_options options_;
  searcher_pool pool_;
  std::shared_ptr<const route_table> table_;
  std::uint32_t instances_ = kAssumedInstances;
  std::unordered_map<route_request_id, request_state> requests_;
  std::unordered_map<attempt_id, attempt_state> attempts_;
  std::unordered_map<connection_id, connection_state> connections_;
  std::map<std::string, service_state> services_;
  std::map<std::string, split_weights> splits_;
  std::map<std::string, service_time_estimator> service_times_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_connection_ = 1;
  // Requests that are held, in the order of arrival.
  std::set<route_request_id> held_;
  // Searchers for which attempts wait for a permission.
  std::set<std::string> limit_wanted_;
  // Searchers whose limit the allocator does not know yet.
  std::set<std::string> limit_changed_;
  // Id of the unanswered request to the allocator; 0 if there is none.
  std::uint64_t limit_request_ = 0;
  std::uint64_t next_limit_request_;
  // Time at which the allocator was lost, and of the next try to reach it.
  std::optional<time_point> allocator_lost_at_;
  time_point allocator_retry_at_{};
  // Set once the instance stops.
  std::optional<time_point> stop_at_;
  crash_evidence evidence_;
  std::map<std::string, lost_searcher> lost_searchers_;
  // Last sign of life of any searcher, and the searchers that have failed to
  // give one since.
  time_point contact_at_{};
  std::set<std::string> suspects_;
  bool contact_watched_ = false;
  bool isolated_ = false;
  time_point probe_due_{};
  std::vector<instance_name> fallback_relays_;
  std::size_t next_fallback_ = 0;
  // Parts for which fallback relays are asked with the next Flush().
  std::map<route_request_id, std::vector<std::size_t>> delegated_;
  // When fallback relays were last wanted, whether the adapter must be told,
  // and until when parts wait for the first link to one.
  time_point fallback_wanted_at_ = time_point(duration::min() / 2);
  bool fallback_wanted_ = false;
  time_point fallback_due_{};
  route_engine_counters counters_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_ENGINE_H_
