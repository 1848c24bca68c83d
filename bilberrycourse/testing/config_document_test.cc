#include "bilberrycourse/config_document.h"

#include <gtest/gtest.h>

#include <chrono>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

constexpr char kFull[] = R"({
  "groups": {"glaze": {"services": ["g2", "g1"], "least_coverage": 0.50}},
  "services": {"g1": {}, "g2": {"max_attempts": 2.0},
               "orders": {"idempotent": false, "default_deadline_ms": 700}},
  "exceptions": [
    {"id": "e2", "caller": "app-17", "reason": "audit", "author": "kim",
     "deadline_ms": 1500, "expires_ms": 1000},
    {"id": "e1", "caller": "app-17", "reason": "audit", "author": "kim",
     "caller_weight": 2}],
  "defaults": {"default_deadline_ms": 800, "hedge_quantile": 0.9}})";

config_document MustParse(std::string_view text) {
  std::vector<document_error> errors;
  auto document = ParseConfig(text, &errors);
  EXPECT_TRUE(document.has_value()) << errors.at(0).message;
  return document.value_or(config_document{});
}

// Guards against a service or group that does not inherit or override a field
// of the defaults.
TEST(config_document_test, FindPolicy_Inheritance_OwnFieldsOverDefaults) {
  const config_document document = MustParse(kFull);
  EXPECT_EQ(document.FindPolicy("g1")->default_deadline, milliseconds(800));
  EXPECT_EQ(document.FindPolicy("g2")->max_attempts, 2u);
  EXPECT_EQ(document.FindPolicy("orders")->default_deadline, milliseconds(700));
  EXPECT_FALSE(document.FindPolicy("orders")->idempotent);
  EXPECT_EQ(document.FindPolicy("glaze")->least_coverage, 0.5);
  EXPECT_EQ(document.FindPolicy("glaze")->hedge_quantile, 0.9);
  EXPECT_EQ(document.FindPolicy("other"), nullptr);
  EXPECT_EQ(document.ServicesOf("glaze"),
            (std::vector<std::string>{"g1", "g2"}));
  EXPECT_EQ(document.ServicesOf("g1"), (std::vector<std::string>{"g1"}));
  EXPECT_TRUE(document.ServicesOf("other").empty());
}

// Guards against two different texts of the same document, with which a change
// that is sent again would look like a new one.
TEST(config_document_test, Text_Canonical_IsStableAndSorted) {
  const config_document document = MustParse(kFull);
  EXPECT_EQ(
      document.text(),
      R"({"defaults":{"default_deadline_ms":800,"hedge_quantile":0.9},)"
      R"("exceptions":[{"author":"kim","caller":"app-17","caller_weight":2,)"
      R"("id":"e1","reason":"audit"},{"author":"kim","caller":"app-17",)"
      R"("deadline_ms":1500,"expires_ms":1000,"id":"e2","reason":"audit"}],)"
      R"("groups":{"glaze":{"least_coverage":0.5,"services":["g1","g2"]}},)"
      R"("services":{"g1":{},"g2":{"max_attempts":2},)"
      R"("orders":{"default_deadline_ms":700,"idempotent":false}}})");
  EXPECT_EQ(MustParse(document.text()).text(), document.text());
}

// Guards against exceptions that apply after their expiry or to other callers.
TEST(config_document_test, TreatmentOf_ExpiryAndCaller_AppliesOnlyValidOnes) {
  const config_document document = MustParse(kFull);
  const caller_policy before = document.CallerPolicyAt("app-17", 999);
  EXPECT_EQ(before.caller_weight, 2.0);
  EXPECT_EQ(before.deadline, milliseconds(1500));
  EXPECT_EQ(before.exception_ids, (std::vector<std::string>{"e1", "e2"}));
  const caller_policy after = document.CallerPolicyAt("app-17", 1000);
  EXPECT_EQ(after.deadline, std::nullopt);
  EXPECT_EQ(after.exception_ids, (std::vector<std::string>{"e1"}));
  EXPECT_TRUE(document.CallerPolicyAt("app-18", 0).exception_ids.empty());
}

