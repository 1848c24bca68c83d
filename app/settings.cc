#include "app/settings.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

// The MAC is secure only with a long key. The upper limit rejects a file that
// is named by mistake and is no key.
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::size_t kMaxSecretBytes = 4096;

using problem_text = std::string;  // Empty if the value is accepted.
using parse_function = problem_text (*)(const std::string&, settings*);

enum class setting_requirement : std::uint8_t {
  kOptional,
  kRequired,
  // Required with interface query, optional with interface routes.
  kRequiredForQuery
};

struct setting_definition {
  std::string_view section;
  std::string_view key;
  setting_requirement requirement;
  std::string_view allowed;
  parse_function parse;
};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  boost::split(items, text, boost::is_any_of(","));
  for (std::string& item : items) boost::trim(item);
  std::erase(items, "");
  return items;
}

bool ValidName(const std::string& text) {
  return !text.empty() && text.size() <= 64 &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789-_.") == std::string::npos;
}

template <std::string settings::*Member>
problem_text ParseName(const std::string& text, settings* out) {
  if (!ValidName(text)) return "not a valid name";
  out->*Member = text;
  return {};
}

template <socket_address settings::*Member>
problem_text ParseAddress(const std::string& text, settings* out) {
  if (!ParseSocketAddress(text, &(out->*Member))) {
    return "not an IP number with a port";
  }
  return {};
}

template <auto Member, std::uint64_t Low, std::uint64_t High>
problem_text ParseNumber(const std::string& text, settings* out) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) return "not a whole number";
  if (value < Low || value > High) return "out of range";
  out->*Member =
      std::remove_reference_t<decltype(std::declval<settings>().*Member)>(
          value);
  return {};
}

template <std::string settings::*Member>
problem_text ParseSecretFile(const std::string& text, settings* out) {
  std::ifstream in(text, std::ios::binary);
  if (!in) return "cannot be read";
  std::string secret((std::istreambuf_iterator<char>(in)), {});
  boost::trim(secret);
  if (secret.size() < kMinSecretBytes || secret.size() > kMaxSecretBytes) {
    return "holds a secret of " + std::to_string(secret.size()) + " bytes";
  }
  out->*Member = secret;
  return {};
}

template <std::string settings::*Member>
problem_text ParseSecretText(const std::string& text, settings* out) {
  if (text.size() < kMinSecretBytes || text.size() > kMaxSecretBytes) {
    return "holds a secret of " + std::to_string(text.size()) + " bytes";
  }
  out->*Member = text;
  return {};
}

problem_text ParseRole(const std::string& text, settings* out) {
  for (const std::string& role : SplitList(text)) {
    if (role == "entry") {
      out->entry = true;
    } else if (role == "control") {
      out->control = true;
    } else {
      return "unknown role '" + role + "'";
    }
  }
  return out->entry || out->control ? "" : "names no role";
}

problem_text ParseSeeds(const std::string& text, settings* out) {
  for (const std::string& item : SplitList(text)) {
    socket_address address;
    if (!ParseSocketAddress(item, &address)) {
      return "'" + item + "' is not an IP number with a port";
    }
    out->seeds.push_back(address);
  }
  return {};
}

problem_text ParseMembers(const std::string& text, settings* out) {
  out->initial_members = SplitList(text);
  for (const std::string& name : out->initial_members) {
    if (!ValidName(name)) return "'" + name + "' is not a valid name";
  }
  const std::size_t count = out->initial_members.size();
  if (count != 1 && count != 3 && count != 5 && count != 7) {
    return "names " + std::to_string(count) + " members";
  }
  return {};
}

problem_text ParseSpares(const std::string& text, settings* out) {
  out->spares = SplitList(text);
  for (const std::string& name : out->spares) {
    if (!ValidName(name)) return "'" + name + "' is not a valid name";
  }
  return {};
}

problem_text ParseDataDir(const std::string& text, settings* out) {
  if (text.empty()) return "is empty";
  out->data_dir = text;
  return {};
}

