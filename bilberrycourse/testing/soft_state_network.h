#ifndef BILBERRYCOURSE_TESTING_SOFT_STATE_NETWORK_H_
#define BILBERRYCOURSE_TESTING_SOFT_STATE_NETWORK_H_

// Simulates instances with gossip_table, membership and backend_server_table in
// virtual time. A message queue connects them, with delay, loss and cut links.
// Effects are routed as in the daemon.
//
//   soft_state_network net(5);
//   net.Run(std::chrono::seconds(2));
//   net.Cut(0, 1);                      // one way
//   net.node(2).running = false;        // crashed or paused

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bilberrycourse/backend_server_table.h"
#include "bilberrycourse/gossip_table.h"
#include "bilberrycourse/membership.h"

namespace bilberrycourse {

struct soft_state_node {
  soft_state_node(const instance_record& self,
                  const membership_options& membership_settings,
                  const gossip_options& gossip_settings)
      : gossip(self.name, gossip_settings),
        members(self, membership_settings),
        searchers(self.name, {}) {}

  gossip_table gossip;
  membership members;
  backend_server_table searchers;
  std::vector<gossip_effect> gossip_out;
  std::vector<membership_effect> membership_out;
  std::vector<backend_server_effect> searchers_out;
  // If false, the node gets no ticks and its messages stay queued.
  bool running = true;
  // Messages between instances of different sides are lost.
  int side = 0;
  // Bytes and messages sent, and the removals of each peer from the view.
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  std::map<instance_name, int> removals;
  std::vector<freshness_received> freshness;
  bool view_has_changed = false;
};

class soft_state_network {
 public:
  explicit soft_state_network(std::size_t size, std::uint64_t seed = 1)
      : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) Add();
  }

  std::size_t size() const { return nodes_.size(); }
  soft_state_node& node(std::size_t i) { return *nodes_[i]; }
  time_point now() const { return now_; }
  static instance_name NameOf(std::size_t i) { return "e" + std::to_string(i); }

  // Adds an instance whose seeds are the first two instances.
  std::size_t Add() {
    nodes_.push_back(Create(nodes_.size(), 1000));
    names_[NameOf(nodes_.size() - 1)] = nodes_.size() - 1;
    Start(nodes_.size() - 1);
    return nodes_.size() - 1;
  }

  // Replaces an instance by a new process without any state.
  void Restart(std::size_t i, std::uint64_t incarnation) {
    nodes_[i] = Create(i, incarnation);
    Start(i);
  }

  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void CutBoth(std::size_t a, std::size_t b) {
    Cut(a, b);
    Cut(b, a);
  }
  void Isolate(std::size_t i) {
    for (std::size_t j = 0; j < size(); ++j) CutBoth(i, j);
  }
  void Heal() {
    cuts_.clear();
    for (const auto& n : nodes_) n->side = 0;
  }

  duration delay = std::chrono::milliseconds(2);
  double loss = 0;

  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += std::chrono::milliseconds(10);
      Deliver();
      for (std::size_t i = 0; i < size(); ++i) {
        soft_state_node& n = *nodes_[i];
        if (!n.running) continue;
        n.members.Tick(now_, &n.membership_out);
        n.searchers.Tick(now_, &n.searchers_out);
        n.gossip.Tick(now_, &n.gossip_out);
        Process(i);
      }
    }
  }

  // Runs until `done` returns true or the limit is reached. Returns the elapsed
  // virtual time.
  duration RunUntil(const std::function<bool()>& done, duration limit) {
    const time_point begin = now_;
    while (!done() && now_ - begin < limit) Run(std::chrono::milliseconds(10));
    return now_ - begin;
  }

  // Routes the effects of node `i`. Call after each call of one of its
  // components.
  void Process(std::size_t i) {
    soft_state_node& n = *nodes_[i];
    while (!n.membership_out.empty() || !n.gossip_out.empty() ||
           !n.searchers_out.empty() || n.view_has_changed) {
      for (auto& e : std::exchange(n.membership_out, {})) {
        std::visit([&](auto& effect) { Route(i, effect); }, e);
      }
      for (auto& e : std::exchange(n.searchers_out, {})) {
        std::visit([&](auto& effect) { Route(i, effect); }, e);
      }
      for (auto& e : std::exchange(n.gossip_out, {})) {
        std::visit([&](auto& effect) { Route(i, effect); }, e);
      }
      // Updates the view once per batch: the first messages to a new instance
      // contain many records, each of which adds a peer.
      if (std::exchange(n.view_has_changed, false)) {
        const std::vector<instance_name> names = AliveNames(n);
        n.gossip.SetPeers(names);
        n.searchers.SetAliveInstances(names, now_, &n.searchers_out);
      }
    }
  }

  // True if every running instance sees exactly the running instances of its
  // side.
  bool ViewsAgree() {
    std::map<int, std::vector<instance_name>> expected;
    for (const auto& [name, i] : names_) {
      if (nodes_[i]->running && !nodes_[i]->members.leaving()) {
        expected[nodes_[i]->side].push_back(name);
      }
    }
    for (const auto& n : nodes_) {
      if (n->running && AliveNames(*n) != expected[n->side]) return false;
    }
    return true;
  }

  static std::vector<instance_name> AliveNames(const soft_state_node& n) {
    std::vector<instance_name> names;
    for (const instance_record& r : n.members.alive()) names.push_back(r.name);
    return names;
  }

  int TotalRemovals() const {
    int total = 0;
    for (const auto& n : nodes_) {
      for (const auto& [name, count] : n->removals) total += count;
    }
    return total;
  }

 private:
  struct message {
    std::size_t from;
    std::size_t to;
    bool gossip;
    std::string bytes;
  };

  std::unique_ptr<soft_state_node> Create(std::size_t i,
                                          std::uint64_t incarnation) {
    instance_record self{NameOf(i),    incarnation, "z" + std::to_string(i % 3),
                         AddressOf(i), "http",      {}};
    self.roles.Add(instance_role::kEntry);
    membership_options options;
    options.seeds = {AddressOf(0), AddressOf(1)};
    options.seed = random_();
    gossip_options gossip;
    gossip.seed = random_();
    return std::make_unique<soft_state_node>(self, options, gossip);
  }

  static std::string AddressOf(std::size_t i) {
    return "10.0.0." + std::to_string(i);
  }

  void Start(std::size_t i) {
    nodes_[i]->members.Start(now_, &nodes_[i]->membership_out);
    Process(i);
  }

  void Send(std::size_t from, std::size_t to, bool gossip, std::string bytes) {
    nodes_[from]->bytes += bytes.size();
    ++nodes_[from]->messages;
    if (nodes_[from]->side != nodes_[to]->side || cuts_.contains({from, to}) ||
        std::uniform_real_distribution<double>(0, 1)(random_) < loss) {
      return;
    }
    queue_[now_ + delay].push_back({from, to, gossip, std::move(bytes)});
  }

  void Deliver() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      std::vector<message> due = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      for (message& m : due) {
        soft_state_node& n = *nodes_[m.to];
        if (!n.running) {
          queue_[now_ + std::chrono::milliseconds(10)].push_back(std::move(m));
          continue;
        }
        if (m.gossip) {
          n.gossip.Receive(NameOf(m.from), m.bytes, now_, &n.gossip_out);
        } else {
          n.members.Receive(NameOf(m.from), m.bytes, now_, &n.membership_out);
        }
        Process(m.to);
      }
    }
  }

  void Route(std::size_t i, membership_send& e) {
    Send(i, names_.at(e.to), false, std::move(e.bytes));
  }
  void Route(std::size_t i, membership_send_to_address& e) {
    for (std::size_t to = 0; to < size(); ++to) {
      if (AddressOf(to) == e.address) Send(i, to, false, std::move(e.bytes));
    }
  }
  void Route(std::size_t i, instance_changed& e) {
    if (e.status == instance_status::kDead)
      ++nodes_[i]->removals[e.record.name];
  }
  void Route(std::size_t i, view_changed&) {
    nodes_[i]->view_has_changed = true;
  }
  void Route(std::size_t i, freshness_received& e) {
    if (e.probe_sent_at) nodes_[i]->freshness.push_back(e);
  }
  void Route(std::size_t i, synchronize_with& e) {
    nodes_[i]->gossip.Synchronize(e.peer, now_, &nodes_[i]->gossip_out);
  }
  void Route(std::size_t i, withdraw_record& e) {
    nodes_[i]->gossip.Withdraw(record_kind::kInstance, e.name);
  }
  void Route(std::size_t, declared_dead&) {}
  void Route(std::size_t i, publish_record& e) {
    nodes_[i]->gossip.Publish(std::move(e.record), now_,
                              &nodes_[i]->gossip_out);
  }
  void Route(std::size_t i, gossip_send& e) {
    Send(i, names_.at(e.to), true, std::move(e.bytes));
  }
  void Route(std::size_t i, record_changed& e) {
    soft_state_node& n = *nodes_[i];
    if (e.record.kind == record_kind::kInstance) {
      n.members.Merge(e.record, e.expired, now_, &n.membership_out);
    } else if (e.record.kind == record_kind::kBackendServer && !e.expired) {
      n.searchers.Merge(e.record, now_, &n.searchers_out);
    }
  }
  void Route(std::size_t, backend_server_changed&) {}

  std::vector<std::unique_ptr<soft_state_node>> nodes_;
  std::map<instance_name, std::size_t> names_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<time_point, std::vector<message>> queue_;
  time_point now_{};
  std::mt19937_64 random_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_SOFT_STATE_NETWORK_H_
