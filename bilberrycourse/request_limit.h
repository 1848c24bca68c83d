#ifndef BILBERRYCOURSE_REQUEST_LIMIT_H_
#define BILBERRYCOURSE_REQUEST_LIMIT_H_

// The request limit that a searcher in need states in its replies: the requests
// per second that it accepts from all entry instances together. It holds until
// a reply does not state it any more.
//
//   stated_limit limit = ParseRequestLimit({"12.5"});
//   if (limit.present && limit.per_second.has_value()) ...

#include <optional>
#include <string_view>
#include <vector>

namespace bilberrycourse {

struct stated_limit {
  // The reply has the header, with any value.
  bool present = false;
  // Requests per second, finite and at least 0; empty if the value is invalid.
  std::optional<double> per_second;
};

// Parses all values of the header in one reply. A value is a decimal number
// without exponent, or a comma-separated list of them. The smallest valid
// number applies. Numbers that are negative, infinite or out of the range of a
// double are invalid.
stated_limit ParseRequestLimit(const std::vector<std::string_view>& values);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_REQUEST_LIMIT_H_
