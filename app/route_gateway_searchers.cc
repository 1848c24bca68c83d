#include "app/daemon_clock.h"
#include "app/json_log.h"
#include "app/route_gateway.h"
#include "bilberrycourse/crash_evidence.h"

// What the route_gateway logs and passes on about searchers: crashes, invalid
// replies, request limits, rests and departures.

namespace bilberrycourse {
namespace {

// Evidence of searcher crashes up to this age is sent to a new leader of the
// control group; the former one has passed on what is older.
constexpr duration kResentCrashEvidenceAge = std::chrono::seconds(10);

}  // namespace

void route_gateway::ExecuteEffect(attempt_lost& effect) {
  if (!crash_log_limiter_.Allow(Now())) return;
  LogDecision("attempt_lost",
              {{"searcher", effect.searcher},
               {"service", effect.service},
               {"content", static_cast<std::uint64_t>(effect.content)},
               {"left_out", crash_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::ExecuteEffect(crash_evidence_found& effect) {
  for (const crash_evidence_record& record : effect.records) {
    if (!crash_log_limiter_.Allow(Now())) break;
    LogDecision("crash_evidence",
                {{"content", static_cast<std::uint64_t>(record.content)},
                 {"succeeded", record.success},
                 {"searcher", record.server.replica},
                 {"service", record.server.shard.service},
                 {"left_out", crash_log_limiter_.TakeSuppressedCount()}});
  }
  if (!send_crash_evidence_ || !send_crash_evidence_(effect.records)) {
    crash_evidence_unsent_ = true;
  }
}

void route_gateway::ExecuteEffect(content_quarantined& effect) {
  if (!crash_log_limiter_.Allow(Now())) return;
  LogEvent(log_level::kWarning, "content_quarantined",
           {{"content", static_cast<std::uint64_t>(effect.content)},
            {"seconds", effect.time.count() / 1'000'000},
            {"left_out", crash_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::OnCrashEvidence(
    const std::vector<crash_evidence_record>& records, time_point now) {
  route_effects effects;
  engine_.OnCrashEvidence(records, now, &effects);
  Execute(&effects);
}

bool route_gateway::ResendCrashEvidence(time_point now) {
  const auto records = engine_.CrashEvidence(kResentCrashEvidenceAge, now);
  crash_evidence_unsent_ = !records.empty() && send_crash_evidence_ &&
                           !send_crash_evidence_(records);
  return !crash_evidence_unsent_;
}

void route_gateway::ExecuteEffect(searcher_limit_changed& effect) {
  if (!request_limit_log_limiter_.Allow(Now())) return;
  LogDecision("searcher_limit_changed",
              {{"searcher", effect.searcher},
               {"limited", effect.per_second.has_value()},
               {"requests_per_second", effect.per_second.value_or(0)},
               {"left_out", request_limit_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::ExecuteEffect(searcher_resting& effect) {
  if (!request_limit_log_limiter_.Allow(Now())) return;
  LogDecision("searcher_resting",
              {{"searcher", effect.searcher},
               {"rest_ms", effect.time.count() / 1000},
               {"left_out", request_limit_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::ExecuteEffect(searcher_leaving& effect) {
  LogDecision("searcher_leaving", {{"searcher", effect.searcher}});
}

void route_gateway::ExecuteEffect(reply_status_invalid& effect) {
  ++invalid_replies_;
  if (!status_log_limiter_.Allow(Now())) return;
  const result_code_info& info = Describe(result_code::kInvalidReplyStatus);
  LogEvent(log_level::kWarning, "reply_status_invalid",
           {{"searcher", effect.searcher},
            {"service", effect.service},
            {"relay", effect.relay},
            {"code", info.number},
            {"reason", info.name},
            {"left_out", status_log_limiter_.TakeSuppressedCount()}});
}

}  // namespace bilberrycourse
