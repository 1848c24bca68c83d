#ifndef BILBERRYCOURSE_HEADER_NUMBER_H_
#define BILBERRYCOURSE_HEADER_NUMBER_H_

// Numbers in the headers of backend servers' replies.
//
//   std::vector<double> numbers = ParseHeaderNumbers({"12.5, 3"});

#include <string_view>
#include <vector>

namespace bilberrycourse {

// Returns the valid numbers in all values of a header. A value is a decimal
// number without exponent, or a comma-separated list of them. Numbers that are
// negative, infinite or out of the range of a double are invalid.
std::vector<double> ParseHeaderNumbers(
    const std::vector<std::string_view>& values);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_HEADER_NUMBER_H_
