#include "bilberrycourse/config_check/config_text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bilberrycourse {
namespace {

constexpr std::size_t kShownKeyCharacters = 4;

}  // namespace

std::string TextOf(double value) {
  // Longer than any number in its shortest form.
  std::array<char, 64> buffer{};
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return error == std::errc() ? std::string(buffer.data(), end) : "?";
}

std::string TextOf(duration value) {
  return TextOf(std::chrono::duration<double, std::milli>(value).count()) +
         " ms";
}

std::string ShownKey(std::string_view key) {
  // At most half of a short key.
  const std::size_t shown = std::min(kShownKeyCharacters, key.size() / 2);
  return std::string(key.substr(0, shown)) + "...";
}

}  // namespace bilberrycourse
