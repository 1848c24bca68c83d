#ifndef BILBERRYCOURSE_CRASH_NEWS_H_
#define BILBERRYCOURSE_CRASH_NEWS_H_

// Distributes crash evidence among the entry instances of the routed interface.
// The leader of the control group runs it, because every entry instance is
// linked to it and not to all others.
//
//   crash_news news;
//   news.Receive(records, now);              // from an entry instance
//   std::vector<crash_evidence_record> changed = news.Take(now);
//
// Only what is new is passed on, so evidence that several instances report
// travels once. The loss of an availability zone can be reported by hundreds of
// instances with hundreds of contents; what exceeds kMaxNews is dropped unless
// it condemns a content, and one message carries kMaxNewsPerMessage records.
//
// Soft state: entry instances send a new leader what they know.

#include <cstddef>
#include <deque>
#include <vector>

#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

class crash_news {
 public:
  static constexpr std::size_t kMaxNews = 1024;
  static constexpr std::size_t kMaxNewsPerMessage = 64;

  void Receive(const std::vector<crash_evidence_record>& records,
               time_point now);
  // Returns the next records for all entry instances, at most
  // kMaxNewsPerMessage.
  std::vector<crash_evidence_record> Take(time_point now);
  // Returns what an instance needs that has just connected: the evidence about
  // condemned contents, at most kMaxNews records.
  std::vector<crash_evidence_record> All(time_point now) const;

 private:
  struct news_item {
    crash_evidence_record record;
    time_point received_at{};
  };

  crash_evidence evidence_;
  std::deque<news_item> news_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CRASH_NEWS_H_
