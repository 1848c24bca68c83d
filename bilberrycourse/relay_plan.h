#ifndef BILBERRYCOURSE_RELAY_PLAN_H_
#define BILBERRYCOURSE_RELAY_PLAN_H_

// Assigns the shards of a request over many shards to entry instances.
//
//   relay_plan plan(options, self, zone);
//   plan.SetInstances(entries);
//   plan.SetReplicaZones(route.shards, zones_of_shards);
//   for (const relay_group& group : plan.UsableGroups(route.shards, usable))
//     ...
//
// An instance with a small share of a core needs tens of milliseconds to send
// to ninety searchers, and in a tier of ninety instances that all send to every
// searcher, each connection is used only once in several seconds. Both problems
// are solved by relays: with n shards, about sqrt(n) instances search about
// sqrt(n) shards each, so that requests are sent in parallel and connections
// stay warm.
//
// A shard is searched by a relay in an availability zone that holds a replica
// of it: the origin's own zone, or else the zone that holds most of the shards
// that the origin's zone lacks. A relay merges the replies of its shards into
// one report, so that few reports cross zones in place of the replies and heads
// of many shards. While too few relays of another zone are usable, the relays
// of the own zone search its shards as well.
//
// The instances of a zone are divided into sets by a hash of their names, and
// an origin uses the relays of the set with the hash of its own name. Within
// the set all shards that the zone holds are divided by bounded-load rendezvous
// hashing (shard_ownership), so that the loss of one relay reassigns its own
// shards and few others, and origins in all zones use the same relay for a
// shard.

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/shard_ownership.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct relay_plan_options {
  // The origin searches requests over fewer shards itself.
  std::size_t min_shards = 40;
  // Relays are used only in zones with at least this many entry instances.
  std::size_t min_instances = 4;
  // Share of its relays that must be usable in another zone.
  double min_usable_share = 0.75;
};

struct entry_instance {
  instance_name name;
  // Address for connections of peers.
  std::string address;
  availability_zone zone;
  bool operator==(const entry_instance&) const = default;
};

struct relay_group {
  instance_name relay;
  // Positions of the shards in the request.
  std::vector<std::size_t> parts;
};

class relay_plan {
 public:
  using shard_list = std::vector<std::string>;
  // For each shard of a list, the zones that hold a replica of it, sorted.
  using replica_zones = std::vector<std::vector<availability_zone>>;
  // Groups of relays by their zone.
  using zone_groups = std::map<availability_zone, std::vector<relay_group>>;

  relay_plan(relay_plan_options options, instance_name self,
             availability_zone zone);

  // Sets all entry instances, including this one.
  void SetInstances(const std::vector<entry_instance>& entries);

  // Sets where replicas of these shards run; `zones` has an entry for each. A
  // list of shards without it is taken to be held by every zone. Returns true
  // if it has changed.
  bool SetReplicaZones(const shard_list& shards, replica_zones zones);

  // Returns true if `zones` differs from what SetReplicaZones() has set.
  bool ReplicasMoved(const shard_list& shards,
                     const replica_zones& zones) const;

  // Returns the relays that this instance uses for requests over these shards,
  // excluding itself.
  std::vector<entry_instance> Relays(const shard_list& shards);

  // Returns how many entry instances of the whole tier normally search the same
  // one of these shards, at most.
  std::uint32_t InstancesPerShard(const shard_list& shards) const;

  // Returns true if some zone uses relays for requests over this many shards.
  bool UsesRelays(std::size_t shards) const;

  // Assigns the shards to groups; one group may name this instance itself.
  // Returns an empty map if the origin searches all shards.
  const zone_groups& Groups(const shard_list& shards);

  // Returns the groups of the relays for which `usable` is true. The origin
  // searches the shards in no group itself.
  std::vector<relay_group> UsableGroups(
      const shard_list& shards,
      const std::function<bool(const instance_name&)>& usable);

 private:
  const replica_zones& ReplicaZones(const shard_list& shards) const;
  // Returns the positions of the shards that the zone holds.
  std::vector<std::size_t> HeldShards(const shard_list& shards,
                                      const availability_zone& zone) const;
  // Returns the zone whose relays search each shard; empty if there is none.
  std::vector<availability_zone> AssignZones(const shard_list& shards) const;
  // Returns the set of relays in `zone`, which holds `held` shards.
  std::vector<entry_instance> RelaySet(std::size_t held,
                                       const availability_zone& zone) const;
  std::size_t RelaySetCount(std::size_t held,
                            const availability_zone& zone) const;
  bool UsesRelays(std::size_t shards, const availability_zone& zone) const;

  relay_plan_options options_;
  instance_name self_;
  availability_zone zone_;
  // Entry instances of each zone, by name.
  std::map<availability_zone, std::vector<entry_instance>> entries_;
  std::map<shard_list, replica_zones> replica_zones_;
  std::map<shard_list, zone_groups> plans_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RELAY_PLAN_H_
