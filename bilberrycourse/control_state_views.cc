// JSON views of control_state; docs/api.md describes the fields.

#include <algorithm>
#include <boost/json.hpp>

#include "bilberrycourse/control_state.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

// Time after the deadline within which an origin may still record the outcome:
// allows for one election of the control leader (below 1 s) and a few resends
// of the proposal.
constexpr wall_time_ms kFinishGraceMs = 5000;

json::value ParseStored(std::string_view text) {
  boost::system::error_code error;
  return json::parse(text, error);
}

// Returns true if a request that finished with `code` may or may not have taken
// effect.
bool IsOutcomeUncertain(result_code code) {
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
      return IsOutcomeUncertain(record.code) ? "unknown" : "answered";
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

json::object HistoryItem(const history_entry& entry) {
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
  json::array items;
  const std::size_t count = std::min(newest, history_.size());
  for (auto entry = history_.end() - static_cast<std::ptrdiff_t>(count);
       entry != history_.end(); ++entry) {
    items.push_back(HistoryItem(*entry));
  }
  return json::serialize(json::object{{"version", config_version_},
                                      {"history", std::move(items)}});
}

std::string control_state::ExceptionsView(wall_time_ms wall_now) const {
  json::array items;
  for (const auto& exception : document_.exceptions()) {
    json::value item = ParseStored(ExceptionText(exception));
    item.as_object()["expired"] =
        exception.expires_ms && *exception.expires_ms <= wall_now;
    items.push_back(std::move(item));
  }
  return json::serialize(json::object{{"version", config_version_},
                                      {"exceptions", std::move(items)}});
}

std::string control_state::RequestsView(wall_time_ms since,
                                        wall_time_ms wall_now,
                                        std::size_t limit) const {
  json::array items;
  bool truncated = false;
  for (auto order = request_order_.lower_bound({since, request_key{}});
       order != request_order_.end(); ++order) {
    const auto& key = order->second;
    const request_record& record = requests_.at(key);
    // A record without a target only stores abandoned runs.
    if (record.target.empty() || record.issued_at_ms < since) continue;
    if (items.size() >= limit) {
      truncated = true;
      break;
    }
    const auto& code = Describe(record.code);
    json::object item{{"caller", key.first},
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
      item["ended_at_ms"] = record.ended_at_ms;
    }
    if (record.phase == request_phase::kFinished) {
      item["code"] = code.number;
      item["name"] = code.name;
      item["answer_bytes"] = record.answer.size();
      item["answer_omitted"] = record.answer_omitted;
    }
    items.push_back(std::move(item));
  }
  return json::serialize(json::object{{"since_ms", since},
                                      {"now_ms", wall_now},
                                      {"truncated", truncated},
                                      {"requests", std::move(items)}});
}

std::string control_state::ZoneOrdersView(const availability_zone& zone) const {
  const zone_order_state state = ZoneOrders(zone);
  return json::serialize(json::object{{"version", state.version},
                                      {"latest_order", state.latest_order},
                                      {"evacuated", state.evacuated}});
}

std::optional<zone_order_state> ParseZoneOrdersView(std::string_view text) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return std::nullopt;
  const json::object& from = parsed.get_object();
  const json::value* version = from.if_contains("version");
  const json::value* latest = from.if_contains("latest_order");
  const json::value* evacuated = from.if_contains("evacuated");
  if (version == nullptr || latest == nullptr || evacuated == nullptr ||
      !version->is_number() || !latest->is_number() || !evacuated->is_bool()) {
    return std::nullopt;
  }
  zone_order_state state;
  state.version = version->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  state.latest_order = latest->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  state.evacuated = evacuated->get_bool();
  return state;
}

}  // namespace bilberrycourse
