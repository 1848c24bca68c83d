#include "bilberrycourse/crash_evidence.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class crash_evidence_test : public ::testing::Test {
 protected:
  static backend_server_key Server(std::uint32_t id) {
    return {{"service", id}, "a"};
  }

  void Crash(crash_evidence* evidence, std::uint32_t server,
             std::uint64_t incarnation, std::vector<fingerprint> contents) {
    evidence->RecordCrash({Server(server), incarnation, contents}, now_);
  }

  crash_verdict Verdict(fingerprint content) {
    return evidence_.Verdict(content, now_);
  }

  static constexpr fingerprint kContent{1};
  crash_evidence evidence_;
  time_point now_{};
};

// Guards against a content that crashes more than two searchers.
TEST_F(crash_evidence_test, Verdict_ByCrashes_SuspectThenCondemned) {
  EXPECT_EQ(Verdict(kContent), crash_verdict::kUnknown);
  Crash(&evidence_, 1, 1, {kContent, fingerprint{2}});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
  // The same crash, reported again.
  Crash(&evidence_, 1, 1, {kContent});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
  now_ += milliseconds(500);
  Crash(&evidence_, 2, 1, {kContent});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
  EXPECT_EQ(Verdict(fingerprint{2}), crash_verdict::kSuspect);
  evidence_.RecordSuccess(kContent, now_);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
}

// Guards against a content that crashes the last replica of a shard repeatedly.
TEST_F(crash_evidence_test, Verdict_SameSearcherThreeTimes_Condemned) {
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    EXPECT_NE(Verdict(kContent), crash_verdict::kCondemned);
    now_ += seconds(1);
    Crash(&evidence_, 1, incarnation, {kContent});
  }
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
}

// Guards against a harmless content that is condemned because the searchers of
// one availability zone crash while they run it.
TEST_F(crash_evidence_test, Crashes_OfOneIncident_CountOnce) {
  for (std::uint32_t server = 1; server <= 7; ++server) {
    Crash(&evidence_, server, 1, {kContent, fingerprint{100 + server}});
    now_ += milliseconds(50);
  }
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
  EXPECT_TRUE(evidence_.InCrashCooldown(kContent, now_));
  now_ += milliseconds(500);
  EXPECT_FALSE(evidence_.InCrashCooldown(kContent, now_));
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
  Crash(&evidence_, 8, 1, {kContent});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
}

// Guards against condemning a popular content that was in flight in two
// unrelated crashes.
TEST_F(crash_evidence_test, Success_AfterOneCrash_ClearsCrash) {
  Crash(&evidence_, 1, 1, {kContent});
  now_ += seconds(1);
  evidence_.RecordSuccess(kContent, now_);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kRecentlyGood);
  Crash(&evidence_, 1, 1, {kContent});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kRecentlyGood);
  now_ += seconds(1);
  Crash(&evidence_, 2, 1, {kContent});
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
}

// Guards against harmless contents that are refused because one searcher is
// unreliable.
TEST_F(crash_evidence_test,
       Crashes_OfOneSearcherWithDifferentContents_MarkItUnreliable) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    Crash(&evidence_, 1, i, {fingerprint{10 + i}});
  }
  EXPECT_TRUE(evidence_.IsUnreliable(Server(1), now_));
  EXPECT_EQ(Verdict(fingerprint{11}), crash_verdict::kUnknown);
  Crash(&evidence_, 2, 1, {fingerprint{11}});
  EXPECT_EQ(Verdict(fingerprint{11}), crash_verdict::kSuspect);
  // Searchers that crash with one content in common are not unreliable.
  for (std::uint32_t server = 5; server < 7; ++server) {
    now_ += seconds(1);
    Crash(&evidence_, server, 1, {kContent, fingerprint{server}});
  }
  EXPECT_FALSE(evidence_.IsUnreliable(Server(5), now_));
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
}

// Guards against verdicts that never expire and against unbounded memory.
TEST_F(crash_evidence_test, Expiry_AfterTenMinutes_ErasesAll) {
  Crash(&evidence_, 1, 1, {kContent});
  now_ += seconds(1);
  Crash(&evidence_, 2, 1, {kContent});
  evidence_.RecordSuccess(fingerprint{2}, now_);
  now_ += minutes(10) - seconds(2);
  evidence_.Tick(now_);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
  now_ += seconds(2);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kUnknown);
  EXPECT_EQ(Verdict(fingerprint{2}), crash_verdict::kUnknown);
  evidence_.Tick(now_);
  EXPECT_EQ(evidence_.suspect_content_count(), 0u);
  EXPECT_EQ(evidence_.successful_content_count(), 0u);
}

// Guards against memory that grows with the number of distinct contents.
TEST_F(crash_evidence_test, Capacity_Exceeded_OldestIsEvicted) {
  crash_evidence_options options;
  options.max_suspects = 2;
  options.max_successful_contents = 2;
  options.max_servers = 1;
  crash_evidence small(options);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    now_ += seconds(1);
    Crash(&small, i, 1, {fingerprint{i}});
    small.RecordSuccess(fingerprint{100 + i}, now_);
  }
  EXPECT_EQ(small.suspect_content_count(), 2u);
  EXPECT_EQ(small.successful_content_count(), 2u);
  EXPECT_EQ(small.Verdict(fingerprint{5}, now_), crash_verdict::kSuspect);
  EXPECT_EQ(small.Verdict(fingerprint{1}, now_), crash_verdict::kUnknown);
}

