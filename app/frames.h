#ifndef APP_FRAMES_H_
#define APP_FRAMES_H_

// Conversions between the typed messages of the library and peer_frame.
//
// Deadlines are sent as remaining time, so that the clocks of two instances
// need not be synchronized.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/peer_frame_generated.h"
#include "bilberrycourse/admission_protocol.h"
#include "bilberrycourse/shard_protocol.h"

namespace bilberrycourse {

using byte_vector = std::vector<std::uint8_t>;

inline byte_vector ToBytes(std::string_view text) {
  return {text.begin(), text.end()};
}

inline std::string ToText(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

inline std::string ToText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// Returns a frame that holds `payload`.
template <typename Payload>
wire::peer_frameT MakeFrame(Payload payload) {
  wire::peer_frameT frame;
  frame.payload.Set(std::move(payload));
  return frame;
}

wire::shard_requestT ToWire(const shard_request& request, time_point now);
shard_request FromWire(const wire::shard_request& request, time_point now);
wire::shard_resultT ToWire(const shard_result& result);
shard_result FromWire(const wire::shard_result& result);

wire::admission_requestT ToWire(const admission_request& request,
                                time_point now);
admission_request FromWire(const wire::admission_request& request,
                           time_point now);
wire::admission_decisionT ToWire(const admission_decision& decision);
admission_decision FromWire(const wire::admission_decision& decision);
wire::admission_releaseT ToWire(const admission_release& release);
admission_release FromWire(const wire::admission_release& release);

}  // namespace bilberrycourse

#endif  // APP_FRAMES_H_
