#ifndef BILBERRYCOURSE_FALLBACK_PEERS_H_
#define BILBERRYCOURSE_FALLBACK_PEERS_H_

// Chooses the entry instances that send requests on behalf of this one while it
// does not reach searchers (fallback relays).
//
//   fallback_peers peers(self, zone);
//   peers.SetInstances(entries);
//   peers.Want(now);                                  // searchers were lost
//   for (const entry_instance& peer : peers.Targets(now)) Link(peer);
//   engine.SetFallbackRelays(peers.Usable(linked));
//
// Links are kept only while they are wanted: with hundreds of instances,
// standing links to several of them would outnumber all others. A cut may take
// most of a zone, so targets lie in several zones, and a peer that states that
// it is isolated itself is replaced by another.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

class fallback_peers {
 public:
  fallback_peers(instance_name self, availability_zone zone);

  // Sets all entry instances, including this one.
  void SetInstances(const std::vector<entry_instance>& entries);
  // Records what a linked peer states of itself: whether it accepts requests to
  // one service, which instances of an older version do not, and whether it has
  // lost its searchers.
  void SetState(const instance_name& peer, bool accepts, bool isolated);
  // The peer's state is unknown until it links again.
  void OnDisconnected(const instance_name& peer, time_point now);

  // Keeps links for some time from now on. Returns true if none were kept.
  bool Want(time_point now);
  // Returns the peers to keep links to.
  std::vector<entry_instance> Targets(time_point now) const;
  // Returns the targets that can be sent requests; `linked` tells whether a
  // link is open and responsive.
  std::vector<instance_name> Usable(
      const std::function<bool(const instance_name&)>& linked,
      time_point now) const;
  bool Isolated(const instance_name& peer, time_point now) const;

 private:
  instance_name self_;
  availability_zone zone_;
  // All other instances in the order of preference.
  std::vector<entry_instance> ranked_;
  std::set<instance_name> accepting_;
  // Peers that have stated their isolation, and until when it is assumed. While
  // they are linked, their next statement ends it.
  std::map<instance_name, time_point> isolated_until_;
  time_point wanted_until_ = time_point::min();
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_FALLBACK_PEERS_H_
