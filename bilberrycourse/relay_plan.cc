#include "bilberrycourse/relay_plan.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

// Maximum number of shard lists whose groups are cached; a configuration has
// few.
constexpr std::size_t kMaxPlans = 64;

// Returns the number of relay sets into which the instances of a zone are
// divided.
std::size_t RelaySetCount(std::size_t shards, std::size_t instances) {
  const auto wanted = static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(shards))));
  return std::max<std::size_t>(1, instances / std::max<std::size_t>(wanted, 1));
}

}  // namespace

relay_plan::relay_plan(relay_plan_options options, instance_name self,
                       availability_zone zone)
    : options_(options), self_(std::move(self)), zone_(std::move(zone)) {}

void relay_plan::SetInstances(const std::vector<entry_instance>& entries) {
  std::map<availability_zone, std::vector<entry_instance>> by_zone;
  for (const entry_instance& entry : entries) {
    by_zone[entry.zone].push_back(entry);
  }
  for (auto& [zone, instances] : by_zone) {
    std::sort(instances.begin(), instances.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
  }
  std::erase_if(plans_, [&](const auto& plan) {
    const availability_zone& zone = plan.first.first;
    return entries_[zone] != by_zone[zone];
  });
  entries_ = std::move(by_zone);
}

void relay_plan::SetReplicaZones(const std::vector<std::string>& shards,
                                 std::vector<availability_zone> zones) {
  if (replica_zones_.size() >= kMaxPlans) replica_zones_.clear();
  replica_zones_[shards] = std::move(zones);
}

const std::vector<availability_zone>& relay_plan::ReplicaZones(
    const std::vector<std::string>& shards) const {
  static const std::vector<availability_zone> kUnknown;
  const auto found = replica_zones_.find(shards);
  return found == replica_zones_.end() ? kUnknown : found->second;
}

std::size_t relay_plan::ZoneSize(const availability_zone& zone) const {
  const auto found = entries_.find(zone);
  return found == entries_.end() ? 0 : found->second.size();
}

std::vector<availability_zone> relay_plan::Zones(
    const std::vector<std::string>& shards) const {
  std::vector<std::pair<std::size_t, availability_zone>> ranked;
  for (const availability_zone& zone : ReplicaZones(shards)) {
    if (zone == zone_) return {zone_};
    if (!UsesRelays(shards.size(), ZoneSize(zone))) continue;
    ranked.emplace_back(name_hash()(self_ + " " + zone), zone);
  }
  if (ranked.empty()) return {zone_};
  std::sort(ranked.begin(), ranked.end());
  std::vector<availability_zone> zones;
  for (auto& [rank, zone] : ranked) {
    if (zones.size() < options_.max_zones) zones.push_back(std::move(zone));
  }
  return zones;
}

std::vector<entry_instance> relay_plan::RelaySet(
    std::size_t shards, const availability_zone& zone) const {
  const auto found = entries_.find(zone);
  if (found == entries_.end()) return {};
  const std::vector<entry_instance>& instances = found->second;
  const bool member =
      zone != zone_ || std::any_of(instances.begin(), instances.end(),
                                   [&](const entry_instance& entry) {
                                     return entry.name == self_;
                                   });
  if (!member || !UsesRelays(shards, instances.size())) return {};
  const std::size_t sets = RelaySetCount(shards, instances.size());
  std::vector<entry_instance> set;
  for (const entry_instance& entry : instances) {
    if (name_hash()(entry.name) % sets == name_hash()(self_) % sets) {
      set.push_back(entry);
    }
  }
  return set.size() < options_.min_instances ? instances : set;
}

bool relay_plan::UsesRelays(std::size_t shards, std::size_t instances) const {
  return shards >= options_.min_shards && instances >= options_.min_instances;
}

bool relay_plan::UsesRelays(std::size_t shards) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& zone) {
    return UsesRelays(shards, zone.second.size());
  });
}

std::uint32_t relay_plan::InstancesPerShard(
    const std::vector<std::string>& shards) const {
  const std::vector<availability_zone>& replica_zones = ReplicaZones(shards);
  const auto holds = [&](const availability_zone& zone) {
    return std::find(replica_zones.begin(), replica_zones.end(), zone) !=
           replica_zones.end();
  };
  const bool relays_elsewhere = std::any_of(
      replica_zones.begin(), replica_zones.end(), [&](const auto& zone) {
        return UsesRelays(shards.size(), ZoneSize(zone));
      });
  std::size_t count = 0;
  for (const auto& [zone, instances] : entries_) {
    if (relays_elsewhere && !holds(zone)) continue;
    count += UsesRelays(shards.size(), instances.size())
                 ? RelaySetCount(shards.size(), instances.size())
                 : instances.size();
  }
  return static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
}

std::vector<entry_instance> relay_plan::Relays(
    const std::vector<std::string>& shards) const {
  std::vector<entry_instance> relays;
  for (const availability_zone& zone : Zones(shards)) {
    for (entry_instance& entry : RelaySet(shards.size(), zone)) {
      if (entry.name != self_) relays.push_back(std::move(entry));
    }
  }
  return relays;
}

const std::vector<relay_group>& relay_plan::Groups(
    const std::vector<std::string>& shards) {
  return GroupsIn(Zones(shards).front(), shards);
}

const std::vector<relay_group>& relay_plan::GroupsIn(
    const availability_zone& zone, const std::vector<std::string>& shards) {
  const plan_key key(zone, shards);
  const auto known = plans_.find(key);
  if (known != plans_.end()) return known->second;
  if (plans_.size() >= kMaxPlans) plans_.clear();
  std::vector<relay_group>& plan = plans_[key];
  std::vector<instance_name> names;
  for (const entry_instance& entry : RelaySet(shards.size(), zone)) {
    names.push_back(entry.name);
  }
  if (names.empty()) return plan;
  shard_ownership ownership({.load_factor = 1.0, .kept_choices = 16});
  ownership.SetInstances(names);
  std::vector<shard_key> keys;
  keys.reserve(shards.size());
  for (const std::string& shard : shards) keys.push_back({shard, 0});
  ownership.SetShards(keys);
  std::map<instance_name, std::vector<std::size_t>> parts;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    parts[*ownership.Owner(keys[i])].push_back(i);
  }
  for (auto& [name, positions] : parts) {
    plan.push_back({name, std::move(positions)});
  }
  return plan;
}

std::vector<relay_group> relay_plan::UsableGroups(
    const std::vector<std::string>& shards,
    const std::function<bool(const instance_name&)>& usable) {
  std::vector<relay_group> best;
  for (const availability_zone& zone : Zones(shards)) {
    const std::vector<relay_group>& groups = GroupsIn(zone, shards);
    std::vector<relay_group> usable_groups;
    for (const relay_group& group : groups) {
      if (usable(group.relay)) usable_groups.push_back(group);
    }
    const bool enough =
        static_cast<double>(usable_groups.size()) >=
        options_.min_usable_share * static_cast<double>(groups.size());
    if (usable_groups.size() > best.size()) best = std::move(usable_groups);
    if (enough && !best.empty()) break;
  }
  return best;
}

}  // namespace bilberrycourse
