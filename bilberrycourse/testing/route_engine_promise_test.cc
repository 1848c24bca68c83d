#include <gtest/gtest.h>

#include <memory>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::seconds;

// Callers take these statuses as the promise that a request has not run and
// never will, and send it again.
constexpr unsigned kPromises[] = {408, 429, 503};
constexpr unsigned kFailures[] = {302, 400, 409, 500, 502, 504, 599};
// A reply has none of these statuses.
constexpr unsigned kInvalidStatuses[] = {0, 42, 100, 101, 199, 600, 700, 999};

class route_engine_promise_test : public ::testing::Test {
 protected:
  // Searchers that answer with `status`, without a proof that they did not run
  // the request. Returns the answer to the caller.
  static finish_route_request Answer(bool idempotent, unsigned status) {
    route_engine_rig rig;
    rig.AddRoute("desk", 0, idempotent);
    for (const char* id : {"k1", "k2", "k3"}) rig.AddSearcher("desk", id);
    rig.Begin(1, "desk");
    for (std::size_t i = 0; i < rig.sends.size(); ++i) {
      rig.AnswerWith(rig.sends.at(i), route_engine_rig::Reply(status, "s"));
    }
    EXPECT_EQ(rig.finished.size(), 1u) << status;
    return rig.finished.empty() ? finish_route_request() : rig.finished.back();
  }

  // The same with the report of a relay.
  static finish_route_request AnswerOfRelay(shard_report report) {
    route_engine_rig rig;
    rig.AddRoute("desk", 0, false);
    rig.Begin(1, "desk", seconds(2), {{"e2", {0}}});
    report.final = true;
    route_effects effects;
    rig.engine.OnRelayReport(route_request_id{1}, 0, report, rig.now, &effects);
    rig.Execute(&effects);
    EXPECT_EQ(rig.finished.size(), 1u);
    return rig.finished.empty() ? finish_route_request() : rig.finished.back();
  }
};

// Guards against a second run of a request because its searcher failed with a
// status that promises that it has not run (review/3).
TEST_F(route_engine_promise_test, OnReply_PromiseWithoutProof_NotForwarded) {
  for (const unsigned status : kPromises) {
    const finish_route_request order = Answer(false, status);
    EXPECT_EQ(order.code, result_code::kOutcomeUnknown) << status;
    EXPECT_EQ(order.reply, nullptr) << status;
    EXPECT_EQ(order.retry_after, duration{0}) << status;
    const finish_route_request lookup = Answer(true, status);
    EXPECT_EQ(lookup.code, result_code::kBackendServerFailed) << status;
    EXPECT_EQ(lookup.reply, nullptr) << status;
    EXPECT_EQ(lookup.attempts, 2u) << status;
  }
}

// Guards against changing statuses that promise nothing.
TEST_F(route_engine_promise_test, OnReply_OtherFailure_ForwardedUnchanged) {
  for (const unsigned status : kFailures) {
    const finish_route_request order = Answer(false, status);
    ASSERT_NE(order.reply, nullptr) << status;
    EXPECT_EQ(order.reply->status, status);
  }
}

// Guards against a relay of an older build that forwards such a reply as the
// answer or as the error of its searcher.
TEST_F(route_engine_promise_test, OnRelayReport_Promise_NotForwarded) {
  for (const unsigned status : kPromises) {
    shard_report answered;
    answered.answered = {0};
    answered.stamps = {"s"};
    answered.reply = std::make_shared<const searcher_reply>(
        route_engine_rig::Reply(status, "s"));
    shard_report failed;
    failed.failed = {{0, result_code::kBackendServerFailed, false}};
    failed.reply = answered.reply;
    for (const shard_report& report : {answered, failed}) {
      const finish_route_request order = AnswerOfRelay(report);
      EXPECT_EQ(order.code, result_code::kOutcomeUnknown) << status;
      EXPECT_EQ(order.reply, nullptr) << status;
    }
  }
}

// Guards against an origin of an older build, which forwards such a reply of
// this relay.
TEST_F(route_engine_promise_test, BeginAsRelay_Promise_NotReported) {
  for (const unsigned status : kPromises) {
    route_engine_rig rig;
    rig.AddRoute("desk", 0, false);
    rig.AddSearcher("desk", "k1");
    rig.BeginAsRelay(1, "desk");
    rig.AnswerWith(rig.sends.at(0), route_engine_rig::Reply(status, "s"));
    ASSERT_EQ(rig.reports.size(), 1u) << status;
    EXPECT_EQ(rig.reports.back().reply, nullptr) << status;
    ASSERT_EQ(rig.reports.back().failed.size(), 1u) << status;
    EXPECT_FALSE(rig.reports.back().failed.front().not_run) << status;
  }
}

