#ifndef BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_
#define BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_

// Recent service time and service-time quantiles of one searcher.
//
//   service_time_estimator estimator(options);
//   estimator.Record(reply_time - send_time, now);
//   duration expected = estimator.recent().value_or(prior);
//   std::optional<duration> hedge_after = estimator.Quantile(0.95, now);
//
// The recent service time is an exponential moving average, because it must
// react to a slowed searcher within a few replies. Quantiles come from two
// rotating windows of the extended P-square algorithm: the full window answers
// until the next one is full, so that memory is constant and old samples stop
// counting after two windows.

#include <cstddef>
#include <memory>
#include <optional>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct service_time_options {
  // Length of one window.
  duration window = std::chrono::seconds(2);
  // Fewest samples from which a quantile is answered.
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

  // Accounts the service time of an answered attempt.
  void Record(duration sample, time_point now);

  // Accounts an attempt that was given up after `elapsed`: its service time is
  // at least that long. The average never falls by such a sample, but a
  // searcher that does not win against others stays estimated.
  void RecordAtLeast(duration elapsed, time_point now);

  // The moving average; nothing before the first sample.
  std::optional<duration> recent() const { return recent_; }

  // Time of the latest sample.
  time_point last_sample() const { return last_sample_; }

  // Quantile `probability`, clamped to [0.5, 0.995]; nothing with too few
  // samples.
  std::optional<duration> Quantile(double probability, time_point now) const;

  // Forgets everything, for a searcher that restarted.
  void Reset();

 private:
  struct windows;

  void Add(duration sample, time_point now);

  service_time_options options_;
  std::unique_ptr<windows> windows_;
  std::optional<duration> recent_;
  time_point last_sample_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SERVICE_TIME_ESTIMATOR_H_
