#include "bilberrycourse/config_check/config_check.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "bilberrycourse/config_check/config_text.h"

namespace bilberrycourse {
namespace {

constexpr finding_info kFindings[] = {
    {finding_kind::kRefused, "refused", finding_severity::kError},
    {finding_kind::kShadowedRoute, "shadowed_route", finding_severity::kError},
    {finding_kind::kZeroWeight, "zero_weight", finding_severity::kWarning},
    {finding_kind::kNoKeys, "no_keys", finding_severity::kWarning},
    {finding_kind::kQuotaBelowOneRequest, "quota_below_one_request",
     finding_severity::kWarning},
    {finding_kind::kObjectiveAboveTimeout, "objective_above_timeout",
     finding_severity::kWarning},
    {finding_kind::kCoverageOutOfRange, "coverage_out_of_range",
     finding_severity::kWarning},
    {finding_kind::kTooManyAttempts, "too_many_attempts",
     finding_severity::kWarning},
    {finding_kind::kBurstBelowOne, "burst_below_one",
     finding_severity::kWarning},
};

// More attempts than this for one request would multiply the load of a service
// in trouble.
constexpr std::uint32_t kMaxSensibleAttempts = 16;

class checker {
 public:
  checker(const route_config& config,
          std::span<const server_config_check> server_checks,
          const config_check_options& options)
      : config_(config), server_checks_(server_checks), options_(options) {}

  std::vector<config_finding> Run() {
    FindRefusedParts();
    FindShadowedRoutes();
    FindRefusedWhole();
    for (const route& entry : config_.routes) CheckRoute(entry);
    for (const client_account& entry : config_.accounts) CheckAccount(entry);
    std::ranges::stable_sort(findings_, std::ranges::greater{},
                             [](const config_finding& finding) {
                               return Describe(finding.kind).severity;
                             });
    return std::move(findings_);
  }

 private:
  void Add(finding_kind kind, std::string subject, std::string detail) {
    findings_.push_back({kind, std::move(subject), std::move(detail)});
  }

  // Returns false if the server refuses `config`.
  bool Accepted(const route_config& config, const std::string& subject) {
    bool accepted = true;
    for (const server_config_check check : server_checks_) {
      std::string problem;
      if (check(config, &problem) == result_code::kOk) continue;
      accepted = false;
      Add(finding_kind::kRefused, subject, std::move(problem));
    }
    return accepted;
  }

  // The checks of the server end at the first problem. Each route and the
  // accounts are therefore checked alone as well.
  void FindRefusedParts() {
    route_config part;
    part.version = config_.version;
    part.services = config_.services;
    part.limits = config_.limits;
    for (const route& entry : config_.routes) {
      part.routes = {entry};
      Accepted(part, "route " + entry.name);
    }
    if (config_.accounts.empty()) return;
    part.routes.clear();
    part.accounts = config_.accounts;
    Accepted(part, "accounts");
  }

  void FindShadowedRoutes() {
    std::map<std::pair<std::string_view, std::string_view>, const route*> first;
    for (const route& entry : config_.routes) {
      const auto [found, added] =
          first.try_emplace({entry.host, entry.path_prefix}, &entry);
      if (added) continue;
      Add(finding_kind::kShadowedRoute, "route " + entry.name,
          "never matches: route " + found->second->name +
              " has the same host and prefix");
    }
  }

  // Finds what only the configuration as a whole violates.
  void FindRefusedWhole() {
    if (findings_.empty()) Accepted(config_, "configuration");
  }

  void CheckRoute(const route& entry) {
    const std::string subject = "route " + entry.name;
    if (entry.latency_objective > entry.timeout) {
      Add(finding_kind::kObjectiveAboveTimeout, subject,
          "has an objective of " + TextOf(entry.latency_objective) +
              ", above its timeout of " + TextOf(entry.timeout));
    }
    if (!(entry.min_coverage >= 0 && entry.min_coverage <= 1)) {
      Add(finding_kind::kCoverageOutOfRange, subject,
          "has a minimum coverage of " + TextOf(entry.min_coverage) +
              ", which is not between 0 and 1");
    }
    if (entry.max_attempts > kMaxSensibleAttempts) {
      Add(finding_kind::kTooManyAttempts, subject,
          "allows " + std::to_string(entry.max_attempts) +
              " attempts, more than " + std::to_string(kMaxSensibleAttempts));
    }
    for (const route_backend& backend : entry.backends) {
      if (backend.weight > 0) continue;
      Add(finding_kind::kZeroWeight, subject,
          "never uses service " + backend.service + ", which has weight 0");
    }
  }

  void CheckAccount(const client_account& entry) {
    const std::string subject = "account " + entry.name;
    if (entry.keys.empty()) {
      Add(finding_kind::kNoKeys, subject,
          "has no key, so that none can use it");
    }
    if (!entry.limited()) return;
    const double seconds =
        std::chrono::duration<double>(options_.quota_window).count();
    if (entry.requests_per_second * seconds + entry.burst < 1) {
      Add(finding_kind::kQuotaBelowOneRequest, subject,
          "may send less than one request in " + TextOf(options_.quota_window));
    }
    if (entry.burst < 1) {
      Add(finding_kind::kBurstBelowOne, subject,
          "has a rate, but a burst of " + TextOf(entry.burst) +
              ", below one request");
    }
  }

  const route_config& config_;
  std::span<const server_config_check> server_checks_;
  config_check_options options_;
  std::vector<config_finding> findings_;
};

}  // namespace

const finding_info& Describe(finding_kind kind) {
  return *std::ranges::find(kFindings, kind, &finding_info::kind);
}

std::string_view NameOf(finding_severity severity) {
  return severity == finding_severity::kError ? "error" : "warning";
}

std::vector<config_finding> CheckConfig(
    const route_config& config,
    std::span<const server_config_check> server_checks,
    const config_check_options& options) {
  return checker(config, server_checks, options).Run();
}

}  // namespace bilberrycourse
