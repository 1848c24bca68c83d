#include "bilberrycourse/consensus_member.h"

#include <gtest/gtest.h>

#include <string>

#include "bilberrycourse/testing/consensus_cluster.h"

namespace bilberrycourse {
namespace {

class consensus_member_test : public ::testing::Test {
 protected:
  void TearDown() override { EXPECT_EQ(cluster_.violation(), ""); }

  // Runs long enough for a leader to be elected and to commit an entry, and
  // returns the leader.
  std::size_t Elect() {
    cluster_.Run(150);
    return cluster_.leader();
  }

  consensus_cluster cluster_{{}};
};

// Guards against a group that waits for an election timeout after a loss of
// power although its members are linked: with 300 to 600 ms, a leader came 0.4
// s after three of five members were linked.
TEST(consensus_restart_test, OnMajorityLinked_NoLeader_CampaignsAtOnce) {
  constexpr std::size_t kTicksOfHeartbeat = 8;
  constexpr std::size_t kTicksOfVotes = 4;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    cluster_options options;
    options.seed = seed;
    consensus_cluster cluster{options};
    cluster.Run(150);
    ASSERT_LT(cluster.leader(), cluster.size()) << seed;
    for (std::size_t i = 0; i < 3; ++i) cluster.Crash(i, 0);
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.Isolate(i);
      cluster.Start(i);
    }
    // All first campaigns fail.
    cluster.Run(32);
    ASSERT_EQ(cluster.leader(), cluster.size()) << seed;
    cluster.Heal();
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.Invoke(
          i, [](consensus_member& member, time_point now, consensus_effects*) {
            member.OnMajorityLinked(now);
          });
    }
    cluster.Run(kTicksOfHeartbeat + kTicksOfVotes);
    EXPECT_LT(cluster.leader(), cluster.size()) << seed;
    EXPECT_EQ(cluster.violation(), "") << seed;
  }
}

// Guards against a healthy leader that is replaced because a link opens.
TEST_F(consensus_member_test, OnMajorityLinked_LeaderKnown_KeepsLeader) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const log_term term = cluster_.at(leader).member->term();
  for (std::size_t i = 0; i < 3; ++i) {
    cluster_.Invoke(
        i, [](consensus_member& member, time_point now, consensus_effects*) {
          member.OnMajorityLinked(now);
        });
  }
  cluster_.Run(50);
  EXPECT_EQ(cluster_.leader(), leader);
  EXPECT_EQ(cluster_.at(leader).member->term(), term);
}

// Guards against a group that does not form without an operator.
TEST_F(consensus_member_test, FirstStart_EmptyFolders_FormsOneGroup) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(cluster_.at(i).member->membership().voter_count(), 3u);
    EXPECT_EQ(cluster_.at(i).member->leader_instance(),
              cluster_.at(leader).name);
  }
  EXPECT_EQ(cluster_.at(3).member->role(), consensus_role::kUnformed);
  EXPECT_EQ(cluster_.at(leader).member->spares(cluster_.now()).size(), 2u);
}

// Guards against forming a second group while an unreachable instance may still
// hold the log of an older one.
TEST_F(consensus_member_test, FirstStart_SpareUnreachable_WaitsForIt) {
  cluster_.Isolate(4);
  cluster_.Run(300);
  EXPECT_EQ(cluster_.leader(), cluster_.size());
  cluster_.Heal();
  EXPECT_LT(Elect(), cluster_.size());
}

// Guards against an empty member that never finds its group, because its first
// settings named no instance and new ones were not used, and against a group
// that it forms with the instances of the new ones.
TEST(consensus_formation_test, SetDiscoveryTargets_NoSeeds_AsksThem) {
  consensus_settings settings;
  settings.may_form_group = true;
  recovered_log log;
  log.identity = {"g", member_id{7}, "c1"};
  time_point now{};
  consensus_member member(settings, log, now);
  const auto asked = [&] {
    std::vector<instance_name> names;
    now += std::chrono::seconds(1);
    consensus_effects effects;
    member.Tick(now, &effects);
    for (const consensus_effect& effect : effects) {
      const auto* send = std::get_if<send_message_effect>(&effect);
      if (send != nullptr) names.push_back(send->to);
    }
    return names;
  };
  EXPECT_EQ(asked(), std::vector<instance_name>{});
  member.SetDiscoveryTargets({{"c1", "", true}, {"c2", "", true}});
  EXPECT_EQ(asked(), std::vector<instance_name>{"c2"});
  EXPECT_EQ(member.role(), consensus_role::kUnformed);
}

// Guards against a second group: a member of an existing deployment must not
// form a group from an empty data folder.
TEST(consensus_formation_test, FirstStart_BootstrapOff_NoGroupForms) {
  cluster_options options;
  options.bootstrap = false;
  consensus_cluster cluster(options);
  cluster.Run(500);
  EXPECT_EQ(cluster.leader(), cluster.size());
  EXPECT_EQ(cluster.violation(), "");
}

