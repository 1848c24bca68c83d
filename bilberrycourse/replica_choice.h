#ifndef BILBERRYCOURSE_REPLICA_CHOICE_H_
#define BILBERRYCOURSE_REPLICA_CHOICE_H_

// Chooses the replica of a shard that answers first.
//
//   replica_choice choice(options);
//   std::vector<replica_load> loads = ...;
//   std::optional<std::size_t> index = choice.Choose(loads, queued);
//   // Nothing: waiting for a busy replica is faster than any free one.
//
// Expected completion is the service time of a replica plus, if it has no free
// slot, the wait for one. The age of the oldest attempt in flight is a lower
// bound of the service time, which shows a slowed replica before its first
// reply. docs/decisions/replica-choice.md compares the ways.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// What is known about one replica that serves the version.
struct replica_load {
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 1;
  duration service_time{0};
  duration oldest_age{0};
  // True if an attempt can be sent now.
  bool available = false;
  // True if a busy replica will take the next attempt when a slot is free.
  bool reachable = true;
  bool same_zone = true;
  // Already tried for this request; used only if nothing else remains.
  bool tried = false;
  time_point last_used{};
};

// How much of the load enters the expected completion.
enum class completion_model : std::uint8_t {
  // (in flight + 1) x service time: slots share the processor of a searcher.
  kSharedProcessor,
  // Service time, plus the wait when all slots are busy.
  kParallelSlots,
};

struct replica_choice_options {
  completion_model model = completion_model::kParallelSlots;
  duration zone_tie = std::chrono::milliseconds(1);
  // False: a request is sent whenever any replica has a free slot.
  bool hold_for_faster = true;
};

class replica_choice {
 public:
  explicit replica_choice(const replica_choice_options& options = {})
      : options_(options) {}

  // `queued` requests wait for the shard before this one.
  duration ExpectedCompletion(const replica_load& load,
                              std::size_t queued) const;

  // Index of the replica to send to; nothing if none is available, or if a
  // busy one is expected to answer sooner.
  std::optional<std::size_t> Choose(std::span<const replica_load> loads,
                                    std::size_t queued) const;

 private:
  bool Better(const replica_load& a, duration cost_a, const replica_load& b,
              duration cost_b) const;

  replica_choice_options options_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_REPLICA_CHOICE_H_
