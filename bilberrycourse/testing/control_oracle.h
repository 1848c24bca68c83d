#ifndef BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_
#define BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_

// The rules of control_state on one page, without bounds, bytes or expiry
// queues: everything is kept and ages are compared when something is read.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "bilberrycourse/control_command.h"

namespace bilberrycourse {

class control_oracle {
 public:
  struct verdict {
    result_code code = result_code::kOk;
    std::uint64_t version = 0;
    request_decision decision = request_decision::kRefuse;
    std::string answer = {};
    bool operator==(const verdict&) const = default;
  };

  void Advance(wall_time_ms wall) { now_ = std::max(now_, wall); }
  wall_time_ms now() const { return now_; }
  std::uint64_t version() const { return version_; }
  int content() const { return content_; }

  // `content` numbers equal documents equally; negative ones are not valid.
  verdict Change(const std::string& id, std::uint64_t base, int content) {
    const auto known = changes_.find(id);
    if (known != changes_.end() && now_ - known->second.at < 168 * kHour) {
      return known->second.content == content
                 ? known->second.first
                 : verdict{result_code::kChangeIdReused,
                           known->second.first.version};
    }
    verdict result{result_code::kOk, version_};
    if (base != version_) {
      result.code = result_code::kVersionConflict;
    } else if (content < 0) {
      result.code = result_code::kInvalidDocument;
    } else {
      result.version = ++version_;
      content_ = content;
    }
    changes_[id] = {content, now_, result};
    return result;
  }

  // The highest version wins, and its first content stays.
  verdict Routes(const route_document& sent) {
    if (sent.version > routes_.version) routes_ = sent;
    return {result_code::kOk, routes_.version};
  }
  const route_document& routes() const { return routes_; }

  verdict ShardSet(std::uint64_t version, std::uint32_t count) {
    if (!sets_.contains(version) && sets_.size() >= 8 &&
        version < sets_.begin()->first) {
      return {result_code::kVersionGone};
    }
    const auto recorded = sets_.emplace(version, count).first->second;
    if (sets_.size() > 8) sets_.erase(sets_.begin());
    return {recorded == count ? result_code::kOk
                              : result_code::kShardCountConflict};
  }

  verdict Begin(const request_begin& begin) {
    if (now_ - begin.issued_at_ms >= 72 * kHour ||
        begin.issued_at_ms - now_ > kHour / 12) {
      return {result_code::kIdempotencyKeyExpired};
    }
    request& known = Get(begin.key);
    if (known.begun && known.body != begin.body_hash) {
      return {result_code::kIdempotencyKeyReused};
    }
    known.issued = std::max(known.issued, begin.issued_at_ms);
    if (known.abandoned.contains(begin.run.run_id)) {
      return {result_code::kCancelled};
    }
    if (known.finished) {
      return {result_code::kOk, 0, request_decision::kRecorded, known.answer};
    }
    if (known.running != 0 && known.running != begin.run.run_id) {
      return {result_code::kStillRunning, 0, request_decision::kWait};
    }
    known.begun = true;
    known.running = begin.run.run_id;
    known.body = begin.body_hash;
    return {result_code::kOk, 0, request_decision::kRun};
  }

  verdict Finish(const request_finish& finish) {
    if (!Exists(finish.key)) return {result_code::kIdempotencyKeyExpired};
    request& known = Get(finish.key);
    if (known.running != finish.run.run_id) return {result_code::kCancelled};
    if (!std::exchange(known.finished, true)) known.answer = finish.answer;
    return {result_code::kOk, 0, request_decision::kRecorded};
  }

  verdict Abandon(const request_abandon& abandon) {
    request& known = Get(abandon.key);
    if (known.running == abandon.run.run_id) {
      if (known.finished) return {result_code::kCancelled};
      known.running = 0;
    }
    known.abandoned.insert(abandon.run.run_id);
    // Outlives every request_begin of this run that could still be accepted.
    known.issued = std::max(known.issued, now_ + kHour / 12);
    return {};
  }

 private:
  static constexpr wall_time_ms kHour = 3600 * 1000;
  struct change {
    int content = 0;
    wall_time_ms at = 0;
    verdict first;
  };
  struct request {
    wall_time_ms issued = 0;
    std::uint64_t body = 0;
    std::uint64_t running = 0;
    bool begun = false;
    bool finished = false;
    std::string answer;
    std::set<std::uint64_t> abandoned;
  };

  bool Exists(const std::string& key) const {
    const auto known = requests_.find(key);
    return known != requests_.end() && now_ - known->second.issued < 72 * kHour;
  }
  request& Get(const std::string& key) {
    if (!Exists(key)) requests_.erase(key);
    return requests_[key];
  }

  wall_time_ms now_ = 0;
  std::uint64_t version_ = 0;
  int content_ = 0;
  route_document routes_;
  std::map<std::string, change> changes_;
  std::map<std::uint64_t, std::uint32_t> sets_;
  std::map<std::string, request> requests_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_
