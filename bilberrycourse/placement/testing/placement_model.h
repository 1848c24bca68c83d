#ifndef BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_H_
#define BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_H_

// Discrete-event model of deployment S without a network: entry instances in
// four zones divide requests over 90 shards among relays (relay_plan), and each
// relay chooses searchers by its own searcher_pool.
//
//   placement_model model({.seed = 1, .slow_share = 0.15});
//   const placement_figures figures = model.Run();
//
// Simplifications: connections are open, a message takes a constant time, and
// hedges follow route_engine::OnHedgeDue(). Figures cover the requests that
// begin within the measured window.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/retry_budget.h"
#include "bilberrycourse/searcher_pool.h"
#include "bilberrycourse/service_time_estimator.h"

namespace bilberrycourse {

struct model_options {
  std::uint32_t seed = 1;
  // Factor of the demand for requests of the short kind.
  double short_demand = 1;
  // Share of the searchers that is slowed by `slow_factor`, at most one of each
  // shard, and share that crashes in the same 8 s.
  double slow_share = 0;
  double slow_factor = 6;
  double crash_share = 0;
  // Demand of the zones relative to each other.
  std::vector<double> zone_demand = {1, 1, 1, 1};
  duration zone_latency = std::chrono::microseconds(900);
  // Chooses by the true state of the searchers.
  bool exact = false;
  searcher_pool_options pool{};
  relay_plan_options relays{};
};

struct placement_figures {
  // Greatest share and variance of the share of attempts over the replicas of a
  // shard, averaged over the shards.
  double greatest_share = 0;
  double share_variance = 0;
  double queue_p99_ms = 0;
  // Time until 95% of the shards have answered, by kind of request.
  double long_p50_ms = 0;
  double long_p99_ms = 0;
  double short_p50_ms = 0;
  double short_p99_ms = 0;
  // Long or short requests without 95% of the shards by their objective.
  double late_share = 0;
  double extra_share = 0;
  double other_zone_share = 0;
  // Share of attempts at a searcher while it was slowed.
  double slowed_share = 0;
};

class placement_model {
 public:
  explicit placement_model(const model_options& options);
  placement_figures Run();

 private:
  struct searcher {
    std::string id;
    int zone = 0;
    double speed = 1;
    duration pause_phase{0};
    bool slows = false;
    time_point down_from = time_point::max();
    time_point down_until = time_point::max();
    // Attempts in service with their ends.
    std::map<std::size_t, time_point> running;
    std::vector<std::size_t> queue;
    std::uint64_t measured = 0;
  };
  struct attempt {
    std::size_t part = 0;
    std::size_t chooser = 0;
    std::size_t searcher = 0;
    time_point sent_at{};
    time_point arrived_at{};
    duration expected{0};
    duration work{0};
    bool ended = false;
  };
  struct part {
    std::size_t request = 0;
    std::size_t chooser = 0;
    std::size_t shard = 0;
    std::vector<std::string> tried;
    bool answered = false;
    std::uint32_t running = 0;
  };
  struct request {
    std::size_t origin = 0;
    bool is_long = true;
    bool measured = false;
    time_point began{};
    std::size_t answered = 0;
    duration took{0};
  };
  // An entry instance, as origin and as relay.
  struct chooser {
    int zone = 0;
    std::unique_ptr<searcher_pool> pool;
    std::unique_ptr<relay_plan> plan;
    service_time_estimator times[2];
    std::map<std::size_t, retry_budget> budgets;
  };
  struct event {
    time_point due{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };

  void AddSearchers();
  void AddChoosers();
  void At(time_point due, std::function<void()> run);
  duration Latency(int from, int to) const;
  void Arrive();
  void Begin(std::size_t index);
  void BeginPart(std::size_t index);
  bool Start(std::size_t part_index, bool extra);
  void Hedge(std::size_t part_index);
  searcher_entry* Choose(const part& wanted);
  time_point Estimate(const searcher& target, time_point arrival,
                      duration work) const;
  void Dispatch(std::size_t chooser_index, const std::string& id);
  void Reach(std::size_t index);
  void StartNext(std::size_t searcher_index);
  void EndWork(std::size_t index);
  void Crash(std::size_t searcher_index);
  void End(std::size_t index, bool failed, bool shed);
  time_point WorkEnd(const searcher& at, time_point start, duration work) const;
  duration DrawWork(bool is_long);
  bool Measured(time_point at) const;
  placement_figures Figures();

  model_options options_;
  std::mt19937 random_;
  time_point now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::string> shards_;
  std::vector<searcher> searchers_;
  std::map<std::string, std::size_t> searcher_index_;
  std::vector<chooser> choosers_;
  std::map<std::string, std::size_t> chooser_index_;
  std::vector<attempt> attempts_;
  std::vector<part> parts_;
  std::vector<request> requests_;
  std::vector<double> waits_ms_;
  std::uint64_t measured_ = 0;
  std::uint64_t extra_ = 0;
  std::uint64_t other_zone_ = 0;
  std::uint64_t slowed_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_H_
