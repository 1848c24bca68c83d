#ifndef BILBERRYCOURSE_SHARD_DIRECTORY_H_
#define BILBERRYCOURSE_SHARD_DIRECTORY_H_

// Tracks which shards a target has at each index version and which of them have
// a serving replica, and selects the version that a new query is pinned to.
//
//   shard_directory directory(shard_directory_options{});
//   directory.SetGroup("catalogue", {"search-00", "search-01"});
//   directory.RecordShardSet("search-00", version, 1);
//   directory.UpdateBackendServer(record);
//   std::shared_ptr<const snapshot_plan> plan = directory.Pick("catalogue");
//
// A shard counts as serving if at least one replica in state kServing
// announces the version together with the recorded shard count. A shard set
// that is not recorded is not served, because its shard count is not agreed
// yet.
//
// Updates cost O(versions of the replica x log versions). Pick costs
// O(shards x versions) after a change that affects the target and O(1)
// otherwise, because the plans of a target are cached until such a change.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/backend_server_record.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct shard_directory_options {
  std::uint32_t max_shards_per_service = 4096;
  // Recorded index versions kept per service; the oldest one without a serving
  // replica is evicted first.
  std::size_t max_versions_per_service = 64;
  std::size_t max_backend_servers = 65536;
  std::size_t max_groups = 4096;
  std::size_t max_services = 65536;
};

struct planned_shard {
  shard_key key;
  // False if no replica serves the shard at the version of the plan.
  bool serving = false;
  // Replicas that serve the shard at the version of the plan.
  std::uint32_t replicas = 0;
  bool operator==(const planned_shard&) const = default;
};

// The shards of one target at one index version, by which the coverage of an
// answer is measured. Immutable and shared between queries.
struct snapshot_plan {
  index_version version{};
  // In the order of the services of the target, then by shard.
  std::vector<planned_shard> shards;
  std::uint32_t serving = 0;
};

class shard_directory {
 public:
  explicit shard_directory(shard_directory_options options = {});

  // Creates or replaces a group. A service that is listed twice counts once.
  result_code SetGroup(const std::string& name,
                       std::vector<std::string> services);
  void RemoveGroup(const std::string& name);

  // Records the shard count of an index version. The first record wins: another
  // count for the same version returns kShardCountConflict.
  result_code RecordShardSet(const std::string& service, index_version version,
                             std::uint32_t shard_count);

  // Updates a replica from its announcement. Returns kStaleIncarnation for one
  // older than the known one, kInvalidField for one that is out of bounds, and
  // kShardCountConflict if a version is recorded with another shard count; in
  // the last case the replica is kept, but does not serve that version.
  result_code UpdateBackendServer(const backend_server_record& record);
  void RemoveBackendServer(const backend_server_key& key);

  // True if a group or a service with this name is known.
  bool Contains(const std::string& target) const;
  // The admission scope of a target: the group itself, the first group in
  // order of names that lists the service, or else the service.
  std::string ScopeOf(const std::string& target) const;

  // Returns the plan of the version with the largest share of serving shards,
  // or the newest of several such versions. Null if the target is unknown. If
  // no shard set is recorded, the plan has version 0 and, for each service, one
  // shard that is not serving.
  std::shared_ptr<const snapshot_plan> Pick(const std::string& target) const;
  // Like Pick, but skips version `excluded`. Null if there is no other version.
  // Used to restart a query whose version is gone.
  std::shared_ptr<const snapshot_plan> PickExcluding(
      const std::string& target, index_version excluded) const;
  // Returns the plan at one version. A service without a shard set recorded at
  // that version counts with its newest recorded set, a service without any as
  // one shard.
  std::shared_ptr<const snapshot_plan> PlanAt(const std::string& target,
                                              index_version version) const;

  // True if a replica serves the shard at the version now.
  bool Serves(const shard_key& shard, index_version version) const;

  // Returns the smallest number of slots that the serving replicas of one shard
  // of the target have together, at the version that Pick returns. Shards
  // without slots are skipped. At least 1. Lower bound of the admission limit.
  std::uint32_t SmallestShardSlots(const std::string& target) const;

  std::optional<std::uint32_t> RecordedShardCount(const std::string& service,
                                                  index_version version) const;
  // Increases with each change that may alter a plan.
  std::uint64_t revision() const { return revision_; }
  std::size_t backend_server_count() const { return replicas_.size(); }

 private:
  struct shard_counts {
    std::uint32_t replicas = 0;
    std::uint32_t slots = 0;
  };
  struct shard_set {
    std::vector<shard_counts> shards;
    std::uint32_t serving = 0;
  };
  struct service_entry {
    std::map<index_version, shard_set> versions;
    std::uint64_t revision = 0;
  };
  struct plan_cache {
    std::uint64_t revision = 0;
    // The best plans, best first. A restarted query uses another than the
    // first.
    std::vector<std::shared_ptr<const snapshot_plan>> plans;
    std::uint32_t smallest_shard_slots = 1;
  };

  // Adds the replica to, or removes it from, the counts of every version that
  // it serves.
  void UpdateCounts(const backend_server_record& record, bool add);
  static void UpdateShardCounts(const backend_server_record& record,
                                shard_set* set, bool add);
  // Removes versions beyond max_versions_per_service.
  void EvictVersions(service_entry* service);
  void RebuildGroupIndex();
  const service_entry* FindService(const std::string& service) const;
  std::vector<std::string> ServicesOf(const std::string& target) const;
  std::shared_ptr<const snapshot_plan> BuildPlan(
      const std::vector<std::string>& services, index_version version) const;
  // Returns the plans of the target, rebuilt if they are out of date. Null if
  // the target is unknown.
  const plan_cache* CurrentPlans(const std::string& target) const;

  shard_directory_options options_;
  std::map<std::string, std::vector<std::string>> groups_;
  // Maps a service to the first group that lists it.
  std::unordered_map<std::string, std::string> group_by_service_;
  std::unordered_map<std::string, service_entry> services_;
  std::map<backend_server_key, backend_server_record> replicas_;
  std::uint64_t revision_ = 1;
  mutable std::unordered_map<std::string, plan_cache> cache_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_DIRECTORY_H_
