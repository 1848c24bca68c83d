#ifndef BILBERRYCOURSE_CONFIG_CHECK_CONFIG_TEXT_H_
#define BILBERRYCOURSE_CONFIG_CHECK_CONFIG_TEXT_H_

// Values of a configuration as text for an operator.
//
//   TextOf(std::chrono::milliseconds(1500));  // "1500 ms"
//   ShownKey("3f9ab2c7");                     // "3f9a..."

#include <string>
#include <string_view>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Returns the shortest text that identifies the number.
std::string TextOf(double value);
std::string TextOf(duration value);
// Returns the first 4 characters of a client account's key.
std::string ShownKey(std::string_view key);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONFIG_CHECK_CONFIG_TEXT_H_
