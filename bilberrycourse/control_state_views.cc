// JSON views of control_state; docs/api.md describes the fields.

#include <algorithm>
#include <boost/json.hpp>

#include "bilberrycourse/control_state.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

// Time after the deadline in which an origin may still record the outcome: a
// proposal survives one election of the control leader (below 1 s) and a few
// resends.
constexpr wall_time_ms kFinishGraceMs = 5000;

json::value ParseStored(std::string_view text) {
  boost::system::error_code error;
  return json::parse(text, error);
}

// Finished with a code that leaves open whether the request took effect.
bool LeavesOutcomeOpen(result_code code) {
  switch (code) {
    case result_code::kOutcomeUnknown:
    case result_code::kDeadlineExceeded:
    case result_code::kBackendServerCrashed:
    case result_code::kOwnerUnreachable:
    case result_code::kCancelled:
    case result_code::kInternal:
      return true;
    default:
      return false;
  }
}

std::string_view StateName(const request_record& record,
                           wall_time_ms wall_now) {
  switch (record.phase) {
    case request_phase::kFinished:
      return LeavesOutcomeOpen(record.code) ? "unknown" : "answered";
    case request_phase::kRunning:
      return wall_now <=
                     record.begun_at_ms + record.deadline_ms + kFinishGraceMs
                 ? "running"
                 : "unanswered";
    case request_phase::kAbandoned:
      break;
  }
  return "unanswered";
}

json::object HistoryRow(const history_entry& entry) {
  return {{"version", entry.version},
          {"change_id", entry.change_id},
          {"author", entry.author},
          {"reason", entry.reason},
          {"accepted_at_ms", entry.accepted_at_ms},
          {"document", ParseStored(entry.document)}};
}

}  // namespace

std::string control_state::ConfigView() const {
  json::object view{{"version", config_version_},
                    {"document", ParseStored(document_.text())}};
  if (!history_.empty()) {
    view["accepted_at_ms"] = history_.back().accepted_at_ms;
  }
  return json::serialize(view);
}

std::string control_state::HistoryView(std::size_t newest) const {
  json::array rows;
  const std::size_t count = std::min(newest, history_.size());
  for (auto entry = history_.end() - static_cast<std::ptrdiff_t>(count);
       entry != history_.end(); ++entry) {
    rows.push_back(HistoryRow(*entry));
  }
  return json::serialize(
      json::object{{"version", config_version_}, {"history", std::move(rows)}});
}

std::string control_state::ExceptionsView(wall_time_ms wall_now) const {
  json::array rows;
  for (const auto& exception : document_.exceptions()) {
    json::value row = ParseStored(ExceptionText(exception));
    row.as_object()["expired"] =
        exception.expires_ms && *exception.expires_ms <= wall_now;
    rows.push_back(std::move(row));
  }
  return json::serialize(json::object{{"version", config_version_},
                                      {"exceptions", std::move(rows)}});
}

std::string control_state::RequestsView(wall_time_ms since,
                                        wall_time_ms wall_now,
                                        std::size_t limit) const {
  json::array rows;
  bool truncated = false;
  for (auto order = request_order_.lower_bound({since, request_key{}});
       order != request_order_.end(); ++order) {
    const auto& key = order->second;
    const request_record& record = requests_.at(key);
    // A record without target only remembers abandoned runs.
    if (record.target.empty() || record.issued_at_ms < since) continue;
    if (rows.size() >= limit) {
      truncated = true;
      break;
    }
    const auto& code = Describe(record.code);
    json::object row{{"caller", key.first},
                     {"key", key.second},
                     {"target", record.target},
                     {"state", StateName(record, wall_now)},
                     {"not_run", record.phase == request_phase::kAbandoned},
                     {"idempotent", record.idempotent},
                     {"keep", record.keep},
                     {"origin", record.run.origin},
                     {"issued_at_ms", record.issued_at_ms},
                     {"begun_at_ms", record.begun_at_ms},
                     {"deadline_ms", record.deadline_ms}};
    if (record.phase != request_phase::kRunning) {
      row["ended_at_ms"] = record.ended_at_ms;
    }
    if (record.phase == request_phase::kFinished) {
      row["code"] = code.number;
      row["name"] = code.name;
      row["answer_bytes"] = record.answer.size();
      row["answer_omitted"] = record.answer_omitted;
    }
    rows.push_back(std::move(row));
  }
  return json::serialize(json::object{{"since_ms", since},
                                      {"now_ms", wall_now},
                                      {"truncated", truncated},
                                      {"requests", std::move(rows)}});
}

}  // namespace bilberrycourse
