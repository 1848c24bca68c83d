#ifndef BILBERRYCOURSE_CONFIG_DOCUMENT_H_
#define BILBERRYCOURSE_CONFIG_DOCUMENT_H_

// The configuration document that operators edit: the policies of services and
// groups of services, and the published exceptions for callers.
//
//   std::vector<document_error> errors;
//   std::optional<config_document> document = ParseConfig(text, &errors);
//   if (!document) Report(errors);  // every error, each named by its path
//   const service_policy* policy = document->FindPolicy("catalogue");
//   caller_policy overrides = document->CallerPolicyAt("app-17", wall_now);
//
// Example of a document; every member is optional:
//
//   {"defaults": {"default_deadline_ms": 800},
//    "services": {"glaze-01": {}, "orders": {"idempotent": false}},
//    "groups": {"glaze": {"services": ["glaze-01"], "least_coverage": 0.5}},
//    "exceptions": [{"id": "e1", "caller": "app-17", "reason": "audit",
//                    "author": "kim", "caller_weight": 2}]}
//
// A policy starts from the built-in values of service_policy, then takes the
// fields of `defaults`, then those of the service or group itself.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bilberrycourse/service_policy.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// One validation error. `path` is a JSON pointer (RFC 6901).
struct document_error {
  std::string path;
  // States what is wrong and what is allowed.
  std::string message;
  bool operator==(const document_error&) const = default;
};

// Published deviation from equal treatment for one caller.
struct config_exception {
  std::string id;
  caller_name caller;
  std::string reason;
  std::string author;
  // Time from which the exception has no effect. Without a value, it applies
  // until it is removed.
  std::optional<wall_time_ms> expires_ms;
  // Weight of the caller in fair queues; 1 is equal treatment.
  std::optional<double> caller_weight;
  // Replaces default_deadline and max_deadline for the caller.
  std::optional<duration> deadline;
  bool operator==(const config_exception&) const = default;
};

// Settings of one caller at one time: equal treatment, changed by the
// exceptions for the caller that have not expired.
struct caller_policy {
  double caller_weight = 1.0;
  std::optional<duration> deadline;
  // Ids of the exceptions that apply, for the decision log.
  std::vector<std::string> exception_ids;
};

// One path at which two documents differ. The values are JSON texts; an empty
// text means that the path is absent.
struct document_change {
  std::string path;
  std::string before;
  std::string after;
  bool operator==(const document_change&) const = default;
};

struct config_limits {
  std::size_t max_document_bytes = 256 * 1024;
  std::size_t max_services = 2000;
  std::size_t max_groups = 500;
  std::size_t max_exceptions = 500;
  // Maximum number of errors or differences that are reported.
  std::size_t max_reported = 100;
};

class config_document {
 public:
  // Returns the policy of a service or group; nullptr for unknown names.
  const service_policy* FindPolicy(std::string_view target) const;
  // Policy of a service that the document does not name.
  const service_policy& default_policy() const { return default_policy_; }
  // Returns the services that a target fans out to: those of the group, the
  // service itself, or none for unknown names.
  std::vector<std::string> ServicesOf(std::string_view target) const;
  // Returns the settings of the caller at `wall_now`.
  caller_policy CallerPolicyAt(std::string_view caller,
                               wall_time_ms wall_now) const;

  const std::vector<config_exception>& exceptions() const {
    return exceptions_;
  }
  std::vector<std::string> services() const;
  std::vector<std::string> groups() const;

  // Canonical text: members sorted by name, no white space, only the fields
  // that the document contains. Equal documents have equal texts.
  const std::string& text() const { return text_; }

  // Return the text of this document with one exception added or removed. The
  // result must still be validated with ParseConfig().
  std::string TextWithException(const config_exception& added) const;
  std::string TextWithoutException(std::string_view id) const;

 private:
  friend class config_parser;

  struct group {
    std::vector<std::string> services;
    service_policy policy;
  };

  std::map<std::string, service_policy, std::less<>> services_;
  std::map<std::string, group, std::less<>> groups_;
  std::vector<config_exception> exceptions_;
  service_policy default_policy_;
  std::string text_ = "{}";
};

// Parses and validates the whole document. If it is invalid, returns nullopt
// and reports all errors up to limits.max_reported, not only the first.
std::optional<config_document> ParseConfig(std::string_view text,
                                           std::vector<document_error>* errors,
                                           const config_limits& limits = {});

// Parses one exception, which is the body of `POST /exceptions`.
std::optional<config_exception> ParseException(
    std::string_view text, std::vector<document_error>* errors);
std::string ExceptionText(const config_exception& exception);

// Returns the paths at which the texts differ, at most limits.max_reported.
// Exceptions are compared by id, objects by name, other values as a whole.
std::vector<document_change> Difference(std::string_view before,
                                        std::string_view after,
                                        const config_limits& limits = {});

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONFIG_DOCUMENT_H_
