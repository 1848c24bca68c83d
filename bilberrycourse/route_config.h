#ifndef BILBERRYCOURSE_ROUTE_CONFIG_H_
#define BILBERRYCOURSE_ROUTE_CONFIG_H_

// Configuration of the routed interface: maps requests to services, and limits
// their attempts.
//
//   std::string problem;
//   result_code code = CheckRouteConfig(config, &problem);
//   if (code != result_code::kOk) Refuse(problem);
//   route_table table(std::make_shared<const route_config>(config));
//   const route* match = table.Match("shop.example", "/lots/7");
//
// A configuration is immutable once it is in a table. Each request keeps the
// table that selected its route until it ends, so that it never mixes two
// configurations.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/accounts/account_index.h"
#include "bilberrycourse/accounts/client_account.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// One service of a weighted split.
struct route_backend {
  std::string service;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // True if a request may run more than once.
  bool idempotent = false;
  // Longest time until a request is answered.
  duration timeout{0};
  // Time since the caller sent the request within which an answer has its full
  // value.
  duration latency_objective{0};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of searchers to which a request (with `shards`: each of its
  // shards) may be sent.
  std::uint32_t max_attempts = 1;
  // One service or a weighted split; empty if `shards` is used.
  std::vector<route_backend> backends;
  // Services that are all searched for one request; empty if `backends` is
  // used.
  std::vector<std::string> shards;
  // Maximum number of records in a merged answer.
  std::uint32_t top_records = 0;
  // Minimum share of the shards in an answer, 0 to 1.
  double min_coverage = 0;
  // True if callers need no key of a client account.
  bool is_public = false;
};

struct route_service {
  std::string name;
  std::string health_path;
  // Connections that one searcher accepts from the whole tier.
  std::uint32_t connection_limit = 0;
};

// Limits for the requests of callers.
struct request_limits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 262144;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

struct route_config {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, route_service, std::less<>> services;
  // If empty, callers need no key.
  std::vector<client_account> accounts;
  request_limits limits;
};

// Returns kOk, or kInvalidDocument with a description in `problem`. Checks for
// a route without a target or with an unknown service, two routes with the same
// host and prefix, weights that add up to 0, a timeout of 0, a prefix without
// leading or trailing slash, no attempts, shards of a route that is not
// idempotent, and what CheckAccounts() refuses.
result_code CheckRouteConfig(const route_config& config, std::string* problem);

class route_table {
 public:
  // `config` must have passed CheckRouteConfig(). `key_seed` is a number that
  // callers do not know; see account_index.
  explicit route_table(std::shared_ptr<const route_config> config,
                       std::uint64_t key_seed = 0);

  // Returns the route of this host with the longest prefix of `path` (which has
  // no query string), or nullptr. Costs one lookup for each slash.
  const route* Match(std::string_view host, std::string_view path) const;

  const route_config& config() const { return *config_; }
  const account_index& accounts() const { return accounts_; }

 private:
  std::shared_ptr<const route_config> config_;
  // Routes by host and prefix, joined by a space, which neither contains.
  std::unordered_map<std::string, const route*> routes_;
  account_index accounts_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_CONFIG_H_
