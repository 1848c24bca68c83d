#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <vector>

#include "bilberrycourse/control_lease.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/testing/control_oracle.h"
#include "rapidcheck.h"

namespace bilberrycourse {
namespace {

// One step of a sequence. Each field is taken modulo the number of choices, so
// that every sequence is valid and shrinks well.
using step = std::array<std::uint8_t, 6>;
using steps = std::vector<step>;

constexpr wall_time_ms kHour = 3600 * 1000;
constexpr wall_time_ms kStart = 480000 * kHour;
constexpr std::array<wall_time_ms, 10> kClockSteps = {
    0, 0, 0, 1, 1000, kHour, 24 * kHour, 72 * kHour, -kHour, -30 * kHour};

struct sample_document {
  const char* text;
  int content;
};
constexpr std::array<sample_document, 5> kDocuments = {{
    {"{}", 0},
    {R"({"services":{"a":{}}})", 1},
    {R"({ "services": {"a": { }} })", 1},
    {R"({"services":{"b":{}}})", 2},
    {R"({"unknown":1})", -1},
}};

// Applies a sequence to a control_state, to a second control_state that is
// reloaded from snapshots, and to the oracle. Also simulates the origins: a run
// executes at most once, only on kRun, and never after its origin has proposed
// to abandon it.
class simulation {
 public:
  // Without the oracle only the guarantees to callers are checked.
  explicit simulation(control_fault fault, bool use_oracle = true)
      : use_oracle_(use_oracle) {
    options_.fault = fault;
    options_.max_abandoned_runs = 1000;
    state_ = control_state(options_);
    reloaded_ = control_state(options_);
  }

  // Returns the first failed check, or an empty string.
  std::string Run(const steps& sequence) {
    for (const step& s : sequence) {
      wall_ += kClockSteps[s[0] % kClockSteps.size()];
      RunStep(s);
      if (!problem_.empty()) return problem_;
    }
    if (state_.SaveSnapshot() != reloaded_.SaveSnapshot()) {
      return "members differ";
    }
    return {};
  }

 private:
  void RunStep(const step& s) {
    switch (s[1] % 12) {
      case 0:
        reloaded_ = control_state(options_);
        Check(reloaded_.LoadSnapshot(state_.SaveSnapshot()), "reload");
        break;
      case 1:
        if (!sent_commands_.empty())
          Send(sent_commands_[s[2] % sent_commands_.size()]);
        break;
      case 2:
      case 3: {
        // Base versions around the current one simulate concurrent changes.
        const std::uint64_t base = oracle_.version() + (s[3] % 4 == 3 ? 1 : 0) -
                                   (s[3] % 4 == 2 ? 1 : 0);
        Send(config_change{"id" + std::to_string(s[2] % 12), base, "kim", "r",
                           kDocuments[s[4] % kDocuments.size()].text});
        break;
      }
      case 4:
        Send(shard_set_record{"s", index_version{s[2] % 12u}, 1 + s[3] % 2u});
        break;
      case 5:
      case 6:
      case 7:
        Send(Begin(s));
        break;
      case 8:
        Send(request_finish{"app", Key(s), Run(s), result_code::kOk,
                            "answer" + std::to_string(s[4] % 3)});
        break;
      case 10:
        // Versions are concurrent, repeated or delayed, also with other
        // content.
        Send(route_document{s[2] % 24u, "routes" + std::to_string(s[3] % 4)});
        break;
      case 11: {
        searcher_report report;
        report.id = "i" + std::to_string(s[2] % 4);
        report.service = "s" + std::to_string(s[3] % 2);
        report.address = "10.0.0." + std::to_string(s[4] % 3) + ":80";
        report.state = static_cast<searcher_state>(s[5] % 3);
        report.started_at_ms = 1 + s[3] % 5;
        report.sequence = s[4] % 7;
        Send(searcher_reports{{report}});
        break;
      }
      default:
        // An origin that executed a run never abandons it.
        if (!executed_runs_.contains({Key(s), Run(s).run_id})) {
          Begin(s);
          abandoned_runs_.insert({Key(s), Run(s).run_id});
          Send(request_abandon{"app", Key(s), Run(s)});
        }
    }
  }

  static std::string Key(const step& s) {
    return "k" + std::to_string(s[2] % 3);
  }
  // Origins never reuse a run id, so later steps use other ids.
  request_run Run(const step& s) const {
    return {"e1", 1 + s[3] % 6 + 6 * (sent_commands_.size() / 40)};
  }

  // Returns the request_begin of a run. It is created when the run first
  // appears and may be sent at any later time.
  const request_begin& Begin(const step& s) {
    const std::pair run(Key(s), Run(s).run_id);
    const auto known = begin_by_run_.find(run);
    return known != begin_by_run_.end() ? known->second
                                        : begin_by_run_[run] = NewBegin(s);
  }

