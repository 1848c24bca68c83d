#include "bilberrycourse/fallback_peers.h"

#include <algorithm>
#include <utility>

#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

// One of them can be lost and another be isolated without notice.
constexpr std::size_t kTargets = 5;
// Time for which links are kept after searchers were missing.
constexpr duration kWantedTime = std::chrono::seconds(30);
// A peer that was isolated when its link was lost is asked again after this.
constexpr duration kIsolatedTime = std::chrono::seconds(5);

}  // namespace

fallback_peers::fallback_peers(instance_name self, availability_zone zone)
    : self_(std::move(self)), zone_(std::move(zone)) {}

// Takes the zones in turn, beginning with the own one; within a zone the order
// is a hash, so that each instance prefers other peers.
void fallback_peers::SetInstances(const std::vector<entry_instance>& entries) {
  std::map<availability_zone, std::vector<entry_instance>> by_zone;
  for (const entry_instance& entry : entries) {
    if (entry.name != self_) by_zone[entry.zone].push_back(entry);
  }
  const auto rank = [&](const std::string& name) {
    return name_hash()(self_ + " " + name);
  };
  std::vector<availability_zone> zones;
  for (auto& [zone, instances] : by_zone) {
    zones.push_back(zone);
    std::sort(instances.begin(), instances.end(),
              [&](const auto& a, const auto& b) {
                return rank(a.name) < rank(b.name);
              });
  }
  std::sort(zones.begin(), zones.end(), [&](const auto& a, const auto& b) {
    if ((a == zone_) != (b == zone_)) return a == zone_;
    return rank(a) < rank(b);
  });
  ranked_.clear();
  for (std::size_t i = 0; !zones.empty(); ++i) {
    std::erase_if(zones,
                  [&](const auto& zone) { return by_zone[zone].size() <= i; });
    for (const availability_zone& zone : zones) {
      ranked_.push_back(by_zone[zone][i]);
    }
  }
}

void fallback_peers::SetState(const instance_name& peer, bool accepts,
                              bool isolated) {
  if (accepts) {
    accepting_.insert(peer);
  } else {
    accepting_.erase(peer);
  }
  if (isolated) {
    isolated_until_[peer] = time_point::max();
  } else {
    isolated_until_.erase(peer);
  }
}

void fallback_peers::OnDisconnected(const instance_name& peer, time_point now) {
  accepting_.erase(peer);
  const auto isolated = isolated_until_.find(peer);
  if (isolated != isolated_until_.end()) isolated->second = now + kIsolatedTime;
}

bool fallback_peers::Want(time_point now) {
  const bool first = now >= wanted_until_;
  wanted_until_ = now + kWantedTime;
  return first;
}

bool fallback_peers::Isolated(const instance_name& peer, time_point now) const {
  const auto found = isolated_until_.find(peer);
  return found != isolated_until_.end() && now < found->second;
}

std::vector<entry_instance> fallback_peers::Targets(time_point now) const {
  std::vector<entry_instance> targets;
  if (now >= wanted_until_) return targets;
  for (const entry_instance& peer : ranked_) {
    if (targets.size() == kTargets) break;
    if (!Isolated(peer.name, now)) targets.push_back(peer);
  }
  return targets;
}

std::vector<instance_name> fallback_peers::Usable(
    const std::function<bool(const instance_name&)>& linked,
    time_point now) const {
  std::vector<instance_name> usable;
  for (const entry_instance& peer : Targets(now)) {
    if (accepting_.contains(peer.name) && linked(peer.name)) {
      usable.push_back(peer.name);
    }
  }
  return usable;
}

}  // namespace bilberrycourse
