#ifndef BILBERRYCOURSE_ACCOUNTS_ACCOUNT_QUOTA_H_
#define BILBERRYCOURSE_ACCOUNTS_ACCOUNT_QUOTA_H_

// What an entry instance knows about the limits of client accounts: unused
// permits of the quota_allocator, refusals and their end, and its own sends.
//
//   account_quota quotas(tolerance);
//   quota_decision decision = quotas.Decide(limits, now);
//   if (decision.verdict == quota_verdict::kAsk) {
//     Send(quotas.Ask(id, {{limits, 1}}, now));
//     ... quotas.OnReply(reply, asked_at, now), then Decide() again; or
//     ... quotas.OnLost(silent, now), then DecideAlone().
//   }
//
// While the allocator is lost, for an election or because the instance is cut
// off, an account may send up to the instance's own share in each window. All
// shares together are what the allocator leaves of the tolerance, so they need
// not be taken from what was granted before the loss: at the usual load, an
// election of a second then refuses few requests. They are divided by what each
// instance was granted in the window before the loss; see OwnShare().
//
// A permit ends one lifetime after it was asked for, not after its receipt: a
// reply that waited in a link, or was read by a process that had been frozen,
// must not extend it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/accounts/quota_protocol.h"
#include "bilberrycourse/accounts/window_counter.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// The limits of an account in the configuration of this version.
struct quota_limits {
  std::string account;
  double requests_per_second = 0;
  double burst = 0;
  std::uint64_t config_version = 0;
};

enum class quota_verdict : std::uint8_t { kAdmitted, kAsk, kRefused };

struct quota_decision {
  quota_verdict verdict = quota_verdict::kRefused;
  // For kRefused: the time after which the caller may retry.
  duration retry_after{0};
  // For kAdmitted: the end of the permit; empty if the own share admitted it.
  std::optional<time_point> permit_end;
};

// Returns how many requests an instance may send in a window without the
// allocator, if it had been granted `grants` of `all_grants` in the window
// before: its part of what the allocator leaves of the tolerance. The bound
// holds for any set of instances that are cut off, while the others use up the
// limit. `random` in [0, 1) rounds the share up or down, so that the mean is
// kept: with few grants, an instance may send one request or none.
std::uint64_t OwnShare(const quota_tolerance& tolerance,
                       const quota_limits& limits, std::uint64_t grants,
                       std::uint64_t all_grants, double random);

struct account_quota_counters {
  std::uint64_t granted = 0;
  std::uint64_t returned = 0;
  std::uint64_t allocator_losses = 0;
  // Requests admitted by the own share while the allocator was lost.
  std::uint64_t own_share = 0;
};

class account_quota {
 public:
  explicit account_quota(const quota_tolerance& tolerance = {})
      : tolerance_(tolerance) {}

  // Admits by a permit, refuses during a refusal of the allocator, and decides
  // by the own share shortly after a loss of the allocator; otherwise kAsk.
  quota_decision Decide(const quota_limits& limits, time_point now);
  // Decides by the own share.
  quota_decision DecideAlone(const quota_limits& limits, time_point now);
  // Takes back an admission whose request was not sent.
  void Return(const std::string& account,
              const std::optional<time_point>& permit_end, time_point now);

  // Makes a request for this many permits of each account, and gives back their
  // expired permits.
  quota_request Ask(
      std::uint64_t id,
      const std::vector<std::pair<quota_limits, std::uint32_t>>& wanted,
      time_point now);
  // Called when a request of Ask() could not be sent. Its expired permits are
  // given back with the next one.
  void OnNotSent(const quota_request& request, time_point now);
  // Applies the reply to a request that was sent at `asked_at`.
  void OnReply(const quota_reply& reply, time_point asked_at, time_point now);
  // The allocator can't be reached; `silent` if it has not answered in time. It
  // is then not asked for a short time, so that not every request waits for it.
  void OnLost(bool silent, time_point now);

  bool lost() const { return lost_; }
  std::size_t size() const { return accounts_.size(); }
  const account_quota_counters& counters() const { return counters_; }

 private:
  struct account_state {
    explicit account_state(duration window)
        : sends_alone(window), grants(window) {}

    quota_limits limits;
    std::vector<time_point> permit_ends;
    // Expired permits that have not been given back.
    std::uint32_t expired = 0;
    // Requests admitted without the allocator.
    window_counter sends_alone;
    window_counter grants;
    // Permits of all instances in the window before the latest reply.
    std::uint64_t all_grants = 0;
    // Requests in a window while the allocator is lost.
    std::uint64_t own_share = 0;
    time_point denied_until{};
    // When the bucket will have room for a request that is refused next.
    time_point room_at{};
    time_point used_at{};
  };

  account_state* Find(const quota_limits& limits, time_point now);
  quota_decision Refuse(account_state* state, time_point now);
  void RemoveExpired(account_state* state, time_point now);
  void RemoveIdle(time_point now);

  quota_tolerance tolerance_;
  account_quota_counters counters_;
  std::map<std::string, account_state> accounts_;
  bool lost_ = false;
  time_point ask_again_at_{};
  time_point removal_due_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_ACCOUNT_QUOTA_H_
