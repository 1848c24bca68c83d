#ifndef BILBERRYCOURSE_RELAY_PLAN_H_
#define BILBERRYCOURSE_RELAY_PLAN_H_

// Assigns the shards of a request over many shards to entry instances.
//
//   relay_plan plan(options, self, zone);
//   plan.SetInstances(entries);
//   for (const relay_group& group : plan.Groups(route.shards)) ...
//
// An instance with a small share of a core needs tens of milliseconds to send
// to ninety searchers, and in a tier of ninety instances that all send to every
// searcher, each connection is used only once in several seconds. Both problems
// are solved by relays: with n shards, about sqrt(n) instances search about
// sqrt(n) shards each, so that requests are sent in parallel and connections
// stay warm. Relays are in the origin's availability zone, so that the extra
// hop causes no traffic between zones.
//
// The instances of a zone are divided into sets by a hash of their names, and
// an origin uses the relays of its own set. Within the set the shards are
// divided by bounded-load rendezvous hashing (shard_ownership), so that the
// loss of one relay reassigns its own shards and few others.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "bilberrycourse/shard_ownership.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct relay_plan_options {
  // The origin searches requests over fewer shards itself.
  std::size_t min_shards = 40;
  // Relays are used only in zones with at least this many entry instances.
  std::size_t min_instances = 4;
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

  // Returns the relays that this instance uses for requests over this many
  // shards, excluding itself.
  std::vector<entry_instance> Relays(std::size_t shards) const;

  // Returns how many entry instances of the whole tier normally search the same
  // shard of requests over this many shards.
  std::uint32_t InstancesPerShard(std::size_t shards) const;

  // Returns true if some zone uses relays for requests over this many shards.
  bool UsesRelays(std::size_t shards) const;

  // Assigns the shards to groups; one group may name this instance itself.
  // Returns an empty list if the origin searches all shards.
  const std::vector<relay_group>& Groups(
      const std::vector<std::string>& shards);

 private:
  std::vector<entry_instance> RelaySet(std::size_t shards) const;
  bool UsesRelays(std::size_t shards, std::size_t instances) const;

  relay_plan_options options_;
  instance_name self_;
  availability_zone zone_;
  // Entry instances of the own zone, by name.
  std::vector<entry_instance> zone_entries_;
  // Number of entry instances by zone.
  std::map<availability_zone, std::size_t> zone_sizes_;
  // Groups by the list of shards.
  std::map<std::vector<std::string>, std::vector<relay_group>> plans_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RELAY_PLAN_H_
