#include "bilberrycourse/crash_news.h"

#include <utility>

namespace bilberrycourse {

void crash_news::Receive(const std::vector<crash_evidence_record>& records,
                         time_point now) {
  evidence_.Tick(now);
  for (const crash_evidence_record& record : records) {
    if (!evidence_.Merge({&record, 1}, now)) continue;
    if (news_.size() >= kMaxNews) {
      if (evidence_.Verdict(record.content, now) != crash_verdict::kCondemned)
        continue;
      news_.pop_front();
    }
    news_.push_back({record, now});
  }
}

std::vector<crash_evidence_record> crash_news::Take(time_point now) {
  std::vector<crash_evidence_record> taken;
  while (!news_.empty() && taken.size() < kMaxNewsPerMessage) {
    news_item item = std::move(news_.front());
    news_.pop_front();
    item.record.age += now - item.received_at;
    taken.push_back(std::move(item.record));
  }
  return taken;
}

std::vector<crash_evidence_record> crash_news::All(time_point now) const {
  std::vector<crash_evidence_record> condemned;
  for (crash_evidence_record& record : evidence_.Export(now)) {
    if (condemned.size() >= kMaxNews) break;
    if (evidence_.Verdict(record.content, now) == crash_verdict::kCondemned) {
      condemned.push_back(std::move(record));
    }
  }
  return condemned;
}

}  // namespace bilberrycourse
