#ifndef BILBERRYCOURSE_ADMISSION_CLIENT_H_
#define BILBERRYCOURSE_ADMISSION_CLIENT_H_

// The origin's side of admission: asks the admission instance of a scope, and
// admits by an equal share of the last known limit while it does not respond.
//
//   admission_client client(admission_client_options{});
//   client.SetOriginCount(8);                  // live entry instances
//   client.SetFloor("catalogue", 4);
//   std::vector<admission_client_effect> out;
//   client.Request(request, now, &out);        // from request_admission
//   client.OnDecision(decision, now, &out);    // frame of the admission
//   instance client.Release(release, now, &out);        // from
//   release_admission client.Tick(now, &out);                    // at least at
//   next_due()
//
// For each Request exactly one admission_result follows unless the query is
// released first. The daemon knows which instance serves a scope and calls
// OnInstanceChanged when that changes; running queries are then reported to
// the new instance.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bilberrycourse/admission_controller.h"
#include "bilberrycourse/admission_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct admission_client_options {
  // Silence of the admission instance after which a request is decided here.
  duration silence = std::chrono::milliseconds(10);
  // How long an unresponsive admission instance is not asked again. One
  // request per interval then probes it.
  duration unresponsive_memory = std::chrono::milliseconds(500);
  admission_controller_options fallback;
};

// Send to the admission instance of message.scope.
struct send_admission_request {
  admission_request message;
};
struct send_admission_release {
  admission_release message;
};
// Pass to query_coordinator::OnAdmission.
struct admission_result {
  query_id query{};
  bool granted = false;
  result_code code = result_code::kOk;
  duration retry_after{0};
};
// For the log: the admission instance of a scope stopped or resumed responding.
struct admission_mode_changed {
  std::string scope;
  bool responsive = true;
  // Queries that this origin may run by itself.
  std::uint32_t share = 0;
};

using admission_client_effect =
    std::variant<send_admission_request, send_admission_release,
                 admission_result, admission_mode_changed>;

class admission_client {
 public:
  using effects = std::vector<admission_client_effect>;

  explicit admission_client(admission_client_options options = {});
  admission_client(const admission_client&) = delete;
  admission_client& operator=(const admission_client&) = delete;
  ~admission_client();

  // Live entry instances, this one included, for the equal share.
  void SetOriginCount(std::uint32_t count, time_point now, effects* out);
  // The limit that is assumed until the admission instance has stated one.
  void SetFloor(const std::string& scope, std::uint32_t floor);

  void Request(const admission_request& request, time_point now, effects* out);
  void Release(const admission_release& release, time_point now, effects* out);
  void OnDecision(const admission_decision& decision, time_point now,
                  effects* out);
  // The scope has another admission instance now, or the link to it is new.
  void OnInstanceChanged(const std::string& scope, time_point now,
                         effects* out);
  // The link broke: what waits is decided here at once.
  void OnInstanceLost(const std::string& scope, time_point now, effects* out);
  void Tick(time_point now, effects* out);
  std::optional<time_point> next_due() const;

  bool responsive(const std::string& scope) const;
  std::uint32_t share(const std::string& scope) const;

 private:
  struct scope_entry;
  struct pending;

  scope_entry& Scope(const std::string& name);
  void Ask(pending* entry, time_point now, effects* out);
  // Passes a request to the fallback.
  void DecideHere(pending* entry, time_point now, effects* out);
  // Counts a query that the admission instance granted in the fallback, so
  // that the equal share is known at once when the instance falls silent.
  void CountAsRunning(pending* entry, time_point now);
  // Tells the admission instance of a query that it does not know of.
  void ReportRunning(pending* entry, effects* out);
  void MarkUnresponsive(scope_entry* scope, time_point now, effects* out);
  void MarkResponsive(scope_entry* scope, effects* out);
  void Refuse(pending* entry, result_code code, duration retry_after,
              effects* out);
  void Erase(pending* entry);
  void StartTimer(pending* entry, time_point due);
  void StopTimer(pending* entry);
  void SetFallbackLimit(const scope_entry& scope, time_point now, effects* out);
  // Turns decisions of the fallback into results.
  void Forward(const admission_controller::effects& replies, effects* out);
  std::uint32_t ShareOf(const scope_entry& scope) const;

  admission_client_options options_;
  std::uint32_t origin_count_ = 1;
  admission_controller fallback_;
  std::map<std::string, std::unique_ptr<scope_entry>> scopes_;
  struct tables;
  std::unique_ptr<tables> tables_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ADMISSION_CLIENT_H_
