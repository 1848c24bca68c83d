#ifndef BILBERRYCOURSE_VERSION_HISTORY_H_
#define BILBERRYCOURSE_VERSION_HISTORY_H_

// Which version of a replicated state this instance knew at which time.
//
//   version_history history;
//   history.Observe(state.version(), Now());          // often
//   std::uint64_t version = history.KnownBefore(request.sent_after);
//
// A message without a version of its own may be older than it looks, because it
// has waited in a socket of a frozen process. The version that this instance
// knew before the message was sent takes the place of the missing one. Only the
// order of the times counts, so the result is right whatever the clock does
// while the process stands still.
//
// The newest 256 versions are kept.

#include <cstdint>
#include <deque>
#include <utility>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class version_history {
 public:
  // Notes the version. `now` must be read after the version was.
  void Observe(std::uint64_t version, time_point now);
  // Returns a version that was known before `time`, 0 if there is none. It may
  // be older than the newest one that was known then.
  std::uint64_t KnownBefore(time_point time) const;
  void Clear() { observed_.clear(); }

 private:
  std::deque<std::pair<time_point, std::uint64_t>> observed_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_VERSION_HISTORY_H_
