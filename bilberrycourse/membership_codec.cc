#include "bilberrycourse/membership_codec.h"

#include <algorithm>
#include <utility>

#include "bilberrycourse/membership_generated.h"
#include "bilberrycourse/wire_buffer.h"

namespace bilberrycourse {
namespace {

namespace wire = membership_wire;
using builder = flatbuffers::FlatBufferBuilder;

wire::control_freshness ToWire(const control_freshness& f) {
  return {
      f.config_version, f.state_version,
      static_cast<std::uint64_t>(std::max<duration::rep>(0, f.age.count()))};
}

control_freshness FromWire(const wire::control_freshness* f) {
  if (f == nullptr) return {};
  const auto limit = static_cast<std::uint64_t>(duration::max().count());
  return {f->config_version(), f->state_version(),
          duration(static_cast<duration::rep>(std::min(f->age_us(), limit)))};
}

wire::knowledge ToWire(const instance_knowledge& k) {
  return {k.incarnation, static_cast<std::uint8_t>(k.status)};
}

bool FromWire(const wire::knowledge* in, instance_knowledge* out) {
  if (in == nullptr) return true;
  if (in->status() > static_cast<std::uint8_t>(instance_status::kLeaving)) {
    return false;
  }
  *out = {in->incarnation(), static_cast<instance_status>(in->status())};
  return true;
}

flatbuffers::Offset<wire::instance> Write(builder* b,
                                          const instance_record& r) {
  return wire::CreateinstanceDirect(*b, r.name.c_str(), r.incarnation,
                                    r.zone.c_str(), r.peer_address.c_str(),
                                    r.http_address.c_str(), r.roles.bits);
}

flatbuffers::Offset<wire::instance> Write(
    builder* b, const std::optional<instance_record>& r) {
  return r ? Write(b, *r) : flatbuffers::Offset<wire::instance>(0);
}

bool Read(const wire::instance& in, instance_record* out) {
  *out = {ToString(in.name()),         in.incarnation(),
          ToString(in.zone()),         ToString(in.peer_address()),
          ToString(in.http_address()), {in.roles()}};
  return !out->name.empty() && out->incarnation != 0;
}

bool Read(const wire::instance* in, std::optional<instance_record>* out) {
  if (in == nullptr) return true;
  out->emplace();
  return Read(*in, &**out);
}

struct message_writer {
  builder* b;
  using typed_payload =
      std::pair<wire::membership_payload, flatbuffers::Offset<void>>;

  typed_payload operator()(const probe_message& m) const {
    const auto sender = Write(b, m.sender);
    const auto known = ToWire(m.known);
    const auto freshness = ToWire(m.freshness);
    return {
        wire::membership_payload::probe,
        wire::Createprobe(*b, m.id, m.incarnation, &known, &freshness, sender)
            .Union()};
  }
  typed_payload operator()(const ack_message& m) const {
    const auto sender = Write(b, m.sender);
    const auto known = ToWire(m.known);
    const auto freshness = ToWire(m.freshness);
    return {wire::membership_payload::ack,
            wire::Createack(*b, m.id, m.incarnation, &known, &freshness, sender)
                .Union()};
  }
  typed_payload operator()(const probe_request_message& m) const {
    const auto known = ToWire(m.known);
    return {wire::membership_payload::probe_request,
            wire::Createprobe_requestDirect(*b, m.id, m.target.c_str(), &known)
                .Union()};
  }
  typed_payload operator()(const indirect_ack_message& m) const {
    const auto record = Write(b, m.record);
    const auto freshness = ToWire(m.freshness);
    return {wire::membership_payload::indirect_ack,
            wire::Createindirect_ackDirect(*b, m.id, m.target.c_str(),
                                           &freshness, record)
                .Union()};
  }
  typed_payload operator()(const notice_message& m) const {
    const auto sender = Write(b, m.sender);
    const auto known = ToWire(m.known);
    return {wire::membership_payload::notice,
            wire::Createnotice(*b, &known, sender).Union()};
  }
};

template <typename message, typename table>
std::optional<membership_message> ReadProbe(const table& in) {
  message out;
  out.id = in.id();
  out.incarnation = in.incarnation();
  out.freshness = FromWire(in.freshness());
  if (out.incarnation == 0 || !FromWire(in.known(), &out.known) ||
      !Read(in.sender(), &out.sender)) {
    return std::nullopt;
  }
  return out;
}

std::optional<membership_message> Read(const wire::probe_request& in) {
  probe_request_message out;
  out.id = in.id();
  out.target = ToString(in.target());
  if (out.target.empty() || !FromWire(in.known(), &out.known)) {
    return std::nullopt;
  }
  return out;
}

std::optional<membership_message> Read(const wire::indirect_ack& in) {
  indirect_ack_message out;
  out.id = in.id();
  out.target = ToString(in.target());
  out.freshness = FromWire(in.freshness());
  if (out.target.empty() || !Read(in.record(), &out.record)) {
    return std::nullopt;
  }
  return out;
}

std::optional<membership_message> Read(const wire::notice& in) {
  notice_message out;
  if (in.sender() == nullptr || !FromWire(in.known(), &out.known) ||
      !Read(*in.sender(), &out.sender)) {
    return std::nullopt;
  }
  return out;
}

}  // namespace

std::string EncodeMembership(const membership_message& message) {
  builder b(256);
  const auto [type, payload] = std::visit(message_writer{&b}, message);
  b.Finish(wire::Createmembership_message(b, type, payload));
  return ToBytes(b);
}

std::optional<membership_message> DecodeMembership(std::string_view bytes) {
  const aligned_bytes buffer(bytes);
  const auto* root = buffer.Root<wire::membership_message>();
  if (root == nullptr || root->payload() == nullptr) return std::nullopt;
  switch (root->payload_type()) {
    case wire::membership_payload::probe:
      return ReadProbe<probe_message>(*root->payload_as_probe());
    case wire::membership_payload::ack:
      return ReadProbe<ack_message>(*root->payload_as_ack());
    case wire::membership_payload::probe_request:
      return Read(*root->payload_as_probe_request());
    case wire::membership_payload::indirect_ack:
      return Read(*root->payload_as_indirect_ack());
    case wire::membership_payload::notice:
      return Read(*root->payload_as_notice());
    case wire::membership_payload::NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace bilberrycourse
