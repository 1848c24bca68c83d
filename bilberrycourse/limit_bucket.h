#ifndef BILBERRYCOURSE_LIMIT_BUCKET_H_
#define BILBERRYCOURSE_LIMIT_BUCKET_H_

// Token bucket for the request limit of one searcher.
//
//   limit_bucket bucket;
//   bucket.Start(now);                      // the searcher states a limit
//   if (bucket.Tokens(12.5, now) >= 1) bucket.Take(1, 12.5, now);
//
// It starts empty, because the requests sent before are not known. Within any
// time T it gives at most limit * T + capacity tokens. The capacity is the
// limit for 0.25 s, but at least 2: one token that may be reserved for urgent
// requests and one for others.

#include <algorithm>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class limit_bucket {
 public:
  void Start(time_point now) {
    tokens_ = 0;
    filled_at_ = now;
  }

  // Returns how many tokens there are, for a limit in requests per second.
  double Tokens(double per_second, time_point now) const {
    return std::min(Capacity(per_second),
                    tokens_ + Rate(per_second) * Seconds(now - filled_at_));
  }
  void Take(double count, double per_second, time_point now) {
    tokens_ = Tokens(per_second, now) - count;
    filled_at_ = now;
  }

  // Returns the time until there will be `tokens`.
  duration TimeUntil(double tokens, double per_second, time_point now) const {
    const double missing = std::max(tokens - Tokens(per_second, now), 0.0);
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(missing / Rate(per_second)));
  }

  static double Capacity(double per_second) {
    constexpr double kBurstSeconds = 0.25;
    constexpr double kMinCapacity = 2;
    return std::max(kMinCapacity, Rate(per_second) * kBurstSeconds);
  }

 private:
  // A searcher that accepts fewer requests still gets this many per second,
  // because only its replies show that the limit has been lifted.
  static double Rate(double per_second) {
    constexpr double kMinPerSecond = 0.25;
    return std::max(per_second, kMinPerSecond);
  }
  static double Seconds(duration value) {
    return std::chrono::duration<double>(value).count();
  }

  double tokens_ = 0;
  time_point filled_at_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LIMIT_BUCKET_H_
