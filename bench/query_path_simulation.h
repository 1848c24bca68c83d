#ifndef BENCH_QUERY_PATH_SIMULATION_H_
#define BENCH_QUERY_PATH_SIMULATION_H_

// Simulates origins, one admission instance and the shards in virtual time.
// Each shard has `slots` servers behind a queue that is fair among callers and
// drops expired requests; there is no hedging and no message loss. Arrivals are
// Poisson and service times lognormal, both from a fixed seed.
//
//   query_path_simulation simulation({.shards = 20});
//   simulation.Run({{"caller-1", [](double s) { return 70.0; }}}, seconds(5));

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "bilberrycourse/admission_client.h"
#include "bilberrycourse/admission_controller.h"
#include "bilberrycourse/query_coordinator.h"
#include "bilberrycourse/shard_directory.h"

namespace bilberrycourse {

struct simulation_options {
  std::uint32_t origins = 8;
  std::uint32_t shards = 20;
  std::uint32_t slots = 4;
  // Mean of the lognormal service time.
  duration mean_service = std::chrono::milliseconds(20);
  // Standard deviation of the logarithm of the service time.
  double sigma = 0.5;
  // One-way delay of each message.
  duration link_delay = std::chrono::milliseconds(1);
  duration deadline = std::chrono::milliseconds(1000);
  admission_controller_options admission;
  unsigned seed = 1;
};

struct simulated_caller {
  std::string name;
  // Queries per second, as a function of the seconds since the start.
  std::function<double(double)> rate;
};

struct simulated_answer {
  std::string caller;
  std::uint32_t origin = 0;
  time_point submitted{};
  time_point answered{};
  query_outcome outcome{};
  result_code code{};
};

class query_path_simulation {
 public:
  explicit query_path_simulation(simulation_options options)
      : options_(options), random_(options.seed), shards_(options.shards) {
    std::vector<std::string> services;
    for (std::uint32_t i = 0; i < options_.shards; ++i) {
      services.push_back("service-" + std::to_string(i));
      directory_.RecordShardSet(services.back(), index_version{1}, 1);
      backend_server_record record;
      record.key = {{services.back(), 0}, "a"};
      record.slots = options_.slots;
      record.versions = {index_version{1}};
      directory_.UpdateBackendServer(record);
      shard_indexes_[services.back()] = i;
    }
    directory_.SetGroup("group", services);
    controller_ = std::make_unique<admission_controller>(options_.admission);
    controller_->SetFloor("group", directory_.SmallestShardSlots("group"));
    for (std::uint32_t i = 0; i < options_.origins; ++i) {
      query_coordinator_options coordinator_options;
      coordinator_options.first_block = std::uint64_t{i + 1} << 32;
      origins_.push_back(
          std::make_unique<origin>(&directory_, coordinator_options));
      admission_client::effects ignored;
      origins_.back()->client.SetOriginCount(options_.origins, now_, &ignored);
      origins_.back()->client.SetFloor("group", options_.slots);
    }
  }

  // Queries per second that the slots sustain at the mean service time.
  double capacity() const {
    return options_.slots * 1e6 /
           static_cast<double>(options_.mean_service.count());
  }
  // Queries per second that the slots sustained with the service times drawn:
  // the rate of the slowest shard, because each query needs all shards.
  double attainable_rate() const {
    double lowest = capacity();
    for (const shard_state& shard : shards_) {
      if (shard.jobs == 0) continue;
      lowest = std::min(
          lowest, options_.slots * 1e6 * shard.jobs /
                      static_cast<double>(shard.total_service_time.count()));
    }
    return lowest;
  }
  // Pauses the admission instance in [from, until); messages to it are lost
  // during that time.
  void FreezeAdmission(time_point from, time_point until) {
    frozen_from_ = from;
    frozen_until_ = until;
  }

  void Run(const std::vector<simulated_caller>& callers, duration length) {
    end_ = now_ + length;
    for (const simulated_caller& caller : callers) {
      // Peak of the first 60 s, sampled every 100 ms.
      double peak = 1;
      for (double at = 0; at < 60; at += 0.1) {
        peak = std::max(peak, caller.rate(at));
      }
      ScheduleArrival(caller, peak);
    }
    ScheduleAt(now_ + std::chrono::milliseconds(1), [this] { Tick(); });
    while (!events_.empty() && events_.top().due <= end_) {
      auto call = std::move(const_cast<event&>(events_.top()).call);
      now_ = events_.top().due;
      events_.pop();
      call();
    }
  }

  const std::vector<simulated_answer>& answers() const { return answers_; }
  admission_scope_status status() const {
    return controller_->Status("group").value_or(admission_scope_status{});
  }
  std::size_t in_flight() const {
    std::size_t sum = 0;
    for (const auto& origin : origins_) sum += origin->coordinator.in_flight();
    return sum;
  }

