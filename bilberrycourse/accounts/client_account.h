#ifndef BILBERRYCOURSE_ACCOUNTS_CLIENT_ACCOUNT_H_
#define BILBERRYCOURSE_ACCOUNTS_CLIENT_ACCOUNT_H_

// A client account of the routed interface: who may send requests, and how
// many.
//
//   std::string problem;
//   result_code code = CheckAccounts(config.accounts, &problem);
//   if (code != result_code::kOk) Refuse(problem);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

inline constexpr std::size_t kMaxAccountNameBytes = 128;
inline constexpr std::size_t kMaxAccountKeyBytes = 256;
inline constexpr std::size_t kMaxAccounts = 10'000;
inline constexpr std::size_t kMaxAccountKeys = 100'000;

struct client_account {
  std::string name;
  // Secrets that identify a caller as this account; empty if all of them have
  // been taken away.
  std::vector<std::string> keys;
  // Requests per second over all entry instances; 0 means no limit.
  double requests_per_second = 0;
  // Requests that may exceed the rate at once.
  double burst = 0;
  // Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;

  bool limited() const { return requests_per_second > 0; }
};

// Returns kOk, or kInvalidDocument with a description in `problem`, which never
// contains a key. Checks for a name that is empty, too long, no valid header
// value or used twice, for a key that is empty, too long, not printable or used
// twice, for invalid limits, and for too many accounts or keys.
result_code CheckAccounts(const std::vector<client_account>& accounts,
                          std::string* problem);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_CLIENT_ACCOUNT_H_
