#include "bilberrycourse/config_check/config_check.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <limits>

#include "bilberrycourse/config_check/config_difference.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "3f9ab2c7d1e8";

constexpr server_config_check kChecks[] = {CheckRouteConfig};

// A configuration without findings.
route_config CleanConfig() {
  route_config config;
  config.services["desk"] = {"desk", "/health", 10};
  config.services["shop"] = {"shop", "/health", 10};
  route look;
  look.name = "look";
  look.host = "h";
  look.path_prefix = "/look/";
  look.idempotent = true;
  look.timeout = milliseconds(1000);
  look.latency_objective = milliseconds(100);
  look.max_attempts = 2;
  look.backends = {{"desk", 1}, {"shop", 3}};
  config.routes = {look};
  config.accounts = {{"alba", {kKey}, 5, 10, {}}};
  return config;
}

std::vector<config_finding> Check(const route_config& config) {
  return CheckConfig(config, kChecks, {});
}

struct finding_case {
  finding_kind kind;
  const char* subject;
  std::function<void(route_config&)> change;
};

const finding_case kCases[] = {
    {finding_kind::kRefused, "route look",
     [](route_config& c) { c.routes[0].backends[0].service = "none"; }},
    {finding_kind::kRefused, "route look",
     [](route_config& c) { c.routes[0].max_attempts = 0; }},
    {finding_kind::kRefused, "accounts",
     [](route_config& c) { c.accounts[0].name.clear(); }},
    {finding_kind::kShadowedRoute, "route second",
     [](route_config& c) {
       c.routes.push_back(c.routes[0]);
       c.routes[1].name = "second";
     }},
    {finding_kind::kZeroWeight, "route look",
     [](route_config& c) { c.routes[0].backends[0].weight = 0; }},
    {finding_kind::kNoKeys, "account alba",
     [](route_config& c) { c.accounts[0].keys.clear(); }},
    {finding_kind::kQuotaBelowOneRequest, "account alba",
     [](route_config& c) {
       c.accounts[0].requests_per_second = 0.1;
       c.accounts[0].burst = 0.4;
     }},
    {finding_kind::kObjectiveAboveTimeout, "route look",
     [](route_config& c) {
       c.routes[0].latency_objective = milliseconds(1001);
     }},
    {finding_kind::kCoverageOutOfRange, "route look",
     [](route_config& c) { c.routes[0].min_coverage = 1.01; }},
    {finding_kind::kCoverageOutOfRange, "route look",
     [](route_config& c) {
       c.routes[0].min_coverage = std::numeric_limits<double>::quiet_NaN();
     }},
    {finding_kind::kTooManyAttempts, "route look",
     [](route_config& c) { c.routes[0].max_attempts = 17; }},
    {finding_kind::kBurstBelowOne, "account alba",
     [](route_config& c) { c.accounts[0].burst = 0.9; }},
};

// Guards against a mistake that is found only once the configuration is in
// force, and against a finding that does not name its entry.
TEST(config_check_test, CheckConfig_EachMistake_IsFound) {
  EXPECT_TRUE(Check(CleanConfig()).empty());
  for (const finding_case& row : kCases) {
    route_config config = CleanConfig();
    row.change(config);
    const auto findings = Check(config);
    const std::string name(Describe(row.kind).name);
    const auto found =
        std::ranges::find(findings, row.kind, &config_finding::kind);
    ASSERT_NE(found, findings.end()) << name;
    EXPECT_EQ(found->subject, row.subject) << name;
    EXPECT_FALSE(found->detail.empty()) << name;
    const bool refused =
        std::ranges::any_of(kChecks, [&](const server_config_check check) {
          std::string problem;
          return check(config, &problem) != result_code::kOk;
        });
    EXPECT_EQ(Describe(findings[0].kind).severity == finding_severity::kError,
              refused)
        << name;
  }
}

// Guards against values at the edge of what is allowed that are reported.
TEST(config_check_test, CheckConfig_ValuesAtLimits_NoFinding) {
  route_config config = CleanConfig();
  config.routes[0].latency_objective = config.routes[0].timeout;
  config.routes[0].min_coverage = 1;
  config.routes[0].max_attempts = 16;
  config.accounts[0].burst = 1;
  config.accounts.push_back({"beta", {"other"}, 0, 0, {}});
  EXPECT_TRUE(Check(config).empty());
}

// Guards against a check that ends at the first error, so that the next one is
// found only after the first is corrected.
TEST(config_check_test, CheckConfig_ManyMistakes_AllFoundErrorsFirst) {
  route_config config = CleanConfig();
  config.routes.push_back(config.routes[0]);
  config.routes[0].timeout = config.routes[1].timeout = duration{0};
  config.accounts[0].name.clear();
  const auto findings = Check(config);
  std::vector<finding_kind> kinds;
  for (const config_finding& finding : findings) kinds.push_back(finding.kind);
  using enum finding_kind;
  EXPECT_EQ(kinds, (std::vector<finding_kind>{
                       kRefused, kRefused, kRefused, kShadowedRoute,
                       kObjectiveAboveTimeout, kObjectiveAboveTimeout}));
}

// Guards against a change that the operator does not see, and against a key
// that is printed.
TEST(config_difference_test, CompareConfigs_EachChange_IsListedByName) {
  const route_config before = CleanConfig();
  EXPECT_TRUE(CompareConfigs(before, before).empty());
  route_config after = before;
  after.routes[0].timeout = milliseconds(1500);
  after.routes.push_back(after.routes[0]);
  after.services.erase("shop");
  // The characters that are shown stay the same.
  after.accounts[0].keys = {"3f9a-new", "abc"};
  after.limits.max_body_bytes = 1;
  std::string text;
  for (const config_change& change : CompareConfigs(before, after)) {
    text.append(NameOf(change.kind)).append(" ").append(NameOf(change.entry));
    text += " " + change.name;
    for (const config_field_change& field : change.fields) {
      text += " " + std::string(field.field) + "[" + field.before + ">" +
              field.after + "]";
    }
    text += "\n";
  }
  EXPECT_EQ(text,
            "changed route look timeout[1000 ms>1500 ms]\n"
            "added route look (2)\n"
            "removed service shop\n"
            "changed account alba keys[3f9a...>3f9a..., a...]\n"
            "changed limits  max_body_bytes[262144>1]\n");
}

}  // namespace
}  // namespace bilberrycourse
