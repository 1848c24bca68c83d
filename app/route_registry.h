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
//
// An order has no version of its own, and may have waited while this instance
// was frozen or cut off. It gets the version that this instance knew before the
// order was sent (http_request::sent_after), and is refused with 503 if the
// zone has had an order since that left it otherwise. Its sender repeats it if
// it is still wanted.
//
// A searcher's leave without a start time gets that of the process that this
// instance knew before the leave was sent. It is acknowledged once this
// instance sees that the searcher is gone: an instance that is behind may have
// named an earlier process.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "app/control_client.h"
#include "app/control_service.h"
#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "app/log_limiter.h"
#include "bilberrycourse/evacuated_zones.h"
#include "bilberrycourse/searcher_starts.h"
#include "bilberrycourse/types.h"
#include "bilberrycourse/version_history.h"

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
    // The start time was not stated by the searcher.
    bool start_inferred = false;
    http_responder respond;
  };

  // A committed leave whose effect this member has not seen yet.
  struct committed_leave {
    std::string id;
    time_point deadline{};
    http_responder respond;
  };

  // An evacuation order until it is answered.
  struct evacuation_order {
    availability_zone zone;
    bool evacuated = false;
    // Version of the list that was known before the order was sent.
    std::uint64_t known_version = 0;
    // control_service::opening() at that time.
    std::uint64_t opening = 0;
    time_point deadline{};
    int tries_left = 0;
    http_responder respond;
  };
  using evacuation_order_pointer = std::shared_ptr<evacuation_order>;

  void HandleCall(const put_routes_call& call, time_point sent_after,
                  http_responder respond);
  void HandleCall(const get_routes_call& call, time_point sent_after,
                  http_responder respond);
  void HandleCall(const searcher_call& call, time_point sent_after,
                  http_responder respond);
  void HandleCall(const evacuation_call& call, time_point sent_after,
                  http_responder respond);
  void HandleCall(const invalid_call& call, time_point sent_after,
                  http_responder respond);
  void ObserveState();
  void OnReportsProposed(std::vector<pending_report>* batch, result_code code,
                         time_point deadline);
  void AnswerLeaves(time_point now);
  bool IsGone(const std::string& id) const;
  void ProposeEvacuation(const evacuation_order_pointer& order,
                         const zone_order_state& state);
  void OnEvacuationProposed(const evacuation_order_pointer& order,
                            const control_reply& reply);
  void ProposeEvacuationAgain(const evacuation_order_pointer& order);
  bool IsRenewal(const searcher_report& report) const;

  const edge_protocol* protocol_;
  control_service* local_;
  control_client* client_;
  std::vector<pending_report> pending_;
  std::vector<committed_leave> leaves_;
  searcher_starts searcher_starts_;
  // Versions of the evacuation_list, while the state is that of `opening_`.
  version_history evacuation_versions_;
  std::uint64_t opening_ = 0;
  log_limiter log_limiter_;
};

}  // namespace bilberrycourse

#endif  // APP_ROUTE_REGISTRY_H_
