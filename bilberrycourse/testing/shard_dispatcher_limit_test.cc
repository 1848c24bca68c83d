#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "bilberrycourse/shard_dispatcher.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr index_version kVersion{7};
constexpr double kLimit = 10;

// One shard whose searchers reply after 5 ms and may state a request limit.
class shard_dispatcher_limit_test : public ::testing::Test {
 protected:
  void SetUp() override {
    options_.ramp_successes = 0;
    dispatcher_ = std::make_unique<shard_dispatcher>(options_);
    dispatcher_->SetPolicy("target", {});
    dispatcher_->SetSendingAllowed(true, now_, &effects_);
    dispatcher_->SetShardOwned(shard_, true, now_, &effects_);
  }

  void AddServer(const std::string& replica) {
    backend_server_record record;
    record.key = {shard_, replica};
    record.slots = 8;
    record.connection_limit = 25;
    record.versions = {kVersion};
    dispatcher_->UpdateBackendServer(record, now_, &effects_);
    Apply();
  }

  void Submit() {
    shard_request request;
    request.id = shard_request_id{++id_};
    request.shard = shard_;
    request.version = kVersion;
    request.deadline = now_ + seconds(1);
    request.caller = "caller";
    request.scope = "target";
    request.content = fingerprint{id_};
    dispatcher_->Submit("origin", request, now_, &effects_);
    Apply();
  }

  // Submits 100 requests a second.
  void RunLoad(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      Submit();
      for (int i = 0; i < 2; ++i) {
        now_ += milliseconds(5);
        ReplyToAll();
        dispatcher_->Tick(now_, &effects_);
        Apply();
      }
    }
  }

  // Submits requests until the searcher gets one, and refuses that with a wish
  // for rest.
  void RefuseNext(const std::string& replica, duration rest) {
    while (true) {
      Submit();
      const send_attempt sent = unanswered_.back();
      if (sent.server.replica != replica) {
        ReplyToAll();
        continue;
      }
      unanswered_.pop_back();
      attempt_reply refusal;
      refusal.kind = attempt_reply_kind::kShed;
      refusal.rest = rest;
      dispatcher_->OnReply(sent.attempt, refusal, now_, &effects_);
      Apply();
      return;
    }
  }

  void ReplyToAll() {
    for (const send_attempt& sent : std::exchange(unanswered_, {})) {
      attempt_reply reply;
      reply.version = kVersion;
      if (sent.server.replica == "a") reply.limit = limit_;
      dispatcher_->OnReply(sent.attempt, reply, now_, &effects_);
      Apply();
    }
  }

  void Apply() {
    for (const dispatch_effect& effect : std::exchange(effects_, {})) {
      if (const auto* open = std::get_if<open_connection>(&effect)) {
        dispatcher_->OnConnectionOpened(open->connection, now_, &effects_);
        Apply();
      } else if (const auto* send = std::get_if<send_attempt>(&effect)) {
        unanswered_.push_back(*send);
        if (send->server.replica == "a") ++sent_to_limited_;
      } else if (const auto* finish = std::get_if<finish_request>(&effect)) {
        results_.push_back(finish->result);
      }
    }
  }

  const shard_key shard_{"catalogue", 3};
  dispatch_options options_;
  time_point now_ = time_point(seconds(100));
  dispatch_effects effects_;
  std::unique_ptr<shard_dispatcher> dispatcher_;
  std::uint64_t id_ = 0;
  stated_limit limit_{true, kLimit};
  std::vector<send_attempt> unanswered_;
  std::size_t sent_to_limited_ = 0;
  std::vector<shard_result> results_;
};

// Guards against an owner that sends a searcher more than the limit that it
// states, and against a request that waits for its deadline meanwhile.
TEST_F(shard_dispatcher_limit_test, OnReply_LimitStated_OwnerKeepsToIt) {
  AddServer("a");
  RunLoad(seconds(1));
  sent_to_limited_ = 0;
  results_.clear();
  RunLoad(seconds(4));
  EXPECT_LE(sent_to_limited_, 1.5 * 4 * kLimit + 5);
  EXPECT_GE(sent_to_limited_, 4 * kLimit - 2);
  ASSERT_GE(results_.size(), 395u);
  std::size_t refused = 0;
  for (const shard_result& result : results_) {
    if (result.code == result_code::kOk) continue;
    EXPECT_EQ(result.code, result_code::kBackendServerLimited);
    EXPECT_TRUE(result.not_run);
    ++refused;
  }
  EXPECT_GE(refused, 350u);
}

// Guards against refusals although another replica has room.
TEST_F(shard_dispatcher_limit_test, Submit_OtherReplicaUnlimited_TakesTheRest) {
  AddServer("a");
  AddServer("b");
  RunLoad(seconds(1));
  sent_to_limited_ = 0;
  RunLoad(seconds(4));
  EXPECT_LE(sent_to_limited_, 1.5 * 4 * kLimit + 5);
  for (const shard_result& result : results_) {
    EXPECT_EQ(result.code, result_code::kOk);
  }
}

// Guards against a limit that outlasts its statement, and against a malformed
// one that lifts it.
TEST_F(shard_dispatcher_limit_test, OnReply_LimitNotStated_IsLifted) {
  AddServer("a");
  RunLoad(seconds(1));
  limit_ = {true, std::nullopt};
  RunLoad(seconds(1));
  sent_to_limited_ = 0;
  RunLoad(seconds(1));
  EXPECT_LE(sent_to_limited_, kLimit + 3);
  limit_ = {};
  RunLoad(seconds(1));
  sent_to_limited_ = 0;
  RunLoad(seconds(1));
  EXPECT_GE(sent_to_limited_, 95u);
}

// Guards against attempts at a searcher that has asked for rest.
TEST_F(shard_dispatcher_limit_test, OnReply_SearcherAsksForRest_GetsNothing) {
  limit_ = {};
  AddServer("a");
  AddServer("b");
  RefuseNext("a", seconds(2));
  sent_to_limited_ = 0;
  RunLoad(milliseconds(1900));
  EXPECT_EQ(sent_to_limited_, 0u);
  RunLoad(seconds(1));
  EXPECT_GT(sent_to_limited_, 0u);
}

// Guards against requests that wait for a rest to end although it is known that
// no replica will take them.
TEST_F(shard_dispatcher_limit_test, Submit_AllSearchersRest_RefusedAtOnce) {
  limit_ = {};
  AddServer("a");
  RefuseNext("a", seconds(2));
  results_.clear();
  Submit();
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_.back().code, result_code::kBackendServerShed);
  EXPECT_TRUE(results_.back().not_run);
}

}  // namespace
}  // namespace bilberrycourse
