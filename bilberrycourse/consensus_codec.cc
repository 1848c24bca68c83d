#include "bilberrycourse/consensus_codec.h"

#include <xxhash.h>

#include <cstring>

#include "bilberrycourse/consensus_generated.h"

namespace bilberrycourse {
namespace {

namespace wire = consensus_wire;

using member_offset = flatbuffers::Offset<wire::member>;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> ToVector(
    flatbuffers::FlatBufferBuilder& builder, std::string_view bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string_view ToStringView(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

// FlatBuffers reads in place and needs eight-byte alignment, which a slice of a
// log file does not guarantee. Copies the bytes only if they are misaligned.
std::string_view EnsureAligned(std::string_view bytes,
                               std::vector<std::uint64_t>* copy) {
  if (reinterpret_cast<std::uintptr_t>(bytes.data()) % 8 == 0) return bytes;
  copy->resize(bytes.size() / 8 + 1);
  std::memcpy(copy->data(), bytes.data(), bytes.size());
  return {reinterpret_cast<const char*>(copy->data()), bytes.size()};
}

std::vector<member_offset> EncodeMembers(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<log_member>& members) {
  std::vector<member_offset> offsets;
  offsets.reserve(members.size());
  for (const log_member& member : members) {
    const auto instance = builder.CreateString(member.instance);
    const auto address = builder.CreateString(member.address);
    offsets.push_back(wire::Createmember(
        builder, static_cast<std::uint64_t>(member.id), instance, address,
        static_cast<std::uint8_t>(member.role)));
  }
  return offsets;
}

bool DecodeMembers(
    const flatbuffers::Vector<flatbuffers::Offset<wire::member>>* members,
    std::vector<log_member>* out) {
  if (members == nullptr) return true;
  for (const wire::member* member : *members) {
    if (member->role() > static_cast<std::uint8_t>(member_role::kLearner)) {
      return false;
    }
    log_member decoded{.id = member_id{member->id()},
                       .instance = {},
                       .address = {},
                       .role = static_cast<member_role>(member->role())};
    if (member->instance() != nullptr) {
      decoded.instance = member->instance()->str();
    }
    if (member->address() != nullptr) {
      decoded.address = member->address()->str();
    }
    out->push_back(std::move(decoded));
  }
  return true;
}

}  // namespace

std::string EncodeMessage(const consensus_message& message) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::entry>> entries;
  entries.reserve(message.entries.size());
  for (const log_entry& entry : message.entries) {
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> payload;
    if (entry.payload != nullptr) payload = ToVector(builder, *entry.payload);
    entries.push_back(wire::Createentry(builder, entry.index, entry.term,
                                        static_cast<std::uint8_t>(entry.kind),
                                        payload));
  }
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::entry>>>
      entry_vector;
  if (!entries.empty()) entry_vector = builder.CreateVector(entries);
  flatbuffers::Offset<flatbuffers::Vector<member_offset>> member_vector;
  if (!message.members.empty()) {
    member_vector =
        builder.CreateVector(EncodeMembers(builder, message.members));
  }
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> data;
  if (!message.data.empty()) data = ToVector(builder, message.data);

  wire::messageBuilder table(builder);
  table.add_kind(static_cast<std::uint8_t>(message.kind));
  table.add_group(message.group);
  table.add_formation(message.formation);
  table.add_from(static_cast<std::uint64_t>(message.from));
  table.add_to(static_cast<std::uint64_t>(message.to));
  table.add_term(message.term);
  table.add_index(message.index);
  table.add_index_term(message.index_term);
  table.add_commit(message.commit);
  table.add_match(message.match);
  table.add_rejected(message.rejected);
  table.add_formed(message.formed);
  table.add_forced(message.forced);
  table.add_sequence(message.sequence);
  table.add_sent_us(message.sent_us);
  table.add_confirmation_age_us(message.confirmation_age_us);
  table.add_follower_us(message.follower_us);
  table.add_held_us(message.held_us);
  table.add_entries(entry_vector);
  table.add_members(member_vector);
  table.add_offset(message.offset);
  table.add_total(message.total);
  table.add_data(data);
  table.add_leaving(message.leaving);
  builder.Finish(table.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<consensus_message> DecodeMessage(std::string_view bytes) {
  std::vector<std::uint64_t> copy;
  bytes = EnsureAligned(bytes, &copy);
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<wire::message>(nullptr)) return std::nullopt;
  const auto* table = flatbuffers::GetRoot<wire::message>(bytes.data());
  if (table->kind() >= kMessageKindCount) return std::nullopt;

  consensus_message message;
  message.kind = static_cast<message_kind>(table->kind());
  message.group = table->group();
  message.formation = table->formation();
  message.from = member_id{table->from()};
  message.to = member_id{table->to()};
  message.term = table->term();
  message.index = table->index();
  message.index_term = table->index_term();
  message.commit = table->commit();
  message.match = table->match();
  message.rejected = table->rejected();
  message.formed = table->formed();
  message.forced = table->forced();
  message.sequence = table->sequence();
  message.sent_us = table->sent_us();
  message.confirmation_age_us = table->confirmation_age_us();
  message.follower_us = table->follower_us();
  message.held_us = table->held_us();
  message.offset = table->offset();
  message.total = table->total();
  message.data = ToStringView(table->data());
  message.leaving = table->leaving();
  if (!DecodeMembers(table->members(), &message.members)) return std::nullopt;
  if (table->entries() != nullptr) {
    for (const wire::entry* entry : *table->entries()) {
      if (entry->kind() > static_cast<std::uint8_t>(entry_kind::kMembership)) {
        return std::nullopt;
      }
      log_entry decoded{.index = entry->index(),
                        .term = entry->term(),
                        .kind = static_cast<entry_kind>(entry->kind()),
                        .payload = nullptr};
      if (entry->payload() != nullptr) {
        decoded.payload =
            std::make_shared<const std::string>(ToStringView(entry->payload()));
      }
      message.entries.push_back(std::move(decoded));
    }
  }
  return message;
}

std::string EncodeGroupMembership(const group_membership& membership) {
  flatbuffers::FlatBufferBuilder builder;
  const auto members =
      builder.CreateVector(EncodeMembers(builder, membership.members));
  builder.Finish(wire::Createmembership(builder, members));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<group_membership> DecodeGroupMembership(std::string_view bytes) {
  std::vector<std::uint64_t> copy;
  bytes = EnsureAligned(bytes, &copy);
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (!verifier.VerifyBuffer<wire::membership>(nullptr)) return std::nullopt;
  group_membership membership;
  const auto* table = flatbuffers::GetRoot<wire::membership>(bytes.data());
  if (!DecodeMembers(table->members(), &membership.members)) {
    return std::nullopt;
  }
  return membership;
}

std::uint64_t GroupHash(std::string_view group) {
  return XXH64(group.data(), group.size(), 0);
}

}  // namespace bilberrycourse
