#include "bilberrycourse/accounts/authenticator.h"

#include <gtest/gtest.h>

#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

class authenticator_test : public ::testing::Test {
 protected:
  static time_point At(int ms) { return time_point(milliseconds(ms)); }
  static authenticator_options Strict() {
    authenticator_options options;
    options.strict_revocation = true;
    return options;
  }

  authentication Check(int ms, const std::string& key = "k1") const {
    return strict_.Check(index_, route_, {"Bearer " + key}, lease_, At(ms));
  }

  // Begins a request with k1 and a confirmation of this moment.
  authentication Begin(route_engine_rig* rig, std::vector<relay_group> relays) {
    lease_.OnConfirmed(rig->now, duration{0}, 0);
    const authentication sender =
        strict_.Check(index_, route_, {"Bearer k1"}, lease_, rig->now);
    route_call call;
    call.table = rig->table;
    call.matched_route = &rig->table->config().routes.front();
    call.sent_at = rig->now;
    call.time_left = std::chrono::hours(1);
    call.EndBy(*sender.last_start, rig->now);
    call.relays = std::move(relays);
    route_effects effects;
    rig->engine.Begin(std::move(call), rig->now, &effects);
    rig->Execute(&effects);
    return sender;
  }

  std::vector<client_account> accounts_ = {{"a", {"k1", "k2"}, 0, 0, 3},
                                           {"revoked", {}, 0, 0, {}}};
  account_index index_{accounts_, 17};
  // A configuration in which k1 is revoked.
  std::vector<client_account> later_accounts_ = {{"a", {"k2"}, 0, 0, 3}};
  account_index later_index_{later_accounts_, 18};
  route route_;
  authenticator strict_{Strict()};
  control_lease lease_{LeaseOptions(Strict())};
};

