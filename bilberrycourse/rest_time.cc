#include "bilberrycourse/rest_time.h"

#include <algorithm>

#include "bilberrycourse/header_number.h"

namespace bilberrycourse {

std::optional<duration> ParseRestTime(
    const std::vector<std::string_view>& values) {
  const std::vector<double> numbers = ParseHeaderNumbers(values);
  if (numbers.empty()) return std::nullopt;
  constexpr std::chrono::duration<double> kMaxSeconds = kMaxRestTime;
  const double seconds = std::min(
      *std::max_element(numbers.begin(), numbers.end()), kMaxSeconds.count());
  const auto rest = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
  if (rest <= duration{0}) return std::nullopt;
  return rest;
}

}  // namespace bilberrycourse
