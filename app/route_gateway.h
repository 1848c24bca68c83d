#ifndef APP_ROUTE_GATEWAY_H_
#define APP_ROUTE_GATEWAY_H_

// The entry instance's side of the routed interface: matches callers' requests
// to routes, runs them through the route_engine and writes the responses.
//
//   route_gateway gateway(executor, settings, protocol, &metrics);
//   gateway.OnRouteUpdate(update, now);
//   gateway.Handle(request, respond);
//   gateway.Tick(now);                     // at next_due()

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "app/account_gate.h"
#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "app/log_limiter.h"
#include "app/message_ids.h"
#include "app/metrics.h"
#include "app/peer_transport.h"
#include "app/searcher_client.h"
#include "app/settings.h"
#include "bilberrycourse/accounts/authenticator.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/fallback_peers.h"
#include "bilberrycourse/memory_budget.h"
#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/route_engine.h"

namespace bilberrycourse {

class route_gateway : public searcher_client_handler {
 public:
  // `wake` is called when next_due() may have become earlier.
  route_gateway(boost::asio::any_io_executor executor, const settings& config,
                const edge_protocol* protocol, peer_transport* transport,
                metrics* counters, std::function<void()> wake);

  // Handles a caller's request; calls `respond` exactly once.
  void Handle(http_request request, http_responder respond);

