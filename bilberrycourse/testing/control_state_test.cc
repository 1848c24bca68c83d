#include "bilberrycourse/control_state.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr wall_time_ms kDay = 24LL * 3600 * 1000;
constexpr wall_time_ms kStart = 1000 * kDay;

class control_state_test : public ::testing::Test {
 protected:
  control_outcome Apply(const control_command& command) {
    return state_.Apply(state_.applied_index() + 1, now_,
                        EncodeCommand(command));
  }
  static config_change Change(std::string id, std::uint64_t base,
                              std::string document) {
    return {std::move(id), base, "kim", "tuning", std::move(document)};
  }
  request_begin Begin(std::uint64_t run) const {
    return {"app", "k1", {"entry-1", run}, "orders", 77, now_, 500,
            false, true};
  }
  static request_finish Finish(std::uint64_t run, result_code code) {
    return {"app", "k1", {"entry-1", run}, code, R"({"order":1})"};
  }
  static request_abandon Abandon(std::uint64_t run) {
    return {"app", "k1", {"entry-1", run}};
  }
  json::value Requests() {
    return json::parse(state_.RequestsView(0, now_)).at("requests");
  }

  control_state state_;
  wall_time_ms now_ = kStart;
};

// Guards against two accepted changes on one base version, and against a
// conflict that does not report the differences to merge.
TEST_F(control_state_test,
       ConfigChange_SameBaseVersion_SecondGetsConflictAndDifference) {
  EXPECT_EQ(Apply(Change("a", 0, R"({"services":{"s":{}}})")).version, 1u);
  const control_outcome lost = Apply(Change("b", 0, R"({"services":{}})"));
  EXPECT_EQ(lost.code, result_code::kVersionConflict);
  EXPECT_EQ(lost.version, 1u);
  const json::value detail = json::parse(lost.detail);
  EXPECT_EQ(detail.at("winner").at("change_id"), "a");
  EXPECT_EQ(detail.at("difference").at(0).at("path"), "/services/s");
  EXPECT_EQ(detail.at("changed_since_base").at(0).at("path"), "/services");
  EXPECT_EQ(state_.document().services(), (std::vector<std::string>{"s"}));
  EXPECT_EQ(json::parse(state_.HistoryView(9)).at("history").at(0).at("reason"),
            "tuning");
}

// Guards against a resent change that is applied twice or returns another
// outcome.
TEST_F(control_state_test, ConfigChange_SentAgain_ReturnsFirstOutcomeFor7Days) {
  const auto change = Change("a", 0, R"({"services": {"s": {}}})");
  const control_outcome first = Apply(change);
  EXPECT_EQ(Apply(Change("x", 1, "{}")).version, 2u);
  now_ += 7 * kDay - 1;
  EXPECT_EQ(Apply(Change("a", 0, R"({"services":{"s":{}}})")), first);
  const control_outcome other = Apply(Change("a", 2, "{}"));
  EXPECT_EQ(other.code, result_code::kChangeIdReused);
  EXPECT_EQ(other.version, 1u);
  now_ += 1;
  EXPECT_EQ(Apply(change).code, result_code::kVersionConflict);
  EXPECT_EQ(state_.config_version(), 2u);
}

// Guards against accepting changes without a reason, with an invalid document
// or without an id.
TEST_F(control_state_test, ConfigChange_Invalid_IsRefusedWithoutEffect) {
  auto change = Change("a", 0, "{}");
  change.reason = "  ";
  EXPECT_EQ(Apply(change).code, result_code::kReasonMissing);
  EXPECT_EQ(Apply(Change("", 0, "{}")).code, result_code::kInvalidField);
  const control_outcome invalid = Apply(Change("b", 0, R"({"x":1})"));
  EXPECT_EQ(invalid.code, result_code::kInvalidDocument);
  EXPECT_EQ(json::parse(invalid.detail).at("errors").at(0).at("path"), "/x");
  EXPECT_EQ(state_.Apply(9, now_, "not a command").code,
            result_code::kMalformedRequest);
  EXPECT_EQ(state_.Apply(9, now_, Change("c", 0, "{}")).code,
            result_code::kInternal);
  EXPECT_EQ(state_.config_version(), 0u);
}

