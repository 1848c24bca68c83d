#include "bilberrycourse/control_command.h"

#include <memory>
#include <utility>

#include "bilberrycourse/control_codec.h"

namespace bilberrycourse {
namespace {

namespace wire = control_wire;

template <typename To, typename From>
std::optional<To> FromOptional(const From& from) {
  if (!from) return std::nullopt;
  return static_cast<To>(*from);
}

template <typename To, typename From>
flatbuffers::Optional<To> ToOptional(const std::optional<From>& from) {
  if (!from) return flatbuffers::nullopt;
  return static_cast<To>(*from);
}

void Encode(const config_change& command, wire::command_bodyUnion* body) {
  wire::config_changeT out;
  out.change_id = command.change_id;
  out.base_version = command.base_version;
  out.author = command.author;
  out.reason = command.reason;
  out.document = command.document;
  body->Set(std::move(out));
}

void Encode(const exception_add& command, wire::command_bodyUnion* body) {
  wire::exception_addT out;
  out.change_id = command.change_id;
  out.base_version = ToOptional<std::uint64_t>(command.base_version);
  out.exception = std::make_unique<wire::exception_fieldsT>();
  auto& fields = *out.exception;
  fields.id = command.exception.id;
  fields.caller = command.exception.caller;
  fields.reason = command.exception.reason;
  fields.author = command.exception.author;
  fields.expires_ms = ToOptional<std::int64_t>(command.exception.expires_ms);
  fields.caller_weight = ToOptional<double>(command.exception.caller_weight);
  if (command.exception.deadline) {
    fields.deadline_us = command.exception.deadline->count();
  }
  body->Set(std::move(out));
}

void Encode(const exception_remove& command, wire::command_bodyUnion* body) {
  wire::exception_removeT out;
  out.change_id = command.change_id;
  out.base_version = ToOptional<std::uint64_t>(command.base_version);
  out.exception_id = command.exception_id;
  out.author = command.author;
  out.reason = command.reason;
  body->Set(std::move(out));
}

void Encode(const shard_set_record& command, wire::command_bodyUnion* body) {
  body->Set(ToWire(command));
}

void Encode(const request_begin& command, wire::command_bodyUnion* body) {
  wire::request_beginT out;
  out.caller = command.caller;
  out.key = command.key;
  out.run = ToWire(command.run);
  out.target = command.target;
  out.body_hash = command.body_hash;
  out.issued_at_ms = command.issued_at_ms;
  out.deadline_ms = command.deadline_ms;
  out.idempotent = command.idempotent;
  out.keep = command.keep;
  body->Set(std::move(out));
}

void Encode(const request_finish& command, wire::command_bodyUnion* body) {
  wire::request_finishT out;
  out.caller = command.caller;
  out.key = command.key;
  out.run = ToWire(command.run);
  out.code = static_cast<std::uint16_t>(command.code);
  out.answer = command.answer;
  body->Set(std::move(out));
}

void Encode(const request_abandon& command, wire::command_bodyUnion* body) {
  wire::request_abandonT out;
  out.caller = command.caller;
  out.key = command.key;
  out.run = ToWire(command.run);
  body->Set(std::move(out));
}

void Encode(const route_document& command, wire::command_bodyUnion* body) {
  body->Set(ToWire(command));
}

void Encode(const searcher_reports& command, wire::command_bodyUnion* body) {
  wire::searcher_reportsT out;
  for (const searcher_report& report : command.reports) {
    out.reports.push_back(ToWire(searcher_record{report, 0}));
  }
  body->Set(std::move(out));
}

void Encode(const zone_evacuation& command, wire::command_bodyUnion* body) {
  wire::zone_evacuationT out;
  out.zone = command.zone;
  out.evacuated = command.evacuated;
  out.base_version = command.base_version;
  body->Set(std::move(out));
}

std::optional<control_command> Decode(const wire::config_changeT& in) {
  return config_change{in.change_id, in.base_version, in.author, in.reason,
                       in.document};
}

std::optional<control_command> Decode(const wire::exception_addT& in) {
  if (in.exception == nullptr) return std::nullopt;
  const auto& fields = *in.exception;
  exception_add out;
  out.change_id = in.change_id;
  out.base_version = FromOptional<std::uint64_t>(in.base_version);
  out.exception.id = fields.id;
  out.exception.caller = fields.caller;
  out.exception.reason = fields.reason;
  out.exception.author = fields.author;
  out.exception.expires_ms = FromOptional<wall_time_ms>(fields.expires_ms);
  out.exception.caller_weight = FromOptional<double>(fields.caller_weight);
  out.exception.deadline = FromOptional<duration>(fields.deadline_us);
  return out;
}

std::optional<control_command> Decode(const wire::exception_removeT& in) {
  return exception_remove{in.change_id,
                          FromOptional<std::uint64_t>(in.base_version),
                          in.exception_id, in.author, in.reason};
}

std::optional<control_command> Decode(const wire::shard_setT& in) {
  return FromWire(in);
}

std::optional<control_command> Decode(const wire::request_beginT& in) {
  request_begin out;
  if (!FromWire(in.run, &out.run)) return std::nullopt;
  out.caller = in.caller;
  out.key = in.key;
  out.target = in.target;
  out.body_hash = in.body_hash;
  out.issued_at_ms = in.issued_at_ms;
  out.deadline_ms = in.deadline_ms;
  out.idempotent = in.idempotent;
  out.keep = in.keep;
  return out;
}

std::optional<control_command> Decode(const wire::request_finishT& in) {
  request_finish out;
  if (!FromWire(in.run, &out.run)) return std::nullopt;
  if (!ResultCodeFromWire(in.code, &out.code)) return std::nullopt;
  out.caller = in.caller;
  out.key = in.key;
  out.answer = in.answer;
  return out;
}

std::optional<control_command> Decode(const wire::request_abandonT& in) {
  request_abandon out;
  if (!FromWire(in.run, &out.run)) return std::nullopt;
  out.caller = in.caller;
  out.key = in.key;
  return out;
}

std::optional<control_command> Decode(const wire::route_documentT& in) {
  return FromWire(in);
}

std::optional<control_command> Decode(const wire::searcher_reportsT& in) {
  searcher_reports out;
  for (const auto& report : in.reports) {
    searcher_record record;
    if (!FromWire(*report, &record)) return std::nullopt;
    out.reports.push_back(std::move(record.report));
  }
  return out;
}

std::optional<control_command> Decode(const wire::zone_evacuationT& in) {
  return zone_evacuation{in.zone, in.evacuated, in.base_version};
}

template <typename Wire>
std::optional<control_command> DecodeBody(const void* value) {
  return Decode(*static_cast<const Wire*>(value));
}

}  // namespace

std::string EncodeCommand(const control_command& command) {
  wire::commandT out;
  std::visit([&](const auto& body) { Encode(body, &out.body); }, command);
  wire::control_rootT root;
  root.body.Set(std::move(out));
  return PackRoot(root);
}

std::optional<control_command> DecodeCommand(std::string_view bytes) {
  const auto root = UnpackRoot(bytes, wire::root_body::command);
  if (root == nullptr) return std::nullopt;
  const auto& body = root->body.Ascommand()->body;
  if (body.value == nullptr) return std::nullopt;
  switch (body.type) {
    case wire::command_body::config_change:
      return DecodeBody<wire::config_changeT>(body.value);
    case wire::command_body::exception_add:
      return DecodeBody<wire::exception_addT>(body.value);
    case wire::command_body::exception_remove:
      return DecodeBody<wire::exception_removeT>(body.value);
    case wire::command_body::shard_set:
      return DecodeBody<wire::shard_setT>(body.value);
    case wire::command_body::request_begin:
      return DecodeBody<wire::request_beginT>(body.value);
    case wire::command_body::request_finish:
      return DecodeBody<wire::request_finishT>(body.value);
    case wire::command_body::request_abandon:
      return DecodeBody<wire::request_abandonT>(body.value);
    case wire::command_body::route_document:
      return DecodeBody<wire::route_documentT>(body.value);
    case wire::command_body::searcher_reports:
      return DecodeBody<wire::searcher_reportsT>(body.value);
    case wire::command_body::zone_evacuation:
      return DecodeBody<wire::zone_evacuationT>(body.value);
    case wire::command_body::NONE:
      break;
  }
  return std::nullopt;
}

std::string EncodeOutcome(const control_outcome& outcome) {
  wire::control_rootT root;
  root.body.Set(ToWire(outcome));
  return PackRoot(root);
}

std::optional<control_outcome> DecodeOutcome(std::string_view bytes) {
  const auto root = UnpackRoot(bytes, wire::root_body::outcome);
  control_outcome outcome;
  if (root == nullptr || !FromWire(*root->body.Asoutcome(), &outcome)) {
    return std::nullopt;
  }
  return outcome;
}

}  // namespace bilberrycourse
