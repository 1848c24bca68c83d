#ifndef APP_DAEMON_CLOCK_H_
#define APP_DAEMON_CLOCK_H_

// The only places where the daemon reads clocks.

#include <chrono>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Monotonic time of this process.
inline time_point Now() {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

inline std::chrono::steady_clock::time_point ToSteady(time_point t) {
  return std::chrono::steady_clock::time_point(t.time_since_epoch());
}

inline wall_time_ms WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Time left until `deadline`, 0 if it has passed.
inline duration Remaining(time_point deadline, time_point now) {
  return deadline > now ? deadline - now : duration{0};
}

}  // namespace bilberrycourse

#endif  // APP_DAEMON_CLOCK_H_
