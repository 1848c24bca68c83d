#include "app/cli_support.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include "app/problem_details.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

constexpr char kTokenVariable[] = "BILBERRYCOURSE_TOKEN";
constexpr std::chrono::milliseconds kInForcePollInterval{200};

std::string NewChangeId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) return {};
  std::string id = "change-";
  for (const unsigned char byte : bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    id += kDigits[byte >> 4];
    id += kDigits[byte & 15];
  }
  return id;
}

// Formats the outcome of a rejected query and the errors and differences of a
// rejected change, one on each line.
std::string RefusalLines(const json::object& members) {
  std::string lines;
  if (const std::string outcome = StringMember(members, "outcome");
      !outcome.empty()) {
    lines += "\n  outcome: " + outcome;
  }
  for (const auto& error : ArrayMember(members, "errors")) {
    if (!error.is_object()) continue;
    lines += "\n  " + StringMember(error.get_object(), "path") + ": " +
             StringMember(error.get_object(), "message");
  }
  if (const auto* winner = members.if_contains("winner");
      winner != nullptr && winner->is_object()) {
    const json::object& accepted = winner->get_object();
    lines += "\n  version " +
             std::to_string(IntegerMember(accepted, "version")) + " by " +
             StringMember(accepted, "author") + ": " +
             StringMember(accepted, "reason");
  }
  for (const auto& [list, title] :
       {std::pair("changed_since_base", "changed since the base version"),
        std::pair("difference", "current version against the refused one")}) {
    const json::array differences = ArrayMember(members, list);
    if (!differences.empty()) lines += "\n  " + std::string(title) + ":";
    for (const auto& element : differences) {
      if (!element.is_object()) continue;
      const json::object& difference = element.get_object();
      const auto value_text = [&difference](std::string_view name) {
        const auto* value = difference.if_contains(name);
        return value == nullptr ? std::string("(absent)")
                                : json::serialize(*value);
      };
      lines += "\n    " + StringMember(difference, "path") + ": " +
               value_text("before") + " -> " + value_text("after");
    }
  }
  return lines;
}

cli_error ErrorFromAnswer(const cli_http_result& answer) {
  auto problem = ParseProblem(answer.body);
  if (!problem) {
    return {result_code::kInternal,
            "the answer with status " + std::to_string(answer.status) +
                " has no problem details",
            {}};
  }
  return {problem->code, problem->detail, std::move(problem->members)};
}

void AppendIndented(const json::value& value, const std::string& indent,
                    std::string* out) {
  const std::string inner_indent = indent + "  ";
  if (value.is_object() && !value.get_object().empty()) {
    std::string separator = "{\n";
    for (const auto& member : value.get_object()) {
      *out += std::exchange(separator, ",\n") + inner_indent +
              json::serialize(json::string(member.key())) + ": ";
      AppendIndented(member.value(), inner_indent, out);
    }
    *out += "\n" + indent + "}";
  } else if (value.is_array() && !value.get_array().empty()) {
    std::string separator = "[\n";
    for (const auto& element : value.get_array()) {
      *out += std::exchange(separator, ",\n") + inner_indent;
      AppendIndented(element, inner_indent, out);
    }
    *out += "\n" + indent + "]";
  } else {
    *out += json::serialize(value);
  }
}

// Prints `error` and returns its exit code.
int ReportError(const cli_error& error, bool as_json) {
  const result_code_info& info = Describe(error.code);
  std::cerr << "error " << info.number << " " << info.name << ": "
            << info.explanation;
  if (!error.detail.empty()) std::cerr << " " << error.detail;
  std::cerr << RefusalLines(error.members) << "\n";
  if (as_json) {
    std::cout << ProblemText(error.code, error.detail, error.members) << "\n";
  }
  return info.exit_code;
}

}  // namespace

cli_http_result cli_session::Exchange(const cli_http_request& request) const {
  return SendHttp(address_, request, timeout_);
}