// Guards against exceptions that bypass the version check, the reason or the
// history.
TEST_F(control_state_test, Exceptions_AddAndRemove_AreChangesOfTheDocument) {
  exception_add add{"a", {}, {"e1", "app", "audit", "kim", {}, 2.0, {}}};
  EXPECT_EQ(Apply(add).version, 1u);
  EXPECT_EQ(Apply(add).version, 1u);
  EXPECT_EQ(state_.document().CallerPolicyAt("app", now_).caller_weight, 2.0);
  add.change_id = "b";
  EXPECT_EQ(Apply(add).code, result_code::kInvalidDocument);
  exception_remove remove{"c", 7, "e1", "kim", "audit over"};
  EXPECT_EQ(Apply(remove).code, result_code::kVersionConflict);
  remove.change_id = "d";
  remove.base_version.reset();
  EXPECT_EQ(Apply(remove).version, 2u);
  remove.change_id = "e";
  EXPECT_EQ(Apply(remove).code, result_code::kUnknownException);
  EXPECT_EQ(state_.history().back().reason, "audit over");
  EXPECT_EQ(state_.document().text(), "{}");
}

// Guards against unbounded history.
TEST_F(control_state_test, History_ManyChanges_KeepsNewest200) {
  for (std::uint64_t i = 0; i < 250; ++i) {
    ASSERT_EQ(Apply(Change("c" + std::to_string(i), i, "{}")).version, i + 1);
  }
  EXPECT_EQ(state_.history().size(), 200u);
  EXPECT_EQ(state_.history().front().version, 51u);
}

// Guards against shard counts that change after the coverage of answers was
// computed from them.
TEST_F(control_state_test, ShardSets_FirstWins_KeepsNewest8) {
  const auto record = [this](std::uint64_t version, std::uint32_t count) {
    return Apply(shard_set_record{"s", index_version{version}, count}).code;
  };
  for (std::uint64_t v = 2; v <= 10; ++v) {
    EXPECT_EQ(record(v, 4), result_code::kOk);
  }
  EXPECT_EQ(record(5, 6), result_code::kShardCountConflict);
  EXPECT_EQ(record(5, 4), result_code::kOk);
  EXPECT_EQ(record(1, 4), result_code::kVersionGone);
  EXPECT_EQ(record(11, 0), result_code::kInvalidField);
  EXPECT_EQ(state_.ShardSets().size(), 8u);
  EXPECT_EQ(state_.ShardSets().front().version, index_version{3});
  EXPECT_EQ(state_.published_version(), 9u);
}

// Guards against a second run of a request that was executed or may be running.
TEST_F(control_state_test, Ledger_RepeatedKey_RunsAtMostOnce) {
  EXPECT_EQ(Apply(Begin(1)).decision, request_decision::kRun);
  EXPECT_EQ(Apply(Begin(1)).decision, request_decision::kRun);
  EXPECT_EQ(Apply(Begin(2)).decision, request_decision::kWait);
  EXPECT_EQ(Apply(Finish(2, result_code::kOk)).code, result_code::kCancelled);
  EXPECT_EQ(Requests().at(0).at("state"), "running");
  EXPECT_EQ(Apply(Finish(1, result_code::kOk)).code, result_code::kOk);
  EXPECT_EQ(Apply(Abandon(1)).code, result_code::kCancelled);
  const control_outcome repeat = Apply(Begin(3));
  EXPECT_EQ(repeat.decision, request_decision::kRecorded);
  EXPECT_EQ(repeat.recorded_answer, R"({"order":1})");
  EXPECT_EQ(Requests().at(0).at("state"), "answered");
  auto other = Begin(4);
  other.body_hash = 78;
  EXPECT_EQ(Apply(other).code, result_code::kIdempotencyKeyReused);
}

// Guards against an abandoned run that is accepted later, or that blocks a new
// run.
TEST_F(control_state_test, Ledger_Abandoned_OnlyANewRunMayBegin) {
  EXPECT_EQ(Apply(Abandon(1)).code, result_code::kOk);
  EXPECT_TRUE(Requests().as_array().empty());
  EXPECT_EQ(Apply(Begin(1)).code, result_code::kCancelled);
  EXPECT_EQ(Apply(Begin(2)).decision, request_decision::kRun);
  EXPECT_EQ(Apply(Abandon(2)).code, result_code::kOk);
  EXPECT_EQ(Requests().at(0).at("state"), "unanswered");
  EXPECT_EQ(Requests().at(0).at("not_run"), true);
  EXPECT_EQ(Apply(Begin(2)).code, result_code::kCancelled);
  EXPECT_EQ(Apply(Begin(3)).decision, request_decision::kRun);
}

// Guards against requests without an outcome that are not marked in the view.
TEST_F(control_state_test, RequestsView_NoOutcome_IsMarked) {
  Apply(Begin(1));
  now_ += 500 + 5001;
  EXPECT_EQ(Requests().at(0).at("state"), "unanswered");
  EXPECT_EQ(Requests().at(0).at("not_run"), false);
  Apply(Finish(1, result_code::kOutcomeUnknown));
  EXPECT_EQ(Requests().at(0).at("state"), "unknown");
  EXPECT_TRUE(json::parse(state_.RequestsView(kStart + 1, now_))
                  .at("requests")
                  .as_array()
                  .empty());
}

