// The program with faulty clocks and storage, for the soak test. An environment
// variable sets the faults:
//
//   BILBERRYCOURSE_FAULTS="clock_rate=1.004 wall_offset_ms=-60000
//     sync_failure=0.01 write_failure=0.01 sync_delay_ms=30 seed=7
//     capacity_kb=512 full_marker=/path"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include "app/cli.h"
#include "app/daemon_clock.h"
#include "app/log_store.h"
#include "app/testing/faulty_storage_files.h"

namespace bilberrycourse {
namespace {

struct process_faults {
  clock_distortion clocks;
  storage_faults storage;
};

// Returns false on the first name or value that is invalid.
bool ParseFaults(const std::string& text, process_faults* faults) {
  std::istringstream pairs(text);
  std::string pair;
  while (pairs >> pair) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos) return false;
    const std::string name = pair.substr(0, equals);
    std::istringstream in(pair.substr(equals + 1));
    std::int64_t milliseconds = 0;
    if (name == "clock_rate") {
      in >> faults->clocks.rate;
    } else if (name == "wall_offset_ms") {
      in >> faults->clocks.wall_offset_ms;
    } else if (name == "sync_failure") {
      in >> faults->storage.sync_failure;
    } else if (name == "write_failure") {
      in >> faults->storage.write_failure;
    } else if (name == "sync_delay_ms") {
      in >> milliseconds;
      faults->storage.sync_delay = std::chrono::milliseconds(milliseconds);
    } else if (name == "capacity_kb") {
      in >> faults->storage.capacity_bytes;
      faults->storage.capacity_bytes *= 1024;
    } else if (name == "full_marker") {
      in >> faults->storage.full_marker;
    } else if (name == "seed") {
      in >> faults->storage.seed;
    } else {
      return false;
    }
    if (in.fail()) return false;
  }
  return true;
}

}  // namespace
}  // namespace bilberrycourse

int main(int argc, char** argv) {
  using namespace bilberrycourse;  // NOLINT(google-build-using-namespace)
  const char* text = std::getenv("BILBERRYCOURSE_FAULTS");
  process_faults faults;
  if (!ParseFaults(text == nullptr ? "" : text, &faults)) {
    std::cerr << "BILBERRYCOURSE_FAULTS is invalid: " << text << "\n";
    return 2;
  }
  DistortClocks(faults.clocks);
  StorageFilesFactory() = [storage =
                               faults.storage](const std::string& folder) {
    // Each opening uses another seed. With the same one, every reopening of the
    // folder would repeat the same failures.
    static std::uint64_t openings = 0;
    storage_faults faults_of_opening = storage;
    faults_of_opening.seed += ++openings;
    return std::make_unique<faulty_storage_files>(
        std::make_unique<posix_storage_files>(folder), faults_of_opening,
        folder);
  };
  return RunCommandLine(argc, argv);
}
