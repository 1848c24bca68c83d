#ifndef BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_
#define BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_

// Estimates the recent service time and its quantiles for one searcher or
// route.
//
//   service_time_estimator estimator(options);
//   estimator.Record(reply_time - send_time, now);
//   duration expected = estimator.recent().value_or(prior);
//   std::optional<duration> hedge_after = estimator.Quantile(0.95, now);
//
// The recent service time is an exponential moving average, which reacts to a
// slowed searcher within a few replies. Quantiles come from the extended
// P-square algorithm over two rotating windows: the previous window is used
// until the current one has ended. Memory is constant, and samples expire after
// two windows.

#include <cstddef>
#include <memory>
#include <optional>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct service_time_options {
  // Length of one window.
  duration window = std::chrono::seconds(2);
  // Minimum number of samples for a quantile.
  std::size_t min_samples = 20;
  // Weight of a new sample in the moving average.
  double smoothing = 0.25;
};

class service_time_estimator {
 public:
  explicit service_time_estimator(const service_time_options& options = {});
  service_time_estimator(service_time_estimator&&) noexcept;
  service_time_estimator& operator=(service_time_estimator&&) noexcept;
  ~service_time_estimator();

  // Records the service time of an answered attempt.
  void Record(duration sample, time_point now);

  // Records an attempt that was abandoned after `elapsed`, so that its service
  // time is at least that long. Such a sample never lowers the average, but it
  // keeps the estimate current for a searcher whose replies always arrive
  // second.
  void RecordAtLeast(duration elapsed, time_point now);

  // Returns the moving average, or nullopt before the first sample.
  std::optional<duration> recent() const { return recent_; }

  // Time of the latest sample.
  time_point last_sample() const { return last_sample_; }

  // Returns the quantile for `probability`, clamped to [0.5, 0.995], or nullopt
  // if there are too few samples.
  std::optional<duration> Quantile(double probability, time_point now) const;

  // Discards all samples; called when the searcher has restarted.
  void Reset();

 private:
  struct sample_windows;

  void AddSample(duration sample, time_point now);

  service_time_options options_;
  std::unique_ptr<sample_windows> windows_;
  std::optional<duration> recent_;
  time_point last_sample_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_
