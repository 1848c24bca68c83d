#include "bilberrycourse/relay_plan.h"

#include <gtest/gtest.h>

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
      const auto& groups = plan.Groups(Shards(shards));
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
    for (const relay_group& group : plan.Groups(shards)) {
      for (const std::size_t part : group.parts) {
        relays_by_shard[part].insert(group.relay);
      }
    }
  }
  for (const auto& relays : relays_by_shard) EXPECT_LE(relays.size(), stated);
}

// Searchers run in zones 0 to 2 only, as in coldline-search-large.
class relay_plan_replica_test : public relay_plan_test {
 protected:
  static constexpr int kZones = 6;

  relay_plan MakePlan(const entry_instance& origin) const {
    relay_plan plan({}, origin.name, origin.zone);
    plan.SetInstances(entries_);
    plan.SetReplicaZones(shards_, {"z0", "z1", "z2"});
    return plan;
  }

  const std::vector<entry_instance> entries_ = Entries(49, kZones);
  const std::vector<std::string> shards_ = Shards(180);
};

// Guards against an origin in a zone without searchers that fetches the replies
// of all shards over zones: in coldline-search-large these bytes cost more than
// all late and failed requests.
TEST_F(relay_plan_replica_test, Groups_EveryOrigin_RelaysAreBesideReplicas) {
  std::map<availability_zone, int> origins_by_relay_zone;
  for (const entry_instance& origin : entries_) {
    relay_plan plan = MakePlan(origin);
    const availability_zone zone = plan.Zones(shards_).front();
    EXPECT_TRUE(zone == "z0" || zone == "z1" || zone == "z2") << zone;
    if (origin.zone < "z3") {
      EXPECT_EQ(zone, origin.zone);
    }
    ++origins_by_relay_zone[zone];
    std::set<std::size_t> seen;
    for (const relay_group& group : plan.Groups(shards_)) {
      EXPECT_TRUE(group.relay.starts_with(zone));
      for (const std::size_t part : group.parts) seen.insert(part);
    }
    EXPECT_EQ(seen.size(), shards_.size());
  }
  // No zone serves many more origins than the others.
  for (const auto& [zone, origins] : origins_by_relay_zone) {
    EXPECT_LE(origins, 2 * 49 * 5 / 4) << zone;
  }
}

// Guards against connections to a searcher from more instances than its
// connection limit is divided by.
TEST_F(relay_plan_replica_test, InstancesPerShard_AllOrigins_IsUpperBound) {
  std::vector<std::set<instance_name>> relays_by_shard(shards_.size());
  std::uint32_t stated = 0;
  for (const entry_instance& origin : entries_) {
    relay_plan plan = MakePlan(origin);
    stated = plan.InstancesPerShard(shards_);
    for (const relay_group& group : plan.Groups(shards_)) {
      for (const std::size_t part : group.parts) {
        relays_by_shard[part].insert(group.relay);
      }
    }
  }
  for (const auto& relays : relays_by_shard) EXPECT_LE(relays.size(), stated);
  EXPECT_LE(stated, 9u);
}

// Guards against origins that search all shards themselves while the zone of
// their relays is cut off.
TEST_F(relay_plan_replica_test, UsableGroups_ZoneCutOff_UsesOtherZone) {
  const entry_instance origin{"z4-e7", "z4-e7:1", "z4"};
  relay_plan plan = MakePlan(origin);
  const std::vector<availability_zone> zones = plan.Zones(shards_);
  ASSERT_EQ(zones.size(), 2u);
  const auto usable = [&](const instance_name& relay) {
    return !relay.starts_with(zones[0]);
  };
  const auto groups = plan.UsableGroups(shards_, usable);
  ASSERT_FALSE(groups.empty());
  for (const relay_group& group : groups) {
    EXPECT_TRUE(group.relay.starts_with(zones[1]));
  }
  // All relays must be linked, also those of the other zone.
  std::set<instance_name> linked;
  for (const entry_instance& relay : plan.Relays(shards_)) {
    linked.insert(relay.name);
  }
  for (const relay_group& group : groups) {
    EXPECT_TRUE(linked.contains(group.relay));
  }
}

// Guards against leaving a zone because of one relay, which would spread the
// load of its origins to cold connections.
TEST_F(relay_plan_replica_test, UsableGroups_OneRelayLost_StaysInZone) {
  const entry_instance origin{"z4-e7", "z4-e7:1", "z4"};
  relay_plan plan = MakePlan(origin);
  const std::vector<relay_group> all = plan.Groups(shards_);
  const auto groups = plan.UsableGroups(
      shards_,
      [&](const instance_name& relay) { return relay != all.front().relay; });
  EXPECT_EQ(groups.size(), all.size() - 1);
  EXPECT_EQ(groups.front().relay, all[1].relay);
}

// Guards against having no relays at all where the zones with searchers have
// too few entry instances, and against a plan from before they were known.
TEST_F(relay_plan_replica_test, Zones_FewInstancesBesideReplicas_UsesOwnZone) {
  relay_plan plan({}, "z4-e7", "z4");
  plan.SetReplicaZones(shards_, {"z0"});
  EXPECT_TRUE(plan.Groups(shards_).empty());
  std::vector<entry_instance> entries = entries_;
  std::erase_if(entries, [](const auto& entry) { return entry.zone == "z0"; });
  plan.SetInstances(entries);
  EXPECT_EQ(plan.Zones(shards_), (std::vector<availability_zone>{"z4"}));
  EXPECT_FALSE(plan.Groups(shards_).empty());
  plan.SetInstances(entries_);
  EXPECT_EQ(plan.Zones(shards_), (std::vector<availability_zone>{"z0"}));
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
  for (const relay_group& group : plan.Groups(shards)) {
    if (group.relay != "z0-e0") lost = group.relay;
    for (const std::size_t part : group.parts) before[part] = group.relay;
  }
  std::erase_if(entries, [&](const auto& entry) { return entry.name == lost; });
  plan.SetInstances(entries);
  std::size_t moved = 0;
  for (const relay_group& group : plan.Groups(shards)) {
    for (const std::size_t part : group.parts) {
      if (before[part] != lost && before[part] != group.relay) ++moved;
    }
  }
  EXPECT_LE(moved, shards.size() / 3);
}

}  // namespace
}  // namespace bilberrycourse
