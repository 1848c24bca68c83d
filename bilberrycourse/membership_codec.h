#ifndef BILBERRYCOURSE_MEMBERSHIP_CODEC_H_
#define BILBERRYCOURSE_MEMBERSHIP_CODEC_H_

// Encodes and decodes the messages of membership. DecodeMembership() verifies
// the bytes and returns nullopt if they are malformed.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bilberrycourse/instance_record.h"
#include "bilberrycourse/membership.h"

namespace bilberrycourse {

// Knowledge of the sender about an instance; incarnation 0 means unknown.
struct instance_knowledge {
  std::uint64_t incarnation = 0;
  instance_status status = instance_status::kAlive;
  bool operator==(const instance_knowledge&) const = default;
};

// A probe. An ack has the same fields.
struct probe_message {
  std::uint64_t id = 0;
  // Incarnation of the sender.
  std::uint64_t incarnation = 0;
  // Knowledge about the receiver.
  instance_knowledge known;
  control_freshness freshness;
  // Set if the receiver may not know the current record of the sender.
  std::optional<instance_record> sender;
};
struct ack_message : probe_message {};
// Requests the receiver to probe `target`.
struct probe_request_message {
  std::uint64_t id = 0;
  instance_name target;
  // Knowledge about the target.
  instance_knowledge known;
};
// Reports an ack of `target` to the instance that requested the probe.
struct indirect_ack_message {
  // The id of the probe request.
  std::uint64_t id = 0;
  instance_name target;
  control_freshness freshness;
  std::optional<instance_record> record;
};
// Corrects the receiver's knowledge of the sender, or notifies the receiver
// that the sender does not see it alive.
struct notice_message {
  // Knowledge about the receiver.
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
