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
// A file with any problem is rejected as a whole, with one error for each
// problem, so that no process runs with a partial configuration.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "app/json_log.h"
#include "bilberrycourse/accounts/authenticator.h"
#include "bilberrycourse/accounts/quota_protocol.h"
#include "bilberrycourse/placement/load_balancing.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// IP address and port.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;
  std::string ToText() const;
  bool operator==(const socket_address&) const = default;
};

// Parses "127.0.0.1:8001" or "[::1]:8001". Returns false for host names and
// port 0.
bool ParseSocketAddress(const std::string& text, socket_address* address);

// The interface that the instance offers to callers.
enum class serving_interface : std::uint8_t {
  // POST /query, for services that announce index versions.
  kQuery = 0,
  // Arbitrary HTTP requests, forwarded according to a route configuration.
  kRoutes = 1,
};

// On shutdown, every request has been answered this long before the end of the
// grace period, so that the answers reach their callers.
inline constexpr std::chrono::milliseconds kStopAnswerMargin{200};
// At the end of a shutdown, how long the last frames to peers may take. Results
// of relays and owners are among them; a peer may be cut off.
inline constexpr std::chrono::milliseconds kStopLinkTime{200};

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
  // Address at which other instances reach peer_listen. Differs from it only
  // behind network address translation.
  socket_address peer_advertised;
  // Address for readiness checks of the load balancer and for metrics; only
  // with interface routes.
  socket_address readiness_listen;
  // [peers]
  // May be empty with interface routes: the platform lists the control
  // instances that run when it writes the file.
  std::vector<socket_address> seeds;
  // If not 0, the port for peer connections at every seed, in place of the port
  // in `seeds`.
  std::uint16_t seed_port = 0;
  std::string shared_key;
  // [control]
  std::string group;
  std::vector<instance_name> initial_members;
  // Control instances that replace failed members.
  std::vector<instance_name> spares;
  std::string data_dir;
  // Target number of group members. 0 stands for the number of initial members.
  std::uint64_t voters = 0;
  // False if the deployment has run before. An instance with an empty data
  // directory then joins the existing group and never forms a new one.
  bool bootstrap = true;
  // [routes]
  // Retry budget of a service: within a window of any length, all entry
  // instances together send at most retry_ratio times the number of its
  // requests plus retry_allowance retries.
  double retry_ratio = 0.2;
  std::uint64_t retry_allowance = 0;
  // One-way network delay between callers and entry instances. Latency
  // objectives are measured from the time at which the caller sends a request.
  std::chrono::milliseconds caller_one_way{3};
  // Rule by which an instance chooses among the searchers of a service.
  load_balancing balancing = load_balancing::kBest;
  // [accounts]
  // True if no request runs that was sent later than `revoke` after the
  // acknowledgement of a configuration that revoked its key.
  bool strict_revocation = false;
  std::chrono::milliseconds revoke{5000};
  // How far all entry instances together may exceed an account's limit; see
  // quota_tolerance.
  std::chrono::seconds quota_window{5};
  double quota_overshoot = 0.1;
  std::uint64_t quota_slack = 20;
  // [operator]
  std::string operator_token;
  // [log]
  log_level level = log_level::kInfo;
  double decision_rate = 1.0;
  // [limits]
  // Memory in MB (2^20 bytes) at which the process would be ended.
  std::uint64_t memory_mb = 1024;
  std::uint64_t max_request_bytes = 1 << 20;
  std::uint64_t max_connections = 10000;
  std::chrono::milliseconds read_timeout{10000};
  // Replies of searchers and backend servers: body of one, all bytes received
  // for one request, and memory for all that are being received.
  std::uint64_t max_reply_bytes = 16 << 20;
  std::uint64_t max_exchange_bytes = 24 << 20;
  std::uint64_t max_buffered_bytes = 256 << 20;
  std::chrono::milliseconds shutdown_grace{10000};
};

// Memory in bytes for what others decide the size of. The rest of the
// process's memory is for its state and its sockets' buffers.
struct memory_shares {
  // Requests and answers on callers' connections.
  std::uint64_t callers = 0;
  // Replies of searchers and backend servers.
  std::uint64_t replies = 0;
  // Frames that are queued to peers.
  std::uint64_t peer_backlog = 0;
  // Requests that this instance runs as a relay of others.
  std::uint64_t relayed_requests = 0;
};

memory_shares MemoryShares(const settings& config);

// Returns the tolerance of account limits of [accounts].
quota_tolerance QuotaTolerance(const settings& config);

authenticator_options RevocationOptions(const settings& config);

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

// Parses `text` as the content of `file`, which is named in errors.
boost::leaf::result<settings> ParseSettings(const std::string& file,
                                            const std::string& text);

// Returns the address for peer connections to the seed with the IP address
// `ip`, or an empty string if there is no such seed.
std::string SeedAddress(const settings& config, const std::string& ip);

// Formats one line for each error: file, section, key, problem and allowed
// values.
std::string ToText(const settings_errors& errors);

}  // namespace bilberrycourse

#endif  // APP_SETTINGS_H_
