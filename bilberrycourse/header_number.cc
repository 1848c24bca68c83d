#include "bilberrycourse/header_number.h"

#include <charconv>
#include <cmath>
#include <optional>

namespace bilberrycourse {
namespace {

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::optional<double> ParseNumber(std::string_view text) {
  // from_chars also accepts "inf" and "nan".
  if (text.empty() ||
      text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (error != std::errc() || last != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::vector<double> ParseHeaderNumbers(
    const std::vector<std::string_view>& values) {
  std::vector<double> numbers;
  for (std::string_view rest : values) {
    while (true) {
      const std::size_t comma = rest.find(',');
      if (const auto number = ParseNumber(Trimmed(rest.substr(0, comma)))) {
        numbers.push_back(*number);
      }
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return numbers;
}

}  // namespace bilberrycourse
