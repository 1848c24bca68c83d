#include <gtest/gtest.h>

#include <algorithm>

#include "bilberrycourse/crash_news.h"
#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr fingerprint kCrashing{7};
constexpr fingerprint kHarmless{8};

class route_engine_crash_test : public ::testing::Test {
 protected:
  void SetUp() override {
    rig_.AddRoute("lookup", 0, true);
    rig_.AddRoute("order", 0, false);
    rig_.AddRoute("lots", 4, true, 2, 1.0);
    for (int i = 0; i < 8; ++i) {
      rig_.AddSearcher("lookup", "k" + std::to_string(i));
      rig_.AddSearcher("order", "o" + std::to_string(i));
      rig_.AddSearcher("lots-" + std::to_string(i % 4),
                       "s" + std::to_string(i));
    }
    rig_.content = kCrashing;
  }

  // Begins a request and crashes its searcher. Returns false if the request was
  // refused before it was sent.
  bool BeginAndCrash(const std::string& route) {
    const std::size_t sent = rig_.sends.size();
    rig_.Begin(++id_, route);
    if (rig_.sends.size() == sent) return false;
    rig_.Crash(rig_.sends.back().searcher);
    return true;
  }

  // Begins a request whose shards a relay searches. The route keeps an attempt
  // for the origin.
  void BeginAtRelay() {
    rig_.AddRoute("wide", 4, true, 3, 1.0);
    for (int i = 0; i < 4; ++i) {
      rig_.AddSearcher("wide-" + std::to_string(i), "w" + std::to_string(i));
    }
    rig_.Begin(++id_, "wide", seconds(2), {{"e2", {0, 1, 2, 3}}});
    ASSERT_EQ(rig_.relayed.size(), 1u);
  }
  // A route over ten shards with two searchers each.
  void AddTenShards() {
    rig_.AddRoute("ten", 10, true);
    for (int i = 0; i < 20; ++i) {
      rig_.AddSearcher("ten-" + std::to_string(i % 10),
                       "t" + std::to_string(i));
    }
  }
  // Opens the connections that are being opened, or lets them fail.
  void ResolveProbes(connection_end end) {
    for (const auto& open : std::exchange(rig_.opened, {})) {
      route_effects effects;
      if (end == connection_end::kNotOpened) {
        rig_.engine.OnClosed(open.connection, end, rig_.now, &effects);
      } else {
        rig_.engine.OnOpened(open.connection, rig_.now, &effects);
      }
      rig_.Execute(&effects);
    }
  }
  void LoseRelay() {
    route_effects effects;
    rig_.engine.OnRelayLost("e2", rig_.now, &effects);
    rig_.Execute(&effects);
  }

  // Condemns kCrashing by the evidence of other instances.
  static std::vector<crash_evidence_record> TwoCrashes() {
    return {{kCrashing, false, {{"order", 0}, "x1"}, 1, seconds(5)},
            {kCrashing, false, {{"order", 0}, "x2"}, 1, seconds(2)}};
  }

  std::size_t SendsOf(std::uint64_t id) const {
    return static_cast<std::size_t>(std::count_if(
        rig_.sends.begin(), rig_.sends.end(), [&](const auto& sent) {
          return sent.request == route_request_id{id};
        }));
  }

  route_engine_rig rig_;
  std::uint64_t id_ = 0;
};

// Guards against copies of a request that crash searcher after searcher.
TEST_F(route_engine_crash_test, Begin_ContentCrashedTwice_RefusedAsNotRun) {
  EXPECT_TRUE(BeginAndCrash("order"));
  rig_.Advance(seconds(1));
  EXPECT_TRUE(BeginAndCrash("order"));
  for (int i = 0; i < 20; ++i) {
    rig_.Advance(seconds(1));
    EXPECT_FALSE(BeginAndCrash("order"));
    EXPECT_EQ(rig_.finished.back().code, result_code::kContentQuarantined);
    EXPECT_GT(rig_.finished.back().retry_after, duration(minutes(9)));
    EXPECT_EQ(rig_.finished.back().elapsed, duration{0});
  }
  EXPECT_EQ(rig_.quarantines, 1u);
  EXPECT_EQ(rig_.engine.counters().quarantine_refusals, 20u);
}

// Guards against a verdict that never ends.
TEST_F(route_engine_crash_test, Begin_VerdictExpired_SentAgain) {
  rig_.MergeEvidence(TwoCrashes());
  rig_.Begin(++id_, "order");
  EXPECT_EQ(rig_.finished.back().code, result_code::kContentQuarantined);
  rig_.Advance(rig_.finished.back().retry_after + milliseconds(1));
  rig_.Begin(++id_, "order");
  EXPECT_EQ(SendsOf(id_), 1u);
}

