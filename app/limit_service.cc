#include "app/limit_service.h"

#include <utility>

#include "app/frames.h"
#include "app/json_log.h"
#include "app/limit_frames.h"

namespace bilberrycourse {
namespace {

// Changes of limits are collected for this long, because many searchers may
// state theirs at once and each message goes to every entry instance.
constexpr duration kNewsPeriod = std::chrono::milliseconds(100);

}  // namespace

limit_reply limit_service::Handle(const limit_request& request,
                                  time_point now) {
  if (control_->leads()) return allocator_.Handle(request, now);
  limit_reply refused;
  refused.id = request.id;
  return refused;
}

bool limit_service::OnPeerFrame(const instance_name& peer,
                                const wire::peer_frame& frame, time_point now) {
  const auto* request = frame.payload_as_limit_request();
  if (request == nullptr) return false;
  const limit_reply reply = Handle(FromWire(*request), now);
  if (reply.id != 0) transport_->Send(peer, MakeFrame(ToWire(reply)));
  return true;
}

void limit_service::Tick(const std::map<instance_name, entry_instance>& entries,
                         time_point now) {
  if (!control_->leads()) {
    if (allocator_.size() > 0) allocator_.Reset();
    return;
  }
  if (now < news_due_) return;
  news_due_ = now + kNewsPeriod;
  limit_reply news;
  news.statements = allocator_.TakeChanges(now);
  if (news.statements.empty()) return;
  LogDecision("limits_announced", {{"searchers", news.statements.size()},
                                   {"entry_instances", entries.size()}});
  for (const auto& [name, entry] : entries) {
    transport_->Send(name, MakeFrame(ToWire(news)));
  }
}

void limit_service::OnEntryConnected(const instance_name& entry,
                                     time_point now) {
  if (!control_->leads()) return;
  limit_reply news;
  news.statements = allocator_.Limits(now);
  if (news.statements.empty()) return;
  transport_->Send(entry, MakeFrame(ToWire(news)));
}

}  // namespace bilberrycourse