// Guards against a status that HTTP does not have that is forwarded as an
// answer, and against a second run of a request after it: the searcher may have
// run it, whatever its reply claims.
TEST_F(route_engine_promise_test, OnReply_InvalidStatus_IsFailure) {
  for (const unsigned status : kInvalidStatuses) {
    for (const bool idempotent : {false, true}) {
      const finish_route_request finish = Answer(idempotent, status);
      EXPECT_EQ(finish.reply, nullptr) << status;
      EXPECT_EQ(finish.code, idempotent ? result_code::kInvalidReplyStatus
                                        : result_code::kOutcomeUnknown)
          << status;
      EXPECT_EQ(finish.attempts, idempotent ? 2u : 1u) << status;
    }
    route_engine_rig rig;
    rig.AddRoute("desk", 0, false);
    for (const char* id : {"k1", "k2"}) rig.AddSearcher("desk", id);
    rig.Begin(1, "desk");
    searcher_reply reply = route_engine_rig::Reply(status, "s");
    reply.not_executed = reply.misdirected = true;
    rig.AnswerWith(rig.sends.at(0), std::move(reply));
    EXPECT_EQ(rig.sends.size(), 1u) << status;
    ASSERT_EQ(rig.finished.size(), 1u) << status;
    EXPECT_EQ(rig.finished[0].code, result_code::kOutcomeUnknown) << status;
  }
}

// Guards against a status that counts as a crash, which would quarantine the
// content of the request, and against a second run after it.
TEST_F(route_engine_promise_test, OnClosed_InvalidStatus_IsNoCrash) {
  for (const bool idempotent : {false, true}) {
    route_engine_rig rig;
    rig.AddRoute("desk", 0, idempotent);
    for (const char* id : {"k1", "k2", "k3"}) rig.AddSearcher("desk", id);
    rig.Begin(1, "desk");
    for (std::size_t i = 0; i < rig.sends.size(); ++i) {
      rig.Break(rig.sends.at(i), connection_end::kInvalidStatus);
    }
    EXPECT_EQ(rig.sends.size(), idempotent ? 2u : 1u);
    ASSERT_EQ(rig.finished.size(), 1u);
    EXPECT_EQ(rig.finished[0].code, idempotent
                                        ? result_code::kInvalidReplyStatus
                                        : result_code::kOutcomeUnknown);
    EXPECT_TRUE(rig.evidence.empty());
    EXPECT_EQ(rig.engine.counters().broken_attempts, 0u);
  }
}

// Guards against a part of a request over shards that counts as answered, or
// that no other replica is asked for.
TEST_F(route_engine_promise_test, OnReply_InvalidStatusOfPart_TriesReplica) {
  for (const unsigned status : kInvalidStatuses) {
    route_engine_rig rig;
    rig.AddRoute("all", 2, true, 2, 0.5);
    for (const char* id : {"k1", "k2"}) rig.AddSearcher("all-0", id);
    rig.AddSearcher("all-1", "k3");
    rig.Begin(1, "all");
    ASSERT_EQ(rig.sends.size(), 2u);
    const bool first = rig.sends[0].searcher != "k3";
    rig.Answer(rig.sends[first ? 1 : 0]);
    const auto failing = rig.sends[first ? 0 : 1];
    rig.AnswerWith(failing, route_engine_rig::Reply(status, "s", "records"));
    ASSERT_EQ(rig.sends.size(), 3u) << status;
    EXPECT_NE(rig.sends[2].searcher, failing.searcher);
    rig.AnswerWith(rig.sends[2], route_engine_rig::Reply(status, "s"));
    ASSERT_EQ(rig.finished.size(), 1u) << status;
    EXPECT_EQ(rig.finished[0].missing.size(), 1u) << status;
  }
}

// Guards against a relay of an older build that forwards such a reply, and
// against a second run after it.
TEST_F(route_engine_promise_test, OnRelayReport_InvalidStatus_NotForwarded) {
  for (const unsigned status : kInvalidStatuses) {
    shard_report answered;
    answered.answered = {0};
    answered.stamps = {"s"};
    answered.reply = std::make_shared<const searcher_reply>(
        route_engine_rig::Reply(status, "s"));
    shard_report failed;
    failed.failed = {{0, result_code::kBackendServerFailed, false}};
    failed.reply = answered.reply;
    for (const shard_report& report : {answered, failed}) {
      const finish_route_request order = AnswerOfRelay(report);
      EXPECT_EQ(order.code, result_code::kOutcomeUnknown) << status;
      EXPECT_EQ(order.reply, nullptr) << status;
    }
  }
}

// Guards against hiding a refusal: with a proof of every searcher, the caller
// may send the request again at once.
TEST_F(route_engine_promise_test, OnReply_EverySearcherSheds_RefusedAsNotRun) {
  route_engine_rig rig;
  rig.AddRoute("desk", 0, false);
  for (const char* id : {"k1", "k2"}) rig.AddSearcher("desk", id);
  rig.Begin(1, "desk");
  rig.Shed(rig.sends.at(0));
  rig.Shed(rig.sends.at(1));
  ASSERT_EQ(rig.finished.size(), 1u);
  EXPECT_EQ(rig.finished.back().code, result_code::kBackendServerShed);
}

}  // namespace
}  // namespace bilberrycourse
