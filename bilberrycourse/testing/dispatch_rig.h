#ifndef BILBERRYCOURSE_TESTING_DISPATCH_RIG_H_
#define BILBERRYCOURSE_TESTING_DISPATCH_RIG_H_

// Virtual-time test rig for one shard_dispatcher. Simulates searchers with
// slots, a service-time distribution and an optional slowdown, and queries that
// fan out to all shards. Adapters, links and the origin are not simulated.
//
//   dispatch_rig rig(rig_options{.shards = 20});
//   rig.StartLoad(queries_per_second, end);
//   rig.RunUntil(end);
//   rig.Percentile(0.99, from, to);

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/shard_dispatcher.h"

namespace bilberrycourse {

struct rig_options {
  std::uint32_t shards = 20;
  std::uint32_t replicas = 2;
  std::uint32_t slots = 2;
  // Mean and shape of the log-normal service time.
  duration mean_service_time = std::chrono::milliseconds(10);
  double sigma = 0.5;
  // Fraction of attempts that take `straggler_factor` times as long.
  double straggler_share = 0;
  double straggler_factor = 10;
  duration one_way_delay = std::chrono::microseconds(200);
  duration connect_time = std::chrono::milliseconds(6);
  duration deadline = std::chrono::seconds(1);
  std::uint64_t seed = 1;
  // Baseline for comparison: a uniformly random replica, no hedging, and
  // searchers that queue without a limit.
  bool baseline = false;
  service_policy policy;
  dispatch_options dispatch;
};

class dispatch_rig {
 public:
  struct query {
    time_point start{};
    time_point end{};
    std::uint32_t pending = 0;
    std::uint32_t answered = 0;
  };

  explicit dispatch_rig(const rig_options& options)
      : options_(options), random_(options.seed) {
    options_.dispatch.record_decisions = false;
    dispatcher_ = std::make_unique<shard_dispatcher>(options_.dispatch);
    dispatcher_->SetPolicy("group", options_.policy);
    dispatcher_->SetSendingAllowed(true, now_, &effects_);
    for (std::uint32_t s = 0; s < options_.shards; ++s) {
      dispatcher_->SetShardOwned({"service", s}, true, now_, &effects_);
      for (std::uint32_t r = 0; r < options_.replicas; ++r) {
        const backend_server_record record =
            RecordOf({{"service", s}, std::to_string(r)});
        searchers_.push_back({});
        searcher_index_[record.key] = searchers_.size() - 1;
        dispatcher_->UpdateBackendServer(record, now_, &effects_);
      }
    }
    Apply();
    ScheduleTick();
  }

  // Starts queries to all shards with Poisson arrivals until `end`.
  void StartLoad(double queries_per_second, time_point end) {
    queries_per_second_ = queries_per_second;
    load_end_ = end;
    ScheduleArrival();
  }

  void At(time_point when, std::function<void()> callback) {
    events_.push({when, next_event_++, std::move(callback)});
  }

  // Multiplies the service time of every `stride`-th searcher by `factor` from
  // now on.
  void Slow(std::size_t stride, double factor) {
    for (std::size_t i = 0; i < searchers_.size(); i += stride) {
      searchers_[i].slowdown = factor;
    }
  }

  // Lets every `stride`-th searcher announce that it is draining.
  void Drain(std::size_t stride) {
    for (auto& [key, index] : searcher_index_) {
      if (index % stride != 0) continue;
      backend_server_record record = RecordOf(key);
      record.sequence = 1;
      record.state = backend_server_state::kDraining;
      dispatcher_->UpdateBackendServer(record, now_, &effects_);
    }
  }

  void RunUntil(time_point end) {
    while (true) {
      const auto due = dispatcher_->next_due();
      const time_point next =
          events_.empty() ? time_point::max() : events_.top().at;
      if (due && *due <= next && *due <= end) {
        now_ = std::max(now_, *due);
        dispatcher_->Tick(now_, &effects_);
        Apply();
      } else if (next <= end) {
        now_ = next;
        const auto callback = events_.top().callback;
        events_.pop();
        callback();
        Apply();
      } else {
        break;
      }
    }
    now_ = end;
  }

  // Returns the latency quantile `p` of the queries that started in [from, to).
  duration Percentile(double p, time_point from, time_point to) const {
    std::vector<duration> latencies;
    for (const auto& [id, q] : queries_) {
      if (q.start >= from && q.start < to && q.pending == 0) {
        latencies.push_back(q.end - q.start);
      }
    }
    if (latencies.empty()) return duration{0};
    std::sort(latencies.begin(), latencies.end());
    return latencies[std::min(
        latencies.size() - 1,
        static_cast<std::size_t>(p * static_cast<double>(latencies.size())))];
  }

  // Returns the fraction of the shard requests of the queries that started in
  // [from, to) that were answered.
  double Coverage(time_point from, time_point to) const {
    double answered = 0;
    double total = 0;
    for (const auto& [id, q] : queries_) {
      if (q.start < from || q.start >= to) continue;
      answered += q.answered;
      total += options_.shards;
    }
    return total == 0 ? 0 : answered / total;
  }

  time_point now() const { return now_; }
  shard_dispatcher& dispatcher() { return *dispatcher_; }

