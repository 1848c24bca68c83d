#ifndef BILBERRYCOURSE_ADMISSION_CLIENT_H_
#define BILBERRYCOURSE_ADMISSION_CLIENT_H_

// The origin's side of admission: sends requests to the admission instance of a
// scope. While that instance does not respond, admits queries locally, up to an
// equal share of the last known limit.
//
//   admission_client client(admission_client_options{});
//   client.SetOriginCount(8);                  // live entry instances
//   client.SetFloor("catalogue", 4);
//   std::vector<admission_client_effect> out;
//   client.Request(request, now, &out);        // on request_admission
//   client.OnDecision(decision, now, &out);    // on each admission_decision
//   client.Release(release, now, &out);        // on release_admission
//   client.Tick(now, &out);                    // at least at next_due()
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
  // Time without a response of the admission instance after which a request is
  // decided locally.
  duration response_timeout = std::chrono::milliseconds(10);
  // One request per interval is sent to an unresponsive admission instance as a
  // probe; the others are decided locally.
  duration probe_interval = std::chrono::milliseconds(500);
  admission_controller_options fallback;
};

// Effect: send to the admission instance of message.scope.
struct send_admission_request {
  admission_request message;
};
struct send_admission_release {
  admission_release message;
};
// Effect: pass to query_coordinator::OnAdmission.
struct admission_result {
  query_id query{};
  bool granted = false;
  result_code code = result_code::kOk;
  duration retry_after{0};
};
// Effect, for the log: the admission instance of a scope stopped or resumed
// responding.
struct admission_mode_changed {
  std::string scope;
  bool responsive = true;
  // Number of queries that this origin may admit locally.
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

  // Sets the number of live entry instances, this one included, among which the
  // limit is divided.
  void SetOriginCount(std::uint32_t count, time_point now, effects* out);
  // Sets the limit that is assumed until the admission instance has sent one.
  void SetFloor(const std::string& scope, std::uint32_t floor);

  void Request(const admission_request& request, time_point now, effects* out);
  void Release(const admission_release& release, time_point now, effects* out);
  void OnDecision(const admission_decision& decision, time_point now,
                  effects* out);
  // Called when the scope has a new admission instance or a new link to it.
  void OnInstanceChanged(const std::string& scope, time_point now,
                         effects* out);
  // Called when the link broke: waiting requests are decided locally at once.
  void OnInstanceLost(const std::string& scope, time_point now, effects* out);
  void Tick(time_point now, effects* out);
  std::optional<time_point> next_due() const;

  bool responsive(const std::string& scope) const;
  std::uint32_t share(const std::string& scope) const;

 private:
  struct scope_entry;
  struct pending_request;

  scope_entry& FindOrCreateScope(const std::string& name);
  void SendRequest(pending_request* entry, time_point now, effects* out);
  // Passes a request to the fallback controller.
  void DecideLocally(pending_request* entry, time_point now, effects* out);
  // Counts a granted query in the fallback controller, so that the local share
  // is accurate as soon as the admission instance stops responding.
  void CountInFallback(pending_request* entry, time_point now);
  // Reports a running query that the admission instance does not know.
  void ReportRunning(pending_request* entry, effects* out);
  void MarkUnresponsive(scope_entry* scope, time_point now, effects* out);
  void MarkResponsive(scope_entry* scope, effects* out);
  void Refuse(pending_request* entry, result_code code, duration retry_after,
              effects* out);
  void Erase(pending_request* entry);
  void StartTimer(pending_request* entry, time_point due);
  void StopTimer(pending_request* entry);
  void UpdateFallbackLimit(const scope_entry& scope, time_point now,
                           effects* out);
  // Converts decisions of the fallback controller into results.
  void ForwardDecisions(const admission_controller::effects& replies,
                        effects* out);
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