problem_text ParseLevel(const std::string& text, settings* out) {
  return ParseLogLevel(text, &out->level) ? "" : "unknown level";
}

template <double settings::*Member>
problem_text ParseRatio(const std::string& text, settings* out) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) return "not a number";
  if (!(value >= 0 && value <= 1)) return "out of range";
  out->*Member = value;
  return {};
}

problem_text ParseInterface(const std::string& text, settings* out) {
  if (text != "query" && text != "routes") return "unknown interface";
  out->interface =
      text == "query" ? serving_interface::kQuery : serving_interface::kRoutes;
  return {};
}

problem_text ParseLoadBalancingRule(const std::string& text, settings* out) {
  const auto rule = ParseLoadBalancing(text);
  if (!rule.has_value()) return "unknown rule";
  out->balancing = *rule;
  return {};
}

problem_text ParseBootstrap(const std::string& text, settings* out) {
  if (text != "true" && text != "false") return "neither true nor false";
  out->bootstrap = text == "true";
  return {};
}

// The platform leaves the value empty if the deployment does not state it.
problem_text ParseStrictRevocation(const std::string& text, settings* out) {
  if (!text.empty() && text != "true" && text != "false") {
    return "neither true nor false";
  }
  out->strict_revocation = text == "true";
  return {};
}

// Keeps the default if the platform leaves the value empty.
template <problem_text (*Parse)(const std::string&, settings*)>
problem_text ParseIfPresent(const std::string& text, settings* out) {
  return text.empty() ? problem_text{} : Parse(text, out);
}

// A group of 2n + 1 members tolerates the loss of n.
problem_text ParseToleratedLosses(const std::string& text, settings* out) {
  std::uint64_t losses = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, losses);
  if (error != std::errc() || last != end) return "not a whole number";
  if (losses > 3) return "out of range";
  out->voters = 2 * losses + 1;
  return {};
}

constexpr std::string_view kNameAllowed =
    "1 to 64 letters, digits, '-', '_' or '.'";
constexpr std::string_view kAddressAllowed =
    "an IP number and a port, such as 127.0.0.1:8001";
constexpr std::string_view kSecretAllowed =
    "a readable file with a secret of 16 to 4096 bytes";

