#include <boost/beast/core/string.hpp>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/route_gateway.h"

// The functions of route_gateway for client accounts: who sends a request, and
// what of that reaches a searcher.

namespace bilberrycourse {
namespace {

// The lease of a gateway without one, which is never valid.
const control_lease& NoLease() {
  static const control_lease kNoLease;
  return kNoLease;
}

}  // namespace

const control_lease& route_gateway::RouteLease() const {
  return route_lease_ == nullptr ? NoLease() : *route_lease_;
}

bool route_gateway::MayServeAccounts(time_point now) const {
  return table_ == nullptr ||
         authenticator_.MayServe(table_->accounts(), RouteLease(), now);
}

std::uint32_t route_gateway::call_state::priority() const {
  const std::uint32_t route_priority = matched_route->priority;
  return account == nullptr ? route_priority
                            : account->priority.value_or(route_priority);
}

bool route_gateway::Authenticate(arrived_request* arrived) {
  http_request& request = arrived->request;
  arrived->sender = authenticator_.Check(
      arrived->table->accounts(), *arrived->matched_route,
      request.authorization_fields, RouteLease(), arrived->at);
  const result_code code = arrived->sender.code;
  if (code == result_code::kOk) {
    // The request may wait, and nothing reads the key again.
    request.authorization.clear();
    request.authorization_fields.clear();
    return true;
  }
  ++(code == result_code::kUnknownKey ? account_counters_.unknown_keys
                                      : account_counters_.lease_refusals);
  Refuse(request, code, std::move(arrived->respond));
  return false;
}

// A frame may have waited in a link that was cut off, so the origin's check may
// be old.
authentication route_gateway::CheckRelayed(const wire::relay_request& request,
                                           time_point now) const {
  return authenticator_.CheckRelayed(table_->accounts(), request.account_key(),
                                     RouteLease(), now);
}

// Returns what a searcher receives of a caller's headers: not those that the
// tier sets itself, and with accounts neither a key nor an account's name that
// the caller states. All ways to a searcher use the result: first attempts,
// hedges, retries and relays.
std::shared_ptr<const header_list> route_gateway::ForwardedHeaders(
    const header_list& headers, const route_table& table,
    std::string_view account) const {
  const edge_headers& names = protocol_->headers();
  // The configuration of a relay may be older than the accounts.
  const bool with_accounts = !table.accounts().empty() || !account.empty();
  auto out = std::make_shared<header_list>();
  for (const auto& header : headers) {
    const auto is = [&](const std::string& name) {
      return boost::beast::iequals(header.first, name);
    };
    const bool set_by_tier =
        is(names.deadline) || is(names.expected_searcher) ||
        is(names.request_id) ||
        (with_accounts && (is(names.authorization) || is(names.account)));
    if (!set_by_tier) out->push_back(header);
  }
  if (!account.empty()) out->emplace_back(names.account, account);
  return out;
}

void route_gateway::UpdateAccountMetrics() {
  const auto set = [&](const char* name, const char* help,
                       std::uint64_t value) {
    metrics_->SetGauge(name, help, static_cast<double>(value));
  };
  set("bilberrycourse_unknown_keys",
      "Requests refused because they have no key of an account.",
      account_counters_.unknown_keys);
  set("bilberrycourse_route_lease_refusals",
      "Requests refused because the routes may be outdated.",
      account_counters_.lease_refusals);
  set("bilberrycourse_relayed_key_refusals",
      "Relayed requests refused because their key could not be checked.",
      account_counters_.relay_refusals);
  const time_point now = Now();
  set("bilberrycourse_route_lease_valid",
      "1 while the lease on the routes is valid.",
      RouteLease().Valid(now) ? 1 : 0);
  if (const auto age = RouteLease().ConfirmationAge(now)) {
    metrics_->SetGauge(
        "bilberrycourse_route_confirmation_seconds",
        "Time since the routes were last known to be the newest.",
        std::chrono::duration<double>(*age).count());
  }
}

}  // namespace bilberrycourse
