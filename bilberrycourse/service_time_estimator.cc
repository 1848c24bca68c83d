#include "bilberrycourse/service_time_estimator.h"

// The quantile header of Boost.Accumulators needs std::ostringstream and does
// not include it.
// clang-format off
#include <sstream>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
// clang-format on

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace bilberrycourse {
namespace {

namespace accumulators = boost::accumulators;

// The tracked quantiles; others are interpolated between them.
constexpr std::array<double, 7> kProbabilities = {0.5,  0.75, 0.9,  0.95,
                                                  0.98, 0.99, 0.995};
// P-square gives no estimate before each of its markers has a sample.
constexpr std::size_t kMarkers = 2 * kProbabilities.size() + 3;

using quantile_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count,
                                accumulators::tag::extended_p_square_quantile>>;

quantile_accumulator MakeAccumulator() {
  return quantile_accumulator(accumulators::extended_p_square_probabilities =
                                  kProbabilities);
}

}  // namespace

struct service_time_estimator::sample_windows {
  quantile_accumulator current = MakeAccumulator();
  quantile_accumulator previous = MakeAccumulator();
  time_point start{};

  void Rotate(time_point now, duration window) {
    if (now < start + window) return;
    if (now < start + 2 * window) {
      previous = std::move(current);
      start += window;
    } else {
      previous = MakeAccumulator();
      start = now;
    }
    current = MakeAccumulator();
  }
};

service_time_estimator::service_time_estimator(
    const service_time_options& options)
    : options_(options) {
  options_.min_samples = std::max(options_.min_samples, kMarkers);
}

service_time_estimator::service_time_estimator(
    service_time_estimator&&) noexcept = default;
service_time_estimator& service_time_estimator::operator=(
    service_time_estimator&&) noexcept = default;
service_time_estimator::~service_time_estimator() = default;

void service_time_estimator::Record(duration sample, time_point now) {
  sample = std::max(sample, duration{0});
  if (!recent_) {
    recent_ = sample;
  } else {
    const double next =
        static_cast<double>(recent_->count()) +
        options_.smoothing * static_cast<double>((sample - *recent_).count());
    recent_ = duration(std::llround(next));
  }
  AddSample(sample, now);
}

void service_time_estimator::RecordAtLeast(duration elapsed, time_point now) {
  if (recent_ && elapsed <= *recent_) {
    last_sample_ = now;
    return;
  }
  Record(elapsed, now);
}

std::optional<duration> service_time_estimator::Quantile(double probability,
                                                         time_point now) const {
  if (windows_ == nullptr) return std::nullopt;
  // The samples of both windows have expired.
  if (now >= windows_->start + 2 * options_.window) return std::nullopt;
  const quantile_accumulator* source = &windows_->previous;
  if (accumulators::count(*source) < options_.min_samples) {
    source = &windows_->current;
  }
  if (accumulators::count(*source) < options_.min_samples) return std::nullopt;
  const double value = accumulators::quantile(
      *source, accumulators::quantile_probability = std::clamp(
                   probability, kProbabilities.front(), kProbabilities.back()));
  if (!std::isfinite(value)) return std::nullopt;
  return duration(std::llround(value));
}

void service_time_estimator::Reset() {
  windows_.reset();
  recent_.reset();
}

void service_time_estimator::AddSample(duration sample, time_point now) {
  // Allocated on first use, because most searchers belong to other owners and
  // never get a sample.
  if (windows_ == nullptr) {
    windows_ = std::make_unique<sample_windows>();
    windows_->start = now;
  }
  windows_->Rotate(now, options_.window);
  windows_->current(static_cast<double>(sample.count()));
  last_sample_ = now;
}

}  // namespace bilberrycourse
