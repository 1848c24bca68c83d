#include "bilberrycourse/shard_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberrycourse {
namespace {

// Plans cached per target. New queries are pinned to the first; restarted
// queries use the others.
constexpr std::size_t kCachedPlansPerTarget = 4;

bool IsWellFormed(const backend_server_record& record,
                  const shard_directory_options& options) {
  const auto& versions = record.versions;
  return !record.key.shard.service.empty() && record.shard_count > 0 &&
         record.shard_count <= options.max_shards_per_service &&
         record.key.shard.shard < record.shard_count &&
         versions.size() <= options.max_versions_per_service &&
         std::ranges::adjacent_find(versions, std::greater_equal<>()) ==
             versions.end();
}

}  // namespace

shard_directory::shard_directory(shard_directory_options options)
    : options_(options) {}

result_code shard_directory::SetGroup(const std::string& name,
                                      std::vector<std::string> services) {
  if (name.empty() || services.empty() ||
      services.size() > options_.max_services) {
    return result_code::kInvalidField;
  }
  if (!groups_.contains(name) && groups_.size() >= options_.max_groups) {
    return result_code::kInvalidField;
  }
  std::set<std::string> seen;
  std::erase_if(services, [&seen](const std::string& service) {
    return !seen.insert(service).second;
  });
  groups_[name] = std::move(services);
  RebuildGroupIndex();
  cache_.erase(name);
  ++revision_;
  return result_code::kOk;
}

void shard_directory::RemoveGroup(const std::string& name) {
  if (groups_.erase(name) == 0) return;
  RebuildGroupIndex();
  cache_.erase(name);
  ++revision_;
}

void shard_directory::RebuildGroupIndex() {
  group_by_service_.clear();
  for (const auto& [group, services] : groups_) {
    for (const std::string& service : services) {
      group_by_service_.try_emplace(service, group);
    }
  }
}

result_code shard_directory::RecordShardSet(const std::string& service,
                                            index_version version,
                                            std::uint32_t shard_count) {
  if (service.empty() || shard_count == 0 ||
      shard_count > options_.max_shards_per_service) {
    return result_code::kInvalidField;
  }
  if (!services_.contains(service) &&
      services_.size() >= options_.max_services) {
    return result_code::kInvalidField;
  }
  service_entry& entry = services_[service];
  auto [position, inserted] = entry.versions.try_emplace(version);
  shard_set& set = position->second;
  if (!inserted) {
    return set.shards.size() == shard_count ? result_code::kOk
                                            : result_code::kShardCountConflict;
  }
  set.shards.resize(shard_count);
  const backend_server_key first{{service, 0}, {}};
  for (auto replica = replicas_.lower_bound(first);
       replica != replicas_.end() && replica->first.shard.service == service;
       ++replica) {
    const backend_server_record& record = replica->second;
    if (std::ranges::binary_search(record.versions, version)) {
      UpdateShardCounts(record, &set, true);
    }
  }
  EvictVersions(&entry);
  entry.revision = ++revision_;
  return result_code::kOk;
}

void shard_directory::EvictVersions(service_entry* service) {
  auto& versions = service->versions;
  while (versions.size() > options_.max_versions_per_service) {
    auto unused = std::ranges::find_if(
        versions, [](const auto& item) { return item.second.serving == 0; });
    // The newest set is kept, because it is used for versions without a record.
    if (unused == versions.end() || std::next(unused) == versions.end()) {
      unused = versions.begin();
    }
    versions.erase(unused);
  }
}

result_code shard_directory::UpdateBackendServer(
    const backend_server_record& record) {
  if (!IsWellFormed(record, options_)) return result_code::kInvalidField;
  const std::string& service = record.key.shard.service;
  auto position = replicas_.find(record.key);
  if (position == replicas_.end()) {
    if (replicas_.size() >= options_.max_backend_servers ||
        (!services_.contains(service) &&
         services_.size() >= options_.max_services)) {
      return result_code::kInvalidField;
    }
    replicas_.emplace(record.key, record);
  } else {
    backend_server_record& known = position->second;
    const auto age = std::pair(record.incarnation, record.sequence);
    const auto known_age = std::pair(known.incarnation, known.sequence);
    if (age < known_age) return result_code::kStaleIncarnation;
    if (age > known_age) {
      UpdateCounts(known, false);
      known = record;
    } else {
      return result_code::kOk;
    }
  }
  UpdateCounts(record, true);
  service_entry& entry = services_[service];
  entry.revision = ++revision_;
  for (const index_version version : record.versions) {
    const auto set = entry.versions.find(version);
    if (set != entry.versions.end() &&
        set->second.shards.size() != record.shard_count) {
      return result_code::kShardCountConflict;
    }
  }
  return result_code::kOk;
}

