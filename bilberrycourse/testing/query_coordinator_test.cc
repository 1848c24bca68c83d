#include "bilberrycourse/query_coordinator.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

constexpr index_version kOld{1};
constexpr index_version kNew{2};

class query_coordinator_test : public ::testing::Test {
 protected:
  query_coordinator_test() : coordinator_(&directory_, {}) {
    directory_.SetGroup("group", {"x", "y", "z"});
    for (const char* service : {"x", "y", "z"}) {
      directory_.RecordShardSet(service, kOld, 1);
      Announce(service, 0, 1, {kOld});
    }
    request_.query = query_id{7};
    request_.target = "group";
    request_.caller = "caller-1";
    request_.deadline = now_ + milliseconds(1000);
    request_.policy.admission = false;
    request_.policy.canary_wait = milliseconds(20);
  }

  void Announce(const std::string& service, std::uint32_t shard,
                std::uint32_t count, std::vector<index_version> versions,
                const std::string& replica = "a") {
    backend_server_record record;
    record.key = {{service, shard}, replica};
    record.shard_count = count;
    record.sequence = ++sequence_;
    record.versions = std::move(versions);
    directory_.UpdateBackendServer(record);
  }
  // Moves the effects into one list for each kind.
  void Collect() {
    for (const coordinator_effect& effect : out_) {
      if (const auto* send = std::get_if<send_shard_request>(&effect)) {
        sent_.push_back(*send);
      } else if (const auto* item = std::get_if<query_answer>(&effect)) {
        answers_.push_back(*item);
      } else if (const auto* item = std::get_if<release_admission>(&effect)) {
        releases_.push_back(*item);
      } else if (const auto* item =
                     std::get_if<cancel_shard_requests>(&effect)) {
        cancelled_ += item->requests.size();
      }
    }
    out_.clear();
  }
  void Submit() {
    EXPECT_EQ(coordinator_.Submit(request_, now_, &out_), result_code::kOk);
    Collect();
  }
  void Result(std::size_t index, result_code code = result_code::kOk,
              bool not_run = false) {
    Result(sent_.at(index).request, code, not_run,
           sent_.at(index).request.version);
  }
  void Result(const shard_request& request, result_code code, bool not_run,
              index_version version) {
    shard_result result;
    result.id = request.id;
    result.code = code;
    result.not_run = not_run;
    result.version = version;
    result.attempts = 1;
    result.queue_wait = milliseconds(3);
    result.service_time = milliseconds(5);
    result.body = std::make_shared<const std::string>(ToString(request.shard));
    coordinator_.OnShardResult(result, now_, &out_);
    Collect();
  }
  void TickAfter(duration wait) {
    now_ += wait;
    coordinator_.Tick(now_, &out_);
    Collect();
  }
  std::vector<shard_request_id> Ids(std::size_t index) {
    return {sent_.at(index).request.id};
  }
  void ExpectAnswer(query_outcome outcome, result_code code,
                    std::uint32_t searched, std::uint32_t total) {
    ASSERT_EQ(answers_.size(), 1u);
    const query_answer& item = answers_.front();
    EXPECT_EQ(item.outcome, outcome) << ToString(item.outcome);
    EXPECT_EQ(item.code, code) << Describe(item.code).name;
    EXPECT_EQ(item.coverage.searched, searched);
    EXPECT_EQ(item.coverage.total, total);
    EXPECT_EQ(item.coverage.missing.size(), total - searched);
    EXPECT_EQ(item.results.size(), searched);
    EXPECT_EQ(coordinator_.in_flight(), 0u);
  }

  shard_directory directory_;
  query_coordinator coordinator_;
  query_request request_;
  time_point now_{};
  std::uint64_t sequence_ = 0;
  query_coordinator::effects out_;
  std::vector<send_shard_request> sent_;
  std::vector<query_answer> answers_;
  std::vector<release_admission> releases_;
  std::size_t cancelled_ = 0;
};