  request_begin NewBegin(const step& s) {
    const wall_time_ms now = std::max(oracle_.now(), wall_);
    const wall_time_ms first =
        first_issue_time_.try_emplace(Key(s), now).first->second;
    const std::array<wall_time_ms, 6> issued = {
        first, first, first, now, now - 72 * kHour, now + kHour / 12 + 1};
    return {"app",
            Key(s),
            Run(s),
            "orders",
            s[4] % 8 == 0 ? 2u : 1u,
            issued[s[5] % issued.size()],
            500,
            false,
            false};
  }

  void Send(control_command command) {
    sent_commands_.push_back(command);
    oracle_.Advance(wall_);
    const std::uint64_t index = state_.applied_index() + 1;
    const std::uint64_t version_before = state_.config_version();
    const auto outcome = state_.Apply(index, wall_, EncodeCommand(command));
    Check(reloaded_.Apply(index, wall_, command) == outcome, "determinism");
    const auto expected =
        std::visit([this](const auto& c) { return Expect(c); }, command);
    const control_oracle::expected_outcome seen{outcome.code, outcome.version,
                                                outcome.decision,
                                                outcome.recorded_answer};
    Check(seen == expected || !use_oracle_, "outcome");
    const std::uint64_t version = state_.config_version();
    Check(version == version_before || version == version_before + 1,
          "version step");
    Check(state_.routes() == oracle_.routes() || !use_oracle_, "routes");
    Check(reloaded_.routes() == state_.routes(), "routes after reload");
    Check(version == oracle_.version() || !use_oracle_, "version");
    Check(reloaded_.config_version() == version, "version after reload");
    Check(!use_oracle_ || state_.document().text() ==
                              (oracle_.content() == 1   ? kDocuments[1].text
                               : oracle_.content() == 2 ? kDocuments[3].text
                                                        : "{}"),
          "document");
    if (const auto* begin = std::get_if<request_begin>(&command);
        begin != nullptr && outcome.decision == request_decision::kRun) {
      Execute(*begin);
    }
  }

  void Execute(const request_begin& begin) {
    const std::pair run(begin.key, begin.run.run_id);
    // An origin that answered `not_run` has proposed to abandon.
    Check(!abandoned_runs_.contains(run), "run after not_run");
    if (!executed_runs_.insert(run).second) return;
    // Another run may execute only for a request that was issued later, and
    // only after the record of the earlier run has expired.
    const auto [last, fresh] = last_executed_issue_time_.try_emplace(begin.key);
    Check(fresh || (begin.issued_at_ms > last->second &&
                    oracle_.now() - last->second >= 72 * kHour),
          "ran twice");
    last->second = std::max(last->second, begin.issued_at_ms);
  }

  control_oracle::expected_outcome Expect(const config_change& c) {
    for (const auto& document : kDocuments) {
      if (c.document == document.text) {
        return oracle_.Change(c.change_id, c.base_version, document.content);
      }
    }
    return {};
  }
  control_oracle::expected_outcome Expect(const shard_set_record& c) {
    return oracle_.ShardSet(static_cast<std::uint64_t>(c.version),
                            c.shard_count);
  }
  control_oracle::expected_outcome Expect(const request_begin& c) {
    return oracle_.Begin(c);
  }
  control_oracle::expected_outcome Expect(const request_finish& c) {
    return oracle_.Finish(c);
  }
  control_oracle::expected_outcome Expect(const request_abandon& c) {
    return oracle_.Abandon(c);
  }
  control_oracle::expected_outcome Expect(const route_document& c) {
    return oracle_.Routes(c);
  }
  control_oracle::expected_outcome Expect(const searcher_reports&) {
    return {};
  }
  control_oracle::expected_outcome Expect(const zone_evacuation&) { return {}; }
  control_oracle::expected_outcome Expect(const exception_add&) { return {}; }
  control_oracle::expected_outcome Expect(const exception_remove&) {
    return {};
  }

  void Check(bool holds, const char* what) {
    if (!holds && problem_.empty()) problem_ = what;
  }

