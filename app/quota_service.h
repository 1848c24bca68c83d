#ifndef APP_QUOTA_SERVICE_H_
#define APP_QUOTA_SERVICE_H_

// Runs the quota_allocator on a control instance. Only the leader of the
// control group allocates: there is at most one that a majority follows.
//
//   quota_service quotas(&transport, &control_service);
//   if (quotas.OnPeerFrame(peer, frame, now)) return;
//   quotas.Tick(now);
//   quotas.UpdateMetrics(&metrics);

#include "app/control_service.h"
#include "app/metrics.h"
#include "app/peer_transport.h"
#include "bilberrycourse/accounts/quota_allocator.h"

namespace bilberrycourse {

class quota_service {
 public:
  quota_service(peer_transport* transport, const control_service* control,
                const quota_tolerance& tolerance = {})
      : transport_(transport), control_(control), allocator_(tolerance) {}

  // Answers requests of entry instances. Returns false for any other frame.
  bool OnPeerFrame(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  quota_reply Handle(const quota_request& request, time_point now);
  // Called each tick. Starts a new allocator whenever this member has become
  // the leader.
  void Tick(time_point now);

  void UpdateMetrics(metrics* counters) const;

 private:
  peer_transport* transport_;
  const control_service* control_;
  quota_allocator allocator_;
  bool leading_ = false;
};

}  // namespace bilberrycourse

#endif  // APP_QUOTA_SERVICE_H_
