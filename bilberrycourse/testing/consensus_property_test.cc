#include <gtest/gtest.h>
// GoogleTest comes before RapidCheck's adapter.
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "bilberrycourse/testing/consensus_cluster.h"

namespace bilberrycourse {
namespace {

enum class operation : std::uint8_t {
  kRun,
  kRunLossy,
  kTickOnly,
  kTickOne,
  kPropose,
  kRead,
  kDeliver,
  kDrop,
  kDuplicate,
  kSync,
  kCutOneWay,
  kIsolate,
  kHeal,
  kCrash,
  kStart,
  kWipe,
  kPause,
  kResume,
  kCompact,
  kTransfer,
  kAddLearner,
  kPromote,
  kLeave,
};

struct weighted_operation {
  operation op;
  const char* name;
  unsigned weight;
};

constexpr weighted_operation kOperations[] = {
    {operation::kRun, "run", 8},
    {operation::kRunLossy, "run_lossy", 6},
    {operation::kTickOnly, "tick_only", 3},
    {operation::kTickOne, "tick_one", 3},
    {operation::kPropose, "propose", 12},
    {operation::kRead, "read", 4},
    {operation::kDeliver, "deliver", 24},
    {operation::kDrop, "drop", 3},
    {operation::kDuplicate, "duplicate", 3},
    {operation::kSync, "sync", 8},
    {operation::kCutOneWay, "cut_one_way", 3},
    {operation::kIsolate, "isolate", 3},
    {operation::kHeal, "heal", 3},
    {operation::kCrash, "crash", 3},
    {operation::kStart, "start", 4},
    {operation::kWipe, "wipe", 2},
    {operation::kPause, "pause", 2},
    {operation::kResume, "resume", 3},
    {operation::kCompact, "compact", 2},
    {operation::kTransfer, "transfer", 2},
    {operation::kAddLearner, "add_learner", 2},
    {operation::kPromote, "promote", 2},
    {operation::kLeave, "leave", 2},
};

struct command {
  std::uint8_t op = 0;
  std::uint16_t a = 0;
  std::uint16_t b = 0;
};

const weighted_operation& Resolve(std::uint8_t number) {
  static const std::vector<const weighted_operation*> kTable = [] {
    std::vector<const weighted_operation*> table;
    for (const weighted_operation& entry : kOperations) {
      table.insert(table.end(), entry.weight, &entry);
    }
    return table;
  }();
  return *kTable[number % kTable.size()];
}

void showValue(const command& c, std::ostream& os) {
  os << Resolve(c.op).name << "(" << c.a << "," << c.b << ")";
}

void Execute(consensus_cluster& cluster, const command& c) {
  const std::size_t node = c.a % cluster.size();
  const std::size_t other = c.b % cluster.size();
  const std::size_t leader = cluster.leader();
  const std::size_t message =
      cluster.network().empty() ? 0 : c.a % cluster.network().size();
  switch (Resolve(c.op).op) {
    case operation::kRun:
      cluster.Run(1 + c.a % 60);
      break;
    case operation::kRunLossy:
      cluster.Run(1 + c.a % 40, 5 + c.b % 60);
      break;
    case operation::kTickOnly:
      for (int i = 0; i < c.a % 40; ++i) cluster.TickAll();
      break;
    case operation::kTickOne:
      cluster.Tick(node);
      break;
    case operation::kPropose:
      // Usually at the leader of the highest term; sometimes at another node,
      // which may be a deposed leader.
      cluster.Propose(leader < cluster.size() && c.b % 4 != 0 ? leader : node);
      break;
    case operation::kRead:
      cluster.Read(leader < cluster.size() && c.b % 4 != 0 ? leader : node);
      break;
    case operation::kDeliver:
      for (int i = 0; i <= c.b % 4; ++i) cluster.Deliver(message);
      break;
    case operation::kDrop:
      if (message < cluster.network().size()) {
        cluster.network().erase(cluster.network().begin() +
                                static_cast<std::ptrdiff_t>(message));
      }
      break;
    case operation::kDuplicate:
      if (message < cluster.network().size()) {
        const auto copy = cluster.network()[message];
        cluster.network().push_back(copy);
      }
      break;
    case operation::kSync:
      cluster.Sync(node, 1 + c.b % 4);
      break;
    case operation::kCutOneWay:
      cluster.Cut(node, other);
      break;
    case operation::kIsolate:
      cluster.Isolate(node);
      break;
    case operation::kHeal:
      cluster.Heal();
      break;
    case operation::kCrash:
      cluster.Crash(node, c.b % 400);
      break;
    case operation::kStart:
      cluster.Start(node);
      break;
    case operation::kWipe:
      if (cluster.MayWipe(node)) {
        cluster.Wipe(node);
        cluster.Start(node);
      }
      break;
    case operation::kPause:
      cluster.Pause(node);
      break;
    case operation::kResume:
      cluster.Resume(node);
      break;
    case operation::kCompact:
      cluster.Compact(node);
      break;
    case operation::kTransfer:
      if (leader < cluster.size()) cluster.Transfer(leader);
      break;
    case operation::kLeave:
      cluster.Leave(node);
      break;
    case operation::kAddLearner:
    case operation::kPromote: {
      if (leader == cluster.size()) break;
      consensus_member& member = *cluster.at(leader).member;
      const bool add = Resolve(c.op).op == operation::kAddLearner;
      if (add) {
        const auto spares = member.spares(cluster.now());
        if (spares.empty()) break;
        cluster.Change(leader, {membership_change_kind::kAddLearner,
                                spares[c.a % spares.size()].member});
      } else {
        const auto& members = member.membership().members;
        if (members.empty()) break;
        cluster.Change(leader, {membership_change_kind::kPromote,
                                members[c.a % members.size()]});
      }
      break;
    }
  }
}

// Limit of 10 ms ticks until the group has recovered after the faults end. It
// covers an election, the 2 s after which the simulated group replaces a lost
// voter, and three membership changes.
constexpr std::size_t kSettleTicks = 1000;

struct run_result {
  std::string violation;
  std::uint64_t steps = 0;
  std::size_t settle_ticks = 0;
};

run_result RunCommands(const cluster_options& options,
                       const std::vector<command>& commands) {
  consensus_cluster cluster(options);
  // Most command lists start with a formed group; the others exercise the
  // formation.
  if (options.seed % 4 != 0) cluster.Run(100);
  for (const command& c : commands) {
    if (!cluster.violation().empty()) break;
    Execute(cluster, c);
  }
  run_result result;
  if (cluster.violation().empty()) {
    const auto ticks = cluster.Settle(kSettleTicks);
    if (ticks) {
      result.settle_ticks = *ticks;
    } else if (cluster.violation().empty()) {
      result.violation = "no progress after the faults stopped";
    }
  }
  if (!cluster.violation().empty()) result.violation = cluster.violation();
  result.steps = cluster.steps();
  return result;
}

rc::Gen<std::vector<command>> Commands() {
  const auto single_command = rc::gen::build<command>(
      rc::gen::set(&command::op, rc::gen::inRange<int>(0, 256)),
      rc::gen::set(&command::a, rc::gen::inRange<int>(0, 65536)),
      rc::gen::set(&command::b, rc::gen::inRange<int>(0, 65536)));
  return rc::gen::scale(
      6, rc::gen::container<std::vector<command>>(single_command));
}

struct run_totals {
  std::uint64_t lists = 0;
  std::uint64_t commands = 0;
  std::uint64_t steps = 0;
  std::size_t longest_settle = 0;