// Guards against instances that disagree, count a crash twice, or restore a
// crash that a success cleared.
TEST_F(crash_evidence_test, Merge_OtherInstance_AgreesAndIsIdempotent) {
  crash_evidence other;
  Crash(&evidence_, 1, 1, {kContent});
  const auto before_success = evidence_.Export(now_);
  now_ += seconds(1);
  Crash(&other, 2, 1, {kContent});
  EXPECT_TRUE(evidence_.Merge(other.Export(now_), now_));
  EXPECT_FALSE(evidence_.Merge(other.Export(now_), now_));
  EXPECT_TRUE(other.Merge(evidence_.Export(now_), now_));
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
  EXPECT_EQ(other.Verdict(kContent, now_), crash_verdict::kCondemned);

  crash_evidence third;
  EXPECT_TRUE(third.Merge(before_success, now_));
  now_ += seconds(1);
  third.RecordSuccess(kContent, now_);
  crash_evidence fourth;
  EXPECT_TRUE(fourth.Merge(before_success, now_ - seconds(1)));
  EXPECT_TRUE(fourth.Merge(third.Export(now_), now_));
  EXPECT_EQ(fourth.Verdict(kContent, now_), crash_verdict::kRecentlyGood);
  EXPECT_FALSE(fourth.Merge(before_success, now_));
  EXPECT_EQ(fourth.Verdict(kContent, now_), crash_verdict::kRecentlyGood);
}

// Guards against condemning content that many callers share, because unrelated
// searchers of several services crash while they run it.
TEST_F(crash_evidence_test, Crashes_SuccessElsewhereSince_DoNotAddUp) {
  const backend_server_key first{{"first", 0}, "a"};
  const backend_server_key second{{"second", 0}, "b"};
  evidence_.RecordCrash({first, 1, {kContent}}, now_);
  now_ += seconds(1);
  EXPECT_TRUE(evidence_.RecordServiceSuccess(kContent, "third", now_));
  EXPECT_FALSE(evidence_.RecordServiceSuccess(kContent, "third", now_));
  now_ += seconds(1);
  evidence_.RecordCrash({second, 1, {kContent}}, now_);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kSuspect);
  EXPECT_TRUE(evidence_.RecordServiceSuccess(kContent, "first", now_));
  EXPECT_TRUE(evidence_.RecordServiceSuccess(kContent, "second", now_));
  EXPECT_EQ(Verdict(kContent), crash_verdict::kUnknown);
}

// Guards against an instance that refuses a content for as long as the verdict
// holds, because the others cleared it before it learned of the crashes.
TEST_F(crash_evidence_test,
       RecordServiceSuccess_ClearedBefore_RefreshedAtTimes) {
  evidence_.RecordCrash({{{"first", 0}, "a"}, 1, {kContent}}, now_);
  now_ += seconds(1);
  EXPECT_TRUE(evidence_.RecordServiceSuccess(kContent, "first", now_));
  std::size_t passed_on = 0;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    if (evidence_.RecordServiceSuccess(kContent, "first", now_)) ++passed_on;
    EXPECT_FALSE(i > 0 &&
                 evidence_.RecordServiceSuccess(kContent, "other", now_));
  }
  EXPECT_GE(passed_on, 4u);
  EXPECT_LE(passed_on, 5u);
}

// Guards against content that crashes one service being cleared by the answers
// of the others.
TEST_F(crash_evidence_test, Crashes_OfOneServiceOnly_Condemn) {
  for (const char* searcher : {"a", "b"}) {
    evidence_.RecordCrash({{{"first", 0}, searcher}, 1, {kContent}}, now_);
    now_ += seconds(1);
    evidence_.RecordServiceSuccess(kContent, "second", now_);
  }
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
}

// Guards against instances that disagree for as long as a verdict holds,
// because a success reached one of them after the second crash.
TEST_F(crash_evidence_test, Merge_ServiceSuccessArrivesLate_EndsVerdict) {
  evidence_.RecordCrash({{{"first", 0}, "a"}, 1, {kContent}}, now_);
  crash_evidence other;
  other.Merge(evidence_.Export(now_), now_);
  now_ += seconds(1);
  other.RecordServiceSuccess(kContent, "first", now_);
  const auto late = other.Export(now_);
  evidence_.RecordCrash({{{"first", 0}, "b"}, 1, {kContent}}, now_);
  EXPECT_EQ(Verdict(kContent), crash_verdict::kCondemned);
  EXPECT_TRUE(evidence_.Merge(late, now_));
  EXPECT_NE(Verdict(kContent), crash_verdict::kCondemned);
  // The crash and its clearing reach a third instance in one message.
  crash_evidence third;
  third.Merge(evidence_.Export(now_), now_);
  EXPECT_EQ(third.Verdict(kContent, now_), Verdict(kContent));
}

// Guards against equal fingerprints of different contents.
TEST_F(crash_evidence_test, MakeFingerprint_BoundaryMoved_Differs) {
  EXPECT_NE(MakeFingerprint("ab", "c"), MakeFingerprint("a", "bc"));
  EXPECT_EQ(MakeFingerprint("ab", "c"), MakeFingerprint("ab", "c"));
}

}  // namespace
}  // namespace bilberrycourse