// Guards against a request that runs without a key, and against a 401 for a key
// that may be newer than the configuration.
TEST_F(authenticator_test, Check_Fields_AreAcceptedOrRefused) {
  constexpr result_code kUnknown = result_code::kUnknownKey;
  constexpr result_code kExpired = result_code::kControlLeaseExpired;
  const struct {
    std::vector<std::string> fields;
    int age_ms;
    result_code code;
  } cases[] = {
      {{"Bearer k1"}, 0, result_code::kOk},
      {{"bEARER   k2"}, 3600'000, result_code::kOk},
      {{}, 1500, kUnknown},
      {{}, 1501, kExpired},
      {{"Bearer k3"}, 1500, kUnknown},
      {{"Bearer k3"}, 1501, kExpired},
      {{"Bearer "}, 0, kUnknown},
      {{"Bearer"}, 0, kUnknown},
      {{"Bearerk1"}, 0, kUnknown},
      {{" Bearer k1"}, 0, kUnknown},
      {{"Bearer k1 "}, 0, kUnknown},
      {{"Bearer k1,k1"}, 0, kUnknown},
      {{"Basic k1"}, 0, kUnknown},
      {{"Bearer K1"}, 0, kUnknown},
      {{"Bearer k1", "Bearer k1"}, 0, kUnknown},
      {{"Bearer " + std::string(70'000, 'k')}, 0, kUnknown},
  };
  lease_.OnConfirmed(At(0), duration{0}, 0);
  for (const auto& test_case : cases) {
    const authentication result = authenticator().Check(
        index_, route_, test_case.fields, lease_, At(test_case.age_ms));
    EXPECT_EQ(result.code, test_case.code) << test_case.fields.size();
    EXPECT_EQ(result.account != nullptr, result.code == result_code::kOk);
    EXPECT_FALSE(result.last_start.has_value());
  }
  const account_index no_accounts({}, 0);
  EXPECT_EQ(strict_.Check(no_accounts, route_, {}, lease_, At(9000)).code,
            result_code::kOk);
  route_.is_public = true;
  const authentication open =
      strict_.Check(index_, route_, {"Bearer k1"}, lease_, At(9000));
  EXPECT_EQ(open.code, result_code::kOk);
  EXPECT_EQ(open.account, nullptr);
}

// Guards against an instance that is cut off from the control group and serves
// keys for longer than its lease, or refuses them after the next confirmation.
TEST_F(authenticator_test, Check_CutOff_RefusesUntilNextConfirmation) {
  lease_.OnConfirmed(At(500), milliseconds(500), 0);
  EXPECT_EQ(Check(3959).code, result_code::kOk);
  EXPECT_EQ(Check(3959).last_start, At(4750));
  EXPECT_EQ(Check(3960).code, result_code::kControlLeaseExpired);
  EXPECT_FALSE(strict_.MayServe(index_, lease_, At(3960)));
  lease_.OnConfirmed(At(3900), duration{0}, 0);
  EXPECT_EQ(Check(3960).code, result_code::kOk);
  EXPECT_TRUE(strict_.MayServe(index_, lease_, At(3960)));
}

// Guards against an answer without the shards of a relay that does not know a
// new key yet.
TEST_F(authenticator_test, OnRelayReport_KeyRefused_OriginSearchesShard) {
  route_engine_rig rig;
  rig.AddRoute("r", 2, true);
  rig.AddSearcher("r-0", "i0");
  rig.AddSearcher("r-1", "i1");
  Begin(&rig, {{"e2", {0}}});
  ASSERT_EQ(rig.relayed.size(), 1u);
  ASSERT_EQ(rig.sends.size(), 1u);
  shard_report report;
  report.failed = {{0, result_code::kControlLeaseExpired, true}};
  report.final = true;
  route_effects effects;
  rig.engine.OnRelayReport({}, 0, report, rig.now, &effects);
  rig.Execute(&effects);
  ASSERT_EQ(rig.sends.size(), 2u);
  EXPECT_EQ(rig.sends.back().searcher, "i0");
}

// Guards against a process that was frozen and, when it resumes, begins a
// request or sends an attempt before it handles its timers.
TEST_F(authenticator_test, LastStart_FrozenAndThawed_StartsNothing) {
  route_engine_rig rig;
  rig.AddRoute("r", 0, true);
  rig.connect = false;
  rig.AddSearcher("r", "i1");
  const authentication sender = Begin(&rig, {});
  rig.now += milliseconds(4750);
  EXPECT_FALSE(sender.MayBegin(rig.now));
  rig.connect = true;
  route_effects effects;
  rig.Execute(&effects);
  EXPECT_TRUE(rig.sends.empty());
  rig.Advance(milliseconds(1));
  EXPECT_EQ(rig.finished.size(), 1u);
}

// Guards against an instance that restarts with routes but without proof that
// they are the newest.
TEST_F(authenticator_test, Check_Restarted_RefusesBeforeFirstConfirmation) {
  EXPECT_TRUE(lease_.OnApplied(7));
  EXPECT_EQ(Check(0).code, result_code::kControlLeaseExpired);
  lease_.OnConfirmed(At(0), duration{0}, 8);
  EXPECT_EQ(Check(0).code, result_code::kControlLeaseExpired);
  EXPECT_TRUE(lease_.OnApplied(8));
  EXPECT_EQ(Check(0).code, result_code::kOk);
}

// Guards against a newer confirmation that extends the time of a request whose
// key it has revoked.
TEST_F(authenticator_test, Check_VersionChangesWhileWaiting_KeepsFirstLimit) {
  lease_.OnConfirmed(At(0), duration{0}, 0);
  const authentication waiting = Check(100);
  lease_.OnConfirmed(At(3000), duration{0}, 0);
  EXPECT_EQ(
      strict_.Check(later_index_, route_, {"Bearer k1"}, lease_, At(3000)).code,
      result_code::kUnknownKey);
  EXPECT_FALSE(waiting.MayBegin(At(3960)));
  EXPECT_EQ(waiting.last_start, At(4750));
}

// Guards against a relay that runs a request whose frame has waited in a link,
// by an old configuration or after the key was revoked.
TEST_F(authenticator_test, CheckRelayed_Relay_DecidesByItsOwnKnowledge) {
  const auto check = [&](const account_index& index, std::uint64_t digest) {
    return strict_.CheckRelayed(index, digest, lease_, At(1000));
  };
  const std::uint64_t digest = KeyDigest("a", "k1");
  EXPECT_EQ(check(index_, digest).code, result_code::kControlLeaseExpired);
  lease_.OnConfirmed(At(600), duration{0}, 0);
  EXPECT_EQ(Check(1000).key_digest, digest);
  EXPECT_EQ(check(index_, digest).last_start, At(5350));
  EXPECT_EQ(check(later_index_, digest).code,
            result_code::kControlLeaseExpired);
  EXPECT_EQ(check(later_index_, 0).code, result_code::kOk);
  EXPECT_NE(digest, KeyDigest("ak", "1"));
}

}  // namespace
}  // namespace bilberrycourse
