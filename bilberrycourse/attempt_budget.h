#ifndef BILBERRYCOURSE_ATTEMPT_BUDGET_H_
#define BILBERRYCOURSE_ATTEMPT_BUDGET_H_

// Limits extra attempts (hedges, probes, retries) to a share of first attempts.
//
//   attempt_budget budget(options);
//   budget.OnFirstAttempt();
//   if (budget.TryTake(extra_attempt_kind::kHedge)) SendHedge();
//
// A token bucket: each first attempt adds `share` tokens, each extra attempt
// takes one. Hedges and probes, which can be skipped without losing an answer,
// stop when the bucket is empty. Retries may overdraw it by as much as the
// ceiling adds, so that hedges cannot use up the budget of retries.

#include <cstdint>

namespace bilberrycourse {

enum class extra_attempt_kind : std::uint8_t { kHedge, kProbe, kRetry };

struct attempt_budget_options {
  // Tokens for each first attempt; hedges and probes stay below this share.
  double share = 0.05;
  // All extra attempts together stay below this share.
  double ceiling = 0.10;
  // Capacity of the bucket in tokens. The bucket starts full, so that a failure
  // right after the start can be retried.
  double burst = 20;
};

class attempt_budget {
 public:
  explicit attempt_budget(const attempt_budget_options& options = {});

  void SetShare(double share, double ceiling);

  void OnFirstAttempt();

  // Takes one token if the budget allows an extra attempt of this kind.
  bool TryTake(extra_attempt_kind kind);
  bool Allows(extra_attempt_kind kind) const;

  // Fill level of the bucket, 0 to 1.
  double fill() const;

  std::uint64_t first_attempts() const { return first_attempts_; }
  std::uint64_t extra_attempts() const { return extra_attempts_; }

 private:
  attempt_budget_options options_;
  // Tokens for hedges and probes, and tokens for all extra attempts.
  double tokens_;
  double ceiling_tokens_;
  std::uint64_t first_attempts_ = 0;
  std::uint64_t extra_attempts_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ATTEMPT_BUDGET_H_
