#ifndef APP_CLI_SUPPORT_H_
#define APP_CLI_SUPPORT_H_

// What the subcommands of operators share: options, calls and output.
//
//   cli_command command("config get", "Prints the configuration.");
//   command.Add("version", po::value(&version), "an old one");
//   return command.Run(words, [&](cli_session& session)
//                                 -> leaf::result<result_code> {
//     BOOST_LEAF_AUTO(body, session.Get("/config"));
//     session.Print(body, Text(body));
//     return result_code::kOk;
//   });
//
// Run() reports every failure. It returns the exit code of the failure or of
// the returned code. With --json, standard output carries exactly one JSON
// object: the answer or the problem details.

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
  // Further members of the problem details; errors and differences among them
  // are printed one on each line.
  boost::json::object members;
};

// One invocation: where to send requests and how to print.
class cli_session {
 public:
  boost::leaf::result<boost::json::object> Get(const std::string& target);
  // Sends `request` and returns the object of a 2xx answer. A lost answer to
  // a POST is kOutcomeUnknown.
  boost::leaf::result<boost::json::object> Send(cli_http_request request);
  // Sends a change with the operator token. A lost answer is kProposalLost
  // and names the change id to send again with.
  boost::leaf::result<boost::json::object> SendChange(
      const std::string& method, const std::string& target,
      boost::json::object body, const std::string& change_id);
  // Polls GET /status until every instance reports at least `version` in
  // force.
  boost::leaf::result<void> WaitInForce(std::uint64_t version,
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

// One subcommand with its options; --address, --timeout, --json and --help
// are always present.
class cli_command {
 public:
  cli_command(std::string usage, std::string description);

  void Add(const char* name, const boost::program_options::value_semantic* kind,
           const char* help);
  // Adds an option that stands without its name.
  void AddPositional(const char* name,
                     const boost::program_options::value_semantic* kind,
                     const char* help);
  // Adds the options of a change: --author, --reason, --change-id, --wait and
  // --token-file.
  void AddChangeOptions();

  int Run(const std::vector<std::string>& words,
          const std::function<boost::leaf::result<result_code>(cli_session&)>&
              body);

  const std::string& author() const { return author_; }
  const std::string& reason() const { return reason_; }
  // The one given, or a new one.
  const std::string& change_id() const { return change_id_; }
  // Prints an accepted change, after waiting for it if asked to.
  boost::leaf::result<result_code> FinishChange(cli_session& session,
                                                boost::json::object answer);

 private:
  // Returns false if only --help was asked for.
  boost::leaf::result<bool> Parse(const std::vector<std::string>& words,
                                  cli_session* session);

  std::string usage_;
  std::string description_;
  boost::program_options::options_description options_;
  boost::program_options::positional_options_description positional_;
  std::string author_;
  std::string reason_;
  std::string change_id_;
  std::uint32_t wait_s_ = 0;
  bool changes_ = false;
};

// Members of answers; missing or differing ones give an empty value.
std::string TextOf(const boost::json::object& object, std::string_view name);
std::int64_t NumberOf(const boost::json::object& object, std::string_view name);
boost::json::array ArrayOf(const boost::json::object& object,
                           std::string_view name);
// Strings as they are, other values as JSON.
std::string PlainText(const boost::json::value& value);
// JSON over several lines with two spaces of indentation.
std::string IndentedText(const boost::json::value& value);
// Left-aligned columns; the first row is the heading.
std::string TableText(const std::vector<std::vector<std::string>>& rows);

// UTC, such as 2026-12-04T09:30:00.250Z; empty for 0.
std::string TimeText(wall_time_ms time);
// Milliseconds since 1970, 2026-12-04T09:30:00Z, or a duration such as 90s,
// 15m, 2h or 3d, counted from `now` in the given direction.
std::optional<wall_time_ms> ParseTime(const std::string& text, wall_time_ms now,
                                      int direction);
wall_time_ms SystemTimeMs();

// Reads a file, or standard input for "-".
boost::leaf::result<std::string> ReadFile(const std::string& file);

}  // namespace bilberrycourse

#endif  // APP_CLI_SUPPORT_H_
