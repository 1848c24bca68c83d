#ifndef BILBERRYCOURSE_CONSENSUS_CODEC_H_
#define BILBERRYCOURSE_CONSENSUS_CODEC_H_

// Encodes and decodes consensus messages with FlatBuffers (fbs/consensus.fbs).
//
//   std::string bytes = EncodeMessage(message);
//   std::optional<consensus_message> copy = DecodeMessage(bytes);
//
// Decoding verifies the buffer before it reads any field and returns nullopt
// for input that is not a valid message.

#include <optional>
#include <string>
#include <string_view>

#include "bilberrycourse/consensus_types.h"

namespace bilberrycourse {

std::string EncodeMessage(const consensus_message& message);
std::optional<consensus_message> DecodeMessage(std::string_view bytes);

// Payload of entries of kind kMembership.
std::string EncodeGroupMembership(const group_membership& membership);
std::optional<group_membership> DecodeGroupMembership(std::string_view bytes);

// Returns the hash that identifies a group id in messages.
std::uint64_t GroupHash(std::string_view group);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONSENSUS_CODEC_H_
