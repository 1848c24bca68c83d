#ifndef APP_CONTROL_CLIENT_H_
#define APP_CONTROL_CLIENT_H_

// Connects an instance to the control group: polls for updates, maintains the
// control lease and the published state, and sends proposals and reads to the
// leader.
//
//   control_client client(settings, &transport, local_member, handler);
//   client.Tick(now);                       // every 10 ms
//   client.Propose(command, deadline, [](const control_reply& r) { ... });
//
// An instance of the routed interface that gets no fresh answer for a second
// probes its links to all members: an open connection may lose all bytes
// without being closed, and the instance would obey an old configuration
// meanwhile.
//
// Without a fresh answer the seeds of the settings are asked as well, because
// the whole group may have been replaced (control_contacts.h). The owner opens
// links to all contacts.
//
// An instance of the routed interface prefers a member in its own zone, because
// the replies, above all whole configurations, are billed between zones.
//
// A proposal is resent with the same bytes until it is answered or its deadline
// passes; every command carries an id that makes it idempotent. A reply of
// kProposalLost means that the outcome is unknown, kNoQuorum that no attempt
// reached a leader.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "app/control_service.h"
#include "app/message_ids.h"
#include "app/peer_transport.h"
#include "app/settings.h"
#include "bilberrycourse/control_contacts.h"
#include "bilberrycourse/control_lease.h"
#include "bilberrycourse/control_state.h"
#include "bilberrycourse/entry_instance_log.h"

namespace bilberrycourse {

class control_client_handler {
 public:
  virtual ~control_client_handler() = default;
  // Called when a newer published state is in force.
  virtual void OnPublished(const published_state& state) = 0;
  // Routed interface: routes, searchers or evacuated zones have changed.
  virtual void OnRouteUpdate(const route_update&) {}
  // Routed interface: the control group, and the number of entry instances that
  // share limits, as reported by the polled member.
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
  void OnPollReply(const instance_name& from, const wire::control_news& reply,
                   time_point now);
  void OnProposeResult(const wire::propose_result& result, time_point now);
  void OnReadResult(const wire::read_result& result, time_point now);
  // Called when a link to a control member has opened.
  void OnPeerConnected(const instance_name& peer, time_point now);
  void OnPeerDisconnected(const instance_name& peer, time_point now);
  // Called when the acknowledgement of a peer carries its freshness, in answer
  // to a probe sent at `sent_at`.
  void OnRelayed(const instance_name& from, time_point sent_at, duration age,
                 std::uint64_t version, time_point now);
  // Called when a peer reports its published version. Polls the peer if that
  // is newer.
  void OnHint(const instance_name& from, std::uint64_t version, time_point now);

  // Answers the poll of a peer with the state that this instance has confirmed.
  control_poll_reply AnswerPoll(std::uint64_t published_version,
                                time_point now) const;

  void Propose(const std::string& command, time_point deadline,
               control_callback callback);
  void Read(const std::string& view, const std::string& argument,
            time_point deadline, control_callback callback);

  const control_lease& lease() const { return lease_; }
  // Routed interface: the lease on the routes. Tells when the version that
  // OnRoutesInForce() has named was last known to be the newest.
  const control_lease& route_lease() const { return route_lease_; }
  // Called when the routes of this version are in force. Routes that could not
  // be read never are, so the lease then ends.
  void OnRoutesInForce(std::uint64_t version) {
    route_lease_.OnApplied(version);
  }
  // Returns the empty state of version 0 until a state has been received.
  const published_state& published() const { return published_; }
  std::uint64_t route_version() const { return route_version_; }
  const instance_name& leader() const { return leader_; }
  // Replaces the control instances of the settings as contacts. Returns false
  // if the group is the same as before.
  bool SetGroup(const std::vector<log_member>& members);
  // The seeds of the settings have changed.
  void OnSeedsChanged();
  const control_contacts& contacts() const { return contacts_; }

 private:
  struct outstanding_poll {
    instance_name target;
    time_point sent_at{};
  };
  // An unanswered proposal or read.
  struct control_call {
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

  known_versions KnownVersions() const;
  bool ApplyRouteUpdate(time_point sent_at, const control_poll_reply& reply,
                        time_point now);
  void ApplyInstances(const wire::control_news& reply, time_point now);
  void ApplyEntries(const wire::control_news& reply);
  // Returns the target of the next poll if the current one answers: a member in
  // the own zone, or one whose zone is unknown.
  instance_name PreferredTarget(time_point now) const;
  void Poll(const instance_name& to, time_point now);
  void PollCurrentTarget(time_point now);
  void ProbeMembers(time_point now);
  void ApplyPollReply(time_point sent_at, const control_poll_reply& reply,
                      time_point now);
  instance_name NextTarget(const instance_name& previous, time_point now) const;
  void StartCall(control_call new_call);
  void SendCall(std::uint64_t id, time_point now);
  void FinishCall(std::uint64_t id, const control_reply& reply, time_point now);
  void RetryOrFinishCall(std::uint64_t id, const control_reply& reply,
                         time_point now);

  const settings& config_;
  peer_transport* transport_;
  control_service* local_;
  control_client_handler* handler_;
  control_lease lease_;
  control_lease route_lease_;
  published_state published_;
  std::string published_bytes_;
  instance_name leader_;
  std::uint64_t route_version_ = 0;
  std::uint64_t searcher_revision_ = 0;
  std::uint64_t evacuation_version_ = 0;
  entry_list entries_;
  // Digest of entries_; 0 while it is unknown.
  std::uint64_t entry_digest_ = 0;
  std::uint64_t group_digest_ = 0;
  std::uint32_t entry_instances_ = 0;
  control_contacts contacts_;
  // The instance to poll; changes when a poll is not confirmed.
  instance_name poll_target_;
  time_point poll_due_{};
  std::uint64_t next_poll_id_ = FirstMessageId();
  std::map<std::uint64_t, outstanding_poll> polls_;
  bool poll_answered_;
  // Time of the last poll with a fresh answer, or of the first poll.
  time_point fresh_at_{};
  // Zones of the control instances that have answered a poll.
  std::map<instance_name, availability_zone> member_zones_;
  // Until then no other member is preferred, because one has not answered.
  time_point keep_target_until_{};
  std::uint64_t next_call_id_ = FirstMessageId();
  std::map<std::uint64_t, control_call> calls_;
};

}  // namespace bilberrycourse

#endif  // APP_CONTROL_CLIENT_H_
