#include "bilberrycourse/config_document.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>
#include <variant>

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxCallerBytes = 256;
constexpr std::size_t kMaxAuthorBytes = 200;
constexpr std::size_t kMaxReasonBytes = 2000;
// With these two limits, every time in microseconds fits into 64 bits.
constexpr double kMaxDeadlineMs = 600000;
constexpr wall_time_ms kMaxWallTimeMs = 4102444800000;  // 2100-01-01

using policy_member =
    std::variant<duration service_policy::*, bool service_policy::*,
                 std::uint32_t service_policy::*, double service_policy::*>;

// One field of a policy: its name in the document, the member that stores it,
// and the allowed range. Times are in milliseconds in the document.
struct policy_field {
  std::string_view name;
  policy_member member;
  double min;
  double max;
};

constexpr std::array<policy_field, 14> kPolicyFields{{
    {"default_deadline_ms", &service_policy::default_deadline, 1,
     kMaxDeadlineMs},
    {"max_deadline_ms", &service_policy::max_deadline, 1, kMaxDeadlineMs},
    {"idempotent", &service_policy::idempotent, 0, 1},
    {"max_attempts", &service_policy::max_attempts, 1, 10},
    {"hedging", &service_policy::hedging, 0, 1},
    {"hedge_quantile", &service_policy::hedge_quantile, 0.5, 0.999},
    {"extra_attempt_budget", &service_policy::extra_attempt_budget, 0, 0.1},
    {"least_coverage", &service_policy::least_coverage, 0, 1},
    {"coverage_first", &service_policy::coverage_first, 0, 1},
    {"straggler_cutoff_ms", &service_policy::straggler_cutoff, 1,
     kMaxDeadlineMs},
    {"max_admission_wait_ms", &service_policy::max_admission_wait, 0, 60000},
    {"admission", &service_policy::admission, 0, 1},
    {"canary", &service_policy::canary, 0, 1},
    {"canary_wait_ms", &service_policy::canary_wait, 0, 60000},
}};

constexpr std::array<std::string_view, 4> kDocumentMembers{
    "defaults", "exceptions", "groups", "services"};
constexpr std::array<std::string_view, 7> kExceptionMembers{
    "author",     "caller", "caller_weight", "deadline_ms",
    "expires_ms", "id",     "reason"};

std::string NumberText(double value) {
  std::array<char, 32> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), end.ptr};
}

