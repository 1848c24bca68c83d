#include "bilberrycourse/relay_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

// Maximum number of shard lists that are cached; a configuration has few.
constexpr std::size_t kMaxShardLists = 64;

bool Contains(const std::vector<availability_zone>& zones,
              const availability_zone& zone) {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
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
  // Instances start and stop often, and a plan costs up to a millisecond, so
  // plans without a changed zone are kept.
  std::set<availability_zone> changed;
  bool relay_zones_changed = false;
  const auto compare = [&](const auto& from, const auto& to) {
    for (const auto& [zone, instances] : from) {
      const auto other = to.find(zone);
      const std::size_t size = other == to.end() ? 0 : other->second.size();
      if (other != to.end() && other->second == instances) continue;
      changed.insert(zone);
      relay_zones_changed = relay_zones_changed ||
                            (size >= options_.min_instances) !=
                                (instances.size() >= options_.min_instances);
    }
  };
  compare(entries_, by_zone);
  compare(by_zone, entries_);
  entries_ = std::move(by_zone);
  std::erase_if(plans_, [&](const auto& plan) {
    return relay_zones_changed || plan.second.empty() ||
           std::any_of(
               plan.second.begin(), plan.second.end(),
               [&](const auto& zone) { return changed.contains(zone.first); });
  });
}

bool relay_plan::SetReplicaZones(const shard_list& shards,
                                 replica_zones zones) {
  const auto known = replica_zones_.find(shards);
  if (known != replica_zones_.end() && known->second == zones) return false;
  if (replica_zones_.size() >= kMaxShardLists) replica_zones_.clear();
  replica_zones_[shards] = std::move(zones);
  plans_.erase(shards);
  return true;
}

bool relay_plan::ReplicasMoved(const shard_list& shards,
                               const replica_zones& zones) const {
  return ReplicaZones(shards) != zones;
}

const relay_plan::replica_zones& relay_plan::ReplicaZones(
    const shard_list& shards) const {
  static const replica_zones kUnknown;
  const auto found = replica_zones_.find(shards);
  return found == replica_zones_.end() ? kUnknown : found->second;
}

std::vector<std::size_t> relay_plan::HeldShards(
    const shard_list& shards, const availability_zone& zone) const {
  const replica_zones& zones = ReplicaZones(shards);
  std::vector<std::size_t> held;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    if (zones.empty() || Contains(zones[i], zone)) held.push_back(i);
  }
  return held;
}

bool relay_plan::UsesRelays(std::size_t shards,
                            const availability_zone& zone) const {
  const auto found = entries_.find(zone);
  return shards >= options_.min_shards && found != entries_.end() &&
         found->second.size() >= options_.min_instances;
}

bool relay_plan::UsesRelays(std::size_t shards) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& zone) {
    return UsesRelays(shards, zone.first);
  });
}

std::size_t relay_plan::RelaySetCount(std::size_t held,
                                      const availability_zone& zone) const {
  const auto wanted = static_cast<std::size_t>(
      std::lround(std::sqrt(static_cast<double>(held))));
  const std::size_t size =
      std::max({wanted, options_.min_instances, std::size_t{1}});
  return std::max<std::size_t>(1, entries_.at(zone).size() / size);
}

std::vector<entry_instance> relay_plan::RelaySet(
    std::size_t held, const availability_zone& zone) const {
  const std::vector<entry_instance>& instances = entries_.at(zone);
  const std::size_t sets = RelaySetCount(held, zone);
  std::vector<entry_instance> set;
  // A set that the hash made too small is joined with the next ones.
  for (std::size_t i = 0; i < sets && set.size() < options_.min_instances;
       ++i) {
    const std::size_t index = (name_hash()(self_) + i) % sets;
    for (const entry_instance& entry : instances) {
      if (name_hash()(entry.name) % sets == index) set.push_back(entry);
    }
  }
  return set;
}

// Greedy set cover of the shards that the own zone lacks. Ties are broken by a
// hash of the instance, so that origins spread over the zones.
std::vector<availability_zone> relay_plan::AssignZones(
    const shard_list& shards) const {
  const replica_zones& zones = ReplicaZones(shards);
  std::vector<availability_zone> assigned(shards.size(), zone_);
  std::set<std::size_t> open;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    if (!Contains(zones[i], zone_)) open.insert(i);
  }
  while (!open.empty()) {
    std::map<availability_zone, std::size_t> counts;
    for (const std::size_t i : open) {
      for (const availability_zone& zone : zones[i]) {
        if (UsesRelays(shards.size(), zone)) ++counts[zone];
      }
    }
    std::pair<std::size_t, std::size_t> best{0, 0};
    availability_zone best_zone;
    for (const auto& [zone, count] : counts) {
      const std::pair rank(count, name_hash()(self_ + " " + zone));
      if (best_zone.empty() || rank > best) {
        best = rank;
        best_zone = zone;
      }
    }
    // Relays of the own zone search shards without a replica in any zone that
    // has relays.
    if (best_zone.empty()) break;
    std::erase_if(open, [&](std::size_t i) {
      if (!Contains(zones[i], best_zone)) return false;
      assigned[i] = best_zone;
      return true;
    });
  }
  return assigned;
}

