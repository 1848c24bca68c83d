#ifndef APP_LIMIT_SERVICE_H_
#define APP_LIMIT_SERVICE_H_

// Runs the limit_allocator on a control instance. Only the leader of the
// control group allocates: there is at most one that a majority follows.
//
//   limit_service limits(&transport, &control_service);
//   if (limits.OnPeerFrame(peer, frame, now)) return;
//   limits.Tick(entry_instances, now);

#include <map>

#include "app/control_service.h"
#include "app/peer_transport.h"
#include "bilberrycourse/limit_allocator.h"
#include "bilberrycourse/relay_plan.h"

namespace bilberrycourse {

class limit_service {
 public:
  limit_service(peer_transport* transport, const control_service* control)
      : transport_(transport), control_(control) {}

  // Answers requests of entry instances. Returns false for any other frame.
  bool OnPeerFrame(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  limit_reply Handle(const limit_request& request, time_point now);

  // Called each tick. Sends the limits that have changed to these instances.
  void Tick(const std::map<instance_name, entry_instance>& entries,
            time_point now);
  // Sends all limits to an entry instance that has just connected.
  void OnEntryConnected(const instance_name& entry, time_point now);

 private:
  peer_transport* transport_;
  const control_service* control_;
  limit_allocator allocator_;
  time_point news_due_{};
};

}  // namespace bilberrycourse

#endif  // APP_LIMIT_SERVICE_H_
