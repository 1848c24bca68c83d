#include "app/route_registry.h"

#include <memory>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// Clients try another instance after one second without a response.
constexpr duration kCallTimeout = std::chrono::milliseconds(850);
constexpr double kInvalidCallLogsPerSecond = 5;
// Proposals of one evacuation order. Each further one takes another order that
// was committed in between; with 8, one of 16 orders sent at once got 503.
constexpr int kEvacuationTries = 32;
// By then a member that is in touch has applied what the leader has committed.
constexpr double kSupersededRetrySeconds = 0.1;

http_response Accepted() { return {200, "application/json", "{}"}; }

http_response Unavailable(result_code code) {
  http_response response = ProblemResponse(code);
  response.status = 503;
  return response;
}

// Answer to a call that a later one of the same sender may have superseded.
http_response Superseded(std::string_view detail) {
  http_response response =
      ProblemResponse(result_code::kVersionConflict, detail);
  response.status = 503;
  response.retry_after = kSupersededRetrySeconds;
  return response;
}

// Returns what the command has done if it was committed, otherwise the failure.
control_outcome OutcomeOf(const control_reply& reply) {
  control_outcome outcome;
  outcome.code = reply.code;
  if (reply.code != result_code::kOk) return outcome;
  outcome.code = result_code::kInternal;
  return DecodeOutcome(reply.body).value_or(outcome);
}

}  // namespace

route_registry::route_registry(const edge_protocol* protocol,
                               control_service* local, control_client* client)
    : protocol_(protocol),
      local_(local),
      client_(client),
      log_limiter_(kInvalidCallLogsPerSecond) {}

void route_registry::Handle(const http_request& request,
                            http_responder respond) {
  const registry_call call = protocol_->ReadCall(request);
  std::visit(
      [&](const auto& typed_call) {
        HandleCall(typed_call, request.sent_after, std::move(respond));
      },
      call);
}

void route_registry::HandleCall(const invalid_call& call, time_point,
                                http_responder respond) {
  if (log_limiter_.Allow(Now())) {
    LogEvent(log_level::kWarning, "call_refused",
             {{"code", Describe(call.code).number},
              {"problem", call.problem},
              {"left_out", log_limiter_.TakeSuppressedCount()}});
  }
  respond(ProblemResponse(call.code, call.problem));
}

void route_registry::HandleCall(const put_routes_call& call, time_point,
                                http_responder respond) {
  std::string problem;
  const auto config = protocol_->ReadRoutes(call.document, &problem);
  result_code code = config.has_value() ? CheckRouteConfig(*config, &problem)
                                        : result_code::kInvalidDocument;
  if (code != result_code::kOk) {
    LogEvent(log_level::kWarning, "routes_refused",
             {{"version", config.has_value() ? config->version : 0},
              {"problem", problem}});
    http_response response = ProblemResponse(code, problem);
    response.status = 400;
    return respond(std::move(response));
  }
  const std::uint64_t version = config->version;
  client_->Propose(
      EncodeCommand(route_document{version, call.document}),
      Now() + kCallTimeout, [version, respond](const control_reply& reply) {
        LogEvent(log_level::kInfo, "routes_proposed",
                 {{"version", version},
                  {"code", Describe(reply.code).number},
                  {"reason", Describe(reply.code).name}});
        respond(reply.code == result_code::kOk ? Accepted()
                                               : Unavailable(reply.code));
      });
}

void route_registry::HandleCall(const get_routes_call&, time_point,
                                http_responder respond) {
  client_->Read("routes", "", Now() + kCallTimeout,
                [respond](const control_reply& reply) {
                  if (reply.code != result_code::kOk || reply.body.empty()) {
                    return respond(Unavailable(result_code::kNoQuorum));
                  }
                  respond({200, "application/json", reply.body});
                });
}

// Returns true if the report repeats committed state and so needs no log entry.
// A report with an unknown id is not a renewal, because this member's state may
// be behind.
bool route_registry::IsRenewal(const searcher_report& report) const {
  const searcher_directory& directory = local_->state().searchers();
  const searcher_record* known_record = directory.Find(report.id);
  if (known_record == nullptr || directory.IsUpdate(report)) return false;
  return known_record->report.state >= report.state;
}

void route_registry::HandleCall(const searcher_call& call,
                                time_point sent_after, http_responder respond) {
  const std::string_view problem = CheckSearcherReport(call.report);
  if (!problem.empty()) {
    return HandleCall(
        invalid_call{result_code::kInvalidField, std::string(problem)}, {},
        std::move(respond));
  }
  if (IsRenewal(call.report)) return respond(Accepted());
  pending_report pending{call.report, false, std::move(respond)};
  searcher_report& report = pending.report;
  // An unknown searcher may be known to the other members.
  if (report.state == searcher_state::kGone && report.started_at_ms == 0 &&
      local_->state().searchers().Find(report.id) != nullptr) {
    ObserveState();
    const auto started_at_ms =
        searcher_starts_.KnownBefore(report.id, sent_after);
    if (!started_at_ms.has_value()) {
      LogEvent(log_level::kInfo, "leave_refused", {{"searcher", report.id}});
      return pending.respond(Superseded(
          "the searcher has started after it may have sent this; send it again "
          "if it still leaves"));
    }
    report.started_at_ms = *started_at_ms;
    pending.start_inferred = true;
  }
  pending_.push_back(std::move(pending));
}