void shard_directory::RemoveBackendServer(const backend_server_key& key) {
  const auto position = replicas_.find(key);
  if (position == replicas_.end()) return;
  UpdateCounts(position->second, false);
  services_[key.shard.service].revision = ++revision_;
  replicas_.erase(position);
}

void shard_directory::UpdateCounts(const backend_server_record& record,
                                   bool add) {
  const auto service = services_.find(record.key.shard.service);
  if (service == services_.end()) return;
  for (const index_version version : record.versions) {
    const auto set = service->second.versions.find(version);
    if (set != service->second.versions.end()) {
      UpdateShardCounts(record, &set->second, add);
    }
  }
}

void shard_directory::UpdateShardCounts(const backend_server_record& record,
                                        shard_set* set, bool add) {
  // If the shard counts differ, the replica holds other documents than the
  // shard with the same number in the recorded set.
  if (record.state != backend_server_state::kServing ||
      record.shard_count != set->shards.size()) {
    return;
  }
  shard_counts& counts = set->shards[record.key.shard.shard];
  if (add) {
    if (counts.replicas++ == 0) ++set->serving;
    counts.slots += record.slots;
  } else {
    if (--counts.replicas == 0) --set->serving;
    counts.slots -= record.slots;
  }
}

bool shard_directory::Contains(const std::string& target) const {
  return groups_.contains(target) || services_.contains(target);
}

std::string shard_directory::ScopeOf(const std::string& target) const {
  if (groups_.contains(target)) return target;
  const auto group = group_by_service_.find(target);
  return group == group_by_service_.end() ? target : group->second;
}

const shard_directory::service_entry* shard_directory::FindService(
    const std::string& service) const {
  const auto entry = services_.find(service);
  return entry == services_.end() ? nullptr : &entry->second;
}

std::vector<std::string> shard_directory::ServicesOf(
    const std::string& target) const {
  const auto group = groups_.find(target);
  if (group != groups_.end()) return group->second;
  if (services_.contains(target)) return {target};
  return {};
}

std::shared_ptr<const snapshot_plan> shard_directory::BuildPlan(
    const std::vector<std::string>& services, index_version version) const {
  auto plan = std::make_shared<snapshot_plan>();
  plan->version = version;
  for (const std::string& service : services) {
    const service_entry* entry = FindService(service);
    if (entry == nullptr || entry->versions.empty()) {
      // The number of shards is not known. One missing shard prevents the
      // answer from being reported as complete.
      plan->shards.push_back({{service, 0}, false});
      continue;
    }
    const auto recorded = entry->versions.find(version);
    const bool is_recorded = recorded != entry->versions.end();
    const shard_set& set =
        is_recorded ? recorded->second : entry->versions.rbegin()->second;
    for (std::uint32_t shard = 0; shard < set.shards.size(); ++shard) {
      const std::uint32_t replicas =
          is_recorded ? set.shards[shard].replicas : 0;
      plan->shards.push_back({{service, shard}, replicas > 0, replicas});
      if (replicas > 0) ++plan->serving;
    }
  }
  return plan;
}

