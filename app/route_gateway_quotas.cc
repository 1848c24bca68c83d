#include <algorithm>
#include <utility>

#include "app/daemon_clock.h"
#include "app/route_gateway.h"

// The functions of route_gateway for quotas: requests of limited accounts pass
// the account_gate before they begin.

namespace bilberrycourse {

void route_gateway::Admit(arrived_request arrived) {
  if (arrived.sender.account == nullptr || !arrived.sender.account->limited()) {
    return Begin(std::move(arrived));
  }
  const client_account& account = *arrived.sender.account;
  quota_limits limits{account.name, account.requests_per_second, account.burst,
                      arrived.table->config().version};
  // Outlives this call if the request waits.
  const auto held = std::make_shared<arrived_request>(std::move(arrived));
  const gate_ticket ticket =
      gate_.Enter(std::move(limits), Now(), [this, held](const gate_result& r) {
        OnGateResult(std::move(*held), r);
      });
  if (ticket == 0) return;
  *held->request.on_disconnect = [this, ticket] { gate_.Cancel(ticket); };
  wake_();
}

void route_gateway::OnGateResult(arrived_request arrived,
                                 const gate_result& result) {
  if (result.code == result_code::kOk) {
    arrived.pass = result.pass;
    return Begin(std::move(arrived));
  }
  metrics_->RecordQuery(arrived.matched_route->name, Describe(result.code).name,
                        Now() - arrived.at, 0,
                        static_cast<std::uint32_t>(std::max<std::size_t>(
                            arrived.matched_route->shards.size(), 1)),
                        0);
  http_response response = ProblemResponse(result.code);
  response.retry_after =
      std::chrono::duration<double>(result.retry_after).count();
  arrived.respond(std::move(response));
}

// A request that was refused before anything was sent does not count.
void route_gateway::ReturnPass(const call_state& call,
                               const finish_route_request& finish) {
  if (!call.pass.has_value() || finish.attempts > 0) return;
  if (!Describe(finish.code).not_run) return;
  gate_.Return(*call.pass, Now());
}

void route_gateway::OnQuotaReply(const quota_reply& reply, time_point now) {
  gate_.OnReply(reply, now);
  wake_();
}

void route_gateway::OnLeaderLost(time_point now) {
  gate_.OnLeaderLost(now);
  wake_();
}

std::optional<time_point> route_gateway::next_due() const {
  const auto engine_due = engine_.next_due();
  const auto gate_due = gate_.next_due();
  if (!engine_due.has_value() || !gate_due.has_value()) {
    return engine_due.has_value() ? engine_due : gate_due;
  }
  return std::min(*engine_due, *gate_due);
}

void route_gateway::UpdateQuotaMetrics() {
  const account_gate_counters& gate = gate_.counters();
  const account_quota_counters& quotas = gate_.quotas().counters();
  const struct {
    const char* name;
    const char* help;
    std::uint64_t value;
  } gauges[] = {
      {"bilberrycourse_account_admitted",
       "Requests of limited accounts that were admitted.", gate.admitted},
      {"bilberrycourse_account_refused",
       "Requests refused because of their account's limit.", gate.refused},
      {"bilberrycourse_account_overflows",
       "Requests refused because too many waited for a permit.",
       gate.overflows},
      {"bilberrycourse_account_waits",
       "Requests that waited for a permit of the leader.", gate.waits},
      {"bilberrycourse_account_waiting", "Requests that wait for a permit.",
       gate_.waiting()},
      {"bilberrycourse_account_permits_wanted", "Permits wanted.", gate.wanted},
      {"bilberrycourse_account_permits_granted", "Permits granted.",
       quotas.granted},
      {"bilberrycourse_account_permits_returned",
       "Permits given back because they expired.", quotas.returned},
      {"bilberrycourse_account_own_share",
       "Requests admitted by this instance's own share.", quotas.own_share},
      {"bilberrycourse_account_allocator_silences",
       "Requests for permits that had no answer in time.", gate.silences},
      {"bilberrycourse_account_allocator_losses",
       "Times at which the allocator of quotas was lost.",
       quotas.allocator_losses},
  };
  for (const auto& gauge : gauges) {
    metrics_->SetGauge(gauge.name, gauge.help,
                       static_cast<double>(gauge.value));
  }
}

}  // namespace bilberrycourse
