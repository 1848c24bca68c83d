#ifndef BILBERRYCOURSE_CONTROL_CODEC_H_
#define BILBERRYCOURSE_CONTROL_CODEC_H_

// FlatBuffers root shared by commands, outcomes, snapshots and the published
// state; used only by the files that implement those encodings.
//
//   control_wire::control_rootT root;
//   root.body.Set(control_wire::outcomeT{...});
//   std::string bytes = PackRoot(root);
//   auto read = UnpackRoot(bytes, control_wire::root_body::outcome);

#include <memory>
#include <string>
#include <string_view>

#include "bilberrycourse/control_command.h"
#include "bilberrycourse/control_state_generated.h"

namespace bilberrycourse {

std::string PackRoot(const control_wire::control_rootT& root);

// Verifies and unpacks the bytes. Returns nullptr if they are damaged or hold
// another kind of root.
std::unique_ptr<control_wire::control_rootT> UnpackRoot(
    std::string_view bytes, control_wire::root_body kind);

control_wire::outcomeT ToWire(const control_outcome& outcome);
// Returns false if a field is out of range.
bool FromWire(const control_wire::outcomeT& wire, control_outcome* outcome);

std::unique_ptr<control_wire::request_runT> ToWire(const request_run& run);
bool FromWire(const std::unique_ptr<control_wire::request_runT>& wire,
              request_run* run);

control_wire::shard_setT ToWire(const shard_set_record& record);
shard_set_record FromWire(const control_wire::shard_setT& wire);

control_wire::route_documentT ToWire(const route_document& document);
route_document FromWire(const control_wire::route_documentT& wire);

std::unique_ptr<control_wire::evacuation_listT> ToWire(
    const evacuation_list& list);
evacuation_list FromWire(const control_wire::evacuation_listT& wire);

std::unique_ptr<control_wire::searcher_reportT> ToWire(
    const searcher_record& record);
// Returns false if the state is out of range.
bool FromWire(const control_wire::searcher_reportT& wire,
              searcher_record* record);

// Returns false if `number` is not a known result code.
bool ResultCodeFromWire(std::uint16_t number, result_code* code);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONTROL_CODEC_H_
