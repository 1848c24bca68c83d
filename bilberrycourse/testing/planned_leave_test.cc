#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "bilberrycourse/testing/consensus_cluster.h"

namespace bilberrycourse {
namespace {

// Ticks of 10 ms that a stopping process has at most.
constexpr std::size_t kGraceTicks = 500;
// Ticks within which a group elects a leader and commits an entry.
constexpr std::size_t kRecoveryTicks = 300;
constexpr std::size_t kVoters = 5;

struct leave_case {
  const char* name;
  std::size_t spares;
  // Instances that leave, as offsets from the leader.
  std::vector<std::size_t> leaving;
  std::size_t ticks_between;
  // Disks that are lost right after the last one has left, and voters that are
  // down from before the first leave.
  std::size_t lost_disks;
  std::size_t down;
};

const leave_case kLeaveCases[] = {
    {"Leader", 1, {0}, 0, 2, 0},
    {"Follower", 1, {1}, 0, 2, 0},
    {"TwoAtOnce", 2, {1, 3}, 0, 2, 0},
    {"LeaderThenFollower", 2, {0, 2}, 50, 2, 0},
    {"ThreeHalfASecondApart", 3, {0, 1, 2}, 50, 2, 0},
    {"FollowersThenLeader", 3, {3, 4, 0}, 50, 2, 0},
    {"OneVoterDown", 2, {1}, 0, 1, 1},
    {"LeaderWhileOneVoterDown", 2, {0}, 0, 1, 1},
};

class planned_leave_test : public ::testing::TestWithParam<leave_case> {};

std::vector<std::size_t> RunningVoters(consensus_cluster& cluster) {
  std::vector<std::size_t> voters;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.at(i).member != nullptr &&
        cluster.oracle().membership.IsVoter(cluster.at(i).id)) {
      voters.push_back(i);
    }
  }
  return voters;
}

// Guards against a member that takes its vote along when it leaves although a
// spare runs: until the vote is replaced, the group bears one loss less, and
// two lost disks of five end it.
TEST_P(planned_leave_test, Leave_ThenDisksLost_GroupStaysAvailable) {
  const leave_case& c = GetParam();
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    cluster_options options;
    options.voters = kVoters;
    options.spares = c.spares;
    options.seed = seed;
    consensus_cluster cluster(options);
    cluster.Run(kRecoveryTicks);
    const std::size_t leader = cluster.leader();
    ASSERT_LT(leader, cluster.size());
    for (int i = 0; i < 30; ++i) {
      cluster.Propose(leader);
      cluster.Run(1);
    }
    for (std::size_t i = 0; i < c.down; ++i) {
      cluster.Crash((leader + kVoters - 1 - i) % kVoters, 0);
    }
    for (const std::size_t offset : c.leaving) {
      cluster.Leave((leader + offset) % kVoters);
      cluster.Run(c.ticks_between);
    }
    ASSERT_LT(cluster.EndLeaving(kGraceTicks), kGraceTicks);

    // The newest leader and the followers behind it lose their disks at once.
    const std::size_t successor = cluster.leader();
    std::size_t lost = 0;
    if (successor < cluster.size() && lost < c.lost_disks) {
      cluster.Wipe(successor);
      ++lost;
    }
    for (const std::size_t i : RunningVoters(cluster)) {
      if (lost == c.lost_disks) break;
      cluster.Wipe(i);
      ++lost;
    }
    ASSERT_EQ(lost, c.lost_disks);
    const std::size_t committed = cluster.oracle().committed.size();
    cluster.Run(kRecoveryTicks);
    ASSERT_LT(cluster.leader(), cluster.size());
    cluster.Propose(cluster.leader());
    cluster.Run(20);
    EXPECT_GT(cluster.oracle().committed.size(), committed);
    EXPECT_EQ(cluster.violation(), "");
  }
}

INSTANTIATE_TEST_SUITE_P(All, planned_leave_test,
                         ::testing::ValuesIn(kLeaveCases),
                         [](const auto& info) { return info.param.name; });

class leave_after_lost_disk_test : public ::testing::Test {};

// Guards against a group that gives up a voter that leaves in place of the lost
// identity of a wiped instance: a new leader takes the lost identity for alive
// until it has been silent long enough.
TEST_F(leave_after_lost_disk_test, LeaderLeaves_LostIdentityIsRemovedFirst) {
  constexpr std::size_t kVotersOfThree = 3;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    cluster_options options;
    options.voters = kVotersOfThree;
    options.spares = 2;
    options.seed = seed;
    consensus_cluster cluster(options);
    cluster.Run(kRecoveryTicks);
    const std::size_t leader = cluster.leader();
    ASSERT_LT(leader, cluster.size());
    const std::size_t wiped = (leader + 1) % kVotersOfThree;
    cluster.Wipe(wiped);
    cluster.Start(wiped);
    // The leader leaves as soon as it has added the new identity.
    for (std::size_t i = 0; i < kRecoveryTicks; ++i) {
      if (cluster.oracle().membership.Find(cluster.at(wiped).id) != nullptr) {
        break;
      }
      cluster.Run(1);
    }
    cluster.Leave(leader);
    ASSERT_LT(cluster.EndLeaving(kGraceTicks), kGraceTicks);
    // The wiped instance is still the only one that counts as lost.
    cluster.Wipe(wiped);
    const std::size_t committed = cluster.oracle().committed.size();
    cluster.Run(kRecoveryTicks);
    ASSERT_LT(cluster.leader(), cluster.size());
    cluster.Propose(cluster.leader());
    cluster.Run(20);
    EXPECT_GT(cluster.oracle().committed.size(), committed);
    EXPECT_EQ(cluster.violation(), "");
  }
}

