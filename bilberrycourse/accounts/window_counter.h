#ifndef BILBERRYCOURSE_ACCOUNTS_WINDOW_COUNTER_H_
#define BILBERRYCOURSE_ACCOUNTS_WINDOW_COUNTER_H_

// Counts events in a sliding window with a fixed amount of memory.
//
//   window_counter sends(seconds(5));
//   sends.Add(1, now);
//   if (sends.AtMost(now) < 10) ...
//
// Events are counted in slots of 1/kSlots of the window, so a count has two
// bounds. `now` must not go backwards by more than one window.

#include <algorithm>
#include <array>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class window_counter {
 public:
  explicit window_counter(duration window)
      : slot_(std::max(window / kSlots, duration{1})) {}

  void Add(std::uint32_t count, time_point now) {
    Advance(now);
    counts_[Position(newest_)] += count;
  }
  // Takes back events that were counted in the window, the newest first.
  void Remove(std::uint32_t count, time_point now) {
    Advance(now);
    for (std::int64_t slot = newest_; slot >= newest_ - kSlots; --slot) {
      std::uint32_t& counted = counts_[Position(slot)];
      const std::uint32_t removed = std::min(counted, count);
      counted -= removed;
      count -= removed;
    }
  }

  // Returns an upper bound: also counts events up to a slot before the window.
  std::uint64_t AtMost(time_point now) { return Sum(kSlots, now); }
  // Returns a lower bound: leaves out the oldest part of the window.
  std::uint64_t AtLeast(time_point now) { return Sum(kSlots - 1, now); }

 private:
  static constexpr std::int64_t kSlots = 16;

  static std::size_t Position(std::int64_t slot) {
    return static_cast<std::size_t>(slot % (kSlots + 1) + kSlots + 1) %
           (kSlots + 1);
  }
  void Advance(time_point now) {
    const std::int64_t slot = now.time_since_epoch() / slot_;
    if (slot - newest_ > kSlots) {
      counts_.fill(0);
      newest_ = slot;
    }
    while (newest_ < slot) counts_[Position(++newest_)] = 0;
  }
  std::uint64_t Sum(std::int64_t older_slots, time_point now) {
    Advance(now);
    std::uint64_t sum = 0;
    for (std::int64_t slot = newest_ - older_slots; slot <= newest_; ++slot) {
      sum += counts_[Position(slot)];
    }
    return sum;
  }

  duration slot_;
  std::int64_t newest_ = 0;
  std::array<std::uint32_t, kSlots + 1> counts_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_WINDOW_COUNTER_H_
