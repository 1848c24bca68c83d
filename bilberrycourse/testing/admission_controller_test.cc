#include "bilberrycourse/admission_controller.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class admission_controller_test : public ::testing::Test {
 protected:
  admission_controller_test() {
    admission_controller_options options;
    options.adaptive = false;
    options.max_waiting_per_scope = 100;
    options.max_callers_per_scope = 20;
    controller_ = std::make_unique<admission_controller>(options);
  }
  void SetLimit(std::uint32_t limit) {
    controller_->SetLimit("group", limit, now_, &out_);
  }
  void Request(const std::string& origin, std::uint64_t query,
               const std::string& caller, std::uint32_t weight = 1,
               bool running = false) {
    admission_request request;
    request.query = query_id{query};
    request.scope = "group";
    request.caller = caller;
    request.weight = weight;
    request.deadline = now_ + milliseconds(1000);
    request.running = running;
    controller_->OnRequest(origin, request, now_, &out_);
  }
  void Release(const std::string& origin, std::uint64_t query,
               duration queue_wait = {}) {
    controller_->OnRelease(
        origin, {query_id{query}, "group", true, queue_wait, milliseconds(10)},
        now_, &out_);
  }
  // Returns the queries with this verdict and clears the effects.
  std::vector<std::uint64_t> Take(admission_verdict verdict) {
    std::vector<std::uint64_t> queries;
    for (const admission_reply& reply : out_) {
      if (reply.decision.verdict == verdict) {
        queries.push_back(static_cast<std::uint64_t>(reply.decision.query));
      }
    }
    out_.clear();
    return queries;
  }
  admission_scope_status Status() { return *controller_->Status("group"); }

  using list = std::vector<std::uint64_t>;
  std::unique_ptr<admission_controller> controller_;
  time_point now_{};
  admission_controller::effects out_;
};

// Guards against more running queries than the limit allows.
TEST_F(admission_controller_test, Request_LimitReached_WaitsForARelease) {
  SetLimit(2);
  for (std::uint64_t query = 1; query <= 3; ++query) Request("a", query, "c");
  Request("a", 1, "c");
  EXPECT_EQ(out_.back().decision.verdict, admission_verdict::kQueued);
  EXPECT_EQ(Take(admission_verdict::kGranted), (list{1, 2}));
  Release("b", 1);
  EXPECT_TRUE(out_.empty()) << "query ids are per origin";
  Release("a", 1);
  Release("a", 1);
  EXPECT_EQ(Take(admission_verdict::kGranted), (list{3}));
  EXPECT_EQ(Status().running, 2u);
}

// Guards against refusals later than max_wait, and against grants of requests
// that the origin has withdrawn.
TEST_F(admission_controller_test, Tick_WaitEnds_IsRefusedOnce) {
  SetLimit(1);
  Request("a", 1, "c");
  Request("a", 2, "c");
  Request("a", 3, "c");
  Release("a", 3);
  out_.clear();
  EXPECT_EQ(controller_->next_due(), now_ + milliseconds(15));
  now_ += milliseconds(15);
  controller_->Tick(now_, &out_);
  ASSERT_EQ(out_.size(), 1u);
  EXPECT_EQ(out_[0].decision.code, result_code::kOverloaded);
  EXPECT_GE(out_[0].decision.retry_after, milliseconds(50));
  EXPECT_EQ(Take(admission_verdict::kRefused), (list{2}));
  Release("a", 1);
  EXPECT_TRUE(out_.empty());
  EXPECT_EQ(Status().callers, 0u);
}

