#include <gtest/gtest.h>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An instance that has 5.3 s from its SIGTERM to its last answer. Callers wait
// 8 s, and the latency objectives are 100 ms.
class route_engine_stop_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.AddRoute("order", 0, false);
    rig_.AddRoute("lookup", 0, true);
    rig_.AddRoute("lots", 4, true);
    for (const char* name : {"order", "lookup", "lots"}) {
      rig_.Route(name)->timeout = seconds(8);
    }
    rig_.Apply();
    for (const char* service :
         {"order", "lookup", "lots-0", "lots-1", "lots-2", "lots-3"}) {
      rig_.AddSearcher(service, std::string(service) + "-a");
    }
  }

  void Stop() {
    route_effects effects;
    rig_.engine.StopAt(rig_.now + milliseconds(5300), rig_.now, &effects);
    rig_.Execute(&effects);
  }
  bool Sent(const std::string& route, duration time_left = seconds(8)) {
    const std::size_t before = rig_.sends.size();
    rig_.Begin(++id_, route, time_left);
    return rig_.sends.size() > before;
  }

  route_engine_rig rig_;
  std::uint64_t id_ = 0;
};

// Guards against a request that is sent although the process may end before its
// searcher answers: 3.2 s after SIGTERM with 2.5 s of work (review/4).
TEST_F(route_engine_stop_test, Begin_OrderMayOutliveProcess_RefusedAsNotRun) {
  Stop();
  rig_.Advance(milliseconds(3200));
  EXPECT_FALSE(Sent("order"));
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kShuttingDown);
  EXPECT_EQ(rig_.finished.back().elapsed, duration{0});
  EXPECT_LE(rig_.finished.back().retry_after, duration(milliseconds(20)));
}

// Guards against refusing what certainly ends in time.
TEST_F(route_engine_stop_test, Begin_DeadlineBeforeStop_Sent) {
  EXPECT_TRUE(Sent("order"));
  Stop();
  rig_.Advance(seconds(3));
  EXPECT_TRUE(Sent("order", milliseconds(2300)));
  EXPECT_FALSE(Sent("order", milliseconds(2301)));
}

// Guards against refusing repeatable requests for the whole grace period, and
// against sending them when their usual time no longer fits.
TEST_F(route_engine_stop_test, Begin_Repeatable_SentWhileUsualTimeFits) {
  Stop();
  rig_.Advance(milliseconds(5200));
  EXPECT_TRUE(Sent("lookup"));
  EXPECT_TRUE(Sent("lots"));
  rig_.Advance(milliseconds(1));
  EXPECT_FALSE(Sent("lookup"));
  EXPECT_FALSE(Sent("lots"));
  EXPECT_EQ(rig_.finished.back().code, result_code::kShuttingDown);
}

// Guards against a connection that ends without an answer when the process
// ends.
TEST_F(route_engine_stop_test, StopAt_RequestsInFlight_AnsweredByThen) {
  rig_.Route("order")->latency_objective = seconds(8);
  rig_.Apply();
  ASSERT_TRUE(Sent("order"));
  Stop();
  rig_.Advance(milliseconds(5299));
  EXPECT_TRUE(rig_.finished.empty());
  rig_.Advance(milliseconds(1));
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kOutcomeUnknown);
}

// Guards against sending a request after SIGTERM that was read before it.
TEST_F(route_engine_stop_test, StopAt_OrderWaitsForConnection_RefusedAsNotRun) {
  rig_.connect = false;
  rig_.AddRoute("call", 0, false);
  rig_.Route("call")->timeout = seconds(8);
  rig_.Apply();
  rig_.AddSearcher("call", "call-a");
  EXPECT_FALSE(Sent("call"));
  Stop();
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kShuttingDown);
}

// Guards against the same by a retry.
TEST_F(route_engine_stop_test, StopAt_SearcherSheds_RefusedAsNotRun) {
  rig_.AddSearcher("order", "order-b");
  ASSERT_TRUE(Sent("order"));
  Stop();
  rig_.Shed(rig_.sends.back());
  EXPECT_EQ(rig_.sends.size(), 1u);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerShed);
}

// Guards against losing the shards that have answered by the end.
TEST_F(route_engine_stop_test, StopAt_EnoughShardsAnswered_AnswersThem) {
  rig_.Route("lots")->latency_objective = seconds(8);
  rig_.Apply();
  ASSERT_TRUE(Sent("lots"));
  Stop();
  for (int i = 0; i < 3; ++i) rig_.Answer(rig_.sends.at(i));
  rig_.Advance(milliseconds(5300));
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kOk);
  EXPECT_EQ(rig_.finished.back().stamps.size(), 3u);
}

// Guards against a relay that takes shards that it can't search any more.
TEST_F(route_engine_stop_test, Begin_AsRelay_ReportsNotRun) {
  Stop();
  rig_.Advance(milliseconds(5250));
  rig_.BeginAsRelay(++id_, "lots");
  EXPECT_TRUE(rig_.sends.empty());
  ASSERT_EQ(rig_.reports.size(), 1u);
  EXPECT_TRUE(rig_.reports.back().final);
  ASSERT_EQ(rig_.reports.back().failed.size(), 4u);
  EXPECT_TRUE(rig_.reports.back().failed.front().not_run);
  EXPECT_EQ(rig_.reports.back().failed.front().code,
            result_code::kShuttingDown);
}

// Guards against missing shards because a relay stops.
TEST_F(route_engine_stop_test, OnRelayReport_RelayStops_OriginSearches) {
  rig_.Begin(++id_, "lots", seconds(2), {{"e2", {0, 1, 2, 3}}});
  ASSERT_EQ(rig_.relayed.size(), 1u);
  shard_report report;
  for (std::size_t i = 0; i < 4; ++i) {
    report.failed.push_back({i, result_code::kShuttingDown, true});
  }
  report.final = true;
  route_effects effects;
  rig_.engine.OnRelayReport(route_request_id{id_}, 0, report, rig_.now,
                            &effects);
  rig_.Execute(&effects);
  EXPECT_EQ(rig_.sends.size(), 4u);
  EXPECT_TRUE(rig_.finished.empty());
}

}  // namespace
}  // namespace bilberrycourse
