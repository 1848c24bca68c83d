#include "app/caller_api.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

// Reads the fields of one JSON object and keeps the first error.
class field_reader {
 public:
  explicit field_reader(const json::object& object) : object_(object) {}

  std::string Name(std::string_view key, bool required) {
    const json::value* value = Find(key, required);
    if (value == nullptr) return {};
    if (!value->is_string() || value->get_string().empty() ||
        value->get_string().size() > kMaxNameBytes) {
      Fail(key, "must be a string of 1 to 256 bytes");
      return {};
    }
    return std::string(value->get_string());
  }

  bool Flag(std::string_view key, bool default_value) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return default_value;
    if (value->is_bool()) return value->get_bool();
    Fail(key, "must be true or false");
    return default_value;
  }

  std::optional<std::int64_t> Integer(std::string_view key, std::int64_t low,
                                      std::int64_t high) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return std::nullopt;
    boost::system::error_code error;
    const auto number = value->is_number()
                            ? value->to_number<std::int64_t>(error)
                            : std::int64_t{0};
    if (!value->is_number() || error || number < low || number > high) {
      Fail(key, "must be a whole number from " + std::to_string(low) + " to " +
                    std::to_string(high));
      return std::nullopt;
    }
    return number;
  }

  void RejectUnknown(std::initializer_list<std::string_view> known) {
    for (const auto& member : object_) {
      if (std::find(known.begin(), known.end(),
                    std::string_view(member.key())) == known.end()) {
        Fail(member.key(), "is not a known field");
      }
    }
  }

  void Fail(std::string_view key, std::string_view problem) {
    if (error_.empty()) {
      error_ = "field '" + std::string(key) + "' " + std::string(problem);
    }
  }

  const std::string& error() const { return error_; }

 private:
  const json::value* Find(std::string_view key, bool required) {
    const json::value* value = object_.if_contains(key);
    if (value == nullptr && required) Fail(key, "is missing");
    return value;
  }

  const json::object& object_;
  std::string error_;
};

// Appends the JSON text of `value` with the members of objects sorted, so that
// equal values have equal texts.
void AppendCanonical(const json::value& value, std::string* out) {
  if (value.is_object()) {
    std::vector<const json::key_value_pair*> members;
    for (const auto& member : value.get_object()) members.push_back(&member);
    std::sort(members.begin(), members.end(),
              [](const auto* a, const auto* b) { return a->key() < b->key(); });
    out->push_back('{');
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (i > 0) out->push_back(',');
      out->append(json::serialize(json::string(members[i]->key())));
      out->push_back(':');
      AppendCanonical(members[i]->value(), out);
    }
    out->push_back('}');
  } else if (value.is_array()) {
    out->push_back('[');
    bool first = true;
    for (const json::value& element : value.get_array()) {
      if (!std::exchange(first, false)) out->push_back(',');
      AppendCanonical(element, out);
    }
    out->push_back(']');
  } else {
    out->append(json::serialize(value));
  }
}

json::value ParsedOrText(const shared_body& body) {
  if (body == nullptr) return nullptr;
  boost::system::error_code error;
  json::value parsed = json::parse(*body, error);
  return error ? json::value(*body) : parsed;
}

json::object AnswerBody(const query_answer& result,
                        const std::string& request_id) {
  json::array missing;
  for (const missing_shard& missing_shard_entry : result.coverage.missing) {
    const result_code_info& info = Describe(missing_shard_entry.code);
    missing.push_back(
        json::object{{"service", missing_shard_entry.shard.service},
                     {"shard", missing_shard_entry.shard.shard},
                     {"code", info.number},
                     {"name", info.name},
                     {"reason", info.explanation}});
  }
  json::array results;
  for (const shard_answer& answer : result.results) {
    results.push_back(json::object{{"service", answer.shard.service},
                                   {"shard", answer.shard.shard},
                                   {"replica", answer.replica},
                                   {"body", ParsedOrText(answer.body)}});
  }
  json::object body{
      {"outcome", ToString(result.outcome)},
      {"code", Describe(result.code).number},
      {"name", Describe(result.code).name},
      {"request_id", request_id},
      {"coverage", json::object{{"searched", result.coverage.searched},
                                {"total", result.coverage.total},
                                {"missing", std::move(missing)}}},
      {"extra_attempts", result.extra_attempts},
      {"restarted", result.restarted},
      {"results", std::move(results)}};
  body["snapshot"] =
      result.snapshot.has_value()
          ? json::value(static_cast<std::uint64_t>(*result.snapshot))
          : json::value();
  return body;
}

unsigned RetryAfterSeconds(duration retry_after) {
  if (retry_after <= duration{0}) return 0;
  return static_cast<unsigned>(
      std::chrono::ceil<std::chrono::seconds>(retry_after).count());
}