void route_registry::HandleCall(const evacuation_call& call,
                                time_point sent_after, http_responder respond) {
  if (!IsZoneName(call.zone)) {
    return HandleCall(
        invalid_call{result_code::kInvalidField,
                     "a zone is 1 to 128 letters, digits, '-', '_' and '.'"},
        sent_after, std::move(respond));
  }
  ObserveState();
  const auto order = std::make_shared<evacuation_order>();
  order->zone = call.zone;
  order->evacuated = call.evacuated;
  order->known_version = evacuation_versions_.KnownBefore(sent_after);
  order->opening = opening_;
  order->deadline = Now() + kCallTimeout;
  order->tries_left = kEvacuationTries;
  order->respond = std::move(respond);
  ProposeEvacuation(order, local_->state().ZoneOrders(call.zone));
}

// The data folder may have been replaced, and the versions of the new state may
// be those of another group.
void route_registry::ObserveState() {
  if (opening_ != local_->opening()) {
    evacuation_versions_.Clear();
    searcher_starts_.Clear();
  }
  opening_ = local_->opening();
  const time_point now = Now();
  evacuation_versions_.Observe(local_->state().evacuations().version, now);
  searcher_starts_.Observe(local_->state().searchers(), now);
}

// Proposes the order on the version of `state`, unless a later order of its
// sender may be part of that.
void route_registry::ProposeEvacuation(const evacuation_order_pointer& order,
                                       const zone_order_state& state) {
  if (order->opening != local_->opening() ||
      MayBeSuperseded(order->evacuated, order->known_version, state)) {
    LogEvent(log_level::kInfo, "evacuation_refused",
             {{"zone", order->zone},
              {"evacuated", order->evacuated},
              {"known_version", order->known_version},
              {"latest_order", state.latest_order}});
    return order->respond(Superseded(
        "another order about the zone was accepted after this one may have "
        "been sent; send it again if it is still wanted"));
  }
  --order->tries_left;
  client_->Propose(EncodeCommand(zone_evacuation{order->zone, order->evacuated,
                                                 state.version}),
                   order->deadline, [this, order](const control_reply& reply) {
                     OnEvacuationProposed(order, reply);
                   });
}

void route_registry::OnEvacuationProposed(const evacuation_order_pointer& order,
                                          const control_reply& reply) {
  const control_outcome outcome = OutcomeOf(reply);
  LogEvent(log_level::kInfo, "evacuation_proposed",
           {{"zone", order->zone},
            {"evacuated", order->evacuated},
            {"version", outcome.version},
            {"code", Describe(outcome.code).number},
            {"reason", Describe(outcome.code).name}});
  if (outcome.code == result_code::kOk) return order->respond(Accepted());
  if (outcome.code == result_code::kVersionConflict && order->tries_left > 0 &&
      Now() < order->deadline) {
    return ProposeEvacuationAgain(order);
  }
  // The name has been checked, so too many zones are evacuated.
  order->respond(
      outcome.code == result_code::kInvalidField
          ? ProblemResponse(outcome.code, "256 zones are evacuated already")
          : Unavailable(outcome.code));
}

// Another order was committed first, or this member is behind. The leader tells
// whether that order was about the same zone.
void route_registry::ProposeEvacuationAgain(
    const evacuation_order_pointer& order) {
  client_->Read(
      "zone_orders", order->zone, order->deadline,
      [this, order](const control_reply& reply) {
        const auto state = reply.code == result_code::kOk
                               ? ParseZoneOrdersView(reply.body)
                               : std::nullopt;
        if (!state.has_value()) {
          return order->respond(Unavailable(reply.code == result_code::kOk
                                                ? result_code::kVersionConflict
                                                : reply.code));
        }
        ProposeEvacuation(order, *state);
      });
}

void route_registry::Tick(time_point now) {
  ObserveState();
  AnswerLeaves(now);
  if (pending_.empty()) return;
  const auto batch =
      std::make_shared<std::vector<pending_report>>(std::move(pending_));
  pending_.clear();
  searcher_reports command;
  for (const pending_report& pending : *batch) {
    command.reports.push_back(pending.report);
  }
  const time_point deadline = now + kCallTimeout;
  client_->Propose(EncodeCommand(command), deadline,
                   [this, batch, deadline](const control_reply& reply) {
                     OnReportsProposed(batch.get(), reply.code, deadline);
                   });
}

void route_registry::OnReportsProposed(std::vector<pending_report>* batch,
                                       result_code code, time_point deadline) {
  for (pending_report& pending : *batch) {
    LogEvent(log_level::kInfo, "searcher_reported",
             {{"searcher", pending.report.id},
              {"service", pending.report.service},
              {"state", ToString(pending.report.state)},
              {"started_at_ms", pending.report.started_at_ms},
              {"sequence", pending.report.sequence},
              {"code", Describe(code).number}});
    if (code != result_code::kOk) {
      pending.respond(Unavailable(code));
    } else if (!pending.start_inferred || IsGone(pending.report.id)) {
      pending.respond(Accepted());
    } else {
      leaves_.push_back(
          {pending.report.id, deadline, std::move(pending.respond)});
    }
  }
}

// Answers the leaves that this member has applied, and those that it does not
// apply in time.
void route_registry::AnswerLeaves(time_point now) {
  std::erase_if(leaves_, [&](const committed_leave& leave) {
    const bool gone = IsGone(leave.id);
    if (!gone && now < leave.deadline) return false;
    leave.respond(gone ? Accepted()
                       : Unavailable(result_code::kVersionConflict));
    return true;
  });
}

bool route_registry::IsGone(const std::string& id) const {
  const searcher_record* record = local_->state().searchers().Find(id);
  return record == nullptr || record->report.state == searcher_state::kGone;
}

}  // namespace bilberrycourse
