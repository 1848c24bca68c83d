#include <algorithm>
#include <string_view>
#include <utility>

#include "bilberrycourse/route_engine.h"
#include "bilberrycourse/top_records.h"

// Requests whose shards are searched by several instances, on the origin and on
// the relay.

namespace bilberrycourse {
namespace {

// The relay gets all attempts of a route with up to this many, because hedging
// needs two. With more, the origin keeps one for shards of a lost relay.
constexpr std::uint32_t kMaxAttemptsWithoutReserve = 2;

bool HasReservedAttempt(const route& matched_route) {
  return matched_route.max_attempts > kMaxAttemptsWithoutReserve;
}

// Returns true if a relay forwards a reply with an invalid status, as instances
// of earlier builds do.
bool HasInvalidReply(const shard_report& report) {
  return report.reply != nullptr && !IsFinalStatus(report.reply->status);
}

// Returns the report with the failure of the searcher in place of its reply.
shard_report WithoutInvalidReply(shard_report report) {
  report.reply = nullptr;
  report.stamps.clear();
  for (const std::size_t position : std::exchange(report.answered, {})) {
    report.failed.push_back({position, {}, false});
  }
  for (failed_shard& failure : report.failed) {
    failure.code = result_code::kInvalidReplyStatus;
    failure.not_run = false;
  }
  return report;
}

}  // namespace

void route_engine::StartRelays(request_state* request, time_point now,
                               route_effects* out) {
  const route& matched_route = *request->call.matched_route;
  const std::uint32_t max_attempts =
      matched_route.max_attempts - (HasReservedAttempt(matched_route) ? 1 : 0);
  for (std::size_t i = 0; i < request->relays.size(); ++i) {
    SendGroup(request, i, max_attempts, now, out);
  }
}

// Sends the parts of one group to its relay.
void route_engine::SendGroup(request_state* request, std::size_t group,
                             std::uint32_t max_attempts, time_point now,
                             route_effects* out) {
  relay_task& task = request->relays[group];
  task.sent = true;
  send_to_relay effect;
  effect.request = request->call.id;
  effect.group = group;
  effect.relay = task.group.relay;
  effect.max_attempts = max_attempts;
  effect.answer_in = std::max(
      request->answer_at - now - options_.relay_report_margin, duration{0});
  effect.time_left = std::max(request->expires_at - now, duration{0});
  effect.single = !request->fan_out();
  for (const std::size_t index : task.group.parts) {
    part_state& part = request->parts[index];
    part.owner = part_owner::kRelay;
    part.group = group;
    // The relay may send the request at any time from now on.
    ++part.may_have_run;
    effect.fallback = !part.fallbacks.empty();
    effect.shards.push_back(part.service);
  }
  out->push_back(std::move(effect));
  SetTimer(timer_kind::kRelay,
           std::max(request->answer_at, now) + options_.relay_report_margin,
           request->call.id, group);
}

void route_engine::OnRelayReport(route_request_id id, std::size_t group,
                                 const shard_report& report, time_point now,
                                 route_effects* out) {
  request_state* request = FindRequest(id);
  if (request == nullptr || group >= request->relays.size()) return;
  // After the link was lost, the origin searches the shards itself.
  relay_task& task = request->relays[group];
  if (task.done) return;
  if (HasInvalidReply(report)) {
    for (const std::size_t index : task.group.parts) {
      out->push_back(reply_status_invalid{
          {}, request->parts[index].service, task.group.relay});
    }
    return OnRelayReport(id, group, WithoutInvalidReply(report), now, out);
  }
  const std::string_view problem = ReportProblem(*request, group, report);
  if (!problem.empty()) {
    return RefuseReport(request, group, problem, now, out);
  }
  task.reported = true;
  task.done = report.final;
  request->attempts += report.attempts;
  request->hedges += report.hedges;
  AnswerByRelay(request, group, report);
  // Copied, because a shard that takes another way adds a task.
  const std::vector<std::size_t> positions = task.group.parts;
  for (const failed_shard& failure : report.failed) {
    if (!request->fan_out() && report.reply != nullptr) {
      request->parts.front().error_reply = report.reply;
    }
    OnRelayFailure(request, positions[failure.position], failure, now, out);
  }
  // The relay sends nothing more about shards that it has left out.
  if (report.final) return SearchInsteadOfRelay(request, group, now, out);
  CheckDone(request, now, out);
}

// Returns why the report can't be used, or nothing if it can. Each shard that
// it names must be one of the group that has no result yet, and must be named
// once: the body holds the records of all of them and can't be divided.
std::string_view route_engine::ReportProblem(const request_state& request,
                                             std::size_t group,
                                             const shard_report& report) {
  const std::vector<std::size_t>& positions = request.relays[group].group.parts;
  if (report.stamps.size() != report.answered.size()) {
    return "not one signature for each answered shard";
  }
  if (!request.fan_out() && !report.answered.empty() &&
      report.reply == nullptr) {
    return "an answered request without its reply";
  }
  std::vector<std::size_t> named = report.answered;
  for (const failed_shard& failure : report.failed) {
    named.push_back(failure.position);
  }
  std::vector<bool> seen(positions.size(), false);
  for (const std::size_t position : named) {
    if (position >= positions.size()) return "an unknown shard";
    if (seen[position]) return "a shard named twice";
    seen[position] = true;
    const part_state& part = request.parts[positions[position]];
    if (part.ended() || !part.owned_by_relay(group)) {
      return "a shard that is not the relay's any more";
    }
  }
  return {};
}

// Goes on as if the link to the relay were lost.
void route_engine::RefuseReport(request_state* request, std::size_t group,
                                std::string_view problem, time_point now,
                                route_effects* out) {
  ++counters_.refused_reports;
  const instance_name& relay = request->relays[group].group.relay;
  out->push_back(relay_report_refused{relay, problem});
  out->push_back(cancel_at_relay{request->call.id, group, relay, false});
  SearchInsteadOfRelay(request, group, now, out);
}

// Takes over the answered shards of a report that ReportProblem() has passed.
void route_engine::AnswerByRelay(request_state* request, std::size_t group,
                                 const shard_report& report) {
  const std::vector<std::size_t>& positions =
      request->relays[group].group.parts;
  for (std::size_t i = 0; i < report.answered.size(); ++i) {
    part_state& part = request->parts[positions[report.answered[i]]];
    ++request->answered;
    if (!request->fan_out()) {
      // The whole reply is forwarded unchanged.
      part.reply = report.reply;
      continue;
    }
    auto reply = std::make_shared<searcher_reply>();
    reply->stamp = report.stamps[i];
    part.reply = std::move(reply);
  }
  if (request->fan_out()) request->relay_bodies.push_back(report.body);
}

// The relay may merely be slow. Searching its shards again could exceed the
// route's max_attempts, so the origin keeps waiting, and the relay_silent
// effect lets it skip the relay for its next requests.
void route_engine::OnRelayDue(request_state* request, std::size_t group,
                              route_effects* out) {
  const relay_task& task = request->relays[group];
  if (!task.reported) out->push_back(relay_silent{task.group.relay});
}

void route_engine::OnRelayLost(const instance_name& relay, time_point now,
                               route_effects* out) {
  std::vector<std::pair<route_request_id, std::size_t>> lost;
  for (const auto& [id, request] : requests_) {
    for (std::size_t i = 0; i < request.relays.size(); ++i) {
      const relay_task& task = request.relays[i];
      if (task.group.relay == relay && !task.done) {
        lost.emplace_back(id, i);
      }
    }
  }
  for (const auto& [id, group] : lost) {
    request_state* request = FindRequest(id);
    if (request != nullptr) SearchInsteadOfRelay(request, group, now, out);
  }
}

// The relay may have used all attempts that it was granted at any moment before
// its link was lost: a reset of its connections ends attempts and link at once,
// and it retries before it notices the loss. So the origin searches a shard
// only if it has kept an attempt, and charges it to the retry budget.
void route_engine::SearchInsteadOfRelay(request_state* request,
                                        std::size_t group, time_point now,
                                        route_effects* out) {
  request->relays[group].done = true;
  const route& matched_route = *request->call.matched_route;
  const std::vector<std::size_t> parts = request->relays[group].group.parts;
  for (const std::size_t index : parts) {
    part_state& part = request->parts[index];
    // Another relay may search what this one has given back.
    if (part.ended() || !part.owned_by_relay(group)) continue;
    part.owner = part_owner::kSelf;
    // A fallback relay was granted all attempts.
    const bool may_search = HasReservedAttempt(matched_route) &&
                            part.fallbacks.empty() &&
                            MayRepeat(request->call.content, now);
    if (may_search) part.may_have_run = matched_route.max_attempts - 1;
    const bool started =
        may_search && FindOrCreateService(part.service).budget.TryTake() &&
        StartAttempt(request, index, send_reason::kFailed, now, out);
    if (!started) {
      FailPart(request, index, result_code::kOwnerUnreachable);
    }
  }
  CheckDone(request, now, out);
}

void route_engine::CancelRelays(const request_state& request, bool caller_left,
                                route_effects* out) {
  for (std::size_t i = 0; i < request.relays.size(); ++i) {
    const relay_task& task = request.relays[i];
    if (!task.sent || task.done) continue;
    out->push_back(
        cancel_at_relay{request.call.id, i, task.group.relay, caller_left});
  }
}

// Sends the results that no earlier report contained. The final report ends the
// request.
void route_engine::Report(request_state* request, route_effects* out) {
  route_progress progress;
  progress.request = request->call.id;
  shard_report& report = progress.report;
  std::vector<std::string_view> bodies;
  for (std::size_t i = 0; i < request->parts.size(); ++i) {
    part_state& part = request->parts[i];
    if (part.reported || (part.reply == nullptr && !part.failed)) continue;
    part.reported = true;
    if (part.failed) {
      report.failed.push_back({i, part.failure, part.may_have_run == 0});
      if (!request->fan_out()) report.reply = part.error_reply;
      continue;
    }
    report.answered.push_back(i);
    if (!request->fan_out()) {
      report.reply = part.reply;
      report.stamps.push_back(part.reply->stamp);
      continue;
    }
    report.stamps.push_back(part.reply->stamp);
    bodies.push_back(part.reply->body);
  }
  report.final = request->answered + request->failed == request->parts.size();
  if (report.answered.empty() && report.failed.empty() && !report.final) {
    // The first report is sent even if it is empty, because the origin treats a
    // missing report as a failure of the relay.
    if (request->first_reported) return;
  }
  request->first_reported = true;
  // Shards that answer from now on wait for the time of the regular report.
  request->report_due = false;
  report.body = TopRecords(bodies, request->call.matched_route->top_records);
  report.attempts = std::exchange(request->attempts, 0);
  report.hedges = std::exchange(request->hedges, 0);
  const bool final = report.final;
  const route_request_id id = request->call.id;
  out->push_back(std::move(progress));
  if (!final) return;
  DropUnsent(*request);
  requests_.erase(id);
}

}  // namespace bilberrycourse