constexpr setting_definition kSettings[] = {
    {"instance", "name", setting_requirement::kRequired, kNameAllowed,
     ParseName<&settings::name>},
    {"instance", "availability_zone", setting_requirement::kRequired,
     kNameAllowed, ParseName<&settings::zone>},
    {"instance", "interface", setting_requirement::kOptional, "query or routes",
     ParseInterface},
    {"instance", "role", setting_requirement::kRequired,
     "entry, control, or entry,control", ParseRole},
    {"listen", "caller", setting_requirement::kRequired, kAddressAllowed,
     ParseAddress<&settings::caller_listen>},
    {"listen", "peer", setting_requirement::kRequired, kAddressAllowed,
     ParseAddress<&settings::peer_listen>},
    {"listen", "peer_advertised", setting_requirement::kOptional,
     kAddressAllowed, ParseAddress<&settings::peer_advertised>},
    {"listen", "readiness", setting_requirement::kOptional, kAddressAllowed,
     ParseAddress<&settings::readiness_listen>},
    {"peers", "seeds", setting_requirement::kRequired,
     "a list of addresses, separated by commas", ParseSeeds},
    {"peers", "shared_key_file", setting_requirement::kRequiredForQuery,
     kSecretAllowed, ParseSecretFile<&settings::shared_key>},
    {"peers", "shared_key", setting_requirement::kOptional,
     "a text of 16 to 4096 bytes", ParseSecretText<&settings::shared_key>},
    {"peers", "seed_port", setting_requirement::kOptional, "1 to 65535",
     ParseNumber<&settings::seed_port, 1, 65535>},
    {"control", "group", setting_requirement::kRequired, kNameAllowed,
     ParseName<&settings::group>},
    {"control", "initial_members", setting_requirement::kRequiredForQuery,
     "1, 3, 5 or 7 instance names", ParseMembers},
    {"control", "spares", setting_requirement::kOptional,
     "a list of instance names", ParseSpares},
    {"control", "data_dir", setting_requirement::kOptional,
     "a folder on a disk", ParseDataDir},
    {"control", "voters", setting_requirement::kOptional, "1 to 7 members",
     ParseNumber<&settings::voters, 1, 7>},
    {"control", "tolerated_losses", setting_requirement::kOptional,
     "0 to 3 instances", ParseToleratedLosses},
    {"control", "bootstrap", setting_requirement::kOptional, "true or false",
     ParseBootstrap},
    {"routes", "retry_ratio", setting_requirement::kOptional, "0 to 1",
     ParseRatio<&settings::retry_ratio>},
    {"routes", "retry_allowance", setting_requirement::kOptional,
     "0 to 1000000 repeats",
     ParseNumber<&settings::retry_allowance, 0, 1000000>},
    {"routes", "caller_one_way_ms", setting_requirement::kOptional,
     "0 to 1000 milliseconds", ParseNumber<&settings::caller_one_way, 0, 1000>},
    {"routes", "load_balancing", setting_requirement::kOptional,
     "best or spread", ParseLoadBalancingRule},
    {"accounts", "strict_revocation", setting_requirement::kOptional,
     "true, false or empty", ParseStrictRevocation},
    {"accounts", "revoke_ms", setting_requirement::kOptional,
     "2000 to 600000 milliseconds or empty",
     ParseIfPresent<ParseNumber<&settings::revoke, 2000, 600000>>},
    {"accounts", "quota_window_s", setting_requirement::kOptional,
     "1 to 3600 seconds or empty",
     ParseIfPresent<ParseNumber<&settings::quota_window, 1, 3600>>},
    {"accounts", "quota_overshoot", setting_requirement::kOptional,
     "0 to 1 or empty", ParseIfPresent<ParseRatio<&settings::quota_overshoot>>},
    {"accounts", "quota_slack", setting_requirement::kOptional,
     "0 to 1000000 requests or empty",
     ParseIfPresent<ParseNumber<&settings::quota_slack, 0, 1000000>>},
    {"operator", "token_file", setting_requirement::kRequiredForQuery,
     kSecretAllowed, ParseSecretFile<&settings::operator_token>},
    {"log", "level", setting_requirement::kOptional,
     "debug, info, warning or error", ParseLevel},
    {"log", "decision_rate", setting_requirement::kOptional, "0 to 1",
     ParseRatio<&settings::decision_rate>},
    {"limits", "memory_mb", setting_requirement::kOptional, "0 to 1048576 MB",
     ParseNumber<&settings::memory_mb, 0, 1048576>},
    {"limits", "max_request_bytes", setting_requirement::kOptional,
     "1024 to 16777216 bytes",
     ParseNumber<&settings::max_request_bytes, 1024, 16777216>},
    {"limits", "max_reply_bytes", setting_requirement::kOptional,
     "1024 to 268435456 bytes",
     ParseNumber<&settings::max_reply_bytes, 1024, 268435456>},
    {"limits", "max_exchange_bytes", setting_requirement::kOptional,
     "1024 to 536870912 bytes",
     ParseNumber<&settings::max_exchange_bytes, 1024, 536870912>},
    {"limits", "max_buffered_bytes", setting_requirement::kOptional,
     "65536 to 1073741824 bytes",
     ParseNumber<&settings::max_buffered_bytes, 65536, 1073741824>},
    {"limits", "max_connections", setting_requirement::kOptional,
     "10 to 100000 connections",
     ParseNumber<&settings::max_connections, 10, 100000>},
    {"limits", "read_timeout_ms", setting_requirement::kOptional,
     "100 to 600000 milliseconds",
     ParseNumber<&settings::read_timeout, 100, 600000>},
    {"limits", "shutdown_grace_ms", setting_requirement::kOptional,
     "0 to 600000 milliseconds",
     ParseNumber<&settings::shutdown_grace, 0, 600000>},
};