// Guards against a new instance that never joins because the only instance in
// its configuration is not the leader.
TEST(consensus_formation_test, NewInstance_OnlySeedIsFollower_FindsLeader) {
  for (std::size_t seed = 0; seed < 3; ++seed) {
    cluster_options options;
    options.spares = 1;
    options.first_new_instance = 3;
    options.seed_instance = seed;
    consensus_cluster cluster(options);
    cluster.Run(300);
    const std::size_t leader = cluster.leader();
    ASSERT_LT(leader, cluster.size());
    ASSERT_EQ(cluster.at(leader).member->spares(cluster.now()).size(), 1u);
    // The new instance replaces a member that is lost permanently.
    const std::size_t lost = (leader + 1) % 3;
    cluster.Crash(lost, 0);
    cluster.Run(800);
    EXPECT_TRUE(cluster.oracle().membership.IsVoter(cluster.at(3).id));
    EXPECT_EQ(cluster.violation(), "");
  }
}

// Guards against a group that can never elect a leader, because two of the
// identities with which it was formed no longer exist.
TEST_F(consensus_member_test, TwoVotersWipedDuringFormation_FormsAgain) {
  while (cluster_.at(0).member->last_index() == 0) cluster_.Run(1);
  ASSERT_EQ(cluster_.leader(), cluster_.size());
  for (const std::size_t i : {1, 2}) {
    cluster_.Wipe(i);
    cluster_.Start(i);
  }
  ASSERT_LT(Elect(), cluster_.size());
  for (const std::size_t i : {0, 1, 2}) {
    EXPECT_TRUE(cluster_.oracle().membership.IsVoter(cluster_.at(i).id));
  }
}

// Guards against a group that is without a leader for longer than one second.
TEST_F(consensus_member_test, LeaderCrashes_AnotherIsElectedWithinOneSecond) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  cluster_.Crash(leader, 0);
  std::size_t ticks = 0;
  while (cluster_.leader() == cluster_.size() && ticks < 200) {
    cluster_.Run(1);
    ++ticks;
  }
  EXPECT_LE(ticks, 100u);
}

// Guards against a full election timeout after a restart of all members, when
// there is no leader to wait for. The entry instances cannot serve requests
// until the group has a leader.
TEST_F(consensus_member_test, AllMembersRestart_LeaderWithinShortestTimeout) {
  ASSERT_LT(Elect(), cluster_.size());
  for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.Crash(i, 0);
  for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.Start(i);
  cluster_.Run(30);
  EXPECT_LT(cluster_.leader(), cluster_.size());
}

// Guards against a restarted member that deposes a healthy leader, because its
// first election timeout is shorter.
TEST_F(consensus_member_test, OneMemberRestarts_LeaderStays) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const std::size_t other = leader == 0 ? 1 : 0;
  const auto term = cluster_.at(leader).member->term();
  cluster_.Crash(other, 0);
  cluster_.Start(other);
  cluster_.Run(100);
  EXPECT_EQ(cluster_.leader(), leader);
  EXPECT_EQ(cluster_.at(leader).member->term(), term);
}

// Guards against a partitioned leader that confirms changes or reads.
TEST_F(consensus_member_test, Leader_Partitioned_StepsDownWithoutConfirming) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  cluster_.Isolate(leader);
  const log_index applied = cluster_.at(leader).applied;
  cluster_.Propose(leader);
  cluster_.Read(leader);
  cluster_.Run(70);
  EXPECT_NE(cluster_.at(leader).member->role(), consensus_role::kLeader);
  EXPECT_EQ(cluster_.at(leader).applied, applied);
  EXPECT_TRUE(cluster_.at(leader).reads.empty());
  cluster_.Run(100);
  const std::size_t next = cluster_.leader();
  ASSERT_LT(next, cluster_.size());
  cluster_.Propose(next);
  cluster_.Heal();
  cluster_.Run(50);
  EXPECT_EQ(cluster_.at(leader).applied, cluster_.oracle().committed.size());
}

// Guards against reads that never complete, and against a confirmation age far
// above the heartbeat interval in a healthy group.
TEST_F(consensus_member_test, HealthyGroup_ReadsAndConfirmationAgeAreCurrent) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  cluster_.Read(leader);
  cluster_.Run(1);
  EXPECT_TRUE(cluster_.at(leader).reads.empty());
  for (std::size_t i = 0; i < 3; ++i) {
    const auto age = cluster_.at(i).member->confirmation_age(
        cluster_.now() + cluster_.at(i).clock_offset);
    ASSERT_TRUE(age.has_value()) << i;
    EXPECT_LE(*age, std::chrono::milliseconds(250)) << i;
  }
}

// Guards against a shutdown after which the group waits for an election
// timeout.
TEST_F(consensus_member_test, TransferLeadership_NewLeaderWithinOneHeartbeat) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  cluster_.Propose(leader);
  cluster_.Transfer(leader);
  cluster_.Run(8);
  const std::size_t next = cluster_.leader();
  ASSERT_LT(next, cluster_.size());
  EXPECT_NE(next, leader);
}

