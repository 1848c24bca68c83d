// Measures the replicated log without disk and network: restart, catch-up of a
// new member, propose to commit, and the bytes of heartbeats.
//
//   build/consensus_benchmark --benchmark_filter=Restart

#include <benchmark/benchmark.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/consensus_codec.h"
#include "bilberrycourse/consensus_member.h"
#include "bilberrycourse/log_codec.h"

namespace bilberrycourse {
namespace {

// Approximate size of a configuration change.
constexpr std::size_t kPayloadBytes = 1024;
constexpr std::size_t kSnapshotBytes = 64 * 1024;

shared_body Payload(std::size_t bytes) {
  return std::make_shared<const std::string>(bytes, 'x');
}

// Consensus members in one process that exchange encoded messages; persisted
// writes are confirmed immediately.
class local_group {
 public:
  local_group(std::size_t voters, std::size_t spares, bool compacts)
      : compacts_(compacts) {
    for (std::size_t i = 0; i < voters + spares; ++i) {
      settings_.instances.push_back({Name(i), Name(i) + ":7000", i < voters});
    }
    for (std::size_t i = 0; i < voters + spares; ++i) {
      settings_.address = Name(i) + ":7000";
      settings_.seed = i + 1;
      recovered_log log;
      log.identity = {"group", member_id{i + 1}, Name(i)};
      members_.push_back(
          std::make_unique<consensus_member>(settings_, log, now_));
    }
    while (leader_ == nullptr) Run(std::chrono::milliseconds(10));
  }

  static std::string Name(std::size_t i) { return "c" + std::to_string(i); }

  consensus_member& leader() { return *leader_; }
  time_point now() const { return now_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t messages() const { return messages_; }

  // A std::function rather than a template parameter, because Call invokes
  // itself with a lambda.
  using member_call =
      std::function<void(consensus_member&, consensus_effects*)>;
  void Call(std::size_t i, const member_call& call) {
    consensus_effects out;
    call(*members_[i], &out);
    for (consensus_effect& effect : out) {
      if (auto* send = std::get_if<send_message_effect>(&effect)) {
        queue_.emplace_back(send->to, EncodeMessage(send->message));
        // The frame adds a length of four bytes.
        bytes_ += queue_.back().second.size() + 4;
        ++messages_;
      } else if (auto* persist = std::get_if<persist_effect>(&effect)) {
        Call(i, [&](consensus_member& m, consensus_effects* nested_out) {
          m.OnPersisted(persist->position, now_, nested_out);
        });
      }
    }
    if (compacts_ && members_[i]->compaction_due()) {
      Call(i, [&](consensus_member& m, consensus_effects* nested_out) {
        m.Compact(m.applied_index(), snapshot_, nested_out);
      });
    }
    if (members_[i]->role() == consensus_role::kLeader) {
      leader_ = members_[i].get();
      leader_position_ = i;
    }
  }

  void Deliver() {
    while (!queue_.empty()) {
      const auto [to, bytes] = std::move(queue_.front());
      queue_.pop_front();
      const auto message = DecodeMessage(bytes);
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (Name(i) != to) continue;
        Call(i, [&](consensus_member& m, consensus_effects* out) {
          m.Step(*message, now_, out);
        });
      }
    }
  }

  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += std::chrono::milliseconds(10);
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Call(i, [&](consensus_member& m, consensus_effects* out) {
          m.Tick(now_, out);
        });
      }
      Deliver();
    }
  }

  void Propose(const shared_body& payload) {
    Call(leader_position_, [&](consensus_member& m, consensus_effects* out) {
      m.Propose(payload, now_, out);
    });
    Deliver();
  }

  // Adds the spare as a learner and runs until it has the whole log.
  bool CatchUp() {
    const auto spares = leader_->spares(now_);
    if (spares.empty()) return false;
    Call(leader_position_, [&](consensus_member& m, consensus_effects* out) {
      m.ProposeMembership(
          {membership_change_kind::kAddLearner, spares[0].member}, now_, out);
    });
    for (int tick = 0; tick < 1000; ++tick) {
      Deliver();
      for (const peer_status& peer : leader_->peers(now_)) {
        if (peer.member.id == spares[0].member.id &&
            peer.match == leader_->last_index()) {
          return true;
        }
      }
      Run(std::chrono::milliseconds(10));
    }
    return false;
  }

 private:
  bool compacts_;
  consensus_settings settings_;
  time_point now_{};
  std::vector<std::unique_ptr<consensus_member>> members_;
  std::deque<std::pair<std::string, std::string>> queue_;
  consensus_member* leader_ = nullptr;
  std::size_t leader_position_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t messages_ = 0;
  shared_body snapshot_ = Payload(kSnapshotBytes);
};

