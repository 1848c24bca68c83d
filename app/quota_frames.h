#ifndef APP_QUOTA_FRAMES_H_
#define APP_QUOTA_FRAMES_H_

// Conversions between quota_protocol messages and peer frames. Wants without an
// account or with a limit that is negative or not finite are dropped.

#include "app/peer_frame_generated.h"
#include "bilberrycourse/accounts/quota_protocol.h"

namespace bilberrycourse {

wire::quota_requestT ToWire(const quota_request& request);
quota_request FromWire(const wire::quota_request& request);
wire::quota_replyT ToWire(const quota_reply& reply);
quota_reply FromWire(const wire::quota_reply& reply);

}  // namespace bilberrycourse

#endif  // APP_QUOTA_FRAMES_H_
