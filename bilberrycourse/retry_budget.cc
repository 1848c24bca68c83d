#include "bilberrycourse/retry_budget.h"

#include <algorithm>

namespace bilberrycourse {
retry_budget::retry_budget(const retry_budget_options& options)
    : options_(options) {
  SetInstances(1);
  tokens_ = capacity_ * options_.initial_fill;
}

void retry_budget::SetInstances(std::uint32_t instances) {
  capacity_ = options_.safety * static_cast<double>(options_.allowance) /
              std::max<std::uint32_t>(instances, 1);
  // The bucket must hold a whole token, or the instance could never retry.
  capacity_ = std::max(capacity_, 1.0);
  tokens_ = std::min(tokens_, capacity_);
}

void retry_budget::OnRequest() {
  tokens_ = std::min(tokens_ + options_.safety * options_.ratio, capacity_);
}

bool retry_budget::TryTake() {
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace bilberrycourse