  bool use_oracle_;
  control_state_options options_;
  control_state state_;
  control_state reloaded_;
  control_oracle oracle_;
  wall_time_ms wall_ = kStart;
  std::string problem_;
  std::vector<control_command> sent_commands_;
  std::map<std::pair<std::string, std::uint64_t>, request_begin> begin_by_run_;
  std::map<std::string, wall_time_ms> first_issue_time_;
  std::map<std::string, wall_time_ms> last_executed_issue_time_;
  std::set<std::pair<std::string, std::uint64_t>> executed_runs_;
  std::set<std::pair<std::string, std::uint64_t>> abandoned_runs_;
};

// Sanitizers make a sequence about six times slower, so fewer are run.
#if defined(__SANITIZE_ADDRESS__)
constexpr int kSequenceCount = 4000;
#else
constexpr int kSequenceCount = 20000;
#endif

rc::detail::TestParams Params(int max_success, int max_size) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  if (std::getenv("RC_PARAMS") == nullptr) params.seed = 20261204;
  params.maxSuccess = max_success;
  params.maxSize = max_size;
  return params;
}

void ExpectHolds(const rc::detail::TestResult& result) {
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << message.str();
}

// Guards against lost changes, changes accepted twice, versions that go down,
// second runs of a request and members that disagree, for racing, repeated
// and delayed commands, clocks that jump, and reloads at any point.
TEST(control_state_property_test, Apply_AnySequence_AgreesWithOracle) {
  ExpectHolds(rc::detail::checkTestable(
      [](const steps& sequence) {
        const std::string problem =
            simulation(control_fault::kNone).Run(sequence);
        if (!problem.empty()) RC_FAIL(problem);
      },
      rc::detail::TestMetadata{}, Params(kSequenceCount, 300)));
}

struct fault_case {
  control_fault fault;
  const char* name;
  // Failed check that shows that a guarantee to callers is broken, if any.
  const char* guarantee = "";
};

// Guards against checks that do not detect a faulty state machine.
TEST(control_state_property_test, Apply_DeliberateFault_IsDetected) {
  constexpr fault_case kFaults[] = {
      {control_fault::kAcceptStaleBase, "accept stale base"},
      {control_fault::kDropChangeIds, "drop change ids"},
      {control_fault::kDropChangeIdsInSnapshot, "drop ids in snapshot"},
      {control_fault::kAcceptReusedChangeId, "accept reused change id"},
      {control_fault::kRevertVersionOnReload, "revert version on reload"},
      {control_fault::kRunWhileRunning, "run while running", "ran twice"},
      {control_fault::kRunAfterFinish, "run after finish", "ran twice"},
      {control_fault::kFinishByAnyRun, "finish by any run"},
      {control_fault::kAbandonByAnyRun, "abandon by any run", "ran twice"},
      {control_fault::kIgnoreBodyHash, "ignore body hash"},
      {control_fault::kExpireLedgerEarly, "expire ledger early", "ran twice"},
      {control_fault::kAcceptExpiredKey, "accept expired key", "ran twice"},
      {control_fault::kDropAbandonedRuns, "drop abandoned runs",
       "run after not_run"},
      {control_fault::kAllowDecreasingClock, "allow decreasing clock"},
      {control_fault::kShardSetLastWins, "last shard set wins"},
      {control_fault::kAcceptOlderRoutes, "accept older routes"},
      {control_fault::kDropRoutesInSnapshot, "drop routes in snapshot"},
  };
  for (const auto& [fault, name, guarantee] : kFaults) {
    std::string problem;
    bool guarantee_broken = std::string_view(guarantee).empty();
    int runs = 0;
    while ((problem.empty() || !guarantee_broken) && runs < 2000) {
      const auto sequence = rc::gen::arbitrary<steps>()(
          rc::Random(static_cast<std::uint64_t>(++runs)), 300);
      if (problem.empty()) problem = simulation(fault).Run(sequence.value());
      guarantee_broken =
          guarantee_broken ||
          simulation(fault, false).Run(sequence.value()) == guarantee;
      // The same sequence passes without the fault.
      ASSERT_EQ(simulation(control_fault::kNone).Run(sequence.value()), "");
    }
    EXPECT_NE(problem, "") << name;
    EXPECT_TRUE(guarantee_broken) << name;
    std::cout << "fault: " << name << "; found within " << runs
              << " sequences as: " << problem << " " << guarantee << "\n";
  }
}

// Guards against a lease that is valid without a confirmation of an applied
// version in the last 2 s, and against an applied version that goes down.
TEST(control_state_property_test, Lease_AnyEvents_IsValidOnlyWhenConfirmed) {
  ExpectHolds(rc::detail::checkTestable(
      [](const steps& sequence) {
        control_lease lease;
        time_point now{};
        std::uint64_t applied = 0;
        // Times and versions of all confirmations.
        std::vector<std::pair<time_point, std::uint64_t>> seen;
        for (const step& s : sequence) {
          now += std::chrono::milliseconds(s[0] * 4);
          const duration age = std::chrono::milliseconds(s[1] * 8);
          const std::uint64_t version = applied + s[3] % 3;
          if (s[2] % 3 == 0) {
            RC_ASSERT(lease.OnApplied(version) == (version > applied));
            applied = std::max(applied, version);
          } else {
            s[2] % 3 == 1 ? lease.OnConfirmed(now, age, version)
                          : lease.OnRelayed(now, age, version);
            seen.emplace_back(now - age, version);
          }
          RC_ASSERT(lease.applied_version() == applied);
          const bool confirmed = std::ranges::any_of(seen, [&](const auto& c) {
            return c.second <= applied &&
                   c.first + std::chrono::milliseconds(1980) > now;
          });
          // A pending confirmation may be replaced by a newer one, so the lease
          // may end early, but never late.
          RC_ASSERT(confirmed || !lease.Valid(now));
        }
      },
      rc::detail::TestMetadata{}, Params(5000, 100)));
}

}  // namespace
}  // namespace bilberrycourse
