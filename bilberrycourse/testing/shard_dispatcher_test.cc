#include "bilberrycourse/shard_dispatcher.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr index_version kVersion{7};

class shard_dispatcher_test : public ::testing::Test {
 protected:
  shard_dispatcher_test() {
    options_.ramp_successes = 0;
    Restart();
  }

  void Restart() {
    dispatcher_ = std::make_unique<shard_dispatcher>(options_, &evidence_);
    effects_.clear();
    dispatcher_->SetPolicy("target", policy_);
    dispatcher_->SetSendingAllowed(true, now_, &effects_);
    dispatcher_->SetShardOwned(shard_, true, now_, &effects_);
  }

  backend_server_record Record(const std::string& replica) {
    backend_server_record record;
    record.key = {shard_, replica};
    record.slots = 2;
    record.connection_limit = 25;
    record.versions = {kVersion};
    return record;
  }

  // Announces a searcher and opens all its connections.
  void AddServer(const backend_server_record& record) {
    dispatcher_->UpdateBackendServer(record, now_, &effects_);
    OpenAll();
  }

  std::size_t OpenAll() {
    const auto opening = Take<open_connection>();
    for (const auto& e : opening) {
      dispatcher_->OnConnectionOpened(e.connection, now_, &effects_);
    }
    return opening.size();
  }

  shard_request Request(std::uint64_t id) {
    shard_request request;
    request.id = shard_request_id{id};
    request.shard = shard_;
    request.version = kVersion;
    request.deadline = now_ + seconds(1);
    request.caller = "caller";
    request.scope = "target";
    request.content = fingerprint{id};
    return request;
  }

  void Submit(const shard_request& request) {
    dispatcher_->Submit("origin", request, now_, &effects_);
  }

  void Reply(attempt_id id, attempt_reply_kind kind,
             index_version version = kVersion) {
    dispatcher_->OnReply(id, {kind, version, nullptr}, now_, &effects_);
  }

  void Advance(duration by) {
    now_ += by;
    dispatcher_->Tick(now_, &effects_);
  }

  // Removes and returns the effects of one type.
  template <typename Effect>
  std::vector<Effect> Take() {
    std::vector<Effect> taken;
    std::erase_if(effects_, [&](const dispatch_effect& effect) {
      const auto* e = std::get_if<Effect>(&effect);
      if (e != nullptr) taken.push_back(*e);
      return e != nullptr;
    });
    return taken;
  }

  shard_result OnlyResult() {
    const auto results = Take<finish_request>();
    EXPECT_EQ(results.size(), 1u);
    return results.empty() ? shard_result{} : results.front().result;
  }

  send_attempt OnlyAttempt() {
    const auto attempts = Take<send_attempt>();
    EXPECT_EQ(attempts.size(), 1u);
    return attempts.empty() ? send_attempt{} : attempts.front();
  }

  const shard_key shard_{"catalogue", 3};
  dispatch_options options_;
  service_policy policy_;
  crash_evidence evidence_;
  time_point now_{};
  dispatch_effects effects_;
  std::unique_ptr<shard_dispatcher> dispatcher_;
};

// Guards against requests that must wait for a connection to be opened, and
// against more connections than a searcher accepts.
TEST_F(shard_dispatcher_test,
       Announcement_ShardOwned_OpensSlotsPlusSparesWithinLimit) {
  struct limit_case {
    std::uint32_t slots;
    std::uint32_t limit;
    std::size_t opened;
  };
  for (const limit_case& c :
       {limit_case{2, 25, 4}, {2, 4, 3}, {3, 2, 1}, {1, 1, 1}}) {
    Restart();
    backend_server_record record = Record("a");
    record.slots = c.slots;
    record.connection_limit = c.limit;
    dispatcher_->UpdateBackendServer(record, now_, &effects_);
    EXPECT_EQ(OpenAll(), c.opened) << c.slots << " " << c.limit;
  }
}

