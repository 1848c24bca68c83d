#ifndef BILBERRYCOURSE_SHARD_OWNERSHIP_H_
#define BILBERRYCOURSE_SHARD_OWNERSHIP_H_

// Owner and deputy of every shard, and the admission instance of every scope.
//
//   shard_ownership ownership;
//   ownership.SetInstances(members.AliveWithRole(instance_role::kEntry));
//   ownership.SetShards(shards);
//   const shard_owner* o = ownership.Find({"catalogue", 3});
//   if (o != nullptr && ownership.instances()[o->owner] == self) ...
//   const instance_name* admission = ownership.AdmissionInstance("search");
//
// Bounded-load rendezvous hashing: each pair of shard and instance has a
// score by xxHash; each shard prefers instances by descending score, each
// instance holds at most ceil(1.25 x mean) shards and keeps those with the
// highest scores. This is a stable matching with one common order of all pairs;
// it has exactly one solution, so instances with equal inputs compute equal
// owners whatever the order of earlier changes. The assignment is cached and
// computed again when an input changes.

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Indexes into instances().
struct shard_owner {
  std::uint32_t owner = 0;
  // The next instance in rendezvous order; equal to the owner only when there
  // is a single instance.
  std::uint32_t deputy = 0;
};

struct shard_ownership_options {
  // An instance holds at most ceil(load_factor x mean) shards.
  double load_factor = 1.25;
};

class shard_ownership {
 public:
  explicit shard_ownership(shard_ownership_options options = {});

  // Entry instances; sorted and freed of duplicates here. Returns true if the
  // set changed.
  bool SetInstances(std::vector<instance_name> instances);
  // All known shards; sorted and freed of duplicates here. Returns true if
  // the set changed.
  bool SetShards(std::vector<shard_key> shards);

  // Owner and deputy, nullptr if the shard is unknown or nobody is alive.
  const shard_owner* Find(const shard_key& shard) const;
  // Names for convenience; nullptr as for Find().
  const instance_name* Owner(const shard_key& shard) const;
  const instance_name* Deputy(const shard_key& shard) const;
  // The instance that admits requests of `scope`, nullptr if nobody is alive.
  const instance_name* AdmissionInstance(std::string_view scope) const;
  // Shards owned by `instance`, ascending.
  std::vector<shard_key> OwnedBy(const instance_name& instance) const;

  const std::vector<instance_name>& instances() const { return instances_; }
  const std::vector<shard_key>& shards() const { return shards_; }
  // Most shards that one instance may own.
  std::size_t capacity() const;

 private:
  void Assign();

  shard_ownership_options options_;
  std::vector<instance_name> instances_;
  std::vector<std::uint64_t> instance_hashes_;
  std::vector<shard_key> shards_;
  std::vector<shard_owner> owners_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_OWNERSHIP_H_
