#include "bilberrycourse/membership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "bilberrycourse/testing/soft_state_network.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSize = 8;

class membership_test : public ::testing::Test {
 protected:
  membership_test() { Settle(); }
  void Settle() {
    net_.RunUntil([&] { return net_.ViewsAgree(); }, seconds(10));
    ASSERT_TRUE(net_.ViewsAgree());
  }
  std::optional<instance_status> StatusAt(std::size_t at, std::size_t of) {
    return net_.node(at).members.Status(net_.NameOf(of));
  }

  soft_state_network net_{kSize};
};

// Guards against instances that discover only their seeds.
TEST_F(membership_test, Start_OnlySeedsKnown_AllViewsAgreeWithin2s) {
  EXPECT_LE(net_.now() - time_point{}, seconds(2));
  net_.Run(seconds(20));
  EXPECT_TRUE(net_.ViewsAgree());
  EXPECT_EQ(net_.TotalRemovals(), 0);
}

// Guards against a dead instance that is detected late or never.
TEST_F(membership_test, Tick_InstanceDies_AllOthersRemoveItWithin2500ms) {
  for (std::size_t victim = 0; victim < 3; ++victim) {
    net_.node(victim).running = false;
    const duration elapsed =
        net_.RunUntil([&] { return net_.ViewsAgree(); }, seconds(10));
    EXPECT_LE(elapsed, milliseconds(2500));
  }
}

// Guards against the removal or suspicion of a healthy instance by a single bad
// link, one way or both.
TEST_F(membership_test, Tick_OneLinkCut_SuspectsNobody) {
  net_.Cut(0, 1);
  net_.Run(seconds(20));
  net_.CutBoth(0, 1);
  net_.Run(seconds(20));
  EXPECT_TRUE(net_.ViewsAgree());
  EXPECT_EQ(net_.TotalRemovals(), 0);
  for (std::size_t i = 0; i < kSize; ++i) {
    EXPECT_EQ(net_.node(i).members.counters().suspicions, 0u) << i;
  }
}

// Guards against a partition that only one side detects, and against sides that
// do not find each other after it heals, even if all seeds are dead.
TEST_F(membership_test, Tick_PartitionAndSeedsDead_BothSidesNoticeAndRejoin) {
  net_.node(0).running = net_.node(1).running = false;
  net_.Run(seconds(6));
  net_.node(2).side = net_.node(3).side = 1;
  net_.Run(seconds(6));
  EXPECT_EQ(net_.node(2).members.alive().size(), 2u);
  EXPECT_EQ(net_.node(7).members.alive().size(), 4u);
  net_.Heal();
  const duration elapsed =
      net_.RunUntil([&] { return net_.ViewsAgree(); }, seconds(30));
  EXPECT_LE(elapsed, seconds(5));
}

// Guards against isolated instances whose outdated claims remove healthy
// instances when they return.
TEST_F(membership_test, Tick_IsolatedInstancesReturn_RemoveNobodyElse) {
  net_.node(6).side = net_.node(7).side = 1;
  net_.Run(seconds(10));
  EXPECT_EQ(net_.node(7).members.alive().size(), 2u);
  net_.Heal();
  const duration elapsed =
      net_.RunUntil([&] { return net_.ViewsAgree(); }, seconds(30));
  EXPECT_LE(elapsed, seconds(5));
  net_.Run(seconds(5));
  EXPECT_TRUE(net_.ViewsAgree());
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(net_.node(i).removals.size(), 2u) << i;
    EXPECT_TRUE(net_.node(i).removals.contains("e6"));
    EXPECT_TRUE(net_.node(i).removals.contains("e7"));
  }
}

// Guards against a single wrong claim that removes a healthy instance before
// it can refute, and against claims that are ignored.
TEST_F(membership_test, Merge_ClaimOfDeath_SuspectsUntilRefutedOrTimedOut) {
  for (const bool refutes : {true, false}) {
    net_.node(3).running = refutes;
    soft_state_node& n = net_.node(0);
    soft_record claim = *n.gossip.Find(record_kind::kInstance, "e3");
    claim.version.sequence = static_cast<std::uint64_t>(instance_status::kDead);
    n.members.Merge(claim, false, net_.now(), &n.membership_out);
    EXPECT_EQ(StatusAt(0, 3), instance_status::kSuspect);
    EXPECT_EQ(n.members.alive().size(), kSize);
    net_.Process(0);
    net_.Run(milliseconds(1100));
    EXPECT_EQ(StatusAt(0, 3),
              refutes ? instance_status::kAlive : instance_status::kDead);
  }
}

