#ifndef BILBERRYCOURSE_TESTING_RELAY_TIER_H_
#define BILBERRYCOURSE_TESTING_RELAY_TIER_H_

// Runs several route_engines with their searchers and the links between them on
// virtual time, under faults drawn from a seed, and checks each answer against
// what the searchers have sent.
//
//   relay_tier tier(/*seed=*/7);
//   tier.Run(std::chrono::seconds(20));
//   EXPECT_EQ(tier.violations(), std::vector<std::string>());
//
// Faults: searchers that go down and up, pause, shed or fail; instances that
// lose the connections to some or all searchers; links between instances that
// break. Each request is answered exactly once. A merged answer must hold the
// greatest records of exactly the parts that it names, one of each shard, and
// nothing may run at more searchers than its route allows.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/route_engine.h"
#include "bilberrycourse/top_records.h"

namespace bilberrycourse {

struct relay_tier_options {
  std::size_t instances = 3;
  std::size_t shards = 6;
  std::size_t replicas = 2;
  duration request_period = std::chrono::milliseconds(25);
  duration fault_period = std::chrono::milliseconds(250);
};

class relay_tier {
 public:
  explicit relay_tier(std::uint32_t seed, relay_tier_options options = {})
      : options_(options), random_(seed) {
    AddRoute("lots", options_.shards, true);
    AddRoute("lookup", 0, true);
    AddRoute("order", 0, false);
    table_ = std::make_shared<const route_table>(
        std::make_shared<const route_config>(config_));
    for (std::size_t i = 0; i < options_.instances; ++i) {
      instances_.push_back(std::make_unique<instance_state>(i));
      Call(i, [&](route_engine& engine, route_effects* out) {
        engine.SetInstances(static_cast<std::uint32_t>(options_.instances),
                            now_, out);
        engine.SetRoutes(table_, now_, out);
      });
    }
    for (const auto& [service, unused] : config_.services) {
      for (std::size_t i = 0; i < options_.replicas; ++i) AddSearcher(service);
    }
    UpdateLinks();
  }

  // Advances the time with requests and faults, then lets all requests end.
  void Run(duration time) {
    const time_point end = now_ + time;
    At(now_, [this, end] { BeginRequests(end); });
    At(now_, [this, end] { InjectFaults(end); });
    const time_point last = end + std::chrono::seconds(10);
    while (now_ < last) Step(last);
    if (!pending_.empty()) Violate(0, "requests without an answer");
  }

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t answered() const { return answered_; }
  std::uint64_t delegated() const {
    std::uint64_t parts = 0;
    for (const auto& instance : instances_) {
      parts += instance->engine.counters().delegated_parts;
    }
    return parts;
  }

 private:
  using connection_key = std::pair<std::size_t, connection_id>;
  // Two instances, the lower index first.
  using link_key = std::pair<std::size_t, std::size_t>;

  struct searcher_state {
    std::string service;
    bool up = true;
    time_point paused_until{};
    std::set<connection_key> connections;
  };

  // A request of a caller, or of another instance.
  struct call_state {
    std::uint64_t request = 0;
    std::shared_ptr<const route> relay_route;
    std::size_t origin = 0;
    std::uint64_t relay_id = 0;
  };

  struct relayed_group {
    route_request_id request{};
    std::size_t group = 0;
    std::size_t relay = 0;
  };

  struct instance_state {
    explicit instance_state(std::size_t index)
        : engine(Options(), Name(index), "a") {}
    route_engine engine;
    std::map<route_request_id, call_state> calls;
    std::map<std::uint64_t, relayed_group> relayed;
    // Searchers that it can't reach.
    std::set<std::string> cut;
    // Until then it keeps links to fallback relays.
    time_point fallbacks_until{};
  };

  // What a searcher has sent for a part.
  struct sent_part {
    std::uint64_t request = 0;
    std::string service;
    std::string body;
  };

  // Time for which links to fallback relays are kept.
  static constexpr duration kFallbackTime = std::chrono::milliseconds(800);

