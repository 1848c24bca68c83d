#ifndef APP_QUERY_SERVICE_H_
#define APP_QUERY_SERVICE_H_

// The entry role of an instance: the origin of its callers' queries, the owner
// of its shards and the admission instance of its scopes, wired to peer links
// and backend server connections.
//
//   query_service queries(executor, settings, incarnation, &transport,
//                         &cluster, &metrics);
//   queries.Submit(query, now, [](const query_answer& a) { ... });
//   queries.OnPeerFrame(peer, frame, now);
//   queries.Tick(now);                       // every 10 ms and at next_due()
//
// All components run on one executor. Effects of one component are events of
// another; they pass through queues that Run() empties, so that no component is
// re-entered.

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/backend_client.h"
#include "app/cluster_service.h"
#include "app/message_ids.h"
#include "app/metrics.h"
#include "app/peer_transport.h"
#include "app/settings.h"
#include "bilberrycourse/admission_client.h"
#include "bilberrycourse/admission_controller.h"
#include "bilberrycourse/config_document.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/query_coordinator.h"
#include "bilberrycourse/shard_directory.h"
#include "bilberrycourse/shard_dispatcher.h"

namespace bilberrycourse {

// A validated request of a caller.
struct caller_query {
  std::string target;
  caller_name caller;
  double caller_weight = 1.0;
  time_point deadline{};
  bool idempotent = true;
  shared_body body;
  std::string traceparent;
  service_policy policy;
};

class query_service : public backend_client_handler {
 public:
  using answer_callback = std::function<void(const query_answer&)>;

  query_service(boost::asio::any_io_executor executor, const settings& config,
                std::uint64_t incarnation, peer_transport* transport,
                cluster_service* cluster, metrics* counters);
  ~query_service() override;

  // Calls the callback exactly once, unless Abandon() is called first.
  query_id Submit(const caller_query& query, time_point now,
                  answer_callback callback);
  void Abandon(query_id query, time_point now);

  void OnPublished(const published_state& state, time_point now);
  void OnBackendServer(const backend_server_record& record, time_point now);
  void OnOwnership(time_point now);
  void OnCrashEvidence(const crash_evidence_record& record, time_point now);
  void SetSendingAllowed(bool allowed, time_point now);

