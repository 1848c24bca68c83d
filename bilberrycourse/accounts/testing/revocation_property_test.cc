#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "bilberrycourse/accounts/authenticator.h"
#include "bilberrycourse/accounts/bearer_key.h"
#include "bilberrycourse/testing/route_engine_rig.h"
#include "rapidcheck.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

// An entry instance whose only key is revoked at some time. Each step is an
// event and its argument.
class revocation_simulation {
 public:
  explicit revocation_simulation(const authenticator_options& options)
      : decisions_(options), lease_(LeaseOptions(options)) {
    rig_.AddRoute("r", 0, true, 4);
    for (const char* id : {"i1", "i2", "i3"}) rig_.AddSearcher("r", id);
    lease_.OnApplied(1);
  }

  void Step(std::uint8_t event, int argument) {
    switch (event % 8) {
      case 0:
        if (!acknowledged_.has_value()) acknowledged_ = rig_.now;
        return;
      case 1:
        return Confirm(milliseconds(argument * 4));
      case 2:
      case 3:
        return Request();
      case 4:
        rig_.Advance(milliseconds(argument * 10));
        return;
      case 5:
        // Frozen: no timer is handled before the next event.
        rig_.now += milliseconds(argument * 40);
        return;
      case 6:
        rig_.connect = argument % 2 == 0;
        effects_.clear();
        rig_.Execute(&effects_);
        return;
      default:
        if (!rig_.sends.empty()) rig_.Shed(rig_.sends.back());
    }
  }

  // Returns how long after the acknowledgement the last attempt started.
  duration Lateness() const {
    duration latest{0};
    for (const auto& sent : rig_.sends) {
      if (acknowledged_.has_value()) {
        latest = std::max(latest, sent.at - *acknowledged_);
      }
    }
    return latest;
  }
  std::size_t sends() const { return rig_.sends.size(); }

 private:
  // A member answers a poll with what was the newest configuration `age` ago.
  void Confirm(duration age) {
    const time_point known_at = rig_.now - age;
    const bool revoked = acknowledged_.has_value() && *acknowledged_ < known_at;
    if (revoked) lease_.OnApplied(2);
    lease_.OnConfirmed(rig_.now, age, revoked ? 2 : 1);
  }

  void Request() {
    const account_index& index =
        lease_.applied_version() == 2 ? revoked_ : granted_;
    const authentication sender =
        decisions_.Check(index, route(), {"Bearer k"}, lease_, rig_.now);
    if (sender.code != result_code::kOk) return;
    route_call call;
    call.id = route_request_id{++last_id_};
    call.table = rig_.table;
    call.matched_route = &rig_.table->config().routes.front();
    call.sent_at = rig_.now;
    call.time_left = std::chrono::seconds(60);
    if (sender.last_start.has_value()) call.EndBy(*sender.last_start, rig_.now);
    effects_.clear();
    rig_.engine.Begin(std::move(call), rig_.now, &effects_);
    rig_.Execute(&effects_);
  }

  route_engine_rig rig_;
  authenticator decisions_;
  control_lease lease_;
  std::vector<client_account> accounts_ = {{"a", {"k"}, 0, 0, {}}};
  account_index granted_{accounts_, 1};
  // Without any account no key would be needed.
  std::vector<client_account> without_key_ = {{"a", {}, 0, 0, {}}};
  account_index revoked_{without_key_, 1};
  route_effects effects_;
  std::uint64_t last_id_ = 0;
  std::optional<time_point> acknowledged_;
};

using step = std::array<std::uint8_t, 2>;

// Guards against an attempt that starts later than the bound after its key was
// revoked: first attempts, attempts that waited for a connection, and retries.
TEST(revocation_property_test, Attempts_AnySequence_StartWithinBound) {
  authenticator_options strict;
  strict.strict_revocation = true;
  std::size_t sends = 0;
  EXPECT_TRUE(rc::check([&](const std::vector<step>& steps) {
    revocation_simulation simulation(strict);
    for (const step& s : steps) simulation.Step(s[0], s[1]);
    sends += simulation.sends();
    RC_ASSERT(simulation.Lateness() <= strict.revoke);
  }));
  // The sequences must reach the searchers.
  EXPECT_GT(sends, 100u);
}

// Guards against the property holding whatever the authenticator decides.
TEST(revocation_property_test, Attempts_WithoutStrictRevocation_ExceedBound) {
  revocation_simulation simulation({});
  for (const step& s : std::vector<step>{{1, 0}, {0, 0}, {5, 150}, {2, 0}}) {
    simulation.Step(s[0], s[1]);
  }
  EXPECT_GT(simulation.Lateness(), std::chrono::seconds(5));
}

// Guards against bytes that break the reader, or that it takes for a key which
// no configuration may contain.
TEST(bearer_key_property_test, ReadBearerKey_AnyBytes_KeyIsValidOrNone) {
  EXPECT_TRUE(rc::check([](const std::string& tail, bool scheme) {
    const std::vector<std::string> fields = {(scheme ? "Bearer " : "") + tail};
    const auto key = ReadBearerKey(fields);
    if (!key.has_value()) return;
    std::string problem;
    RC_ASSERT(key->size() > kMaxAccountKeyBytes ||
              CheckAccounts({{"a", {std::string(*key)}, 0, 0, {}}}, &problem) ==
                  result_code::kOk);
    RC_ASSERT(fields[0].ends_with(*key));
  }));
}

}  // namespace
}  // namespace bilberrycourse
