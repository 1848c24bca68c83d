#include "app/operator_api.h"

#include <openssl/crypto.h>

#include <charconv>
#include <utility>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr duration kChangeTimeout = std::chrono::seconds(5);
constexpr duration kReadTimeout = std::chrono::seconds(2);
constexpr duration kInForceTimeout = std::chrono::milliseconds(500);
// First read id of in_force reads. control_client numbers its reads from 1, so
// the upper half of the id space is unused.
constexpr std::uint64_t kInForceReadBase = 1ULL << 63;
constexpr std::string_view kBearer = "Bearer ";

std::string TextField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<std::uint64_t> NumberField(const json::object& object,
                                         std::string_view key) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code error;
  if (value == nullptr || !value->is_number()) return std::nullopt;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  return number;
}

std::optional<json::object> ParseObject(const std::string& text) {
  boost::system::error_code error;
  json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.get_object());
}

}  // namespace

const operator_api::route operator_api::kRoutes[] = {
    {"GET", "/config/history", false, false, &operator_api::GetHistory},
    {"GET", "/config", false, false, &operator_api::GetConfig},
    {"POST", "/config", false, true, &operator_api::PostConfig},
    {"GET", "/exceptions", false, false, &operator_api::GetExceptions},
    {"POST", "/exceptions", false, true, &operator_api::PostException},
    {"DELETE", "/exceptions/", true, true, &operator_api::DeleteException},
    {"GET", "/members", false, false, &operator_api::GetMembers},
    {"GET", "/status", false, false, &operator_api::GetStatus},
    {"GET", "/requests", false, false, &operator_api::GetRequests},
};

operator_api::operator_api(const settings& config, peer_transport* transport,
                           cluster_service* cluster, control_client* control,
                           control_service* local, query_service* queries)
    : config_(config),
      transport_(transport),
      cluster_(cluster),
      control_(control),
      local_(local),
      queries_(queries) {}

bool operator_api::Handle(const http_request& request, http_responder respond) {
  bool path_known = false;
  for (const route& candidate : kRoutes) {
    const bool matches = candidate.prefix
                             ? request.path.starts_with(candidate.path)
                             : request.path == candidate.path;
    if (!matches) continue;
    path_known = true;
    if (request.method != candidate.method) continue;
    if (candidate.needs_token && !Authorized(request)) {
      respond(ProblemResponse(result_code::kUnauthorized));
    } else {
      (this->*candidate.handle)(request, std::move(respond));
    }
    return true;
  }
  if (path_known) respond(ProblemResponse(result_code::kMethodNotAllowed));
  return path_known;
}

// The comparison takes constant time for tokens of the same length; the length
// is not secret.
bool operator_api::Authorized(const http_request& request) const {
  const std::string_view header = request.authorization;
  if (!header.starts_with(kBearer)) return false;
  const std::string_view token = header.substr(kBearer.size());
  return token.size() == config_.operator_token.size() &&
         CRYPTO_memcmp(token.data(), config_.operator_token.data(),
                       token.size()) == 0;
}

void operator_api::ReadView(const std::string& view,
                            const std::string& argument,
                            http_responder respond) {
  control_->Read(view, argument, Now() + kReadTimeout,
                 [respond](const control_reply& reply) {
                   if (reply.code == result_code::kOk) {
                     return respond({200, "application/json", reply.body, 0});
                   }
                   respond(ProblemResponse(reply.code));
                 });
}

void operator_api::GetConfig(const http_request&, http_responder respond) {
  ReadView("config", "", std::move(respond));
}

void operator_api::GetHistory(const http_request&, http_responder respond) {
  ReadView("history", "", std::move(respond));
}

// Exceptions stay readable without a quorum: in that case the ones in force on
// this instance are returned, marked as not confirmed.
void operator_api::GetExceptions(const http_request&, http_responder respond) {
  control_->Read(
      "exceptions", "", Now() + kReadTimeout,
      [this, respond](const control_reply& reply) {
        if (reply.code == result_code::kOk) {
          return respond({200, "application/json", reply.body, 0});
        }
        const published_state& published = control_->published();
        json::array exceptions;
        for (const config_exception& exception :
             published.document.exceptions()) {
          exceptions.push_back(json::parse(ExceptionText(exception)));
        }
        respond({200, "application/json",
                 json::serialize(
                     json::object{{"version", published.config_version},
                                  {"confirmed", false},
                                  {"exceptions", std::move(exceptions)}}),
                 0});
      });
}

