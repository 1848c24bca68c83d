#ifndef BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_IMPLEMENTATION_H_
#define BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_IMPLEMENTATION_H_

// Member functions of placement_model; include it in one test file only.

#include <algorithm>
#include <cmath>
#include <utility>

#include "bilberrycourse/placement/testing/placement_model.h"

namespace bilberrycourse {

inline constexpr std::size_t kModelShards = 90;
inline constexpr std::size_t kModelChoosers = 85;
inline constexpr std::size_t kModelSlots = 2;
inline constexpr std::size_t kModelQueue = 12;
inline constexpr duration kModelPausePeriod = std::chrono::milliseconds(2400);
inline constexpr duration kModelPause = std::chrono::milliseconds(100);
inline constexpr duration kModelLocalLatency = std::chrono::microseconds(100);
inline constexpr time_point kModelWindow{std::chrono::seconds(8)};
inline constexpr time_point kModelWindowEnd{std::chrono::seconds(20)};
inline constexpr time_point kModelFault{std::chrono::seconds(9)};
inline constexpr time_point kModelFaultEnd{std::chrono::seconds(17)};
inline constexpr duration kModelDownTime = std::chrono::seconds(2);

inline placement_model::placement_model(const model_options& options)
    : options_(options), random_(options.seed) {
  for (std::size_t i = 0; i < kModelShards; ++i) {
    shards_.push_back("shard-" + std::to_string(i));
  }
  AddSearchers();
  AddChoosers();
}

inline void placement_model::AddSearchers() {
  std::uniform_real_distribution<double> share(0, 1);
  for (std::size_t shard = 0; shard < kModelShards; ++shard) {
    std::vector<double> speeds = {0.8, 1.0, 1.3};
    std::shuffle(speeds.begin(), speeds.end(), random_);
    const std::size_t slow = random_() % 3;
    const bool slows = share(random_) < 3 * options_.slow_share;
    for (std::size_t i = 0; i < 3; ++i) {
      searcher& added = searchers_.emplace_back();
      added.id = shards_[shard] + "-" + std::to_string(i);
      added.zone = static_cast<int>((shard + i) % 4);
      added.speed = speeds[i];
      added.pause_phase = Scaled(kModelPausePeriod, share(random_));
      added.slows = slows && i == slow;
      if (share(random_) < options_.crash_share) {
        added.down_from =
            kModelFault + Scaled(kModelFaultEnd - kModelFault, share(random_));
        added.down_until = added.down_from + kModelDownTime;
        const std::size_t index = searchers_.size() - 1;
        At(added.down_from, [this, index] { Crash(index); });
      }
      searcher_index_[added.id] = searchers_.size() - 1;
    }
  }
}

inline void placement_model::AddChoosers() {
  std::vector<searcher_record> records;
  for (std::size_t i = 0; i < searchers_.size(); ++i) {
    searcher_record& record = records.emplace_back();
    record.report = {searchers_[i].id,
                     shards_[i / 3],
                     searchers_[i].id + ":80",
                     "zone-" + std::to_string(searchers_[i].zone),
                     kModelSlots,
                     searcher_state::kServing,
                     1,
                     1};
  }
  relay_plan::replica_zones zones(kModelShards);
  for (std::size_t i = 0; i < records.size(); ++i) {
    zones[i / 3].push_back(records[i].report.zone);
  }
  for (auto& held : zones) std::sort(held.begin(), held.end());
  std::vector<entry_instance> instances;
  for (std::size_t i = 0; i < kModelChoosers; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    instances.push_back({name, name, "zone-" + std::to_string(i % 4)});
    chooser_index_[name] = i;
  }
  std::vector<std::string> stopped;
  std::vector<connection_id> unused;
  for (std::size_t i = 0; i < kModelChoosers; ++i) {
    chooser& added = choosers_.emplace_back();
    added.zone = static_cast<int>(i % 4);
    searcher_pool_options pool_options = options_.pool;
    pool_options.random_seed = random_();
    added.pool = std::make_unique<searcher_pool>(
        pool_options, instances[i].name, instances[i].zone);
    added.plan = std::make_unique<relay_plan>(
        options_.relays, instances[i].name, instances[i].zone);
    added.plan->SetInstances(instances);
    added.plan->SetReplicaZones(shards_, zones);
    added.pool->Update(records, true, now_, &stopped, &unused);
    added.pool->SetInstances(kModelChoosers);
    for (const std::string& shard : shards_) {
      added.pool->SetConnectionLimit(shard, 64);
      added.pool->SetSharingInstances(shard,
                                      added.plan->InstancesPerShard(shards_));
    }
  }
}

inline void placement_model::At(time_point due, std::function<void()> run) {
  events_.push({due, next_sequence_++, std::move(run)});
}

inline duration placement_model::Latency(int from, int to) const {
  return from == to ? kModelLocalLatency : options_.zone_latency;
}

inline bool placement_model::Measured(time_point at) const {
  return at >= kModelWindow && at < kModelWindowEnd;
}

inline void placement_model::Arrive() {
  const double rates[2] = {15 * options_.short_demand, 25};
  const double rate = rates[0] + rates[1];
  std::exponential_distribution<double> gap(rate);
  request& added = requests_.emplace_back();
  added.is_long = std::bernoulli_distribution(rates[1] / rate)(random_);
  std::discrete_distribution<int> zone(options_.zone_demand.begin(),
                                       options_.zone_demand.end());
  const auto origin_zone = static_cast<std::size_t>(zone(random_));
  added.origin =
      origin_zone + 4 * (random_() % ((kModelChoosers - origin_zone + 3) / 4));
  added.began = now_;
  added.measured = Measured(now_);
  Begin(requests_.size() - 1);
  const auto next = now_ + duration(std::llround(gap(random_) * 1e6));
  if (next < kModelWindowEnd) At(next, [this] { Arrive(); });
}

inline void placement_model::Begin(std::size_t index) {
  const std::size_t origin = requests_[index].origin;
  std::vector<std::size_t> owner(kModelShards, origin);
  for (const relay_group& group : choosers_[origin].plan->UsableGroups(
           shards_, [](const auto&) { return true; })) {
    for (const std::size_t shard : group.parts) {
      owner[shard] = chooser_index_.at(group.relay);
    }
  }
  for (std::size_t shard = 0; shard < kModelShards; ++shard) {
    parts_.push_back({index, owner[shard], shard, {}, false, 0});
    const std::size_t part_index = parts_.size() - 1;
    const duration transit =
        owner[shard] == origin
            ? duration{0}
            : Latency(choosers_[origin].zone, choosers_[owner[shard]].zone);
    At(now_ + transit, [this, part_index] { BeginPart(part_index); });
  }
}

inline void placement_model::BeginPart(std::size_t index) {
  const part& begun = parts_[index];
  chooser& relay = choosers_[begun.chooser];
  const bool is_long = requests_[begun.request].is_long;
  auto [budget, created] = relay.budgets.try_emplace(
      begun.shard, retry_budget_options{.ratio = 0.2, .allowance = 54});
  if (created) budget->second.SetInstances(6);
  budget->second.OnRequest();
  Start(index, false);
  const duration objective = std::chrono::milliseconds(is_long ? 120 : 40);
  const duration delay =
      std::clamp(relay.times[is_long].Quantile(0.9, now_).value_or(
                     Scaled(objective, 0.25)),
                 Scaled(objective, 0.06), Scaled(objective, 0.35));
  At(now_ + delay, [this, index] { Hedge(index); });
}

inline void placement_model::Hedge(std::size_t part_index) {
  const part& late = parts_[part_index];
  if (late.answered || late.tried.size() >= 3) return;
  const searcher_entry* other = Choose(late);
  if (other == nullptr || other->load() > 0) return;
  if (!choosers_[late.chooser].budgets.at(late.shard).TryTake()) return;
  Start(part_index, true);
}

inline time_point placement_model::Estimate(const searcher& target,
                                            time_point arrival,
                                            duration work) const {
  std::vector<time_point> free(kModelSlots, arrival);
  std::size_t slot = 0;
  for (const auto& [index, end] : target.running) {
    free[slot] = std::max(free[slot], end);
    ++slot;
  }
  for (const std::size_t index : target.queue) {
    auto first = std::min_element(free.begin(), free.end());
    *first = WorkEnd(target, *first, attempts_[index].work);
  }
  return WorkEnd(target, *std::min_element(free.begin(), free.end()), work);
}

inline searcher_entry* placement_model::Choose(const part& wanted) {
  chooser& relay = choosers_[wanted.chooser];
  const std::string& shard = shards_[wanted.shard];
  if (!options_.exact) return relay.pool->Choose(shard, wanted.tried, now_);
  const duration work = std::chrono::microseconds(
      requests_[wanted.request].is_long ? 7500 : 2500);
  searcher_entry* best = nullptr;
  time_point best_end{};
  for (searcher_entry* entry : relay.pool->OfService(shard)) {
    const searcher& target = searchers_[searcher_index_.at(entry->report.id)];
    const bool down = now_ >= target.down_from && now_ < target.down_until;
    if (down || std::count(wanted.tried.begin(), wanted.tried.end(), target.id))
      continue;
    const duration transit = Latency(relay.zone, target.zone);
    time_point end = Estimate(target, now_ + transit, work) + transit;
    if (target.zone != relay.zone) {
      end += Scaled(work, options_.pool.other_zone_cost);
    }
    if (best != nullptr && end >= best_end) continue;
    best = entry;
    best_end = end;
  }
  return best;
}

inline bool placement_model::Start(std::size_t part_index, bool extra) {
  part& sent = parts_[part_index];
  searcher_entry* entry = Choose(sent);
  if (entry == nullptr) return false;
  chooser& relay = choosers_[sent.chooser];
  const bool is_long = requests_[sent.request].is_long;
  attempt& added = attempts_.emplace_back();
  added.part = part_index;
  added.chooser = sent.chooser;
  added.searcher = searcher_index_.at(entry->report.id);
  added.expected = relay.times[is_long].recent().value_or(
      std::chrono::milliseconds(is_long ? 18 : 6));
  added.work = DrawWork(is_long);
  sent.tried.push_back(entry->report.id);
  ++sent.running;
  entry->waiting.push_back(attempt_id{attempts_.size() - 1});
  searcher& target = searchers_[added.searcher];
  if (requests_[sent.request].measured) {
    ++measured_;
    ++target.measured;
    if (extra) ++extra_;
    if (target.zone != relay.zone) ++other_zone_;
    if (target.slows && now_ >= kModelFault && now_ < kModelFaultEnd) ++slowed_;
  }
  Dispatch(sent.chooser, entry->report.id);
  return true;
}

inline void placement_model::Dispatch(std::size_t chooser_index,
                                      const std::string& id) {
  searcher_entry* entry = choosers_[chooser_index].pool->Find(id);
  const std::size_t connections =
      choosers_[chooser_index].pool->ConnectionShare(*entry);
  while (!entry->waiting.empty()) {
    const bool throttled = now_ < entry->throttled_until;
    if (entry->in_flight.size() >= (throttled ? 1 : connections)) return;
    const auto index = static_cast<std::size_t>(entry->waiting.front());
    entry->waiting.pop_front();
    attempt& sent = attempts_[index];
    sent.sent_at = now_;
    choosers_[chooser_index].pool->OnSent(entry, sent.expected, now_);
    At(now_ + Latency(choosers_[chooser_index].zone,
                      searchers_[sent.searcher].zone),
       [this, index] { Reach(index); });
  }
}

inline void placement_model::Reach(std::size_t index) {
  attempt& reached = attempts_[index];
  searcher& target = searchers_[reached.searcher];
  const duration back = Latency(choosers_[reached.chooser].zone, target.zone);
  if (now_ >= target.down_from && now_ < target.down_until) {
    At(now_ + back, [this, index] { End(index, true, false); });
  } else if (target.queue.size() >= kModelQueue) {
    At(now_ + back, [this, index] { End(index, true, true); });
  } else {
    reached.arrived_at = now_;
    target.queue.push_back(index);
    StartNext(reached.searcher);
  }
}

inline void placement_model::StartNext(std::size_t searcher_index) {
  searcher& target = searchers_[searcher_index];
  while (target.running.size() < kModelSlots && !target.queue.empty()) {
    const std::size_t index = target.queue.front();
    target.queue.erase(target.queue.begin());
    const attempt& started = attempts_[index];
    if (requests_[parts_[started.part].request].measured) {
      // A slot that is free during a pause starts the work after it.
      const time_point start = WorkEnd(target, now_, duration{1}) - duration{1};
      const duration wait = start - started.arrived_at;
      waits_ms_.push_back(static_cast<double>(wait.count()) / 1000);
    }
    const time_point end = WorkEnd(target, now_, started.work);
    target.running[index] = end;
    At(end, [this, index] { EndWork(index); });
  }
}

inline void placement_model::EndWork(std::size_t index) {
  const attempt& done = attempts_[index];
  searcher& target = searchers_[done.searcher];
  if (target.running.erase(index) == 0) return;  // It crashed.
  At(now_ + Latency(choosers_[done.chooser].zone, target.zone),
     [this, index] { End(index, false, false); });
  StartNext(done.searcher);
}

inline void placement_model::Crash(std::size_t searcher_index) {
  searcher& target = searchers_[searcher_index];
  std::vector<std::size_t> lost = std::exchange(target.queue, {});
  for (const auto& [index, end] : target.running) lost.push_back(index);
  target.running.clear();
  for (const std::size_t index : lost) {
    At(now_ + Latency(choosers_[attempts_[index].chooser].zone, target.zone),
       [this, index] { End(index, true, false); });
  }
}

inline void placement_model::End(std::size_t index, bool failed, bool shed) {
  const attempt& ended = attempts_[index];
  const std::string& id = searchers_[ended.searcher].id;
  searcher_pool& pool = *choosers_[ended.chooser].pool;
  searcher_entry* entry = pool.Find(id);
  pool.OnAnswered(entry, ended.sent_at, ended.expected, failed, now_);
  const searcher& target = searchers_[ended.searcher];
  const bool down = now_ >= target.down_from && now_ < target.down_until;
  if (failed && down) pool.OnUnreachable(entry, now_);
  if (shed) entry->throttled_until = now_ + std::chrono::milliseconds(300);
  part& owner = parts_[ended.part];
  --owner.running;
  request& asked = requests_[owner.request];
  chooser& relay = choosers_[ended.chooser];
  if (!failed) relay.times[asked.is_long].Record(now_ - ended.sent_at, now_);
  if (!failed && !owner.answered) {
    owner.answered = true;
    const duration back =
        owner.chooser == asked.origin
            ? duration{0}
            : Latency(relay.zone, choosers_[asked.origin].zone);
    // The last one recorded is not always the latest, but relays of one request
    // differ by less than a millisecond.
    if (++asked.answered == 86) asked.took = now_ + back - asked.began;
  } else if (failed && !owner.answered && owner.running == 0 &&
             owner.tried.size() < 3 &&
             relay.budgets.at(owner.shard).TryTake()) {
    Start(ended.part, true);
  }
  Dispatch(ended.chooser, id);
}

inline time_point placement_model::WorkEnd(const searcher& at, time_point start,
                                           duration work) const {
  double left = static_cast<double>(work.count());
  time_point t = start;
  while (true) {
    const duration cycle =
        (t.time_since_epoch() + at.pause_phase) % kModelPausePeriod;
    if (cycle < kModelPause) {
      t += kModelPause - cycle;
      continue;
    }
    const bool slowed = at.slows && t >= kModelFault && t < kModelFaultEnd;
    const double rate = at.speed / (slowed ? options_.slow_factor : 1);
    time_point next = t + (kModelPausePeriod - cycle);
    for (const time_point edge : {kModelFault, kModelFaultEnd}) {
      if (at.slows && t < edge) next = std::min(next, edge);
    }
    const double possible = static_cast<double>((next - t).count()) * rate;
    if (possible >= left) return t + duration(std::llround(left / rate));
    left -= possible;
    t = next;
  }
}

inline duration placement_model::DrawWork(bool is_long) {
  std::lognormal_distribution<double> spread(0, 0.35);
  double work = (is_long ? 7500 : 2500) * spread(random_);
  if (std::bernoulli_distribution(0.01)(random_)) work *= 5;
  return duration(std::llround(work));
}

inline placement_figures placement_model::Run() {
  At(now_, [this] { Arrive(); });
  while (!events_.empty()) {
    const event next = events_.top();
    events_.pop();
    now_ = next.due;
    next.run();
  }
  return Figures();
}

inline double ModelQuantile(std::vector<double> values, double probability) {
  if (values.empty()) return 0;
  const auto nth = values.begin() +
                   static_cast<std::ptrdiff_t>(
                       probability * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

inline placement_figures placement_model::Figures() {
  placement_figures figures;
  for (std::size_t shard = 0; shard < kModelShards; ++shard) {
    double total = 0;
    double greatest = 0;
    double squares = 0;
    for (std::size_t i = 3 * shard; i < 3 * shard + 3; ++i) {
      const auto count = static_cast<double>(searchers_[i].measured);
      total += count;
      greatest = std::max(greatest, count);
      squares += count * count;
    }
    figures.greatest_share += greatest / total / kModelShards;
    figures.share_variance +=
        (squares / total / total / 3 - 1.0 / 9) / kModelShards;
  }
  std::vector<double> took_ms[2];
  double late = 0;
  double count = 0;
  for (const request& asked : requests_) {
    if (!asked.measured) continue;
    const double ms = asked.took == duration{0}
                          ? 1e3
                          : static_cast<double>(asked.took.count()) / 1000;
    took_ms[asked.is_long].push_back(ms);
    ++count;
    if (ms > (asked.is_long ? 120 : 40)) ++late;
  }
  figures.queue_p99_ms = ModelQuantile(waits_ms_, 0.99);
  figures.short_p50_ms = ModelQuantile(took_ms[0], 0.5);
  figures.short_p99_ms = ModelQuantile(took_ms[0], 0.99);
  figures.long_p50_ms = ModelQuantile(took_ms[1], 0.5);
  figures.long_p99_ms = ModelQuantile(took_ms[1], 0.99);
  figures.late_share = late / count;
  const auto all = static_cast<double>(measured_);
  figures.extra_share = static_cast<double>(extra_) / all;
  figures.other_zone_share = static_cast<double>(other_zone_) / all;
  figures.slowed_share = static_cast<double>(slowed_) / all;
  return figures;
}

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_TESTING_PLACEMENT_MODEL_IMPLEMENTATION_H_
