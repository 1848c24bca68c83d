#include <gtest/gtest.h>

#include <algorithm>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class route_engine_rest_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.AddRoute("lookup", 0, true);
    rig_.AddSearcher("lookup", "k1");
    rig_.AddSearcher("lookup", "k2");
  }

  static searcher_reply Refusal(duration rest) {
    searcher_reply reply = route_engine_rig::Reply(503, "");
    reply.not_executed = true;
    reply.rest = rest;
    return reply;
  }

  // Begins requests until one is sent to the searcher, which must be idle;
  // answers the others and returns that one.
  route_engine_rig::sent_request SendTo(const std::string& searcher) {
    while (true) {
      rig_.Begin(++id_, "lookup");
      const auto sent = rig_.sends.back();
      if (sent.searcher == searcher) return sent;
      rig_.Answer(sent);
    }
  }

  // Requests that were sent to the searcher, with any result.
  std::size_t SendsTo(const std::string& searcher) const {
    return static_cast<std::size_t>(
        std::count_if(rig_.sends.begin(), rig_.sends.end(),
                      [&](const auto& s) { return s.searcher == searcher; }));
  }

  // Sends a request to the searcher and lets another one wait for it. Returns
  // the first.
  route_engine_rig::sent_request SendAndQueue(const std::string& searcher) {
    const auto first = SendTo(searcher);
    rig_.connect = false;
    while (rig_.engine.pool().Find(searcher)->waiting.empty()) {
      rig_.Begin(++id_, "lookup");
    }
    rig_.connect = true;
    return first;
  }

  // Begins a request each millisecond and answers it 10 ms later.
  void Load(duration time) {
    const time_point end = rig_.now + time;
    std::size_t answered = rig_.sends.size();
    while (rig_.now < end) {
      rig_.Begin(++id_, "lookup");
      rig_.Advance(milliseconds(1));
      while (answered < rig_.sends.size() &&
             rig_.sends[answered].at + milliseconds(10) <= rig_.now) {
        rig_.Answer(route_engine_rig::sent_request(rig_.sends[answered++]));
      }
    }
    while (answered < rig_.sends.size()) {
      rig_.Answer(route_engine_rig::sent_request(rig_.sends[answered++]));
    }
  }

  route_engine_rig rig_;
  std::uint64_t id_ = 0;
};

// Guards against first attempts, hedges and retries at a searcher that rests.
TEST_F(route_engine_rest_test, OnReply_SearcherAsksForRest_GetsNothing) {
  rig_.AnswerWith(SendTo("k1"), Refusal(seconds(3)));
  const std::size_t before = SendsTo("k1");
  rig_.Answer(rig_.sends.back());
  Load(milliseconds(2950));
  EXPECT_EQ(SendsTo("k1"), before);
  Load(seconds(3));
  EXPECT_GT(SendsTo("k1"), before);
  EXPECT_EQ(rig_.engine.counters().rests, 1u);
}

// Guards against a shorter time that ends a longer one.
TEST_F(route_engine_rest_test, OnReply_ShorterRestAfterLonger_LongerHolds) {
  rig_.Report("lookup", "k2", "a", searcher_state::kGone);
  rig_.Begin(++id_, "lookup");
  rig_.Begin(++id_, "lookup");
  ASSERT_EQ(SendsTo("k1"), 2u);
  rig_.AddSearcher("lookup", "k2");
  rig_.AnswerWith(rig_.sends[0], Refusal(seconds(5)));
  rig_.AnswerWith(rig_.sends[1], Refusal(seconds(1)));
  const std::size_t before = SendsTo("k1");
  Load(milliseconds(4900));
  EXPECT_EQ(SendsTo("k1"), before);
}

// Guards against a rest that outlives the process that asked for it.
TEST_F(route_engine_rest_test, UpdateSearchers_SearcherRestarts_UsedAgain) {
  rig_.Report("lookup", "k2", "a", searcher_state::kGone);
  rig_.AnswerWith(SendTo("k1"), Refusal(seconds(60)));
  rig_.Report("lookup", "k1", "a", searcher_state::kGone);
  rig_.AddSearcher("lookup", "k1");
  const std::size_t before = SendsTo("k1");
  rig_.Begin(++id_, "lookup");
  EXPECT_EQ(SendsTo("k1"), before + 1);
}

// Guards against requests that were queued for the searcher and are sent while
// it rests, or wait until its rest ends.
TEST_F(route_engine_rest_test, OnReply_RequestsWait_MoveToOtherSearcher) {
  const auto first = SendAndQueue("k1");
  const std::size_t before = SendsTo("k1");
  rig_.AnswerWith(first, Refusal(seconds(3)));
  EXPECT_TRUE(rig_.engine.pool().Find("k1")->waiting.empty());
  EXPECT_EQ(SendsTo("k1"), before);
}

