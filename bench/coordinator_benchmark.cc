// Measures the origin's part of the query path, and simulates the admission
// limit under a demand swing in virtual time.
//
//   build/coordinator_benchmark --benchmark_filter=FanOut
//   build/coordinator_benchmark --benchmark_filter=Crest

#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <vector>

#include "bench/query_path_simulation.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void FillDirectory(std::size_t services, std::size_t versions,
                   shard_directory* directory) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < services; ++i) {
    names.push_back("search-" + std::to_string(i));
    backend_server_record record;
    record.key = {{names.back(), 0}, "a"};
    for (std::size_t v = 1; v <= versions; ++v) {
      directory->RecordShardSet(names.back(), index_version{v}, 1);
      record.versions.push_back(index_version{v});
    }
    directory->UpdateBackendServer(record);
    record.key.replica = "b";
    directory->UpdateBackendServer(record);
  }
  directory->SetGroup("group", names);
}

query_request MakeRequest(std::uint64_t number, time_point now) {
  query_request request;
  request.query = query_id{number};
  request.target = "group";
  request.caller = "caller-1";
  request.deadline = now + seconds(1);
  request.body = std::make_shared<const std::string>("{}");
  request.traceparent =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  return request;
}

// One query: submit, grant, fan-out, all results, answer.
void FanOut(benchmark::State& state) {
  const auto shards = static_cast<std::size_t>(state.range(0));
  shard_directory directory;
  FillDirectory(shards, 2, &directory);
  query_coordinator coordinator(&directory, {});
  query_coordinator::effects out;
  std::vector<shard_result> results;
  time_point now{};
  std::uint64_t number = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    out.clear();
    const query_request request = MakeRequest(++number, now);
    coordinator.Submit(request, now, &out);
    out.clear();
    coordinator.OnAdmission(request.query, true, result_code::kOk, {}, now,
                            &out);
    results.clear();
    for (const coordinator_effect& effect : out) {
      if (const auto* send = std::get_if<send_shard_request>(&effect)) {
        shard_result& result = results.emplace_back();
        result.id = send->request.id;
        result.version = send->request.version;
        result.attempts = 1;
        result.replica = "a";
        result.body = send->request.body;
      }
    }
    out.clear();
    for (const shard_result& result : results) {
      coordinator.OnShardResult(result, now, &out);
    }
    benchmark::DoNotOptimize(out.data());
  }
  if (coordinator.in_flight() != 0) state.SkipWithError("queries in flight");
  state.SetComplexityN(state.range(0));
}
BENCHMARK(FanOut)->Arg(20)->Arg(50)->Arg(490)->Complexity(benchmark::oN);

// One request, grant and release at the admission instance with 1000 other
// grants in force and requests of `callers` callers waiting.
void Admit(benchmark::State& state) {
  const auto callers = static_cast<std::uint64_t>(state.range(0));
  admission_controller_options options;
  options.adaptive = false;
  admission_controller controller(options);
  admission_controller::effects out;
  time_point now{};
  controller.SetLimit("group", 1000, now, &out);
  std::uint64_t number = 0;
  std::vector<query_id> running;
  admission_request request;
  request.scope = "group";
  const auto send_request = [&](std::uint64_t caller) {
    request.query = query_id{++number};
    request.caller = "caller-" + std::to_string(caller);
    request.deadline = now + seconds(1);
    controller.OnRequest("instance-1", request, now, &out);
  };
  for (std::uint64_t i = 0; i < 1000 + callers; ++i) send_request(i % callers);
  for (const admission_reply& reply : out) {
    if (reply.decision.verdict == admission_verdict::kGranted) {
      running.push_back(reply.decision.query);
    }
  }
  std::size_t oldest = 0;
  std::size_t without_grant = 0;
  for (auto _ : state) {
    now += duration(4);
    out.clear();
    controller.OnRelease("instance-1", {running[oldest], "group", true, {}, {}},
                         now, &out);
    send_request(number % callers);
    controller.Tick(now, &out);
    bool granted = false;
    for (const admission_reply& reply : out) {
      if (reply.decision.verdict != admission_verdict::kGranted) continue;
      running[oldest] = reply.decision.query;
      granted = true;
    }
    if (!granted) ++without_grant;
    oldest = (oldest + 1) % running.size();
  }
  state.counters["lost"] = static_cast<double>(without_grant);
}
BENCHMARK(Admit)->Arg(1)->Arg(8)->Arg(100);

