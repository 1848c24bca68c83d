#include "bilberrycourse/relay_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace bilberrycourse {
namespace {

class relay_plan_test : public ::testing::Test {
 protected:
  static std::vector<entry_instance> Entries(int per_zone, int zones) {
    std::vector<entry_instance> entries;
    for (int zone = 0; zone < zones; ++zone) {
      for (int i = 0; i < per_zone; ++i) {
        const std::string zone_name = "z" + std::to_string(zone);
        const std::string name = zone_name + "-e" + std::to_string(i);
        entries.push_back({name, name + ":1", zone_name});
      }
    }
    return entries;
  }

  static std::vector<std::string> Shards(int count) {
    std::vector<std::string> shards;
    for (int i = 0; i < count; ++i) shards.push_back("s" + std::to_string(i));
    return shards;
  }
};

// Guards against shards that no instance or two instances search, relays in
// another zone, and relays with more than their share of the shards.
TEST_F(relay_plan_test, Groups_ManyInstances_CoverEachShardOnceInOwnZone) {
  for (const int shards : {40, 90, 135}) {
    for (const int per_zone : {4, 17, 29}) {
      relay_plan plan({}, "z1-e0", "z1");
      plan.SetInstances(Entries(per_zone, 3));
      std::set<std::size_t> seen;
      std::size_t largest = 0;
      ASSERT_EQ(plan.Groups(Shards(shards)).size(), 1u);
      const auto& groups = plan.Groups(Shards(shards)).at("z1");
      for (const relay_group& group : groups) {
        EXPECT_TRUE(group.relay.starts_with("z1-"));
        largest = std::max(largest, group.parts.size());
        for (const std::size_t part : group.parts) {
          EXPECT_TRUE(seen.insert(part).second);
        }
      }
      EXPECT_EQ(seen.size(), static_cast<std::size_t>(shards));
      EXPECT_LE(largest, shards / groups.size() + 1);
    }
  }
}

// Guards against relays where they only add a hop.
TEST_F(relay_plan_test, Groups_FewShardsOrInstances_AreEmpty) {
  relay_plan plan({}, "z1-e0", "z1");
  EXPECT_TRUE(plan.Groups(Shards(90)).empty());
  plan.SetInstances(Entries(3, 3));
  EXPECT_TRUE(plan.Groups(Shards(90)).empty());
  EXPECT_FALSE(plan.UsesRelays(90));
  plan.SetInstances(Entries(20, 3));
  EXPECT_TRUE(plan.Groups(Shards(30)).empty());
  EXPECT_FALSE(plan.Groups(Shards(90)).empty());
}

// Guards against connections to a searcher from more instances than its
// connection limit is divided by.
TEST_F(relay_plan_test, InstancesPerShard_AllOrigins_IsUpperBound) {
  const auto entries = Entries(29, 3);
  const auto shards = Shards(90);
  std::vector<std::set<instance_name>> relays_by_shard(shards.size());
  std::uint32_t stated = 0;
  for (const entry_instance& origin : entries) {
    relay_plan plan({}, origin.name, origin.zone);
    plan.SetInstances(entries);
    stated = plan.InstancesPerShard(shards);
    for (const relay_group& group : plan.Groups(shards).at(origin.zone)) {
      for (const std::size_t part : group.parts) {
        relays_by_shard[part].insert(group.relay);
      }
    }
  }
  for (const auto& relays : relays_by_shard) EXPECT_LE(relays.size(), stated);
}

// Six zones, each shard with replicas in three of them, as in
// coldline-search-large: every zone holds half of the shards.
class relay_plan_replica_test : public relay_plan_test {
 protected:
  static constexpr std::size_t kZones = 6;

  relay_plan_replica_test() {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      std::set<availability_zone> zones;
      for (std::size_t k = 0; k < 3; ++k) {
        zones.insert("z" + std::to_string((i + k) % kZones));
      }
      zones_.emplace_back(zones.begin(), zones.end());
    }
  }

