#include "bilberrycourse/control_codec.h"

#include <utility>

namespace bilberrycourse {
namespace {

namespace wire = control_wire;

// A snapshot with a full ledger has about 17 tables per request.
constexpr flatbuffers::uoffset_t kMaxTables = 16 * 1024 * 1024;
constexpr flatbuffers::uoffset_t kMaxDepth = 16;

}  // namespace

std::string PackRoot(const wire::control_rootT& root) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::control_root::Pack(builder, &root));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::unique_ptr<wire::control_rootT> UnpackRoot(std::string_view bytes,
                                                wire::root_body kind) {
  // FlatBuffers reads fields in place and needs an aligned buffer.
  const std::string aligned(bytes);
  const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(data, aligned.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<wire::control_root>(nullptr)) return nullptr;
  const auto* root = flatbuffers::GetRoot<wire::control_root>(data);
  // The verifier accepts a union that has a type but no value.
  if (root->body_type() != kind || root->body() == nullptr) return nullptr;
  return std::unique_ptr<wire::control_rootT>(root->UnPack());
}

bool ResultCodeFromWire(std::uint16_t number, result_code* code) {
  *code = ResultCodeFromNumber(number);
  return static_cast<std::uint16_t>(*code) == number;
}

wire::outcomeT ToWire(const control_outcome& outcome) {
  wire::outcomeT result;
  result.code = static_cast<std::uint16_t>(outcome.code);
  result.version = outcome.version;
  result.detail = outcome.detail;
  result.decision = static_cast<std::uint8_t>(outcome.decision);
  result.recorded_code = static_cast<std::uint16_t>(outcome.recorded_code);
  result.recorded_answer = outcome.recorded_answer;
  result.answer_omitted = outcome.answer_omitted;
  return result;
}

bool FromWire(const wire::outcomeT& wire, control_outcome* outcome) {
  if (wire.decision > static_cast<std::uint8_t>(request_decision::kRecorded)) {
    return false;
  }
  outcome->version = wire.version;
  outcome->detail = wire.detail;
  outcome->decision = static_cast<request_decision>(wire.decision);
  outcome->recorded_answer = wire.recorded_answer;
  outcome->answer_omitted = wire.answer_omitted;
  return ResultCodeFromWire(wire.code, &outcome->code) &&
         ResultCodeFromWire(wire.recorded_code, &outcome->recorded_code);
}

std::unique_ptr<wire::request_runT> ToWire(const request_run& run) {
  auto result = std::make_unique<wire::request_runT>();
  result->origin = run.origin;
  result->run_id = run.run_id;
  return result;
}

bool FromWire(const std::unique_ptr<wire::request_runT>& wire,
              request_run* run) {
  if (wire == nullptr) return false;
  *run = {wire->origin, wire->run_id};
  return true;
}

wire::shard_setT ToWire(const shard_set_record& record) {
  wire::shard_setT result;
  result.service = record.service;
  result.version = static_cast<std::uint64_t>(record.version);
  result.shard_count = record.shard_count;
  return result;
}

shard_set_record FromWire(const wire::shard_setT& wire) {
  return {wire.service, static_cast<index_version>(wire.version),
          wire.shard_count};
}

wire::route_documentT ToWire(const route_document& document) {
  wire::route_documentT result;
  result.version = document.version;
  result.document = document.document;
  return result;
}

route_document FromWire(const wire::route_documentT& wire) {
  return {wire.version, wire.document};
}

std::unique_ptr<wire::evacuation_listT> ToWire(const evacuation_list& list) {
  auto result = std::make_unique<wire::evacuation_listT>();
  result->version = list.version;
  result->zones = list.zones;
  return result;
}

evacuation_list FromWire(const wire::evacuation_listT& wire) {
  return {wire.version, wire.zones};
}

std::unique_ptr<wire::searcher_reportT> ToWire(const searcher_record& record) {
  auto result = std::make_unique<wire::searcher_reportT>();
  const searcher_report& report = record.report;
  result->id = report.id;
  result->service = report.service;
  result->address = report.address;
  result->zone = report.zone;
  result->slots = report.slots;
  result->state = static_cast<std::uint8_t>(report.state);
  result->started_at_ms = report.started_at_ms;
  result->sequence = report.sequence;
  result->warmup_ms = report.warmup_ms;
  result->revision = record.revision;
  return result;
}

bool FromWire(const wire::searcher_reportT& wire, searcher_record* record) {
  if (wire.state > static_cast<std::uint8_t>(searcher_state::kGone)) {
    return false;
  }
  searcher_report& report = record->report;
  report.id = wire.id;
  report.service = wire.service;
  report.address = wire.address;
  report.zone = wire.zone;
  report.slots = wire.slots;
  report.state = static_cast<searcher_state>(wire.state);
  report.started_at_ms = wire.started_at_ms;
  report.sequence = wire.sequence;
  report.warmup_ms = wire.warmup_ms;
  record->revision = wire.revision;
  return true;
}

}  // namespace bilberrycourse