// Picks the snapshot of a group from an unchanged directory.
void PickSnapshot(benchmark::State& state) {
  shard_directory directory;
  FillDirectory(static_cast<std::size_t>(state.range(0)), 4, &directory);
  for (auto _ : state) {
    benchmark::DoNotOptimize(directory.Pick("group"));
  }
}
BENCHMARK(PickSnapshot)->Arg(20)->Arg(50)->Arg(490);

// Picks the snapshot for the first time after a replica of the group changed.
void PickSnapshotAfterChange(benchmark::State& state) {
  shard_directory directory;
  FillDirectory(static_cast<std::size_t>(state.range(0)), 4, &directory);
  backend_server_record record;
  record.key = {{"search-0", 0}, "c"};
  record.versions = {index_version{4}};
  for (auto _ : state) {
    ++record.sequence;
    directory.UpdateBackendServer(record);
    benchmark::DoNotOptimize(directory.Pick("group"));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(PickSnapshotAfterChange)
    ->Arg(20)
    ->Arg(50)
    ->Arg(490)
    ->Complexity(benchmark::oN);

// The load rises from 35% of the slot capacity to four times the capacity
// within 2 s and stays there for 10 s. Arguments: shards, sigma of the service
// time in percent, mean service time in milliseconds, target_delay_factor in
// percent (0: the default). Counters: `answered` is the share of the attainable
// rate that was answered; quantiles are in milliseconds.
void Crest(benchmark::State& state) {
  for (auto _ : state) {
    simulation_options options;
    options.shards = static_cast<std::uint32_t>(state.range(0));
    options.sigma = static_cast<double>(state.range(1)) / 100;
    options.mean_service = milliseconds(state.range(2));
    if (state.range(3) > 0) {
      options.admission.target_delay_factor =
          static_cast<double>(state.range(3)) / 100;
    }
    query_path_simulation simulation(options);
    const double capacity = simulation.capacity();
    std::vector<simulated_caller> callers;
    for (int i = 0; i < 8; ++i) {
      callers.push_back({"caller-" + std::to_string(i), [capacity](double at) {
                           const double low = 0.35 * capacity / 8;
                           const double high = 4 * capacity / 8;
                           if (at < 4 || at >= 16) return low;
                           if (at < 6) return low + (high - low) * (at - 4) / 2;
                           return high;
                         }});
    }
    simulation.Run(callers, seconds(22));
    const time_point start{};
    const auto steady =
        simulation.LatenciesMs(start + seconds(1), start + seconds(4));
    const auto peak =
        simulation.LatenciesMs(start + seconds(6), start + seconds(16));
    const auto after =
        simulation.LatenciesMs(start + seconds(18), start + seconds(21));
    const auto refused = simulation.LatenciesMs(
        start + seconds(4), start + seconds(16), {}, query_outcome::kNotRun);
    const auto partial = simulation.LatenciesMs(
        start + seconds(4), start + seconds(16), {}, query_outcome::kPartial);
    const auto quantile = query_path_simulation::Quantile;
    state.counters["answered"] =
        static_cast<double>(peak.size()) / (simulation.attainable_rate() * 10);
    state.counters["peak_p50"] = quantile(peak, 0.5);
    state.counters["peak_p99"] = quantile(peak, 0.99);
    state.counters["steady_p99"] = quantile(steady, 0.99);
    state.counters["after_p99"] = quantile(after, 0.99);
    state.counters["refused_p99"] = quantile(refused, 0.99);
    state.counters["partial"] = static_cast<double>(partial.size());
    state.counters["limit"] = simulation.status().limit;
  }
}
BENCHMARK(Crest)
    ->ArgsProduct({{20, 50}, {20, 50, 100}, {5, 20}, {0}})
    ->ArgsProduct({{20}, {20, 50, 100}, {20}, {100, 150, 200, 300, 400}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bilberrycourse
