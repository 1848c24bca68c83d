#ifndef BILBERRYCOURSE_RELAY_PLAN_H_
#define BILBERRYCOURSE_RELAY_PLAN_H_

// Which entry instances search which shards of a request over many shards.
//
//   relay_plan plan(options, self, zone);
//   plan.SetInstances(entries);
//   for (const relay_group& group : plan.Groups(route.shards)) ...
//
// An instance with a small share of a core needs tens of milliseconds to send
// to ninety searchers, and a tier of ninety instances that all send to every
// searcher uses each of its connections once in seconds. Both end when about
// the square root of the shards are searched by each of as many instances, the
// relays: sending runs in parallel, and connections stay warm. Relays are in
// the origin's availability zone, so that the hop costs no bytes between zones.
//
// The instances of a zone are divided into sets by a hash of their names, and
// an origin uses the relays of its own set. Within the set the shards are
// divided by bounded-load rendezvous hashing (shard_ownership), so that the
// loss of one relay moves only its own shards.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "bilberrycourse/shard_ownership.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct relay_plan_options {
  // Requests over fewer shards are searched by their origin.
  std::size_t min_shards = 40;
  // Fewest instances in a zone for which relays are used.
  std::size_t min_instances = 4;
};

struct entry_instance {
  instance_name name;
  // Where peers reach it.
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

  // All entry instances, this one included.
  void SetInstances(const std::vector<entry_instance>& entries);

  // The instances that this origin shares shards with, without itself.
  std::vector<entry_instance> Relays(std::size_t shards) const;

  // Entry instances of the whole tier that search one shard of a request over
  // this many, as a rule.
  std::uint32_t InstancesPerShard(std::size_t shards) const;

  // True if requests over this many shards are divided in some zone.
  bool UsesRelays(std::size_t shards) const;

  // Divides the shards; empty if the origin is to search them all. The group of
  // the origin itself carries its own name.
  const std::vector<relay_group>& Groups(
      const std::vector<std::string>& shards);

 private:
  std::vector<entry_instance> Set(std::size_t shards) const;
  bool UsesRelays(std::size_t shards, std::size_t instances) const;

  relay_plan_options options_;
  instance_name self_;
  availability_zone zone_;
  // Entry instances of the own zone, by name.
  std::vector<entry_instance> zone_entries_;
  // Number of entry instances by zone.
  std::map<availability_zone, std::size_t> zone_sizes_;
  // Plans by the list of shards.
  std::map<std::vector<std::string>, std::vector<relay_group>> plans_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RELAY_PLAN_H_
