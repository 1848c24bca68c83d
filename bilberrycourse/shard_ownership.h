#ifndef BILBERRYCOURSE_SHARD_OWNERSHIP_H_
#define BILBERRYCOURSE_SHARD_OWNERSHIP_H_

// Determines the owner and deputy of every shard, and the admission instance of
// every scope.
//
//   shard_ownership ownership;
//   ownership.SetInstances(members.AliveWithRole(instance_role::kEntry));
//   ownership.SetShards(shards);
//   const shard_key shard{"catalogue", 3};
//   const instance_name* owner = ownership.Owner(shard);
//   if (owner != nullptr && *owner == self) ...
//   const instance_name* admission = ownership.AdmissionInstance("search");
//
// Bounded-load rendezvous hashing: each pair of shard and instance has a score
// by xxHash. Each shard prefers instances by descending score; each instance
// holds at most ceil(load_factor x mean) shards and keeps those with the
// highest scores. This is a stable matching with one common order of all pairs.
// It has exactly one solution, so instances with equal inputs compute equal
// owners regardless of the order of earlier changes.
//
// The assignment is computed when an input changes. Each shard keeps the
// `kept_choices` instances with its highest scores, which are updated when one
// instance is added or removed without computing all scores again. A shard that
// needs a later choice, or has lost half of the kept ones, scans all instances.

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
  // Number of instances with the highest scores that are kept per shard.
  std::size_t kept_choices = 16;
};

class shard_ownership {
 public:
  explicit shard_ownership(shard_ownership_options options = {});

  // Sets the entry instances; sorts them and removes duplicates. Returns true
  // if the set changed.
  bool SetInstances(std::vector<instance_name> instances);
  // Sets the known shards; sorts them and removes duplicates. Returns true if
  // the set changed.
  bool SetShards(std::vector<shard_key> shards);

  // Returns owner and deputy, or nullptr if the shard is unknown or no instance
  // is alive.
  const shard_owner* Find(const shard_key& shard) const;
  // Return the name of the owner or deputy, or nullptr as Find() does.
  const instance_name* Owner(const shard_key& shard) const;
  const instance_name* Deputy(const shard_key& shard) const;
  // Returns the instance that admits requests of `scope`, or nullptr if no
  // instance is alive.
  const instance_name* AdmissionInstance(std::string_view scope) const;
  // Returns the shards owned by `instance` in ascending order.
  std::vector<shard_key> OwnedBy(const instance_name& instance) const;

  const std::vector<instance_name>& instances() const { return instances_; }
  const std::vector<shard_key>& shards() const { return shards_; }
  // Maximum number of shards that one instance may own.
  std::size_t capacity() const;

 private:
  // Score, and index into instances_ as the tie-break; equal scores must not
  // depend on the order of evaluation.
  using choice = std::pair<std::uint64_t, std::uint32_t>;
  struct shard_state {
    std::uint64_t hash = 0;
    // The instances with the highest scores, in descending order.
    std::vector<choice> choices;
  };

  void RankAll(shard_state* state) const;
  bool NextBest(const shard_state& state, const choice& limit,
                choice* next) const;
  choice ChoiceAt(const shard_state& state, std::size_t position,
                  const choice& previous) const;
  void RemoveAndRenumber(const std::vector<std::uint32_t>& new_index);
  void InsertInstance(std::uint32_t added, std::size_t instances_before);
  void Assign();

  shard_ownership_options options_;
  std::vector<instance_name> instances_;
  std::vector<std::uint64_t> instance_hashes_;
  std::vector<shard_key> shards_;
  std::vector<shard_state> states_;
  std::vector<shard_owner> owners_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SHARD_OWNERSHIP_H_
