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

void shard_ownership::RankAll(shard_state* state) const {
  std::vector<choice> all(instances_.size());
  for (std::uint32_t i = 0; i < all.size(); ++i) {
    all[i] = {Score(state->hash, instance_hashes_[i]), i};
  }
  const std::size_t kept = std::min(options_.kept_choices, all.size());
  const auto end = all.begin() + static_cast<std::ptrdiff_t>(kept);
  // Moves the kept choices to the front in linear time, then sorts only these.
  if (end != all.end()) {
    std::nth_element(all.begin(), end, all.end(), std::greater<>());
  }
  std::sort(all.begin(), end, std::greater<>());
  state->choices.assign(all.begin(), end);
}

// Finds the instance with the highest score below `limit`. Returns false if
// there is none.
bool shard_ownership::NextBest(const shard_state& state, const choice& limit,
                               choice* next) const {
  bool found = false;
  choice best;
  for (std::uint32_t i = 0; i < instances_.size(); ++i) {
    const choice candidate{Score(state.hash, instance_hashes_[i]), i};
    if (candidate < limit && (!found || best < candidate)) {
      best = candidate;
      found = true;
    }
  }
  if (found) *next = best;
  return found;
}

// Returns the choice at `position`, which follows `previous`; wraps around to
// the first choice.
shard_ownership::choice shard_ownership::ChoiceAt(
    const shard_state& state, std::size_t position,
    const choice& previous) const {
  if (position < state.choices.size()) return state.choices[position];
  choice next;
  return NextBest(state, previous, &next) ? next : state.choices.front();
}

// Removes instances from the kept choices of all shards. The new indexes keep
// the order of the old ones, so that ties are broken the same way.
void shard_ownership::RemoveAndRenumber(
    const std::vector<std::uint32_t>& new_index) {
  for (shard_state& state : states_) {
    std::erase_if(state.choices, [&](const choice& c) {
      return new_index[c.second] == kRemoved;
    });
    for (choice& c : state.choices) c.second = new_index[c.second];
  }
}

void shard_ownership::InsertInstance(std::uint32_t added,
                                     std::size_t instances_before) {
  for (shard_state& state : states_) {
    const choice c{Score(state.hash, instance_hashes_[added]), added};
    // Choices that are not kept may lie below the last kept one.
    const bool all_kept = state.choices.size() == instances_before;
    if (!all_kept && (state.choices.empty() || c < state.choices.back()))
      continue;
    state.choices.insert(
        std::lower_bound(state.choices.begin(), state.choices.end(), c,
                         std::greater<>()),
        c);
    if (state.choices.size() > options_.kept_choices) state.choices.pop_back();
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
  // Many insertions cost more than ranking all instances again.
  const bool rank_all = added.size() > instances_.size() / 4;
  if (!rank_all) {
    for (const std::uint32_t i : added) InsertInstance(i, kept++);
  }
  const std::size_t min_choices =
      std::min(instances_.size(), options_.kept_choices / 2);
  for (shard_state& state : states_) {
    if (rank_all || state.choices.size() < min_choices) RankAll(&state);
  }
  Assign();
  return true;
}

bool shard_ownership::SetShards(std::vector<shard_key> shards) {
  std::sort(shards.begin(), shards.end());
  shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
  if (shards == shards_) return false;
  std::vector<shard_state> states(shards.size());
  std::size_t old = 0;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    while (old < shards_.size() && shards_[old] < shards[i]) ++old;
    if (old < shards_.size() && shards_[old] == shards[i]) {
      states[i] = std::move(states_[old++]);
    } else {
      states[i].hash = Hash(shards[i]);
      RankAll(&states[i]);
    }
  }
  shards_ = std::move(shards);
  states_ = std::move(states);
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

  // Deferred acceptance. Every shard proposes to instances by descending score.
  // A full instance rejects the shard with the lowest score, which then
  // proposes to its next choice. A next choice always exists, because the
  // capacities add up to at least the number of shards.
  using held_shard = std::pair<std::uint64_t, std::uint32_t>;  // score, shard
  using weakest_first =
      std::priority_queue<held_shard, std::vector<held_shard>, std::greater<>>;
  std::vector<weakest_first> held_shards(instances_.size());
  std::vector<choice> chosen(shards_.size());
  std::vector<std::size_t> proposals(shards_.size());
  for (std::uint32_t first = 0; first < shards_.size(); ++first) {
    std::uint32_t shard = first;
    while (true) {
      chosen[shard] =
          ChoiceAt(states_[shard], proposals[shard]++, chosen[shard]);
      weakest_first& holder = held_shards[chosen[shard].second];
      holder.emplace(chosen[shard].first, shard);
      if (holder.size() <= limit) break;
      shard = holder.top().second;
      holder.pop();
    }
  }
  for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
    // The deputy of the last choice is the first one.
    const choice deputy =
        ChoiceAt(states_[shard], proposals[shard], chosen[shard]);
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
  const shard_owner* found = Find(shard);
  return found == nullptr ? nullptr : &instances_[found->owner];
}

const instance_name* shard_ownership::Deputy(const shard_key& shard) const {
  const shard_owner* found = Find(shard);
  return found == nullptr ? nullptr : &instances_[found->deputy];
}

const instance_name* shard_ownership::AdmissionInstance(
    std::string_view scope) const {
  if (instances_.empty()) return nullptr;
  // The seed differs from that of shards, so that a scope and a shard with
  // equal names are independent.
  choice best;
  NextBest({Hash(scope, 1), {}}, {UINT64_MAX, UINT32_MAX}, &best);
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
