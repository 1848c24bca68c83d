#include <algorithm>
#include <utility>

#include "bilberrycourse/route_engine.h"
#include "bilberrycourse/top_records.h"

// Requests whose shards are searched by several instances: the side of the
// origin and that of the relay.

namespace bilberrycourse {

void route_engine::StartRelays(request* row, time_point now,
                               route_effects* out) {
  const std::vector<relay_group>& groups = row->call.relays;
  row->relay_heard.resize(groups.size(), false);
  row->relay_done.resize(groups.size(), false);
  for (std::size_t i = 0; i < groups.size(); ++i) {
    send_to_relay effect;
    effect.request = row->call.id;
    effect.group = i;
    effect.relay = groups[i].relay;
    effect.answer_in =
        std::max(row->answer_at - now - options_.relay_return, duration{0});
    effect.time_left = row->give_up_at - now;
    for (const std::size_t index : groups[i].parts) {
      part& each = row->parts[index];
      each.relayed = true;
      // The relay may send it at any moment from now on.
      ++each.may_have_run;
      effect.shards.push_back(each.service);
    }
    out->push_back(std::move(effect));
    SetAlarm(alarm_kind::kRelay, row->answer_at + options_.relay_return,
             row->call.id, i);
  }
}

void route_engine::OnRelayReport(route_request_id id, std::size_t group,
                                 const shard_report& report, time_point now,
                                 route_effects* out) {
  request* row = FindRequest(id);
  if (row == nullptr || group >= row->call.relays.size()) return;
  // After the loss of the link the origin has searched the shards itself. A
  // report carries the records of all its shards together, so that it counts
  // as a whole or not at all.
  if (row->relay_done[group]) return;
  const std::vector<std::size_t>& positions = row->call.relays[group].parts;
  row->relay_heard[group] = true;
  row->relay_done[group] = report.final;
  row->attempts += report.attempts;
  row->hedges += report.hedges;
  for (std::size_t i = 0; i < report.answered.size(); ++i) {
    if (report.answered[i] >= positions.size() || i >= report.stamps.size()) {
      continue;
    }
    part& each = row->parts[positions[report.answered[i]]];
    if (each.reply != nullptr || each.failed) continue;
    auto reply = std::make_shared<searcher_reply>();
    reply->stamp = report.stamps[i];
    // The records of all shards of the report travel together.
    if (i == 0) reply->body = report.body;
    each.reply = std::move(reply);
    ++row->answered;
  }
  for (const auto& [position, code] : report.failed) {
    if (position < positions.size()) {
      FailPart(row, positions[position], code);
    }
  }
  CheckDone(row, now, out);
}

// The relay may only be slow. Searching its shards again would reach more
// searchers than the route allows, so that the origin goes on waiting and
// leaves the relay out of its next requests.
void route_engine::OnRelayDue(request* row, std::size_t group,
                              route_effects* out) {
  if (row->relay_heard[group]) return;
  out->push_back(relay_silent{row->call.relays[group].relay});
}

void route_engine::OnRelayLost(const instance_name& relay, time_point now,
                               route_effects* out) {
  std::vector<std::pair<route_request_id, std::size_t>> lost;
  for (const auto& [id, row] : requests_) {
    for (std::size_t i = 0; i < row.call.relays.size(); ++i) {
      if (row.call.relays[i].relay == relay && !row.relay_done[i]) {
        lost.emplace_back(id, i);
      }
    }
  }
  for (const auto& [id, group] : lost) {
    request* row = FindRequest(id);
    if (row != nullptr) SearchInsteadOfRelay(row, group, now, out);
  }
}

// The relay may have sent the request, so that each shard costs a repeat. Once
// it may have hedged, too, a further searcher could be one too many.
void route_engine::SearchInsteadOfRelay(request* row, std::size_t group,
                                        time_point now, route_effects* out) {
  row->relay_done[group] = true;
  const route& matched_route = *row->call.matched_route;
  const bool may_search = matched_route.max_attempts > 2 ||
                          now - row->received < HedgeDelay(matched_route, now);
  for (const std::size_t index : row->call.relays[group].parts) {
    part& each = row->parts[index];
    if (each.reply != nullptr || each.failed) continue;
    each.relayed = false;
    const bool started =
        may_search && Service(each.service).budget.Take() &&
        StartAttempt(row, index, send_reason::kFailed, now, out);
    if (!started) {
      FailPart(row, index, result_code::kOwnerUnreachable);
    }
  }
  CheckDone(row, now, out);
}

void route_engine::CancelRelays(const request& row, bool caller_left,
                                route_effects* out) {
  for (std::size_t i = 0; i < row.call.relays.size(); ++i) {
    if (row.relay_done[i]) continue;
    out->push_back(
        cancel_at_relay{row.call.id, i, row.call.relays[i].relay, caller_left});
  }
}

// Reports what no earlier report has named; the last report ends the request.
void route_engine::Report(request* row, route_effects* out) {
  route_progress progress;
  progress.request = row->call.id;
  shard_report& report = progress.report;
  std::vector<std::string_view> bodies;
  for (std::size_t i = 0; i < row->parts.size(); ++i) {
    part& each = row->parts[i];
    if (each.reported || (each.reply == nullptr && !each.failed)) continue;
    each.reported = true;
    if (each.failed) {
      report.failed.emplace_back(i, each.failure);
      continue;
    }
    report.answered.push_back(i);
    report.stamps.push_back(each.reply->stamp);
    bodies.push_back(each.reply->body);
  }
  report.final = row->answered + row->failed == row->parts.size();
  if (report.answered.empty() && report.failed.empty() && !report.final) {
    // The first report is due even if it is empty: silence means a loss.
    if (row->first_reported) return;
  }
  row->first_reported = true;
  report.body = TopRecords(bodies, row->call.matched_route->top_records);
  report.attempts = std::exchange(row->attempts, 0);
  report.hedges = std::exchange(row->hedges, 0);
  const bool final = report.final;
  const route_request_id id = row->call.id;
  out->push_back(std::move(progress));
  if (!final) return;
  ForgetUnsent(*row);
  requests_.erase(id);
}

}  // namespace bilberrycourse