// Guards against answers with lost, mixed up or repeated results.
TEST_F(query_coordinator_test,
       Result_LateDuplicateOrUnknown_IsCountedAndDropped) {
  Submit();
  ASSERT_EQ(sent_.size(), 3u);
  Result(2);
  Result(2);
  Result(0);
  shard_request unknown = sent_[0].request;
  for (const std::uint64_t id : {0ull, 1ull << 20, ~0ull}) {
    unknown.id = shard_request_id{id};
    Result(unknown, result_code::kOk, false, kOld);
  }
  EXPECT_TRUE(answers_.empty());
  Result(1);
  Result(1);
  ExpectAnswer(query_outcome::kComplete, result_code::kOk, 3, 3);
  EXPECT_EQ(coordinator_.counters().dropped_results, 5u);
  for (const shard_answer& item : answers_[0].results) {
    EXPECT_EQ(*item.body, ToString(item.shard));
  }
}

// Guards against outcomes that violate the rules of design 3.4.
TEST_F(query_coordinator_test, Answer_AnyShardResults_HasSpecifiedOutcome) {
  struct shard_outcome {
    result_code code;
    bool not_run;
  };
  const shard_outcome ok{result_code::kOk, false};
  const shard_outcome shed{result_code::kBackendServerShed, true};
  const shard_outcome crash{result_code::kBackendServerCrashed, false};
  const shard_outcome unanswered{result_code::kStillRunning, false};
  struct test_case {
    std::vector<shard_outcome> shards;
    query_outcome idempotent_outcome;
    result_code idempotent_code;
    query_outcome non_idempotent_outcome;
  };
  using enum query_outcome;
  const test_case cases[] = {
      {{ok, ok, ok}, kComplete, result_code::kOk, kComplete},
      {{ok, shed, ok}, kPartial, result_code::kOk, kUnknown},
      {{shed, shed, shed}, kNotRun, result_code::kBackendServerShed, kNotRun},
      {{shed, crash, shed},
       kPartial,
       result_code::kBackendServerCrashed,
       kUnknown},
      {{shed, unanswered, shed},
       kPartial,
       result_code::kDeadlineExceeded,
       kUnknown},
      {{unanswered, unanswered, unanswered},
       kPartial,
       result_code::kDeadlineExceeded,
       kUnknown},
      {{ok, crash, unanswered}, kPartial, result_code::kOk, kUnknown}};
  for (const test_case& test : cases) {
    for (const bool idempotent : {true, false}) {
      SCOPED_TRACE(&test - cases);
      sent_.clear();
      answers_.clear();
      request_.idempotent = idempotent;
      request_.deadline = now_ + milliseconds(1000);
      Submit();
      std::uint32_t searched = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        const shard_outcome& shard = test.shards[i];
        if (shard.code == result_code::kStillRunning) continue;
        Result(i, shard.code, shard.not_run);
        if (shard.code == result_code::kOk) ++searched;
      }
      TickAfter(milliseconds(1000));
      const query_outcome outcome =
          idempotent ? test.idempotent_outcome : test.non_idempotent_outcome;
      ExpectAnswer(outcome,
                   outcome == kUnknown ? result_code::kOutcomeUnknown
                                       : test.idempotent_code,
                   searched, 3);
    }
  }
}

// Guards against a not_run answer without its reason, and against shard
// requests that are sent for it.
TEST_F(query_coordinator_test, Submit_CannotRun_IsNotRun) {
  struct test_case {
    const char* name;
    std::function<void()> change;
    result_code expected;
  };
  const test_case cases[] = {
      {"unknown target", [this] { request_.target = "none"; },
       result_code::kUnknownTarget},
      {"deadline passed",
       [this] {
         request_.target = "group";
         request_.deadline = now_;
       },
       result_code::kDeadlinePassed},
      {"non-idempotent without a replica of one shard",
       [this] {
         request_.deadline = now_ + milliseconds(100);
         request_.idempotent = false;
         directory_.RemoveBackendServer({{"y", 0}, "a"});
       },
       result_code::kNoServingReplica},
      {"no replica",
       [this] {
         request_.idempotent = true;
         directory_.RemoveBackendServer({{"x", 0}, "a"});
         directory_.RemoveBackendServer({{"z", 0}, "a"});
       },
       result_code::kNoServingReplica},
      {"draining", [this] { coordinator_.Drain(); },
       result_code::kShuttingDown}};
  for (const test_case& test : cases) {
    test.change();
    answers_.clear();
    Submit();
    ASSERT_EQ(answers_.size(), 1u) << test.name;
    EXPECT_EQ(answers_[0].outcome, query_outcome::kNotRun) << test.name;
    EXPECT_EQ(answers_[0].code, test.expected) << test.name;
    EXPECT_TRUE(sent_.empty()) << test.name;
  }
  EXPECT_TRUE(coordinator_.drained());
}

