#include "bilberrycourse/route_config.h"

#include <gtest/gtest.h>

#include <functional>

#include "bilberrycourse/top_records.h"

namespace bilberrycourse {
namespace {

class route_config_test : public ::testing::Test {
 protected:
  static route_config Valid() {
    route_config config;
    config.version = 3;
    for (const char* name : {"a", "b", "c"}) {
      config.services[name] = {name, "/health", 26};
    }
    config.routes = {Single("wide", "/"), Single("narrow", "/lots/red/")};
    route shards = Single("shards", "/lots/");
    shards.backends.clear();
    shards.shards = {"a", "b", "c"};
    shards.top_records = 5;
    shards.min_coverage = 0.6;
    config.routes.push_back(shards);
    return config;
  }

  static route Single(const std::string& name, const std::string& prefix) {
    route out;
    out.name = name;
    out.host = "shop.example";
    out.path_prefix = prefix;
    out.idempotent = true;
    out.timeout = std::chrono::seconds(1);
    out.backends = {{"a", 1}};
    return out;
  }
};

// Guards against matches of a shorter prefix, of a part of a path segment, or
// of another host.
TEST_F(route_config_test, Match_Table_LongestPrefixOfTheHostWins) {
  const route_table table(std::make_shared<const route_config>(Valid()));
  const struct {
    const char* host;
    const char* path;
    const char* expected;
  } cases[] = {
      {"shop.example", "/", "wide"},
      {"shop.example", "/lots", "wide"},
      {"shop.example", "/lots/", "shards"},
      {"shop.example", "/lots/blue/7", "shards"},
      {"shop.example", "/lots/red", "shards"},
      {"shop.example", "/lots/red/7", "narrow"},
      {"shop.example", "/lots/redder/7", "shards"},
      {"other.example", "/lots/red/7", ""},
      {"shop.example", "", ""},
      {"shop.example", "*", ""},
  };
  for (const auto& test_case : cases) {
    const route* match = table.Match(test_case.host, test_case.path);
    EXPECT_EQ(match == nullptr ? "" : match->name, test_case.expected)
        << test_case.host << test_case.path;
  }
}

TEST_F(route_config_test, Check_ValidDocument_IsOk) {
  std::string problem;
  EXPECT_EQ(CheckRouteConfig(Valid(), &problem), result_code::kOk) << problem;
}

// Guards against accepting invalid configurations.
TEST_F(route_config_test, Check_EachFault_IsRefusedWithItsReason) {
  const struct {
    const char* reason;
    std::function<void(route_config*)> spoil;
  } cases[] = {
      {"unknown service z",
       [](route_config* c) { c->routes[0].backends[0].service = "z"; }},
      {"unknown service z",
       [](route_config* c) { c->routes[2].shards[1] = "z"; }},
      {"shard a twice", [](route_config* c) { c->routes[2].shards[1] = "a"; }},
      {"host and prefix of another route",
       [](route_config* c) { c->routes[1].path_prefix = "/"; }},
      {"add up to 0",
       [](route_config* c) {
         c->routes[0].backends = {{"a", 0}, {"b", 0}};
       }},
      {"timeout of 0",
       [](route_config* c) { c->routes[0].timeout = duration{0}; }},
      {"slash", [](route_config* c) { c->routes[0].path_prefix = "/x"; }},
      {"slash", [](route_config* c) { c->routes[0].path_prefix = ""; }},
      {"no attempt", [](route_config* c) { c->routes[0].max_attempts = 0; }},
      {"either backends or shards",
       [](route_config* c) { c->routes[0].backends.clear(); }},
      {"not idempotent",
       [](route_config* c) { c->routes[2].idempotent = false; }},
      {"has no name", [](route_config* c) { c->accounts.resize(1); }},
  };
  for (const auto& test_case : cases) {
    route_config config = Valid();
    test_case.spoil(&config);
    std::string problem;
    EXPECT_EQ(CheckRouteConfig(config, &problem),
              result_code::kInvalidDocument);
    EXPECT_NE(problem.find(test_case.reason), std::string::npos) << problem;
  }
}

// Guards against records that are compared as signed bytes, cut short, or
// dropped because they are equal.
TEST(top_records_test, TopRecords_AnyParts_GivesGreatestFirst) {
  const std::string low(kRecordBytes, '\x01');
  const std::string high(kRecordBytes, '\xff');
  const std::string middle(kRecordBytes, 'a');
  const std::string first = low + high;
  const std::string second = middle + high + "rest";
  EXPECT_EQ(TopRecords({first, second}, 3), high + high + middle);
  EXPECT_EQ(TopRecords({first, second}, 10), high + high + middle + low);
  EXPECT_EQ(TopRecords({}, 10), "");
  EXPECT_EQ(TopRecords({"short"}, 10), "");
}

}  // namespace
}  // namespace bilberrycourse
