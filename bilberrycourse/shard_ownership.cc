#include "bilberrycourse/shard_ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>

namespace bilberrycourse {
namespace {

std::uint64_t Hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t Hash(const shard_key& key) {
  return Hash(key.service, XXH3_64bits(&key.shard, sizeof(key.shard)));
}

std::uint64_t Score(std::uint64_t shard_hash, std::uint64_t instance_hash) {
  return XXH3_64bits_withSeed(&shard_hash, sizeof(shard_hash), instance_hash);
}

// Score with the index as a tie-break; equal scores of one shard are
// possible in principle and must not depend on the order of evaluation.
using ranked = std::pair<std::uint64_t, std::uint32_t>;

// Finds the best instance below `limit` in the order of `hash`; false if there
// is none.
bool Next(std::uint64_t hash, const std::vector<std::uint64_t>& instances,
          const ranked& limit, ranked* next) {
  bool found = false;
  ranked best;
  for (std::uint32_t i = 0; i < instances.size(); ++i) {
    const ranked candidate{Score(hash, instances[i]), i};
    if (candidate < limit && (!found || best < candidate)) {
      best = candidate;
      found = true;
    }
  }
  if (found) *next = best;
  return found;
}

constexpr ranked kTop{UINT64_MAX, UINT32_MAX};

}  // namespace

shard_ownership::shard_ownership(shard_ownership_options options)
    : options_(options) {}

bool shard_ownership::SetInstances(std::vector<instance_name> instances) {
  std::sort(instances.begin(), instances.end());
  instances.erase(std::unique(instances.begin(), instances.end()),
                  instances.end());
  if (instances == instances_) return false;
  instances_ = std::move(instances);
  instance_hashes_.clear();
  for (const instance_name& name : instances_) {
    instance_hashes_.push_back(Hash(name, 0));
  }
  Assign();
  return true;
}

bool shard_ownership::SetShards(std::vector<shard_key> shards) {
  std::sort(shards.begin(), shards.end());
  shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
  if (shards == shards_) return false;
  shards_ = std::move(shards);
  Assign();
  return true;
}

std::size_t shard_ownership::capacity() const {
  if (instances_.empty()) return 0;
  return static_cast<std::size_t>(
      std::ceil(std::max(1.0, options_.load_factor) *
                static_cast<double>(shards_.size()) /
                static_cast<double>(instances_.size())));
}

void shard_ownership::Assign() {
  owners_.assign(shards_.size(), {});
  if (instances_.empty() || shards_.empty()) return;
  const std::size_t limit = capacity();

  // Deferred acceptance. Every shard proposes to instances by descending
  // score; a full instance drops the shard with the lowest score, which then
  // proposes to its next choice.
  using held = std::pair<std::uint64_t, std::uint32_t>;  // score, shard
  using weakest_first =
      std::priority_queue<held, std::vector<held>, std::greater<>>;
  std::vector<weakest_first> holds(instances_.size());
  std::vector<std::uint64_t> hashes(shards_.size());
  std::vector<ranked> choice(shards_.size(), kTop);
  for (std::uint32_t first = 0; first < shards_.size(); ++first) {
    hashes[first] = Hash(shards_[first]);
    std::uint32_t shard = first;
    while (true) {
      // Finds one: the capacities add up to at least the number of shards.
      Next(hashes[shard], instance_hashes_, choice[shard], &choice[shard]);
      weakest_first& holder = holds[choice[shard].second];
      holder.emplace(choice[shard].first, shard);
      if (holder.size() <= limit) break;
      shard = holder.top().second;
      holder.pop();
    }
  }
  for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
    ranked deputy = choice[shard];
    // The last in the order is followed by the first.
    if (!Next(hashes[shard], instance_hashes_, choice[shard], &deputy)) {
      Next(hashes[shard], instance_hashes_, kTop, &deputy);
    }
    owners_[shard] = {choice[shard].second, deputy.second};
  }
}

const shard_owner* shard_ownership::Find(const shard_key& shard) const {
  if (instances_.empty()) return nullptr;
  const auto it = std::lower_bound(shards_.begin(), shards_.end(), shard);
  if (it == shards_.end() || *it != shard) return nullptr;
  return &owners_[static_cast<std::size_t>(it - shards_.begin())];
}

const instance_name* shard_ownership::Owner(const shard_key& shard) const {
  const shard_owner* o = Find(shard);
  return o == nullptr ? nullptr : &instances_[o->owner];
}

const instance_name* shard_ownership::Deputy(const shard_key& shard) const {
  const shard_owner* o = Find(shard);
  return o == nullptr ? nullptr : &instances_[o->deputy];
}

const instance_name* shard_ownership::AdmissionInstance(
    std::string_view scope) const {
  if (instances_.empty()) return nullptr;
  // Another seed than for shards, so that a scope and a shard of equal names
  // are independent.
  ranked best;
  Next(Hash(scope, 1), instance_hashes_, kTop, &best);
  return &instances_[best.second];
}

std::vector<shard_key> shard_ownership::OwnedBy(
    const instance_name& instance) const {
  const auto it =
      std::lower_bound(instances_.begin(), instances_.end(), instance);
  std::vector<shard_key> owned;
  if (it == instances_.end() || *it != instance) return owned;
  const auto index = static_cast<std::uint32_t>(it - instances_.begin());
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (owners_[i].owner == index) owned.push_back(shards_[i]);
  }
  return owned;
}

}  // namespace bilberrycourse