// Guards against capacity that stays in use after the link to an origin broke
// or a release was lost.
TEST_F(admission_controller_test, OriginLostOrReleaseLost_FreesGrants) {
  SetLimit(2);
  Request("a", 1, "c");
  Request("a", 2, "c");
  Request("a", 3, "c");
  Request("b", 3, "c");
  out_.clear();
  controller_->OnOriginDisconnected("a", now_, &out_);
  ASSERT_EQ(out_.size(), 1u);
  EXPECT_EQ(out_[0].origin, "b");
  EXPECT_EQ(Status().running, 1u);
  now_ += milliseconds(1500);
  controller_->Tick(now_, &out_);
  EXPECT_EQ(Status().running, 0u);
  EXPECT_EQ(Status().expired, 1u);
}

// Guards against a caller that delays others by sending more requests, over any
// origin.
TEST_F(admission_controller_test, Queue_HeavyCaller_SharesByWeight) {
  SetLimit(1);
  Request("a", 1000, "first");
  for (std::uint64_t i = 0; i < 30; ++i) Request("a", 1 + i, "heavy");
  for (std::uint64_t i = 0; i < 10; ++i) {
    Request("b", 100 + i, "light");
    Request("b", 200 + i, "weighted", 2);
  }
  out_.clear();
  std::map<std::uint64_t, int> granted;
  std::uint64_t running = 1000;
  std::string origin = "a";
  for (int i = 0; i < 16; ++i) {
    Release(origin, running);
    ASSERT_EQ(out_.size(), 1u);
    origin = out_[0].origin;
    running = Take(admission_verdict::kGranted).at(0);
    ++granted[running / 100];
  }
  EXPECT_EQ(granted[0], 4);
  EXPECT_EQ(granted[1], 4);
  EXPECT_EQ(granted[2], 8);
}

// Guards against refusing a caller below its share because another caller uses
// the whole limit.
TEST_F(admission_controller_test, Request_BelowShare_IsGrantedAtOnce) {
  SetLimit(10);
  for (std::uint64_t i = 0; i < 12; ++i) Request("a", i, "heavy");
  out_.clear();
  for (std::uint64_t i = 0; i < 7; ++i) Request("b", 100 + i, "light");
  EXPECT_EQ(Take(admission_verdict::kGranted).size(), 5u);
  for (std::uint64_t i = 0; i < 5; ++i) Release("a", i);
  EXPECT_TRUE(out_.empty()) << "running queries beyond the limit end first";
  Release("b", 100);
  EXPECT_EQ(Take(admission_verdict::kGranted), (list{105}));
}

// Guards against unbounded memory and against waits that exceed max_wait.
TEST_F(admission_controller_test, Request_TooMany_IsRefusedAtOnce) {
  SetLimit(1);
  Request("a", 1, "c0");
  now_ += milliseconds(100);
  Release("a", 1);  // The residence time is 100 ms.
  Request("a", 2, "c0");
  out_.clear();
  Request("a", 3, "c0");
  EXPECT_EQ(Take(admission_verdict::kRefused), (list{3}));
  for (std::uint64_t i = 0; i < 300; ++i) {
    Request("a", 10 + i, "d" + std::to_string(i), 1, true);
  }
  EXPECT_TRUE(out_.empty()) << "running queries are counted, not decided";
  EXPECT_EQ(Status().running, 301u);
  EXPECT_EQ(Status().callers, 20u);
}

// Guards against a limit that ignores the queues at the shards or falls below
// the slots of the smallest shard.
TEST_F(admission_controller_test, Limit_FollowsReportedQueueWait) {
  controller_ = std::make_unique<admission_controller>();
  controller_->SetFloor("group", 8);
  std::uint64_t next = 0;
  std::uint64_t oldest = 0;
  const auto run = [&](duration queue_wait) {
    for (int i = 0; i < 3000; ++i) {
      now_ += milliseconds(1);
      while (Status().running < Status().limit) Request("a", next++, "c");
      Release("a", oldest++, queue_wait);
    }
  };
  run({});
  const std::uint32_t high = Status().limit;
  EXPECT_GT(high, 32u);
  run(milliseconds(100));
  EXPECT_EQ(Status().limit, 8u);
}

}  // namespace
}  // namespace bilberrycourse
