#include "bilberrycourse/rest_time.h"

#include <gtest/gtest.h>

#include <string>

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct rest_time_case {
  std::vector<std::string_view> values;
  std::optional<duration> rest;
};

// Guards against a searcher that is not given its rest because of the form of
// the value, or is never used again because of a wrong one.
TEST(rest_time_test, ParseRestTime_ByValue_LongestValidOne) {
  const std::string huge(400, '9');
  const rest_time_case cases[] = {
      {{"3"}, seconds(3)},
      {{"1.5"}, milliseconds(1500)},
      {{" 2 "}, seconds(2)},
      {{"0"}, std::nullopt},
      {{"0.0000001"}, std::nullopt},
      {{}, std::nullopt},
      {{""}, std::nullopt},
      {{"-1"}, std::nullopt},
      {{"inf"}, std::nullopt},
      {{"nan"}, std::nullopt},
      {{"1e3"}, std::nullopt},
      {{"soon"}, std::nullopt},
      {{"Fri, 04 Dec 2026 10:00:00 GMT"}, std::nullopt},
      {{"2, 5, x"}, seconds(5)},
      {{"2", "1"}, seconds(2)},
      {{"-1", "4"}, seconds(4)},
      {{"999999999999"}, kMaxRestTime},
      {{huge}, std::nullopt},
  };
  for (const rest_time_case& item : cases) {
    EXPECT_EQ(ParseRestTime(item.values), item.rest)
        << (item.values.empty() ? "(none)" : item.values.front());
  }
}

}  // namespace
}  // namespace bilberrycourse
