#ifndef APP_CLI_SUPPORT_H_
#define APP_CLI_SUPPORT_H_

// Options, HTTP requests and output that the operator subcommands share.
//
//   cli_command command("config get", "Prints the configuration.");
//   command.Add("version", po::value(&version), "an old one");
//   return command.Run(
//       args, [&](cli_session& session) -> leaf::result<result_code> {
//         BOOST_LEAF_AUTO(body, session.Get("/config"));
//         session.Print(body, IndentedText(body));
//         return result_code::kOk;
//       });
//
// Run() prints every failure and returns the exit code of the failure or of the
// result code that the function returns. With --json, standard output receives
// exactly one JSON object: the answer or the problem details.

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "app/cli_http.h"
#include "app/settings.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Why a subcommand failed.
struct cli_error {
  result_code code = result_code::kInternal;
  // Printed after the explanation of the code.
  std::string detail;
  // Additional members of the problem details. Errors and differences in them
  // are printed one on each line.
  boost::json::object members;
};

// One invocation: sends requests to the chosen instance and prints results in
// the chosen format.
class cli_session {
 public:
  boost::leaf::result<boost::json::object> Get(const std::string& target);
  // Sends `request` and returns the object of a 2xx answer. If the answer to a
  // request other than GET is lost, the error is kOutcomeUnknown.
  boost::leaf::result<boost::json::object> Send(cli_http_request request);
  // Sends a change with the operator token. If the answer is lost, the error is
  // kProposalLost and its text names the change id to resend the change with.
  boost::leaf::result<boost::json::object> SendChange(
      const std::string& method, const std::string& target,
      boost::json::object body, const std::string& change_id);
  // Polls GET /status until every instance reports at least `version` in
  // force.
  boost::leaf::result<void> WaitUntilInForce(std::uint64_t version,
                                             std::chrono::seconds wait);

  // Prints `answer` on one line with --json, `text` otherwise.
  void Print(const boost::json::object& answer, const std::string& text) const;
  bool json() const { return json_; }

 private:
  friend class cli_command;

  boost::leaf::result<std::string> ReadToken() const;
  cli_http_result Exchange(const cli_http_request& request) const;

  socket_address address_;
  std::string token_file_;
  std::chrono::milliseconds timeout_{10000};
  bool json_ = false;
};

// One subcommand with its options; --json and --help are always present, and
// --address and --timeout unless it asks no instance.
class cli_command {
 public:
  cli_command(std::string usage, std::string description);

  void Add(const char* name, const boost::program_options::value_semantic* kind,
           const char* help);
  // Adds a positional argument, which also works as the option --`name`.
  void AddPositional(const char* name,
                     const boost::program_options::value_semantic* kind,
                     const char* help);
  // Adds the options of a change: --author, --reason, --change-id, --wait and
  // --token-file.
  void AddChangeOptions();
  // The subcommand asks no instance.
  void SetLocal() { is_local_ = true; }

  int Run(const std::vector<std::string>& args,
          const std::function<boost::leaf::result<result_code>(cli_session&)>&
              body);

  const std::string& author() const { return author_; }
  const std::string& reason() const { return reason_; }
  // The value of --change-id, or a new random id.
  const std::string& change_id() const { return change_id_; }
  // Prints an accepted change. With --wait, waits before that until the change
  // is in force on every instance.
  boost::leaf::result<result_code> FinishChange(cli_session& session,
                                                boost::json::object answer);

 private:
  // Returns false if --help was given; the help has then been printed.
  boost::leaf::result<bool> Parse(const std::vector<std::string>& args,
                                  cli_session* session);

  std::string usage_;
  std::string description_;
  boost::program_options::options_description options_;
  boost::program_options::positional_options_description positional_;
  std::string author_;
  std::string reason_;
  std::string change_id_;
  std::uint32_t wait_s_ = 0;
  bool is_change_ = false;
  bool is_local_ = false;
};

// Return a member of `object`, or an empty value (0 for numbers) if it is
// missing or has another type.
std::string StringMember(const boost::json::object& object,
                         std::string_view name);
std::int64_t IntegerMember(const boost::json::object& object,
                           std::string_view name);
boost::json::array ArrayMember(const boost::json::object& object,
                               std::string_view name);
// Returns strings unquoted, null as "-" and other values as JSON.
std::string PlainText(const boost::json::value& value);
// Formats JSON on several lines with an indentation of two spaces.
std::string IndentedText(const boost::json::value& value);
// Formats a table with left-aligned columns; the first row is the heading.
std::string TableText(const std::vector<std::vector<std::string>>& rows);

// Formats a time in UTC, such as 2026-12-04T09:30:00.250Z. Returns an empty
// string for 0.
std::string TimeText(wall_time_ms time);
// Parses milliseconds since 1970, a time such as 2026-12-04T09:30:00Z, or a
// duration such as 90s, 15m, 2h or 3d. A duration is added to `now` if
// `direction` is 1 and subtracted from it if `direction` is -1.
std::optional<wall_time_ms> ParseTime(const std::string& text, wall_time_ms now,
                                      int direction);
wall_time_ms SystemTimeMs();

// Reads a file, or standard input for "-".
boost::leaf::result<std::string> ReadFile(const std::string& file);

}  // namespace bilberrycourse

#endif  // APP_CLI_SUPPORT_H_
