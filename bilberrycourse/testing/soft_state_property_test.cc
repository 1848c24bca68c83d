#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "bilberrycourse/gossip_codec.h"
#include "bilberrycourse/testing/soft_state_network.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t Index(std::size_t size) {
  return *rc::gen::inRange<std::size_t>(0, size);
}

// Runs the network until all views agree.
void Settle(soft_state_network* net) {
  net->RunUntil([&] { return net->ViewsAgree(); }, seconds(20));
  RC_ASSERT(net->ViewsAgree());
}

// Guards against tables that do not converge, and against records older than
// the newest published version that remain on any instance.
RC_GTEST_PROP(soft_state_property_test, Gossip_LossAndCuts_ConvergesToNewest,
              ()) {
  soft_state_network net(*rc::gen::inRange<std::size_t>(2, 8),
                         *rc::gen::arbitrary<std::uint64_t>());
  net.delay = milliseconds(*rc::gen::inRange(0, 60));
  Settle(&net);
  std::map<std::string, record_version> newest;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    net.loss = *rc::gen::element(0.0, 0.3);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        net.Cut(Index(net.size()), Index(net.size()));
        break;
      case 1:
        net.Heal();
        break;
      default: {
        soft_record r;
        r.kind = record_kind::kCrashEvidence;
        r.key = "k" + std::to_string(*rc::gen::inRange(0, 5));
        r.version = {*rc::gen::inRange<std::uint64_t>(1, 4),
                     *rc::gen::inRange<std::uint64_t>(0, 6)};
        r.deleted = *rc::gen::inRange(0, 4) == 0;
        const std::size_t at = Index(net.size());
        r.owner = net.NameOf(at);
        newest[r.key] = std::max(newest[r.key], r.version);
        net.node(at).gossip.Publish(r, net.now(), &net.node(at).gossip_out);
        net.Process(at);
      }
    }
    net.Run(milliseconds(*rc::gen::inRange(0, 400)));
  }
  net.Heal();
  net.loss = 0;
  const auto converged = [&] {
    for (std::size_t i = 1; i < net.size(); ++i) {
      if (net.node(i).gossip.bucket_hashes() !=
          net.node(0).gossip.bucket_hashes()) {
        return false;
      }
    }
    return net.ViewsAgree();
  };
  net.RunUntil(converged, seconds(30));
  RC_ASSERT(converged());
  for (const auto& [key, version] : newest) {
    const soft_record* r =
        net.node(0).gossip.Find(record_kind::kCrashEvidence, key);
    RC_ASSERT(r != nullptr);
    RC_ASSERT(r->version == version);
  }
}

// Guards against the removal of a healthy instance because of one cut link (one
// way or both), and against late detection of a dead instance while that link
// is cut. Holds with at least three live instances.
RC_GTEST_PROP(soft_state_property_test, Membership_OneCutLink_OnlyDeadRemoved,
              ()) {
  soft_state_network net(*rc::gen::inRange<std::size_t>(4, 12),
                         *rc::gen::arbitrary<std::uint64_t>());
  // Four messages of an indirect probe must fit between ack_timeout and the
  // end of the probe period.
  net.delay = milliseconds(*rc::gen::inRange(0, 10));
  Settle(&net);
  const std::size_t a = Index(net.size());
  const std::size_t b = Index(net.size());
  net.Cut(a, b);
  if (*rc::gen::arbitrary<bool>()) net.Cut(b, a);
  net.Run(milliseconds(*rc::gen::inRange(0, 10000)));
  RC_ASSERT(net.TotalRemovals() == 0);

  const std::size_t victim = Index(net.size());
  net.node(victim).running = false;
  net.RunUntil([&] { return net.ViewsAgree(); }, seconds(4));
  RC_ASSERT(net.ViewsAgree());
  net.Run(seconds(5));
  RC_ASSERT(net.ViewsAgree());
  for (std::size_t i = 0; i < net.size(); ++i) {
    for (const auto& [name, count] : net.node(i).removals) {
      RC_ASSERT(name == net.NameOf(victim) || i == victim);
    }
  }
}

