#ifndef BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_
#define BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_

// Reference model of control_state without bounds, encodings or expiry queues:
// all records are kept, and their age is checked when they are read.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "bilberrycourse/control_command.h"

namespace bilberrycourse {

class control_oracle {
 public:
  struct expected_outcome {
    result_code code = result_code::kOk;
    std::uint64_t version = 0;
    request_decision decision = request_decision::kRefuse;
    std::string answer = {};
    bool operator==(const expected_outcome&) const = default;
  };

  void Advance(wall_time_ms wall) { now_ = std::max(now_, wall); }
  wall_time_ms now() const { return now_; }
  std::uint64_t version() const { return version_; }
  int content() const { return content_; }

  // Documents are equal if their `content` is; a negative one is invalid.
  expected_outcome Change(const std::string& id, std::uint64_t base,
                          int content) {
    const auto record = changes_.find(id);
    if (record != changes_.end() &&
        now_ - record->second.recorded_at < 168 * kHour) {
      return record->second.content == content
                 ? record->second.first_outcome
                 : expected_outcome{result_code::kChangeIdReused,
                                    record->second.first_outcome.version};
    }
    expected_outcome result{result_code::kOk, version_};
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

  // The highest version wins; of equal versions, the first content is kept.
  expected_outcome Routes(const route_document& document) {
    if (document.version > routes_.version) routes_ = document;
    return {result_code::kOk, routes_.version};
  }
  const route_document& routes() const { return routes_; }

  expected_outcome ShardSet(std::uint64_t version, std::uint32_t count) {
    if (!shard_counts_.contains(version) && shard_counts_.size() >= 8 &&
        version < shard_counts_.begin()->first) {
      return {result_code::kVersionGone};
    }
    const auto recorded = shard_counts_.emplace(version, count).first->second;
    if (shard_counts_.size() > 8) shard_counts_.erase(shard_counts_.begin());
    return {recorded == count ? result_code::kOk
                              : result_code::kShardCountConflict};
  }

  expected_outcome Begin(const request_begin& begin) {
    if (now_ - begin.issued_at_ms >= 72 * kHour ||
        begin.issued_at_ms - now_ > kHour / 12) {
      return {result_code::kIdempotencyKeyExpired};
    }
    request& record = FindOrCreate(begin.key);
    if (record.begun && record.body != begin.body_hash) {
      return {result_code::kIdempotencyKeyReused};
    }
    record.issued = std::max(record.issued, begin.issued_at_ms);
    if (record.abandoned.contains(begin.run.run_id)) {
      return {result_code::kCancelled};
    }
    if (record.finished) {
      return {result_code::kOk, 0, request_decision::kRecorded, record.answer};
    }
    if (record.running != 0 && record.running != begin.run.run_id) {
      return {result_code::kStillRunning, 0, request_decision::kWait};
    }
    record.begun = true;
    record.running = begin.run.run_id;
    record.body = begin.body_hash;
    return {result_code::kOk, 0, request_decision::kRun};
  }

  expected_outcome Finish(const request_finish& finish) {
    if (!Exists(finish.key)) return {result_code::kIdempotencyKeyExpired};
    request& record = FindOrCreate(finish.key);
    if (record.running != finish.run.run_id) return {result_code::kCancelled};
    if (!std::exchange(record.finished, true)) record.answer = finish.answer;
    return {result_code::kOk, 0, request_decision::kRecorded};
  }

  expected_outcome Abandon(const request_abandon& abandon) {
    request& record = FindOrCreate(abandon.key);
    if (record.running == abandon.run.run_id) {
      if (record.finished) return {result_code::kCancelled};
      record.running = 0;
    }
    record.abandoned.insert(abandon.run.run_id);
    // Outlives every request_begin of this run that could still be accepted.
    record.issued = std::max(record.issued, now_ + kHour / 12);
    return {};
  }

 private:
  static constexpr wall_time_ms kHour = 3600 * 1000;
  struct change {
    int content = 0;
    wall_time_ms recorded_at = 0;
    expected_outcome first_outcome;
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
    const auto record = requests_.find(key);
    return record != requests_.end() &&
           now_ - record->second.issued < 72 * kHour;
  }
  request& FindOrCreate(const std::string& key) {
    if (!Exists(key)) requests_.erase(key);
    return requests_[key];
  }

  wall_time_ms now_ = 0;
  std::uint64_t version_ = 0;
  int content_ = 0;
  route_document routes_;
  std::map<std::string, change> changes_;
  std::map<std::uint64_t, std::uint32_t> shard_counts_;
  std::map<std::string, request> requests_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_CONTROL_ORACLE_H_
