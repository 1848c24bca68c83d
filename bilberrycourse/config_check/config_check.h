#ifndef BILBERRYCOURSE_CONFIG_CHECK_CONFIG_CHECK_H_
#define BILBERRYCOURSE_CONFIG_CHECK_CONFIG_CHECK_H_

// Finds what is wrong with a configuration before it is sent to the server:
// everything that the server refuses, and entries that it accepts although they
// can't work as written.
//
//   constexpr server_config_check kChecks[] = {CheckRouteConfig};
//   for (const config_finding& finding : CheckConfig(config, kChecks, {})) {
//     std::cerr << Describe(finding.kind).name << ": " << finding.detail;
//   }
//
// The load it answers is one configuration at a time, of up to some thousand
// routes, services and accounts, on an operator's machine: time and memory grow
// linearly with the number of entries. No text of a finding contains a key.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/route_config.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class finding_severity : std::uint8_t { kWarning, kError };

enum class finding_kind : std::uint8_t {
  // The server refuses the configuration.
  kRefused,
  kShadowedRoute,
  // Entries that the server accepts.
  kZeroWeight,
  kNoKeys,
  kQuotaBelowOneRequest,
  kObjectiveAboveTimeout,
  kCoverageOutOfRange,
  kTooManyAttempts,
  kBurstBelowOne,
};

struct finding_info {
  finding_kind kind;
  std::string_view name;
  finding_severity severity;
};

struct config_finding {
  finding_kind kind = finding_kind::kRefused;
  // What kind of entry, and its name: `route look`.
  std::string subject;
  std::string detail;
};

// A check of the server, such as CheckRouteConfig().
using server_config_check = result_code (*)(const route_config& config,
                                            std::string* problem);

struct config_check_options {
  // Window in which the quota of an account is counted.
  duration quota_window = std::chrono::seconds(5);
};

const finding_info& Describe(finding_kind kind);
std::string_view NameOf(finding_severity severity);

// Returns all findings, errors first. There is an error if and only if one of
// `server_checks` refuses the configuration.
std::vector<config_finding> CheckConfig(
    const route_config& config,
    std::span<const server_config_check> server_checks,
    const config_check_options& options);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONFIG_CHECK_CONFIG_CHECK_H_
