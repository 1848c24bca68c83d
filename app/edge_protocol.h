#ifndef APP_EDGE_PROTOCOL_H_
#define APP_EDGE_PROTOCOL_H_

// The external protocol of a deployment: names of headers and paths, and
// formats of documents, for callers, searchers and operators. An implementation
// only translates and makes no decisions.
//
//   const edge_headers& names = protocol.headers();
//   registry_call call = protocol.ReadCall(request);
//   auto config = protocol.ReadRoutes(document, &problem);

#include <optional>
#include <string>
#include <variant>

#include "app/http_server.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/searcher_directory.h"

namespace bilberrycourse {

struct edge_headers {
  std::string request_id;
  // Time that the sender waits for the response, in milliseconds.
  std::string deadline;
  // Id of the searcher that must run the request.
  std::string expected_searcher;
  // Present in the reply of a searcher that did not run the request.
  std::string not_executed;
  // Requests per second that a searcher in need accepts from all entry
  // instances together; absent otherwise.
  std::string request_limit;
  // 1 in the replies of a searcher that is about to stop.
  std::string leaving;
  // A searcher's signature of its reply.
  std::string stamp;
  // In a merged response: the signatures of the shards, and the number of
  // missing shards.
  std::string shard_stamps;
  std::string missing_shards;
  // Name of the client account that sends a request, for the searcher.
  std::string account;
  std::string authorization = "Authorization";
  // Time that the peer keeps an idle connection open, in seconds.
  std::string keep_alive = "Keep-Alive";
};

// An operator's new configuration, as received.
struct put_routes_call {
  std::string document;
};
struct get_routes_call {};
// A searcher's report of its state.
struct searcher_call {
  searcher_report report;
};
// An operator's order to evacuate an availability zone or to end that.
struct evacuation_call {
  availability_zone zone;
  bool evacuated = false;
};
// A call that can't be parsed or is invalid; `problem` says why.
struct invalid_call {
  result_code code = result_code::kMalformedRequest;
  std::string problem;
};

using registry_call =
    std::variant<put_routes_call, get_routes_call, searcher_call,
                 evacuation_call, invalid_call>;

class edge_protocol {
 public:
  virtual ~edge_protocol() = default;
  virtual const edge_headers& headers() const = 0;
  // Returns true for the load balancer's readiness check.
  virtual bool IsReadinessCheck(const http_request& request) const = 0;
  // Parses a call of an operator or a searcher.
  virtual registry_call ReadCall(const http_request& request) const = 0;
  // Parses a configuration. Returns nullopt and sets `problem` if any part of
  // it can't be parsed. Does not call CheckRouteConfig() on the result.
  virtual std::optional<route_config> ReadRoutes(
      const std::string& document, std::string* problem) const = 0;
};

}  // namespace bilberrycourse

#endif  // APP_EDGE_PROTOCOL_H_
