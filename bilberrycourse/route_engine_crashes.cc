#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"

// Requests that crash the searchers that run them.
//
// A broken connection alone proves nothing: it may have been reset, or the
// searcher may have broken off its reply. So a new connection to the searcher
// is opened; if it is refused, the searcher has crashed, and every request that
// this instance had in flight there is suspected. Harmless ones are among them,
// which crash_evidence tells apart: they succeed later, or do not come again.

namespace bilberrycourse {
namespace {

// Wait before a lost searcher is probed: the connection pool does not reconnect
// at once.
constexpr duration kProbeWait = std::chrono::milliseconds(10);
// A searcher that could not be probed by then counts neither as crashed nor as
// running.
constexpr duration kProbeTime = std::chrono::seconds(2);
// A request over shards that loses this many attempts may crash its searchers.
constexpr std::uint32_t kMaxLostAttempts = 3;
// Contents suspected for one crash; about the slots of a searcher.
constexpr std::size_t kMaxLostContents = 64;

}  // namespace

// Refuses the request if its content has crashed searchers. Returns true if the
// request has ended.
bool route_engine::RefuseCrashing(request_state* request, time_point now,
                                  route_effects* out) {
  const fingerprint content = request->call.content;
  if (!Quarantined(content, now)) {
    request->canary = request->fan_out() && !request->call.streamed() &&
                      !MayRepeat(content, now);
    if (request->canary) request->relays.clear();
    return false;
  }
  ++counters_.quarantine_refusals;
  request->quarantined_for = evidence_.CondemnedUntil(content) - now;
  FinishFailed(request, result_code::kContentQuarantined, now, out);
  return true;
}

// Searchers that leave are not suspected: they may end while they run a
// request.
void route_engine::NoteLostAttempt(const attempt_state& attempt,
                                   const searcher_entry& entry, time_point now,
                                   route_effects* out) {
  if (attempt.content == fingerprint{} || !entry.usable() || isolated_) return;
  std::erase_if(lost_searchers_, [&](const auto& item) {
    return now - item.second.at >= kProbeTime;
  });
  lost_searcher& lost = lost_searchers_[attempt.searcher];
  if (lost.contents.empty() || lost.serial != entry.serial) {
    lost = {};
    lost.service = attempt.service;
    lost.started_at_ms = entry.report.started_at_ms;
    lost.serial = entry.serial;
    lost.at = now;
    lost.first_probe = connection_id{next_connection_};
    SetTimer(timer_kind::kLostSearchers, now + kProbeWait, {});
  }
  if (lost.contents.size() >= kMaxLostContents) return;
  lost.contents.push_back(attempt.content);
  if (lost.crashed) RecordCrash(attempt.searcher, lost, now, out);
}

// Postpones the retry of a part until it is known whether its searcher has
// crashed. A query that crashes searchers would otherwise take down the second
// replica of each shard as well. Single losses are retried at once, and so is
// content that has succeeded lately. Returns false if the part need not wait.
bool route_engine::AwaitProbe(request_state* request,
                              const attempt_state& attempt, time_point now) {
  if (!request->fan_out() || request->lost_attempts < kMaxLostAttempts ||
      evidence_.RecentlySucceeded(attempt.content, now)) {
    return false;
  }
  const auto found = lost_searchers_.find(attempt.searcher);
  if (found == lost_searchers_.end() ||
      found->second.serial != attempt.serial || found->second.crashed) {
    return false;
  }
  found->second.parts.emplace_back(attempt.request, attempt.part);
  return true;
}

void route_engine::ProbeLostSearchers(time_point now, route_effects* out) {
  bool blocked = false;
  for (const auto& [searcher, lost] : lost_searchers_) {
    if (lost.crashed || now - lost.at >= kProbeTime) continue;
    searcher_entry* entry = pool_.Find(searcher, lost.serial);
    if (entry == nullptr || entry->evacuated ||
        entry->connections.opening_count() > 0) {
      continue;
    }
    OpenUpTo(entry, entry->connections.open_count() + 1, now, out);
    blocked = blocked || entry->connections.opening_count() == 0;
  }
  if (blocked) SetTimer(timer_kind::kLostSearchers, now + kProbeWait, {});
}

// Called when a connection could be opened or not, whether as a probe or not.
void route_engine::OnProbeEnded(const connection_state& ended,
                                connection_id connection, bool opened,
                                time_point now, route_effects* out) {
  const auto found = lost_searchers_.find(ended.searcher);
  if (found == lost_searchers_.end() || found->second.serial != ended.serial ||
      connection < found->second.first_probe || found->second.crashed) {
    return;
  }
  const auto parts = std::exchange(found->second.parts, {});
  if (opened) {
    lost_searchers_.erase(found);
  } else {
    found->second.crashed = true;
    ++counters_.searcher_crashes;
    RecordCrash(ended.searcher, lost_searcher(found->second), now, out);
  }
  // After a crash the content is suspected, so that RetryOrFail() fails them.
  for (const auto& [id, part] : parts) {
    request_state* request = FindRequest(id);
    if (request == nullptr) continue;
    RetryOrFail(request, part, send_reason::kFailed,
                result_code::kBackendServerCrashed, now, out);
  }
}

void route_engine::RecordCrash(const std::string& searcher,
                               const lost_searcher& lost, time_point now,
                               route_effects* out) {
  evidence_.Tick(now);
  const backend_server_key server{{lost.service, 0}, searcher};
  const auto incarnation = static_cast<std::uint64_t>(lost.started_at_ms);
  crash_evidence_found evidence;
  std::vector<fingerprint> condemned;
  for (const fingerprint content : lost.contents) {
    const crash_verdict before = evidence_.Verdict(content, now);
    if (!evidence_.RecordCrash({server, incarnation, {content}}, now)) continue;
    evidence.records.push_back(
        {content, /*success=*/false, server, incarnation, duration{0}});
    if (before != crash_verdict::kCondemned) condemned.push_back(content);
  }
  if (evidence.records.empty()) return;
  out->push_back(std::move(evidence));
  for (const fingerprint content : condemned) Quarantine(content, now, out);
}

void route_engine::NoteServiceSuccess(const attempt_state& attempt,
                                      time_point now, route_effects* out) {
  if (!evidence_.RecordServiceSuccess(attempt.content, attempt.service, now)) {
    return;
  }
  crash_evidence_found evidence;
  evidence.records.push_back({attempt.content,
                              /*success=*/true,
                              {{attempt.service, 0}, {}},
                              0,
                              duration{0}});
  out->push_back(std::move(evidence));
}

// Content that has succeeded at this instance is not refused, whatever the
// others report: a report that a cut link delays looks like a later crash, so
// that one incident counts twice. It gets single attempts until one succeeds.
bool route_engine::Quarantined(fingerprint content, time_point now) const {
  return evidence_.Verdict(content, now) == crash_verdict::kCondemned &&
         !evidence_.RecentlySucceeded(content, now);
}

// Content that has succeeded lately is rather a victim. Requests that share it
// would all suffer from each crash of a searcher.
bool route_engine::Suspected(fingerprint content, time_point now) const {
  return evidence_.Verdict(content, now) == crash_verdict::kSuspect &&
         !evidence_.RecentlySucceeded(content, now);
}

// Returns false if an attempt that may have run must not be followed by another
// one, because the content may have crashed its searcher.
bool route_engine::MayRepeat(fingerprint content, time_point now) const {
  return evidence_.Verdict(content, now) != crash_verdict::kCondemned &&
         !Suspected(content, now);
}

void route_engine::OnCrashEvidence(
    const std::vector<crash_evidence_record>& records, time_point now,
    route_effects* out) {
  evidence_.Tick(now);
  for (const crash_evidence_record& record : records) {
    const crash_verdict before = evidence_.Verdict(record.content, now);
    evidence_.Merge({&record, 1}, now);
    if (before != crash_verdict::kCondemned) {
      Quarantine(record.content, now, out);
    }
  }
}

std::vector<crash_evidence_record> route_engine::CrashEvidence(
    duration max_age, time_point now) const {
  std::vector<crash_evidence_record> records = evidence_.Export(now);
  std::erase_if(records, [&](const crash_evidence_record& record) {
    return record.age > max_age &&
           evidence_.Verdict(record.content, now) != crash_verdict::kCondemned;
  });
  return records;
}

// If the content is condemned: ends the requests with it that wait, and those
// that run and may be repeated, since most searchers stop when their connection
// is closed. Others run on, because they may be harmless and their caller could
// not send them again.
void route_engine::Quarantine(fingerprint content, time_point now,
                              route_effects* out) {
  if (!Quarantined(content, now)) return;
  const duration time = evidence_.CondemnedUntil(content) - now;
  out->push_back(content_quarantined{content, time});
  std::vector<route_request_id> ids;
  for (const auto& [id, request] : requests_) {
    if (request.call.content == content) ids.push_back(id);
  }
  for (const route_request_id id : ids) {
    request_state* request = FindRequest(id);
    if (request == nullptr) continue;
    const bool idempotent = request->call.matched_route->idempotent;
    bool running = false;
    for (part_state& part : request->parts) {
      running = running || (!part.owned_by_self() && !idempotent);
      for (const attempt_id attempt_number : std::vector(part.running)) {
        const attempt_state* attempt = FindAttempt(attempt_number);
        if (attempt == nullptr || !attempt->sent) continue;
        if (!idempotent) {
          running = true;
          continue;
        }
        std::erase(part.running, attempt_number);
        AbortAttempt(attempt_state(*attempt), out);
      }
    }
    if (running) continue;
    request->quarantined_for = time;
    FinishFailed(request, result_code::kContentQuarantined, now, out);
  }
}

// The canary has answered, so the other parts may run.
void route_engine::StartOtherParts(request_state* request, time_point now,
                                   route_effects* out) {
  request->canary = false;
  for (std::size_t i = 0; i < request->parts.size(); ++i) {
    const part_state& part = request->parts[i];
    if (part.ended() || !part.tried.empty()) continue;
    FindOrCreateService(part.service).budget.OnRequest();
    if (!Place(request, i, send_reason::kFirst, now, out)) {
      FailUnplaced(request, i, now);
    }
  }
}

}  // namespace bilberrycourse