// Guards against an instance that returns from isolation and spreads its claims
// about all others, so that every instance has to refute.
TEST_F(membership_test, Tick_IsolatedInstanceReturns_WithdrawsItsClaims) {
  net_.Isolate(7);
  net_.Run(seconds(10));
  net_.Heal();
  net_.Run(seconds(10));
  EXPECT_TRUE(net_.ViewsAgree());
  std::uint64_t refutations = 0;
  for (std::size_t i = 0; i < 7; ++i) {
    refutations += net_.node(i).members.counters().refutations;
  }
  EXPECT_LE(refutations, 2u);
}

// Guards against a paused instance that stays removed after it resumes, or that
// suspects the others because of its own pause.
TEST_F(membership_test, Tick_PausedInstanceResumes_RefutesAndSuspectsNobody) {
  const std::uint64_t before = net_.node(4).members.self().incarnation;
  const auto& counters = net_.node(4).members.counters();
  const std::uint64_t probes = counters.probes;
  // Pauses the instance while the ack of a probe is in transit.
  net_.RunUntil([&] { return counters.probes > probes; }, seconds(1));
  net_.node(4).running = false;
  net_.Run(seconds(5));
  EXPECT_EQ(StatusAt(0, 4), instance_status::kDead);
  // The first tick is processed before the queued messages.
  net_.node(4).running = true;
  net_.node(4).members.Tick(net_.now(), &net_.node(4).membership_out);
  net_.Process(4);
  const duration elapsed =
      net_.RunUntil([&] { return net_.ViewsAgree(); }, seconds(10));
  EXPECT_LE(elapsed, seconds(2));
  EXPECT_GT(net_.node(4).members.self().incarnation, before);
  EXPECT_EQ(net_.node(4).members.counters().suspicions, 0u);
  EXPECT_TRUE(net_.node(4).removals.empty());
}

// Guards against a restarted process that is mistaken for the previous one,
// also if its clock stepped back.
TEST_F(membership_test, Start_AfterRestart_RejoinsWithHigherIncarnation) {
  for (const std::uint64_t incarnation : {2000ull, 5ull}) {
    const std::uint64_t known = net_.node(0).members.Find("e5")->incarnation;
    net_.Restart(5, incarnation);
    net_.Run(seconds(3));
    EXPECT_TRUE(net_.ViewsAgree());
    EXPECT_GT(net_.node(0).members.Find("e5")->incarnation, known);
  }
}

// Guards against a leaving instance that stays in views until it times out.
TEST_F(membership_test, Leave_Always_RemovedFromAllViewsWithin300ms) {
  const std::uint64_t term = net_.node(0).members.view_term();
  net_.node(3).members.Leave(net_.now(), &net_.node(3).membership_out);
  net_.Process(3);
  net_.Run(milliseconds(300));
  EXPECT_TRUE(net_.ViewsAgree());
  EXPECT_EQ(StatusAt(0, 3), instance_status::kLeaving);
  EXPECT_GT(net_.node(0).members.view_term(), term);
  EXPECT_EQ(net_.TotalRemovals(), 0);
}

// Guards against relayed freshness that is reported as newer than it was
// measured.
TEST_F(membership_test, SetFreshness_Relayed_NeverNewerThanMeasured) {
  const time_point confirmed = net_.now() - milliseconds(70);
  net_.node(1).members.SetFreshness({9, 12, milliseconds(70)}, net_.now());
  net_.CutBoth(0, 1);  // Freshness is also relayed by other instances.
  net_.node(0).freshness.clear();
  net_.Run(seconds(5));
  int reports = 0;
  for (const freshness_received& f : net_.node(0).freshness) {
    if (f.from != "e1") continue;
    ++reports;
    EXPECT_EQ(f.freshness.config_version, 9u);
    EXPECT_LE(*f.probe_sent_at - f.freshness.age, confirmed);
  }
  EXPECT_GT(reports, 0);
}

// Guards against malformed bytes that have an effect.
TEST_F(membership_test, Receive_Malformed_CountedWithoutEffect) {
  auto& n = net_.node(0);
  const std::string inputs[] = {"", "x", std::string(200, '\xff'),
                                std::string(64, '\0')};
  for (const std::string& bytes : inputs) {
    n.members.Receive("e1", bytes, net_.now(), &n.membership_out);
    n.gossip.Receive("e1", bytes, net_.now(), &n.gossip_out);
  }
  EXPECT_EQ(n.members.counters().malformed, std::size(inputs));
  EXPECT_TRUE(n.membership_out.empty());
  EXPECT_TRUE(n.gossip_out.empty());
}

}  // namespace
}  // namespace bilberrycourse