// Guards against copies at such short intervals that all their crashes count as
// one incident.
TEST_F(route_engine_crash_test, Begin_CopiesAtShortIntervals_RefusedSoon) {
  std::size_t crashes = 0;
  for (int i = 0; i < 8; ++i) {
    if (BeginAndCrash("order")) ++crashes;
    rig_.Advance(milliseconds(180));
  }
  EXPECT_LE(crashes, 4u);
}

// Guards against refusing what an instance had in flight when it was cut off:
// that looks like a crash of its searchers, and callers send it again
// elsewhere.
TEST_F(route_engine_crash_test, Begin_JustAfterFirstCrash_Sent) {
  rig_.MergeEvidence({{kCrashing, false, {{"order", 0}, "x1"}, 1, {}}});
  for (const char* route : {"order", "lookup", "lots"}) {
    rig_.Begin(++id_, route);
    EXPECT_EQ(SendsOf(id_), 1u) << route;
  }
}

// Guards against a search for the shards of a lost relay that repeats a crash.
TEST_F(route_engine_crash_test, OnRelayLost_SuspectedContent_NotSearched) {
  BeginAtRelay();
  rig_.MergeEvidence({TwoCrashes().front()});
  LoseRelay();
  EXPECT_EQ(SendsOf(id_), 0u);
  EXPECT_EQ(rig_.finished.size(), 1u);
}

// Guards against missing shards because the same content has succeeded before.
TEST_F(route_engine_crash_test, OnRelayLost_ContentSucceededBefore_Searched) {
  rig_.Begin(++id_, "lookup");
  rig_.Answer(rig_.sends.back());
  BeginAtRelay();
  LoseRelay();
  EXPECT_EQ(SendsOf(id_), 4u);
}

// Guards against giving up an order that a relay may be running.
TEST_F(route_engine_crash_test, OnCrashEvidence_OrderAtRelay_AwaitsItsReport) {
  rig_.Begin(++id_, "order", seconds(2), {{"e2", {0}}});
  ASSERT_EQ(rig_.relayed.size(), 1u);
  rig_.MergeEvidence(TwoCrashes());
  EXPECT_TRUE(rig_.finished.empty());
}

// Guards against a retry that crashes a second searcher for each copy.
TEST_F(route_engine_crash_test, OnClosed_SuspectedContent_NotRetried) {
  rig_.Begin(++id_, "lookup");
  rig_.Crash(rig_.sends.back().searcher);
  EXPECT_EQ(SendsOf(id_), 2u);
  rig_.Crash(rig_.sends.back().searcher);
  rig_.Advance(seconds(1));
  rig_.Begin(++id_, "lookup");
  rig_.Advance(milliseconds(60));
  rig_.Crash(rig_.sends.back().searcher);
  EXPECT_EQ(SendsOf(id_), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerCrashed);
}

// Guards against harmless requests that are blamed for the crash of the
// searcher on which they happened to run.
TEST_F(route_engine_crash_test, OnReply_ContentSucceedsAfterCrash_Cleared) {
  for (int i = 0; i < 5; ++i) {
    rig_.content = kHarmless;
    rig_.Begin(++id_, "lookup");
    rig_.Crash(rig_.sends.back().searcher);
    ASSERT_EQ(SendsOf(id_), 2u) << "round " << i;
    rig_.Answer(rig_.sends.back());
    EXPECT_EQ(rig_.finished.back().code, result_code::kOk);
    EXPECT_TRUE(rig_.evidence.back().success);
    rig_.Advance(seconds(1));
  }
  EXPECT_EQ(rig_.quarantines, 0u);
}

// Guards against evidence from a connection that was only reset, and from a
// searcher that breaks off its replies.
TEST_F(route_engine_crash_test, OnClosed_SearcherAcceptsConnection_NoEvidence) {
  for (int i = 0; i < 5; ++i) {
    rig_.Begin(++id_, "order");
    rig_.Break(rig_.sends.back());
    rig_.Advance(seconds(1));
  }
  EXPECT_TRUE(rig_.evidence.empty());
  EXPECT_EQ(SendsOf(id_), 1u);
}

// Guards against evidence from a searcher that was told to stop.
TEST_F(route_engine_crash_test, OnClosed_SearcherDrains_NoEvidence) {
  rig_.Begin(++id_, "order");
  const std::string searcher = rig_.sends.back().searcher;
  rig_.Report("order", searcher, "a", searcher_state::kDraining);
  rig_.Crash(searcher);
  EXPECT_TRUE(rig_.evidence.empty());
}