// Guards against an edit of the document that loses an exception or fails to
// remove one.
TEST(config_document_test, TextWithException_AddAndRemove_RestoresDocument) {
  const config_document document = MustParse(kFull);
  config_exception added{"e3", "app-9", "load test", "lee", 2000, 0.5, {}};
  const config_document more = MustParse(document.TextWithException(added));
  ASSERT_EQ(more.exceptions().size(), 3u);
  EXPECT_EQ(more.exceptions().back(), added);
  EXPECT_EQ(MustParse(more.TextWithoutException("e3")).text(), document.text());
  std::vector<document_error> errors;
  EXPECT_EQ(ParseException(ExceptionText(added), &errors), added);
}

struct bad_document {
  const char* text;
  const char* path;
  const char* message;
};

// Guards against errors that pass validation or are reported without their path
// or the allowed values.
TEST(config_document_test, ParseConfig_BadDocument_NamesPathAndAllowed) {
  constexpr bad_document kBad[] = {
      {"", "", "not valid JSON at byte 0"},
      {"{} {}", "", "not valid JSON at byte 3"},
      {"[]", "", "has type array; allowed: an object"},
      {R"({"exceptions": [{"id": "e", "caller": "c", "author": "k",
          "reason": "\"}, {\\", "caller_weight": 2}],
          "services": {"a": {"canary": true, "canary": false}}})",
       "/services/a/canary", "is stated twice"},
      {R"({"exceptions": [
          {"id": "e", "caller": "c", "author": "k", "reason": "r",
           "caller_weight": 2},
          {"id": "f", "caller": "d", "author": "k", "reason": "r",
           "caller_weight": 2, "i\u0064": "g"}]})",
       "/exceptions/1/id", "is stated twice"},
      {R"({"service": {}})", "/service",
       "unknown key; allowed: defaults, exceptions, groups, services"},
      {R"({"defaults": {"a/b": 1}})", "/defaults/a~1b", "unknown key"},
      {R"({"services": {"a b": {}}})", "/services/a b", "is not a name"},
      {R"({"services": {"a": 1}})", "/services/a", "allowed: an object"},
      {R"({"defaults": {"max_attempts": 1.5}})", "/defaults/max_attempts",
       "is 1.5; allowed: whole numbers, 1 to 10"},
      {R"({"defaults": {"max_attempts": 11}})", "/defaults/max_attempts",
       "is 11; allowed: 1 to 10"},
      {R"({"defaults": {"idempotent": 1}})", "/defaults/idempotent",
       "has type number; allowed: true or false"},
      {R"({"defaults": {"canary_wait_ms": "5"}})", "/defaults/canary_wait_ms",
       "has type string; allowed: a number, 0 to 60000"},
      {R"({"defaults": {"default_deadline_ms": 20000}})",
       "/defaults/default_deadline_ms", "contradictory"},
      {R"({"services": {"a": {"max_deadline_ms": 5}}})",
       "/services/a/max_deadline_ms", "default_deadline_ms 1000 is above"},
      {R"({"services": {"a": {"idempotent": false, "hedging": true}}})",
       "/services/a/hedging", "never hedged"},
      {R"({"services": {"a": {"max_attempts": 1, "hedging": true}}})",
       "/services/a/hedging", "max_attempts is 1"},
      {R"({"groups": {"g": {}}})", "/groups/g/services", "is missing"},
      {R"({"groups": {"g": {"services": []}}})", "/groups/g/services",
       "is empty"},
      {R"({"groups": {"g": {"services": ["a"]}}})", "/groups/g/services/0",
       "unknown service a"},
      {R"({"services": {"a": {}}, "groups": {"g": {"services": ["a", "a"]}}})",
       "/groups/g/services/1", "listed twice"},
      {R"({"services": {"a": {}}, "groups": {"a": {"services": ["a"]}}})",
       "/groups/a", "a service has the same name"},
      {R"({"exceptions": [{"id": "e", "caller": "c", "author": "k",
          "caller_weight": 2}]})",
       "/exceptions/0/reason", "is missing"},
      {R"({"exceptions": [{"id": "e", "caller": "c", "author": " ",
          "reason": "r", "caller_weight": 2}]})",
       "/exceptions/0/author", "is blank"},
      {R"({"exceptions": [{"id": "e", "caller": "c", "author": "k",
          "reason": "r"}]})",
       "/exceptions/0", "at least one of caller_weight, deadline_ms"},
      {R"({"exceptions": [{"id": "e", "caller": "c", "author": "k",
          "reason": "r", "caller_weight": 2, "expires_ms": 1.5}]})",
       "/exceptions/0/expires_ms", "allowed: an integer"},
      {R"({"exceptions": [
          {"id": "e", "caller": "c", "author": "k", "reason": "r",
           "caller_weight": 2},
          {"id": "e", "caller": "d", "author": "k", "reason": "r",
           "caller_weight": 2}]})",
       "/exceptions/1/id", "/exceptions/0 has the same id"},
      {R"({"exceptions": [
          {"id": "e", "caller": "c", "author": "k", "reason": "r",
           "caller_weight": 2},
          {"id": "f", "caller": "c", "author": "k", "reason": "r",
           "caller_weight": 3}]})",
       "/exceptions/1/caller_weight", "changes the same field"},
  };
  for (const auto& bad : kBad) {
    std::vector<document_error> errors;
    EXPECT_FALSE(ParseConfig(bad.text, &errors)) << bad.text;
    ASSERT_EQ(errors.size(), 1u) << bad.text;
    EXPECT_EQ(errors[0].path, bad.path) << bad.text;
    EXPECT_NE(errors[0].message.find(bad.message), std::string::npos)
        << errors[0].message;
  }
}

