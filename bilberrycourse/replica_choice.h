#ifndef BILBERRYCOURSE_REPLICA_CHOICE_H_
#define BILBERRYCOURSE_REPLICA_CHOICE_H_

// Chooses the replica of a shard that is expected to answer first.
//
//   replica_choice choice(options);
//   std::vector<replica_load> loads = ...;
//   std::optional<std::size_t> index = choice.Choose(loads, queued);
//   // nullopt: no replica is available, or waiting for a busy replica is
//   // expected to be faster than sending to a free one.
//
// The expected completion is the service time of a replica plus, if it has no
// free slot, the wait for one. The age of the oldest attempt in flight is a
// lower bound of the service time; it reveals a slowed replica before its first
// reply. docs/decisions/replica-choice.md compares the alternatives.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Current load of one replica that serves the version.
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
  // True if this request was already sent to the replica. It is then used only
  // if no other replica is available.
  bool already_tried = false;
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
  // Expected completions that differ by at most this much count as equal, and
  // the replica in the same availability zone is preferred.
  duration same_zone_tolerance = std::chrono::milliseconds(1);
  // True if a request waits when a busy replica is expected to answer sooner.
  // False if it is sent whenever any replica has a free slot.
  bool wait_for_faster_replica = true;
};

class replica_choice {
 public:
  explicit replica_choice(const replica_choice_options& options = {})
      : options_(options) {}

  // `queued` is the number of requests that wait for the shard before this one.
  duration ExpectedCompletion(const replica_load& load,
                              std::size_t queued) const;

  // Returns the index of the replica to send to, or nullopt if none is
  // available or a busy one is expected to answer sooner.
  std::optional<std::size_t> Choose(std::span<const replica_load> loads,
                                    std::size_t queued) const;

 private:
  // Returns true if `a` is preferred to `b`; the costs are their expected
  // completions.
  bool IsBetter(const replica_load& a, duration cost_a, const replica_load& b,
                duration cost_b) const;

  replica_choice_options options_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_REPLICA_CHOICE_H_
