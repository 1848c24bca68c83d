#ifndef APP_METRICS_H_
#define APP_METRICS_H_

// Counters and latency quantiles of one process, written in the Prometheus
// text format. Quantiles are estimated by Boost.Accumulators over the whole
// lifetime of the process. They give an overview of one instance; the benchmark
// does not use them but measures with its own clock.
//
//   metrics counters;
//   counters.RecordQuery("catalogue", "complete", latency, 0, 20, 20);
//   std::string page = counters.Text();

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class metrics {
 public:
  // Counts an answered query to `target`. `shards` is the number of shards that
  // the query addressed, `searched` the number that the answer includes.
  void RecordQuery(const std::string& target, std::string_view outcome,
                   duration latency, std::uint32_t extra_attempts,
                   std::uint32_t shards, std::uint32_t searched);
  // Sets a gauge. Call it before Text() with the current value.
  void SetGauge(const std::string& name, const std::string& help, double value);
  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  using latency_accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square,
                                 boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum>>;
  struct target_metrics {
    target_metrics();
    latency_accumulator latency_seconds;
    std::map<std::string, std::uint64_t, std::less<>> outcomes;
    std::uint64_t extra_attempts = 0;
    std::uint64_t shards = 0;
    std::uint64_t searched = 0;
  };
  struct gauge {
    std::string help;
    double value = 0;
  };

  std::map<std::string, target_metrics> targets_;
  std::map<std::string, gauge> gauges_;
};

}  // namespace bilberrycourse

#endif  // APP_METRICS_H_