std::uint32_t relay_plan::InstancesPerShard(const shard_list& shards) const {
  // Instances that search each shard that the zone holds, by zone.
  std::map<availability_zone, std::size_t> searching;
  // Instances that search every shard, because their zone has no relays.
  std::size_t everywhere = 0;
  for (const auto& [zone, instances] : entries_) {
    if (UsesRelays(shards.size(), zone)) {
      searching[zone] = RelaySetCount(HeldShards(shards, zone).size(), zone);
    } else {
      everywhere += instances.size();
    }
  }
  const replica_zones& zones = ReplicaZones(shards);
  std::size_t most = 0;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    std::size_t count = everywhere;
    bool held = false;
    for (const auto& [zone, sets] : searching) {
      if (!zones.empty() && !Contains(zones[i], zone)) continue;
      count += sets;
      held = true;
    }
    // Every zone's own relays search a shard that no zone with relays holds.
    if (!held) {
      for (const auto& [zone, sets] : searching) count += sets;
    }
    most = std::max(most, count);
  }
  return static_cast<std::uint32_t>(std::max<std::size_t>(most, 1));
}

std::vector<entry_instance> relay_plan::Relays(const shard_list& shards) {
  std::vector<entry_instance> relays;
  for (const auto& [zone, groups] : Groups(shards)) {
    for (const entry_instance& entry : entries_[zone]) {
      const bool used = std::any_of(
          groups.begin(), groups.end(),
          [&](const relay_group& group) { return group.relay == entry.name; });
      if (used && entry.name != self_) relays.push_back(entry);
    }
  }
  return relays;
}

const relay_plan::zone_groups& relay_plan::Groups(const shard_list& shards) {
  const auto known = plans_.find(shards);
  if (known != plans_.end()) return known->second;
  if (plans_.size() >= kMaxShardLists) plans_.clear();
  zone_groups& plan = plans_[shards];
  const auto own = entries_.find(zone_);
  const bool member = own != entries_.end() &&
                      std::any_of(own->second.begin(), own->second.end(),
                                  [&](const entry_instance& entry) {
                                    return entry.name == self_;
                                  });
  if (!member || !UsesRelays(shards.size(), zone_)) return plan;
  const std::vector<availability_zone> assigned = AssignZones(shards);
  const std::set<availability_zone> used(assigned.begin(), assigned.end());
  for (const availability_zone& zone : used) {
    std::vector<std::size_t> held = HeldShards(shards, zone);
    std::vector<instance_name> names;
    for (const entry_instance& entry : RelaySet(held.size(), zone)) {
      names.push_back(entry.name);
    }
    // Shards that are assigned to a zone that does not hold them.
    for (std::size_t i = 0; i < shards.size(); ++i) {
      if (assigned[i] == zone &&
          !std::binary_search(held.begin(), held.end(), i)) {
        held.insert(std::lower_bound(held.begin(), held.end(), i), i);
      }
    }
    shard_ownership ownership({.load_factor = 1.0, .kept_choices = 16});
    ownership.SetInstances(names);
    std::vector<shard_key> keys;
    for (const std::size_t i : held) keys.push_back({shards[i], 0});
    ownership.SetShards(keys);
    std::map<instance_name, std::vector<std::size_t>> parts;
    for (const std::size_t i : held) {
      if (assigned[i] != zone) continue;
      parts[*ownership.Owner({shards[i], 0})].push_back(i);
    }
    for (auto& [name, positions] : parts) {
      plan[zone].push_back({name, std::move(positions)});
    }
  }
  return plan;
}

std::vector<relay_group> relay_plan::UsableGroups(
    const shard_list& shards,
    const std::function<bool(const instance_name&)>& usable) {
  std::vector<relay_group> own_groups;
  std::vector<relay_group> other_groups;
  std::vector<std::size_t> moved;
  for (const auto& [zone, groups] : Groups(shards)) {
    std::vector<relay_group> usable_groups;
    for (const relay_group& group : groups) {
      if (usable(group.relay)) usable_groups.push_back(group);
    }
    const double min_usable =
        options_.min_usable_share * static_cast<double>(groups.size());
    if (zone == zone_) {
      own_groups = std::move(usable_groups);
    } else if (static_cast<double>(usable_groups.size()) >= min_usable) {
      std::move(usable_groups.begin(), usable_groups.end(),
                std::back_inserter(other_groups));
    } else {
      for (const relay_group& group : groups) {
        moved.insert(moved.end(), group.parts.begin(), group.parts.end());
      }
    }
  }
  for (std::size_t i = 0; i < moved.size() && !own_groups.empty(); ++i) {
    own_groups[i % own_groups.size()].parts.push_back(moved[i]);
  }
  std::move(other_groups.begin(), other_groups.end(),
            std::back_inserter(own_groups));
  return own_groups;
}

}  // namespace bilberrycourse