  static instance_name Name(std::size_t index) {
    return "e" + std::to_string(index);
  }

  static route_engine_options Options() {
    route_engine_options options;
    options.budget.allowance = 1000;
    options.budget.initial_fill = 1;
    options.pool.random_seed = 1;
    options.min_hedge_share = 0.25;
    return options;
  }

  void AddRoute(const std::string& name, std::size_t shards, bool idempotent) {
    route added;
    added.name = name;
    added.host = "h";
    added.path_prefix = "/" + name + "/";
    added.idempotent = idempotent;
    added.timeout = std::chrono::seconds(2);
    // The hedge timer may be due before or after a searcher is tried again.
    added.latency_objective = std::chrono::milliseconds(200 + Below(1200));
    added.max_attempts = 2 + Below(2);
    added.top_records = 8;
    added.min_coverage = 0.5;
    for (std::size_t i = 0; i < shards; ++i) {
      added.shards.push_back(name + "-" + std::to_string(i));
      config_.services[added.shards.back()] = {added.shards.back(), "/", 50};
    }
    if (shards == 0) {
      added.backends = {{name, 1}};
      config_.services[name] = {name, "/", 50};
    }
    config_.routes.push_back(added);
  }

  void AddSearcher(const std::string& service) {
    const std::string id = "s" + std::to_string(searchers_.size());
    searchers_[id].service = service;
    searcher_record record;
    record.report = {id,  service, id,
                     "a", 2,       bilberrycourse::searcher_state::kServing,
                     1,   1};
    record.revision = searchers_.size();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Call(i, [&](route_engine& engine, route_effects* out) {
        engine.UpdateSearchers({record}, false, now_, out);
      });
    }
  }

  // Random numbers. Not from a distribution of the library, whose results
  // differ between implementations.
  std::uint32_t Below(std::uint32_t limit) { return random_() % limit; }
  duration Between(duration low, duration high) {
    return low +
           duration(Below(static_cast<std::uint32_t>((high - low).count())));
  }
  duration Delay() {
    return Between(std::chrono::microseconds(200),
                   std::chrono::milliseconds(2));
  }

  void At(time_point due, std::function<void()> run) {
    events_.emplace(due, std::move(run));
  }
  void After(duration time, std::function<void()> run) {
    At(now_ + time, std::move(run));
  }

