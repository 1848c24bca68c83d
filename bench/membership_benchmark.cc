// Measures the traffic and processor time of membership and gossip per
// instance, in virtual time, against the limit of 6 KB/s of control traffic per
// daemon.
//
// SoftStateTraffic starts all instances at once from two seeds, fills the
// tables with searchers, and measures a quiet interval and an interval with
// restarts. Counters, per instance and second:
//     quiet_B, quiet_msgs  payload bytes and messages without any change
//     day_B, day_msgs      the same plus 3,800 searcher restarts per day
//     wire_B               day_B plus 110 bytes per message for the TCP, IP
//                          and Ethernet headers, the length and peer_frame
//     peak_B               wire bytes of the busiest instance while quiet
// Other counters:
//     restart_B            payload bytes per instance for one searcher restart,
//                          in addition to the quiet traffic
//     cpu_pct              processor time of one instance in percent of a
//                          core, including the simulated network
//     start_s              time until all views agree after the start
//     start_KB             payload per instance until then
//     death_s              time until all views agree after a death

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>

#include "bilberrycourse/gossip_codec.h"
#include "bilberrycourse/shard_ownership.h"
#include "bilberrycourse/testing/soft_state_network.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRestartsPerSecond = 3800.0 / 86400.0;
constexpr double kMessageOverheadBytes = 110;

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double Seconds(duration d) { return std::chrono::duration<double>(d).count(); }

struct traffic_totals {
  double bytes = 0;
  double messages = 0;
  double peak_wire_bytes = 0;
};

// Returns the mean traffic per instance and the peak of one instance since the
// last call, and resets the counters.
traffic_totals TakeTraffic(soft_state_network* net) {
  traffic_totals totals;
  for (std::size_t i = 0; i < net->size(); ++i) {
    soft_state_node& node = net->node(i);
    const auto bytes = static_cast<double>(node.bytes);
    const auto messages = static_cast<double>(node.messages);
    totals.bytes += bytes;
    totals.messages += messages;
    totals.peak_wire_bytes = std::max(totals.peak_wire_bytes,
                                      bytes + kMessageOverheadBytes * messages);
    node.bytes = node.messages = 0;
    node.freshness.clear();
  }
  totals.bytes /= static_cast<double>(net->size());
  totals.messages /= static_cast<double>(net->size());
  return totals;
}

backend_server_record Searcher(std::size_t i) {
  backend_server_record r;
  r.key = {{"service" + std::to_string(i / 20),
            static_cast<std::uint32_t>(i / 2 % 10)},
           "replica" + std::to_string(i % 2)};
  r.shard_count = 10;
  r.incarnation = 1796342400000000;
  r.address = "10.20.30.40:9000";
  r.zone = "region1-zone1";
  r.slots = 2;
  r.connection_limit = 25;
  r.versions = {index_version{1001}, index_version{1002}};
  return r;
}

// Restarts a searcher: it drains, is considered lost after 3 s without an
// announcement, and announces itself under a new incarnation.
void RestartSearcher(soft_state_network* net, std::size_t i) {
  soft_state_node& node = net->node(i % net->size());
  backend_server_record r = Searcher(i);
  const auto announce = [&] {
    node.searchers.Announce(r, net->now(), &node.searchers_out);
    net->Process(i % net->size());
  };
  r.state = backend_server_state::kDraining;
  announce();
  net->Run(milliseconds(3200));
  ++r.incarnation;
  r.state = backend_server_state::kServing;
  announce();
}

void SoftStateTraffic(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  const auto searchers = static_cast<std::size_t>(state.range(1));
  for (auto _ : state) {
    soft_state_network net(size);
    const duration start =
        net.RunUntil([&] { return net.ViewsAgree(); }, seconds(60));
    const traffic_totals start_traffic = TakeTraffic(&net);

    // Fill the searcher tables of all instances directly, as a bulk exchange
    // does; the cost of single announcements is not measured here.
    std::vector<std::string> fills;
    for (std::size_t i = 0; i < searchers;) {
      gossip_records batch;
      batch.exchange = true;
      for (int k = 0; k < 115 && i < searchers; ++k, ++i) {
        backend_server_record r = Searcher(i);
        r.sequence = 1;
        r.registrar = net.NameOf(i % size);
        batch.records.push_back(ToSoftRecord(r));
      }
      fills.push_back(EncodeGossip(batch));
    }
    for (std::size_t j = 0; j < size; ++j) {
      std::vector<gossip_effect> ignored;
      for (const std::string& bytes : fills) {
        net.node(j).gossip.Receive("fill", bytes, net.now(), &ignored);
      }
    }
    net.Run(seconds(2));
    TakeTraffic(&net);

    const duration interval = seconds(size > 1000 ? 10 : 60);
    const double processor_before = ProcessorSeconds();
    net.Run(interval);
    const double processor = ProcessorSeconds() - processor_before;
    const traffic_totals quiet = TakeTraffic(&net);

    // Traffic of a few restarts above the quiet rate, scaled to a day.
    const int restarts = size > 1000 ? 3 : 10;
    const time_point begin = net.now();
    for (int i = 0; i < restarts; ++i) {
      RestartSearcher(&net, static_cast<std::size_t>(i));
      net.Run(milliseconds(300));
    }
    net.Run(seconds(2));
    const double busy_seconds = Seconds(net.now() - begin);
    const traffic_totals busy = TakeTraffic(&net);
    const double quiet_bytes = quiet.bytes / Seconds(interval);
    const double quiet_messages = quiet.messages / Seconds(interval);
    const double restart_bytes =
        (busy.bytes - quiet_bytes * busy_seconds) / restarts;
    const double restart_messages =
        (busy.messages - quiet_messages * busy_seconds) / restarts;

    const std::size_t stopped_node = size / 2;
    net.node(stopped_node).running = false;
    const duration death =
        net.RunUntil([&] { return net.ViewsAgree(); }, seconds(30));

    const double day_bytes = quiet_bytes + restart_bytes * kRestartsPerSecond;
    const double day_messages =
        quiet_messages + restart_messages * kRestartsPerSecond;
    state.counters["quiet_B"] = quiet_bytes;
    state.counters["quiet_msgs"] = quiet_messages;
    state.counters["restart_B"] = restart_bytes;
    state.counters["day_B"] = day_bytes;
    state.counters["day_msgs"] = day_messages;
    state.counters["wire_B"] = day_bytes + kMessageOverheadBytes * day_messages;
    state.counters["peak_B"] = quiet.peak_wire_bytes / Seconds(interval);
    state.counters["cpu_pct"] =
        100 * processor / Seconds(interval) / static_cast<double>(size);
    state.counters["start_s"] = Seconds(start);
    state.counters["start_KB"] = start_traffic.bytes / 1000;
    state.counters["death_s"] = Seconds(death);
  }
}
BENCHMARK(SoftStateTraffic)
    ->Args({8, 115})
    ->Args({64, 1000})
    ->Args({256, 2000})
    ->Args({1700, 8500})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Partitions every `range(1)`-th instance from the others for 20 s: one half
