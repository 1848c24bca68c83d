#ifndef BILBERRYCOURSE_REST_TIME_H_
#define BILBERRYCOURSE_REST_TIME_H_

// The time for which a backend server that refuses a request (503) wants no
// further ones from this instance, as it states in Retry-After.
//
//   std::optional<duration> rest = ParseRestTime({"1.5"});

#include <optional>
#include <string_view>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Longer times are shortened to this one, so that a wrong value does not take a
// backend server out of use for good. It is tried again with one request.
inline constexpr duration kMaxRestTime = std::chrono::hours(1);

// Parses all values of the header in one reply: seconds, with a fraction or
// without. Of several the longest applies. Returns nullopt if no value is valid
// or greater than 0. A date is not valid: the clock of a backend server may
// differ from this instance's.
std::optional<duration> ParseRestTime(
    const std::vector<std::string_view>& values);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_REST_TIME_H_
