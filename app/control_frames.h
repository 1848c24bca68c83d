#ifndef APP_CONTROL_FRAMES_H_
#define APP_CONTROL_FRAMES_H_

// Dispatches the frames between instances and the control group and answers
// them: messages of the replicated log, polls, proposals and reads.
//
//   control_frames frames(&transport, local_member, &client);
//   if (frames.Handle(peer, frame, now)) return;

#include <cstdint>
#include <vector>

#include "app/control_client.h"
#include "app/control_service.h"
#include "app/peer_transport.h"
#include "bilberrycourse/entry_instance_log.h"

namespace bilberrycourse {

class control_frames {
 public:
  // `local` is the member of this process, or nullptr.
  control_frames(peer_transport* transport, control_service* local,
                 control_client* client, availability_zone zone);

  // Returns false if the frame is of another kind.
  bool Handle(const instance_name& peer, const wire::peer_frame& frame,
              time_point now);

  // Sets the entry instances that poll replies report: the number that share
  // limits, and those that are connected now.
  void SetEntryInstances(std::uint32_t count,
                         std::vector<entry_instance> entries);

 private:
  using handler = void (control_frames::*)(const instance_name&,
                                           const wire::peer_frame&, time_point);
  struct frame_route {
    wire::payload type;
    handler handle;
  };
  static const frame_route kFrameRoutes[];

  void OnConsensus(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  void OnPoll(const instance_name& peer, const wire::peer_frame& frame,
              time_point now);
  void OnPollReply(const instance_name& peer, const wire::peer_frame& frame,
                   time_point now);
  void OnPropose(const instance_name& peer, const wire::peer_frame& frame,
                 time_point now);
  void OnProposeResult(const instance_name& peer, const wire::peer_frame& frame,
                       time_point now);
  void OnRead(const instance_name& peer, const wire::peer_frame& frame,
              time_point now);
  void OnReadResult(const instance_name& peer, const wire::peer_frame& frame,
                    time_point now);

  peer_transport* transport_;
  control_service* local_;
  control_client* client_;
  std::uint32_t entry_instances_ = 0;
  entry_instance_log entries_;
  const availability_zone zone_;
};

}  // namespace bilberrycourse

#endif  // APP_CONTROL_FRAMES_H_
