#include "app/crash_frames.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "app/frames.h"

namespace bilberrycourse {
namespace {

// Longest age that a message can carry.
constexpr std::uint64_t kMaxMicros = 24ULL * 3600 * 1'000'000;

}  // namespace

wire::crash_recordsT ToWire(const std::vector<crash_evidence_record>& records) {
  wire::crash_recordsT out;
  for (const crash_evidence_record& record : records) {
    auto item = std::make_unique<wire::crash_recordT>();
    item->content = static_cast<std::uint64_t>(record.content);
    item->success = record.success;
    item->service = record.server.shard.service;
    item->searcher = record.server.replica;
    item->started_at_ms = static_cast<std::int64_t>(record.incarnation);
    item->age_us = static_cast<std::uint64_t>(
        std::max<duration::rep>(record.age.count(), 0));
    out.records.push_back(std::move(item));
  }
  return out;
}

std::vector<crash_evidence_record> FromWire(
    const wire::crash_records& records) {
  std::vector<crash_evidence_record> out;
  if (records.records() == nullptr) return out;
  for (const wire::crash_record* item : *records.records()) {
    crash_evidence_record record;
    record.content = fingerprint{item->content()};
    record.success = item->success();
    record.server = {{ToText(item->service()), 0}, ToText(item->searcher())};
    record.incarnation = static_cast<std::uint64_t>(item->started_at_ms());
    record.age = duration(
        static_cast<duration::rep>(std::min(item->age_us(), kMaxMicros)));
    out.push_back(std::move(record));
  }
  return out;
}

}  // namespace bilberrycourse
