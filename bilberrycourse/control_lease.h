#ifndef BILBERRYCOURSE_CONTROL_LEASE_H_
#define BILBERRYCOURSE_CONTROL_LEASE_H_

// Decides whether the configuration of an entry instance is recent enough to
// serve requests.
//
//   lease.OnConfirmed(poll_sent_at, reported_age, version);
//   if (version > lease.applied_version()) {
//     Apply(document);
//     lease.OnApplied(version);
//   }
//   if (!lease.Valid(now)) Refuse(result_code::kControlLeaseExpired);
//
// A confirmation states that `version` was the newest accepted version at
// (sent_at - reported_age). It extends the lease only when the instance has
// applied that version; until then it is kept as pending. The lease expires 2 s
// after the newest such time, shortened by the clock rate tolerance of 1%.

#include <cstdint>
#include <optional>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct control_lease_options {
  duration lease = std::chrono::milliseconds(2000);
  // Largest difference between clock rates, as a fraction of the lease.
  double clock_rate_tolerance = 0.01;
};

class control_lease {
 public:
  explicit control_lease(const control_lease_options& options = {});

  // Called when a control member replies to the poll sent at `sent_at`.
  void OnConfirmed(time_point sent_at, duration reported_age,
                   std::uint64_t version);
  // Called when a peer relays its own confirmation in the ack to a message sent
  // at `sent_at`.
  void OnRelayed(time_point sent_at, duration reported_age,
                 std::uint64_t version);
  // Returns true if `version` is newer than the applied version and must be put
  // in force; lower and equal versions are ignored.
  bool OnApplied(std::uint64_t version);

  bool Valid(time_point now) const;

  // Age of the newest usable confirmation, to be relayed to peers together
  // with confirmed_version(); nullopt before the first.
  std::optional<duration> ConfirmationAge(time_point now) const;
  std::optional<time_point> expires_at() const;
  // Latest time at which the applied version is known to have been the newest;
  // nullopt before the first confirmation.
  std::optional<time_point> confirmed_at() const { return confirmed_at_; }
  std::uint64_t applied_version() const { return applied_version_; }
  std::uint64_t confirmed_version() const { return confirmed_version_; }
  // Highest version in any confirmation; the instance must fetch the
  // document while this is above applied_version().
  std::uint64_t highest_known_version() const { return highest_known_; }

 private:
  struct confirmation {
    time_point time;
    std::uint64_t version = 0;
  };

  void AddConfirmation(confirmation candidate);

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