// Guards against two answers for one query id.
TEST_F(query_coordinator_test, Submit_IdInFlight_HasNoEffect) {
  Submit();
  EXPECT_EQ(coordinator_.Submit(request_, now_, &out_),
            result_code::kInvalidField);
  EXPECT_TRUE(out_.empty());
}

// Guards against grants that are never released and against shard requests
// without a grant.
TEST_F(query_coordinator_test, Admission_QueryEnds_IsReleasedOnce) {
  request_.policy.admission = true;
  Submit();
  EXPECT_TRUE(sent_.empty());
  coordinator_.OnAdmission(request_.query, true, result_code::kOk, {}, now_,
                           &out_);
  Collect();
  ASSERT_EQ(sent_.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) Result(i);
  ASSERT_EQ(releases_.size(), 1u);
  EXPECT_TRUE(releases_[0].measured);
  EXPECT_EQ(releases_[0].queue_wait, milliseconds(3));
  EXPECT_EQ(releases_[0].service_time, milliseconds(5));
  EXPECT_EQ(releases_[0].scope, "group");
  answers_.clear();

  Submit();
  coordinator_.OnAdmission(request_.query, false, result_code::kOverloaded,
                           milliseconds(200), now_, &out_);
  Collect();
  EXPECT_EQ(releases_.size(), 1u) << "a refusal holds no grant";
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].outcome, query_outcome::kNotRun);
  EXPECT_EQ(answers_[0].retry_after, milliseconds(200));
  answers_.clear();

  Submit();
  TickAfter(milliseconds(1000));
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].outcome, query_outcome::kNotRun);
  EXPECT_EQ(answers_[0].code, result_code::kQueueDeadline);
  EXPECT_EQ(releases_.size(), 2u);
  coordinator_.OnAdmission(request_.query, true, result_code::kOk, {}, now_,
                           &out_);
  Collect();
  EXPECT_EQ(sent_.size(), 3u) << "a late grant starts nothing";
}

// Guards against mixed snapshots: a result of another version must not enter an
// answer.
TEST_F(query_coordinator_test, Result_OfAnotherVersion_IsMissing) {
  Submit();
  Result(0);
  Result(1);
  Result(sent_[2].request, result_code::kOk, false, kNew);
  ExpectAnswer(query_outcome::kPartial, result_code::kOk, 2, 3);
  EXPECT_EQ(answers_[0].coverage.missing[0].code, result_code::kVersionGone);
  EXPECT_EQ(coordinator_.counters().wrong_version_results, 1u);
}

// Guards against mixed snapshots after a version change during a query. "x" is
// repartitioned from 1 to 2 shards.
TEST_F(query_coordinator_test, VersionGone_BetterVersion_RestartsOnce) {
  Submit();
  Result(0);
  directory_.RecordShardSet("x", kNew, 2);
  for (const char* service : {"y", "z"}) {
    directory_.RecordShardSet(service, kNew, 1);
    Announce(service, 0, 1, {kNew});
  }
  Announce("x", 0, 2, {kNew});
  Announce("x", 1, 2, {kNew}, "b");
  Result(1, result_code::kVersionGone, true);
  ASSERT_EQ(sent_.size(), 3u + 4u);
  EXPECT_EQ(cancelled_, 1u);
  const auto dropped = coordinator_.counters().dropped_results;
  Result(2);
  EXPECT_EQ(coordinator_.counters().dropped_results, dropped + 1);
  for (std::size_t i = 3; i < 7; ++i) {
    EXPECT_EQ(sent_[i].request.version, kNew);
    for (std::size_t j = 0; j < i; ++j) {
      EXPECT_NE(sent_[i].request.id, sent_[j].request.id);
    }
    Result(i);
  }
  ExpectAnswer(query_outcome::kComplete, result_code::kOk, 4, 4);
  EXPECT_EQ(answers_[0].snapshot, kNew);
  EXPECT_TRUE(answers_[0].restarted);
}

// Guards against a restart that covers less or cannot finish before the
// deadline.
TEST_F(query_coordinator_test, VersionGone_NoBetterVersion_IsPartial) {
  for (const bool late : {false, true}) {
    sent_.clear();
    answers_.clear();
    request_.deadline = now_ + milliseconds(1000);
    Submit();
    Result(0);
    if (late) {
      for (const char* service : {"x", "y", "z"}) {
        directory_.RecordShardSet(service, kNew, 1);
        Announce(service, 0, 1, {kNew});
      }
      now_ += milliseconds(990);
    }
    Result(1, result_code::kVersionGone, true);
    Result(2);
    ExpectAnswer(query_outcome::kPartial, result_code::kOk, 2, 3);
    EXPECT_EQ(answers_[0].snapshot, kOld);
  }
}

