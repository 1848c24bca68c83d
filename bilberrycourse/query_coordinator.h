#ifndef BILBERRYCOURSE_QUERY_COORDINATOR_H_
#define BILBERRYCOURSE_QUERY_COORDINATOR_H_

// Coordinates a query at its origin: obtains admission, pins the snapshot, runs
// the canary, fans out to the shards, collects their results and produces one
// answer.
//
//   query_coordinator coordinator(&directory, query_coordinator_options{});
//   std::vector<coordinator_effect> out;
//   coordinator.Submit(request, now, &out);
//   coordinator.OnAdmission(query, true, result_code::kOk, {}, now, &out);
//   coordinator.OnShardResult(result, now, &out);
//   coordinator.Tick(now, &out);  // at least at next_due()
//
// The user of this class checks the control lease before Submit. For each
// submitted query there is exactly one `query_answer`, unless
// OnCallerDisconnected came first. Each shard request is matched by its id; the
// shards of a restarted query and requests to a deputy get new ids, so that a
// result of an abandoned request never enters an answer.
//
// Cost: O(1) per result, O(shards) per fan-out and per answer.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/service_policy.h"
#include "bilberrycourse/shard_directory.h"
#include "bilberrycourse/shard_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct query_coordinator_options {
  // Queries beyond this number are refused with kOverloaded.
  std::size_t max_in_flight = 65536;
  // A query restarts on another version only if the time to its deadline is at
  // least this long and at least its largest observed queue wait plus service
  // time.
  duration min_restart_time = std::chrono::milliseconds(20);
  // First block number of the shard request ids (40 bits). A restarted origin
  // should not reuse the block numbers of its previous run.
  std::uint64_t first_block = 1;
};

struct query_request {
  query_id query{};
  // Name of a group or a service.
  std::string target;
  caller_name caller;
  std::uint32_t caller_weight = 1;
  time_point deadline{};
  fingerprint content{};
  bool idempotent = true;
  // True if the content has no recent success and must pass a canary first.
  bool canary_needed = false;
  // True if the content has a recent success.
  bool content_proven = false;
  // Shards that lost a replica to a crash with this content. The canary runs on
  // another shard if possible.
  std::vector<shard_key> canary_avoid;
  shared_body body;
  std::string traceparent;
  service_policy policy;
};

enum class query_outcome : std::uint8_t {
  kComplete,
  kPartial,
  kNotRun,
  kUnknown,
};
// "complete", "partial", "not_run", "unknown".
std::string_view ToString(query_outcome outcome);

struct missing_shard {
  shard_key shard;
  result_code code = result_code::kOk;
};

struct query_coverage {
  std::uint32_t searched = 0;
  std::uint32_t total = 0;
  std::vector<missing_shard> missing;
};

struct shard_answer {
  shard_key shard;
  std::string replica;
  shared_body body;
};

// Effect: pass to admission_client::Request. If the caller disconnects or the
// deadline passes while the request waits, release_admission follows.
struct request_admission {
  query_id query{};
  std::string scope;
  caller_name caller;
  std::uint32_t weight = 1;
  duration max_wait{0};
  time_point deadline{};
};

// Effect: pass to admission_client::Release.
struct release_admission {
  query_id query{};
  std::string scope;
  // True if shard requests were sent.
  bool measured = false;
  // Maxima over the shard results of the query.
  duration queue_wait{0};
  duration service_time{0};
};

// Effect: send to the owner of the shard, or to its deputy if `deputy` is set.
struct send_shard_request {
  query_id query{};
  shard_request request;
  bool deputy = false;
};

// Effect: cancel requests whose results are no longer needed.
struct cancel_shard_requests {
  query_id query{};
  std::vector<shard_request_id> requests;
};

// Effect: the answer to a query.
struct query_answer {
  query_id query{};
  query_outcome outcome = query_outcome::kNotRun;
  // kOk for complete answers and for partial ones that reach least_coverage
  // with at least one shard; otherwise the reason.
  result_code code = result_code::kOk;
  // Not set if no snapshot was pinned.
  std::optional<index_version> snapshot;
  query_coverage coverage;
  std::vector<shard_answer> results;
  // Attempts beyond the first of each shard, as reported by the results.
  std::uint32_t extra_attempts = 0;
  // If not zero, sent to the caller of a refused query.
  duration retry_after{0};
  // True if the query was restarted on another version.
  bool restarted = false;
};

enum class coordinator_decision_kind : std::uint8_t {
  kSnapshotPinned,
  kCanarySent,
  kCanaryPassed,
  kCanaryFailed,
  kCanaryWaitEnded,
  kFannedOut,
  kSentToDeputy,
  kRetriedAfterCrash,
  kRestarted,
  kRestartDeclined,
  kStragglersCutOff,
  kAnswered,
  kAbandoned,
};
std::string_view ToString(coordinator_decision_kind kind);

// Effect: write one decision to the log.
struct coordinator_decision {
  coordinator_decision_kind kind{};
  query_id query{};
  std::string target;
  index_version version{};
  // For kAnswered, kAbandoned and kStragglersCutOff, the number of shards
  // searched; otherwise the number of shards that requests are or can be sent
  // to.
  std::uint32_t shards = 0;
  std::uint32_t total = 0;
  // Set if the decision concerns a single shard.
  std::optional<shard_key> shard;
  result_code code = result_code::kOk;
};

using coordinator_effect =
    std::variant<request_admission, release_admission, send_shard_request,
                 cancel_shard_requests, query_answer, coordinator_decision>;

