#ifndef APP_SETTINGS_H_
#define APP_SETTINGS_H_

// Settings of one process, read from an INI file and checked as a whole.
//
//   boost::leaf::try_handle_all(
//       [&]() -> boost::leaf::result<int> {
//         BOOST_LEAF_AUTO(settings, LoadSettings("e1.ini"));
//         return Serve(settings);
//       },
//       [](const settings_errors& errors) { ... },
//       [] { ... });
//
// A file with any problem gives no settings at all, but one error for each
// problem, so that nothing starts half-configured.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "app/json_log.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// IP number and port.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;
  std::string ToText() const;
  bool operator==(const socket_address&) const = default;
};

// Parses "127.0.0.1:8001" or "[::1]:8001"; host names are refused.
bool ParseSocketAddress(const std::string& text, socket_address* address);

// What the instance offers to callers.
enum class serving_interface : std::uint8_t {
  // POST /query over services that announce index versions.
  kQuery = 0,
  // Requests of any form, forwarded by a configuration of routes.
  kRoutes = 1,
};

struct settings {
  std::string file;
  // [instance]
  serving_interface interface = serving_interface::kQuery;
  instance_name name;
  availability_zone zone;
  bool entry = false;
  bool control = false;
  // [listen]
  socket_address caller_listen;
  socket_address peer_listen;
  // Where other instances reach peer_listen; equal to it unless the network
  // translates addresses.
  socket_address peer_advertised;
  // Where the balancer asks for readiness and metrics are read; routes only.
  socket_address readiness_listen;
  // [peers]
  std::vector<socket_address> seeds;
  // If not 0, the port of the peer links of every seed.
  std::uint16_t seed_port = 0;
  std::string shared_key;
  // [control]
  std::string group;
  std::vector<instance_name> initial_members;
  // Control instances that replace lost members.
  std::vector<instance_name> spares;
  std::string data_dir;
  // Members that the group grows to; 0: the number of initial members.
  std::uint64_t voters = 0;
  // False once the deployment has run before: an empty folder then joins a
  // group and never forms one.
  bool bootstrap = true;
  // [routes]
  // Repeats of a service within retry_window: this share of its requests plus
  // retry_allowance, over all entry instances together.
  double retry_ratio = 0.2;
  std::uint64_t retry_allowance = 0;
  std::chrono::seconds retry_window{10};
  // One way between callers and entry instances. Objectives count from the
  // caller's sending on.
  std::chrono::milliseconds caller_one_way{3};
  // [operator]
  std::string operator_token;
  // [log]
  log_level level = log_level::kInfo;
  double decision_rate = 1.0;
  // [limits]
  std::uint64_t max_request_bytes = 1 << 20;
  std::uint64_t max_connections = 10000;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds shutdown_grace{10000};
};

struct settings_error {
  std::string section;
  std::string key;
  std::string problem;
  std::string allowed;
};

struct settings_errors {
  std::string file;
  std::vector<settings_error> errors;
};

// Fails with a settings_errors object.
boost::leaf::result<settings> LoadSettings(const std::string& file);

// Checks `text` as if it were the content of `file`.
boost::leaf::result<settings> ParseSettings(const std::string& file,
                                            const std::string& text);

// Address of the peer links of the seed with IP number `ip`; empty if no seed
// has it.
std::string SeedAddress(const settings& config, const std::string& ip);

// One line for each error: file, section, key, problem and what is allowed.
std::string ToText(const settings_errors& errors);

}  // namespace bilberrycourse

#endif  // APP_SETTINGS_H_