// Guards against a request that waits until its deadline although it is known
// that no searcher will take it.
TEST_F(route_engine_rest_test, Begin_AllSearchersRest_RefusedAtOnce) {
  rig_.AnswerWith(SendTo("k1"), Refusal(milliseconds(400)));
  rig_.AnswerWith(rig_.sends.back(), Refusal(milliseconds(300)));
  rig_.Begin(++id_, "lookup");
  ASSERT_EQ(rig_.finished.back().request, route_request_id{id_});
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerShed);
  EXPECT_EQ(rig_.finished.back().elapsed, duration{0});
  EXPECT_EQ(rig_.finished.back().retry_after, duration(milliseconds(300)));
}

// Guards against sending a part of a query over shards that can't reach its
// minimum coverage.
TEST_F(route_engine_rest_test, Begin_TooFewShardsLeft_NothingSent) {
  rig_.AddRoute("lots", 4, true, 2, 0.8);
  for (int i = 0; i < 4; ++i) {
    rig_.AddSearcher("lots-" + std::to_string(i), "s" + std::to_string(i));
  }
  rig_.Begin(++id_, "lots");
  const std::vector sends = rig_.sends;
  ASSERT_EQ(sends.size(), 4u);
  rig_.AnswerWith(sends[0], Refusal(seconds(2)));
  ASSERT_EQ(rig_.finished.size(), 1u);
  const std::size_t before = rig_.sends.size();
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(rig_.sends.size(), before);
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerShed);
  EXPECT_GT(rig_.finished.back().retry_after, duration{0});
}

// Guards against a burst at the end of a rest that many searchers took at once.
TEST_F(route_engine_rest_test, Dispatch_RestHasEnded_OneRequestAtATime) {
  rig_.Report("lookup", "k2", "a", searcher_state::kGone);
  rig_.AnswerWith(SendTo("k1"), Refusal(seconds(2)));
  rig_.Advance(seconds(2));
  const std::size_t before = SendsTo("k1");
  for (int i = 0; i < 5; ++i) rig_.Begin(++id_, "lookup");
  EXPECT_EQ(SendsTo("k1"), before + 1);
}

// Guards against requests that wait for a searcher which leaves, and are sent
// to it after it may have stopped.
TEST_F(route_engine_rest_test, OnReply_SearcherLeaves_WaitingRequestsMove) {
  const auto first = SendAndQueue("k1");
  const std::size_t before = SendsTo("k1");
  searcher_reply reply = route_engine_rig::Reply(200, "k1", "body");
  reply.leaving = true;
  rig_.AnswerWith(first, std::move(reply));
  EXPECT_TRUE(rig_.engine.pool().Find("k1")->waiting.empty());
  // Another heartbeat of the searcher that was sent before changes nothing.
  rig_.AddSearcher("lookup", "k1");
  Load(seconds(1));
  EXPECT_EQ(SendsTo("k1"), before);
  // A new process of the searcher is used again.
  rig_.Report("lookup", "k1", "a", searcher_state::kGone);
  rig_.AddSearcher("lookup", "k1");
  Load(milliseconds(100));
  EXPECT_GT(SendsTo("k1"), before);
}

// Guards against permissions of a limited searcher that are used while it
// rests.
TEST_F(route_engine_rest_test, OnLimitReply_SearcherRests_NothingSent) {
  rig_.Report("lookup", "k2", "a", searcher_state::kGone);
  const auto first = SendTo("k1");
  searcher_reply limited = route_engine_rig::Reply(200, "k1");
  limited.limit = {true, 5.0};
  rig_.AnswerWith(first, std::move(limited));
  rig_.Begin(++id_, "lookup");
  ASSERT_FALSE(rig_.limit_requests.empty());
  limit_reply reply;
  reply.id = rig_.limit_requests.back().id;
  reply.allocated = true;
  limit_grant grant;
  grant.statement = rig_.limit_requests.back().wants.at(0).statement;
  grant.granted = 3;
  reply.grants = {grant};
  rig_.ReplyToLimitRequest(reply);
  const auto second = rig_.sends.back();
  ASSERT_NE(second.request, first.request);
  searcher_reply refusal = Refusal(seconds(2));
  refusal.limit = {true, 5.0};
  rig_.AnswerWith(second, std::move(refusal));
  const std::size_t before = SendsTo("k1");
  rig_.Begin(++id_, "lookup");
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerShed);
  EXPECT_EQ(SendsTo("k1"), before);
}

}  // namespace
}  // namespace bilberrycourse
