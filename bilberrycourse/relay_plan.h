#ifndef BILBERRYCOURSE_RELAY_PLAN_H_
#define BILBERRYCOURSE_RELAY_PLAN_H_

// Assigns the shards of a request over many shards to entry instances.
//
//   relay_plan plan(options, self, zone);
//   plan.SetInstances(entries);
//   plan.SetReplicaZones(route.shards, zones);
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
// Relays are in an availability zone that holds a replica of the shards, the
// origin's own one if possible. A relay merges the replies of its shards into
// one report, so that an origin in a zone without searchers receives a few
// reports from another zone in place of the replies of all shards. Each such
// origin has a second zone, which it uses while too few relays of the first one
// are reachable. Without replicas in any zone with relays, the origin's own
// zone is used.
//
// The instances of a zone are divided into sets by a hash of their names, and
// an origin uses the relays of the set with the hash of its own name. Within
// the set the shards are divided by bounded-load rendezvous hashing
// (shard_ownership), so that the loss of one relay reassigns its own shards and
// few others.

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
  // Zones whose relays an origin in a zone without replicas keeps links to.
  std::size_t max_zones = 2;
  // A zone's relays are preferred if at least this share of them is usable.
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
  relay_plan(relay_plan_options options, instance_name self,
             availability_zone zone);

  // Sets all entry instances, including this one.
  void SetInstances(const std::vector<entry_instance>& entries);

  // Sets the zones that hold replicas of nearly all of these shards. Without
  // any, every origin uses its own zone.
  void SetReplicaZones(const std::vector<std::string>& shards,
                       std::vector<availability_zone> zones);

  // Returns the zones whose relays this instance may use, preferred ones first.
  std::vector<availability_zone> Zones(
      const std::vector<std::string>& shards) const;

  // Returns the relays that this instance may use for requests over these
  // shards, excluding itself.
  std::vector<entry_instance> Relays(
      const std::vector<std::string>& shards) const;

  // Returns how many entry instances of the whole tier normally search the same
  // one of these shards.
  std::uint32_t InstancesPerShard(const std::vector<std::string>& shards) const;

  // Returns true if some zone uses relays for requests over this many shards.
  bool UsesRelays(std::size_t shards) const;

  // Assigns the shards to groups of relays in the preferred zone; one group may
  // name this instance itself. Returns an empty list if the origin searches all
  // shards.
  const std::vector<relay_group>& Groups(
      const std::vector<std::string>& shards);

  // As above, without the groups of relays for which `usable` is false, and in
  // the first zone with enough usable relays, or else in the zone with most.
  std::vector<relay_group> UsableGroups(
      const std::vector<std::string>& shards,
      const std::function<bool(const instance_name&)>& usable);

 private:
  using plan_key = std::pair<availability_zone, std::vector<std::string>>;

  const std::vector<relay_group>& GroupsIn(
      const availability_zone& zone, const std::vector<std::string>& shards);
  std::vector<entry_instance> RelaySet(std::size_t shards,
                                       const availability_zone& zone) const;
  const std::vector<availability_zone>& ReplicaZones(
      const std::vector<std::string>& shards) const;
  std::size_t ZoneSize(const availability_zone& zone) const;
  bool UsesRelays(std::size_t shards, std::size_t instances) const;

  relay_plan_options options_;
  instance_name self_;
  availability_zone zone_;
  // Entry instances of each zone, by name.
  std::map<availability_zone, std::vector<entry_instance>> entries_;
  std::map<std::vector<std::string>, std::vector<availability_zone>>
      replica_zones_;
  std::map<plan_key, std::vector<relay_group>> plans_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RELAY_PLAN_H_
