#include "bench/query_path_simulation.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{};

std::vector<simulated_caller> Callers(int count,
                                      std::function<double(double)> rate) {
  std::vector<simulated_caller> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back({"caller-" + std::to_string(i), rate});
  }
  return callers;
}

// Checks the targets of section 1.6 of the design for a demand swing: load from
// 35% of the capacity to four times the capacity and back.
TEST(query_path_simulation_test, DemandSwing_AnswersAtSlotCapacity) {
  for (const double sigma : {0.2, 0.5, 1.0}) {
    SCOPED_TRACE(sigma);
    simulation_options options;
    options.sigma = sigma;
    query_path_simulation simulation(options);
    const double capacity = simulation.capacity();
    simulation.Run(Callers(8,
                           [capacity](double at) {
                             const double low = 0.35 * capacity / 8;
                             const double high = 4 * capacity / 8;
                             if (at < 4 || at >= 16) return low;
                             return at < 6 ? low + (high - low) * (at - 4) / 2
                                           : high;
                           }),
                   seconds(22));
    const auto between = [&](int from, int until, query_outcome outcome) {
      return simulation.LatenciesMs(kStart + seconds(from),
                                    kStart + seconds(until), {}, outcome);
    };
    const auto quantile = query_path_simulation::Quantile;
    const auto peak = between(6, 16, query_outcome::kComplete);
    EXPECT_GE(static_cast<double>(peak.size()),
              0.95 * simulation.attainable_rate() * 10);
    EXPECT_LE(peak.back(), 1000);
    EXPECT_LE(quantile(between(4, 16, query_outcome::kNotRun), 0.99), 20);
    EXPECT_LE(between(4, 16, query_outcome::kPartial).size(),
              peak.size() / 1000);
    // Two seconds after the peak. The bound is loose because samples are few.
    EXPECT_LE(quantile(between(18, 21, query_outcome::kComplete), 0.99),
              1.5 * quantile(between(0, 4, query_outcome::kComplete), 0.99));
  }
}

// Guards against a caller at 10 times its rate that delays other callers, and
// against latencies that depend on the origin.
TEST(query_path_simulation_test, HeavyCaller_OtherCallersUnaffected) {
  std::vector<double> p99;
  for (const double factor : {1.0, 10.0}) {
    simulation_options options;
    options.mean_service = milliseconds(5);
    query_path_simulation simulation(options);
    const double base = 0.35 * simulation.capacity() / 5;
    auto callers = Callers(5, [base](double) { return base; });
    callers[0].rate = [base, factor](double) { return factor * base; };
    simulation.Run(callers, seconds(40));
    std::vector<double> others;
    for (const char* caller : {"caller-1", "caller-2", "caller-3"}) {
      const auto latencies =
          simulation.LatenciesMs(kStart, kStart + seconds(39), caller);
      others.insert(others.end(), latencies.begin(), latencies.end());
      EXPECT_LE(simulation
                    .LatenciesMs(kStart, kStart + seconds(39), caller,
                                 query_outcome::kNotRun)
                    .size(),
                latencies.size() / 100);
    }
    std::ranges::sort(others);
    p99.push_back(query_path_simulation::Quantile(others, 0.99));
    double lowest = 1e9;
    double highest = 0;
    for (int origin = 0; origin < 8; ++origin) {
      const double value = query_path_simulation::Quantile(
          simulation.LatenciesMs(kStart, kStart + seconds(39), "caller-0",
                                 query_outcome::kComplete, origin),
          0.95);
      lowest = std::min(lowest, value);
      highest = std::max(highest, value);
    }
    EXPECT_LE(highest, 1.2 * lowest);
  }
  EXPECT_LE(p99[1], 1.2 * p99[0]) << p99[0] << " ms without the heavy caller";
}

// Guards against queries that fail while the admission instance is frozen.
TEST(query_path_simulation_test, FrozenAdmission_QueriesContinue) {
  simulation_options options;
  options.mean_service = milliseconds(5);
  query_path_simulation simulation(options);
  const double rate = 0.35 * simulation.capacity() / 8;
  simulation.FreezeAdmission(kStart + seconds(4), kStart + seconds(8));
  simulation.Run(Callers(8, [rate](double) { return rate; }), seconds(12));
  const auto complete =
      simulation.LatenciesMs(kStart + seconds(4), kStart + seconds(8));
  const auto refused = simulation.LatenciesMs(
      kStart + seconds(4), kStart + seconds(8), {}, query_outcome::kNotRun);
  EXPECT_GE(static_cast<double>(complete.size()),
            0.95 * static_cast<double>(complete.size() + refused.size()))
      << refused.size();
  // After the freeze no query is refused, and no grant is leaked.
  EXPECT_TRUE(simulation
                  .LatenciesMs(kStart + seconds(9), kStart + seconds(11), {},
                               query_outcome::kNotRun)
                  .empty());
  EXPECT_LE(simulation.status().running, simulation.in_flight() + 5);
}

}  // namespace
}  // namespace bilberrycourse
