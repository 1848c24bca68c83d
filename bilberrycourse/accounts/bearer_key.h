#ifndef BILBERRYCOURSE_ACCOUNTS_BEARER_KEY_H_
#define BILBERRYCOURSE_ACCOUNTS_BEARER_KEY_H_

// Reads the key of a client account from the Authorization fields of a request.
//
//   std::optional<std::string_view> key = ReadBearerKey({"Bearer 7f3a"});
//
// The scheme is compared case-insensitively (RFC 9110, section 11.1).

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

// Returns the key, which refers to the text of the field. Returns nullopt
// unless there is exactly one field, with the scheme Bearer, one or more spaces
// and a key of printable ASCII without a space.
std::optional<std::string_view> ReadBearerKey(
    const std::vector<std::string>& authorization_fields);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_BEARER_KEY_H_
