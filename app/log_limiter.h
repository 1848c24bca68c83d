#ifndef APP_LOG_LIMITER_H_
#define APP_LOG_LIMITER_H_

// Bounds the log lines of one kind of decision.
//
//   if (limiter.Allow(now)) LogDecision("request_failed", {...,
//       {"left_out", limiter.TakeSuppressedCount()}});
//
// At most `per_second` lines a second are written on average, with a burst of
// as many; what is left out is counted and stated by the next line.

#include <algorithm>
#include <cstdint>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class log_limiter {
 public:
  explicit log_limiter(double per_second)
      : per_second_(per_second), credit_(per_second) {}

  bool Allow(time_point now) {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    credit_ = std::min(per_second_, credit_ + elapsed * per_second_);
    refilled_at_ = now;
    if (credit_ < 1) {
      ++left_out_;
      return false;
    }
    credit_ -= 1;
    return true;
  }

  std::uint64_t TakeSuppressedCount() {
    const std::uint64_t count = left_out_;
    left_out_ = 0;
    return count;
  }

 private:
  double per_second_;
  double credit_;
  time_point refilled_at_{};
  std::uint64_t left_out_ = 0;
};

}  // namespace bilberrycourse

#endif  // APP_LOG_LIMITER_H_
