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
  std::vector<entry_instance> same_zone;
  zone_sizes_.clear();
  for (const entry_instance& entry : entries) {
    ++zone_sizes_[entry.zone];
    if (entry.zone == zone_) same_zone.push_back(entry);
  }
  std::sort(same_zone.begin(), same_zone.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  if (same_zone == zone_entries_) return;
  zone_entries_ = std::move(same_zone);
  plans_.clear();
}

std::vector<entry_instance> relay_plan::RelaySet(std::size_t shards) const {
  const bool member = std::any_of(
      zone_entries_.begin(), zone_entries_.end(),
      [&](const entry_instance& entry) { return entry.name == self_; });
  if (!member || !UsesRelays(shards, zone_entries_.size())) return {};
  const std::size_t sets = RelaySetCount(shards, zone_entries_.size());
  std::vector<entry_instance> set;
  for (const entry_instance& entry : zone_entries_) {
    if (name_hash()(entry.name) % sets == name_hash()(self_) % sets) {
      set.push_back(entry);
    }
  }
  return set.size() < options_.min_instances ? zone_entries_ : set;
}

bool relay_plan::UsesRelays(std::size_t shards, std::size_t instances) const {
  return shards >= options_.min_shards && instances >= options_.min_instances;
}

bool relay_plan::UsesRelays(std::size_t shards) const {
  return std::any_of(
      zone_sizes_.begin(), zone_sizes_.end(),
      [&](const auto& zone) { return UsesRelays(shards, zone.second); });
}

std::uint32_t relay_plan::InstancesPerShard(std::size_t shards) const {
  std::size_t count = 0;
  for (const auto& [zone, size] : zone_sizes_) {
    count += UsesRelays(shards, size) ? RelaySetCount(shards, size) : size;
  }
  return static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
}

std::vector<entry_instance> relay_plan::Relays(std::size_t shards) const {
  std::vector<entry_instance> relays = RelaySet(shards);
  std::erase_if(
      relays, [&](const entry_instance& entry) { return entry.name == self_; });
  return relays;
}

const std::vector<relay_group>& relay_plan::Groups(
    const std::vector<std::string>& shards) {
  const auto known = plans_.find(shards);
  if (known != plans_.end()) return known->second;
  if (plans_.size() >= kMaxPlans) plans_.clear();
  std::vector<relay_group>& plan = plans_[shards];
  std::vector<instance_name> names;
  for (const entry_instance& entry : RelaySet(shards.size())) {
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

}  // namespace bilberrycourse
