#include "bilberrycourse/accounts/bearer_key.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

constexpr std::string_view kScheme = "bearer";

// Independent of the locale, unlike std::tolower().
char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsBearer(std::string_view scheme) {
  return std::equal(scheme.begin(), scheme.end(), kScheme.begin(),
                    kScheme.end(),
                    [](char a, char b) { return ToLower(a) == b; });
}

}  // namespace

std::optional<std::string_view> ReadBearerKey(
    const std::vector<std::string>& authorization_fields) {
  if (authorization_fields.size() != 1) return std::nullopt;
  const std::string_view field = authorization_fields.front();
  const std::size_t scheme_end = field.find(' ');
  if (scheme_end == std::string_view::npos) return std::nullopt;
  if (!IsBearer(field.substr(0, scheme_end))) return std::nullopt;
  const std::size_t key_begin = field.find_first_not_of(' ', scheme_end);
  if (key_begin == std::string_view::npos) return std::nullopt;
  const std::string_view key = field.substr(key_begin);
  const bool printable = std::all_of(
      key.begin(), key.end(), [](char c) { return c >= '!' && c <= '~'; });
  if (!printable) return std::nullopt;
  return key;
}

}  // namespace bilberrycourse