const shard_directory::plan_cache* shard_directory::CurrentPlans(
    const std::string& target) const {
  const auto known = cache_.find(target);
  if (known != cache_.end() && known->second.revision == revision_) {
    return &known->second;
  }
  const std::vector<std::string> services = ServicesOf(target);
  if (services.empty()) return nullptr;
  std::uint64_t newest = 0;
  for (const std::string& service : services) {
    const service_entry* entry = FindService(service);
    if (entry != nullptr) newest = std::max(newest, entry->revision);
  }
  if (known != cache_.end() && known->second.revision >= newest) {
    known->second.revision = revision_;
    return &known->second;
  }

  // Serving and total shards of each candidate version.
  struct candidate {
    index_version version{};
    std::uint64_t serving = 0;
    std::uint64_t total = 0;
  };
  std::map<index_version, candidate> by_version;
  std::uint64_t newest_total = 0;
  for (const std::string& service : services) {
    const service_entry* entry = FindService(service);
    if (entry == nullptr || entry->versions.empty()) {
      ++newest_total;
      continue;
    }
    const std::uint64_t last = entry->versions.rbegin()->second.shards.size();
    newest_total += last;
    for (const auto& [version, set] : entry->versions) {
      candidate& item = by_version[version];
      item.version = version;
      item.serving += set.serving;
      // The difference from newest_total, which is added below.
      item.total += set.shards.size() - last;
    }
  }
  std::vector<candidate> candidates;
  for (auto& [version, item] : by_version) {
    item.total += newest_total;
    candidates.push_back(item);
  }
  std::ranges::sort(candidates, [](const candidate& a, const candidate& b) {
    const std::uint64_t left = a.serving * b.total;
    const std::uint64_t right = b.serving * a.total;
    return left != right ? left > right : a.version > b.version;
  });

  plan_cache cache;
  cache.revision = revision_;
  if (candidates.empty()) {
    cache.plans.push_back(BuildPlan(services, index_version{}));
  }
  for (const candidate& item : candidates) {
    if (cache.plans.size() == kCachedPlansPerTarget) break;
    cache.plans.push_back(BuildPlan(services, item.version));
  }
  std::uint32_t min_slots = 0;
  const snapshot_plan& best = *cache.plans.front();
  for (const planned_shard& shard : best.shards) {
    if (!shard.serving) continue;
    const shard_set& set =
        FindService(shard.key.service)->versions.at(best.version);
    const std::uint32_t slots = set.shards[shard.key.shard].slots;
    if (slots == 0) continue;
    min_slots = min_slots == 0 ? slots : std::min(min_slots, slots);
  }
  cache.smallest_shard_slots = std::max(min_slots, 1u);
  return &cache_.insert_or_assign(target, std::move(cache)).first->second;
}

std::shared_ptr<const snapshot_plan> shard_directory::Pick(
    const std::string& target) const {
  const plan_cache* cache = CurrentPlans(target);
  return cache == nullptr ? nullptr : cache->plans.front();
}

std::shared_ptr<const snapshot_plan> shard_directory::PickExcluding(
    const std::string& target, index_version excluded) const {
  const plan_cache* cache = CurrentPlans(target);
  if (cache == nullptr) return nullptr;
  for (const auto& plan : cache->plans) {
    if (plan->version != excluded) return plan;
  }
  return nullptr;
}

std::shared_ptr<const snapshot_plan> shard_directory::PlanAt(
    const std::string& target, index_version version) const {
  const std::vector<std::string> services = ServicesOf(target);
  return services.empty() ? nullptr : BuildPlan(services, version);
}

bool shard_directory::Serves(const shard_key& shard,
                             index_version version) const {
  const service_entry* service = FindService(shard.service);
  if (service == nullptr) return false;
  const auto set = service->versions.find(version);
  return set != service->versions.end() &&
         shard.shard < set->second.shards.size() &&
         set->second.shards[shard.shard].replicas > 0;
}

std::uint32_t shard_directory::SmallestShardSlots(
    const std::string& target) const {
  const plan_cache* cache = CurrentPlans(target);
  return cache == nullptr ? 1 : cache->smallest_shard_slots;
}

std::optional<std::uint32_t> shard_directory::RecordedShardCount(
    const std::string& service, index_version version) const {
  const service_entry* entry = FindService(service);
  if (entry == nullptr) return std::nullopt;
  const auto set = entry->versions.find(version);
  if (set == entry->versions.end()) return std::nullopt;
  return static_cast<std::uint32_t>(set->second.shards.size());
}

}  // namespace bilberrycourse
