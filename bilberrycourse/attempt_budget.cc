#include "bilberrycourse/attempt_budget.h"

#include <algorithm>

namespace bilberrycourse {

attempt_budget::attempt_budget(const attempt_budget_options& options)
    : options_(options),
      tokens_(options.burst),
      ceiling_tokens_(options.burst) {}

void attempt_budget::SetShare(double share, double ceiling) {
  options_.share = share;
  options_.ceiling = std::max(share, ceiling);
}

void attempt_budget::OnFirstAttempt() {
  ++first_attempts_;
  tokens_ = std::min(options_.burst, tokens_ + options_.share);
  ceiling_tokens_ =
      std::min(options_.burst, ceiling_tokens_ + options_.ceiling);
}

bool attempt_budget::Allows(extra_attempt_kind kind) const {
  if (ceiling_tokens_ < 1) return false;
  return kind == extra_attempt_kind::kRetry || tokens_ >= 1;
}

bool attempt_budget::TryTake(extra_attempt_kind kind) {
  if (!Allows(kind)) return false;
  ++extra_attempts_;
  ceiling_tokens_ -= 1;
  // A retry also takes a token of later hedges and probes; the debt is at most
  // one burst.
  tokens_ = std::max(-options_.burst, tokens_ - 1);
  return true;
}

double attempt_budget::fill() const {
  if (options_.burst <= 0) return 0;
  return std::clamp(tokens_ / options_.burst, 0.0, 1.0);
}

}  // namespace bilberrycourse
