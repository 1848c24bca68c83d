#ifndef BILBERRYCOURSE_ACCOUNTS_AUTHENTICATOR_H_
#define BILBERRYCOURSE_ACCOUNTS_AUTHENTICATOR_H_

// Decides which client account sends a request, and whether and until when it
// may run.
//
//   authenticator decisions(options);
//   authentication result = decisions.Check(
//       table.accounts(), route, authorization_fields, lease, now);
//   if (result.code != result_code::kOk) Refuse(result.code);
//   if (!result.MayBegin(later)) Refuse(result_code::kControlLeaseExpired);
//   call.last_start = result.last_start;
//
// With strict revocation no attempt of a request with a key starts later than
// `revoke` after a configuration without this key was acknowledged. T is the
// latest time at which the configuration is known to have been the newest one:
// a request begins before T + kLeaseShare * revoke, and its attempts start
// before T + kLastStartShare * revoke. A configuration that is acknowledged
// after T can't have been known then, so that both are early enough. The rest
// covers the transit to a searcher and the difference of clock rates.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bilberrycourse/accounts/account_index.h"
#include "bilberrycourse/control_lease.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// With revocation within 5 s, a lease of 4 s outlasts a control election, which
// takes up to 2.5 s.
inline constexpr double kLeaseShare = 0.8;
inline constexpr double kLastStartShare = 0.95;

struct authenticator_options {
  bool strict_revocation = false;
  duration revoke = std::chrono::milliseconds(5000);
  // A key is declared unknown only if the configuration was confirmed within
  // this time. Otherwise the key may be newer than the configuration.
  duration max_age_of_refusal = std::chrono::milliseconds(1500);
};

// Options of the lease that Check() takes.
control_lease_options LeaseOptions(const authenticator_options& options);

struct authentication {
  // kOk, kUnknownKey or kControlLeaseExpired.
  result_code code = result_code::kOk;
  // Points into the configuration; nullptr if no key is needed.
  const client_account* account = nullptr;
  // Identifies the key to a relay; 0 if the relay need not check it.
  std::uint64_t key_digest = 0;
  // The request must begin before `begin_until`, and each of its attempts
  // before `last_start`. Unlimited if empty.
  std::optional<time_point> begin_until;
  std::optional<time_point> last_start;

  bool MayBegin(time_point now) const {
    return !begin_until.has_value() || now < *begin_until;
  }
};

class authenticator {
 public:
  explicit authenticator(const authenticator_options& options = {});

  // Checks a caller's request to `matched_route` against its configuration.
  // `lease` is the lease on that configuration.
  authentication Check(const account_index& accounts,
                       const route& matched_route,
                       const std::vector<std::string>& authorization_fields,
                       const control_lease& lease, time_point now) const;

  // Checks the key digest of a request that another instance relays, against
  // this instance's configuration. A digest of 0 needs no check.
  authentication CheckRelayed(const account_index& accounts,
                              std::uint64_t key_digest,
                              const control_lease& lease, time_point now) const;

  // Returns false while every request with a key would be refused.
  bool MayServe(const account_index& accounts, const control_lease& lease,
                time_point now) const;

  bool strict() const { return options_.strict_revocation; }

 private:
  void SetLimits(const control_lease& lease, authentication* result) const;

  authenticator_options options_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_AUTHENTICATOR_H_
