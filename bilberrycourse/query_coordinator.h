#ifndef BILBERRYCOURSE_QUERY_COORDINATOR_H_
#define BILBERRYCOURSE_QUERY_COORDINATOR_H_

// The origin of a query: pins the snapshot, obtains admission, runs the canary,
// fans out to the shards, collects their results and gives one answer.
//
//   query_coordinator coordinator(&directory, query_coordinator_options{});
//   std::vector<coordinator_effect> out;
//   coordinator.Submit(request, now, &out);
//   coordinator.OnAdmission(query, true, result_code::kOk, {}, now, &out);
//   coordinator.OnShardResult(result, now, &out);
//   coordinator.Tick(now, &out);  // at least at next_due()
//
// The caller of this class checks the control lease before Submit. For each
// submitted query there is exactly one `query_answer`, unless
// OnCallerDisconnected came first. Each shard request is matched by its id; the
// shards of a restarted query and requests to a deputy get new ids, so that a
// result of an abandoned request never enters an answer.
//
// A result costs O(1), a fan-out O(shards), an answer O(shards).

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
  // Queries beyond this number are refused as overloaded.
  std::size_t max_in_flight = 65536;
  // A query restarts on another version only with at least this much time
  // left, and at least the longest shard time that it has seen.
  duration least_restart_time = std::chrono::milliseconds(20);
  // First number of the shard request ids. An origin that restarts should not
  // reuse the numbers of its earlier run; 40 bits.
  std::uint64_t first_block = 1;
};

struct query_request {
  query_id query{};
  // A group or a service.
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
  // Shards that lost a replica to this content; the canary runs elsewhere if
  // it can.
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

// Ask admission_client; a caller that leaves or a deadline that passes while
// the request waits is followed by release_admission.
struct request_admission {
  query_id query{};
  std::string scope;
  caller_name caller;
  std::uint32_t weight = 1;
  duration max_wait{0};
  time_point deadline{};
};

struct release_admission {
  query_id query{};
  std::string scope;
  // True if shard requests were sent.
  bool measured = false;
  // Largest values that results of the query carried.
  duration queue_wait{0};
  duration service_time{0};
};

// Send to the owner of the shard, or to its deputy if `deputy` is set.
struct send_shard_request {
  query_id query{};
  shard_request request;
  bool deputy = false;
};

struct cancel_shard_requests {
  query_id query{};
  std::vector<shard_request_id> requests;
};

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
  // Attempts beyond the first of each shard, as far as results reported them.
  std::uint32_t extra_attempts = 0;
  // Sent to the caller of a refused query if not zero.
  duration retry_after{0};
  // True if the query was moved to another version.
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

// One line for the log.
struct coordinator_decision {
  coordinator_decision_kind kind{};
  query_id query{};
  std::string target;
  index_version version{};
  // Shards sent to, or shards searched for kAnswered and kStragglersCutOff.
  std::uint32_t shards = 0;
  std::uint32_t total = 0;
  // The shard concerned, if there is a single one.
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
  // Results whose request had been answered, cancelled or never sent.
  std::uint64_t dropped_results = 0;
  // Results of another index version than the pinned one.
  std::uint64_t wrong_version_results = 0;
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
  // The owner has sent the canary; the rest waits for it at most canary_wait
  // from now on. Queueing at the owner says nothing about the content.
  void OnCanaryStarted(shard_request_id request, time_point now);
  // The owner of these requests is silent: idempotent ones also go to the
  // deputy; the owner may still answer.
  void OnOwnerUnresponsive(std::span<const shard_request_id> requests,
                           time_point now, effects* out);
  // The link to the receiver of these requests broke, so that no result will
  // come from it; they may have run.
  void OnOwnerDisconnected(std::span<const shard_request_id> requests,
                           time_point now, effects* out);
  void OnCallerDisconnected(query_id query, time_point now, effects* out);
  // New queries are refused from now on; those in flight run to their end.
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
  struct live_request {
    query_entry* query = nullptr;
    std::size_t index = 0;
    std::uint32_t round = 0;
  };

  query_entry* FindQuery(query_id query) const;
  // The live request with this id; `query` is null if there is none.
  live_request FindRequest(shard_request_id id) const;

  void Refuse(const query_request& request, result_code code, effects* out);
  // Refuses a query that waits for admission.
  void RefuseQueued(query_entry* query, result_code code, duration retry_after,
                    effects* out);
  // Pins the snapshot and sends the canary or all shard requests.
  void Begin(query_entry* query, time_point now, effects* out);
  void Pin(query_entry* query, std::shared_ptr<const snapshot_plan> plan);
  void SendCanary(query_entry* query, time_point now, effects* out);
  void SendRest(query_entry* query, effects* out);
  void Send(query_entry* query, std::size_t index, bool canary, bool deputy,
            effects* out);
  bool SendToDeputy(query_entry* query, std::size_t index, effects* out);
  // Ends one round of a shard without an answer.
  void EndRound(query_entry* query, std::size_t index, result_code code,
                bool not_run, time_point now, effects* out);
  static std::uint32_t SpareReplicas(const query_entry& query,
                                     std::size_t index);
  bool RetryAfterCrash(query_entry* query, std::size_t index, effects* out);
  void Miss(query_entry* query, std::size_t index, result_code code);
  void OnCanarySettled(query_entry* query, time_point now, effects* out);
  bool RestartIfBetter(query_entry* query, time_point now, effects* out);
  // Answers if nothing more is to be waited for.
  void Advance(query_entry* query, time_point now, effects* out);
  void Schedule(query_entry* query, time_point now);
  // Answers with what has arrived; open shards are missing.
  void Answer(query_entry* query, effects* out);
  void Finish(query_entry* query, effects* out);
  void CancelLive(query_entry* query, effects* out);
  shard_request_id RequestId(const query_entry& query, std::size_t index,
                             std::uint32_t round) const;
  void Note(coordinator_decision_kind kind, const query_entry& query,
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