// Returns the definition of `name` ("section.key"), or nullptr if it is
// unknown.
const setting_definition* FindSetting(const std::string& name) {
  for (const setting_definition& setting : kSettings) {
    if (name == std::string(setting.section) + "." + std::string(setting.key)) {
      return &setting;
    }
  }
  return nullptr;
}

std::pair<std::string, std::string> SplitKey(const std::string& name) {
  const std::size_t dot = name.find('.');
  if (dot == std::string::npos) return {"", name};
  return {name.substr(0, dot), name.substr(dot + 1)};
}

// Parses the file into pairs of "section.key" and value. Adds syntax errors and
// repeated keys to `errors`.
std::map<std::string, std::string> ParsePairs(
    const std::string& text, std::vector<settings_error>* errors) {
  namespace po = boost::program_options;
  std::map<std::string, std::string> pairs;
  try {
    std::istringstream in(text);
    const po::options_description none;
    const auto parsed = po::parse_config_file(in, none, true);
    for (const auto& option : parsed.options) {
      const auto [section, key] = SplitKey(option.string_key);
      if (!pairs.emplace(option.string_key, option.value.at(0)).second) {
        errors->push_back({section, key, "is set twice", "one value"});
      }
    }
  } catch (const po::error& error) {
    errors->push_back({"", "", error.what(), "[section] and key=value lines"});
  }
  return pairs;
}

bool Contains(const std::vector<instance_name>& names,
              const instance_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// With interface routes, control instances are named by their IP addresses,
// because the settings list only the addresses of the seeds and no names.
void AddMembersFromSeeds(settings* parsed) {
  for (socket_address& seed : parsed->seeds) {
    if (parsed->seed_port != 0) seed.port = parsed->seed_port;
    if (!Contains(parsed->initial_members, seed.ip)) {
      parsed->initial_members.push_back(seed.ip);
    }
  }
}

void CheckRoutesConsistency(const settings& s,
                            std::vector<settings_error>* errors) {
  if (s.shared_key.empty()) {
    errors->push_back(
        {"peers", "shared_key", "is missing", "shared_key or shared_key_file"});
  }
  if (s.control && s.name != s.peer_advertised.ip) {
    errors->push_back({"instance", "name",
                       "is not the IP number of this instance",
                       "with interface routes and role control, the IP number "
                       "of [listen] peer_advertised, by default of peer"});
  }
  if (s.control && s.entry) {
    errors->push_back({"instance", "role", "has both roles",
                       "entry or control with interface routes"});
  }
}

void CheckConsistency(const settings& s, std::vector<settings_error>* errors) {
  if (s.control && s.data_dir.empty()) {
    errors->push_back({"control", "data_dir", "is missing",
                       "a folder on a disk when the role includes control"});
  }
  if (!s.control && !s.data_dir.empty()) {
    errors->push_back({"control", "data_dir", "is set without role control",
                       "no data_dir unless the role includes control"});
  }
  if (s.interface == serving_interface::kRoutes) {
    return CheckRoutesConsistency(s, errors);
  }
  const bool listed =
      Contains(s.initial_members, s.name) || Contains(s.spares, s.name);
  if (s.control != listed) {
    errors->push_back(
        {"instance", "role",
         s.control ? "includes control, but the name is not listed"
                   : "lacks control, but the name is listed",
         "role control exactly for the names in [control] initial_members "
         "and spares"});
  }
  for (const instance_name& spare : s.spares) {
    if (!Contains(s.initial_members, spare)) continue;
    errors->push_back({"control", "spares", "lists an initial member",
                       "names that are not in initial_members"});
  }
  if (s.caller_listen == s.peer_listen && s.caller_listen.port != 0) {
    errors->push_back({"listen", "peer", "equals the caller address",
                       "another address than [listen] caller"});
  }
}

}  // namespace

std::string socket_address::ToText() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

