#include "app/quota_service.h"

#include "app/frames.h"
#include "app/json_log.h"
#include "app/quota_frames.h"

namespace bilberrycourse {

quota_reply quota_service::Handle(const quota_request& request,
                                  time_point now) {
  Tick(now);
  if (leading_) return allocator_.Handle(request, now);
  quota_reply refused;
  refused.id = request.id;
  return refused;
}

bool quota_service::OnPeerFrame(const instance_name& peer,
                                const wire::peer_frame& frame, time_point now) {
  const auto* request = frame.payload_as_quota_request();
  if (request == nullptr) return false;
  transport_->Send(peer, MakeFrame(ToWire(Handle(FromWire(*request), now))));
  return true;
}

void quota_service::Tick(time_point now) {
  const bool leads = control_->leads();
  if (leads == leading_) return;
  leading_ = leads;
  LogEvent(log_level::kInfo,
           leads ? "quota_allocator_started" : "quota_allocator_stopped",
           {{"accounts", allocator_.size()}});
  allocator_.Start(now);
}

void quota_service::UpdateMetrics(metrics* counters) const {
  const quota_allocator_counters& values = allocator_.counters();
  const struct {
    const char* name;
    const char* help;
    std::uint64_t value;
  } gauges[] = {
      {"bilberrycourse_quota_accounts",
       "Accounts with a token bucket on this leader.", allocator_.size()},
      {"bilberrycourse_quota_allocator_wanted",
       "Permits that entry instances wanted of this leader.", values.wanted},
      {"bilberrycourse_quota_allocator_granted",
       "Permits granted by this leader.", values.granted},
      {"bilberrycourse_quota_allocator_spares",
       "Permits granted for later requests.", values.spares},
      {"bilberrycourse_quota_allocator_returned",
       "Unused permits that came back.", values.returned},
      {"bilberrycourse_quota_allocator_credited",
       "Tokens credited for unused permits.", values.credited},
  };
  for (const auto& gauge : gauges) {
    counters->SetGauge(gauge.name, gauge.help,
                       static_cast<double>(gauge.value));
  }
}

}  // namespace bilberrycourse
