#include "bilberrycourse/route_config.h"

#include <set>
#include <utility>

namespace bilberrycourse {
namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + prefix.size() + 1);
  key.append(host).append(" ").append(prefix);
  return key;
}

std::string CheckBackends(const route_config& config, const route& candidate) {
  std::uint64_t weight = 0;
  for (const route_backend& backend : candidate.backends) {
    weight += backend.weight;
    if (!config.services.contains(backend.service)) {
      return "names the unknown service " + backend.service;
    }
  }
  if (!candidate.backends.empty() && weight == 0) {
    return "has weights that add up to 0";
  }
  return {};
}

std::string CheckShards(const route_config& config, const route& candidate) {
  std::set<std::string_view> seen;
  for (const std::string& shard : candidate.shards) {
    if (!config.services.contains(shard)) {
      return "names the unknown service " + shard;
    }
    if (!seen.insert(shard).second)
      return "names the shard " + shard + " twice";
  }
  if (!candidate.shards.empty() && !candidate.idempotent) {
    return "searches shards, but is not idempotent";
  }
  return {};
}

// Returns the first problem of a route, or an empty string.
std::string CheckRoute(const route_config& config, const route& candidate) {
  if (candidate.path_prefix.empty() || candidate.path_prefix.front() != '/' ||
      candidate.path_prefix.back() != '/') {
    return "has a prefix that does not begin and end with a slash";
  }
  if (candidate.timeout <= duration{0}) return "has a timeout of 0";
  if (candidate.max_attempts == 0) return "allows no attempt";
  if (candidate.backends.empty() == candidate.shards.empty()) {
    return "must have either backends or shards";
  }
  std::string problem = CheckBackends(config, candidate);
  if (problem.empty()) problem = CheckShards(config, candidate);
  return problem;
}

}  // namespace

result_code CheckRouteConfig(const route_config& config, std::string* problem) {
  std::set<std::string> keys;
  for (const route& entry : config.routes) {
    std::string wrong = CheckRoute(config, entry);
    if (wrong.empty() &&
        !keys.insert(RouteKey(entry.host, entry.path_prefix)).second) {
      wrong = "has the host and prefix of another route";
    }
    if (wrong.empty()) continue;
    *problem = "route " + entry.name + " " + wrong;
    return result_code::kInvalidDocument;
  }
  return CheckAccounts(config.accounts, problem);
}

route_table::route_table(std::shared_ptr<const route_config> config,
                         std::uint64_t key_seed)
    : config_(std::move(config)), accounts_(config_->accounts, key_seed) {
  for (const route& entry : config_->routes) {
    routes_.emplace(RouteKey(entry.host, entry.path_prefix), &entry);
  }
}

const route* route_table::Match(std::string_view host,
                                std::string_view path) const {
  std::string key = RouteKey(host, path);
  while (key.size() > host.size() + 1) {
    if (key.back() == '/') {
      const auto found = routes_.find(key);
      if (found != routes_.end()) return found->second;
    }
    key.pop_back();
  }
  return nullptr;
}

}  // namespace bilberrycourse
