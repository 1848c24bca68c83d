#include "app/control_frames.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "app/frames.h"
#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

std::uint64_t GroupDigest(const std::vector<log_member>& group) {
  std::string text;
  for (const log_member& member : group) {
    text += member.instance + " " + member.address + "\n";
  }
  return name_hash()(text);
}

wire::control_newsT ToWire(const control_poll_reply& reply,
                           std::uint64_t poll_id) {
  wire::control_newsT out;
  out.poll_id = poll_id;
  out.confirmed = reply.confirmed;
  out.confirmed_age_us = static_cast<std::uint64_t>(reply.age.count());
  out.published_version = reply.published_version;
  out.state = ToBytes(reply.state);
  out.leader = reply.leader;
  out.routes = ToBytes(reply.routes);
  return out;
}

// Adds the group and the entry instances if the poller's digests of them
// differ.
void AddInstances(const wire::control_poll& poll,
                  const control_poll_reply& reply,
                  const entry_instance_log& entries, wire::control_newsT* out) {
  out->group_digest = GroupDigest(reply.group);
  if (poll.group_digest() != out->group_digest) {
    for (const log_member& member : reply.group) {
      auto address = std::make_unique<wire::control_addressT>();
      address->instance = member.instance;
      address->address = member.address;
      out->group.push_back(std::move(address));
    }
  }
  out->entry_digest = entries.digest();
  if (poll.entry_digest() == out->entry_digest) return;
  const entry_list_change change =
      entries.ChangeSince(poll.entry_changes() ? poll.entry_digest() : 0);
  out->entry_base_digest = change.base_digest;
  out->removed_entries = change.removed;
  for (const entry_instance& entry : change.added) {
    auto out_entry = std::make_unique<wire::entry_instanceT>();
    out_entry->instance = entry.name;
    out_entry->address = entry.address;
    out_entry->availability_zone = entry.zone;
    out->entries.push_back(std::move(out_entry));
  }
}

}  // namespace

const control_frames::frame_route control_frames::kFrameRoutes[] = {
    {wire::payload::consensus, &control_frames::OnConsensus},
    {wire::payload::control_poll, &control_frames::OnPoll},
    {wire::payload::control_news, &control_frames::OnPollReply},
    {wire::payload::propose, &control_frames::OnPropose},
    {wire::payload::propose_result, &control_frames::OnProposeResult},
    {wire::payload::read, &control_frames::OnRead},
    {wire::payload::read_result, &control_frames::OnReadResult},
};

control_frames::control_frames(peer_transport* transport,
                               control_service* local, control_client* client,
                               availability_zone zone)
    : transport_(transport),
      local_(local),
      client_(client),
      zone_(std::move(zone)) {}

bool control_frames::Handle(const instance_name& peer,
                            const wire::peer_frame& frame, time_point now) {
  const auto* found =
      std::find_if(std::begin(kFrameRoutes), std::end(kFrameRoutes),
                   [&](const frame_route& route) {
                     return route.type == frame.payload_type();
                   });
  if (found == std::end(kFrameRoutes)) return false;
  (this->*found->handle)(peer, frame, now);
  return true;
}

void control_frames::OnConsensus(const instance_name&,
                                 const wire::peer_frame& frame,
                                 time_point now) {
  if (local_ == nullptr) return;
  local_->OnConsensusFrame(ToText(frame.payload_as_consensus()->payload()),
                           now);
}

void control_frames::OnPoll(const instance_name& peer,
                            const wire::peer_frame& frame, time_point now) {
  const wire::control_poll* poll = frame.payload_as_control_poll();
  known_versions known{poll->published_version(), poll->routed(),
                       poll->route_version(), poll->searcher_revision(),
                       std::nullopt};
  if (const auto version = poll->evacuation_version()) {
    known.evacuation_version = *version;
  }
  control_poll_reply confirmed;
  if (local_ != nullptr) confirmed = local_->AnswerPoll(known, now);
  if (!confirmed.confirmed && !known.routed) {
    confirmed = client_->AnswerPoll(known.published_version, now);
  }
  wire::control_newsT reply = ToWire(confirmed, poll->poll_id());
  reply.entry_instances = entry_instances_;
  reply.availability_zone = zone_;
  if (known.routed) AddInstances(*poll, confirmed, entries_, &reply);
  transport_->Send(peer, MakeFrame(std::move(reply)));
}

void control_frames::SetEntryInstances(std::uint32_t count,
                                       std::vector<entry_instance> entries) {
  entry_instances_ = count;
  entries_.Set(std::move(entries));
}

void control_frames::OnPollReply(const instance_name& peer,
                                 const wire::peer_frame& frame,
                                 time_point now) {
  client_->OnPollReply(peer, *frame.payload_as_control_news(), now);
}

void control_frames::OnPropose(const instance_name& peer,
                               const wire::peer_frame& frame, time_point) {
  const wire::propose* propose = frame.payload_as_propose();
  const std::uint64_t id = propose->proposal_id();
  const auto reply = [this, peer, id](const control_reply& answer) {
    wire::propose_resultT result;
    result.proposal_id = id;
    result.code = Describe(answer.code).number;
    result.outcome = ToBytes(answer.body);
    result.leader = answer.leader;
    transport_->Send(peer, MakeFrame(std::move(result)));
  };
  if (local_ == nullptr) {
    return reply({result_code::kNotLeader, "", client_->leader()});
  }
  local_->Propose(ToText(propose->command()), reply);
}

void control_frames::OnProposeResult(const instance_name&,
                                     const wire::peer_frame& frame,
                                     time_point now) {
  client_->OnProposeResult(*frame.payload_as_propose_result(), now);
}

void control_frames::OnRead(const instance_name& peer,
                            const wire::peer_frame& frame, time_point) {
  const wire::read* read = frame.payload_as_read();
  const std::uint64_t id = read->read_id();
  const auto reply = [this, peer, id](const control_reply& answer) {
    wire::read_resultT result;
    result.read_id = id;
    result.code = Describe(answer.code).number;
    result.body = answer.body;
    result.leader = answer.leader;
    transport_->Send(peer, MakeFrame(std::move(result)));
  };
  const std::string view = ToText(read->view());
  if (view == "in_force") {
    return reply({result_code::kOk,
                  std::to_string(client_->published().config_version), ""});
  }
  if (local_ == nullptr) {
    return reply({result_code::kNotLeader, "", client_->leader()});
  }
  local_->Read(view, ToText(read->argument()), reply);
}

void control_frames::OnReadResult(const instance_name&,
                                  const wire::peer_frame& frame,
                                  time_point now) {
  client_->OnReadResult(*frame.payload_as_read_result(), now);
}

}  // namespace bilberrycourse