// Guards against losing the results of the first snapshot when the restart
// covers less.
TEST_F(query_coordinator_test, Restart_CoversLess_AnswersFromFirstSnapshot) {
  Submit();
  Result(0);
  for (const char* service : {"x", "y", "z"}) {
    directory_.RecordShardSet(service, kNew, 1);
    Announce(service, 0, 1, {kNew});
  }
  Result(1, result_code::kVersionGone, true);
  ASSERT_EQ(sent_.size(), 6u);
  TickAfter(milliseconds(1000));
  ExpectAnswer(query_outcome::kPartial, result_code::kOk, 1, 3);
  EXPECT_EQ(answers_[0].snapshot, kOld);
}

// Guards against a shard without replicas that is left out of the coverage.
TEST_F(query_coordinator_test, Submit_ShardWithoutReplica_IsReportedMissing) {
  directory_.RemoveBackendServer({{"y", 0}, "a"});
  request_.policy.least_coverage = 0.9;
  Submit();
  ASSERT_EQ(sent_.size(), 2u);
  Result(0);
  Result(1);
  ExpectAnswer(query_outcome::kPartial, result_code::kCoverageTooLow, 2, 3);
  EXPECT_EQ(answers_[0].coverage.missing[0].shard, (shard_key{"y", 0}));
  EXPECT_EQ(answers_[0].coverage.missing[0].code,
            result_code::kNoServingReplica);
}

// Guards against a request that crashes a searcher in every shard.
TEST_F(query_coordinator_test, Canary_EachResult_DecidesWhetherRestIsSent) {
  struct test_case {
    result_code code;
    bool not_run;
    std::size_t total_sent;
    result_code missing_code;
  };
  const test_case cases[] = {
      {result_code::kOk, false, 3, result_code::kOk},
      {result_code::kBackendServerCrashed, false, 1,
       result_code::kCanaryNotPassed},
      {result_code::kSuspectedCrasher, true, 1, result_code::kSuspectedCrasher},
      {result_code::kBackendServerFailed, false, 3, result_code::kOk},
      // The canary never ran: another shard becomes the canary.
      {result_code::kBackendServerShed, true, 2, result_code::kOk}};
  request_.canary_needed = true;
  for (const test_case& test : cases) {
    SCOPED_TRACE(Describe(test.code).name);
    sent_.clear();
    answers_.clear();
    Submit();
    ASSERT_EQ(sent_.size(), 1u);
    EXPECT_TRUE(sent_[0].request.canary);
    Result(0, test.code, test.not_run);
    EXPECT_EQ(sent_.size(), test.total_sent);
    if (test.missing_code != result_code::kOk) {
      ExpectAnswer(
          test.not_run ? query_outcome::kNotRun : query_outcome::kPartial,
          test.code, 0, 3);
      EXPECT_EQ(answers_[0].coverage.missing[1].code, test.missing_code);
    } else {
      EXPECT_EQ(sent_[1].request.canary, test.not_run);
      coordinator_.OnCallerDisconnected(request_.query, now_, &out_);
      out_.clear();
    }
  }
}

// Guards against a slow canary that delays the query beyond the canary wait.
TEST_F(query_coordinator_test, Canary_NoResult_RestIsSentAfterCanaryWait) {
  request_.canary_needed = true;
  Submit();
  // Time in the owner's queue does not count toward the wait.
  TickAfter(milliseconds(100));
  EXPECT_EQ(sent_.size(), 1u);
  coordinator_.OnCanaryStarted(sent_[0].request.id, now_);
  TickAfter(milliseconds(19));
  EXPECT_EQ(sent_.size(), 1u);
  EXPECT_EQ(coordinator_.next_due(), now_ + milliseconds(1));
  TickAfter(milliseconds(1));
  EXPECT_EQ(sent_.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) Result(i);
  ExpectAnswer(query_outcome::kComplete, result_code::kOk, 3, 3);
}

