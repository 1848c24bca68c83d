#ifndef BILBERRYCOURSE_CONTROL_LEASE_H_
#define BILBERRYCOURSE_CONTROL_LEASE_H_

// Decides whether an entry instance knows the newest accepted configuration
// well enough to serve requests.
//
//   lease.OnConfirmed(poll_sent_at, reported_age, version);
//   if (version > lease.applied_version()) { Apply(document);
//                                            lease.OnApplied(version); }
//   if (!lease.Valid(now)) Refuse(result_code::kControlLeaseExpired);
//
// A confirmation states that `version` was the newest accepted version at
// (sent_at - reported_age). It extends the lease only when the instance has
// applied that version; until then it is kept aside. The lease ends 2 s after
// the newest such time, shortened by the clock rate tolerance of 1%.

#include <cstdint>
#include <optional>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct control_lease_options {
  duration lease = std::chrono::milliseconds(2000);
  // Largest difference of clock rates, as a share of the lease.
  double clock_rate_tolerance = 0.01;
};

class control_lease {
 public:
  explicit control_lease(const control_lease_options& options = {});

  // A control member answered the poll that was sent at `sent_at`.
  void OnConfirmed(time_point sent_at, duration reported_age,
                   std::uint64_t version);
  // A peer's ack, requested at `sent_at`, relayed its own freshness.
  void OnRelayed(time_point sent_at, duration reported_age,
                 std::uint64_t version);
  // Returns true if `version` is newer than the applied one and must be put
  // in force; lower and equal versions are ignored.
  bool OnApplied(std::uint64_t version);

  bool Valid(time_point now) const;

  // Age of the newest usable confirmation, to be relayed to peers together
  // with confirmed_version(); nullopt before the first.
  std::optional<duration> ConfirmationAge(time_point now) const;
  std::optional<time_point> expires_at() const;
  std::uint64_t applied_version() const { return applied_version_; }
  std::uint64_t confirmed_version() const { return confirmed_version_; }
  // Highest version that any confirmation named; the instance must fetch the
  // document while this is above applied_version().
  std::uint64_t highest_known_version() const { return highest_known_; }

 private:
  struct confirmation {
    time_point at;
    std::uint64_t version = 0;
  };

  void Offer(confirmation offered);

  duration lease_;
  std::optional<time_point> confirmed_at_;
  std::uint64_t confirmed_version_ = 0;
  std::uint64_t applied_version_ = 0;
  std::uint64_t highest_known_ = 0;
  // Newest confirmation of a version that is not applied yet.
  std::optional<confirmation> pending_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONTROL_LEASE_H_
