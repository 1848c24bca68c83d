// Measures the owner's part of the query path: replica choice, submit and send,
// processing of a reply, queueing, and fingerprint lookup, against the numbers
// of searchers, shards, replicas and callers.
//
//   build/dispatch_benchmark --benchmark_filter=SubmitAndReply

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/fair_queue.h"
#include "bilberrycourse/replica_choice.h"
#include "bilberrycourse/service_time_estimator.h"
#include "bilberrycourse/shard_dispatcher.h"

namespace bilberrycourse {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

// A dispatcher with warm searchers, driven one request at a time.
class dispatcher_driver {
 public:
  dispatcher_driver(std::uint32_t shards, std::uint32_t replicas,
                    bool record_decisions)
      : shards_(shards) {
    dispatch_options options;
    options.record_decisions = record_decisions;
    options.ramp_successes = 0;
    dispatcher_ = std::make_unique<shard_dispatcher>(options, &evidence_);
    dispatcher_->SetSendingAllowed(true, now_, &effects_);
    for (std::uint32_t s = 0; s < shards; ++s) {
      dispatcher_->SetShardOwned(Shard(s), true, now_, &effects_);
      for (std::uint32_t r = 0; r < replicas; ++r) {
        backend_server_record record;
        record.key = {Shard(s), std::to_string(r)};
        record.slots = 2;
        record.connection_limit = 25;
        record.versions = {index_version{1}};
        dispatcher_->UpdateBackendServer(record, now_, &effects_);
        OpenConnections();
      }
    }
  }

  // Submits one request and returns its attempt; zero if it was queued.
  attempt_id Submit(std::uint32_t shard) {
    now_ += microseconds(13);
    shard_request request;
    request.id = shard_request_id{next_request_id_++};
    request.shard = Shard(shard);
    request.version = index_version{1};
    request.deadline = now_ + seconds(1);
    request.caller = "caller";
    request.content = fingerprint{next_request_id_};
    dispatcher_->Submit("origin", std::move(request), now_, &effects_);
    attempt_id id{};
    for (const dispatch_effect& effect : effects_) {
      if (const auto* send = std::get_if<send_attempt>(&effect)) {
        id = send->attempt;
      }
    }
    effects_.clear();
    return id;
  }

  void Reply(attempt_id id) {
    now_ += microseconds(13);
    dispatcher_->OnReply(id,
                         {attempt_reply_kind::kOk, index_version{1}, nullptr},
                         now_, &effects_);
    benchmark::DoNotOptimize(effects_.data());
    effects_.clear();
  }

  void Tick() {
    dispatcher_->Tick(now_, &effects_);
    effects_.clear();
  }

  std::uint32_t shards() const { return shards_; }

 private:
  static shard_key Shard(std::uint32_t s) {
    return {"service" + std::to_string(s % 50), s};
  }

  void OpenConnections() {
    dispatch_effects pending;
    pending.swap(effects_);
    for (const dispatch_effect& effect : pending) {
      if (const auto* open = std::get_if<open_connection>(&effect)) {
        dispatcher_->OnConnectionOpened(open->connection, now_, &effects_);
      }
    }
    effects_.clear();
  }

