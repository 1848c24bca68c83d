#ifndef BENCH_QUERY_PATH_SIMULATION_H_
#define BENCH_QUERY_PATH_SIMULATION_H_

// Origins, one admission instance and a fake of the shards in virtual time.
// Each shard has `slots` servers behind a queue that is fair among callers and
// drops expired requests; there is no hedging and no loss. Arrivals are
// Poisson, service times lognormal, both from a fixed seed.
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
  // Of the lognormal service time.
  duration mean_service = std::chrono::milliseconds(20);
  double sigma = 0.5;
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
      shard_numbers_[services.back()] = i;
    }
    directory_.SetGroup("group", services);
    controller_ = std::make_unique<admission_controller>(options_.admission);
    controller_->SetFloor("group", directory_.SmallestShardSlots("group"));
    for (std::uint32_t i = 0; i < options_.origins; ++i) {
      query_coordinator_options coordinator_options;
      coordinator_options.first_block = std::uint64_t{i + 1} << 32;
      origins_.push_back(
          std::make_unique<origin>(&directory_, coordinator_options));
      admission_client::effects none;
      origins_.back()->client.SetOriginCount(options_.origins, now_, &none);
      origins_.back()->client.SetFloor("group", options_.slots);
    }
  }

  // Queries per second that the slots allow.
  double capacity() const {
    return options_.slots * 1e6 /
           static_cast<double>(options_.mean_service.count());
  }
  // What the slots allowed with the service times that were drawn: the rate of
  // the slowest shard, which each query needs.
  double allowed() const {
    double least = capacity();
    for (const shard& item : shards_) {
      if (item.jobs == 0) continue;
      least = std::min(least, options_.slots * 1e6 * item.jobs /
                                  static_cast<double>(item.worked.count()));
    }
    return least;
  }
  // Messages to and from the admission instance are lost between the two.
  void FreezeAdmission(time_point from, time_point until) {
    frozen_from_ = from;
    frozen_until_ = until;
  }

  void Run(const std::vector<simulated_caller>& callers, duration length) {
    end_ = now_ + length;
    for (const simulated_caller& caller : callers) {
      double peak = 1;
      for (double at = 0; at < 60; at += 0.1) {
        peak = std::max(peak, caller.rate(at));
      }
      ScheduleArrival(caller, peak);
    }
    At(now_ + std::chrono::milliseconds(1), [this] { Tick(); });
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
    for (const auto& item : origins_) sum += item->coordinator.in_flight();
    return sum;
  }

  // Answers of complete queries that were submitted in [from, until).
  std::vector<double> LatenciesMs(
      time_point from, time_point until, const std::string& caller = {},
      query_outcome outcome = query_outcome::kComplete, int origin = -1) const {
    std::vector<double> result;
    for (const simulated_answer& item : answers_) {
      if (item.submitted >= from && item.submitted < until &&
          item.outcome == outcome &&
          (caller.empty() || caller == item.caller) &&
          (origin < 0 || item.origin == static_cast<std::uint32_t>(origin))) {
        result.push_back(
            static_cast<double>((item.answered - item.submitted).count()) /
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
    std::uint64_t number;
    std::function<void()> call;
    bool operator<(const event& other) const {
      return std::pair(due, number) > std::pair(other.due, other.number);
    }
  };
  struct job {
    std::uint32_t origin = 0;
    shard_request request;
    time_point arrived{};
  };
  struct shard {
    std::uint32_t busy = 0;
    double jobs = 0;
    duration worked{0};
    // Callers with queued jobs take turns.
    std::list<std::pair<std::string, std::deque<job>>> queues;
  };
  struct submitted_query {
    std::string caller;
    time_point at;
  };

  void At(time_point due, std::function<void()> call) {
    events_.push({due, ++event_number_, std::move(call)});
  }
  void AfterLink(std::function<void()> call) {
    At(now_ + options_.link_delay, std::move(call));
  }

  // Thinning: arrivals at the peak rate, kept with probability rate / peak.
  void ScheduleArrival(const simulated_caller& caller, double peak) {
    const double wait = std::exponential_distribution<>(peak)(random_);
    At(now_ + duration(static_cast<std::int64_t>(wait * 1e6)),
       [this, &caller, peak] {
         const double seconds =
             static_cast<double>(now_.time_since_epoch().count()) * 1e-6;
         if (std::uniform_real_distribution<>()(random_) * peak <
             caller.rate(seconds)) {
           Submit(caller.name);
         }
         ScheduleArrival(caller, peak);
       });
  }

  void Submit(const std::string& caller) {
    const auto number = static_cast<std::uint32_t>(random_() % origins_.size());
    query_request request;
    request.query = query_id{++query_number_};
    request.target = "group";
    request.caller = caller;
    request.deadline = now_ + options_.deadline;
    submitted_[request.query] = {caller, now_};
    query_coordinator::effects out;
    origins_[number]->coordinator.Submit(request, now_, &out);
    Apply(number, out);
  }

  void Apply(std::uint32_t number, const query_coordinator::effects& out) {
    for (const coordinator_effect& effect : out) {
      std::visit([this, number](const auto& item) { Do(number, item); },
                 effect);
    }
  }
  void Apply(std::uint32_t number, const admission_client::effects& out) {
    for (const admission_client_effect& effect : out) {
      std::visit([this, number](const auto& item) { Do(number, item); },
                 effect);
    }
  }

  void Do(std::uint32_t number, const request_admission& item) {
    admission_client::effects out;
    origins_[number]->client.Request(
        {item.query, item.scope, item.caller, item.weight, item.max_wait,
         item.deadline, false},
        now_, &out);
    Apply(number, out);
  }
  void Do(std::uint32_t number, const release_admission& item) {
    admission_client::effects out;
    origins_[number]->client.Release({item.query, item.scope, item.measured,
                                      item.queue_wait, item.service_time},
                                     now_, &out);
    Apply(number, out);
  }
  void Do(std::uint32_t number, const send_admission_request& item) {
    AfterLink([this, number, message = item.message] {
      if (Frozen()) return;
      admission_controller::effects out;
      controller_->OnRequest(std::to_string(number), message, now_, &out);
      Reply(out);
    });
  }
  void Do(std::uint32_t number, const send_admission_release& item) {
    AfterLink([this, number, message = item.message] {
      if (Frozen()) return;
      admission_controller::effects out;
      controller_->OnRelease(std::to_string(number), message, now_, &out);
      Reply(out);
    });
  }
  void Do(std::uint32_t number, const admission_result& item) {
    query_coordinator::effects out;
    origins_[number]->coordinator.OnAdmission(
        item.query, item.granted, item.code, item.retry_after, now_, &out);
    Apply(number, out);
  }
  void Do(std::uint32_t, const admission_mode_changed&) {}
  void Do(std::uint32_t, const coordinator_decision&) {}
  void Do(std::uint32_t, const cancel_shard_requests& item) {
    for (const shard_request_id id : item.requests) cancelled_.insert(id);
  }
  void Do(std::uint32_t number, const send_shard_request& item) {
    AfterLink([this, number, request = item.request] {
      shard& target = shards_[shard_numbers_.at(request.shard.service)];
      auto queue = std::ranges::find(target.queues, request.caller,
                                     [](auto& pair) { return pair.first; });
      if (queue == target.queues.end()) {
        target.queues.emplace_back(request.caller, std::deque<job>{});
        queue = std::prev(target.queues.end());
      }
      queue->second.push_back({number, request, now_});
      Serve(&target);
    });
  }
  void Do(std::uint32_t number, const query_answer& item) {
    const submitted_query& query = submitted_.at(item.query);
    answers_.push_back(
        {query.caller, number, query.at, now_, item.outcome, item.code});
    submitted_.erase(item.query);
  }

  void Serve(shard* target) {
    while (target->busy < options_.slots && !target->queues.empty()) {
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
      ++target->busy;
      const double mu =
          std::log(static_cast<double>(options_.mean_service.count())) -
          options_.sigma * options_.sigma / 2;
      const duration service(static_cast<std::int64_t>(
          std::lognormal_distribution<>(mu, options_.sigma)(random_)));
      ++target->jobs;
      target->worked += service;
      shard_result result;
      result.id = next.request.id;
      result.version = next.request.version;
      result.attempts = 1;
      result.queue_wait = now_ - next.arrived;
      result.service_time = service;
      At(now_ + service, [this, target, number = next.origin, result] {
        --target->busy;
        Serve(target);
        AfterLink([this, number, result] {
          query_coordinator::effects out;
          origins_[number]->coordinator.OnShardResult(result, now_, &out);
          Apply(number, out);
        });
      });
    }
  }

  bool Frozen() const { return now_ >= frozen_from_ && now_ < frozen_until_; }

  void Reply(const admission_controller::effects& replies) {
    for (const admission_reply& reply : replies) {
      AfterLink([this, reply] {
        const auto number =
            static_cast<std::uint32_t>(std::stoul(reply.origin));
        admission_client::effects out;
        origins_[number]->client.OnDecision(reply.decision, now_, &out);
        Apply(number, out);
      });
    }
  }

  void Tick() {
    admission_controller::effects replies;
    if (!Frozen()) controller_->Tick(now_, &replies);
    Reply(replies);
    for (std::uint32_t number = 0; number < origins_.size(); ++number) {
      admission_client::effects client;
      origins_[number]->client.Tick(now_, &client);
      Apply(number, client);
      query_coordinator::effects out;
      origins_[number]->coordinator.Tick(now_, &out);
      Apply(number, out);
    }
    At(now_ + std::chrono::milliseconds(1), [this] { Tick(); });
  }

  simulation_options options_;
  std::mt19937_64 random_;
  time_point now_{};
  time_point end_{};
  time_point frozen_from_{};
  time_point frozen_until_{};
  std::uint64_t event_number_ = 0;
  std::uint64_t query_number_ = 0;
  std::priority_queue<event> events_;
  shard_directory directory_;
  std::vector<shard> shards_;
  std::unordered_map<std::string, std::uint32_t> shard_numbers_;
  std::unique_ptr<admission_controller> controller_;
  std::vector<std::unique_ptr<origin>> origins_;
  std::unordered_map<query_id, submitted_query> submitted_;
  std::unordered_set<shard_request_id> cancelled_;
  std::vector<simulated_answer> answers_;
};

}  // namespace bilberrycourse

#endif  // BENCH_QUERY_PATH_SIMULATION_H_