// Guards against a deputy that keeps idle connections to searchers of shards
// that it does not own.
TEST_F(shard_dispatcher_test, Submit_ShardNotOwned_OpensThenClosesConnections) {
  dispatcher_->SetShardOwned(shard_, false, now_, &effects_);
  Advance(seconds(10));
  AddServer(Record("a"));
  Submit(Request(1));
  EXPECT_EQ(OpenAll(), 4u);
  Reply(OnlyAttempt().attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(OnlyResult().code, result_code::kOk);
  Advance(seconds(6));
  EXPECT_EQ(Take<close_connection>().size(), 4u);
}

// Guards against more attempts than slots, and against a result without its
// queue wait.
TEST_F(shard_dispatcher_test, Submit_AllSlotsBusy_WaitsForFreeSlot) {
  AddServer(Record("a"));
  for (std::uint64_t id = 1; id <= 3; ++id) Submit(Request(id));
  const auto attempts = Take<send_attempt>();
  ASSERT_EQ(attempts.size(), 2u);
  now_ += milliseconds(4);
  Reply(attempts[0].attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(OnlyResult().queue_wait, duration{0});
  Reply(OnlyAttempt().attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(OnlyResult().queue_wait, milliseconds(4));
}

// Guards against overloading a newly started searcher before it has warmed up.
TEST_F(shard_dispatcher_test, ColdSearcher_BeforeEnoughSuccesses_UsesOneSlot) {
  options_.ramp_successes = 2;
  Restart();
  AddServer(Record("a"));
  for (std::uint64_t id = 1; id <= 5; ++id) Submit(Request(id));
  for (int i = 0; i < 2; ++i) {
    Reply(OnlyAttempt().attempt, attempt_reply_kind::kOk);
  }
  EXPECT_EQ(Take<send_attempt>().size(), 2u);
}

// Guards against new work for a draining searcher, and against cancelling the
// work that it is running.
TEST_F(shard_dispatcher_test,
       DrainingSearcher_RequestRunning_FinishesItAndGetsNoMore) {
  AddServer(Record("a"));
  Submit(Request(1));
  const send_attempt running = OnlyAttempt();
  backend_server_record record = Record("a");
  record.sequence = 1;
  record.state = backend_server_state::kDraining;
  dispatcher_->UpdateBackendServer(record, now_, &effects_);
  Submit(Request(2));
  const shard_result refused = OnlyResult();
  EXPECT_EQ(refused.code, result_code::kNoServingReplica);
  EXPECT_TRUE(refused.not_run);
  // An older announcement that arrives late does not undo the draining.
  dispatcher_->UpdateBackendServer(Record("a"), now_, &effects_);
  Submit(Request(3));
  EXPECT_TRUE(OnlyResult().not_run);
  Reply(running.attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(OnlyResult().code, result_code::kOk);
  EXPECT_TRUE(Take<cancel_attempt>().empty());
}

// Guards against new work for a draining searcher while another one serves. The
// shard is then still servable, so only replica choice excludes the searcher.
TEST_F(shard_dispatcher_test, DrainingSearcher_OtherIsBusy_IsNotChosen) {
  AddServer(Record("a"));
  AddServer(Record("b"));
  backend_server_record record = Record("a");
  record.sequence = 1;
  record.state = backend_server_state::kDraining;
  dispatcher_->UpdateBackendServer(record, now_, &effects_);
  for (std::uint64_t id = 1; id <= 4; ++id) Submit(Request(id));
  OpenAll();
  for (const send_attempt& attempt : Take<send_attempt>()) {
    EXPECT_EQ(attempt.server.replica, "b");
  }
}

// Guards against an answer that contains results of several index versions.
TEST_F(shard_dispatcher_test, Reply_OtherVersion_IsNotUsed) {
  AddServer(Record("a"));
  Submit(Request(1));
  Reply(OnlyAttempt().attempt, attempt_reply_kind::kOk, index_version{8});
  const shard_result result = OnlyResult();
  EXPECT_EQ(result.code, result_code::kVersionGone);
  EXPECT_FALSE(result.not_run);
  EXPECT_EQ(dispatcher_->counters().wrong_version_replies, 1u);
}

// Guards against a result that is taken from a duplicate or late reply.
TEST_F(shard_dispatcher_test, Reply_DuplicateOrLate_IsCountedAndDropped) {
  AddServer(Record("a"));
  Submit(Request(1));
  const send_attempt first = OnlyAttempt();
  Reply(first.attempt, attempt_reply_kind::kOk);
  Reply(first.attempt, attempt_reply_kind::kOk);
  Submit(Request(2));
  const send_attempt second = OnlyAttempt();
  dispatcher_->Cancel("origin", shard_request_id{2}, now_, &effects_);
  EXPECT_EQ(Take<cancel_attempt>().size(), 1u);
  Reply(second.attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(Take<finish_request>().size(), 1u);
  EXPECT_EQ(dispatcher_->counters().unmatched_replies, 1u);
  EXPECT_EQ(dispatcher_->counters().late_replies, 1u);
}

// Guards against a second run of non-idempotent work and against `not_run`
// for work that may have run.
TEST_F(shard_dispatcher_test, FirstAttempt_Fails_RetriesOnlyIfAllowed) {
  struct retry_case {
    bool idempotent;
    attempt_reply_kind reply;
    bool retried;
    bool not_run;
  };
  for (const retry_case& c :
       {retry_case{true, attempt_reply_kind::kShed, true, false},
        {true, attempt_reply_kind::kVersionGone, true, false},
        {true, attempt_reply_kind::kFailed, true, false},
        {false, attempt_reply_kind::kShed, true, false},
        {false, attempt_reply_kind::kVersionGone, false, true},
        {false, attempt_reply_kind::kFailed, false, false}}) {
    Restart();
    AddServer(Record("a"));
    AddServer(Record("b"));
    shard_request request = Request(1);
    request.idempotent = c.idempotent;
    Submit(request);
    const send_attempt first = OnlyAttempt();
    Reply(first.attempt, c.reply);
    const auto retries = Take<send_attempt>();
    ASSERT_EQ(retries.size(), c.retried ? 1u : 0u);
    if (c.retried) {
      EXPECT_NE(retries[0].server.replica, first.server.replica);
      continue;
    }
    EXPECT_EQ(OnlyResult().not_run, c.not_run);
  }
}

// Guards against a request that crashes one replica after the other, and
// against reporting a crash once for each broken connection.
TEST_F(shard_dispatcher_test,
       Connection_BreaksDuringAttempt_IsCrashWithoutRetry) {
  AddServer(Record("a"));
  Submit(Request(1));
  Submit(Request(2));
  const auto attempts = Take<send_attempt>();
  AddServer(Record("b"));
  dispatcher_->OnConnectionClosed(attempts[0].connection, now_, &effects_);
  dispatcher_->OnConnectionClosed(attempts[1].connection, now_, &effects_);
  const auto results = Take<finish_request>();
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[0].result.code, result_code::kBackendServerCrashed);
  EXPECT_FALSE(results[0].result.not_run);
  EXPECT_TRUE(Take<send_attempt>().empty());
  const auto crashes = Take<report_crash>();
  ASSERT_EQ(crashes.size(), 1u);
  EXPECT_EQ(crashes[0].report.contents,
            (std::vector{fingerprint{1}, fingerprint{2}}));
}

// Guards against sending condemned content to a searcher.
TEST_F(shard_dispatcher_test, Submit_CondemnedContent_IsRefusedAsNotRun) {
  AddServer(Record("a"));
  for (const char* replica : {"x", "y"}) {
    evidence_.RecordCrash({{shard_, replica}, 1, {fingerprint{1}}}, now_);
  }
  Submit(Request(1));
  const shard_result result = OnlyResult();
  EXPECT_EQ(result.code, result_code::kSuspectedCrasher);
  EXPECT_TRUE(result.not_run);
}

// Guards against sending queued work after its deadline, and against reporting
// queued and running work with the same result code.
TEST_F(shard_dispatcher_test, Deadline_QueuedAndRunning_HaveDifferentCodes) {
  backend_server_record record = Record("a");
  record.slots = 1;
  AddServer(record);
  Submit(Request(1));
  Submit(Request(2));
  const send_attempt running = OnlyAttempt();
  EXPECT_LT(running.remaining, seconds(1));
  Advance(seconds(1));
  const auto results = Take<finish_request>();
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[0].result.code, result_code::kDeadlineExceeded);
  EXPECT_FALSE(results[0].result.not_run);
  EXPECT_EQ(results[1].result.code, result_code::kQueueDeadline);
  EXPECT_TRUE(results[1].result.not_run);
  EXPECT_EQ(Take<cancel_attempt>().size(), 1u);
  // The searcher does not confirm the cancellation, so its connection is closed
  // and replaced.
  Advance(options_.cancel_grace);
  EXPECT_EQ(Take<close_connection>().at(0).connection, running.connection);
  EXPECT_EQ(Take<open_connection>().size(), 1u);
}

// Guards against an unbounded queue, and against one caller displacing the
// others when the queue is full.
TEST_F(shard_dispatcher_test, Submit_QueueFull_RefusesCallerWithLongestQueue) {
  options_.max_queue_per_shard = 3;
  Restart();
  backend_server_record record = Record("a");
  record.slots = 1;
  AddServer(record);
  for (std::uint64_t id = 1; id <= 4; ++id) Submit(Request(id));
  EXPECT_TRUE(Take<finish_request>().empty());
  shard_request other = Request(5);
  other.caller = "other";
  Submit(other);
  const shard_result refused = OnlyResult();
  EXPECT_EQ(refused.id, shard_request_id{4});
  EXPECT_EQ(refused.code, result_code::kOverloaded);
  EXPECT_TRUE(refused.not_run);
}

// Guards against attempts sent by an owner that may have been replaced.
TEST_F(shard_dispatcher_test, SendingForbidden_QueuedAndNew_AreRefused) {
  backend_server_record record = Record("a");
  record.slots = 1;
  AddServer(record);
  Submit(Request(1));
  Submit(Request(2));
  const send_attempt running = OnlyAttempt();
  dispatcher_->SetSendingAllowed(false, now_, &effects_);
  Submit(Request(3));
  for (const auto& finished : Take<finish_request>()) {
    EXPECT_EQ(finished.result.code, result_code::kControlLeaseExpired);
    EXPECT_TRUE(finished.result.not_run);
    EXPECT_NE(finished.result.id, shard_request_id{1});
  }
  Reply(running.attempt, attempt_reply_kind::kOk);
  EXPECT_EQ(OnlyResult().code, result_code::kOk);
  EXPECT_TRUE(Take<send_attempt>().empty());
}

// Guards against requests that wait for a searcher that is unreachable but not
// yet reported lost, and against sending work to one that serves another
// version.
TEST_F(shard_dispatcher_test,
       QueuedRequest_NoReplicaReachable_FailsImmediately) {
  dispatcher_->UpdateBackendServer(Record("a"), now_, &effects_);
  Submit(Request(1));
  for (const auto& e : Take<open_connection>()) {
    dispatcher_->OnConnectionFailed(e.connection, now_, &effects_);
  }
  EXPECT_EQ(OnlyResult().code, result_code::kNoServingReplica);
  backend_server_record record = Record("b");
  record.versions = {index_version{8}};
  AddServer(record);
  Submit(Request(2));
  EXPECT_EQ(OnlyResult().code, result_code::kVersionGone);
}

// Guards against slow attempts that delay an answer, and against hedging
// requests that must run at most once or may crash searchers.
TEST_F(shard_dispatcher_test,
       SlowAttempt_IdempotentOrCanary_IsHedgedOnlyIfSafe) {
  policy_.canary_wait = options_.initial_hedge_delay + milliseconds(30);
  for (const bool idempotent : {true, false}) {
    for (const bool canary : {true, false}) {
      Restart();
      AddServer(Record("a"));
      AddServer(Record("b"));
      shard_request request = Request(1);
      request.idempotent = idempotent;
      request.canary = canary;
      Submit(request);
      const send_attempt first = OnlyAttempt();
      Advance(options_.initial_hedge_delay - duration{1});
      EXPECT_TRUE(Take<send_attempt>().empty());
      Advance(duration{1});
      if (canary) {
        EXPECT_TRUE(Take<send_attempt>().empty());
        Advance(policy_.canary_wait - options_.initial_hedge_delay);
      }
      const auto hedges = Take<send_attempt>();
      ASSERT_EQ(hedges.size(), idempotent ? 1u : 0u);
      if (hedges.empty()) continue;
      EXPECT_NE(hedges[0].server.replica, first.server.replica);
      Reply(hedges[0].attempt, attempt_reply_kind::kOk);
      EXPECT_EQ(Take<cancel_attempt>().at(0).attempt, first.attempt);
      EXPECT_EQ(OnlyResult().attempts, 2u);
    }
  }
}

// Guards against holding a request for a fast replica that has stopped
// replying.
TEST_F(shard_dispatcher_test,
       HeldRequest_FastReplicaHangs_IsSentToSlowReplica) {
  policy_.hedging = false;
  Restart();
  AddServer(Record("a"));
  AddServer(Record("b"));
  Submit(Request(1));
  Submit(Request(2));
  const auto first = Take<send_attempt>();
  ASSERT_EQ(first.size(), 2u);
  Advance(milliseconds(10));
  Reply(first[0].attempt, attempt_reply_kind::kOk);
  Advance(milliseconds(90));
  Reply(first[1].attempt, attempt_reply_kind::kOk);
  const std::string fast = first[0].server.replica;
  for (std::uint64_t id = 11; id <= 13; ++id) Submit(Request(id));
  const auto fast_attempts = Take<send_attempt>();
  ASSERT_EQ(fast_attempts.size(), 2u);
  EXPECT_EQ(fast_attempts[0].server.replica, fast);
  EXPECT_EQ(fast_attempts[1].server.replica, fast);
  Advance(milliseconds(20));
  EXPECT_TRUE(Take<send_attempt>().empty());
  for (int i = 0; i < 8; ++i) Advance(milliseconds(10));
  EXPECT_NE(OnlyAttempt().server.replica, fast);
}

// Guards against running work for a lost origin, and against cancelling
// non-idempotent work that may still succeed.
TEST_F(shard_dispatcher_test, OriginLost_RunningWork_CancelsOnlyIdempotent) {
  AddServer(Record("a"));
  shard_request non_idempotent = Request(1);
  non_idempotent.idempotent = false;
  Submit(non_idempotent);
  Submit(Request(2));
  Submit(Request(3));
  const auto attempts = Take<send_attempt>();
  dispatcher_->OnOriginDisconnected("origin", now_, &effects_);
  const auto cancelled = Take<cancel_attempt>();
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, attempts[1].attempt);
  Reply(attempts[0].attempt, attempt_reply_kind::kOk);
  EXPECT_TRUE(Take<finish_request>().empty());
  EXPECT_TRUE(Take<send_attempt>().empty());
}

// Guards against a decision that is recorded without its reason or inputs.
TEST_F(shard_dispatcher_test,
       Decision_FirstAttempt_RecordsReasonAndCandidates) {
  AddServer(Record("a"));
  AddServer(Record("b"));
  Submit(Request(1));
  const auto decisions = Take<dispatch_decision>();
  ASSERT_EQ(decisions.size(), 1u);
  EXPECT_EQ(ToString(decisions[0].reason), "first_attempt");
  EXPECT_EQ(decisions[0].replica, OnlyAttempt().server.replica);
  EXPECT_EQ(decisions[0].candidates.size(), 2u);
}

}  // namespace
}  // namespace bilberrycourse
