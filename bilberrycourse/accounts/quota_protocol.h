#ifndef BILBERRYCOURSE_ACCOUNTS_QUOTA_PROTOCOL_H_
#define BILBERRYCOURSE_ACCOUNTS_QUOTA_PROTOCOL_H_

// Messages between entry instances and the quota_allocator, which divides the
// request limits of client accounts among them. Times are counted from the
// receipt of a message, so that no two clocks need to agree.

#include <cstdint>
#include <string>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// How far the tier may exceed an account's limit: in any window the requests of
// all instances stay within
// (rate * window + burst) * (1 + overshoot) + slack.
struct quota_tolerance {
  duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
};

// Permissions that an entry instance wants, and unused ones that it gives back.
struct quota_want {
  std::string account;
  double requests_per_second = 0;
  double burst = 0;
  // Version of the configuration that states these limits.
  std::uint64_t config_version = 0;
  std::uint32_t wanted = 0;
  std::uint32_t returned = 0;
};

struct quota_request {
  std::uint64_t id = 0;
  std::vector<quota_want> wants;
};

struct quota_grant {
  std::string account;
  // May exceed what was wanted: the others are for later requests.
  std::uint32_t granted = 0;
  // Time within which the permissions are used or lost.
  duration lifetime{0};
  // If fewer were granted than wanted: time until the next may be available.
  duration retry_in{0};
  // Permits that all instances were granted in the last window, these included.
  std::uint64_t window_granted = 0;
};

// The reply to the quota_request with the same id.
struct quota_reply {
  std::uint64_t id = 0;
  // False if the receiver does not allocate quotas; nothing was granted.
  bool allocated = false;
  std::vector<quota_grant> grants;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_QUOTA_PROTOCOL_H_