// Appends one escaped member name to a JSON pointer (RFC 6901).
std::string ChildPath(const std::string& path, std::string_view name) {
  std::string result = path + "/";
  for (const char c : name) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

std::string_view KindName(const json::value& value) {
  switch (value.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "boolean";
    case json::kind::string:
      return "string";
    case json::kind::array:
      return "array";
    case json::kind::object:
      return "object";
    default:
      return "number";
  }
}

// Whole numbers are written without a fraction, so that 5 and 5.0 have the same
// text.
void AppendCanonical(const json::value& value, std::string* out) {
  if (const auto* object = value.if_object()) {
    std::vector<const json::key_value_pair*> members;
    for (const auto& member : *object) members.push_back(&member);
    std::ranges::sort(members, {}, [](const auto* m) {
      return std::string_view(m->key().data(), m->key().size());
    });
    char separator = '{';
    for (const auto* member : members) {
      *out += std::exchange(separator, ',');
      *out += json::serialize(json::string_view(member->key()));
      *out += ':';
      AppendCanonical(member->value(), out);
    }
    *out += members.empty() ? "{}" : "}";
  } else if (const auto* array = value.if_array()) {
    char separator = '[';
    for (const auto& element : *array) {
      *out += std::exchange(separator, ',');
      AppendCanonical(element, out);
    }
    *out += array->empty() ? "[]" : "]";
  } else if (const auto* number = value.if_double()) {
    constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53
    if (std::abs(*number) <= kMaxExactInteger &&
        std::trunc(*number) == *number) {
      *out += std::to_string(static_cast<std::int64_t>(*number));
    } else {
      *out += NumberText(*number);
    }
  } else {
    *out += json::serialize(value);
  }
}

std::string Canonical(const json::value& value) {
  std::string text;
  AppendCanonical(value, &text);
  return text;
}

// Parses text that was validated before.
json::value ParseValidated(std::string_view text) {
  boost::system::error_code error;
  return json::parse(text, error);
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, [](unsigned char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

bool IsBlank(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

json::object ExceptionObject(const config_exception& exception) {
  json::object object{{"id", exception.id},
                      {"caller", exception.caller},
                      {"reason", exception.reason},
                      {"author", exception.author}};
  if (exception.expires_ms) object["expires_ms"] = *exception.expires_ms;
  if (exception.caller_weight) {
    object["caller_weight"] = *exception.caller_weight;
  }
  if (exception.deadline) {
    object["deadline_ms"] =
        static_cast<double>(exception.deadline->count()) / 1000;
  }
  return object;
}

}  // namespace

// Parses one document. Collects all errors instead of stopping at the first.
class config_parser {
 public:
  config_parser(std::vector<document_error>* errors,
                const config_limits& limits)
      : errors_(errors), limits_(limits) {}

  std::optional<json::value> Parse(std::string_view text) {
    if (text.size() > limits_.max_document_bytes) {
      AddError("", "the document has " + std::to_string(text.size()) +
                       " bytes; allowed: at most " +
                       std::to_string(limits_.max_document_bytes));
      return std::nullopt;
    }
    json::parser parser;
    boost::system::error_code error;
    const std::size_t read = parser.write_some(text, error);
    if (!error && read < text.size()) error = json::error::extra_data;
    if (error) {
      AddError("", "not valid JSON at byte " + std::to_string(read) + ": " +
                       error.message());
      return std::nullopt;
    }
    CheckDuplicateMembers(text);
    return parser.release();
  }

  std::optional<config_document> ReadDocument(json::value value) {
    if (!CheckKind(value, json::kind::object, "")) return std::nullopt;
    config_document result;
    json::object& root = value.get_object();
    CheckMembers(root, "", kDocumentMembers);
    ReadDefaults(root, &result);
    ReadServices(root, &result);
    ReadGroups(&root, &result);
    ReadExceptions(&root, &result);
    if (failed_) return std::nullopt;
    result.text_ = Canonical(value);
    if (result.text_.size() > limits_.max_document_bytes) {
      AddError("", "the canonical text of the document is too long");
      return std::nullopt;
    }
    return result;
  }

  std::optional<config_exception> ReadException(const json::value& value,
                                                const std::string& path) {
    if (!CheckKind(value, json::kind::object, path)) return std::nullopt;
    const bool failed_before = std::exchange(failed_, false);
    const json::object& object = value.get_object();
    CheckMembers(object, path, kExceptionMembers);
    config_exception result;
    result.id = ReadText(object, path, "id", kMaxNameBytes);
    if (!result.id.empty()) CheckName(result.id, ChildPath(path, "id"));
    result.caller = ReadText(object, path, "caller", kMaxCallerBytes);
    result.reason = ReadText(object, path, "reason", kMaxReasonBytes);
    result.author = ReadText(object, path, "author", kMaxAuthorBytes);
    if (const auto* weight = object.if_contains("caller_weight")) {
      result.caller_weight =
          ReadNumber(*weight, ChildPath(path, "caller_weight"), 0.01, 100);
    }
    if (const auto* deadline = object.if_contains("deadline_ms")) {
      if (const auto ms = ReadNumber(*deadline, ChildPath(path, "deadline_ms"),
                                     1, kMaxDeadlineMs)) {
        result.deadline = ToDuration(*ms);
      }
    }
    if (const auto* expires = object.if_contains("expires_ms")) {
      const std::string field = ChildPath(path, "expires_ms");
      if (!expires->is_int64()) {
        AddError(field, "has type " + std::string(KindName(*expires)) +
                            "; allowed: an integer, milliseconds since 1970");
      } else if (expires->get_int64() < 1 ||
                 expires->get_int64() > kMaxWallTimeMs) {
        AddError(field, "is " + std::to_string(expires->get_int64()) +
                            "; allowed: 1 to " +
                            std::to_string(kMaxWallTimeMs));
      } else {
        result.expires_ms = expires->get_int64();
      }
    }
    if (!object.contains("caller_weight") && !object.contains("deadline_ms")) {
      AddError(path,
               "changes no treatment; allowed: at least one of caller_weight, "
               "deadline_ms");
    }
    const bool failed = std::exchange(failed_, failed_before || failed_);
    if (failed) return std::nullopt;
    return result;
  }

 private:
  // Reports members with the same name in one object. The JSON parser silently
  // keeps only the last of them. `text` must be valid JSON.
  void CheckDuplicateMembers(std::string_view text) {
    struct nesting_level {
      bool object;
      bool name_next;
      std::string name;
      std::size_t index = 0;
      std::set<std::string> names = {};
    };
    std::vector<nesting_level> levels;
    for (std::size_t i = 0; i < text.size(); ++i) {
      const char c = text[i];
      if (c == '{' || c == '[') {
        levels.push_back({c == '{', c == '{', {}});
      } else if (c == '}' || c == ']') {
        levels.pop_back();
      } else if (c == ',') {
        levels.back().name_next = levels.back().object;
        ++levels.back().index;
      } else if (c == '"') {
        const std::size_t start = i;
        for (++i; text[i] != '"'; ++i) {
          if (text[i] == '\\') ++i;
        }
        if (levels.empty() || !std::exchange(levels.back().name_next, false)) {
          continue;
        }
        const std::string_view quoted = text.substr(start, i + 1 - start);
        levels.back().name =
            quoted.find('\\') == std::string_view::npos
                ? std::string(quoted.substr(1, quoted.size() - 2))
                : std::string(ParseValidated(quoted).as_string());
        if (levels.back().names.insert(levels.back().name).second) continue;
        std::string path;
        for (const auto& level : levels) {
          path = ChildPath(
              path, level.object ? level.name : std::to_string(level.index));
        }
        AddError(path,
                 "contradictory: is stated twice; allowed: each member once");
      }
    }
  }

  void AddError(const std::string& path, std::string message) {
    failed_ = true;
    if (errors_->size() < limits_.max_reported) {
      errors_->push_back({path, std::move(message)});
    }
  }

  bool CheckKind(const json::value& value, json::kind kind,
                 const std::string& path) {
    if (value.kind() == kind) return true;
    const std::string_view allowed = kind == json::kind::object  ? "an object"
                                     : kind == json::kind::array ? "an array"
                                                                 : "a string";
    AddError(path, "has type " + std::string(KindName(value)) +
                       "; allowed: " + std::string(allowed));
    return false;
  }

  template <typename Names>
  void CheckMembers(const json::object& object, const std::string& path,
                    const Names& names) {
    for (const auto& member : object) {
      if (std::ranges::find(names, std::string_view(member.key())) !=
          std::end(names)) {
        continue;
      }
      std::string allowed;
      for (const std::string_view name : names) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(name);
      }
      AddError(ChildPath(path, member.key()),
               "unknown key; allowed: " + allowed);
    }
  }

  void CheckName(std::string_view name, const std::string& path) {
    if (!IsName(name)) {
      AddError(path,
               "is not a name; allowed: 1 to 64 of letters, digits, '-', "
               "'_' and '.'");
    }
  }

  std::string ReadText(const json::object& object, const std::string& path,
                       std::string_view name, std::size_t max_bytes) {
    const auto* value = object.if_contains(name);
    const std::string field = ChildPath(path, name);
    if (value == nullptr) {
      AddError(field, "is missing; allowed: a non-empty string");
      return {};
    }
    if (!CheckKind(*value, json::kind::string, field)) return {};
    const auto& text = value->get_string();
    if (IsBlank(text) || text.size() > max_bytes) {
      AddError(field, (IsBlank(text) ? "is blank" : "is too long") +
                          std::string("; allowed: 1 to ") +
                          std::to_string(max_bytes) +
                          " bytes that are not all white space");
      return {};
    }
    return {text.data(), text.size()};
  }

  std::optional<double> ReadNumber(const json::value& value,
                                   const std::string& path, double min,
                                   double max) {
    const std::string range = NumberText(min) + " to " + NumberText(max);
    if (!value.is_number()) {
      AddError(path, "has type " + std::string(KindName(value)) +
                         "; allowed: a number, " + range);
      return std::nullopt;
    }
    const double number = value.to_number<double>();
    if (!(number >= min && number <= max)) {
      AddError(path, "is " + Canonical(value) + "; allowed: " + range);
      return std::nullopt;
    }
    return number;
  }

  static duration ToDuration(double ms) {
    return duration(static_cast<std::int64_t>(std::llround(ms * 1000)));
  }

  void ReadPolicyField(const policy_field& field, const json::value& value,
                       const std::string& path, service_policy* policy) {
    if (const auto* member =
            std::get_if<bool service_policy::*>(&field.member)) {
      if (!value.is_bool()) {
        AddError(path, "has type " + std::string(KindName(value)) +
                           "; allowed: true or false");
        return;
      }
      policy->** member = value.get_bool();
      return;
    }
    const auto number = ReadNumber(value, path, field.min, field.max);
    if (!number) return;
    if (const auto* time =
            std::get_if<duration service_policy::*>(&field.member)) {
      policy->** time = ToDuration(*number);
    } else if (const auto* real =
                   std::get_if<double service_policy::*>(&field.member)) {
      policy->** real = *number;
    } else if (std::trunc(*number) != *number) {
      AddError(path, "is " + NumberText(*number) +
                         "; allowed: whole numbers, " + NumberText(field.min) +
                         " to " + NumberText(field.max));
    } else {
      policy->*std::get<std::uint32_t service_policy::*>(field.member) =
          static_cast<std::uint32_t>(*number);
    }
  }

  // Overrides `policy` with the fields of `object`. `extra_member` names a
  // member of the object that is allowed but is not a policy field.
  void ReadPolicy(const json::object& object, const std::string& path,
                  std::optional<std::string_view> extra_member,
                  service_policy* policy) {
    std::vector<std::string_view> names;
    if (extra_member) names.push_back(*extra_member);
    for (const auto& field : kPolicyFields) names.push_back(field.name);
    CheckMembers(object, path, names);
    const bool failed_before = std::exchange(failed_, false);
    for (const auto& field : kPolicyFields) {
      if (const auto* value = object.if_contains(field.name)) {
        ReadPolicyField(field, *value, ChildPath(path, field.name), policy);
      }
    }
    if (!failed_) CheckContradictions(object, path, *policy);
    failed_ = failed_ || failed_before;
  }

  void CheckContradictions(const json::object& object, const std::string& path,
                           const service_policy& policy) {
    if (policy.default_deadline > policy.max_deadline) {
      AddError(
          ChildPath(path, object.contains("max_deadline_ms")
                              ? "max_deadline_ms"
                              : "default_deadline_ms"),
          "contradictory: default_deadline_ms " +
              NumberText(static_cast<double>(policy.default_deadline.count()) /
                         1000) +
              " is above max_deadline_ms " +
              NumberText(static_cast<double>(policy.max_deadline.count()) /
                         1000) +
              "; allowed: at most max_deadline_ms");
    }
    // An inherited `hedging` has no effect on a policy that does not allow a
    // second attempt. Only `hedging` in the same object is a contradiction.
    const auto* hedging = object.if_contains("hedging");
    if (hedging == nullptr || !hedging->get_bool()) return;
    if (!policy.idempotent) {
      AddError(
          ChildPath(path, "hedging"),
          "contradictory: non-idempotent requests are never hedged; allowed: "
          "false where idempotent is false");
    }
    if (policy.max_attempts < 2) {
      AddError(
          ChildPath(path, "hedging"),
          "contradictory: max_attempts is 1; allowed: false, or max_attempts "
          "of at least 2");
    }
  }

  void ReadDefaults(const json::object& root, config_document* result) {
    const auto* defaults = root.if_contains("defaults");
    if (defaults == nullptr ||
        !CheckKind(*defaults, json::kind::object, "/defaults")) {
      return;
    }
    ReadPolicy(defaults->get_object(), "/defaults", std::nullopt,
               &result->default_policy_);
  }

  void ReadServices(const json::object& root, config_document* result) {
    const auto* services = root.if_contains("services");
    if (services == nullptr ||
        !CheckKind(*services, json::kind::object, "/services")) {
      return;
    }
    if (services->get_object().size() > limits_.max_services) {
      AddError("/services", "has " +
                                std::to_string(services->get_object().size()) +
                                " services; allowed: at most " +
                                std::to_string(limits_.max_services));
      return;
    }
    for (const auto& member : services->get_object()) {
      const std::string path = ChildPath("/services", member.key());
      CheckName(member.key(), path);
      service_policy policy = result->default_policy_;
      if (CheckKind(member.value(), json::kind::object, path)) {
        ReadPolicy(member.value().get_object(), path, std::nullopt, &policy);
      }
      result->services_.emplace(member.key(), policy);
    }
  }

  void ReadGroups(json::object* root, config_document* result) {
    auto* groups = root->if_contains("groups");
    if (groups == nullptr ||
        !CheckKind(*groups, json::kind::object, "/groups")) {
      return;
    }
    if (groups->get_object().size() > limits_.max_groups) {
      AddError("/groups", "has " + std::to_string(groups->get_object().size()) +
                              " groups; allowed: at most " +
                              std::to_string(limits_.max_groups));
      return;
    }
    for (auto& member : groups->get_object()) {
      const std::string path = ChildPath("/groups", member.key());
      CheckName(member.key(), path);
      if (result->services_.contains(std::string_view(member.key()))) {
        AddError(
            path,
            "contradictory: a service has the same name; allowed: names that "
            "no service has");
      }
      if (!CheckKind(member.value(), json::kind::object, path)) continue;
      config_document::group group;
      group.policy = result->default_policy_;
      auto& object = member.value().get_object();
      ReadPolicy(object, path, "services", &group.policy);
      ReadGroupServices(&object, ChildPath(path, "services"), *result, &group);
      result->groups_.emplace(member.key(), std::move(group));
    }
  }

  void ReadGroupServices(json::object* object, const std::string& path,
                         const config_document& document,
                         config_document::group* group) {
    auto* services = object->if_contains("services");
    if (services == nullptr) {
      AddError(path, "is missing; allowed: an array of names of /services");
      return;
    }
    if (!CheckKind(*services, json::kind::array, path)) return;
    auto& array = services->get_array();
    if (array.empty()) {
      AddError(path, "is empty; allowed: at least one name of /services");
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < array.size(); ++i) {
      const std::string element = path + "/" + std::to_string(i);
      if (!CheckKind(array[i], json::kind::string, element)) continue;
      std::string name(array[i].get_string());
      if (!document.services_.contains(name)) {
        AddError(element, "unknown service " + name +
                              "; allowed: names of members of /services");
      } else if (!seen.insert(name).second) {
        AddError(element, "contradictory: " + name +
                              " is listed twice; allowed: each service once");
      }
    }
    group->services.assign(seen.begin(), seen.end());
    // The order of services is not significant, so the canonical text has them
    // sorted.
    array = json::array(group->services.begin(), group->services.end());
  }

  void ReadExceptions(json::object* root, config_document* result) {
    auto* exceptions = root->if_contains("exceptions");
    if (exceptions == nullptr ||
        !CheckKind(*exceptions, json::kind::array, "/exceptions")) {
      return;
    }
    auto& array = exceptions->get_array();
    if (array.size() > limits_.max_exceptions) {
      AddError("/exceptions", "has " + std::to_string(array.size()) +
                                  " exceptions; allowed: at most " +
                                  std::to_string(limits_.max_exceptions));
      return;
    }
    std::map<std::string, std::string> paths_by_id;
    // Maps caller and field to the path of the exception that sets the field.
    std::map<std::pair<std::string, std::string>, std::string>
        paths_by_caller_field;
    for (std::size_t i = 0; i < array.size(); ++i) {
      const std::string path = "/exceptions/" + std::to_string(i);
      auto exception = ReadException(array[i], path);
      if (!exception) continue;
      if (const auto [other, inserted] =
              paths_by_id.emplace(exception->id, path);
          !inserted) {
        AddError(ChildPath(path, "id"),
                 "contradictory: " + other->second +
                     " has the same id; allowed: each id once");
      }
      for (const auto& [field, is_set] :
           {std::pair("caller_weight", exception->caller_weight.has_value()),
            std::pair("deadline_ms", exception->deadline.has_value())}) {
        if (!is_set) continue;
        const auto [other, inserted] = paths_by_caller_field.emplace(
            std::pair(exception->caller, field), path);
        if (inserted) continue;
        AddError(ChildPath(path, field),
                 "contradictory: " + other->second +
                     " changes the same field for this caller; allowed: one "
                     "exception for each caller and field");
      }
      result->exceptions_.push_back(std::move(*exception));
    }
    std::ranges::sort(result->exceptions_, {}, &config_exception::id);
    if (failed_) return;
    std::ranges::sort(array, {}, [](const json::value& element) {
      return std::string(element.at("id").get_string());
    });
  }

  std::vector<document_error>* errors_;
  const config_limits& limits_;
  bool failed_ = false;
};

namespace {

// Compares two JSON values recursively and collects the paths that differ.
class difference_builder {
 public:
  explicit difference_builder(std::size_t limit) : limit_(limit) {}

  void Compare(const std::string& path, const json::value* before,
               const json::value* after) {
    if (changes_.size() >= limit_) return;
    if (before != nullptr && after != nullptr) {
      if (*before == *after) return;
      if (before->is_object() && after->is_object()) {
        CompareObjects(path, before->get_object(), after->get_object());
        return;
      }
      if (path == "/exceptions" && before->is_array() && after->is_array()) {
        CompareObjects(path, ById(before->get_array()),
                       ById(after->get_array()));
        return;
      }
    }
    changes_.push_back({path, before != nullptr ? Canonical(*before) : "",
                        after != nullptr ? Canonical(*after) : ""});
  }

  std::vector<document_change> Take() { return std::move(changes_); }

 private:
  void CompareObjects(const std::string& path, const json::object& before,
                      const json::object& after) {
    std::set<std::string> names;
    for (const auto& member : before) names.emplace(member.key());
    for (const auto& member : after) names.emplace(member.key());
    for (const auto& name : names) {
      Compare(ChildPath(path, name), before.if_contains(name),
              after.if_contains(name));
    }
  }

  static json::object ById(const json::array& array) {
    json::object result;
    for (const auto& element : array) {
      const auto* object = element.if_object();
      const auto* id = object != nullptr ? object->if_contains("id") : nullptr;
      if (id != nullptr && id->is_string()) {
        result[id->get_string()] = element;
      }
    }
    return result;
  }

  std::size_t limit_;
  std::vector<document_change> changes_;
};

}  // namespace

const service_policy* config_document::FindPolicy(
    std::string_view target) const {
  if (const auto service = services_.find(target); service != services_.end()) {
    return &service->second;
  }
  const auto group = groups_.find(target);
  return group != groups_.end() ? &group->second.policy : nullptr;
}

std::vector<std::string> config_document::ServicesOf(
    std::string_view target) const {
  if (services_.contains(target)) return {std::string(target)};
  const auto group = groups_.find(target);
  return group != groups_.end() ? group->second.services
                                : std::vector<std::string>{};
}

caller_policy config_document::CallerPolicyAt(std::string_view caller,
                                              wall_time_ms wall_now) const {
  caller_policy result;
  for (const auto& exception : exceptions_) {
    if (exception.caller != caller) continue;
    if (exception.expires_ms && *exception.expires_ms <= wall_now) continue;
    if (exception.caller_weight) {
      result.caller_weight = *exception.caller_weight;
    }
    if (exception.deadline) result.deadline = exception.deadline;
    result.exception_ids.push_back(exception.id);
  }
  return result;
}

std::vector<std::string> config_document::services() const {
  std::vector<std::string> names;
  for (const auto& [name, policy] : services_) names.push_back(name);
  return names;
}

std::vector<std::string> config_document::groups() const {
  std::vector<std::string> names;
  for (const auto& [name, group] : groups_) names.push_back(name);
  return names;
}

std::string config_document::TextWithException(
    const config_exception& added) const {
  json::value root = ParseValidated(text_);
  auto& exceptions = root.as_object()["exceptions"];
  if (!exceptions.is_array()) exceptions = json::array();
  exceptions.as_array().push_back(ExceptionObject(added));
  return Canonical(root);
}

std::string config_document::TextWithoutException(std::string_view id) const {
  json::value root = ParseValidated(text_);
  json::array kept;
  for (const auto& exception : exceptions_) {
    if (exception.id != id) kept.push_back(ExceptionObject(exception));
  }
  if (kept.empty()) {
    root.as_object().erase("exceptions");
  } else {
    root.as_object()["exceptions"] = std::move(kept);
  }
  return Canonical(root);
}

std::optional<config_document> ParseConfig(std::string_view text,
                                           std::vector<document_error>* errors,
                                           const config_limits& limits) {
  config_parser parser(errors, limits);
  auto value = parser.Parse(text);
  if (!value) return std::nullopt;
  return parser.ReadDocument(std::move(*value));
}

std::optional<config_exception> ParseException(
    std::string_view text, std::vector<document_error>* errors) {
  const config_limits limits;
  config_parser parser(errors, limits);
  const auto value = parser.Parse(text);
  if (!value) return std::nullopt;
  return parser.ReadException(*value, "");
}

std::string ExceptionText(const config_exception& exception) {
  return Canonical(ExceptionObject(exception));
}

std::vector<document_change> Difference(std::string_view before,
                                        std::string_view after,
                                        const config_limits& limits) {
  const json::value old_value = ParseValidated(before);
  const json::value new_value = ParseValidated(after);
  difference_builder builder(limits.max_reported);
  builder.Compare("", &old_value, &new_value);
  return builder.Take();
}

}  // namespace bilberrycourse
