#ifndef APP_CONTROL_CLIENT_H_
#define APP_CONTROL_CLIENT_H_

// An instance's way to the control group: polls for news, keeps the control
// lease and the published state, and carries proposals and reads to the
// leader.
//
//   control_client client(settings, &transport, local_member, handler);
//   client.Tick(now);                       // every 10 ms
//   client.Propose(command, deadline, [](const control_reply& r) { ... });
//
// Proposals are resent with the same bytes until they are answered or their
// deadline passes; every command is idempotent by its own id. A reply of
// kProposalLost means that the outcome is unknown, kNoQuorum that no attempt
// reached a leader.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "app/control_service.h"
#include "app/peer_transport.h"
#include "app/settings.h"
#include "bilberrycourse/control_lease.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/relay_plan.h"

namespace bilberrycourse {

class control_client_handler {
 public:
  virtual ~control_client_handler() = default;
  // A newer published state is in force from this call on.
  virtual void OnPublished(const published_state& state) = 0;
  // Routed interface: changes of routes or searchers.
  virtual void OnRouteUpdate(const route_update&) {}
  // Routed interface: the control group, and the number of entry instances that
  // share limits, as the member that was polled sees them.
  virtual void OnControlGroup(const std::vector<log_member>&) {}
  virtual void OnEntryCount(std::uint32_t) {}
  // Routed interface: the entry instances have changed.
  virtual void OnEntryInstances(const std::vector<entry_instance>&) {}
};

class control_client {
 public:
  // `local` is the member of this process, or nullptr.
  control_client(const settings& config, peer_transport* transport,
                 control_service* local, control_client_handler* handler);

  void Tick(time_point now);
  void OnNews(const instance_name& from, const wire::control_news& news,
              time_point now);
  void OnProposeResult(const wire::propose_result& result, time_point now);
  void OnReadResult(const wire::read_result& result, time_point now);
  // A link to a control member has opened.
  void OnPeerConnected(const instance_name& peer, time_point now);
  void OnPeerDisconnected(const instance_name& peer, time_point now);
  // A peer's ack relayed its freshness.
  void OnRelayed(const instance_name& from, time_point sent_at, duration age,
                 std::uint64_t version, time_point now);
  // A peer knows of a newer published version.
  void OnHint(const instance_name& from, std::uint64_t version, time_point now);

  // Answers the poll of a peer from what this instance itself has confirmed.
  control_news Relay(std::uint64_t published_version, time_point now) const;

  void Propose(const std::string& command, time_point deadline,
               control_callback callback);
  void Read(const std::string& view, const std::string& argument,
            time_point deadline, control_callback callback);

  const control_lease& lease() const { return lease_; }
  // The empty state of version 0 until the first one arrives.
  const published_state& published() const { return published_; }
  std::uint64_t route_version() const { return route_version_; }
  const instance_name& leader() const { return leader_; }
  // Replaces the control instances of the settings as targets.
  void SetGroup(std::vector<instance_name> names);

 private:
  struct sent_poll {
    instance_name to;
    time_point at{};
  };
  // A proposal or read that waits for its answer.
  struct call {
    bool read = false;
    std::string command;
    std::string view;
    time_point deadline{};
    time_point resend_at{};
    instance_name target;
    // True once the leader may have received it.
    bool sent = false;
    control_callback callback;
  };

  known_versions Known() const;
  void TakeRouteNews(const control_news& news);
  void TakeInstances(const wire::control_news& news);
  void Poll(const instance_name& to, time_point now);
  void PollNext(time_point now);
  void TakeNews(time_point sent_at, const control_news& news);
  std::vector<instance_name> ControlNames() const;
  instance_name NextTarget(const instance_name& previous) const;
  void Start(call started);
  void Send(std::uint64_t id, time_point now);
  void Answer(std::uint64_t id, const control_reply& reply, time_point now);
  void RetryOrAnswer(std::uint64_t id, const control_reply& reply,
                     time_point now);

  const settings& config_;
  peer_transport* transport_;
  control_service* local_;
  control_client_handler* handler_;
  control_lease lease_;
  published_state published_;
  std::string published_bytes_;
  instance_name leader_;
  std::uint64_t route_version_ = 0;
  std::uint64_t searcher_revision_ = 0;
  std::uint64_t entry_digest_ = 0;
  std::uint64_t group_digest_ = 0;
  std::uint32_t entry_instances_ = 0;
  // Members of the control group by the newest news, in place of those of the
  // settings.
  std::vector<instance_name> group_;
  // Whom to poll; changes when a poll is not confirmed.
  instance_name poll_target_;
  time_point poll_due_{};
  std::uint64_t next_poll_ = 1;
  std::map<std::uint64_t, sent_poll> polls_;
  bool poll_answered_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, call> calls_;
};

}  // namespace bilberrycourse

#endif  // APP_CONTROL_CLIENT_H_
