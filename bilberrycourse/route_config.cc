#include "bilberrycourse/route_config.h"

#include <set>
#include <utility>

namespace bilberrycourse {
namespace {

std::string PlaceOf(std::string_view host, std::string_view prefix) {
  std::string place;
  place.reserve(host.size() + prefix.size() + 1);
  place.append(host).append(" ").append(prefix);
  return place;
}

std::string CheckBackends(const route_config& config, const route& checked) {
  std::uint64_t weight = 0;
  for (const route_backend& backend : checked.backends) {
    weight += backend.weight;
    if (!config.services.contains(backend.service)) {
      return "names the unknown service " + backend.service;
    }
  }
  if (!checked.backends.empty() && weight == 0) {
    return "has weights that add up to 0";
  }
  return {};
}

std::string CheckShards(const route_config& config, const route& checked) {
  std::set<std::string_view> seen;
  for (const std::string& shard : checked.shards) {
    if (!config.services.contains(shard)) {
      return "names the unknown service " + shard;
    }
    if (!seen.insert(shard).second)
      return "names the shard " + shard + " twice";
  }
  if (!checked.shards.empty() && !checked.idempotent) {
    return "searches shards, but is not idempotent";
  }
  return {};
}

// Returns what is wrong with one route, empty if nothing is.
std::string CheckRoute(const route_config& config, const route& checked) {
  if (checked.path_prefix.empty() || checked.path_prefix.front() != '/' ||
      checked.path_prefix.back() != '/') {
    return "has a prefix that does not begin and end with a slash";
  }
  if (checked.timeout <= duration{0}) return "has a timeout of 0";
  if (checked.max_attempts == 0) return "allows no attempt";
  if (checked.backends.empty() == checked.shards.empty()) {
    return "must have either backends or shards";
  }
  std::string problem = CheckBackends(config, checked);
  if (problem.empty()) problem = CheckShards(config, checked);
  return problem;
}

}  // namespace

result_code CheckRouteConfig(const route_config& config, std::string* problem) {
  std::set<std::string> places;
  for (const route& each : config.routes) {
    std::string wrong = CheckRoute(config, each);
    if (wrong.empty() &&
        !places.insert(PlaceOf(each.host, each.path_prefix)).second) {
      wrong = "has the host and prefix of another route";
    }
    if (wrong.empty()) continue;
    *problem = "route " + each.name + " " + wrong;
    return result_code::kInvalidDocument;
  }
  return result_code::kOk;
}

route_table::route_table(std::shared_ptr<const route_config> config)
    : config_(std::move(config)) {
  for (const route& each : config_->routes) {
    routes_.emplace(PlaceOf(each.host, each.path_prefix), &each);
  }
}

const route* route_table::Match(std::string_view host,
                                std::string_view path) const {
  std::string place = PlaceOf(host, path);
  while (place.size() > host.size() + 1) {
    if (place.back() == '/') {
      const auto found = routes_.find(place);
      if (found != routes_.end()) return found->second;
    }
    place.pop_back();
  }
  return nullptr;
}

}  // namespace bilberrycourse
