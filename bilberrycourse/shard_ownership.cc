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

constexpr std::uint32_t kRemoved = UINT32_MAX;

}  // namespace

shard_ownership::shard_ownership(shard_ownership_options options)
    : options_(options) {
  options_.kept_choices = std::max<std::size_t>(2, options_.kept_choices);
}

void shard_ownership::Scan(shard_row* row) const {
  std::vector<choice> all(instances_.size());
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    all[i] = {Score(row->hash, instance_hashes_[i]), i};
  }
  const std::size_t kept = std::min(options_.kept_choices, all.size());
  const auto end = all.begin() + static_cast<std::ptrdiff_t>(kept);
  // Moves the kept ones to the front in linear time, then sorts only these.
  if (end != all.end()) {
    std::nth_element(all.begin(), end, all.end(), std::greater<>());
  }
  std::sort(all.begin(), end, std::greater<>());
  row->choices.assign(all.begin(), end);
}

// Finds the best instance below `limit`; false if there is none.
bool shard_ownership::Next(const shard_row& row, const choice& limit,
                           choice* next) const {
  bool found = false;
  choice best;
  for (std::uint32_t i = 0; i < instances_.size(); ++i) {
    const choice candidate{Score(row.hash, instance_hashes_[i]), i};
    if (candidate < limit && (!found || best < candidate)) {
      best = candidate;
      found = true;
    }
  }
  if (found) *next = best;
  return found;
}

// The choice at `position`, which follows `previous`; wraps to the first.
shard_ownership::choice shard_ownership::ChoiceAt(
    const shard_row& row, std::size_t position, const choice& previous) const {
  if (position < row.choices.size()) return row.choices[position];
  choice next;
  return Next(row, previous, &next) ? next : row.choices.front();
}

// Drops removed instances from the rows. The new indexes keep the order of the
// old ones, so that ties stay decided the same way.
void shard_ownership::RemoveAndRenumber(
    const std::vector<std::uint32_t>& new_index) {
  for (shard_row& row : rows_) {
    std::erase_if(row.choices, [&](const choice& c) {
      return new_index[c.second] == kRemoved;
    });
    for (choice& c : row.choices) c.second = new_index[c.second];
  }
}

void shard_ownership::Insert(std::uint32_t added,
                             std::size_t instances_before) {
  for (shard_row& row : rows_) {
    const choice c{Score(row.hash, instance_hashes_[added]), added};
    // Below the last kept choice there may be others that are not kept.
    const bool all_kept = row.choices.size() == instances_before;
    if (!all_kept && (row.choices.empty() || c < row.choices.back())) continue;
    row.choices.insert(std::lower_bound(row.choices.begin(), row.choices.end(),
                                        c, std::greater<>()),
                       c);
    if (row.choices.size() > options_.kept_choices) row.choices.pop_back();
  }
}

bool shard_ownership::SetInstances(std::vector<instance_name> instances) {
  std::sort(instances.begin(), instances.end());
  instances.erase(std::unique(instances.begin(), instances.end()),
                  instances.end());
  if (instances == instances_) return false;
  const std::vector<instance_name> before = std::move(instances_);
  instances_ = std::move(instances);
  instance_hashes_.clear();
  for (const instance_name& name : instances_) {
    instance_hashes_.push_back(Hash(name, 0));
  }

  std::vector<std::uint32_t> new_index(before.size(), kRemoved);
  std::vector<std::uint32_t> added;
  std::size_t old = 0;
  std::size_t kept = 0;
  for (std::uint32_t i = 0; i < instances_.size(); ++i) {
    while (old < before.size() && before[old] < instances_[i]) ++old;
    if (old < before.size() && before[old] == instances_[i]) {
      new_index[old++] = i;
      ++kept;
    } else {
      added.push_back(i);
    }
  }
  RemoveAndRenumber(new_index);
  // Many insertions cost more than a scan.
  const bool scan_all = added.size() > instances_.size() / 4;
  if (!scan_all) {
    for (const std::uint32_t i : added) Insert(i, kept++);
  }
  const std::size_t least =
      std::min(instances_.size(), options_.kept_choices / 2);
  for (shard_row& row : rows_) {
    if (scan_all || row.choices.size() < least) Scan(&row);
  }
  Assign();
  return true;
}

bool shard_ownership::SetShards(std::vector<shard_key> shards) {
  std::sort(shards.begin(), shards.end());
  shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
  if (shards == shards_) return false;
  std::vector<shard_row> rows(shards.size());
  std::size_t old = 0;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    while (old < shards_.size() && shards_[old] < shards[i]) ++old;
    if (old < shards_.size() && shards_[old] == shards[i]) {
      rows[i] = std::move(rows_[old++]);
    } else {
      rows[i].hash = Hash(shards[i]);
      Scan(&rows[i]);
    }
  }
  shards_ = std::move(shards);
  rows_ = std::move(rows);
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
  // proposes to its next choice. There is one: the capacities add up to at
  // least the number of shards.
  using held = std::pair<std::uint64_t, std::uint32_t>;  // score, shard
  using weakest_first =
      std::priority_queue<held, std::vector<held>, std::greater<>>;
  std::vector<weakest_first> holds(instances_.size());
  std::vector<choice> chosen(shards_.size());
  std::vector<std::size_t> proposals(shards_.size());
  for (std::uint32_t first = 0; first < shards_.size(); ++first) {
    std::uint32_t shard = first;
    while (true) {
      chosen[shard] = ChoiceAt(rows_[shard], proposals[shard]++, chosen[shard]);
      weakest_first& holder = holds[chosen[shard].second];
      holder.emplace(chosen[shard].first, shard);
      if (holder.size() <= limit) break;
      shard = holder.top().second;
      holder.pop();
    }
  }
  for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
    // The last in the order is followed by the first.
    const choice deputy =
        ChoiceAt(rows_[shard], proposals[shard], chosen[shard]);
    owners_[shard] = {chosen[shard].second, deputy.second};
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
  choice best;
  Next({Hash(scope, 1), {}}, {UINT64_MAX, UINT32_MAX}, &best);
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
