#ifndef APP_CLUSTER_SERVICE_H_
#define APP_CLUSTER_SERVICE_H_

// Connects membership, gossip, the backend server table and shard ownership of
// one instance to its peer links.
//
//   cluster_service cluster(settings, incarnation, &transport, handler);
//   cluster.Start(now);
//   cluster.Tick(now);    // every 10 ms
//   result_code code = cluster.Announce(record, now);
//   const instance_name* owner = cluster.ownership().Owner(shard);

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "app/peer_transport.h"
#include "app/settings.h"
#include "bilberrycourse/backend_server_table.h"
#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/gossip_table.h"
#include "bilberrycourse/membership.h"
#include "bilberrycourse/shard_ownership.h"

namespace bilberrycourse {

class cluster_handler {
 public:
  virtual ~cluster_handler() = default;
  virtual void OnBackendServer(const backend_server_record& record) = 0;
  // Owners, deputies or admission instances may have changed.
  virtual void OnOwnership() = 0;
  virtual void OnFreshness(const freshness_received& received) = 0;
  virtual void OnCrashEvidence(const crash_evidence_record& record) = 0;
};

class cluster_service {
 public:
  cluster_service(const settings& config, std::uint64_t incarnation,
                  peer_transport* transport, cluster_handler* handler);

  void Start(time_point now);
  void Tick(time_point now);
  void OnPeerConnected(const instance_name& peer, time_point now);
  void OnMembershipFrame(const instance_name& from, std::string_view bytes,
                         time_point now);
  void OnGossipFrame(const instance_name& from, std::string_view bytes,
                     time_point now);

  result_code Announce(const backend_server_record& record, time_point now);
  void PublishCrash(const crash_evidence_record& record, duration lifetime,
                    time_point now);
  // Sets the shards that the control state records. Shards that backend servers
  // have announced are added to them.
  void SetRecordedShards(std::vector<shard_key> shards, time_point now);
  void SetFreshness(const control_freshness& freshness, time_point now);
  void Leave(time_point now);

  const membership& members() const { return members_; }
  const shard_ownership& ownership() const { return ownership_; }
  const backend_server_table& backend_servers() const { return servers_; }
  const gossip_table& gossip() const { return gossip_; }
  const instance_name& self() const { return config_.name; }

 private:
  void Execute(std::vector<membership_effect> effects, time_point now);
  void Execute(std::vector<gossip_effect> effects, time_point now);
  void Execute(std::vector<backend_server_effect> effects, time_point now);
  void ExecuteEffect(const membership_send& effect, time_point now);
  void ExecuteEffect(const membership_send_to_address& effect, time_point now);
  void ExecuteEffect(const instance_changed& effect, time_point now);
  void ExecuteEffect(const view_changed& effect, time_point now);
  void ExecuteEffect(const freshness_received& effect, time_point now);
  void ExecuteEffect(const synchronize_with& effect, time_point now);
  void ExecuteEffect(const withdraw_record& effect, time_point now);
  void ExecuteEffect(const declared_dead& effect, time_point now);
  void ExecuteEffect(const publish_record& effect, time_point now);
  void ExecuteEffect(const gossip_send& effect, time_point now);
  void ExecuteEffect(const record_changed& effect, time_point now);
  void ExecuteEffect(const backend_server_changed& effect, time_point now);
  void DialPeers(time_point now);
  void UpdateOwnership();
  void SendMembership(const instance_name& to, const std::string& bytes);

  const settings& config_;
  peer_transport* transport_;
  cluster_handler* handler_;
  membership members_;
  gossip_table gossip_;
  backend_server_table servers_;
  shard_ownership ownership_;
  std::vector<shard_key> recorded_shards_;
  std::set<shard_key> announced_shards_;
  // Sequence number of the last evidence record that this instance published.
  std::uint64_t evidence_sequence_ = 0;
  const std::uint64_t incarnation_;
  time_point dial_due_{};
  // Membership messages to seeds whose link is being opened, by address.
  std::map<std::string, std::string> messages_awaiting_link_;
};

}  // namespace bilberrycourse

#endif  // APP_CLUSTER_SERVICE_H_
