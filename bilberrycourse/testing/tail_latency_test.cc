#include <gtest/gtest.h>

#include <chrono>

#include "bilberrycourse/testing/dispatch_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 20 shards x 2 replicas x 2 slots at 35% of the slots. From second 10 to 25
// every tenth searcher is slowed 10-fold or, as the bound of what routing can
// do without it, drained by announcement.
class tail_latency_test : public ::testing::Test {
 protected:
  struct figures {
    duration steady{0};
    duration disturbed{0};
    duration after{0};
    double coverage = 0;
    double extra = 0;
  };

  static figures Run(rig_options options, bool drain = false) {
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

// Guards against requests that still go to searchers known to be slow, against
// a slowdown that is noticed late, and against one that is never forgotten.
TEST_F(tail_latency_test, SlowedSearchers_Unannounced_CostAsMuchAsDrainedOnes) {
  const figures slowed = Run({});
  const figures drained = Run({}, /*drain=*/true);
  RecordProperty("steady_us", std::to_string(slowed.steady.count()));
  RecordProperty("slowed_us", std::to_string(slowed.disturbed.count()));
  RecordProperty("drained_us", std::to_string(drained.disturbed.count()));
  EXPECT_LE(slowed.disturbed.count(), drained.disturbed.count() * 1.25);
  EXPECT_LE(slowed.after.count(), slowed.steady.count() * 1.2);
  EXPECT_GE(slowed.coverage, 0.999);
  EXPECT_LE(slowed.extra, 0.05);
}

// Guards against slots that work past deadlines while nothing is answered.
TEST_F(tail_latency_test, Overload_ShortDeadlines_SlotsStayUseful) {
  for (const double load : {1.5, 4.0}) {
    for (const int deadline_ms : {100, 300, 1000}) {
      rig_options options;
      options.shards = 2;
      options.deadline = milliseconds(deadline_ms);
      dispatch_rig rig(options);
      rig.StartLoad(load * 400, At(6));
      rig.RunUntil(At(8));
      // Share of what 4 slots of 10 ms can answer. The way to the searcher and
      // back takes 4% of it.
      EXPECT_GE(rig.Coverage(At(2), At(5)) * load, 0.9) << load << deadline_ms;
    }
  }
}

// Guards against a tier that is slower than no coordination at all.
TEST_F(tail_latency_test, Stragglers_Steady_AtMostHalfOfBaseline) {
  rig_options options;
  options.sigma = 0.2;
  options.straggler_share = 0.01;
  const figures tier = Run(options);
  options.baseline = true;
  const figures baseline = Run(options);
  EXPECT_LE(2 * tier.steady, baseline.steady);
}

}  // namespace
}  // namespace bilberrycourse