 private:
  struct searcher {
    std::uint32_t running = 0;
    double slowdown = 1;
    // Attempts that are running.
    std::map<attempt_id, bool> active;
    // Work that waits for a slot (baseline only).
    std::vector<std::function<void()>> backlog;
  };
  struct event {
    time_point at{};
    std::uint64_t sequence = 0;
    std::function<void()> callback;
    bool operator<(const event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  backend_server_record RecordOf(const backend_server_key& key) const {
    backend_server_record record;
    record.key = key;
    record.slots = options_.slots;
    record.connection_limit = 25;
    record.versions = {index_version{1}};
    return record;
  }

  duration ServiceTime(double factor) {
    // The mean of exp(N(mu, sigma)) is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<double> shape(
        -options_.sigma * options_.sigma / 2, options_.sigma);
    double value = shape(random_) * factor *
                   static_cast<double>(options_.mean_service_time.count());
    if (std::bernoulli_distribution(options_.straggler_share)(random_)) {
      value *= options_.straggler_factor;
    }
    return duration(static_cast<std::int64_t>(value) + 1);
  }

  void ScheduleTick() {
    At(now_ + std::chrono::milliseconds(10), [this] {
      dispatcher_->Tick(now_, &effects_);
      ScheduleTick();
    });
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(queries_per_second_);
    const time_point at =
        now_ + duration(static_cast<std::int64_t>(gap(random_) * 1e6));
    if (at >= load_end_) return;
    At(at, [this] {
      StartQuery();
      ScheduleArrival();
    });
  }

  void StartQuery() {
    const std::uint64_t id = next_query_++;
    queries_[id] = {now_, now_, options_.shards, 0};
    for (std::uint32_t s = 0; s < options_.shards; ++s) {
      if (options_.baseline) {
        RunBaselineRequest(id, s);
        continue;
      }
      shard_request request;
      request.id = shard_request_id{id * options_.shards + s};
      request.shard = {"service", s};
      request.version = index_version{1};
      request.deadline = now_ + options_.deadline;
      request.caller = "caller";
      request.scope = "group";
      request.content = fingerprint{id};
      dispatcher_->Submit("origin", std::move(request), now_, &effects_);
    }
  }

  void RunBaselineRequest(std::uint64_t id, std::uint32_t shard) {
    std::uniform_int_distribution<std::uint32_t> pick(0, options_.replicas - 1);
    searcher& server = searchers_[shard * options_.replicas + pick(random_)];
    auto run = [this, id, &server] {
      ++server.running;
      At(now_ + ServiceTime(server.slowdown) + 2 * options_.one_way_delay,
         [this, id, &server] {
           --server.running;
           query& q = queries_[id];
           q.end = now_;
           ++q.answered;
           --q.pending;
           if (server.backlog.empty()) return;
           const auto next = server.backlog.front();
           server.backlog.erase(server.backlog.begin());
           next();
         });
    };
    if (server.running < options_.slots) {
      run();
    } else {
      server.backlog.push_back(run);
    }
  }

  void Apply() {
    // Handlers only schedule events and append nothing to this vector.
    for (dispatch_effect& effect : effects_) {
      std::visit([this](auto& e) { ExecuteEffect(e); }, effect);
    }
    effects_.clear();
  }

  void ExecuteEffect(const open_connection& e) {
    At(now_ + options_.connect_time, [this, id = e.connection] {
      dispatcher_->OnConnectionOpened(id, now_, &effects_);
    });
  }
  void ExecuteEffect(const close_connection&) {}
  void ExecuteEffect(const report_crash&) {}
  void ExecuteEffect(const dispatch_decision&) {}

  void ExecuteEffect(const send_attempt& e) {
    const std::size_t index = searcher_index_.at(e.server);
    At(now_ + options_.one_way_delay, [this, id = e.attempt, index] {
      searcher& server = searchers_[index];
      if (server.running >= options_.slots) {
        Reply(id, attempt_reply_kind::kShed);
        return;
      }
      ++server.running;
      server.active[id] = true;
      At(now_ + ServiceTime(server.slowdown), [this, id, index] {
        if (searchers_[index].active.erase(id) == 0) return;
        --searchers_[index].running;
        Reply(id, attempt_reply_kind::kOk);
      });
    });
  }

  void ExecuteEffect(const canary_started&) {}
  void ExecuteEffect(const cancel_attempt& e) {
    const std::size_t index = searcher_index_.at(e.server);
    At(now_ + options_.one_way_delay, [this, id = e.attempt, index] {
      if (searchers_[index].active.erase(id) == 0) return;
      --searchers_[index].running;
      Reply(id, attempt_reply_kind::kCancelled);
    });
  }

  void ExecuteEffect(const finish_request& e) {
    query& q =
        queries_[static_cast<std::uint64_t>(e.result.id) / options_.shards];
    --q.pending;
    q.end = now_;
    if (e.result.code == result_code::kOk) ++q.answered;
  }

  void Reply(attempt_id id, attempt_reply_kind kind) {
    At(now_ + options_.one_way_delay, [this, id, kind] {
      dispatcher_->OnReply(id, {kind, index_version{1}, nullptr}, now_,
                           &effects_);
    });
  }

  rig_options options_;
  std::mt19937_64 random_;
  std::unique_ptr<shard_dispatcher> dispatcher_;
  dispatch_effects effects_;
  time_point now_{};
  std::priority_queue<event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<searcher> searchers_;
  std::map<backend_server_key, std::size_t> searcher_index_;
  std::map<std::uint64_t, query> queries_;
  std::uint64_t next_query_ = 0;
  double queries_per_second_ = 0;
  time_point load_end_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_DISPATCH_RIG_H_