  // Returns the sorted latencies of the queries submitted in [from, until) with
  // the given outcome; an empty caller or a negative origin matches all.
  std::vector<double> LatenciesMs(
      time_point from, time_point until, const std::string& caller = {},
      query_outcome outcome = query_outcome::kComplete, int origin = -1) const {
    std::vector<double> result;
    for (const simulated_answer& answer : answers_) {
      if (answer.submitted >= from && answer.submitted < until &&
          answer.outcome == outcome &&
          (caller.empty() || caller == answer.caller) &&
          (origin < 0 || answer.origin == static_cast<std::uint32_t>(origin))) {
        result.push_back(
            static_cast<double>((answer.answered - answer.submitted).count()) /
            1000.0);
      }
    }
    std::ranges::sort(result);
    return result;
  }
  static double Quantile(const std::vector<double>& sorted, double quantile) {
    if (sorted.empty()) return 0;
    const auto index =
        static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
  }

 private:
  struct origin {
    origin(const shard_directory* directory, query_coordinator_options options)
        : coordinator(directory, options) {}
    query_coordinator coordinator;
    admission_client client;
  };
  struct event {
    time_point due;
    std::uint64_t sequence;
    std::function<void()> call;
    bool operator<(const event& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };
  struct job {
    std::uint32_t origin = 0;
    shard_request request;
    time_point arrived{};
  };
  struct shard_state {
    std::uint32_t busy_slots = 0;
    double jobs = 0;
    duration total_service_time{0};
    // Jobs by caller; callers with queued jobs are served round-robin.
    std::list<std::pair<std::string, std::deque<job>>> queues;
  };
  struct submitted_query {
    std::string caller;
    time_point submitted;
  };

  void ScheduleAt(time_point due, std::function<void()> call) {
    events_.push({due, ++last_event_sequence_, std::move(call)});
  }
  void ScheduleAfterLink(std::function<void()> call) {
    ScheduleAt(now_ + options_.link_delay, std::move(call));
  }

  // Schedules the next arrival by thinning: draws arrivals at the peak rate and
  // submits each with probability rate / peak.
  void ScheduleArrival(const simulated_caller& caller, double peak) {
    const double interval = std::exponential_distribution<>(peak)(random_);
    ScheduleAt(now_ + duration(static_cast<std::int64_t>(interval * 1e6)),
               [this, &caller, peak] {
                 const double seconds =
                     static_cast<double>(now_.time_since_epoch().count()) *
                     1e-6;
                 if (std::uniform_real_distribution<>()(random_) * peak <
                     caller.rate(seconds)) {
                   Submit(caller.name);
                 }
                 ScheduleArrival(caller, peak);
               });
  }

  void Submit(const std::string& caller) {
    const auto origin_index =
        static_cast<std::uint32_t>(random_() % origins_.size());
    query_request request;
    request.query = query_id{++last_query_id_};
    request.target = "group";
    request.caller = caller;
    request.deadline = now_ + options_.deadline;
    submitted_[request.query] = {caller, now_};
    query_coordinator::effects out;
    origins_[origin_index]->coordinator.Submit(request, now_, &out);
    Apply(origin_index, out);
  }

  void Apply(std::uint32_t origin_index,
             const query_coordinator::effects& out) {
    for (const coordinator_effect& effect : out) {
      std::visit([this, origin_index](
                     const auto& item) { Execute(origin_index, item); },
                 effect);
    }
  }
  void Apply(std::uint32_t origin_index, const admission_client::effects& out) {
    for (const admission_client_effect& effect : out) {
      std::visit([this, origin_index](
                     const auto& item) { Execute(origin_index, item); },
                 effect);
    }
  }