struct coordinator_counters {
  std::uint64_t submitted = 0;
  std::uint64_t answered[4] = {};  // by query_outcome
  std::uint64_t abandoned = 0;
  std::uint64_t restarted = 0;
  std::uint64_t sent_to_deputy = 0;
  // Results without a live request: it was answered, cancelled or never sent.
  std::uint64_t dropped_results = 0;
  // Results whose index version differs from the pinned one.
  std::uint64_t wrong_version_results = 0;
  // Admission decisions for queries that no longer waited for one.
  std::uint64_t late_admissions = 0;
};

class query_coordinator {
 public:
  using effects = std::vector<coordinator_effect>;

  // `directory` must outlive the coordinator.
  query_coordinator(const shard_directory* directory,
                    query_coordinator_options options);
  query_coordinator(const query_coordinator&) = delete;
  query_coordinator& operator=(const query_coordinator&) = delete;
  ~query_coordinator();

  // Returns kOk if exactly one answer follows or is among the effects. Returns
  // kInvalidField without any effect if the query id is in flight already.
  result_code Submit(const query_request& request, time_point now,
                     effects* out);
  void OnAdmission(query_id query, bool granted, result_code code,
                   duration retry_after, time_point now, effects* out);
  void OnShardResult(const shard_result& result, time_point now, effects* out);
  // Called when the owner has sent the canary to a searcher. The other shards
  // wait at most canary_wait from then on. The time in the owner's queue is not
  // counted because it says nothing about the content.
  void OnCanaryStarted(shard_request_id request, time_point now);
  // Called when the owner of these requests does not respond. Idempotent
  // requests are also sent to the deputy; the owner may still answer.
  void OnOwnerUnresponsive(std::span<const shard_request_id> requests,
                           time_point now, effects* out);
  // Called when the link to the receiver of these requests broke. No result
  // will arrive from it, but the requests may have run.
  void OnOwnerDisconnected(std::span<const shard_request_id> requests,
                           time_point now, effects* out);
  void OnCallerDisconnected(query_id query, time_point now, effects* out);
  // Refuses new queries from now on; queries in flight run to completion.
  void Drain() { draining_ = true; }
  void Tick(time_point now, effects* out);
  std::optional<time_point> next_due() const;

  bool drained() const { return draining_ && in_flight() == 0; }
  std::size_t in_flight() const;
  const coordinator_counters& counters() const { return counters_; }

 private:
  struct query_entry;
  struct shard_entry;
  struct tables;
  // Position of a shard request that can still return a result.
  struct live_request {
    query_entry* query = nullptr;
    std::size_t index = 0;
    std::uint32_t round = 0;
  };

  query_entry* FindQuery(query_id query) const;
  // Returns the live request with this id; `query` is null if there is none.
  live_request FindRequest(shard_request_id id) const;

  void Refuse(const query_request& request, result_code code, effects* out);
  // Refuses a query that waits for admission.
  void RefuseQueued(query_entry* query, result_code code, duration retry_after,
                    effects* out);
  // Pins the snapshot and sends the canary or all shard requests.
  void Begin(query_entry* query, time_point now, effects* out);
  void Pin(query_entry* query, std::shared_ptr<const snapshot_plan> plan);
  void SendCanary(query_entry* query, time_point now, effects* out);
  // Sends a request to every shard that has none yet.
  void SendUnsent(query_entry* query, effects* out);
  void Send(query_entry* query, std::size_t index, bool canary, bool deputy,
            effects* out);
  bool SendToDeputy(query_entry* query, std::size_t index, effects* out);
  // Ends one round of a shard without an answer: retries, restarts the query or
  // marks the shard as missing.
  void EndRound(query_entry* query, std::size_t index, result_code code,
                bool not_run, time_point now, effects* out);
  // Returns the number of replicas of the shard, or 0 if the shard has lost a
  // replica to the content of this query.
  static std::uint32_t ReplicasForCanary(const query_entry& query,
                                         std::size_t index);
  // Sends the request of a crashed searcher again if its content has run
  // elsewhere without a crash: the searcher is then to blame, and another
  // replica can answer.
  bool RetryAfterCrash(query_entry* query, std::size_t index, effects* out);
  void MarkMissing(query_entry* query, std::size_t index, result_code code);
  void OnCanaryFinished(query_entry* query, time_point now, effects* out);
  // Restarts the query on another version if that version covers more shards.
  bool RestartIfBetter(query_entry* query, time_point now, effects* out);
  // Answers if every shard has ended or the stragglers can be cut off.
  void AnswerIfDone(query_entry* query, time_point now, effects* out);
  // Sets the time at which Tick handles the query next.
  void Schedule(query_entry* query, time_point now);
  // Answers with the results received so far. Shards without a result are
  // reported as missing.
  void Answer(query_entry* query, effects* out);
  void Finish(query_entry* query, effects* out);
  void CancelLive(query_entry* query, effects* out);
  shard_request_id RequestId(const query_entry& query, std::size_t index,
                             std::uint32_t round) const;
  void LogDecision(coordinator_decision_kind kind, const query_entry& query,
                   std::uint32_t shards, result_code code, effects* out,
                   std::optional<shard_key> shard = std::nullopt) const;

  const shard_directory* directory_;
  query_coordinator_options options_;
  bool draining_ = false;
  std::uint64_t next_block_;
  coordinator_counters counters_;
  std::unique_ptr<tables> tables_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_QUERY_COORDINATOR_H_