leaf::result<json::object> cli_session::Get(const std::string& target) {
  cli_http_request request;
  request.target = target;
  return Send(std::move(request));
}

leaf::result<json::object> cli_session::Send(cli_http_request request) {
  const cli_http_result answer = Exchange(request);
  if (answer.failure != http_failure::kNone) {
    const bool may_have_run = answer.failure == http_failure::kResponseLost &&
                              request.method != "GET";
    return leaf::new_error(cli_error{
        may_have_run ? result_code::kOutcomeUnknown : result_code::kUnreachable,
        address_.ToText() + ": " + answer.error,
        {}});
  }
  boost::system::error_code error;
  json::value body = json::parse(answer.body, error);
  if (answer.status / 100 != 2) return leaf::new_error(ErrorFromAnswer(answer));
  if (error || !body.is_object()) {
    return leaf::new_error(cli_error{
        result_code::kInternal, "the answer is not a JSON object", {}});
  }
  return std::move(body.get_object());
}

leaf::result<std::string> cli_session::ReadToken() const {
  std::string token;
  if (!token_file_.empty()) {
    BOOST_LEAF_ASSIGN(token, ReadFile(token_file_));
  } else if (const char* variable = std::getenv(kTokenVariable)) {
    token = variable;
  }
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
    token.pop_back();
  }
  // A control character, such as a line break, would end the header field and
  // allow further fields to be injected.
  if (token.empty() || std::ranges::any_of(token, [](unsigned char c) {
        return c < ' ' || c == 0x7f;
      })) {
    return leaf::new_error(cli_error{
        result_code::kUnauthorized,
        "no usable token; give --token-file or set BILBERRYCOURSE_TOKEN",
        {}});
  }
  return token;
}

leaf::result<json::object> cli_session::SendChange(
    const std::string& method, const std::string& target, json::object body,
    const std::string& change_id) {
  BOOST_LEAF_AUTO(token, ReadToken());
  body["change_id"] = change_id;
  cli_http_request request;
  request.method = method;
  request.target = target;
  request.body = json::serialize(body);
  request.token = std::move(token);
  // Printed before the request is sent, so that the operator knows the id even
  // if the command is interrupted.
  std::cerr << "change id: " << change_id << "\n";
  const cli_http_result answer = Exchange(request);
  const std::string hint =
      "resend it with the same content and --change-id " + change_id;
  if (answer.failure == http_failure::kResponseLost) {
    return leaf::new_error(
        cli_error{result_code::kProposalLost,
                  address_.ToText() + ": " + answer.error + "; " + hint,
                  {{"change_id", change_id}}});
  }
  if (answer.failure == http_failure::kUnreachable) {
    return leaf::new_error(cli_error{
        result_code::kUnreachable,
        address_.ToText() + ": " + answer.error + "; nothing was sent",
        {{"change_id", change_id}}});
  }
  if (answer.status / 100 != 2) {
    cli_error error = ErrorFromAnswer(answer);
    error.members["change_id"] = change_id;
    // With these codes it is unknown whether the change was accepted.
    if (error.code == result_code::kProposalLost ||
        error.code == result_code::kInternal) {
      error.detail += (error.detail.empty() ? "" : "; ") + hint;
    }
    return leaf::new_error(std::move(error));
  }
  boost::system::error_code failed;
  json::value parsed = json::parse(answer.body, failed);
  if (failed || !parsed.is_object()) {
    return leaf::new_error(cli_error{result_code::kProposalLost,
                                     "the answer is not a JSON object; " + hint,
                                     {{"change_id", change_id}}});
  }
  parsed.get_object()["change_id"] = change_id;
  return std::move(parsed.get_object());
}