void operator_api::GetRequests(const http_request& request,
                               http_responder respond) {
  constexpr std::string_view kSince = "since=";
  const std::size_t at = request.query.find(kSince);
  wall_time_ms since = 0;
  if (at != std::string::npos) {
    const char* begin = request.query.data() + at + kSince.size();
    const char* end = request.query.data() + request.query.size();
    const auto [last, error] = std::from_chars(begin, end, since);
    if (error != std::errc() || (last != end && *last != '&')) {
      return respond(
          ProblemResponse(result_code::kInvalidField,
                          "since must be milliseconds since 1970-01-01 UTC"));
    }
  }
  ReadView("requests", std::to_string(since), std::move(respond));
}

void operator_api::PostConfig(const http_request& request,
                              http_responder respond) {
  const auto body = ParseObject(request.body);
  if (!body.has_value()) {
    return respond(ProblemResponse(result_code::kMalformedRequest));
  }
  const auto base = NumberField(*body, "base_version");
  const json::value* document = body->if_contains("document");
  config_change change;
  change.change_id = TextField(*body, "change_id");
  change.author = TextField(*body, "author");
  change.reason = TextField(*body, "reason");
  if (!base.has_value() || document == nullptr || change.change_id.empty()) {
    return respond(
        ProblemResponse(result_code::kInvalidField,
                        "change_id, base_version and document are required"));
  }
  change.base_version = *base;
  change.document = json::serialize(*document);
  ProposeChange(change, std::move(respond));
}

void operator_api::PostException(const http_request& request,
                                 http_responder respond) {
  const auto body = ParseObject(request.body);
  const json::value* exception =
      body.has_value() ? body->if_contains("exception") : nullptr;
  if (exception == nullptr) {
    return respond(ProblemResponse(result_code::kMalformedRequest,
                                   "change_id and exception are required"));
  }
  std::vector<document_error> errors;
  const auto parsed = ParseException(json::serialize(*exception), &errors);
  if (!parsed.has_value()) {
    json::array list;
    bool reason_missing = false;
    for (const document_error& error : errors) {
      reason_missing |=
          error.path.ends_with("/reason") || error.path.ends_with("/author");
      list.push_back(
          json::object{{"path", error.path}, {"message", error.message}});
    }
    return respond(ProblemResponse(reason_missing
                                       ? result_code::kReasonMissing
                                       : result_code::kInvalidDocument,
                                   "", {{"errors", std::move(list)}}));
  }
  exception_add change;
  change.change_id = TextField(*body, "change_id");
  change.base_version = NumberField(*body, "base_version");
  change.exception = *parsed;
  ProposeChange(change, std::move(respond));
}

void operator_api::DeleteException(const http_request& request,
                                   http_responder respond) {
  constexpr std::string_view kPrefix = "/exceptions/";
  const auto body = ParseObject(request.body);
  if (!body.has_value()) {
    return respond(
        ProblemResponse(result_code::kMalformedRequest,
                        "change_id, author and reason are required"));
  }
  exception_remove change;
  change.change_id = TextField(*body, "change_id");
  change.base_version = NumberField(*body, "base_version");
  change.exception_id = request.path.substr(kPrefix.size());
  change.author = TextField(*body, "author");
  change.reason = TextField(*body, "reason");
  ProposeChange(change, std::move(respond));
}

void operator_api::ProposeChange(const control_command& command,
                                 http_responder respond) {
  control_->Propose(
      EncodeCommand(command), Now() + kChangeTimeout,
      [respond](const control_reply& reply) {
        if (reply.code != result_code::kOk) {
          return respond(ProblemResponse(reply.code));
        }
        const auto outcome = DecodeOutcome(reply.body);
        if (!outcome.has_value()) {
          return respond(ProblemResponse(result_code::kInternal));
        }
        json::object members;
        if (!outcome->detail.empty()) {
          if (auto detail = ParseObject(outcome->detail)) {
            members = std::move(*detail);
          }
        }
        members["version"] = outcome->version;
        LogEvent(log_level::kInfo, "change_decided",
                 {{"code", Describe(outcome->code).number},
                  {"version", outcome->version}});
        if (outcome->code != result_code::kOk) {
          return respond(
              ProblemResponse(outcome->code, "", std::move(members)));
        }
        members["outcome"] = "accepted";
        respond({200, "application/json", json::serialize(members), 0});
      });
}