  // Called for a frame of any kind from the peer.
  void OnPeerFrameReceived(const instance_name& peer, time_point now);
  void OnPeerFrame(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  void OnPeerConnected(const instance_name& peer, time_point now);
  void OnPeerDisconnected(const instance_name& peer, time_point now);
  void Tick(time_point now);
  std::optional<time_point> next_due() const;

  // Refuses new queries. Running queries and requests of other origins are
  // completed.
  void Drain() { coordinator_.Drain(); }
  bool drained() const;

  bool HasTarget(const std::string& target) const {
    return directory_.Contains(target);
  }
  const shard_directory& directory() const { return directory_; }
  const shard_dispatcher& dispatcher() const { return dispatcher_; }
  const query_coordinator& coordinator() const { return coordinator_; }
  const admission_controller& admission() const { return admission_; }
  std::size_t backend_connections() const { return backend_.connections(); }
  std::uint64_t invalid_backend_replies() const {
    return backend_.invalid_status_closes();
  }

  void OnBackendOpened(connection_id connection) override;
  void OnBackendClosed(connection_id connection, bool was_open) override;
  void OnBackendReply(connection_id connection, attempt_id attempt,
                      const backend_reply& reply) override;

 private:
  // Requests that this origin has sent to one owner and that have no result.
  struct owner_link {
    std::set<shard_request_id> outstanding;
    time_point silent_since{};
    // Set when the owner has sent nothing for kOwnerSilenceTimeout while
    // requests were outstanding; cleared by any frame. While it is set, new
    // requests go to the deputy.
    bool silent = false;
  };
  // Frames that Flush() sends to one peer.
  struct outgoing_frames {
    std::vector<std::unique_ptr<wire::shard_requestT>> requests;
    std::vector<std::unique_ptr<wire::shard_resultT>> results;
    std::vector<std::uint64_t> cancels;
    std::vector<std::uint64_t> canaries;
    std::unique_ptr<wire::admission_batchT> admission;
  };
  struct running_query {
    answer_callback callback;
    fingerprint content{};
    time_point started_at{};
    std::string target;
    bool crashed = false;
  };

  void Run(time_point now);
  void Flush(time_point now);

  void ExecuteEffect(request_admission& effect, time_point now);
  void ExecuteEffect(release_admission& effect, time_point now);
  void ExecuteEffect(send_shard_request& effect, time_point now);
  void ExecuteEffect(cancel_shard_requests& effect, time_point now);
  void ExecuteEffect(query_answer& effect, time_point now);
  void ExecuteEffect(coordinator_decision& effect, time_point now);

  void ExecuteEffect(send_admission_request& effect, time_point now);
  void ExecuteEffect(send_admission_release& effect, time_point now);
  void ExecuteEffect(admission_result& effect, time_point now);
  void ExecuteEffect(admission_mode_changed& effect, time_point now);

  void ExecuteEffect(open_connection& effect, time_point now);
  void ExecuteEffect(close_connection& effect, time_point now);
  void ExecuteEffect(send_attempt& effect, time_point now);
  void ExecuteEffect(canary_started& effect, time_point now);
  void ExecuteEffect(cancel_attempt& effect, time_point now);
  void ExecuteEffect(finish_request& effect, time_point now);
  void ExecuteEffect(report_crash& effect, time_point now);
  void ExecuteEffect(dispatch_decision& effect, time_point now);

  void ExecuteEffect(admission_reply& effect, time_point now);

  void OnShardBatch(const instance_name& peer, const wire::shard_batch& batch,
                    time_point now);
  void OnResultBatch(const instance_name& peer,
                     const wire::shard_result_batch& batch, time_point now);
  void OnAdmissionBatch(const instance_name& peer,
                        const wire::admission_batch& batch, time_point now);
  void ApplyShardResult(const shard_result& result, time_point now);
  void CheckSilentOwners(time_point now);
  void SendHeartbeats(time_point now);
  instance_name ChooseOwner(const shard_key& shard, bool deputy) const;
  std::uint32_t AdmissionFloor(const std::string& scope) const;
  wire::admission_batchT& OutgoingAdmissionBatch(const instance_name& peer);
  std::string AttemptWireId(attempt_id attempt) const;

  const settings& config_;
  const std::uint64_t incarnation_;
  peer_transport* transport_;
  cluster_service* cluster_;
  metrics* metrics_;
  shard_directory directory_;
  crash_evidence evidence_;
  query_coordinator coordinator_;
  shard_dispatcher dispatcher_;
  admission_controller admission_;
  admission_client admission_client_;
  backend_client backend_;

  query_coordinator::effects coordinator_out_;
  dispatch_effects dispatch_out_;
  admission_client::effects admission_client_out_;
  admission_controller::effects admission_out_;
  bool running_ = false;
  std::map<instance_name, outgoing_frames> outgoing_;

  std::uint64_t next_query_ = FirstMessageId();
  std::unordered_map<std::uint64_t, running_query> queries_;
  std::map<instance_name, owner_link> owners_;
  std::unordered_map<std::uint64_t, instance_name> owner_of_request_;
  std::map<std::string, instance_name> admission_of_scope_;
  // When each origin last sent a batch of requests to this instance.
  std::map<instance_name, time_point> origins_;
  // When Flush() or SendHeartbeats() last sent frames to each peer.
  std::map<instance_name, time_point> last_sent_;
  std::map<backend_server_key, std::string> addresses_;
  std::map<connection_id, backend_server_key> connections_;
  std::set<shard_key> owned_;
  std::set<std::string> groups_;
  std::set<caller_name> weighted_callers_;
  bool sending_allowed_ = false;
};

}  // namespace bilberrycourse

#endif  // APP_QUERY_SERVICE_H_
