#include "bilberrycourse/request_limit.h"

#include <algorithm>

#include "bilberrycourse/header_number.h"

namespace bilberrycourse {

stated_limit ParseRequestLimit(const std::vector<std::string_view>& values) {
  stated_limit limit;
  limit.present = !values.empty();
  const std::vector<double> numbers = ParseHeaderNumbers(values);
  if (!numbers.empty()) {
    limit.per_second = *std::min_element(numbers.begin(), numbers.end());
  }
  return limit;
}

}  // namespace bilberrycourse
