#ifndef BILBERRYCOURSE_SEARCHER_STARTS_H_
#define BILBERRYCOURSE_SEARCHER_STARTS_H_

// When this instance has learned of the running process of each searcher.
//
//   searcher_starts starts;
//   starts.Observe(state.searchers(), Now());        // often
//   auto started_at_ms = starts.KnownBefore("s1", request.sent_after);
//
// A searcher may say that it leaves without its start time, and such a message
// may have waited while the searcher ended and started again under its id. It
// is about a process that was known before it was sent, if there is one.
//
// Keeps one entry for each searcher of the directory.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "bilberrycourse/searcher_directory.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

class searcher_starts {
 public:
  // `now` must be read after the directory had its state.
  void Observe(const searcher_directory& directory, time_point now);
  // Returns the start time of the searcher's process, if this instance knew
  // that process before `time`.
  std::optional<wall_time_ms> KnownBefore(const std::string& id,
                                          time_point time) const;
  void Clear();
  std::size_t size() const { return starts_.size(); }

 private:
  struct start {
    wall_time_ms started_at_ms = 0;
    time_point known_at{};
  };

  std::uint64_t revision_ = 0;
  std::unordered_map<std::string, start> starts_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SEARCHER_STARTS_H_
