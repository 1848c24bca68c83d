#ifndef APP_ROUTE_DAEMON_H_
#define APP_ROUTE_DAEMON_H_

// One process of the routed interface, either an entry instance or a control
// instance.
//
//   route_daemon process(settings, protocol);
//   BOOST_LEAF_CHECK(process.Run());    // returns after a graceful shutdown
//
// One thread runs everything except the log's disk writes. SIGTERM starts the
// shutdown: the readiness check fails, responses carry `Connection: close`, and
// idle connections stay open until shortly before the end of the grace period,
// because a caller may use one at any moment. SIGHUP reloads the settings.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/control_client.h"
#include "app/control_frames.h"
#include "app/control_service.h"
#include "app/edge_protocol.h"
#include "app/http_server.h"
#include "app/limit_service.h"
#include "app/metrics.h"
#include "app/peer_transport.h"
#include "app/quota_service.h"
#include "app/route_gateway.h"
#include "app/route_registry.h"
#include "app/settings.h"
#include "bilberrycourse/crash_news.h"
#include "bilberrycourse/timer_service.h"

namespace bilberrycourse {

class route_daemon : public peer_transport_handler,
                     public control_client_handler {
 public:
  route_daemon(settings config, std::unique_ptr<edge_protocol> protocol);
  ~route_daemon() override;

  boost::leaf::result<void> Run();

  void OnPeerConnected(const instance_name& peer) override;
  void OnPeerDisconnected(const instance_name& peer) override;
  void OnPeerFrame(const instance_name& peer,
                   const wire::peer_frame& frame) override;
  void OnPublished(const published_state& state) override;
  void OnRouteUpdate(const route_update& update) override;
  void OnControlGroup(const std::vector<log_member>& group) override;
  void OnEntryCount(std::uint32_t count) override;
  void OnEntryInstances(const std::vector<entry_instance>& entries) override;

 private:
  void HandleMain(http_request request, http_responder respond);
  void HandleReadiness(http_request request, http_responder respond);
  void HandleMetrics(http_responder respond);
  bool Ready() const;
  boost::leaf::result<bool> Listen();
  void AwaitSignal();
  void Reload(bool log_unchanged);
  void CheckSeeds(time_point now);
  bool InTouchWithGroup(time_point now) const;
  void ArmTimer();
  void Tick(time_point now);
  void DialPeers(time_point now);
  void SendHello(const instance_name& peer);
  void CountEntryInstances(time_point now);
  bool SendLimitRequest(const limit_request& request);
  bool SendQuotaRequest(const quota_request& request);
  bool SendCrashEvidence(const std::vector<crash_evidence_record>& records);
  void ExchangeCrashEvidence(time_point now);
  void OnRelaysChanged();
  void BeginShutdown();
  void CheckShutdown(time_point now);

  settings config_;
  std::unique_ptr<edge_protocol> protocol_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  timer_service timers_;
  timer_subscription tick_;
  timer_subscription due_;
  // When timer_ expires. It is not armed again for a later time.
  std::optional<time_point> armed_for_;
  metrics metrics_;
  peer_transport transport_;
  std::unique_ptr<control_service> control_service_;
  control_client control_client_;
  control_frames control_frames_;
  std::unique_ptr<route_gateway> gateway_;
  std::unique_ptr<route_registry> registry_;
  std::unique_ptr<limit_service> limits_;
  std::unique_ptr<quota_service> quotas_;
  // On a control instance.
  std::unique_ptr<crash_news> crash_news_;
  // The leader that knows the crash evidence of this instance.
  instance_name evidence_leader_;
  http_server main_server_;
  std::unique_ptr<http_server> readiness_server_;
  // On a control instance: the linked entry instances, as their hello frames
  // describe them.
  std::map<instance_name, entry_instance> entries_;
  time_point dial_due_{};
  time_point settings_check_due_{};
  time_point leader_probe_due_{};
  // What the last hello frames said of this instance.
  bool stated_isolated_ = false;
  std::uint32_t entry_instances_ = 0;
  time_point entry_instances_set_at_{};
  time_point started_at_{};
  bool shutting_down_ = false;
  bool closing_idle_ = false;
  // Set once nothing but frames to peers is unfinished.
  std::optional<time_point> links_close_at_;
  time_point shutdown_started_{};
};

}  // namespace bilberrycourse

#endif  // APP_ROUTE_DAEMON_H_