  std::uint32_t shards_;
  crash_evidence evidence_;
  std::unique_ptr<shard_dispatcher> dispatcher_;
  dispatch_effects effects_;
  time_point now_{};
  std::uint64_t next_request_id_ = 1;
};

void ChooseReplica(benchmark::State& state) {
  std::vector<replica_load> loads(static_cast<std::size_t>(state.range(0)));
  for (std::size_t i = 0; i < loads.size(); ++i) {
    loads[i].slots = 2;
    loads[i].in_flight = static_cast<std::uint32_t>(i % 3);
    loads[i].available = i % 3 < 2;
    loads[i].service_time = microseconds(9000 + 100 * (i % 7));
  }
  const replica_choice choice;
  for (auto _ : state) benchmark::DoNotOptimize(choice.Choose(loads, 0));
}
BENCHMARK(ChooseReplica)->Arg(2)->Arg(5)->Arg(10)->Arg(100);

// One request from Submit to its result; shards are visited in turn, so that
// large tables do not stay in the cache.
void SubmitAndReply(benchmark::State& state) {
  dispatcher_driver driver(static_cast<std::uint32_t>(state.range(0)),
                           static_cast<std::uint32_t>(state.range(1)),
                           state.range(2) != 0);
  std::uint32_t shard = 0;
  for (auto _ : state) {
    driver.Reply(driver.Submit(shard));
    shard = (shard + 1) % driver.shards();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SubmitAndReply)
    ->ArgNames({"shards", "replicas", "log"})
    ->Args({1, 2, 0})
    ->Args({10, 2, 0})
    ->Args({50, 2, 0})
    ->Args({500, 2, 0})
    ->Args({4250, 2, 0})
    ->Args({50, 5, 0})
    ->Args({50, 10, 0})
    ->Args({50, 2, 1})
    ->Args({50, 10, 1});

// A tick with all slots in use: four requests for two replicas of two slots.
void TickWithRequestsInFlight(benchmark::State& state) {
  dispatcher_driver driver(static_cast<std::uint32_t>(state.range(0)), 2,
                           false);
  for (std::uint32_t s = 0; s < driver.shards(); ++s) {
    for (int i = 0; i < 4; ++i) driver.Submit(s);
  }
  for (auto _ : state) driver.Tick();
}
BENCHMARK(TickWithRequestsInFlight)->Arg(10)->Arg(500)->Arg(4250);

void QueuePushAndPop(benchmark::State& state) {
  const auto callers = static_cast<std::size_t>(state.range(0));
  std::vector<caller_name> names;
  for (std::size_t i = 0; i < callers; ++i) {
    names.push_back("caller" + std::to_string(i));
  }
  std::vector<fair_queue_entry> entries(256);
  fair_queue queue;
  std::size_t next = 0;
  for (fair_queue_entry& entry : entries) {
    queue.Push(&entry, names[next++ % callers], 1);
  }
  for (auto _ : state) {
    fair_queue_entry* entry = queue.Pop([](index_version) { return true; });
    entry->deadline += microseconds(1000);
    queue.Push(entry, names[next++ % callers], 1);
  }
}
BENCHMARK(QueuePushAndPop)->Arg(1)->Arg(16)->Arg(256);

void RecordServiceTime(benchmark::State& state) {
  service_time_estimator estimator;
  time_point now{};
  std::int64_t sample = 1;
  for (auto _ : state) {
    now += microseconds(100);
    sample = sample * 48271 % 2147483647;
    estimator.Record(microseconds(sample % 20000), now);
  }
}
BENCHMARK(RecordServiceTime);

void ServiceTimeQuantile(benchmark::State& state) {
  service_time_estimator estimator;
  for (int i = 0; i < 1000; ++i) {
    estimator.Record(microseconds(i * 37 % 20000), time_point{});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(estimator.Quantile(0.95, time_point{}));
  }
}
BENCHMARK(ServiceTimeQuantile);

void CrashVerdict(benchmark::State& state) {
  crash_evidence evidence;
  const time_point now{};
  for (std::uint64_t i = 0; i < 4096; ++i) {
    evidence.RecordCrash({{{"service", 1}, "a"}, i, {fingerprint{i}}}, now);
  }
  for (std::uint64_t i = 0; i < 65536; ++i) {
    evidence.RecordSuccess(fingerprint{1000000 + i}, now);
  }
  // The argument selects the fingerprints: 0 unknown, 1 recently successful,
  // 2 suspected of a crash.
  const std::uint64_t first =
      state.range(0) == 0 ? 9000000 : (state.range(0) == 1 ? 1000000 : 0);
  std::uint64_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        evidence.Verdict(fingerprint{first + (i++ & 4095)}, now));
  }
}
BENCHMARK(CrashVerdict)->Arg(0)->Arg(1)->Arg(2);

}  // namespace
}  // namespace bilberrycourse