// Guards against condemning what runs when a zone is lost: many searchers end
// at once, which is one incident.
TEST_F(route_engine_crash_test, OnClosed_ManySearchersAtOnce_OneIncident) {
  rig_.content = kHarmless;
  rig_.Begin(++id_, "lots");
  const auto sends = rig_.sends;
  for (const auto& sent : sends) rig_.Crash(sent.searcher);
  rig_.Advance(seconds(1));
  rig_.Begin(++id_, "lots");
  EXPECT_GE(SendsOf(id_), 1u);
}

// Guards against the first copy of a query over shards that takes down both
// searchers of each shard.
TEST_F(route_engine_crash_test, OnClosed_ManyShardsCrash_SecondReplicasSpared) {
  AddTenShards();
  rig_.connect = false;
  rig_.Begin(++id_, "ten");
  const auto sends = rig_.sends;
  ASSERT_EQ(sends.size(), 10u);
  for (const auto& sent : sends) rig_.Break(sent);
  // The first two losses may be anything.
  EXPECT_EQ(SendsOf(id_), 12u);
  rig_.Advance(milliseconds(15));
  ResolveProbes(connection_end::kNotOpened);
  EXPECT_EQ(SendsOf(id_), 12u);
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerFailed);
}

// Guards against queries that fail because many connections of this instance
// were reset at once.
TEST_F(route_engine_crash_test, OnClosed_ManyConnectionsReset_ShardsSentAgain) {
  AddTenShards();
  rig_.connect = false;
  rig_.Begin(++id_, "ten");
  for (const auto& sent : std::vector(rig_.sends)) rig_.Break(sent);
  rig_.Advance(milliseconds(15));
  ResolveProbes(connection_end::kLost);
  EXPECT_EQ(SendsOf(id_), 20u);
}

// Guards against shards that stay missing for content that is known to be
// harmless when a zone is lost.
TEST_F(route_engine_crash_test, OnClosed_ContentSucceededBefore_SentAtOnce) {
  AddTenShards();
  rig_.Begin(++id_, "ten");
  for (const auto& sent : std::vector(rig_.sends)) rig_.Answer(sent);
  rig_.connect = false;
  const std::size_t before = rig_.sends.size();
  rig_.Begin(++id_, "ten");
  const std::vector sends(rig_.sends.begin() + before, rig_.sends.end());
  for (const auto& sent : sends) rig_.Break(sent);
  EXPECT_EQ(SendsOf(id_), 20u);
}

// Guards against a copy of a query over shards that takes down a searcher of
// each shard although its content is suspected.
TEST_F(route_engine_crash_test, Begin_SuspectedQuery_TriesOneShardFirst) {
  rig_.MergeEvidence({TwoCrashes().front()});
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 1u);
  rig_.Crash(rig_.sends.back().searcher);
  EXPECT_EQ(SendsOf(id_), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerCrashed);
}

TEST_F(route_engine_crash_test, OnReply_CanaryAnswers_SendsToOtherShards) {
  rig_.MergeEvidence({TwoCrashes().front()});
  rig_.Begin(++id_, "lots");
  rig_.Answer(rig_.sends.back());
  ASSERT_EQ(SendsOf(id_), 4u);
  for (const auto& sent : std::vector(rig_.sends)) rig_.Answer(sent);
  EXPECT_EQ(rig_.finished.back().code, result_code::kOk);
  EXPECT_EQ(rig_.finished.back().stamps.size(), 4u);
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 4u);
}

// Guards against a shared content that loses its hedges, retries and parallel
// shards each time a searcher ends.
TEST_F(route_engine_crash_test, Begin_SuspectedButSucceededBefore_AsUsual) {
  rig_.Begin(++id_, "lots");
  for (const auto& sent : std::vector(rig_.sends)) rig_.Answer(sent);
  ASSERT_EQ(rig_.finished.back().code, result_code::kOk);
  rig_.MergeEvidence({TwoCrashes().front()});
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 4u);
  rig_.Advance(milliseconds(60));
  EXPECT_EQ(SendsOf(id_), 8u);
}