  relay_plan MakePlan(const entry_instance& origin) const {
    relay_plan plan({}, origin.name, origin.zone);
    plan.SetInstances(entries_);
    plan.SetReplicaZones(shards_, zones_);
    return plan;
  }
  bool Holds(const instance_name& relay, std::size_t part) const {
    const auto& zones = zones_[part];
    return std::find(zones.begin(), zones.end(), relay.substr(0, 2)) !=
           zones.end();
  }

  const std::vector<entry_instance> entries_ =
      Entries(49, static_cast<int>(kZones));
  const std::vector<std::string> shards_ = Shards(180);
  relay_plan::replica_zones zones_;
};

// Guards against relays that fetch replies over zones: in coldline-search-large
// these bytes cost more than all late and failed requests.
TEST_F(relay_plan_replica_test, Groups_EveryOrigin_RelaysAreBesideReplicas) {
  std::map<instance_name, std::size_t> load;
  for (const entry_instance& origin : entries_) {
    relay_plan plan = MakePlan(origin);
    std::set<std::size_t> seen;
    std::size_t groups_count = 0;
    for (const auto& [zone, groups] : plan.Groups(shards_)) {
      groups_count += groups.size();
      for (const relay_group& group : groups) {
        EXPECT_TRUE(group.relay.starts_with(zone));
        load[group.relay] += group.parts.size();
        for (const std::size_t part : group.parts) {
          EXPECT_TRUE(Holds(group.relay, part));
          EXPECT_TRUE(seen.insert(part).second);
          EXPECT_TRUE(zone == origin.zone || !Holds(origin.zone, part));
        }
      }
    }
    EXPECT_EQ(seen.size(), shards_.size());
    // Twice the relays of a request whose shards are all in the own zone.
    EXPECT_LE(groups_count, 30u);
  }
  // The tier searches 180 shards for each of 294 origins; no relay has more
  // than twice the mean.
  for (const auto& [relay, parts] : load) EXPECT_LE(parts, 2 * 180u) << relay;
}

// Guards against connections to a searcher from more instances than its
// connection limit is divided by.
TEST_F(relay_plan_replica_test, InstancesPerShard_AllOrigins_IsUpperBound) {
  std::vector<std::set<instance_name>> relays_by_shard(shards_.size());
  std::uint32_t stated = 0;
  for (const entry_instance& origin : entries_) {
    relay_plan plan = MakePlan(origin);
    stated = plan.InstancesPerShard(shards_);
    for (const auto& [zone, groups] : plan.Groups(shards_)) {
      for (const relay_group& group : groups) {
        for (const std::size_t part : group.parts) {
          relays_by_shard[part].insert(group.relay);
        }
      }
    }
  }
  for (const auto& relays : relays_by_shard) EXPECT_LE(relays.size(), stated);
  EXPECT_LE(stated, 3 * 49u / 9);
}

// Guards against origins that search the shards of another zone themselves
// while that zone is cut off, and against shards that nobody searches.
TEST_F(relay_plan_replica_test, UsableGroups_ZoneCutOff_OwnRelaysTakeOver) {
  const entry_instance origin{"z4-e7", "z4-e7:1", "z4"};
  relay_plan plan = MakePlan(origin);
  const auto groups = plan.UsableGroups(
      shards_,
      [&](const instance_name& relay) { return relay.starts_with("z4"); });
  std::set<std::size_t> seen;
  std::size_t largest = 0;
  for (const relay_group& group : groups) {
    EXPECT_TRUE(group.relay.starts_with("z4"));
    largest = std::max(largest, group.parts.size());
    seen.insert(group.parts.begin(), group.parts.end());
  }
  EXPECT_EQ(seen.size(), shards_.size());
  EXPECT_LE(largest, shards_.size() / groups.size() + 3);
}