// Guards against a follower that cannot catch up because the leader has
// compacted the entries that it lacks.
TEST_F(consensus_member_test, Follower_BehindCompactedLog_ReceivesSnapshot) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const std::size_t lagging = leader == 0 ? 1 : 0;
  cluster_.Crash(lagging, 0);
  for (int i = 0; i < 100; ++i) {
    cluster_.Propose(leader);
    cluster_.Run(1);
  }
  EXPECT_GT(cluster_.at(leader).member->snapshot_index(), 50u);
  cluster_.Start(lagging);
  cluster_.Run(50);
  EXPECT_EQ(cluster_.at(lagging).applied, cluster_.oracle().committed.size());
  EXPECT_EQ(cluster_.at(lagging).state, cluster_.at(leader).state);
}

// Guards against a snapshot transfer that stalls when the receiver restarts
// during the transfer.
TEST_F(consensus_member_test, ReceiverRestartsDuringSnapshot_TransferResumes) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const std::size_t lagging = leader == 0 ? 1 : 0;
  cluster_.Isolate(lagging);
  for (int i = 0; i < 100; ++i) {
    cluster_.Propose(leader);
    cluster_.Run(1);
  }
  cluster_.Heal();
  const auto receiving = [&] {
    for (const peer_status& peer :
         cluster_.at(leader).member->peers(cluster_.now())) {
      if (peer.receiving_snapshot) return true;
    }
    return false;
  };
  // One message at a time, so that the restart falls between two chunks.
  for (int chunks = 0; chunks < 3;) {
    if (cluster_.network().empty()) cluster_.TickAll();
    while (!cluster_.network().empty() && chunks < 3) {
      const auto message = DecodeMessage(cluster_.network().front().bytes);
      chunks += message->kind == message_kind::kSnapshotReply ? 1 : 0;
      cluster_.Deliver(0);
    }
  }
  ASSERT_TRUE(receiving());
  cluster_.Crash(lagging, 0);
  cluster_.Start(lagging);
  cluster_.Run(100);
  EXPECT_FALSE(receiving());
  EXPECT_EQ(cluster_.at(lagging).applied, cluster_.oracle().committed.size());
}

// Guards against a wiped voter that is not replaced, a group with too few
// voters, and a wiped instance that acts under its old identity.
TEST_F(consensus_member_test, WipedVoter_IsReplacedUnderNewIdentity) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const std::size_t wiped = leader == 0 ? 1 : 0;
  const member_id old = cluster_.at(wiped).id;
  cluster_.Crash(wiped, 0);
  cluster_.Wipe(wiped);
  cluster_.Start(wiped);
  cluster_.Run(500);
  const group_membership& membership = cluster_.oracle().membership;
  EXPECT_EQ(membership.Find(old), nullptr);
  EXPECT_EQ(membership.voter_count(), 3u);
  EXPECT_TRUE(membership.IsVoter(cluster_.at(wiped).id));
}

// Guards against a member that continues to vote after its data folder was
// restored from an old copy.
TEST_F(consensus_member_test, FolderOlderThanAcknowledged_MemberStops) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  const std::size_t restored = leader == 0 ? 1 : 0;
  const std::string old_copy = cluster_.at(restored).synced;
  for (int i = 0; i < 5; ++i) cluster_.Propose(leader);
  cluster_.Run(20);
  cluster_.Crash(restored, 0);
  cluster_.at(restored).synced = old_copy;
  cluster_.Start(restored);
  cluster_.Run(20);
  EXPECT_EQ(cluster_.at(restored).member->stop_code(),
            result_code::kDataFolderForeign);
  EXPECT_NE(cluster_.violation().find("older than"), std::string::npos);
  cluster_.oracle().violation.clear();
}

// Guards against unbounded queues and against proposals accepted by followers.
TEST_F(consensus_member_test, Propose_NotLeaderOrTooMany_IsRefused) {
  const std::size_t leader = Elect();
  ASSERT_LT(leader, cluster_.size());
  consensus_effects out;
  const auto body = std::make_shared<const std::string>("x");
  const std::size_t other = leader == 0 ? 1 : 0;
  EXPECT_EQ(cluster_.at(other).member->Propose(body, cluster_.now(), &out).code,
            result_code::kNotLeader);
  consensus_member& member = *cluster_.at(leader).member;
  const time_point now = cluster_.now() + cluster_.at(leader).clock_offset;
  proposal_result last;
  for (int i = 0; i < 5000 && last.code == result_code::kOk; ++i) {
    last = member.Propose(body, now, &out);
  }
  EXPECT_EQ(last.code, result_code::kOverloaded);
  EXPECT_EQ(member.last_index() - member.commit_index(), 4096u);
}

}  // namespace
}  // namespace bilberrycourse
