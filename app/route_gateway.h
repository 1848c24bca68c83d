#ifndef APP_ROUTE_GATEWAY_H_
#define APP_ROUTE_GATEWAY_H_

// The entry part of the routed interface: matches callers' requests, runs them
// through the route_engine and writes the answers.
//
//   route_gateway gateway(executor, settings, protocol, &metrics);
//   gateway.OnRouteUpdate(news, now);
//   gateway.Handle(request, respond);
//   gateway.Tick(now);                     // at next_due()

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "app/log_limiter.h"
#include "app/metrics.h"
#include "app/peer_transport.h"
#include "app/searcher_client.h"
#include "app/settings.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/route_engine.h"

namespace bilberrycourse {

class route_gateway : public searcher_client_handler {
 public:
  // `wake` is called when next_due() may have become earlier.
  route_gateway(boost::asio::any_io_executor executor, const settings& config,
                const edge_protocol* protocol, peer_transport* transport,
                metrics* counters, std::function<void()> wake);

  // A request of a caller; answered exactly once.
  void Handle(http_request request, http_responder respond);

  void OnRouteUpdate(const route_update& news, time_point now);
  void SetInstances(std::uint32_t instances);
  void SetEntryInstances(const std::vector<entry_instance>& entries);
  // Entry instances to which a link is wanted.
  const std::vector<entry_instance>& Relays() const { return relays_; }
  // Returns false if the frame is of another kind.
  bool OnPeerFrame(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  void OnPeerDisconnected(const instance_name& peer, time_point now);

  void Tick(time_point now);
  std::optional<time_point> next_due() const { return engine_.next_due(); }
  // True once a configuration is in force.
  bool configured() const { return table_ != nullptr; }
  std::size_t in_flight() const { return calls_.size(); }
  // Writes the counters to the metrics page.
  void UpdateMetrics();

  void OnSearcherOpened(connection_id connection) override;
  void OnSearcherClosed(connection_id connection) override;
  void OnSearcherReply(connection_id connection, searcher_reply_pointer reply,
                       bool keep_alive,
                       std::optional<duration> idle_limit) override;

 private:
  static void LogSearchers(const route_update& news, bool whole);

  struct call_row {
    forwarded_request forwarded;
    const route* matched_route = nullptr;
    std::shared_ptr<const route_table> table;
    http_responder respond;
    // On a relay: the origin and its number of the request.
    instance_name origin;
    std::uint64_t relay_id = 0;
    // Keeps `matched_route` alive on a relay.
    std::shared_ptr<const route> partial;
  };
  // A group of shards that a relay searches for this origin.
  struct relayed_group {
    route_request_id request{};
    std::size_t group = 0;
    instance_name relay;
  };

  void Execute(route_effects* effects);
  void Do(open_searcher_connection& effect);
  void Do(close_searcher_connection& effect);
  void Do(send_to_searcher& effect);
  void Do(finish_route_request& effect);
  void Do(send_to_relay& effect);
  void Do(cancel_at_relay& effect);
  void Do(relay_silent& effect);
  void Do(route_progress& effect);
  void OnRelayRequest(const instance_name& peer,
                      const wire::relay_request& request, time_point now);
  void OnRelayResult(const wire::relay_result& result, time_point now);
  void OnRelayCancel(const instance_name& peer,
                     const wire::relay_cancel& cancel, time_point now);
  std::vector<relay_group> UsableGroups(const route& matched_route,
                                        time_point now);
  void PlanRelays();
  std::shared_ptr<const header_list> ForwardedHeaders(
      const header_list& headers) const;
  http_response MakeResponse(const finish_route_request& finish) const;
  void LogFinish(const call_row& call, const finish_route_request& finish);
  void Refuse(const http_request& request, result_code code,
              http_responder respond);
  std::string HeaderOf(const http_request& request,
                       const std::string& name) const;
  void OnCallerLeft(route_request_id id);
  time_point SentAt(const http_request& request, time_point now) const;

  const settings& config_;
  const edge_protocol* protocol_;
  metrics* metrics_;
  std::function<void()> wake_;
  log_limiter log_limiter_;
  log_limiter retry_log_limiter_;
  route_engine engine_;
  searcher_client client_;
  std::shared_ptr<const route_table> table_;
  std::map<route_request_id, call_row> calls_;
  std::uint64_t next_request_ = 1;
  peer_transport* transport_;
  relay_plan plan_;
  std::vector<entry_instance> relays_;
  // Relays that were silent are not used until then.
  std::map<instance_name, time_point> silent_until_;
  // This origin's numbers of groups at relays.
  std::map<std::uint64_t, relayed_group> relayed_;
  std::uint64_t next_relay_id_ = 1;
  // On a relay: requests by origin and its number.
  std::map<std::pair<instance_name, std::uint64_t>, route_request_id> served_;
};

}  // namespace bilberrycourse

#endif  // APP_ROUTE_GATEWAY_H_
