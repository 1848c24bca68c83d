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
// owners whatever the order of earlier changes.
//
// The assignment is computed when an input changes. Each shard keeps the first
// `kept_choices` instances of its order, which a change of one instance updates
// without computing all scores again; a shard that needs a later choice, or
// loses half of its kept ones, scans all instances.

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
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
  // Instances kept per shard in the order of their scores.
  std::size_t kept_choices = 16;
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
  // Score, and index into instances_ as the tie-break; equal scores must not
  // depend on the order of evaluation.
  using choice = std::pair<std::uint64_t, std::uint32_t>;
  struct shard_row {
    std::uint64_t hash = 0;
    // The first of all instances in descending order.
    std::vector<choice> choices;
  };

  void Scan(shard_row* row) const;
  bool Next(const shard_row& row, const choice& limit, choice* next) const;
  choice ChoiceAt(const shard_row& row, std::size_t position,
                  const choice& previous) const;
  void RemoveAndRenumber(const std::vector<std::uint32_t>& new_index);
  void Insert(std::uint32_t added, std::size_t instances_before);
  void Assign();

  shard_ownership_options options_;
  std::vector<instance_name> instances_;
  std::vector<std::uint64_t> instance_hashes_;
  std::vector<shard_key> shards_;
  std::vector<shard_row> rows_;
  std::vector<shard_owner> owners_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_OWNERSHIP_H_
