#ifndef APP_PROCESS_MEMORY_H_
#define APP_PROCESS_MEMORY_H_

// Memory of this process, as the system counts it.
//
//   if (const auto bytes = ResidentBytes()) Report(*bytes);

#include <cstdint>
#include <optional>

namespace bilberrycourse {

// Returns the resident memory in bytes, or nullopt if the system does not tell
// it. Source: /proc/self/statm, whose second number counts resident pages.
std::optional<std::uint64_t> ResidentBytes();

}  // namespace bilberrycourse

#endif  // APP_PROCESS_MEMORY_H_