// Guards against refusing a content that many callers share, because the report
// of one crash was delayed and looks like a second one (soak seed 862: 864
// requests refused).
TEST_F(route_engine_crash_test, Begin_CondemnedButSucceededBefore_TriedOnce) {
  rig_.Begin(++id_, "lookup");
  rig_.Answer(rig_.sends.back());
  rig_.Begin(++id_, "lots");
  for (const auto& sent : std::vector(rig_.sends)) rig_.Answer(sent);
  rig_.MergeEvidence({{kCrashing, false, {{"lookup", 0}, "x1"}, 1, seconds(5)},
                      {kCrashing, false, {{"lookup", 0}, "x2"}, 1, {}}});
  EXPECT_EQ(rig_.quarantines, 0u);
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 1u);
  rig_.Begin(++id_, "lookup");
  rig_.Advance(milliseconds(60));
  EXPECT_EQ(SendsOf(id_), 1u);
  rig_.evidence.clear();
  rig_.Answer(rig_.sends.back());
  // This clears the verdict here and elsewhere.
  ASSERT_EQ(rig_.evidence.size(), 1u);
  EXPECT_TRUE(rig_.evidence.back().success);
  rig_.Begin(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 4u);
}

// Guards against evidence that is dropped because a connection that was being
// opened before the crash opens after it.
TEST_F(route_engine_crash_test, OnOpened_OpeningBeganBeforeLoss_ProvesNothing) {
  rig_.AddRoute("single", 0, false);
  rig_.AddSearcher("single", "z1");
  rig_.Begin(++id_, "single");
  rig_.connect = false;
  rig_.content = kHarmless;
  rig_.Begin(++id_, "single");
  ASSERT_EQ(rig_.opened.size(), 1u);
  const connection_id earlier = rig_.opened.front().connection;
  rig_.opened.clear();
  rig_.Break(rig_.sends.front());
  route_effects effects;
  rig_.engine.OnOpened(earlier, rig_.now, &effects);
  rig_.Execute(&effects);
  rig_.Break(rig_.sends.back());
  rig_.Advance(milliseconds(20));
  ASSERT_FALSE(rig_.opened.empty());
  rig_.engine.OnClosed(rig_.opened.front().connection,
                       connection_end::kNotOpened, rig_.now, &effects);
  rig_.Execute(&effects);
  EXPECT_TRUE(std::any_of(
      rig_.evidence.begin(), rig_.evidence.end(),
      [](const auto& record) { return record.content == kCrashing; }));
}

// Guards against a copy that waits here while another one crashes the second
// searcher.
TEST_F(route_engine_crash_test, OnClosed_SecondCrashSeenHere_EndsWaitingCopy) {
  EXPECT_TRUE(BeginAndCrash("order"));
  rig_.Advance(seconds(1));
  rig_.AddRoute("fresh", 0, false);
  rig_.connect = false;
  rig_.AddSearcher("fresh", "f1");
  rig_.Begin(++id_, "fresh");
  const std::uint64_t waiting = id_;
  rig_.Begin(++id_, "order");
  const auto order = rig_.sends.back();
  rig_.Break(order);
  rig_.Advance(milliseconds(15));
  const auto probe = std::find_if(
      rig_.opened.begin(), rig_.opened.end(),
      [&](const auto& open) { return open.address == order.searcher + ":80"; });
  ASSERT_NE(probe, rig_.opened.end());
  route_effects effects;
  rig_.engine.OnClosed(probe->connection, connection_end::kNotOpened, rig_.now,
                       &effects);
  rig_.Execute(&effects);
  EXPECT_EQ(rig_.quarantines, 1u);
  EXPECT_EQ(SendsOf(waiting), 0u);
  EXPECT_TRUE(
      std::any_of(rig_.finished.begin(), rig_.finished.end(),
                  [&](const finish_route_request& finish) {
                    return finish.request == route_request_id{waiting} &&
                           finish.code == result_code::kContentQuarantined;
                  }));
}

// Guards against copies that were accepted before the verdict and crash further
// searchers after it.
TEST_F(route_engine_crash_test, OnCrashEvidence_Condemned_EndsWaitingCopies) {
  rig_.connect = false;
  for (int i = 0; i < 8; ++i) {
    rig_.AddSearcher("fresh", "f" + std::to_string(i));
  }
  rig_.AddRoute("fresh", 0, false);
  rig_.Begin(++id_, "fresh");
  EXPECT_EQ(SendsOf(id_), 0u);
  rig_.MergeEvidence(TwoCrashes());
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kContentQuarantined);
}

TEST_F(route_engine_crash_test, OnCrashEvidence_CopyRuns_IdempotentAborted) {
  rig_.Begin(++id_, "lookup");
  const connection_id connection = rig_.sends.back().connection;
  rig_.MergeEvidence(TwoCrashes());
  EXPECT_EQ(rig_.closed, std::vector{connection});
  EXPECT_EQ(rig_.finished.back().code, result_code::kBackendServerFailed);
}

