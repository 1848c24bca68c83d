#include "bilberrycourse/accounts/client_account.h"

#include <gtest/gtest.h>

#include <limits>

namespace bilberrycourse {
namespace {

client_account Account(std::string name, std::vector<std::string> keys = {},
                       double rate = 0, double burst = 0) {
  return {std::move(name), std::move(keys), rate, burst, std::nullopt};
}

// Guards against a configuration whose accounts can't be told apart, sent in a
// header or counted, and against a key in the text of a refusal.
TEST(client_account_test, CheckAccounts_Lists_AreRefusedOrAccepted) {
  const double infinite = std::numeric_limits<double>::infinity();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const std::string secret = "secret";
  const struct {
    std::vector<client_account> accounts;
    const char* problem;
  } cases[] = {
      {{}, ""},
      {{Account("a b", {secret}, 1.5, 3), Account("c")}, ""},
      {{Account(std::string(128, 'n'), {std::string(256, 'k')})}, ""},
      {{Account("")}, "has no name"},
      {{Account(std::string(129, 'n'))}, "over 128 bytes"},
      {{Account(" a")}, "valid header value"},
      {{Account("a ")}, "valid header value"},
      {{Account("a\nb")}, "valid header value"},
      {{Account("\xc3\xa4")}, "valid header value"},
      {{Account("a"), Account("a")}, "name of another account"},
      {{Account("a", {secret, secret})}, "used twice"},
      {{Account("a", {secret}), Account("b", {secret})}, "used twice"},
      {{Account("a", {""})}, "empty key"},
      {{Account("a", {secret + std::string(251, 'k')})}, "over 256 bytes"},
      {{Account("a", {secret + " k"})}, "printable"},
      {{Account("a", {secret + "\x7f"})}, "printable"},
      {{Account("a", {}, -1)}, "rate"},
      {{Account("a", {}, nan)}, "rate"},
      {{Account("a", {}, 1, infinite)}, "burst"},
      {{Account("a", {}, 1, -0.5)}, "burst"},
      {std::vector<client_account>(10'001), "more than 10000 accounts"},
      {{Account("a", std::vector<std::string>(100'001))}, "more than 100000"},
  };
  for (const auto& test_case : cases) {
    std::string problem;
    const result_code code = CheckAccounts(test_case.accounts, &problem);
    const bool valid = std::string(test_case.problem).empty();
    EXPECT_EQ(code == result_code::kOk, valid) << problem;
    EXPECT_NE(problem.find(test_case.problem), std::string::npos) << problem;
    EXPECT_EQ(problem.find(secret), std::string::npos) << problem;
  }
}

}  // namespace
}  // namespace bilberrycourse
