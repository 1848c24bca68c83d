#ifndef BILBERRYCOURSE_REQUEST_QUOTA_H_
#define BILBERRYCOURSE_REQUEST_QUOTA_H_

// What an entry instance knows about the request limit of one searcher, and the
// permissions of the limit_allocator that it has not used yet.
//
//   request_quota quota;
//   quota.Observe(12.5, now);                  // stated in a reply
//   if (!quota.limited() || quota.Take(priority, now).has_value()) Send();
//   quota.OnGrant(priority, 3, now);           // from the allocator
//
// While the allocator cannot be reached, the instance uses an equal share of
// the limit (TakeShare). The share accumulates from zero, because unused
// permissions of other instances may still be spent.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class request_quota {
 public:
  // Applies the limit that was stated at `stated_at`, in requests per second;
  // nullopt means that the searcher states none any more. Older statements than
  // the last one are ignored. Returns true if the limit has appeared, vanished
  // or changed by more than a twentieth.
  bool Observe(std::optional<double> per_second, time_point stated_at);

  bool limited() const { return per_second_.has_value(); }
  std::optional<double> per_second() const { return per_second_; }
  time_point stated_at() const { return stated_at_; }

  // Takes a permission for a request of this priority and returns its end. A
  // more urgent request may take one that was granted for a less urgent one.
  std::optional<time_point> Take(std::uint32_t priority, time_point now);
  // Gives back a permission whose request was not sent.
  void Return(std::uint32_t priority, time_point end);
  void OnGrant(std::uint32_t priority, std::uint32_t granted, time_point now);

  // Refuses requests of this priority, and less urgent ones, until `until`.
  void Deny(std::uint32_t priority, time_point until);
  bool Denied(std::uint32_t priority, time_point now) const;
  // Returns the time left until requests of this priority are not refused.
  duration DeniedFor(std::uint32_t priority, time_point now) const;

  // Takes a permission from the instance's own share of `per_second` requests,
  // which accumulates from `lost_at`, when the allocator was lost.
  bool TakeShare(double per_second, time_point lost_at, time_point now);

 private:
  std::optional<double> per_second_;
  time_point stated_at_ = time_point::min();
  // Ends of the unused permissions by the priority that they were granted for.
  std::map<std::uint32_t, std::vector<time_point>> permissions_;
  std::map<std::uint32_t, time_point> denied_until_;
  // Requests of the own share that are left, and the time up to which they have
  // been accumulated.
  double share_ = 0;
  time_point share_at_ = time_point::min();
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_REQUEST_QUOTA_H_