// Guards against keys that are removed while a repeat is still accepted, and
// against a leader's clock that steps back.
TEST_F(control_state_test, Ledger_Retention_RefusesOldAndFutureKeys) {
  const auto first = Begin(1);
  Apply(first);
  Apply(Finish(1, result_code::kOk));
  now_ += 3 * kDay - 1;
  EXPECT_EQ(Apply(first).decision, request_decision::kRecorded);
  now_ += 1;
  EXPECT_EQ(Apply(first).code, result_code::kIdempotencyKeyExpired);
  EXPECT_EQ(state_.request_count(), 0u);
  now_ -= kDay;
  EXPECT_EQ(Apply(first).code, result_code::kIdempotencyKeyExpired);
  EXPECT_EQ(state_.now_ms(), now_ + kDay);
  auto future = first;
  future.issued_at_ms = state_.now_ms() + 5 * 60 * 1000 + 1;
  EXPECT_EQ(Apply(future).code, result_code::kIdempotencyKeyExpired);
}

// Guards against memory that grows beyond the limits, and against removing
// records to stay within them.
TEST_F(control_state_test, Ledger_Full_RefusesInsteadOfRemoving) {
  control_state_options options;
  options.max_requests = 1;
  options.max_answer_bytes = 4;
  state_ = control_state(options);
  Apply(Begin(1));
  Apply(Finish(1, result_code::kOk));
  const control_outcome repeat = Apply(Begin(2));
  EXPECT_EQ(repeat.decision, request_decision::kRecorded);
  EXPECT_TRUE(repeat.answer_omitted);
  auto second = Begin(3);
  second.key = "k2";
  EXPECT_EQ(Apply(second).code, result_code::kOverloaded);
}

// Guards against snapshots that lose state, and against damaged snapshots that
// crash a member or are accepted.
TEST_F(control_state_test, Snapshot_RoundTripAndDamage_IsExactOrRefused) {
  Apply(Change("a", 0, R"({"services":{"s":{}}})"));
  Apply(Change("b", 0, "{}"));
  Apply(shard_set_record{"s", index_version{3}, 4});
  Apply(Begin(1));
  Apply(Finish(1, result_code::kOk));
  const std::string bytes = state_.SaveSnapshot();
  control_state copy;
  ASSERT_TRUE(copy.LoadSnapshot(bytes));
  EXPECT_EQ(copy.SaveSnapshot(), bytes);
  EXPECT_EQ(copy.HistoryView(9), state_.HistoryView(9));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x41);
    EXPECT_FALSE(control_state().LoadSnapshot(damaged)) << i;
    EXPECT_FALSE(control_state().LoadSnapshot(bytes.substr(0, i))) << i;
  }
  Apply(Abandon(1));
  EXPECT_FALSE(state_.LoadSnapshot(bytes));

  const auto published = LoadPublished(copy.SavePublished());
  ASSERT_TRUE(published.has_value());
  EXPECT_EQ(published->config_version, 1u);
  EXPECT_EQ(published->document.text(), copy.document().text());
  EXPECT_EQ(published->shard_sets, copy.ShardSets());
  EXPECT_FALSE(LoadPublished(bytes).has_value());
}

// Guards against crashes on damaged commands and against lost fields. Damage
// within a string is not detected here, but by the record checksums of the log.
TEST_F(control_state_test, DecodeCommand_DamagedBytes_NeverCrashes) {
  const control_command commands[] = {
      Change("a", 1, "{}"),
      exception_add{"a", 3, {"e", "c", "r", "k", 5, 2.0, duration(7)}},
      exception_remove{"a", {}, "e", "k", "r"},
      shard_set_record{"s", index_version{3}, 4},
      Begin(1),
      Finish(1, result_code::kDeadlineExceeded),
      Abandon(1)};
  std::size_t decoded = 0;
  for (const auto& command : commands) {
    const std::string bytes = EncodeCommand(command);
    const auto again = DecodeCommand(bytes);
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(EncodeCommand(*again), bytes);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      std::string damaged = bytes;
      damaged[i] = static_cast<char>(damaged[i] ^ 0xff);
      decoded += DecodeCommand(damaged).has_value() ? 1 : 0;
      EXPECT_FALSE(DecodeCommand(bytes.substr(0, i)).has_value() && i < 8);
    }
  }
  EXPECT_GT(decoded, 0u);
  control_outcome outcome = Apply(Change("z", 4, "{}"));
  outcome.decision = request_decision::kWait;
  EXPECT_EQ(DecodeOutcome(EncodeOutcome(outcome)), outcome);
  EXPECT_FALSE(DecodeOutcome("").has_value());
}

}  // namespace
}  // namespace bilberrycourse