class rolling_restart_test : public ::testing::Test {
 protected:
  // Restarts all voters in turn, each 1 s after it has ended. Returns the
  // number of membership changes.
  std::size_t Restart(consensus_cluster* cluster) {
    cluster->Run(kRecoveryTicks);
    const std::size_t before = MembershipChanges(*cluster);
    for (std::size_t i = 0; i < kVoters; ++i) {
      cluster->Leave(i);
      EXPECT_LT(cluster->EndLeaving(kGraceTicks), kGraceTicks);
      cluster->Run(100);
      cluster->Start(i);
      cluster->Run(400);
      EXPECT_LT(cluster->leader(), cluster->size());
      EXPECT_EQ(cluster->oracle().membership.voter_count(), kVoters);
      EXPECT_EQ(RunningVoters(*cluster).size(), kVoters);
    }
    EXPECT_EQ(cluster->violation(), "");
    return MembershipChanges(*cluster) - before;
  }
  static std::size_t MembershipChanges(consensus_cluster& cluster) {
    std::size_t changes = 0;
    for (const auto& entry : cluster.oracle().committed) {
      if (entry.kind == entry_kind::kMembership) ++changes;
    }
    return changes;
  }
};

// Guards against members that wait for a successor, or a group that changes,
// although no spare could take a vote.
TEST_F(rolling_restart_test, NoSpare_MembershipStays) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    cluster_options options;
    options.voters = kVoters;
    options.spares = 0;
    options.seed = seed;
    consensus_cluster cluster(options);
    EXPECT_EQ(Restart(&cluster), 0u);
  }
}

// Guards against a group that exchanges more members than those that stop: a
// stopping member can't know whether it comes back, so its vote moves to the
// spare, but it must not move back.
TEST_F(rolling_restart_test, OneSpare_OneReplacementForEachStop) {
  constexpr std::size_t kChangesOfReplacement = 3;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    cluster_options options;
    options.voters = kVoters;
    options.spares = 1;
    options.seed = seed;
    consensus_cluster cluster(options);
    EXPECT_LE(Restart(&cluster), kVoters * kChangesOfReplacement);
  }
}

// Guards against a removed member that tells its old group to instances that
// ask it, and against one that takes itself for removed once it is back in.
TEST_F(rolling_restart_test, Removed_KnowsGroupWithoutItself) {
  cluster_options options;
  options.voters = kVoters;
  options.spares = 1;
  consensus_cluster cluster(options);
  cluster.Run(kRecoveryTicks);
  const auto known_ids = [&] {
    std::vector<member_id> ids;
    for (const log_member& m : cluster.at(0).member->known_group()) {
      ids.push_back(m.id);
    }
    return ids;
  };
  cluster.Leave(0);
  cluster.Run(kRecoveryTicks);
  EXPECT_TRUE(cluster.at(0).member->removed());
  EXPECT_THAT(
      known_ids(),
      ::testing::AllOf(::testing::Contains(cluster.at(kVoters).id),
                       ::testing::Not(::testing::Contains(cluster.at(0).id))));
  // As a spare it replaces the next one that leaves.
  cluster.Crash(0, 0);
  cluster.Start(0);
  cluster.Run(kRecoveryTicks);
  cluster.Leave(1);
  cluster.EndLeaving(kGraceTicks);
  cluster.Run(100);
  EXPECT_TRUE(cluster.oracle().membership.IsVoter(cluster.at(0).id));
  EXPECT_FALSE(cluster.at(0).member->removed());
  EXPECT_EQ(cluster.violation(), "");
}

// Guards against a spare that is given a vote while it shuts down itself.
TEST_F(rolling_restart_test, SpareLeavesAsWell_IsNotUsed) {
  cluster_options options;
  options.voters = kVoters;
  options.spares = 1;
  consensus_cluster cluster(options);
  cluster.Run(kRecoveryTicks);
  const std::size_t before = MembershipChanges(cluster);
  cluster.Leave(kVoters);
  cluster.Run(30);
  cluster.Leave(0);
  EXPECT_LT(cluster.EndLeaving(kGraceTicks), kGraceTicks);
  EXPECT_EQ(MembershipChanges(cluster), before);
  EXPECT_EQ(cluster.violation(), "");
}

}  // namespace
}  // namespace bilberrycourse