// Guards against a query that is blocked by a canary that is never sent.
TEST_F(query_coordinator_test, Canary_NeverStarted_RestIsSentAfterTenWaits) {
  request_.canary_needed = true;
  Submit();
  TickAfter(milliseconds(199));
  EXPECT_EQ(sent_.size(), 1u);
  TickAfter(milliseconds(1));
  EXPECT_EQ(sent_.size(), 3u);
}

// Guards against a second canary that crashes the last replica of a shard.
TEST_F(query_coordinator_test, Canary_OneShardHasMoreReplicas_RunsOnThatShard) {
  Announce("y", 0, 1, {kOld}, "b");
  request_.canary_needed = true;
  for (std::uint64_t content = 0; content < 3; ++content) {
    sent_.clear();
    request_.content = fingerprint{content};
    request_.query = query_id{100 + content};
    Submit();
    ASSERT_EQ(sent_.size(), 1u);
    EXPECT_EQ(sent_[0].request.shard, (shard_key{"y", 0}));
  }
  // The loss of a crashed replica has not been announced yet.
  sent_.clear();
  request_.query = query_id{200};
  request_.canary_avoid = {{"y", 0}};
  Submit();
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_NE(sent_[0].request.shard, (shard_key{"y", 0}));
}

// Guards against coverage lost because one replica crashed, and against a
// content that is sent to the next replica before it has run anywhere.
TEST_F(query_coordinator_test, Crash_ContentProven_IsRetriedOnce) {
  for (const char* service : {"x", "y", "z"}) {
    Announce(service, 0, 1, {kOld}, "b");
  }
  request_.canary_needed = true;
  Submit();
  Result(0);
  ASSERT_EQ(sent_.size(), 3u);
  EXPECT_TRUE(sent_[1].request.proven);
  Result(1, result_code::kBackendServerCrashed);
  ASSERT_EQ(sent_.size(), 4u);
  EXPECT_EQ(sent_[3].request.shard, sent_[1].request.shard);
  Result(2, result_code::kBackendServerCrashed);
  ASSERT_EQ(sent_.size(), 5u);
  Result(3);
  Result(4, result_code::kBackendServerCrashed);
  EXPECT_EQ(sent_.size(), 5u);
  ExpectAnswer(query_outcome::kPartial, result_code::kOk, 2, 3);

  // Without a canary and without a recent success there is no retry.
  sent_.clear();
  answers_.clear();
  request_.canary_needed = false;
  Submit();
  EXPECT_FALSE(sent_[0].request.proven);
  Result(0, result_code::kBackendServerCrashed);
  EXPECT_EQ(sent_.size(), 3u);
}

// Guards against coverage lost because the owner does not respond, and against
// two answers of one shard.
TEST_F(query_coordinator_test, OwnerUnresponsive_Read_IsSentToDeputy) {
  Submit();
  coordinator_.OnOwnerUnresponsive(Ids(1), now_, &out_);
  coordinator_.OnOwnerUnresponsive(Ids(1), now_, &out_);
  Collect();
  ASSERT_EQ(sent_.size(), 4u);
  EXPECT_TRUE(sent_[3].deputy);
  EXPECT_TRUE(sent_[3].request.deputy);
  EXPECT_EQ(sent_[3].request.shard, sent_[1].request.shard);
  Result(0);
  Result(2);
  Result(3, result_code::kBackendServerShed, true);
  EXPECT_TRUE(answers_.empty()) << "the owner may still answer";
  Result(1);
  ExpectAnswer(query_outcome::kComplete, result_code::kOk, 3, 3);
  EXPECT_EQ(answers_[0].extra_attempts, 1u);
}

// Guards against a second run of a non-idempotent request.
TEST_F(query_coordinator_test, OwnerDisconnected_NonIdempotent_IsUnknown) {
  request_.idempotent = false;
  request_.target = "x";
  Submit();
  coordinator_.OnOwnerUnresponsive(Ids(0), now_, &out_);
  Collect();
  EXPECT_EQ(sent_.size(), 1u);
  coordinator_.OnOwnerDisconnected(Ids(0), now_, &out_);
  Collect();
  ExpectAnswer(query_outcome::kUnknown, result_code::kOutcomeUnknown, 0, 1);
}