// Guards against `not run` for an order that has been sent.
TEST_F(route_engine_crash_test, OnCrashEvidence_OrderRuns_AwaitsItsReply) {
  rig_.Begin(++id_, "order");
  rig_.MergeEvidence(TwoCrashes());
  EXPECT_TRUE(rig_.finished.empty());
  rig_.Answer(rig_.sends.back());
  EXPECT_EQ(rig_.finished.back().code, result_code::kOk);
}

// Guards against a crash of the entry instance that refuses a request before
// its relays have been asked, and against cancels of what no relay has.
TEST_F(route_engine_crash_test, Begin_CondemnedWithRelays_RefusedAsNotRun) {
  rig_.MergeEvidence(TwoCrashes());
  rig_.Begin(++id_, "lots", seconds(2), {{"e2", {0, 1}}, {"e3", {2, 3}}});
  ASSERT_EQ(rig_.finished.size(), 1u);
  EXPECT_EQ(rig_.finished.back().code, result_code::kContentQuarantined);
  EXPECT_TRUE(rig_.relayed.empty());
  EXPECT_TRUE(rig_.relay_cancels.empty());
}

// The same for an instance that has no room for the request.
TEST_F(route_engine_crash_test, Begin_FullWithRelays_RefusedAsNotRun) {
  route_engine_options options = route_engine_rig::Options();
  options.max_requests = 0;
  route_engine_rig full(options);
  full.AddRoute("lots", 4, true);
  full.Begin(1, "lots", seconds(2), {{"e2", {0, 1}}, {"e3", {2, 3}}});
  ASSERT_EQ(full.finished.size(), 1u);
  EXPECT_EQ(full.finished.back().code, result_code::kOverloaded);
  EXPECT_TRUE(full.relayed.empty());
  EXPECT_TRUE(full.relay_cancels.empty());
}

// Guards against a relay that runs condemned content for its origin.
TEST_F(route_engine_crash_test, Begin_CondemnedAtRelay_ReportsNotRun) {
  rig_.MergeEvidence(TwoCrashes());
  rig_.BeginAsRelay(++id_, "lots");
  EXPECT_EQ(SendsOf(id_), 0u);
  ASSERT_EQ(rig_.reports.size(), 1u);
  ASSERT_EQ(rig_.reports.back().failed.size(), 4u);
  EXPECT_TRUE(rig_.reports.back().failed.front().not_run);
}

// Guards against instances that each have to lose searchers of their own.
TEST_F(route_engine_crash_test, CrashNews_CrashesAtTwoInstances_AllRefuse) {
  crash_news news;
  route_engine_rig other;
  other.AddRoute("order", 0, false);
  other.AddSearcher("order", "p1");
  other.content = kCrashing;
  EXPECT_TRUE(BeginAndCrash("order"));
  news.Receive(rig_.evidence, rig_.now);
  other.now = rig_.now + seconds(1);
  other.MergeEvidence(news.Take(other.now));
  other.Begin(1, "order");
  other.Crash("p1");
  news.Receive(other.evidence, other.now);
  rig_.now = other.now;
  rig_.MergeEvidence(news.Take(rig_.now));
  EXPECT_FALSE(BeginAndCrash("order"));
  EXPECT_TRUE(news.Take(rig_.now).empty());
  // An instance that starts later learns it as well.
  EXPECT_EQ(news.All(rig_.now).size(), 2u);
  // So does a new leader.
  EXPECT_EQ(rig_.engine.CrashEvidence(seconds(0), rig_.now).size(), 2u);
}

// Bounds the news when hundreds of instances report the loss of a zone.
TEST_F(route_engine_crash_test, CrashNews_ManyContents_Bounded) {
  crash_news news;
  for (std::uint64_t i = 0; i < 3 * crash_news::kMaxNews; ++i) {
    news.Receive({{fingerprint{100 + i}, false, {{"s", 0}, "x"}, i, {}}},
                 rig_.now);
  }
  std::size_t passed_on = 0;
  while (true) {
    const std::size_t taken = news.Take(rig_.now).size();
    if (taken == 0) break;
    EXPECT_LE(taken, crash_news::kMaxNewsPerMessage);
    passed_on += taken;
  }
  EXPECT_LE(passed_on, crash_news::kMaxNews);
}

}  // namespace
}  // namespace bilberrycourse
