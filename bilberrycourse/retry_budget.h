#ifndef BILBERRYCOURSE_RETRY_BUDGET_H_
#define BILBERRYCOURSE_RETRY_BUDGET_H_

// This instance's share of the retries and hedges that one service may receive.
//
//   retry_budget budget(options);
//   budget.SetInstances(7);
//   budget.OnRequest();             // for each request for the service
//   if (budget.TryTake()) SendRetry();
//
// Within any window the tier may send `ratio` times the requests of that window
// plus `allowance` as extra attempts. Each instance has a token bucket with the
// capacity allowance / instances, to which each request adds `ratio`. This
// bounds the extra attempts of an instance in a window of any length by
// capacity + ratio * requests. A bucket starts with `initial_fill` of its
// capacity, because a restarted instance does not know what it spent before.

#include <cstdint>

namespace bilberrycourse {

struct retry_budget_options {
  double ratio = 0.2;
  std::uint64_t allowance = 0;
  // Share of the limit that is used. The rest covers extra attempts sent while
  // the number of instances changes.
  double safety = 0.85;
  double initial_fill = 0.25;
};

class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options);

  // Sets the number of entry instances that share the allowance; 0 counts as 1.
  void SetInstances(std::uint32_t instances);
  void OnRequest();
  // Takes the token of one extra attempt. Returns false if there is none.
  bool TryTake();
  double tokens() const { return tokens_; }
  double capacity() const { return capacity_; }

 private:
  retry_budget_options options_;
  double capacity_ = 0;
  double tokens_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RETRY_BUDGET_H_
