#ifndef APP_CALLER_API_H_
#define APP_CALLER_API_H_

// `POST /query`: validates the request of a caller, applies the configuration
// in force, runs the query and writes the answer. docs/api.md describes every
// field.
//
//   caller_api api(&control, &queries, &ledger);
//   api.Query(std::move(request), std::move(respond));

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "app/control_client.h"
#include "app/http_server.h"
#include "app/query_service.h"
#include "app/request_ledger.h"

namespace bilberrycourse {

class caller_api {
 public:
  caller_api(control_client* control, query_service* queries,
             request_ledger* ledger);

  void Query(http_request request, http_responder respond);
  // Refuses further requests as `not_run`. Running requests are completed.
  void Drain() { draining_ = true; }
  bool draining() const { return draining_; }
  // Answers the requests that still run, with an unknown outcome. Called
  // shortly before the process ends.
  void AnswerUnfinished(time_point now);
  // Number of requests that are waiting for the ledger or for their shards.
  std::size_t in_flight() const { return active_.size(); }

 private:
  // A validated request body.
  struct parsed_query {
    caller_query query;
    std::string request_id;
    std::string key;
    bool keep = false;
    wall_time_ms issued_at_ms = 0;
    std::uint32_t deadline_ms = 0;
    // True if the request is recorded in the ledger.
    bool recorded = false;
  };
  // A request that has not been answered.
  struct active_request;

  std::optional<parsed_query> Parse(const http_request& request, time_point now,
                                    result_code* code,
                                    std::string* detail) const;
  void ApplyPolicy(parsed_query* parsed, time_point now) const;
  void BeginRecorded(const std::shared_ptr<active_request>& active);
  void Run(const std::shared_ptr<active_request>& active);
  void OnAnswer(const std::shared_ptr<active_request>& active,
                const query_answer& result);
  void Respond(const std::shared_ptr<active_request>& active,
               http_response response);

  control_client* control_;
  query_service* queries_;
  request_ledger* ledger_;
  bool draining_ = false;
  std::set<std::shared_ptr<active_request>> active_;
};

}  // namespace bilberrycourse

#endif  // APP_CALLER_API_H_
