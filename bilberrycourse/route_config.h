#ifndef BILBERRYCOURSE_ROUTE_CONFIG_H_
#define BILBERRYCOURSE_ROUTE_CONFIG_H_

// Configuration of the routed interface: which requests go to which services,
// and how they may be repeated.
//
//   std::string problem;
//   if (CheckRouteConfig(config, &problem) != result_code::kOk)
//   Refuse(problem); route_table table(std::make_shared<const
//   route_config>(config)); const route* match = table.Match("shop.example",
//   "/lots/7");
//
// A configuration is immutable once it is in a table. Requests keep the table
// by which they were matched until they end, so that one request never mixes
// two configurations.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// One part of a weighted split.
struct route_backend {
  std::string service;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // True if one request may run more than once.
  bool idempotent = false;
  // Longest time that a request may be kept waiting.
  duration timeout{0};
  // Time, from the caller's sending on, in which an answer has its full worth.
  duration latency_objective{0};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Searchers to which one request (with `shards`: each shard) may be sent.
  std::uint32_t max_attempts = 1;
  // One service or a weighted split; empty if `shards` is used.
  std::vector<route_backend> backends;
  // Services that are all searched for one request; empty if `backends` is.
  std::vector<std::string> shards;
  // Records in a merged answer.
  std::uint32_t top_records = 0;
  // Least share of the shards in an answer, 0 to 1.
  double min_coverage = 0;
};

struct route_service {
  std::string name;
  std::string health_path;
  // Connections that one searcher accepts from the whole tier.
  std::uint32_t connection_limit = 0;
};

// What callers may send.
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
  request_limits limits;
};

// kOk, or kInvalidDocument with what is wrong: a route without a target or
// with an unknown service, two routes with one host and prefix, weights that
// add up to 0, a timeout of 0, a prefix without its slashes.
result_code CheckRouteConfig(const route_config& config, std::string* problem);

class route_table {
 public:
  // `config` must have passed CheckRouteConfig().
  explicit route_table(std::shared_ptr<const route_config> config);

  // The route of this host whose prefix is the longest that begins `path`
  // (without query string), or nullptr. Costs one lookup for each slash.
  const route* Match(std::string_view host, std::string_view path) const;

  const route_config& config() const { return *config_; }

 private:
  std::shared_ptr<const route_config> config_;
  // Host and prefix, joined by a space, which neither contains.
  std::unordered_map<std::string, const route*> routes_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ROUTE_CONFIG_H_
