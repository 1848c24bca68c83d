#ifndef APP_OPERATOR_API_H_
#define APP_OPERATOR_API_H_

// The HTTP interface of operators: configuration, exceptions, members, status
// and the list of recorded requests. Reading needs no credentials; writing
// needs the operator token. docs/api.md describes every field.
//
//   operator_api api(settings, &transport, &cluster, &control, local, queries);
//   if (!api.Handle(request, respond)) RespondNotFound();

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "app/cluster_service.h"
#include "app/control_client.h"
#include "app/control_service.h"
#include "app/http_server.h"
#include "app/peer_transport.h"
#include "app/query_service.h"
#include "app/settings.h"

namespace bilberrycourse {

class operator_api {
 public:
  operator_api(const settings& config, peer_transport* transport,
               cluster_service* cluster, control_client* control,
               control_service* local, query_service* queries);

  // Returns false, without using the responder, if no path matches.
  bool Handle(const http_request& request, http_responder respond);
  // Called with the reply of a peer to an in_force read, which GET /status
  // sends.
  void OnInForceReply(const instance_name& peer,
                      const wire::read_result& result);
  void Tick(time_point now);

 private:
  using handler = void (operator_api::*)(const http_request&, http_responder);
  struct route {
    std::string_view method;
    std::string_view path;
    // True if `path` is a prefix that the name of an object follows.
    bool prefix;
    bool needs_token;
    handler handle;
  };
  // A GET /status that waits for the replies of the other entry instances.
  struct status_request {
    time_point due{};
    std::map<instance_name, std::uint64_t> in_force;
    // Number of instances that report, including this one.
    std::size_t expected = 0;
    http_responder respond;
  };
  static const route kRoutes[];

  bool Authorized(const http_request& request) const;
  void GetConfig(const http_request& request, http_responder respond);
  void PostConfig(const http_request& request, http_responder respond);
  void GetHistory(const http_request& request, http_responder respond);
  void GetExceptions(const http_request& request, http_responder respond);
  void PostException(const http_request& request, http_responder respond);
  void DeleteException(const http_request& request, http_responder respond);
  void GetMembers(const http_request& request, http_responder respond);
  void GetStatus(const http_request& request, http_responder respond);
  void GetRequests(const http_request& request, http_responder respond);
  void ProposeChange(const control_command& command, http_responder respond);
  void ReadView(const std::string& view, const std::string& argument,
                http_responder respond);
  void AnswerStatus(const status_request& status);

  const settings& config_;
  peer_transport* transport_;
  cluster_service* cluster_;
  control_client* control_;
  control_service* local_;
  query_service* queries_;
  std::uint64_t next_status_request_id_ = 1;
  std::map<std::uint64_t, status_request> status_requests_;
};

}  // namespace bilberrycourse

#endif  // APP_OPERATOR_API_H_