// Guards against coverage lost because the link to an owner broke.
TEST_F(query_coordinator_test, OwnerDisconnected_Read_IsSentToDeputyOnce) {
  Submit();
  coordinator_.OnOwnerDisconnected(Ids(0), now_, &out_);
  Collect();
  ASSERT_EQ(sent_.size(), 4u);
  Result(0);
  EXPECT_EQ(coordinator_.counters().dropped_results, 1u);
  coordinator_.OnOwnerDisconnected(Ids(3), now_, &out_);
  Collect();
  EXPECT_EQ(sent_.size(), 4u);
  Result(1);
  Result(2);
  ExpectAnswer(query_outcome::kPartial, result_code::kOk, 2, 3);
  EXPECT_EQ(answers_[0].coverage.missing[0].code,
            result_code::kOwnerUnreachable);
}

// Guards against the outcome not_run for a request that may have run at a
// disconnected owner or on an abandoned snapshot.
TEST_F(query_coordinator_test, Answer_EarlierAttemptMayHaveRun_IsNeverNotRun) {
  request_.target = "x";
  Submit();
  coordinator_.OnOwnerDisconnected(Ids(0), now_, &out_);
  Collect();
  ASSERT_EQ(sent_.size(), 2u);
  Result(1, result_code::kBackendServerShed, true);
  ExpectAnswer(query_outcome::kPartial, result_code::kOwnerUnreachable, 0, 1);

  sent_.clear();
  answers_.clear();
  request_.target = "group";
  Submit();
  Result(0, result_code::kBackendServerCrashed);
  for (const char* service : {"x", "y", "z"}) {
    directory_.RecordShardSet(service, kNew, 1);
    Announce(service, 0, 1, {kNew});
  }
  Result(1, result_code::kVersionGone, true);
  ASSERT_EQ(sent_.size(), 6u);
  for (std::size_t i = 3; i < 6; ++i) {
    Result(i, result_code::kBackendServerShed, true);
  }
  ExpectAnswer(query_outcome::kPartial, result_code::kBackendServerShed, 0, 3);
}

// Guards against coverage lost while two views of ownership differ.
TEST_F(query_coordinator_test, NotOwner_IsSentToNextInstanceOnce) {
  request_.target = "x";
  request_.idempotent = false;
  // An owner that has just started has no control lease yet.
  for (const result_code code :
       {result_code::kNotOwner, result_code::kControlLeaseExpired}) {
    sent_.clear();
    answers_.clear();
    Submit();
    Result(0, code, true);
    ASSERT_EQ(sent_.size(), 2u);
    EXPECT_TRUE(sent_[1].deputy);
    Result(1, code, true);
    ExpectAnswer(query_outcome::kNotRun, code, 0, 1);
  }
}

// Guards against a straggler that determines the latency of a latency-first
// target, and against a cutoff below the least coverage.
TEST_F(query_coordinator_test, Stragglers_LatencyFirst_AreCutOff) {
  request_.policy.coverage_first = false;
  request_.policy.straggler_cutoff = milliseconds(100);
  request_.policy.least_coverage = 0.5;
  Submit();
  Result(0);
  TickAfter(milliseconds(100));
  EXPECT_TRUE(answers_.empty()) << "one of three is below the least coverage";
  Result(1);
  ExpectAnswer(query_outcome::kPartial, result_code::kOk, 2, 3);
  EXPECT_EQ(cancelled_, 1u);
}

// Guards against work and answers for a caller that has disconnected.
TEST_F(query_coordinator_test, CallerDisconnected_CancelsAndReleases) {
  request_.policy.admission = true;
  Submit();
  coordinator_.OnAdmission(request_.query, true, result_code::kOk, {}, now_,
                           &out_);
  Collect();
  Result(0);
  coordinator_.OnCallerDisconnected(request_.query, now_, &out_);
  Collect();
  EXPECT_EQ(cancelled_, 2u);
  EXPECT_EQ(releases_.size(), 1u);
  TickAfter(milliseconds(2000));
  EXPECT_TRUE(answers_.empty());
  EXPECT_EQ(coordinator_.in_flight(), 0u);
}

// Guards against a drain that aborts requests in flight.
TEST_F(query_coordinator_test, Drain_InFlight_RunsToCompletion) {
  Submit();
  coordinator_.Drain();
  EXPECT_FALSE(coordinator_.drained());
  for (std::size_t i = 0; i < 3; ++i) Result(i);
  ExpectAnswer(query_outcome::kComplete, result_code::kOk, 3, 3);
  EXPECT_TRUE(coordinator_.drained());
}

}  // namespace
}  // namespace bilberrycourse
