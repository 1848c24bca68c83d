#ifndef APP_DAEMON_H_
#define APP_DAEMON_H_

// The daemon: owns the executor, the timer and all services of one process,
// and routes frames and HTTP requests to them.
//
//   daemon_process process(settings);
//   BOOST_LEAF_CHECK(process.Run());   // returns after a graceful shutdown
//
// One thread runs everything except the disk writes of the log. timer_service
// drives a tick every 10 ms; incoming frames, replies and requests are handled
// on arrival.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>
#include <memory>
#include <optional>
#include <string>

#include "app/caller_api.h"
#include "app/cluster_service.h"
#include "app/control_client.h"
#include "app/control_frames.h"
#include "app/control_service.h"
#include "app/http_server.h"
#include "app/metrics.h"
#include "app/operator_api.h"
#include "app/peer_transport.h"
#include "app/query_service.h"
#include "app/request_ledger.h"
#include "app/settings.h"
#include "bilberrycourse/timer_service.h"

namespace bilberrycourse {

class daemon_process : public peer_transport_handler,
                       public cluster_handler,
                       public control_client_handler {
 public:
  explicit daemon_process(settings config);
  ~daemon_process() override;

  boost::leaf::result<void> Run();

  void OnPeerConnected(const instance_name& peer) override;
  void OnPeerDisconnected(const instance_name& peer) override;
  void OnPeerFrame(const instance_name& peer,
                   const wire::peer_frame& frame) override;
  void OnBackendServer(const backend_server_record& record) override;
  void OnOwnership() override;
  void OnFreshness(const freshness_received& received) override;
  void OnCrashEvidence(const crash_evidence_record& record) override;
  void OnPublished(const published_state& state) override;

 private:
  using frame_handler = void (daemon_process::*)(const instance_name&,
                                                 const wire::peer_frame&,
                                                 time_point);
  struct frame_route {
    wire::payload type;
    frame_handler handle;
  };
  static const frame_route kFrameRoutes[];

  void OnMembership(const instance_name& peer, const wire::peer_frame& frame,
                    time_point now);
  void OnGossip(const instance_name& peer, const wire::peer_frame& frame,
                time_point now);
  void OnReadResult(const instance_name& peer, const wire::peer_frame& frame,
                    time_point now);
  void OnQueryFrame(const instance_name& peer, const wire::peer_frame& frame,
                    time_point now);

  void HandleHttp(http_request request, http_responder respond);
  void HandleAnnounce(const http_request& request, http_responder respond);
  void HandleMetrics(http_responder respond);
  bool Ready(time_point now) const;
  // Proposes the shard sets of the announcement that are not yet recorded.
  // Returns kShardCountConflict if one is recorded with another shard count.
  result_code RecordShardSets(const backend_server_record& record);

  void SubscribeTimers(time_point now);
  void ArmTimer();
  void OnTimer();
  void Tick(time_point now);
  void BeginShutdown();
  void CheckShutdown(time_point now);

  const settings config_;
  const std::uint64_t incarnation_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  timer_service timers_;
  timer_subscription tick_;
  timer_subscription due_;
  metrics metrics_;
  peer_transport transport_;
  std::unique_ptr<control_service> control_service_;
  cluster_service cluster_;
  control_client control_client_;
  control_frames control_frames_;
  query_service queries_;
  request_ledger ledger_;
  caller_api callers_;
  operator_api operators_;
  http_server http_;
  std::set<std::pair<std::string, index_version>> proposed_shard_sets_;
  bool shutting_down_ = false;
  time_point shutdown_started_{};
  // Set once nothing but frames to peers is unfinished.
  std::optional<time_point> links_close_at_;
};

}  // namespace bilberrycourse

#endif  // APP_DAEMON_H_