// Guards against moving all shards of a zone because of one relay.
TEST_F(relay_plan_replica_test, UsableGroups_OneRelayLost_KeepsOtherGroups) {
  const entry_instance origin{"z4-e7", "z4-e7:1", "z4"};
  relay_plan plan = MakePlan(origin);
  instance_name lost;
  std::size_t count = 0;
  for (const auto& [zone, groups] : plan.Groups(shards_)) {
    count += groups.size();
    if (zone != "z4") lost = groups.front().relay;
  }
  ASSERT_FALSE(lost.empty());
  const auto usable = plan.UsableGroups(
      shards_, [&](const instance_name& relay) { return relay != lost; });
  EXPECT_EQ(usable.size(), count - 1);
  for (const relay_group& group : usable) {
    for (const std::size_t part : group.parts) {
      EXPECT_TRUE(Holds(group.relay, part));
    }
  }
}

// Guards against a plan from before a change: lists in any order of changes
// give the same groups as a new plan.
TEST_F(relay_plan_replica_test, SetInstances_ListChanges_GroupsAreCurrent) {
  const entry_instance origin{"z4-e7", "z4-e7:1", "z4"};
  relay_plan plan = MakePlan(origin);
  std::vector<entry_instance> entries = entries_;
  for (std::size_t step = 0; step < 290; ++step) {
    const std::size_t position = (step * 37) % entries.size();
    if (entries[position].name == origin.name) continue;
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(position));
    plan.SetInstances(entries);
    relay_plan fresh({}, origin.name, origin.zone);
    fresh.SetInstances(entries);
    fresh.SetReplicaZones(shards_, zones_);
    const auto& expected = fresh.Groups(shards_);
    const auto& groups = plan.Groups(shards_);
    ASSERT_EQ(groups.size(), expected.size());
    for (const auto& [zone, list] : expected) {
      const auto& kept = groups.at(zone);
      ASSERT_EQ(kept.size(), list.size());
      for (std::size_t i = 0; i < list.size(); ++i) {
        EXPECT_EQ(kept[i].relay, list[i].relay);
        EXPECT_EQ(kept[i].parts, list[i].parts);
      }
    }
  }
}

// Guards against shards without a relay where zones have no replica or too few
// entry instances.
TEST_F(relay_plan_replica_test, Groups_NoReplicaBesideRelays_UsesOwnZone) {
  relay_plan plan({}, "z4-e7", "z4");
  plan.SetInstances(Entries(49, 5));
  relay_plan::replica_zones zones(shards_.size(), {"z9"});
  zones[7].clear();
  plan.SetReplicaZones(shards_, zones);
  const auto& groups = plan.Groups(shards_);
  ASSERT_EQ(groups.size(), 1u);
  std::size_t parts = 0;
  for (const relay_group& group : groups.at("z4")) parts += group.parts.size();
  EXPECT_EQ(parts, shards_.size());
}

// Guards against a plan that reassigns all shards when one relay is lost, so
// that the whole zone would have to open new connections.
TEST_F(relay_plan_test, Groups_OneRelayLost_MovesFewShards) {
  auto entries = Entries(20, 1);
  const auto shards = Shards(90);
  relay_plan plan({}, "z0-e0", "z0");
  plan.SetInstances(entries);
  std::map<std::size_t, instance_name> before;
  instance_name lost;
  for (const relay_group& group : plan.Groups(shards).at("z0")) {
    if (group.relay != "z0-e0") lost = group.relay;
    for (const std::size_t part : group.parts) before[part] = group.relay;
  }
  std::erase_if(entries, [&](const auto& entry) { return entry.name == lost; });
  plan.SetInstances(entries);
  std::size_t moved = 0;
  for (const relay_group& group : plan.Groups(shards).at("z0")) {
    for (const std::size_t part : group.parts) {
      if (before[part] != lost && before[part] != group.relay) ++moved;
    }
  }
  EXPECT_LE(moved, shards.size() / 3);
}

}  // namespace
}  // namespace bilberrycourse