// Recovers a member from a log file that holds `changes` changes.
void Restart(benchmark::State& state) {
  const auto changes = static_cast<log_index>(state.range(0));
  const bool compacted = state.range(1) != 0;
  recovered_log contents;
  contents.identity = {"group", member_id{1}, "c0"};
  contents.state.term = 1;
  log_index first = 1;
  // The default of consensus_settings::compaction_entries is 256.
  if (compacted && changes > 256) {
    first = changes - changes % 256 + 1;
    contents.snapshot =
        log_snapshot{first - 1,
                     1,
                     {{{member_id{1}, "c0", "c0:1", member_role::kVoter}}},
                     Payload(kSnapshotBytes)};
  }
  for (log_index i = first; i <= changes; ++i) {
    contents.entries.push_back(
        {i, 1, entry_kind::kCommand, Payload(kPayloadBytes)});
  }
  const std::string file = EncodeLogFile(1, contents);
  for (auto _ : state) {
    log_recovery recovery = RecoverLog(file, 1, file.size());
    consensus_member member({}, std::move(recovery.log), time_point{});
    benchmark::DoNotOptimize(member.last_index());
  }
  state.counters["file_bytes"] = static_cast<double>(file.size());
}
BENCHMARK(Restart)
    ->ArgsProduct({{100, 1000, 10000}, {0, 1}})
    ->ArgNames({"changes", "compacted"})
    ->Unit(benchmark::kMicrosecond);

void CatchUpOfNewMember(benchmark::State& state) {
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  duration virtual_time{0};
  for (auto _ : state) {
    state.PauseTiming();
    auto group = std::make_unique<local_group>(3, 1, state.range(1) != 0);
    const shared_body payload = Payload(kPayloadBytes);
    for (int i = 0; i < state.range(0); ++i) group->Propose(payload);
    group->Run(std::chrono::seconds(1));
    bytes = group->bytes();
    messages = group->messages();
    const time_point start = group->now();
    state.ResumeTiming();
    if (!group->CatchUp()) state.SkipWithError("the learner did not catch up");
    state.PauseTiming();
    bytes = group->bytes() - bytes;
    messages = group->messages() - messages;
    virtual_time = group->now() - start;
    group.reset();
    state.ResumeTiming();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["messages"] = static_cast<double>(messages);
  state.counters["virtual_ms"] =
      static_cast<double>(virtual_time.count()) / 1000;
}
BENCHMARK(CatchUpOfNewMember)
    ->ArgsProduct({{100, 1000, 10000}, {0, 1}})
    ->ArgNames({"changes", "compacted"})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(5);

// Processor time of all members together for one committed change.
void ProposeToCommit(benchmark::State& state) {
  local_group group(static_cast<std::size_t>(state.range(0)), 0, true);
  const shared_body payload = Payload(kPayloadBytes);
  const log_index before = group.leader().commit_index();
  const std::uint64_t bytes = group.bytes();
  const std::uint64_t messages = group.messages();
  for (auto _ : state) group.Propose(payload);
  const auto commits =
      static_cast<double>(group.leader().commit_index() - before);
  if (commits < static_cast<double>(state.iterations())) {
    state.SkipWithError("a proposal was not committed");
  }
  state.counters["messages_per_commit"] =
      static_cast<double>(group.messages() - messages) / commits;
  state.counters["bytes_per_commit"] =
      static_cast<double>(group.bytes() - bytes) / commits;
}
BENCHMARK(ProposeToCommit)
    ->Arg(3)
    ->Arg(5)
    ->Arg(7)
    ->ArgName("voters")
    ->Unit(benchmark::kMicrosecond);

// Bytes that an idle group sends. The traffic of a follower is its share of the
// leader's traffic.
void Heartbeats(benchmark::State& state) {
  const auto voters = static_cast<std::size_t>(state.range(0));
  local_group group(voters, 0, true);
  group.Run(std::chrono::seconds(1));
  const std::uint64_t bytes = group.bytes();
  const time_point start = group.now();
  for (auto _ : state) group.Run(std::chrono::seconds(1));
  const double seconds =
      std::chrono::duration<double>(group.now() - start).count();
  const double rate = static_cast<double>(group.bytes() - bytes) / seconds;
  state.counters["group_bytes_per_s"] = rate;
  state.counters["follower_bytes_per_s"] =
      rate / static_cast<double>(voters - 1);
}
BENCHMARK(Heartbeats)
    ->Arg(3)
    ->Arg(5)
    ->Arg(7)
    ->ArgName("voters")
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bilberrycourse
