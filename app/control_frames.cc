#include "app/control_frames.h"

#include <algorithm>
#include <string>
#include <utility>

#include "app/frames.h"
#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

std::uint64_t DigestOf(const std::vector<entry_instance>& entries) {
  std::string text;
  for (const entry_instance& each : entries) {
    text += each.name + " " + each.address + " " + each.zone + "\n";
  }
  return name_hash()(text);
}

std::uint64_t DigestOf(const std::vector<log_member>& group) {
  std::string text;
  for (const log_member& each : group) {
    text += each.instance + " " + each.address + "\n";
  }
  return name_hash()(text);
}

wire::control_newsT ToWire(const control_news& news, std::uint64_t poll_id) {
  wire::control_newsT out;
  out.poll_id = poll_id;
  out.confirmed = news.confirmed;
  out.confirmed_age_us = static_cast<std::uint64_t>(news.age.count());
  out.published_version = news.published_version;
  out.state = ToBytes(news.state);
  out.leader = news.leader;
  out.routes = ToBytes(news.routes);
  return out;
}

// Appends what the asker's digests do not cover.
void AddInstances(const wire::control_poll& poll, const control_news& news,
                  const std::vector<entry_instance>& entries,
                  wire::control_newsT* out) {
  out->group_digest = DigestOf(news.group);
  if (poll.group_digest() != out->group_digest) {
    for (const log_member& member : news.group) {
      auto row = std::make_unique<wire::control_addressT>();
      row->instance = member.instance;
      row->address = member.address;
      out->group.push_back(std::move(row));
    }
  }
  if (poll.entry_digest() == out->entry_digest) return;
  for (const entry_instance& each : entries) {
    auto row = std::make_unique<wire::entry_instanceT>();
    row->instance = each.name;
    row->address = each.address;
    row->availability_zone = each.zone;
    out->entries.push_back(std::move(row));
  }
}

}  // namespace

const control_frames::row control_frames::kRows[] = {
    {wire::payload::consensus, &control_frames::OnConsensus},
    {wire::payload::control_poll, &control_frames::OnPoll},
    {wire::payload::control_news, &control_frames::OnNews},
    {wire::payload::propose, &control_frames::OnPropose},
    {wire::payload::propose_result, &control_frames::OnProposeResult},
    {wire::payload::read, &control_frames::OnRead},
    {wire::payload::read_result, &control_frames::OnReadResult},
};

control_frames::control_frames(peer_transport* transport,
                               control_service* local, control_client* client)
    : transport_(transport), local_(local), client_(client) {}

bool control_frames::Handle(const instance_name& peer,
                            const wire::peer_frame& frame, time_point now) {
  const auto* found = std::find_if(
      std::begin(kRows), std::end(kRows),
      [&](const row& each) { return each.type == frame.payload_type(); });
  if (found == std::end(kRows)) return false;
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
  const known_versions known{poll->published_version(), poll->routed(),
                             poll->route_version(), poll->searcher_revision()};
  control_news news;
  if (local_ != nullptr) news = local_->News(known, now);
  if (!news.confirmed && !known.routed) {
    news = client_->Relay(known.published_version, now);
  }
  wire::control_newsT reply = ToWire(news, poll->poll_id());
  reply.entry_instances = entry_instances_;
  reply.entry_digest = entry_digest_;
  if (known.routed) AddInstances(*poll, news, entries_, &reply);
  transport_->Send(peer, MakeFrame(std::move(reply)));
}

void control_frames::SetEntryInstances(std::uint32_t count,
                                       std::vector<entry_instance> entries) {
  entry_instances_ = count;
  if (entries == entries_) return;
  entries_ = std::move(entries);
  entry_digest_ = DigestOf(entries_);
}

void control_frames::OnNews(const instance_name& peer,
                            const wire::peer_frame& frame, time_point now) {
  client_->OnNews(peer, *frame.payload_as_control_news(), now);
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