leaf::result<void> cli_session::WaitUntilInForce(std::uint64_t version,
                                                 std::chrono::seconds wait) {
  const auto end = std::chrono::steady_clock::now() + wait;
  std::string progress = "no instance reported";
  while (true) {
    const cli_http_result answer = Exchange({"GET", "/status", {}, {}, {}});
    boost::system::error_code error;
    json::value body = json::parse(answer.body, error);
    if (answer.failure == http_failure::kNone && !error && body.is_object()) {
      const json::array instances = ArrayMember(body.get_object(), "in_force");
      std::string lagging;
      for (const auto& element : instances) {
        if (!element.is_object()) continue;
        // An instance that has not reported has no version, which counts as 0.
        const std::int64_t reported =
            IntegerMember(element.get_object(), "version");
        if (static_cast<std::uint64_t>(reported) >= version) continue;
        lagging += (lagging.empty() ? "" : ", ") +
                   StringMember(element.get_object(), "instance") +
                   " (version " + std::to_string(reported) + ")";
      }
      if (!instances.empty() && lagging.empty()) return {};
      if (!instances.empty()) progress = "behind: " + lagging;
    }
    if (std::chrono::steady_clock::now() + kInForcePollInterval > end) break;
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  return leaf::new_error(
      cli_error{result_code::kNotInForceYet,
                "version " + std::to_string(version) + "; " + progress,
                {{"version", version}}});
}

void cli_session::Print(const json::object& answer,
                        const std::string& text) const {
  if (json_) {
    std::cout << json::serialize(answer) << "\n";
  } else {
    std::cout << text << (text.ends_with('\n') || text.empty() ? "" : "\n");
  }
}

cli_command::cli_command(std::string usage, std::string description)
    : usage_(std::move(usage)),
      description_(std::move(description)),
      options_("Options") {}

void cli_command::Add(const char* name, const po::value_semantic* kind,
                      const char* help) {
  options_.add_options()(name, kind, help);
}

void cli_command::AddPositional(const char* name,
                                const po::value_semantic* kind,
                                const char* help) {
  Add(name, kind, help);
  positional_.add(name, 1);
}

void cli_command::AddChangeOptions() {
  is_change_ = true;
  Add("author", po::value(&author_), "who makes the change");
  Add("reason", po::value(&reason_), "why the change is made");
  Add("change-id", po::value(&change_id_),
      "id of a change that is resent; a new one by default");
  Add("wait", po::value(&wait_s_),
      "seconds to wait until the change is in force on every instance");
}

leaf::result<bool> cli_command::Parse(const std::vector<std::string>& args,
                                      cli_session* session) {
  std::string address;
  double timeout_s = 10;
  if (!is_local_) {
    Add("address", po::value(&address)->required(),
        "IP:PORT of any entry instance");
    Add("timeout", po::value(&timeout_s)->default_value(timeout_s),
        "seconds to wait for an answer");
  }
  Add("json", po::bool_switch(&session->json_),
      "print one JSON object for scripts");
  Add("help", po::bool_switch(), "print this help");
  if (is_change_) {
    Add("token-file", po::value(&session->token_file_),
        "file with the operator token; otherwise the environment variable "
        "BILBERRYCOURSE_TOKEN is used");
  }
  try {
    po::variables_map values;
    po::store(po::command_line_parser(args)
                  .options(options_)
                  .positional(positional_)
                  .run(),
              values);
    if (values["help"].as<bool>()) {
      std::cout << "Usage: bilberrycourse " << usage_ << "\n\n"
                << description_ << "\n\n"
                << options_;
      return false;
    }
    session->json_ = values["json"].as<bool>();
    po::notify(values);
  } catch (const po::error& error) {
    return leaf::new_error(
        cli_error{result_code::kInvalidArguments,
                  std::string(error.what()) + "; see bilberrycourse " +
                      usage_.substr(0, usage_.find(" [")) + " --help",
                  {}});
  }
  if (!is_local_ && !ParseSocketAddress(address, &session->address_)) {
    return leaf::new_error(
        cli_error{result_code::kInvalidArguments,
                  "--address must be an IP number with a port",
                  {}});
  }
  constexpr double kMaxTimeoutSeconds = 3600;
  if (!(timeout_s > 0 && timeout_s <= kMaxTimeoutSeconds)) {
    return leaf::new_error(cli_error{result_code::kInvalidArguments,
                                     "--timeout must be above 0 and at most "
                                     "3600",
                                     {}});
  }
  session->timeout_ =
      std::chrono::milliseconds(static_cast<std::int64_t>(timeout_s * 1000));
  if (is_change_ && (author_.empty() || reason_.empty())) {
    return leaf::new_error(cli_error{
        result_code::kReasonMissing, "give --author and --reason", {}});
  }
  if (is_change_ && change_id_.empty()) change_id_ = NewChangeId();
  return true;
}

int cli_command::Run(
    const std::vector<std::string>& args,
    const std::function<leaf::result<result_code>(cli_session&)>& body) {
  cli_session session;
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(parsed, Parse(args, &session));
        if (!parsed) return 0;
        BOOST_LEAF_AUTO(code, body(session));
        return Describe(code).exit_code;
      },
      [&](const cli_error& error) { return ReportError(error, session.json_); },
      [&] {
        return ReportError({result_code::kInternal, "", {}}, session.json_);
      });
}

