#include "app/process_memory.h"

#include <unistd.h>

#include <fstream>

namespace bilberrycourse {

std::optional<std::uint64_t> ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return std::nullopt;
  return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace bilberrycourse