  void Step(time_point last) {
    time_point next = events_.empty() ? last : events_.begin()->first;
    std::size_t ticked = instances_.size();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const auto due = instances_[i]->engine.next_due();
      if (due.has_value() && *due < next) {
        next = *due;
        ticked = i;
      }
    }
    now_ = std::max(now_, std::min(next, last));
    if (ticked < instances_.size()) {
      return Call(ticked, [&](route_engine& engine, route_effects* out) {
        engine.Tick(now_, out);
      });
    }
    if (events_.empty() || now_ >= last) return;
    const std::function<void()> run = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    run();
  }

  template <typename Function>
  void Call(std::size_t index, Function function) {
    route_effects effects;
    function(instances_[index]->engine, &effects);
    instances_[index]->engine.Flush(now_, &effects);
    for (route_effect& effect : effects) {
      std::visit([&](auto& typed) { Execute(index, typed); }, effect);
    }
  }

  template <typename Effect>
  void Execute(std::size_t, Effect&) {}

  void Execute(std::size_t, relay_report_refused& effect) {
    Violate(0, "a report was refused: " + std::string(effect.problem));
  }

  void BeginRequests(time_point end) {
    if (now_ >= end) return;
    const std::size_t index =
        Below(static_cast<std::uint32_t>(instances_.size()));
    static constexpr const char* kRoutes[] = {"lots", "lots", "lookup",
                                              "order"};
    const route* matched =
        table_->Match("h", std::string("/") + kRoutes[Below(4)] + "/x");
    route_call call;
    call.id = route_request_id{next_id_++};
    call.table = table_;
    call.matched_route = matched;
    call.sent_at = now_;
    call.time_left = std::chrono::milliseconds(1500);
    const std::size_t relay =
        Below(static_cast<std::uint32_t>(instances_.size()));
    if (!matched->shards.empty() && relay != index && Linked(index, relay) &&
        Below(3) == 0) {
      call.relays.push_back({Name(relay), {0, 2}});
    }
    const std::uint64_t request = next_request_++;
    pending_[request] = matched;
    instances_[index]->calls[call.id] = {request, nullptr, index, 0};
    Call(index, [&](route_engine& engine, route_effects* out) {
      engine.Begin(std::move(call), now_, out);
    });
    After(options_.request_period, [this, end] { BeginRequests(end); });
  }

  void InjectFaults(time_point end) {
    if (now_ >= end) return;
    using std::chrono::milliseconds;
    const duration time = Between(milliseconds(100), milliseconds(1600));
    auto searcher = searchers_.begin();
    std::advance(searcher,
                 Below(static_cast<std::uint32_t>(searchers_.size())));
    const std::string id = searcher->first;
    const std::size_t index =
        Below(static_cast<std::uint32_t>(instances_.size()));
    switch (Below(8)) {
      case 0:
        SetUp(id, false);
        After(time, [this, id] { SetUp(id, true); });
        break;
      case 1:
      case 2:
        FlapShard(time / 2);
        FlapShard(time / 2);
        break;
      case 3:
        searchers_[id].paused_until = now_ + time / 4;
        break;
      case 4:
        BreakAll(searchers_[id].connections);
        break;
      case 5:
        for (const auto& [other, state] : searchers_) {
          if (state.service == searchers_[id].service) {
            Cut(index, other, time);
          }
        }
        break;
      case 6:
        if (Below(3) != 0) break;
        for (const auto& [other, state] : searchers_) Cut(index, other, time);
        break;
      default:
        BreakLink(index, (index + 1) % instances_.size(), time / 4);
    }
    After(Between(options_.fault_period / 4, options_.fault_period),
          [this, end] { InjectFaults(end); });
  }

  // All searchers of one shard go down and up, one after the other.
  void FlapShard(duration time) {
    const std::string service =
        "lots-" +
        std::to_string(Below(static_cast<std::uint32_t>(options_.shards)));
    duration start{0};
    for (const auto& [id, state] : searchers_) {
      if (state.service != service) continue;
      After(start, [this, id = id] { SetUp(id, false); });
      start += time;
      After(start, [this, id = id] { SetUp(id, true); });
    }
  }

  void SetUp(const std::string& id, bool up) {
    searchers_[id].up = up;
    if (!up) BreakAll(searchers_[id].connections);
  }

  void Cut(std::size_t index, const std::string& id, duration time) {
    instances_[index]->cut.insert(id);
    std::set<connection_key> broken;
    for (const connection_key& key : searchers_[id].connections) {
      if (key.first == index) broken.insert(key);
    }
    BreakAll(broken);
    After(time, [this, index, id] { instances_[index]->cut.erase(id); });
  }

  void BreakAll(std::set<connection_key> broken) {
    for (const connection_key& key : broken) {
      const auto found = open_.find(key);
      if (found == open_.end()) continue;
      searchers_[found->second].connections.erase(key);
      open_.erase(found);
      After(Delay(), [this, key] {
        Call(key.first, [&](route_engine& engine, route_effects* out) {
          engine.OnClosed(key.second, connection_end::kLost, now_, out);
        });
      });
    }
  }

  // Not the result of std::minmax(), which refers to its arguments.
  static link_key LinkOf(std::size_t one, std::size_t other) {
    return {std::min(one, other), std::max(one, other)};
  }
  bool Linked(std::size_t one, std::size_t other) const {
    return !broken_links_.contains(LinkOf(one, other));
  }

  void BreakLink(std::size_t one, std::size_t other, duration time) {
    if (one == other || !Linked(one, other)) return;
    broken_links_.insert(LinkOf(one, other));
    ++link_epoch_[LinkOf(one, other)];
    UpdateLinks();
    LoseRelay(one, other);
    LoseRelay(other, one);
    After(time, [this, one, other] {
      broken_links_.erase(LinkOf(one, other));
      UpdateLinks();
    });
  }

  void LoseRelay(std::size_t index, std::size_t peer) {
    instance_state& instance = *instances_[index];
    std::erase_if(instance.relayed, [&](const auto& entry) {
      return entry.second.relay == peer;
    });
    std::vector<route_request_id> orphaned;
    for (const auto& [id, call] : instance.calls) {
      if (call.relay_route != nullptr && call.origin == peer) {
        orphaned.push_back(id);
      }
    }
    for (const route_request_id id : orphaned) instance.calls.erase(id);
    Call(index, [&](route_engine& engine, route_effects* out) {
      engine.OnRelayLost(Name(peer), now_, out);
      for (const route_request_id id : orphaned) engine.Cancel(id, now_, out);
    });
  }

  void UpdateLinks() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      std::vector<instance_name> relays;
      const bool wanted = now_ < instances_[i]->fallbacks_until;
      for (std::size_t j = 0; j < instances_.size(); ++j) {
        if (wanted && i != j && Linked(i, j)) relays.push_back(Name(j));
      }
      Call(i, [&](route_engine& engine, route_effects*) {
        engine.SetFallbackRelays(relays);
      });
    }
  }

  // Delivers a message unless the link breaks on the way. Messages keep their
  // order.
  void SendOverLink(std::size_t from, std::size_t to,
                    std::function<void()> deliver) {
    if (!Linked(from, to)) return;
    const link_key link = LinkOf(from, to);
    time_point& last = link_busy_until_[{from, to}];
    last = std::max(last, now_ + Delay());
    At(last,
       [this, link, epoch = link_epoch_[link], deliver = std::move(deliver)] {
         if (link_epoch_[link] == epoch) deliver();
       });
  }

  void Execute(std::size_t index, fallback_wanted&) {
    instances_[index]->fallbacks_until = now_ + kFallbackTime;
    After(Between(std::chrono::milliseconds(1), std::chrono::milliseconds(80)),
          [this] { UpdateLinks(); });
    After(kFallbackTime, [this] { UpdateLinks(); });
  }

  void Execute(std::size_t index, open_searcher_connection& effect) {
    const connection_key key{index, effect.connection};
    const std::string id = effect.address;
    opening_.insert(key);
    After(Delay(), [this, key, id] {
      if (opening_.erase(key) == 0) return;
      const bool open =
          searchers_[id].up && !instances_[key.first]->cut.contains(id);
      if (open) {
        open_[key] = id;
        searchers_[id].connections.insert(key);
      }
      Call(key.first, [&](route_engine& engine, route_effects* out) {
        if (open) return engine.OnOpened(key.second, now_, out);
        engine.OnClosed(key.second, connection_end::kNotOpened, now_, out);
      });
    });
  }

  void Execute(std::size_t index, close_searcher_connection& effect) {
    const connection_key key{index, effect.connection};
    opening_.erase(key);
    const auto found = open_.find(key);
    if (found == open_.end()) return;
    searchers_[found->second].connections.erase(key);
    open_.erase(found);
  }

  void Execute(std::size_t index, send_to_searcher& effect) {
    const connection_key key{index, effect.connection};
    const auto call = instances_[index]->calls.find(effect.request);
    if (call == instances_[index]->calls.end()) {
      return Violate(0, "sent without a request");
    }
    const std::uint64_t request = call->second.request;
    After(Delay(), [this, key, request] { Arrive(key, request); });
  }

  // The searcher begins to work on a part.
  void Arrive(const connection_key& key, std::uint64_t request) {
    const auto found = open_.find(key);
    if (found == open_.end()) return;
    searcher_state& searcher = searchers_[found->second];
    const std::uint32_t luck = Below(100);
    auto reply = std::make_shared<searcher_reply>();
    duration work = Between(std::chrono::milliseconds(2),
                            std::chrono::milliseconds(luck < 90 ? 30 : 400));
    if (searcher.paused_until > now_) work += searcher.paused_until - now_;
    if (luck < 3) {
      reply->status = 503;
      reply->not_executed = true;
    } else {
      CountRun(request, searcher.service);
      reply->status = luck < 6 ? 500 : 200;
      reply->stamp = "t" + std::to_string(next_stamp_++);
      if (reply->status == 200) {
        for (int i = 0; i < 4; ++i) {
          // Unique, so that records of no other part can take their place.
          std::string record = std::to_string(100000 + Below(900000)) +
                               std::to_string(next_record_++);
          record.resize(kRecordBytes, '.');
          reply->body += record;
        }
        parts_[reply->stamp] = {request, searcher.service, reply->body};
      }
    }
    After(work, [this, key, reply] {
      if (!open_.contains(key)) return;
      Call(key.first, [&](route_engine& engine, route_effects* out) {
        engine.OnReply(key.second, reply, true, std::nullopt, now_, out);
      });
    });
  }

  void CountRun(std::uint64_t request, const std::string& service) {
    const auto found = pending_.find(request);
    if (found == pending_.end()) return;
    const route& matched = *found->second;
    const std::uint32_t runs = ++runs_[{request, service}];
    if (!matched.idempotent && runs > 1) Violate(request, "run twice");
    if (runs > matched.max_attempts) {
      Violate(request, "more attempts than allowed at " + service);
    }
  }

  void Execute(std::size_t index, send_to_relay& effect) {
    instance_state& instance = *instances_[index];
    const std::size_t relay = std::stoul(effect.relay.substr(1));
    const std::uint64_t relay_id = next_relay_id_++;
    const std::uint64_t request = instance.calls.at(effect.request).request;
    instance.relayed[relay_id] = {effect.request, effect.group, relay};
    const route* matched = pending_.at(request);
    SendOverLink(
        index, relay, [this, index, relay, relay_id, request, matched, effect] {
          auto relay_route = std::make_shared<route>(*matched);
          relay_route->shards.clear();
          relay_route->backends.clear();
          if (effect.single) {
            relay_route->backends = {{effect.shards.front(), 1}};
          } else {
            relay_route->shards = effect.shards;
          }
          relay_route->max_attempts = std::max(effect.max_attempts, 1u);
          relay_route->timeout = effect.time_left;
          route_call call;
          call.id = route_request_id{next_id_++};
          call.table = table_;
          call.matched_route = relay_route.get();
          call.relay_route = relay_route;
          call.sent_at = now_;
          call.time_left = effect.time_left;
          call.answer_at = now_ + effect.answer_in;
          instances_[relay]->calls[call.id] = {request, relay_route, index,
                                               relay_id};
          Call(relay, [&](route_engine& engine, route_effects* out) {
            engine.Begin(std::move(call), now_, out);
          });
        });
  }

  void Execute(std::size_t index, cancel_at_relay& effect) {
    instance_state& instance = *instances_[index];
    const auto found = std::find_if(
        instance.relayed.begin(), instance.relayed.end(), [&](const auto& e) {
          return e.second.request == effect.request &&
                 e.second.group == effect.group;
        });
    if (found == instance.relayed.end()) return;
    const std::uint64_t relay_id = found->first;
    const std::size_t relay = found->second.relay;
    instance.relayed.erase(found);
    SendOverLink(index, relay, [this, relay, relay_id] {
      auto& calls = instances_[relay]->calls;
      const auto served =
          std::find_if(calls.begin(), calls.end(), [&](const auto& entry) {
            return entry.second.relay_route != nullptr &&
                   entry.second.relay_id == relay_id;
          });
      if (served == calls.end()) return;
      const route_request_id id = served->first;
      calls.erase(served);
      instances_[relay]->engine.Abandon(id);
    });
  }

  void Execute(std::size_t index, route_progress& effect) {
    instance_state& instance = *instances_[index];
    const auto found = instance.calls.find(effect.request);
    if (found == instance.calls.end()) return;
    const std::size_t origin = found->second.origin;
    const std::uint64_t relay_id = found->second.relay_id;
    const shard_report report = effect.report;
    if (report.final) instance.calls.erase(found);
    SendOverLink(index, origin, [this, origin, relay_id, report] {
      auto& relayed = instances_[origin]->relayed;
      const auto known = relayed.find(relay_id);
      if (known == relayed.end()) return;
      const relayed_group group = known->second;
      if (report.final) relayed.erase(known);
      Call(origin, [&](route_engine& engine, route_effects* out) {
        engine.OnRelayReport(group.request, group.group, report, now_, out);
      });
    });
  }

  void Execute(std::size_t index, finish_route_request& effect) {
    const auto call = instances_[index]->calls.find(effect.request);
    if (call == instances_[index]->calls.end()) {
      return Violate(0, "answered twice");
    }
    const std::uint64_t request = call->second.request;
    instances_[index]->calls.erase(call);
    const route& matched = *pending_.at(request);
    pending_.erase(request);
    if (effect.code != result_code::kOk) {
      // A searcher's failure is forwarded as it is.
      const bool promised =
          effect.reply == nullptr && PromisesNotRun(static_cast<unsigned>(
                                         Describe(effect.code).http_status));
      if (promised) CheckNotRun(request);
      return;
    }
    ++answered_;
    if (effect.merged) return CheckMerged(request, matched, effect);
    const auto part = parts_.find(effect.reply->stamp);
    if (part == parts_.end() || part->second.request != request ||
        part->second.body != effect.reply->body) {
      Violate(request, "the reply of another request");
    }
  }

  void CheckNotRun(std::uint64_t request) {
    const auto run = runs_.lower_bound({request, {}});
    if (run != runs_.end() && run->first.first == request) {
      Violate(request, "refused as not run, but it has run");
    }
  }

  void CheckMerged(std::uint64_t request, const route& matched,
                   const finish_route_request& answer) {
    std::set<std::string> services;
    std::vector<std::string_view> bodies;
    for (const std::string& stamp : answer.stamps) {
      const auto part = parts_.find(stamp);
      if (part == parts_.end() || part->second.request != request) {
        Violate(request, "a part of another request");
        continue;
      }
      if (!services.insert(part->second.service).second) {
        Violate(request, "two parts of " + part->second.service);
      }
      bodies.push_back(part->second.body);
    }
    if (services.size() + answer.missing.size() != matched.shards.size()) {
      Violate(request, "parts that are neither named nor missing");
    }
    if (answer.body != TopRecords(bodies, matched.top_records)) {
      Violate(request, "the body is not that of the parts named");
    }
  }

  void Violate(std::uint64_t request, const std::string& what) {
    violations_.push_back("request " + std::to_string(request) + ": " + what);
  }

  relay_tier_options options_;
  std::mt19937 random_;
  time_point now_ = time_point(std::chrono::seconds(100));
  std::multimap<time_point, std::function<void()>> events_;
  route_config config_;
  std::shared_ptr<const route_table> table_;
  std::vector<std::unique_ptr<instance_state>> instances_;
  std::map<std::string, searcher_state> searchers_;
  std::set<connection_key> opening_;
  std::map<connection_key, std::string> open_;
  std::set<link_key> broken_links_;
  std::map<link_key, std::uint64_t> link_epoch_;
  // By sender and receiver.
  std::map<std::pair<std::size_t, std::size_t>, time_point> link_busy_until_;
  // Requests that have not been answered yet.
  std::map<std::uint64_t, const route*> pending_;
  std::map<std::string, sent_part> parts_;
  std::map<std::pair<std::uint64_t, std::string>, std::uint32_t> runs_;
  std::vector<std::string> violations_;
  std::size_t answered_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_relay_id_ = 1;
  std::uint64_t next_stamp_ = 1;
  std::uint64_t next_record_ = 1;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_RELAY_TIER_H_