bool ParseSocketAddress(const std::string& text, socket_address* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string ip = text.substr(0, colon);
  if (ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code error;
  boost::asio::ip::make_address(ip, error);
  if (error) return false;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [last, status] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (status != std::errc() || last != end || port == 0) return false;
  *address = {ip, port};
  return true;
}

boost::leaf::result<settings> ParseSettings(const std::string& file,
                                            const std::string& text) {
  settings parsed;
  parsed.file = file;
  std::vector<settings_error> errors;
  const auto pairs = ParsePairs(text, &errors);
  for (const auto& [name, value] : pairs) {
    const auto [section, key] = SplitKey(name);
    const setting_definition* setting = FindSetting(name);
    if (setting == nullptr) {
      errors.push_back(
          {section, key, "is unknown", "the keys of docs/OPERATIONS.md"});
      continue;
    }
    const std::string problem = setting->parse(value, &parsed);
    if (!problem.empty()) {
      errors.push_back({section, key, problem, std::string(setting->allowed)});
    }
  }
  for (const setting_definition& setting : kSettings) {
    const std::string name =
        std::string(setting.section) + "." + std::string(setting.key);
    const bool required =
        setting.requirement == setting_requirement::kRequired ||
        (setting.requirement == setting_requirement::kRequiredForQuery &&
         parsed.interface == serving_interface::kQuery);
    if (required && !pairs.contains(name)) {
      errors.push_back({std::string(setting.section), std::string(setting.key),
                        "is missing", std::string(setting.allowed)});
    }
  }
  if (parsed.peer_advertised.ip.empty()) {
    parsed.peer_advertised = parsed.peer_listen;
  }
  if (parsed.interface == serving_interface::kRoutes) {
    AddMembersFromSeeds(&parsed);
  }
  if (errors.empty()) CheckConsistency(parsed, &errors);
  if (!errors.empty()) {
    return boost::leaf::new_error(result_code::kInvalidSettings,
                                  settings_errors{file, std::move(errors)});
  }
  return parsed;
}

boost::leaf::result<settings> LoadSettings(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return boost::leaf::new_error(
        result_code::kInvalidSettings,
        settings_errors{
            file, {{"", "", "the file cannot be read", "a readable file"}}});
  }
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  return ParseSettings(file, text);
}

// A platform that sets no limit may say 0. That must not keep a process from
// starting.
constexpr std::uint64_t kUnknownMemoryMb = 1024;

// A control instance sends each entry instance its whole state after a start,
// and has neither searchers nor relayed requests.
memory_shares MemoryShares(const settings& config) {
  const std::uint64_t memory_mb =
      config.memory_mb == 0 ? kUnknownMemoryMb : config.memory_mb;
  const std::uint64_t percent = (memory_mb << 20) / 100;
  memory_shares shares;
  shares.callers = 25 * percent;
  shares.replies =
      std::min<std::uint64_t>(config.max_buffered_bytes, 20 * percent);
  shares.peer_backlog = (config.entry ? 12 : 30) * percent;
  shares.relayed_requests = 12 * percent;
  return shares;
}

authenticator_options RevocationOptions(const settings& config) {
  authenticator_options options;
  options.strict_revocation = config.strict_revocation;
  options.revoke = config.revoke;
  return options;
}

quota_tolerance QuotaTolerance(const settings& config) {
  quota_tolerance tolerance;
  tolerance.window = config.quota_window;
  tolerance.overshoot = config.quota_overshoot;
  tolerance.slack = static_cast<double>(config.quota_slack);
  return tolerance;
}

std::string SeedAddress(const settings& config, const std::string& ip) {
  for (const socket_address& seed : config.seeds) {
    if (seed.ip == ip) return seed.ToText();
  }
  return "";
}

std::string ToText(const settings_errors& errors) {
  std::ostringstream out;
  for (const settings_error& error : errors.errors) {
    out << errors.file << ": ";
    if (!error.section.empty()) out << "[" << error.section << "] ";
    if (!error.key.empty()) out << error.key << ": ";
    out << error.problem << "; allowed: " << error.allowed << " (code "
        << Describe(result_code::kInvalidSettings).number << ")\n";
  }
  return out.str();
}

}  // namespace bilberrycourse
