#ifndef APP_LIMIT_FRAMES_H_
#define APP_LIMIT_FRAMES_H_

// Conversions between limit_protocol messages and peer frames. Statements with
// a limit that is negative or not finite are dropped.

#include "app/peer_frame_generated.h"
#include "bilberrycourse/limit_protocol.h"

namespace bilberrycourse {

wire::limit_requestT ToWire(const limit_request& request);
limit_request FromWire(const wire::limit_request& request);
wire::limit_replyT ToWire(const limit_reply& reply);
limit_reply FromWire(const wire::limit_reply& reply);

}  // namespace bilberrycourse

#endif  // APP_LIMIT_FRAMES_H_