  // Applies a change of the routes, of the searcher directory or of the
  // evacuated zones.
  void OnRouteUpdate(const route_update& update, time_point now);
  // Version of the latest routes that were put in force; 0 if there is none.
  std::uint64_t route_version() const { return route_version_; }
  // Sets the lease on the routes, which must outlive the gateway. Without it
  // their age is unknown.
  void SetRouteLease(const control_lease* lease) { route_lease_ = lease; }
  // Returns false while strict revocation refuses every request with a key.
  bool MayServeAccounts(time_point now) const;
  void SetInstances(std::uint32_t instances, time_point now);
  void SetEntryInstances(const std::vector<entry_instance>& entries,
                         time_point now);
  // Called each tick. Updates the fallback relays and applies changes of the
  // searchers to the relays, here and not in Handle(), because it takes
  // milliseconds of a small instance.
  void RefreshRelays(time_point now);
  // Returns the entry instances that this instance keeps a link to as relays.
  std::vector<entry_instance> Relays(time_point now) const;
  // Sets how requests reach the limit_allocator. `send` returns false if it
  // can't be reached now. Its replies come by OnPeerFrame() or OnLimitReply().
  void SetLimitRequestSender(std::function<bool(const limit_request&)> send) {
    send_limit_request_ = std::move(send);
  }
  void OnLimitReply(const limit_reply& reply, time_point now);
  // Sets how requests for permits reach the quota_allocator. `send` returns
  // false if it can't be reached now. Its replies come by OnPeerFrame() or
  // OnQuotaReply().
  void SetQuotaRequestSender(std::function<bool(const quota_request&)> send) {
    gate_.SetSender(std::move(send));
  }
  void OnQuotaReply(const quota_reply& reply, time_point now);
  // The link to the leader of the control group is lost.
  void OnLeaderLost(time_point now);
  // Sets how crash evidence reaches the leader of the control group, which
  // passes it on to all entry instances. `send` returns false if the leader
  // can't be reached now.
  void SetCrashEvidenceSender(
      std::function<bool(const std::vector<crash_evidence_record>&)> send) {
    send_crash_evidence_ = std::move(send);
  }
  void OnCrashEvidence(const std::vector<crash_evidence_record>& records,
                       time_point now);
  // Sends what the leader may not know, to a new leader or after a failure.
  // Returns false if that failed.
  bool ResendCrashEvidence(time_point now);
  bool crash_evidence_unsent() const { return crash_evidence_unsent_; }
  // Handles frames of relays and replies of the limit_allocator. Returns false
  // for any other frame.
  bool OnPeerFrame(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  void OnPeerConnected(const instance_name& peer);
  void OnPeerDisconnected(const instance_name& peer, time_point now);
  // Called when the peer shuts down and should get no further relay requests.
  void OnRelayLeaving(const instance_name& peer, time_point now);
  // Called when the peer states whether it accepts requests to one service, and
  // whether it has lost its searchers.
  void OnRelayState(const instance_name& peer, bool accepts_single,
                    bool isolated, time_point now);
  // Called before OnRelayState() when the peer states whether it checks the
  // keys of relayed requests.
  void SetRelayChecksAccounts(const instance_name& peer, bool checks);
  // True while this instance reaches no searcher.
  bool isolated() const { return engine_.isolated(); }
  // `changed` is called when isolated() or Relays() has changed.
  void SetRelaysChangedHandler(std::function<void()> changed) {
    relays_changed_ = std::move(changed);
  }

  // The instance stops: answers every request by `end`, and refuses from now on
  // those that may not be answered by then.
  void StopAt(time_point end, time_point now);

  void Tick(time_point now);
  std::optional<time_point> next_due() const;
  // True once a configuration is in force.
  bool configured() const { return table_ != nullptr; }
  std::size_t in_flight() const { return calls_.size(); }
  // Requests that this instance runs as a relay of others.
  std::size_t relayed_in_flight() const { return served_requests_.size(); }
  // Sets the gauges from the counters of the engine and of the connections.
  void UpdateMetrics();

  void OnSearcherOpened(connection_id connection) override;
  void OnSearcherClosed(connection_id connection, connection_end end) override;
  void OnSearcherReply(connection_id connection, searcher_reply_pointer reply,
                       bool keep_alive,
                       std::optional<duration> idle_limit) override;

 private:
  static void LogSearchers(const route_update& update, bool full_list);
  void ApplyEvacuations(const evacuation_list& list, time_point now,
                        route_effects* effects);
  log_limiter& finish_log_limiter() {
    return stopping_ ? stop_log_limiter_ : log_limiter_;
  }

  // A caller's request whose route has been found.
  struct arrived_request {
    http_request request;
    http_responder respond;
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;
    time_point at{};
    // Its account is part of `table`, and its digest identifies the key to a
    // relay.
    authentication sender = {};
    // Set once the gate has admitted the request.
    std::optional<gate_pass> pass = {};
  };

  struct call_state {
    forwarded_request forwarded;
    const route* matched_route = nullptr;
    std::shared_ptr<const route_table> table;
    http_responder respond;
    // The key itself is not kept.
    const client_account* account = nullptr;
    std::uint64_t key_digest = 0;
    std::uint32_t priority() const;
    // On a relay: the origin and the id that it gave to the request.
    instance_name origin;
    std::uint64_t relay_id = 0;
    // On a relay: owns the route that `matched_route` points to.
    std::shared_ptr<const route> relay_route;
    std::unique_ptr<memory_holder> relayed_memory;
    // Of a request of a limited account.
    std::optional<gate_pass> pass;
  };
  struct account_counters {
    std::uint64_t unknown_keys = 0;
    std::uint64_t lease_refusals = 0;
    std::uint64_t relay_refusals = 0;
  };
  // A group of shards that a relay searches on behalf of this instance.
  struct relayed_group {
    route_request_id request{};
    std::size_t group = 0;
    instance_name relay;
  };

  // Refuses the request and returns false unless its sender may send it.
  bool Authenticate(arrived_request* arrived);
  authentication CheckRelayed(const wire::relay_request& request,
                              time_point now) const;
  void Admit(arrived_request arrived);
  void OnGateResult(arrived_request arrived, const gate_result& result);
  void ReturnPass(const call_state& call, const finish_route_request& finish);
  void UpdateQuotaMetrics();
  void Begin(arrived_request arrived);
  void Execute(route_effects* effects);
  void ExecuteEffect(open_searcher_connection& effect);
  void ExecuteEffect(close_searcher_connection& effect);
  void ExecuteEffect(send_to_searcher& effect);
  void ExecuteEffect(finish_route_request& effect);
  void ExecuteEffect(send_to_relay& effect);
  void ExecuteEffect(cancel_at_relay& effect);
  void ExecuteEffect(relay_silent& effect);
  void ExecuteEffect(relay_report_refused& effect);
  void ExecuteEffect(route_progress& effect);
  void ExecuteEffect(attempt_lost& effect);
  void ExecuteEffect(crash_evidence_found& effect);
  void ExecuteEffect(reply_status_invalid& effect);
  void ExecuteEffect(content_quarantined& effect);
  void ExecuteEffect(searcher_limit_changed& effect);
  void ExecuteEffect(searcher_resting& effect);
  void ExecuteEffect(searcher_leaving& effect);
  void ExecuteEffect(send_limit_request& effect);
  void ExecuteEffect(isolation_changed& effect);
  void ExecuteEffect(fallback_wanted& effect);
  void OnRelayRequest(const instance_name& peer,
                      const wire::relay_request& request, time_point now);
  void OnRelayResult(const instance_name& peer,
                     const wire::relay_result& result, time_point now);
  void OnRelayCancel(const instance_name& peer,
                     const wire::relay_cancel& cancel, time_point now);
  bool Responsive(const instance_name& relay, time_point now) const;
  void UpdateFallbackRelays(time_point now);
  void RejectRelayRequest(const instance_name& peer,
                          const wire::relay_request& request, result_code code);
  std::vector<relay_group> ReachableGroups(const route& matched_route,
                                           bool checks_accounts,
                                           time_point now);
  void UpdateRelays(time_point now);
  void LogRelays(const route& configured_route);
  static fingerprint ContentOf(const forwarded_request& forwarded);
  std::shared_ptr<const header_list> ForwardedHeaders(
      const header_list& headers, const route_table& table,
      std::string_view account) const;
  const control_lease& RouteLease() const;
  http_response MakeResponse(const finish_route_request& finish) const;
  void LogFinish(const call_state& call, const finish_route_request& finish);
  void Refuse(const http_request& request, result_code code,
              http_responder respond);
  void UpdateAccountMetrics();
  std::string HeaderValue(const http_request& request,
                          const std::string& name) const;
  void OnCallerDisconnected(route_request_id id);
  time_point EstimateSendTime(const http_request& request,
                              time_point now) const;

  const settings& config_;
  const edge_protocol* protocol_;
  metrics* metrics_;
  std::function<void()> wake_;
  std::function<bool(const limit_request&)> send_limit_request_;
  std::function<bool(const std::vector<crash_evidence_record>&)>
      send_crash_evidence_;
  // True if the leader may lack evidence of this instance.
  bool crash_evidence_unsent_ = false;
  std::function<void()> relays_changed_;
  log_limiter log_limiter_;
  // Replaces log_limiter_ for the ends of requests while the instance stops.
  log_limiter stop_log_limiter_;
  bool stopping_ = false;
  log_limiter retry_log_limiter_;
  log_limiter limit_log_limiter_;
  log_limiter status_log_limiter_;
  log_limiter report_log_limiter_;
  log_limiter request_limit_log_limiter_;
  log_limiter crash_log_limiter_;
  account_gate gate_;
  // Replies with an invalid status, also those that relays forwarded.
  std::uint64_t invalid_replies_ = 0;
  route_engine engine_;
  searcher_client client_;
  std::shared_ptr<const route_table> table_;
  std::uint64_t route_version_ = 0;
  authenticator authenticator_;
  const control_lease* route_lease_ = nullptr;
  account_counters account_counters_;
  // Peers that check the keys of relayed requests.
  std::set<instance_name> account_checkers_;
  // Memory of the requests that this instance runs as a relay.
  memory_budget relayed_budget_;
  std::map<route_request_id, call_state> calls_;
  std::uint64_t next_request_ = 1;
  peer_transport* transport_;
  relay_plan plan_;
  fallback_peers fallback_peers_;
  std::vector<entry_instance> relays_;
  // True if searchers have changed since the last UpdateRelays(), which may run
  // again at relays_due_.
  bool searchers_changed_ = false;
  time_point relays_due_{};
  // Relays that did not report in time, and when they may be used again.
  std::map<instance_name, time_point> silent_until_;
  // Groups of shards that relays are searching, by relay id.
  std::map<std::uint64_t, relayed_group> relayed_groups_;
  std::uint64_t next_relay_id_ = FirstMessageId();
  // On a relay: requests of origins, by the origin's name and its relay id.
  std::map<std::pair<instance_name, std::uint64_t>, route_request_id>
      served_requests_;
};

}  // namespace bilberrycourse

#endif  // APP_ROUTE_GATEWAY_H_