  void Add(const std::vector<command>& list, const run_result& result) {
    ++lists;
    commands += list.size();
    steps += result.steps;
    longest_settle = std::max(longest_settle, result.settle_ticks);
  }
  void Print(const char* name) const {
    std::printf(
        "%s: %llu lists, %llu commands, %llu steps, longest settling %zu "
        "ticks\n",
        name, static_cast<unsigned long long>(lists),
        static_cast<unsigned long long>(commands),
        static_cast<unsigned long long>(steps), longest_settle);
  }
};

// Guards against schedules of faults in which committed entries are lost,
// reordered or forked, two leaders are elected in a term, a partitioned leader
// confirms changes, or the group makes no progress after the faults end.
void CheckGroup(const char* name, std::size_t voters, std::size_t spares) {
  run_totals sum;
  const bool passed = rc::check(name, [&] {
    const auto commands = *Commands();
    cluster_options options;
    options.voters = voters;
    options.spares = spares;
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1u << 30);
    const run_result result = RunCommands(options, commands);
    sum.Add(commands, result);
    if (!result.violation.empty()) RC_FAIL(result.violation);
  });
  sum.Print(name);
  EXPECT_TRUE(passed);
}

TEST(consensus_property_test, ThreeVotersTwoSpares_AnyFaults_OracleHolds) {
  CheckGroup("three voters, two spares", 3, 2);
}

TEST(consensus_property_test, FiveVotersOneSpare_AnyFaults_OracleHolds) {
  CheckGroup("five voters, one spare", 5, 1);
}

TEST(consensus_property_test, ThreeVotersNoSpare_AnyFaults_OracleHolds) {
  CheckGroup("three voters, no spare", 3, 0);
}

// Guards against ineffective checks: each injected fault must be detected
// within a fixed number of command lists.
struct deliberate_fault {
  const char* name;
  void (*inject)(cluster_options&);
};

const deliberate_fault kFaults[] = {
    {"promise_before_persist",
     [](cluster_options& o) { o.faults.promise_before_persist = true; }},
    {"commit_older_term",
     [](cluster_options& o) { o.faults.commit_older_term = true; }},
    {"skip_check_quorum",
     [](cluster_options& o) { o.faults.skip_check_quorum = true; }},
    {"read_without_quorum",
     [](cluster_options& o) { o.faults.read_without_quorum = true; }},
    {"skip_log_check_in_vote",
     [](cluster_options& o) { o.faults.skip_log_check_in_vote = true; }},
    {"forget_vote", [](cluster_options& o) { o.faults.forget_vote = true; }},
    {"skip_previous_entry_check",
     [](cluster_options& o) { o.faults.skip_previous_entry_check = true; }},
    {"form_without_peers",
     [](cluster_options& o) { o.faults.form_without_peers = true; }},
    {"overlap_membership_changes",
     [](cluster_options& o) { o.faults.overlap_membership_changes = true; }},
    {"confirm_before_applied",
     [](cluster_options& o) { o.faults.confirm_before_applied = true; }},
    {"confirm_without_transit",
     [](cluster_options& o) { o.faults.confirm_without_transit = true; }},
    {"count_learners",
     [](cluster_options& o) { o.faults.count_learners = true; }},
    {"count_own_unsynced",
     [](cluster_options& o) { o.faults.count_own_unsynced = true; }},
    {"wiped_member_keeps_identity",
     [](cluster_options& o) { o.wiped_member_keeps_identity = true; }},
};

class consensus_fault_test : public ::testing::TestWithParam<deliberate_fault> {
};

constexpr std::uint64_t kMaxFaultCommandLists = 2000;

TEST_P(consensus_fault_test, DeliberateFault_IsDetected) {
  std::uint64_t steps = 0;
  for (std::uint64_t seed = 1; seed <= kMaxFaultCommandLists; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<command> commands(300);
    for (command& c : commands) {
      c = {static_cast<std::uint8_t>(random()),
           static_cast<std::uint16_t>(random()),
           static_cast<std::uint16_t>(random())};
    }
    cluster_options options;
    options.seed = seed;
    GetParam().inject(options);
    const run_result result = RunCommands(options, commands);
    steps += result.steps;
    if (!result.violation.empty()) {
      std::printf("%-28s found in list %3llu after %llu steps: %s\n",
                  GetParam().name, static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(steps),
                  result.violation.c_str());
      return;
    }
  }
  FAIL() << GetParam().name << " was not found in " << kMaxFaultCommandLists
         << " lists";
}

INSTANTIATE_TEST_SUITE_P(All, consensus_fault_test,
                         ::testing::ValuesIn(kFaults), [](const auto& info) {
                           return std::string(info.param.name);
                         });

}  // namespace
}  // namespace bilberrycourse
