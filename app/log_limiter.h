#ifndef APP_LOG_LIMITER_H_
#define APP_LOG_LIMITER_H_

// A token bucket that limits the rate of log lines of one kind.
//
//   if (limiter.Allow(now)) {
//     LogDecision("request_failed",
//                 {{"left_out", limiter.TakeSuppressedCount()}});
//   }
//
// Allows `per_second` lines a second on average and a burst of as many lines.
// Suppressed lines are counted, so that the next line can report their number.

#include <algorithm>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class log_limiter {
 public:
  explicit log_limiter(double per_second)
      : per_second_(per_second), tokens_(per_second) {}

  // Returns true if a line may be written at `now`; otherwise counts it as
  // suppressed.
  bool Allow(time_point now) {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
    refilled_at_ = now;
    if (tokens_ < 1) {
      ++suppressed_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Returns the number of suppressed lines and resets it.
  std::uint64_t TakeSuppressedCount() {
    const std::uint64_t count = suppressed_;
    suppressed_ = 0;
    return count;
  }

 private:
  double per_second_;
  double tokens_;
  time_point refilled_at_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace bilberrycourse

#endif  // APP_LOG_LIMITER_H_
