#ifndef APP_CRASH_FRAMES_H_
#define APP_CRASH_FRAMES_H_

// Conversions between crash evidence of the routed interface and peer frames.

#include <vector>

#include "app/peer_frame_generated.h"
#include "bilberrycourse/crash_evidence.h"

namespace bilberrycourse {

wire::crash_recordsT ToWire(const std::vector<crash_evidence_record>& records);
std::vector<crash_evidence_record> FromWire(const wire::crash_records& records);

}  // namespace bilberrycourse

#endif  // APP_CRASH_FRAMES_H_
