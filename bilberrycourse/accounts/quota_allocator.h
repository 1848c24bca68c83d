#ifndef BILBERRYCOURSE_ACCOUNTS_QUOTA_ALLOCATOR_H_
#define BILBERRYCOURSE_ACCOUNTS_QUOTA_ALLOCATOR_H_

// Grants permits for the requests of client accounts to the entry instances.
// The leader of the control group runs it, so that all instances draw on one
// token bucket for each account.
//
//   quota_allocator allocator(tolerance);
//   allocator.Start(now);                  // this member begins to lead
//   quota_reply reply = allocator.Handle(request, now);
//
// The bucket of an account refills at its rate and holds burst + slack / 2
// tokens: callers do not space their requests evenly. With a burst of 0 and
// room for a single token, requests at random times would be refused far below
// the limit. Every permit costs a token and is used within QuotaLifetime() or
// lost. An instance gets a permit for each request that waits, and one more for
// its next request (a spare) while that leaves the bucket at least half full.
// At most slack / 8 spares are granted to all instances within a lifetime: a
// spare saves its instance a round trip, but until it expires, no other
// instance can use it.
//
// Bound: permits that are not spares are used as soon as they arrive, so the
// requests sent in a window W number at most
//
//   rate * W + capacity + slack / 8 (spares granted before the window)
//                       + slack / 8 (tokens credited for unused permits)
//
// = rate * W + burst + slack * 3 / 4. The rest of the tolerance is for what the
// allocator does not see: grants before a change of the leader, permits whose
// reply came too late for the request that waited, which are held for at most a
// lifetime, and the own shares of instances that do not reach it (see
// account_quota).
//
// Limiting credits to the capacity of the bucket alone would not bound them:
// permits that are returned and granted again and again, while the bucket
// refills, would accumulate at the instances. Therefore no more than slack / 8
// are credited within W + kMaxQuotaLifetime.
//
// Soft state: after a change of the leader the former grants are unknown, so a
// bucket starts with at most slack / 8 tokens. Accounts first seen a window
// after Start() have no such grants and start with a full bucket.

#include <cstdint>
#include <map>
#include <string>

#include "bilberrycourse/accounts/quota_protocol.h"
#include "bilberrycourse/accounts/window_counter.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

inline constexpr duration kMinQuotaLifetime = std::chrono::milliseconds(300);
inline constexpr duration kMaxQuotaLifetime = std::chrono::seconds(3);

// Returns the time within which a permit is used.
duration QuotaLifetime(const quota_tolerance& tolerance,
                       double requests_per_second);

struct quota_allocator_counters {
  std::uint64_t wanted = 0;
  std::uint64_t granted = 0;
  // Of those, permits for later requests.
  std::uint64_t spares = 0;
  std::uint64_t returned = 0;
  std::uint64_t credited = 0;
};

class quota_allocator {
 public:
  explicit quota_allocator(const quota_tolerance& tolerance = {})
      : tolerance_(tolerance) {}

  // Forgets everything; called when this member begins to lead.
  void Start(time_point now);
  quota_reply Handle(const quota_request& request, time_point now);

  const quota_allocator_counters& counters() const { return counters_; }
  std::size_t size() const { return accounts_.size(); }

 private:
  struct account_state {
    double per_second = 0;
    double burst = 0;
    std::uint64_t config_version = 0;
    double tokens = 0;
    time_point filled_at{};
    window_counter spares;
    window_counter grants;
    window_counter credited;
  };

  account_state* Find(const quota_want& want, time_point now);
  quota_grant Grant(const quota_want& want, time_point now);
  void Credit(std::uint32_t returned, account_state* state, time_point now);
  bool SpareAllowed(account_state* state, time_point now);
  void RemoveIdle(time_point now);
  void Refill(account_state* state, time_point now) const;
  double Capacity(double burst) const;

  quota_tolerance tolerance_;
  quota_allocator_counters counters_;
  std::map<std::string, account_state> accounts_;
  time_point started_at_{};
  time_point removal_due_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_QUOTA_ALLOCATOR_H_
