#ifndef BILBERRYCOURSE_RETRY_BUDGET_H_
#define BILBERRYCOURSE_RETRY_BUDGET_H_

// This instance's share of the repeats that one service may get.
//
//   retry_budget budget(options);
//   budget.SetInstances(7);
//   budget.OnRequest();             // each request for the service
//   if (budget.Take()) SendAgain();
//
// The tier may send, within any window, `ratio` times the requests of that
// window plus `allowance` arrivals beyond the first of each request. A token
// bucket with the capacity allowance / instances, filled by `ratio` for each
// request, keeps every instance to its share over every window, whatever its
// length: at most capacity + ratio * requests. A bucket starts with
// `initial_fill` of its capacity, because an instance that was restarted has
// forgotten what it has spent.

#include <cstdint>

namespace bilberrycourse {

struct retry_budget_options {
  double ratio = 0.2;
  std::uint64_t allowance = 0;
  // Share of the limit that is used: repeats that cross a change of the number
  // of instances must fit into the rest.
  double safety = 0.85;
  double initial_fill = 0.25;
};

class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options);

  // Entry instances that share the allowance, at least 1.
  void SetInstances(std::uint32_t instances);
  void OnRequest();
  // Spends one repeat; false if there is none.
  bool Take();
  double tokens() const { return tokens_; }
  double capacity() const { return capacity_; }

 private:
  retry_budget_options options_;
  double capacity_ = 0;
  double tokens_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RETRY_BUDGET_H_
