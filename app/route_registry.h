#ifndef APP_ROUTE_REGISTRY_H_
#define APP_ROUTE_REGISTRY_H_

// The control instance's side of the routed interface: accepts configurations
// from operators and reports from searchers, and serves reads.
//
//   route_registry registry(protocol, local_member, &client);
//   registry.Handle(request, respond);
//   registry.Tick(now);    // every 10 ms
//
// A configuration or a searcher's change is acknowledged once the control group
// has committed it. Changes that arrive within one tick are batched into one
// log entry. A report that changes nothing is acknowledged at once.
//
// An evacuation order is always committed, also one that changes nothing: only
// a committed order raises the version of the list, which refuses earlier
// orders that are still on their way. Without that, an order that was sent
// again could undo a later one that has been acknowledged.

#include <string>
#include <vector>

#include "app/control_client.h"
#include "app/control_service.h"
#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "app/log_limiter.h"

namespace bilberrycourse {

class route_registry {
 public:
  route_registry(const edge_protocol* protocol, control_service* local,
                 control_client* client);

  void Handle(const http_request& request, http_responder respond);
  void Tick(time_point now);

 private:
  struct pending_report {
    searcher_report report;
    http_responder respond;
  };

  void HandleCall(const put_routes_call& call, http_responder respond);
  void HandleCall(const get_routes_call& call, http_responder respond);
  void HandleCall(const searcher_call& call, http_responder respond);
  void HandleCall(const evacuation_call& call, http_responder respond);
  void HandleCall(const invalid_call& call, http_responder respond);
  void ProposeEvacuation(const zone_evacuation& order, time_point deadline,
                         int tries_left, const http_responder& respond);
  bool IsRenewal(const searcher_report& report) const;

  const edge_protocol* protocol_;
  control_service* local_;
  control_client* client_;
  std::vector<pending_report> pending_;
  log_limiter log_limiter_;
};

}  // namespace bilberrycourse

#endif  // APP_ROUTE_REGISTRY_H_