http_response RefusalResponse(result_code code, std::string_view detail,
                              std::string_view outcome,
                              const std::string& request_id) {
  http_response response = ProblemResponse(
      code, detail, {{"outcome", outcome}, {"request_id", request_id}});
  if (response.status == 503) response.retry_after = 1;
  return response;
}

}  // namespace

struct caller_api::active_request {
  parsed_query parsed;
  ledger_entry entry;
  std::optional<query_id> query;
  http_responder respond;
  std::shared_ptr<std::function<void()>> on_disconnect;
  bool answered = false;
};

caller_api::caller_api(control_client* control, query_service* queries,
                       request_ledger* ledger)
    : control_(control), queries_(queries), ledger_(ledger) {}

void caller_api::Query(http_request request, http_responder respond) {
  const time_point now = Now();
  if (draining_) {
    return respond(
        RefusalResponse(result_code::kShuttingDown, "", "not_run", ""));
  }
  if (!control_->lease().Valid(now)) {
    return respond(
        RefusalResponse(result_code::kControlLeaseExpired, "", "not_run", ""));
  }
  result_code code = result_code::kOk;
  std::string detail;
  auto parsed = Parse(request, now, &code, &detail);
  if (!parsed.has_value()) {
    return respond(RefusalResponse(code, detail, "not_run", ""));
  }
  auto active = std::make_shared<active_request>();
  active->parsed = std::move(*parsed);
  active->respond = std::move(respond);
  active->on_disconnect = request.on_disconnect;
  active_.insert(active);
  if (active->parsed.recorded) return BeginRecorded(active);
  Run(active);
}

std::optional<caller_api::parsed_query> caller_api::Parse(
    const http_request& request, time_point now, result_code* code,
    std::string* detail) const {
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  if (error || !body.is_object()) {
    *code = result_code::kMalformedRequest;
    *detail = "the body is not a JSON object";
    return std::nullopt;
  }
  field_reader reader(body.get_object());
  reader.RejectUnknown({"target", "body", "deadline_ms", "caller", "request_id",
                        "idempotent", "keep", "issued_at_ms"});
  parsed_query parsed;
  parsed.query.target = reader.Name("target", true);
  parsed.query.caller = reader.Name("caller", true);
  parsed.request_id = reader.Name("request_id", false);
  parsed.query.idempotent = reader.Flag("idempotent", true);
  parsed.keep = reader.Flag("keep", false);
  const auto deadline = reader.Integer("deadline_ms", 0, kMaxDeadlineMs);
  const auto issued = reader.Integer("issued_at_ms", 0, INT64_MAX);
  if (!reader.error().empty()) {
    *code = result_code::kInvalidField;
    *detail = reader.error();
    return std::nullopt;
  }
  if (deadline == 0) {
    *code = result_code::kDeadlinePassed;
    return std::nullopt;
  }
  if (control_->published().document.FindPolicy(parsed.query.target) ==
          nullptr &&
      !queries_->HasTarget(parsed.query.target)) {
    *code = result_code::kUnknownTarget;
    *detail = "'" + parsed.query.target + "'";
    return std::nullopt;
  }
  parsed.deadline_ms = static_cast<std::uint32_t>(deadline.value_or(0));
  parsed.issued_at_ms = issued.value_or(0);
  std::string text;
  if (const json::value* content = body.get_object().if_contains("body")) {
    AppendCanonical(*content, &text);
  }
  parsed.query.body = std::make_shared<const std::string>(std::move(text));
  parsed.query.traceparent = request.traceparent;
  ApplyPolicy(&parsed, now);
  parsed.key = request.idempotency_key;
  // A kept request without a key is recorded under its request id.
  if (parsed.key.empty() && parsed.keep && parsed.query.idempotent) {
    parsed.key = parsed.request_id;
  }
  parsed.recorded = !parsed.query.idempotent || parsed.keep;
  if (parsed.recorded && !issued.has_value() && parsed.query.idempotent) {
    parsed.issued_at_ms = WallNow();
  }
  if (parsed.recorded && (parsed.key.empty() || parsed.issued_at_ms == 0)) {
    *code = result_code::kMissingIdempotencyKey;
    return std::nullopt;
  }
  if (parsed.key.size() > kMaxNameBytes) {
    *code = result_code::kInvalidField;
    *detail = "Idempotency-Key is longer than 256 bytes";
    return std::nullopt;
  }
  return parsed;
}

