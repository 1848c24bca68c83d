#include <gtest/gtest.h>

#include <chrono>

#include "bilberrycourse/testing/dispatch_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 20 shards x 2 replicas x 2 slots at a load of 35%. From second 10 to 25,
// every tenth searcher is slowed 10-fold. As the reference for the best that
// routing can achieve without these searchers, another run drains them by
// announcement.
class tail_latency_test : public ::testing::Test {
 protected:
  // 99th percentiles of the latency in three phases, and shares over the run.
  struct run_result {
    duration steady_p99{0};
    duration disturbed_p99{0};
    duration recovered_p99{0};
    double coverage = 0;
    double extra_attempt_ratio = 0;
  };

  static run_result Run(rig_options options, bool drain = false) {
    dispatch_rig rig(options);
    rig.StartLoad(kQueriesPerSecond, At(35));
    rig.At(At(10), [&] { drain ? rig.Drain(10) : rig.Slow(10, 10); });
    rig.At(At(25), [&] { rig.Slow(10, 1); });
    rig.RunUntil(At(40));
    const dispatch_counters& counters = rig.dispatcher().counters();
    return {rig.Percentile(0.99, At(2), At(10)),
            rig.Percentile(0.99, At(10), At(25)),
            rig.Percentile(0.99, At(28), At(35)), rig.Coverage(At(2), At(35)),
            static_cast<double>(counters.hedges + counters.probes +
                                counters.retries) /
                static_cast<double>(
                    std::max<std::uint64_t>(counters.first_attempts, 1))};
  }

  static time_point At(int second) { return time_point{} + seconds(second); }

  // 0.35 x 4 slots / 10 ms.
  static constexpr double kQueriesPerSecond = 140;
};

// Guards against requests that are still sent to searchers known to be slow,
// against slowdowns that are detected late, and against slow searchers that
// stay avoided after they have recovered.
TEST_F(tail_latency_test,
       SlowedSearchers_Unannounced_LatencyNearDrainedSearchers) {
  const run_result slowed = Run({});
  const run_result drained = Run({}, /*drain=*/true);
  RecordProperty("steady_us", std::to_string(slowed.steady_p99.count()));
  RecordProperty("slowed_us", std::to_string(slowed.disturbed_p99.count()));
  RecordProperty("drained_us", std::to_string(drained.disturbed_p99.count()));
  EXPECT_LE(slowed.disturbed_p99.count(), drained.disturbed_p99.count() * 1.25);
  EXPECT_LE(slowed.recovered_p99.count(), slowed.steady_p99.count() * 1.2);
  EXPECT_GE(slowed.coverage, 0.999);
  EXPECT_LE(slowed.extra_attempt_ratio, 0.05);
}

// Guards against slots that run requests past their deadlines, so that few
// queries are answered.
TEST_F(tail_latency_test, Overload_ShortDeadlines_GoodputStaysHigh) {
  for (const double load : {1.5, 4.0}) {
    for (const int deadline_ms : {100, 300, 1000}) {
      rig_options options;
      options.shards = 2;
      options.deadline = milliseconds(deadline_ms);
      dispatch_rig rig(options);
      rig.StartLoad(load * 400, At(6));
      rig.RunUntil(At(8));
      // Share of the capacity of 4 slots with 10 ms per request. The round trip
      // to the searcher takes 4% of it.
      EXPECT_GE(rig.Coverage(At(2), At(5)) * load, 0.9) << load << deadline_ms;
    }
  }
}

// Guards against a tier that is slower than a baseline without coordination.
TEST_F(tail_latency_test, Stragglers_Steady_AtMostHalfOfBaseline) {
  rig_options options;
  options.sigma = 0.2;
  options.straggler_share = 0.01;
  const run_result tier = Run(options);
  options.baseline = true;
  const run_result baseline = Run(options);
  EXPECT_LE(2 * tier.steady_p99, baseline.steady_p99);
}

}  // namespace
}  // namespace bilberrycourse
