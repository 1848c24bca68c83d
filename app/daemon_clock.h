#ifndef APP_DAEMON_CLOCK_H_
#define APP_DAEMON_CLOCK_H_

// The only places where the daemon reads clocks.
//
//   const time_point now = Now();
//   timer.expires_at(ToSteady(due));
//
// A test program may distort the clocks before the first reading, to verify
// that no guarantee depends on them beyond the documented tolerance.

#include <chrono>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// The error of the clocks of this process.
struct clock_distortion {
  // Time that passes on Now() for each unit of the system's monotonic clock.
  double rate = 1.0;
  std::int64_t wall_offset_ms = 0;
};

namespace internal {
inline clock_distortion distortion;
}  // namespace internal

// Must be called before other threads run and before a time is read.
inline void DistortClocks(const clock_distortion& distortion) {
  internal::distortion = distortion;
}

inline time_point FromSteady(std::chrono::steady_clock::time_point t) {
  const auto steady =
      std::chrono::duration_cast<duration>(t.time_since_epoch());
  if (internal::distortion.rate == 1.0) return time_point(steady);
  return time_point(
      std::chrono::duration_cast<duration>(steady * internal::distortion.rate));
}

// Monotonic time of this process.
inline time_point Now() { return FromSteady(std::chrono::steady_clock::now()); }

inline std::chrono::steady_clock::time_point ToSteady(time_point t) {
  if (internal::distortion.rate == 1.0) {
    return std::chrono::steady_clock::time_point(t.time_since_epoch());
  }
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          t.time_since_epoch() / internal::distortion.rate));
}

inline wall_time_ms WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count() +
         internal::distortion.wall_offset_ms;
}

// Returns the time left until `deadline`, 0 if it has passed.
inline duration Remaining(time_point deadline, time_point now) {
  return deadline > now ? deadline - now : duration{0};
}

}  // namespace bilberrycourse

#endif  // APP_DAEMON_CLOCK_H_