void caller_api::ApplyPolicy(parsed_query* parsed, time_point now) const {
  const config_document& document = control_->published().document;
  const service_policy* policy = document.FindPolicy(parsed->query.target);
  parsed->query.policy =
      policy != nullptr ? *policy : document.default_policy();
  const caller_policy overrides =
      document.CallerPolicyAt(parsed->query.caller, WallNow());
  parsed->query.caller_weight = overrides.caller_weight;
  if (overrides.deadline.has_value()) {
    parsed->query.policy.default_deadline = *overrides.deadline;
    parsed->query.policy.max_deadline = *overrides.deadline;
  }
  const service_policy& in_force = parsed->query.policy;
  if (!in_force.idempotent) parsed->query.idempotent = false;
  const duration requested =
      parsed->deadline_ms > 0
          ? duration(std::chrono::milliseconds(parsed->deadline_ms))
          : in_force.default_deadline;
  const duration granted = std::min(requested, in_force.max_deadline);
  parsed->query.deadline = now + granted;
  parsed->deadline_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(granted).count());
}

void caller_api::BeginRecorded(const std::shared_ptr<active_request>& active) {
  const parsed_query& parsed = active->parsed;
  request_begin& begin = active->entry.begin;
  begin.caller = parsed.query.caller;
  begin.key = parsed.key;
  begin.run = ledger_->NewRun();
  begin.target = parsed.query.target;
  begin.body_hash =
      XXH64(parsed.query.body->data(), parsed.query.body->size(),
            XXH64(parsed.query.target.data(), parsed.query.target.size(), 0));
  begin.issued_at_ms = parsed.issued_at_ms;
  begin.deadline_ms = parsed.deadline_ms;
  begin.idempotent = parsed.query.idempotent;
  begin.keep = parsed.keep;
  ledger_->Begin(
      active->entry, parsed.query.deadline,
      [this, active](const ledger_decision& decision) {
        if (active->answered) return;
        if (decision.run) return Run(active);
        if (decision.recorded && !decision.answer.empty()) {
          const auto status =
              static_cast<unsigned>(Describe(decision.code).http_status);
          return Respond(active,
                         {status, "application/json", decision.answer, 0});
        }
        // A request that is recorded without an answer, or that another run is
        // executing, may have run.
        const bool may_have_run =
            decision.recorded || decision.code == result_code::kStillRunning;
        const result_code code = decision.code == result_code::kOk
                                     ? result_code::kOutcomeUnknown
                                     : decision.code;
        Respond(active,
                RefusalResponse(code, "", may_have_run ? "unknown" : "not_run",
                                active->parsed.request_id));
      });
}

void caller_api::Run(const std::shared_ptr<active_request>& active) {
  active->query = queries_->Submit(
      active->parsed.query, Now(),
      [this, active](const query_answer& result) { OnAnswer(active, result); });
  if (active->parsed.recorded || active->on_disconnect == nullptr) return;
  // When the caller disconnects, an unrecorded query is abandoned, which frees
  // its capacity. A recorded request continues, because its caller may request
  // the outcome later.
  *active->on_disconnect = [this, weak = std::weak_ptr(active)] {
    const auto abandoned = weak.lock();
    if (abandoned == nullptr || abandoned->answered) return;
    queries_->Abandon(*abandoned->query, Now());
    Respond(abandoned, RefusalResponse(result_code::kCancelled, "", "unknown",
                                       abandoned->parsed.request_id));
  };
}

void caller_api::OnAnswer(const std::shared_ptr<active_request>& active,
                          const query_answer& result) {
  http_response response;
  response.status = static_cast<unsigned>(Describe(result.code).http_status);
  if (result.outcome == query_outcome::kComplete ||
      result.outcome == query_outcome::kPartial) {
    // A partial answer counts as a success: the body lists what is missing.
    if (result.coverage.searched > 0) response.status = 200;
  }
  response.retry_after = RetryAfterSeconds(result.retry_after);
  json::object body = AnswerBody(result, active->parsed.request_id);
  if (response.status != 200) {
    const result_code_info& info = Describe(result.code);
    response.content_type = "application/problem+json";
    body["type"] = "about:blank";
    body["title"] = info.explanation;
    body["status"] = response.status;
  }
  response.body = json::serialize(body);
  if (!active->parsed.recorded) return Respond(active, std::move(response));
  const auto done = [this, active, response]() { Respond(active, response); };
  if (result.outcome == query_outcome::kNotRun) {
    return ledger_->Abandon(active->entry, done);
  }
  const result_code code = result.outcome == query_outcome::kUnknown
                               ? result_code::kOutcomeUnknown
                               : result.code;
  ledger_->Finish(active->entry, code, response.body, done);
}

void caller_api::AnswerUnfinished(time_point now) {
  const auto unfinished = active_;
  for (const std::shared_ptr<active_request>& active : unfinished) {
    if (active->query.has_value()) queries_->Abandon(*active->query, now);
    Respond(active, RefusalResponse(result_code::kOutcomeUnknown, "", "unknown",
                                    active->parsed.request_id));
  }
}

void caller_api::Respond(const std::shared_ptr<active_request>& active,
                         http_response response) {
  if (active->answered) return;
  active->answered = true;
  active_.erase(active);
  active->respond(std::move(response));
}

}  // namespace bilberrycourse
