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

struct settings {
  std::string file;
  // [instance]
  instance_name name;
  availability_zone zone;
  bool entry = false;
  bool control = false;
  // [listen]
  socket_address caller_listen;
  socket_address peer_listen;
  // [peers]
  std::vector<socket_address> seeds;
  std::string shared_key;
  // [control]
  std::string group;
  std::vector<instance_name> initial_members;
  // Control instances that replace lost members.
  std::vector<instance_name> spares;
  std::string data_dir;
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

// One line for each error: file, section, key, problem and what is allowed.
std::string ToText(const settings_errors& errors);

}  // namespace bilberrycourse

#endif  // APP_SETTINGS_H_