// Guards against validation that stops at the first error, and against an
// unbounded number of reported errors.
TEST(config_document_test, ParseConfig_ManyFaults_ReportsAllUpToLimit) {
  std::vector<document_error> errors;
  EXPECT_FALSE(ParseConfig(
      R"({"x": 1, "defaults": {"max_attempts": 0}, "groups": 3})", &errors));
  EXPECT_EQ(errors.size(), 3u);
  config_limits limits;
  limits.max_reported = 2;
  errors.clear();
  EXPECT_FALSE(ParseConfig(R"({"a": 1, "b": 1, "c": 1})", &errors, limits));
  EXPECT_EQ(errors.size(), 2u);
  limits.max_document_bytes = 3;
  errors.clear();
  EXPECT_FALSE(ParseConfig(R"({  })", &errors, limits));
  EXPECT_NE(errors.at(0).message.find("allowed: at most 3"), std::string::npos);
}

// Guards against a difference that omits a change or lists an element that only
// moved.
TEST(config_document_test, Difference_TwoDocuments_NamesEveryPath) {
  const config_document before = MustParse(kFull);
  std::vector<document_error> errors;
  const config_document after = MustParse(
      R"({"services": {"g1": {"canary": false}, "orders": {"idempotent": false,
          "default_deadline_ms": 700}}, "groups": {"glaze": {
          "services": ["g1"], "least_coverage": 0.5}},
          "exceptions": [{"id": "e2", "caller": "app-17", "reason": "audit",
          "author": "kim", "deadline_ms": 900, "expires_ms": 1000}],
          "defaults": {"default_deadline_ms": 800, "hedge_quantile": 0.9}})");
  const std::vector<document_change> expected = {
      {"/exceptions/e1",
       R"({"author":"kim","caller":"app-17","caller_weight":2,"id":"e1",)"
       R"("reason":"audit"})",
       ""},
      {"/exceptions/e2/deadline_ms", "1500", "900"},
      {"/groups/glaze/services", R"(["g1","g2"])", R"(["g1"])"},
      {"/services/g1/canary", "", "false"},
      {"/services/g2", R"({"max_attempts":2})", ""},
  };
  EXPECT_EQ(Difference(before.text(), after.text()), expected);
  EXPECT_TRUE(Difference(before.text(), before.text()).empty());
}

}  // namespace
}  // namespace bilberrycourse