  void Execute(std::uint32_t origin_index, const request_admission& item) {
    admission_client::effects out;
    origins_[origin_index]->client.Request(
        {item.query, item.scope, item.caller, item.weight, item.max_wait,
         item.deadline, false},
        now_, &out);
    Apply(origin_index, out);
  }
  void Execute(std::uint32_t origin_index, const release_admission& item) {
    admission_client::effects out;
    origins_[origin_index]->client.Release(
        {item.query, item.scope, item.measured, item.queue_wait,
         item.service_time},
        now_, &out);
    Apply(origin_index, out);
  }
  void Execute(std::uint32_t origin_index, const send_admission_request& item) {
    ScheduleAfterLink([this, origin_index, message = item.message] {
      if (AdmissionFrozen()) return;
      admission_controller::effects out;
      controller_->OnRequest(std::to_string(origin_index), message, now_, &out);
      SendReplies(out);
    });
  }
  void Execute(std::uint32_t origin_index, const send_admission_release& item) {
    ScheduleAfterLink([this, origin_index, message = item.message] {
      if (AdmissionFrozen()) return;
      admission_controller::effects out;
      controller_->OnRelease(std::to_string(origin_index), message, now_, &out);
      SendReplies(out);
    });
  }
  void Execute(std::uint32_t origin_index, const admission_result& item) {
    query_coordinator::effects out;
    origins_[origin_index]->coordinator.OnAdmission(
        item.query, item.granted, item.code, item.retry_after, now_, &out);
    Apply(origin_index, out);
  }
  void Execute(std::uint32_t, const admission_mode_changed&) {}
  void Execute(std::uint32_t, const coordinator_decision&) {}
  void Execute(std::uint32_t, const cancel_shard_requests& item) {
    for (const shard_request_id id : item.requests) cancelled_.insert(id);
  }
  void Execute(std::uint32_t origin_index, const send_shard_request& item) {
    ScheduleAfterLink([this, origin_index, request = item.request] {
      shard_state& target = shards_[shard_indexes_.at(request.shard.service)];
      auto queue = std::ranges::find(target.queues, request.caller,
                                     [](auto& pair) { return pair.first; });
      if (queue == target.queues.end()) {
        target.queues.emplace_back(request.caller, std::deque<job>{});
        queue = std::prev(target.queues.end());
      }
      queue->second.push_back({origin_index, request, now_});
      StartQueuedJobs(&target);
    });
  }
  void Execute(std::uint32_t origin_index, const query_answer& item) {
    const submitted_query& query = submitted_.at(item.query);
    answers_.push_back({query.caller, origin_index, query.submitted, now_,
                        item.outcome, item.code});
    submitted_.erase(item.query);
  }

  void StartQueuedJobs(shard_state* target) {
    while (target->busy_slots < options_.slots && !target->queues.empty()) {
      auto& queue = target->queues.front().second;
      const job next = std::move(queue.front());
      queue.pop_front();
      if (queue.empty()) {
        target->queues.pop_front();
      } else {
        target->queues.splice(target->queues.end(), target->queues,
                              target->queues.begin());
      }
      if (cancelled_.erase(next.request.id) > 0 ||
          next.request.deadline <= now_) {
        continue;
      }
      ++target->busy_slots;
      const double mu =
          std::log(static_cast<double>(options_.mean_service.count())) -
          options_.sigma * options_.sigma / 2;
      const duration service(static_cast<std::int64_t>(
          std::lognormal_distribution<>(mu, options_.sigma)(random_)));
      ++target->jobs;
      target->total_service_time += service;
      shard_result result;
      result.id = next.request.id;
      result.version = next.request.version;
      result.attempts = 1;
      result.queue_wait = now_ - next.arrived;
      result.service_time = service;
      ScheduleAt(now_ + service, [this, target, origin_index = next.origin,
                                  result] {
        --target->busy_slots;
        StartQueuedJobs(target);
        ScheduleAfterLink([this, origin_index, result] {
          query_coordinator::effects out;
          origins_[origin_index]->coordinator.OnShardResult(result, now_, &out);
          Apply(origin_index, out);
        });
      });
    }
  }

  bool AdmissionFrozen() const {
    return now_ >= frozen_from_ && now_ < frozen_until_;
  }

  void SendReplies(const admission_controller::effects& replies) {
    for (const admission_reply& reply : replies) {
      ScheduleAfterLink([this, reply] {
        const auto origin_index =
            static_cast<std::uint32_t>(std::stoul(reply.origin));
        admission_client::effects out;
        origins_[origin_index]->client.OnDecision(reply.decision, now_, &out);
        Apply(origin_index, out);
      });
    }
  }

  void Tick() {
    admission_controller::effects replies;
    if (!AdmissionFrozen()) controller_->Tick(now_, &replies);
    SendReplies(replies);
    for (std::uint32_t origin_index = 0; origin_index < origins_.size();
         ++origin_index) {
      admission_client::effects client_effects;
      origins_[origin_index]->client.Tick(now_, &client_effects);
      Apply(origin_index, client_effects);
      query_coordinator::effects out;
      origins_[origin_index]->coordinator.Tick(now_, &out);
      Apply(origin_index, out);
    }
    ScheduleAt(now_ + std::chrono::milliseconds(1), [this] { Tick(); });
  }

  simulation_options options_;
  std::mt19937_64 random_;
  time_point now_{};
  time_point end_{};
  time_point frozen_from_{};
  time_point frozen_until_{};
  std::uint64_t last_event_sequence_ = 0;
  std::uint64_t last_query_id_ = 0;
  std::priority_queue<event> events_;
  shard_directory directory_;
  std::vector<shard_state> shards_;
  std::unordered_map<std::string, std::uint32_t> shard_indexes_;
  std::unique_ptr<admission_controller> controller_;
  std::vector<std::unique_ptr<origin>> origins_;
  std::unordered_map<query_id, submitted_query> submitted_;
  std::unordered_set<shard_request_id> cancelled_;
  std::vector<simulated_answer> answers_;
};

}  // namespace bilberrycourse

#endif  // BENCH_QUERY_PATH_SIMULATION_H_
