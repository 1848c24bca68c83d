#ifndef APP_EDGE_PROTOCOL_H_
#define APP_EDGE_PROTOCOL_H_

// What a deployment calls things: headers, paths and documents of callers,
// searchers and operators. An implementation translates and decides nothing.
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
  // Milliseconds that the sender waits.
  std::string deadline;
  // Id of the searcher that must run the request.
  std::string expected_searcher;
  // Set by a searcher that did not run the request.
  std::string not_executed;
  // A searcher's signature of its answer.
  std::string stamp;
  // Signatures of the shards in a merged answer, and how many are missing.
  std::string shard_stamps;
  std::string missing_shards;
  // How long, in seconds, the other side keeps an idle connection.
  std::string keep_alive = "Keep-Alive";
};

// An operator's new configuration, as sent.
struct put_routes_call {
  std::string document;
};
struct get_routes_call {};
// A searcher's report, and how to acknowledge it.
struct searcher_call {
  searcher_report report;
};
// A call that makes no sense; `problem` says why.
struct invalid_call {
  result_code code = result_code::kMalformedRequest;
  std::string problem;
};

using registry_call =
    std::variant<put_routes_call, get_routes_call, searcher_call, invalid_call>;

class edge_protocol {
 public:
  virtual ~edge_protocol() = default;
  virtual const edge_headers& headers() const = 0;
  // True if the balancer asks whether the instance is ready.
  virtual bool IsReadinessCheck(const http_request& request) const = 0;
  // Reads a call of an operator or a searcher.
  virtual registry_call ReadCall(const http_request& request) const = 0;
  // Reads a configuration; nullopt with the problem if it can't be read in
  // full. The result has not passed CheckRouteConfig().
  virtual std::optional<route_config> ReadRoutes(
      const std::string& document, std::string* problem) const = 0;
};

}  // namespace bilberrycourse

#endif  // APP_EDGE_PROTOCOL_H_
