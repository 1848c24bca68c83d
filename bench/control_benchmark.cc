// Measures the configuration parser and the control state machine.

#include <benchmark/benchmark.h>

#include <string>

#include "bilberrycourse/control_state.h"

namespace bilberrycourse {
namespace {

constexpr wall_time_ms kNow = 1'700'000'000'000;

std::string MakeDocument(std::int64_t services) {
  std::string text = R"({"services":{)";
  for (std::int64_t i = 0; i < services; ++i) {
    text += (i == 0 ? "\"s" : ",\"s") + std::to_string(i) +
            R"(":{"max_attempts":2,"default_deadline_ms":800})";
  }
  return text + "}}";
}

void AddFinishedRequests(std::int64_t requests, control_state* state) {
  for (std::int64_t i = 0; i < requests; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const auto id = static_cast<std::uint64_t>(i) + 1;
    state->Apply(
        2 * id, kNow,
        request_begin{
            "app", key, {"entry-1", id}, "orders", id, kNow, 500, false, true});
    state->Apply(2 * id + 1, kNow,
                 request_finish{"app",
                                key,
                                {"entry-1", id},
                                result_code::kOk,
                                std::string(200, 'x')});
  }
}

void ParseDocument(benchmark::State& state) {
  const std::string text = MakeDocument(state.range(0));
  for (auto _ : state) {
    std::vector<document_error> errors;
    benchmark::DoNotOptimize(ParseConfig(text, &errors));
  }
  state.counters["document_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseDocument)->Arg(50)->Arg(490)->Unit(benchmark::kMicrosecond);

void ApplyRequestBegin(benchmark::State& state) {
  control_state control;
  std::uint64_t id = 0;
  for (auto _ : state) {
    ++id;
    if (control.request_count() >= 100000) {
      state.PauseTiming();
      control = control_state();
      state.ResumeTiming();
    }
    const std::string bytes =
        EncodeCommand(request_begin{"app",
                                    "key-" + std::to_string(id),
                                    {"entry-1", id},
                                    "orders",
                                    id,
                                    kNow,
                                    500,
                                    false,
                                    true});
    benchmark::DoNotOptimize(
        control.Apply(control.applied_index() + 1, kNow, bytes));
  }
}
BENCHMARK(ApplyRequestBegin)->Unit(benchmark::kMicrosecond);

void SaveSnapshot(benchmark::State& state) {
  control_state control;
  AddFinishedRequests(state.range(0), &control);
  std::size_t bytes = 0;
  for (auto _ : state) bytes = control.SaveSnapshot().size();
  state.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SaveSnapshot)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(100000)
    ->Unit(benchmark::kMillisecond);

void LoadSnapshot(benchmark::State& state) {
  control_state control;
  AddFinishedRequests(state.range(0), &control);
  const std::string bytes = control.SaveSnapshot();
  for (auto _ : state) {
    control_state loaded;
    benchmark::DoNotOptimize(loaded.LoadSnapshot(bytes));
  }
}
BENCHMARK(LoadSnapshot)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(100000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bilberrycourse