leaf::result<result_code> cli_command::FinishChange(cli_session& session,
                                                    json::object answer) {
  const auto version =
      static_cast<std::uint64_t>(IntegerMember(answer, "version"));
  std::string text = "accepted as version " + std::to_string(version);
  if (wait_s_ > 0) {
    BOOST_LEAF_CHECK(
        session.WaitUntilInForce(version, std::chrono::seconds(wait_s_)));
    answer["in_force"] = true;
    text += ", in force on every instance";
  }
  session.Print(answer, text);
  return result_code::kOk;
}

std::string StringMember(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::int64_t IntegerMember(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return 0;
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? 0 : number;
}

json::array ArrayMember(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array()
                                               : json::array();
}

std::string PlainText(const json::value& value) {
  if (value.is_string()) return std::string(value.get_string());
  return value.is_null() ? "-" : json::serialize(value);
}

std::string IndentedText(const json::value& value) {
  std::string text;
  AppendIndented(value, "", &text);
  return text;
}

std::string TableText(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string TimeText(wall_time_ms time) {
  if (time == 0) return {};
  const std::time_t seconds = time / 1000;
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) return std::to_string(time);
  std::array<char, 32> buffer{};
  std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(time % 1000));
  return std::string(buffer.data()) + fraction.data();
}

std::optional<wall_time_ms> ParseTime(const std::string& text, wall_time_ms now,
                                      int direction) {
  wall_time_ms number = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc() && last == end) {
    if (number < 0) return std::nullopt;
    return number;
  }
  if (error == std::errc() && last + 1 == end && number >= 0) {
    constexpr std::string_view kUnits = "smhd";
    constexpr std::array<wall_time_ms, 4> kFactors = {1000, 60000, 3600000,
                                                      86400000};
    const std::size_t unit = kUnits.find(*last);
    constexpr wall_time_ms kMaxDurationUnits = 1000000000;
    if (unit == std::string_view::npos || number > kMaxDurationUnits) {
      return std::nullopt;
    }
    return now + direction * number * kFactors[unit];
  }
  std::tm parts{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr || std::string_view(rest) != "Z") return std::nullopt;
  return static_cast<wall_time_ms>(timegm(&parts)) * 1000;
}

wall_time_ms SystemTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

leaf::result<std::string> ReadFile(const std::string& file) {
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file, std::ios::binary);
  if (in) text << in.rdbuf();
  if (!in || in.bad()) {
    return leaf::new_error(
        cli_error{result_code::kInvalidArguments, "cannot read " + file, {}});
  }
  return text.str();
}

}  // namespace bilberrycourse