// stands for the split of two regions, one eighth for an availability zone.
// Reports the seconds until all views agree, the payload per instance, and the
// highest rate of one instance over 200 ms while the sides reconnect.
void Partition(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  const auto stride = static_cast<std::size_t>(state.range(1));
  for (auto _ : state) {
    soft_state_network net(size);
    net.RunUntil([&] { return net.ViewsAgree(); }, seconds(60));
    net.Run(seconds(2));
    TakeTraffic(&net);
    double peak = 0;
    const auto run_until_agreed = [&] {
      const time_point begin = net.now();
      traffic_totals sum;
      do {
        net.Run(milliseconds(200));
        const traffic_totals totals = TakeTraffic(&net);
        sum.bytes += totals.bytes;
        peak = std::max(peak, totals.peak_wire_bytes * 5);
      } while (!net.ViewsAgree() && net.now() - begin < seconds(120));
      return std::pair(Seconds(net.now() - begin), sum.bytes / 1000);
    };
    for (std::size_t i = 0; i < size; i += stride) net.node(i).side = 1;
    const auto [split_seconds, split_kilobytes] = run_until_agreed();
    net.Run(seconds(20));
    TakeTraffic(&net);
    peak = 0;
    net.Heal();
    const auto [heal_seconds, heal_kilobytes] = run_until_agreed();
    // Claims of a death that are still in transit could remove instances again.
    double flaps = -net.TotalRemovals();
    net.Run(seconds(10));
    flaps += net.TotalRemovals();
    state.counters["split_s"] = split_seconds;
    state.counters["split_KB"] = split_kilobytes;
    state.counters["heal_s"] = heal_seconds;
    state.counters["heal_KB"] = heal_kilobytes;
    state.counters["heal_peak_KB_s"] = peak / 1000;
    state.counters["flaps"] = flaps;
    state.counters["agree"] = net.ViewsAgree() ? 1 : 0;
  }
}
BENCHMARK(Partition)
    ->Args({8, 2})
    ->Args({64, 2})
    ->Args({256, 2})
    ->Args({256, 8})
    ->Args({512, 2})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

std::vector<instance_name> Instances(std::size_t n) {
  std::vector<instance_name> names;
  for (std::size_t i = 0; i < n; ++i) names.push_back("e" + std::to_string(i));
  return names;
}

// Computes the owners after one instance leaves and another one joins. `moved`
// is the mean share of shards whose owner differs from the owner among all
// instances, times the number of instances; 1 is the minimum.
void ShardAssignment(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  const auto shards = static_cast<std::uint32_t>(state.range(1));
  std::vector<shard_key> keys;
  for (std::uint32_t i = 0; i < shards; ++i) {
    keys.push_back({"service" + std::to_string(i / 10), i % 10});
  }
  shard_ownership all_instances;
  shard_ownership one_removed;
  all_instances.SetInstances(Instances(size));
  all_instances.SetShards(keys);
  one_removed.SetShards(keys);
  double moved = 0;
  double changes = 0;
  double max_moved = 0;
  std::size_t removed_index = 0;
  for (auto _ : state) {
    auto names = Instances(size);
    names.erase(names.begin() +
                static_cast<std::ptrdiff_t>(removed_index++ % size));
    one_removed.SetInstances(names);
    state.PauseTiming();
    double moved_shards = 0;
    for (const shard_key& key : keys) {
      moved_shards += *all_instances.Owner(key) != *one_removed.Owner(key);
    }
    moved += moved_shards;
    max_moved = std::max(max_moved, moved_shards);
    ++changes;
    state.ResumeTiming();
  }
  state.counters["moved"] =
      moved / changes / shards * static_cast<double>(size);
  state.counters["most_shards"] = max_moved;
  state.counters["capacity"] = static_cast<double>(all_instances.capacity());
}
BENCHMARK(ShardAssignment)
    ->Args({8, 115})
    ->Args({1700, 4250})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bilberrycourse
