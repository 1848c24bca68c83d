#include "app/quota_frames.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "app/frames.h"

namespace bilberrycourse {
namespace {

// Longest time that a message can carry.
constexpr std::uint64_t kMaxMicros = 24ULL * 3600 * 1'000'000;

duration FromMicros(std::uint64_t micros) {
  return duration(static_cast<duration::rep>(std::min(micros, kMaxMicros)));
}

std::uint64_t ToMicros(duration value) {
  return static_cast<std::uint64_t>(std::max<duration::rep>(value.count(), 0));
}

bool ValidLimit(double limit) { return std::isfinite(limit) && limit >= 0; }

}  // namespace

wire::quota_requestT ToWire(const quota_request& request) {
  wire::quota_requestT out;
  out.id = request.id;
  for (const quota_want& want : request.wants) {
    auto out_want = std::make_unique<wire::quota_wantT>();
    out_want->account = want.account;
    out_want->per_second = want.requests_per_second;
    out_want->burst = want.burst;
    out_want->config_version = want.config_version;
    out_want->wanted = want.wanted;
    out_want->returned = want.returned;
    out.wants.push_back(std::move(out_want));
  }
  return out;
}

quota_request FromWire(const wire::quota_request& request) {
  quota_request out;
  out.id = request.id();
  if (request.wants() == nullptr) return out;
  for (const wire::quota_want* want : *request.wants()) {
    if (want->account() == nullptr || !ValidLimit(want->per_second()) ||
        !ValidLimit(want->burst())) {
      continue;
    }
    out.wants.push_back({want->account()->str(), want->per_second(),
                         want->burst(), want->config_version(), want->wanted(),
                         want->returned()});
  }
  return out;
}

wire::quota_replyT ToWire(const quota_reply& reply) {
  wire::quota_replyT out;
  out.id = reply.id;
  out.allocated = reply.allocated;
  for (const quota_grant& grant : reply.grants) {
    auto out_grant = std::make_unique<wire::quota_grantT>();
    out_grant->account = grant.account;
    out_grant->granted = grant.granted;
    out_grant->lifetime_us = ToMicros(grant.lifetime);
    out_grant->retry_in_us = ToMicros(grant.retry_in);
    out_grant->window_granted = grant.window_granted;
    out.grants.push_back(std::move(out_grant));
  }
  return out;
}

quota_reply FromWire(const wire::quota_reply& reply) {
  quota_reply out;
  out.id = reply.id();
  out.allocated = reply.allocated();
  if (reply.grants() == nullptr) return out;
  for (const wire::quota_grant* grant : *reply.grants()) {
    if (grant->account() == nullptr) continue;
    out.grants.push_back({grant->account()->str(), grant->granted(),
                          FromMicros(grant->lifetime_us()),
                          FromMicros(grant->retry_in_us()),
                          grant->window_granted()});
  }
  return out;
}

}  // namespace bilberrycourse