// Guards against a healed partition after which claims of one side remove
// healthy instances of the other side from the views of that other side, or
// after which any instance is removed again.
RC_GTEST_PROP(soft_state_property_test, Membership_PartitionHeals_NobodyRemoved,
              ()) {
  soft_state_network net(*rc::gen::inRange<std::size_t>(8, 65),
                         *rc::gen::arbitrary<std::uint64_t>());
  net.delay = milliseconds(*rc::gen::inRange(0, 10));
  Settle(&net);
  const std::size_t every = *rc::gen::inRange<std::size_t>(2, 9);
  for (std::size_t i = 0; i < net.size(); i += every) net.node(i).side = 1;
  net.Run(milliseconds(*rc::gen::inRange(500, 20000)));
  std::vector<int> sides;
  for (std::size_t i = 0; i < net.size(); ++i) {
    sides.push_back(net.node(i).side);
  }
  net.Heal();
  // Suspicions that started during the partition may still time out.
  net.Run(seconds(2));
  Settle(&net);
  const int removals = net.TotalRemovals();
  net.Run(seconds(10));
  RC_ASSERT(net.ViewsAgree());
  RC_ASSERT(net.TotalRemovals() == removals);
  for (std::size_t i = 0; i < net.size(); ++i) {
    for (std::size_t j = 0; j < net.size(); ++j) {
      RC_ASSERT(sides[i] != sides[j] ||
                !net.node(i).removals.contains(net.NameOf(j)));
    }
  }
}

// Guards against views that do not agree after pauses, restarts with any
// incarnation, isolation and loss, and against incarnations that go down.
RC_GTEST_PROP(soft_state_property_test, Membership_AnyFaults_ViewsAgreeAfter,
              ()) {
  soft_state_network net(*rc::gen::inRange<std::size_t>(3, 8),
                         *rc::gen::arbitrary<std::uint64_t>());
  net.delay = milliseconds(*rc::gen::inRange(0, 10));
  Settle(&net);
  std::map<instance_name, std::uint64_t> highest;
  const int steps = *rc::gen::inRange(1, 20);
  for (int i = 0; i < steps; ++i) {
    const std::size_t target = Index(net.size());
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        net.node(target).running = false;
        break;
      case 1:
        net.node(target).running = true;
        break;
      case 2:
        net.Restart(target, *rc::gen::inRange<std::uint64_t>(1, 3000));
        break;
      case 3:
        net.Isolate(target);
        break;
      case 4:
        net.Heal();
        break;
      default:
        net.loss = *rc::gen::element(0.0, 0.2, 0.5);
    }
    net.Run(milliseconds(*rc::gen::inRange(0, 4000)));
  }
  net.Heal();
  net.loss = 0;
  for (std::size_t i = 0; i < net.size(); ++i) net.node(i).running = true;
  net.RunUntil([&] { return net.ViewsAgree(); }, seconds(60));
  RC_ASSERT(net.ViewsAgree());
  net.Run(seconds(10));
  RC_ASSERT(net.ViewsAgree());
  for (std::size_t i = 0; i < net.size(); ++i) {
    for (std::size_t j = 0; j < net.size(); ++j) {
      RC_ASSERT(net.node(i).members.Find(net.NameOf(j))->incarnation ==
                net.node(j).members.self().incarnation);
    }
  }
}

// Guards against a stale incarnation of a searcher that remains at any
// registrar after the tables have converged.
RC_GTEST_PROP(soft_state_property_test, Searchers_AnyRegistrars_NewestWins,
              ()) {
  soft_state_network net(*rc::gen::inRange<std::size_t>(2, 6),
                         *rc::gen::arbitrary<std::uint64_t>());
  Settle(&net);
  backend_server_record r;
  r.key = {{"catalogue", 0}, "r1"};
  r.address = "10.0.0.1:1";
  std::uint64_t newest = 0;
  const int steps = *rc::gen::inRange(1, 30);
  for (int i = 0; i < steps; ++i) {
    const std::size_t at = Index(net.size());
    r.incarnation = *rc::gen::inRange<std::uint64_t>(1, 6);
    r.slots = *rc::gen::inRange<std::uint32_t>(1, 3);
    const backend_server_record* known = net.node(at).searchers.Find(r.key);
    const result_code code = net.node(at).searchers.Announce(
        r, net.now(), &net.node(at).searchers_out);
    RC_ASSERT((code == result_code::kStaleIncarnation) ==
              (known != nullptr && known->incarnation > r.incarnation));
    net.Process(at);
    newest = std::max(newest, r.incarnation);
    net.Run(milliseconds(*rc::gen::inRange(0, 1500)));
  }
  net.Run(seconds(10));
  for (std::size_t i = 0; i < net.size(); ++i) {
    const backend_server_record* known = net.node(i).searchers.Find(r.key);
    RC_ASSERT(known != nullptr);
    RC_ASSERT(known->incarnation == newest);
    RC_ASSERT(known->state == backend_server_state::kLost);
  }
}

}  // namespace
}  // namespace bilberrycourse
