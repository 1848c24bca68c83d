#ifndef BILBERRYCOURSE_SHARD_DIRECTORY_H_
#define BILBERRYCOURSE_SHARD_DIRECTORY_H_

// Which shards a target has at each index version, which of them have a
// serving replica, and which version a new query is pinned to.
//
//   shard_directory directory(shard_directory_options{});
//   directory.SetGroup("catalogue", {"search-00", "search-01"});
//   directory.RecordShardSet("search-00", version, 1);
//   directory.UpdateBackendServer(record);
//   std::shared_ptr<const snapshot_plan> plan = directory.Pick("catalogue");
//
// A shard counts as serving if at least one replica in state kServing
// announces the version together with the recorded shard count. A shard set
// that is not recorded is not served: its shard count is not agreed yet.
//
// Updates cost O(versions of the replica x log versions). Pick costs
// O(shards x versions) after a change that touches the target and O(1)
// otherwise, because the plans of a target are cached until then.

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

// The denominator of one target at one index version. Immutable and shared
// between queries.
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

  // Takes the newest announcement of a replica. Returns kStaleIncarnation for
  // an older one, kInvalidField for one that is out of bounds, and
  // kShardCountConflict if a version is recorded with another shard count; in
  // the last case the replica is kept, but does not serve that version.
  result_code UpdateBackendServer(const backend_server_record& record);
  void RemoveBackendServer(const backend_server_key& key);

  // True if a group or a service with this name is known.
  bool Contains(const std::string& target) const;
  // The admission scope of a target: the group itself, the first group in
  // order of names that lists the service, or else the service.
  std::string ScopeOf(const std::string& target) const;

  // The plan of the version with the largest share of serving shards, the
  // newest of equal ones. Null if the target is unknown. If nothing is
  // recorded, the plan has version 0 and one shard that does not serve for each
  // service.
  std::shared_ptr<const snapshot_plan> Pick(const std::string& target) const;
  // As Pick, without `excluded`. Null if there is no other version.
  std::shared_ptr<const snapshot_plan> PickOther(const std::string& target,
                                                 index_version excluded) const;
  // The plan at one version. A service without a record at that version counts
  // with its newest recorded set, a service without any record as one shard.
  std::shared_ptr<const snapshot_plan> PlanAt(const std::string& target,
                                              index_version version) const;

  // True if a replica serves the shard at the version now.
  bool Serves(const shard_key& shard, index_version version) const;

  // Slots of all serving replicas of the shard of the target that has the
  // fewest, at the version that Pick returns; shards without slots are left
  // out. At least 1. The floor of the admission limit.
  std::uint32_t SmallestShardSlots(const std::string& target) const;

  std::optional<std::uint32_t> RecordedShardCount(const std::string& service,
                                                  index_version version) const;
  // Grows with each change that may alter a plan.
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
    // The best plans only; a restart needs the second.
    std::vector<std::shared_ptr<const snapshot_plan>> best_first;
    std::uint32_t smallest_shard_slots = 1;
  };

  // Adds or removes the replica from the counts of every version it serves.
  void Count(const backend_server_record& record, bool add);
  static void CountAt(const backend_server_record& record, shard_set* set,
                      bool add);
  void Evict(service_entry* service);
  void RebuildScopes();
  const service_entry* FindService(const std::string& service) const;
  std::vector<std::string> ServicesOf(const std::string& target) const;
  std::shared_ptr<const snapshot_plan> BuildPlan(
      const std::vector<std::string>& services, index_version version) const;
  // Null if the target is unknown.
  const plan_cache* Cached(const std::string& target) const;

  shard_directory_options options_;
  std::map<std::string, std::vector<std::string>> groups_;
  // Group of each grouped service.
  std::unordered_map<std::string, std::string> scopes_;
  std::unordered_map<std::string, service_entry> services_;
  std::map<backend_server_key, backend_server_record> replicas_;
  std::uint64_t revision_ = 1;
  mutable std::unordered_map<std::string, plan_cache> cache_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_DIRECTORY_H_