void operator_api::GetMembers(const http_request&, http_responder respond) {
  const time_point now = Now();
  json::array instances;
  for (const instance_record& instance : cluster_->members().alive()) {
    const auto status = cluster_->members().Status(instance.name);
    instances.push_back(
        json::object{{"instance", instance.name},
                     {"availability_zone", instance.zone},
                     {"roles", ToString(instance.roles)},
                     {"address", instance.http_address},
                     {"peer_address", instance.peer_address},
                     {"incarnation", instance.incarnation},
                     {"status", status.has_value() ? Name(*status) : "alive"}});
  }
  json::object body{{"instance", config_.name},
                    {"view_term", cluster_->members().view_term()},
                    {"instances", std::move(instances)}};
  body["control"] =
      local_ == nullptr ? json::value() : json::value(local_->Describe(now));
  respond({200, "application/json", json::serialize(body), 0});
}

void operator_api::GetStatus(const http_request&, http_responder respond) {
  const std::uint64_t id = kInForceReadBase + next_status_request_id_++;
  status_request status;
  status.due = Now() + kInForceTimeout;
  status.respond = std::move(respond);
  status.in_force[config_.name] = control_->published().config_version;
  status.expected = 1;
  for (const instance_record& instance : cluster_->members().alive()) {
    if (instance.name == config_.name ||
        !instance.roles.Has(instance_role::kEntry)) {
      continue;
    }
    ++status.expected;
    wire::readT read;
    read.read_id = id;
    read.view = "in_force";
    transport_->Send(instance.name, MakeFrame(std::move(read)));
  }
  if (status.expected == 1) return AnswerStatus(status);
  status_requests_[id] = std::move(status);
}

void operator_api::OnInForceReply(const instance_name& peer,
                                  const wire::read_result& result) {
  const auto found = status_requests_.find(result.read_id());
  if (found == status_requests_.end()) return;
  const std::string text = ToText(result.body());
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  found->second.in_force[peer] = version;
  if (found->second.in_force.size() < found->second.expected) return;
  const status_request status = std::move(found->second);
  status_requests_.erase(found);
  AnswerStatus(status);
}

void operator_api::Tick(time_point now) {
  std::erase_if(status_requests_, [&](const auto& pending) {
    if (now < pending.second.due) return false;
    AnswerStatus(pending.second);
    return true;
  });
}

void operator_api::AnswerStatus(const status_request& status) {
  const time_point now = Now();
  json::array in_force;
  json::array alive;
  for (const instance_record& instance : cluster_->members().alive()) {
    alive.push_back(json::value(instance.name));
    if (!instance.roles.Has(instance_role::kEntry)) continue;
    const auto found = status.in_force.find(instance.name);
    // An instance that did not answer is listed without a version.
    in_force.push_back(
        json::object{{"instance", instance.name},
                     {"version", found == status.in_force.end()
                                     ? json::value()
                                     : json::value(found->second)}});
  }
  json::array servers;
  static constexpr std::string_view kStates[] = {"serving", "draining", "lost"};
  cluster_->backend_servers().ForEach([&](const backend_server_record& server) {
    json::array versions;
    for (const index_version version : server.versions) {
      versions.push_back(static_cast<std::uint64_t>(version));
    }
    const instance_name* owner = cluster_->ownership().Owner(server.key.shard);
    servers.push_back(
        json::object{{"service", server.key.shard.service},
                     {"shard", server.key.shard.shard},
                     {"replica", server.key.replica},
                     {"state", kStates[static_cast<std::size_t>(server.state)]},
                     {"address", server.address},
                     {"availability_zone", server.zone},
                     {"versions", std::move(versions)},
                     {"owner", owner == nullptr ? "" : *owner}});
  });
  json::object body{{"instance", config_.name},
                    {"leader", control_->leader()},
                    {"lease_valid", control_->lease().Valid(now)},
                    {"config_version", control_->published().config_version},
                    {"in_force", std::move(in_force)},
                    {"alive", std::move(alive)},
                    {"backend_servers", std::move(servers)}};
  if (queries_ != nullptr) {
    body["queries_in_flight"] = queries_->coordinator().in_flight();
  }
  status.respond({200, "application/json", json::serialize(body), 0});
}

}  // namespace bilberrycourse
