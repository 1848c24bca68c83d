#ifndef BILBERRYCOURSE_MEMBERSHIP_CODEC_H_
#define BILBERRYCOURSE_MEMBERSHIP_CODEC_H_

// Bytes of the messages of membership. Decoding verifies everything and
// returns nullopt for malformed bytes.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bilberrycourse/instance_record.h"
#include "bilberrycourse/membership.h"

namespace bilberrycourse {

// What the sender knows of an instance; incarnation 0 means unknown.
struct instance_knowledge {
  std::uint64_t incarnation = 0;
  instance_status status = instance_status::kAlive;
  bool operator==(const instance_knowledge&) const = default;
};

// Probe and ack differ only in their direction.
struct probe_message {
  std::uint64_t id = 0;
  // Incarnation of the sender.
  std::uint64_t incarnation = 0;
  // About the receiver.
  instance_knowledge known;
  control_freshness freshness;
  // Present when the receiver may not know the facts of the sender.
  std::optional<instance_record> sender;
};
struct ack_message : probe_message {};
struct probe_request_message {
  std::uint64_t id = 0;
  instance_name target;
  // About the target.
  instance_knowledge known;
};
struct indirect_ack_message {
  // The id of the probe request.
  std::uint64_t id = 0;
  instance_name target;
  control_freshness freshness;
  std::optional<instance_record> record;
};
struct notice_message {
  // About the receiver.
  instance_knowledge known;
  instance_record sender;
};
using membership_message =
    std::variant<probe_message, ack_message, probe_request_message,
                 indirect_ack_message, notice_message>;

std::string EncodeMembership(const membership_message& message);
std::optional<membership_message> DecodeMembership(std::string_view bytes);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_MEMBERSHIP_CODEC_H_
