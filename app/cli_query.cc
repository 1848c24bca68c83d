// Implements `query`.

#include <iostream>

#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

struct query_options {
  std::string target;
  std::string body = "null";
  std::string body_file;
  std::string caller;
  std::string request_id;
  std::string key;
  std::uint32_t deadline_ms = 0;
  wall_time_ms issued_at_ms = 0;
  bool non_idempotent = false;
  bool keep = false;
};

leaf::result<cli_http_request> MakeRequest(query_options options) {
  if (!options.body_file.empty()) {
    BOOST_LEAF_ASSIGN(options.body, ReadFile(options.body_file));
  }
  boost::system::error_code error;
  json::value content = json::parse(options.body, error);
  if (error) {
    return leaf::new_error(cli_error{
        result_code::kInvalidArguments, "the query body is not JSON", {}});
  }
  const bool recorded = options.non_idempotent || options.keep;
  if (options.issued_at_ms == 0 && recorded) {
    options.issued_at_ms = SystemTimeMs();
    // A repetition of the request must carry the same time.
    std::cerr << "issued at ms: " << options.issued_at_ms << "\n";
  }
  json::object body{{"target", options.target},
                    {"caller", options.caller},
                    {"body", std::move(content)},
                    {"idempotent", !options.non_idempotent},
                    {"keep", options.keep}};
  if (options.deadline_ms != 0) body["deadline_ms"] = options.deadline_ms;
  if (!options.request_id.empty()) body["request_id"] = options.request_id;
  if (options.issued_at_ms != 0) body["issued_at_ms"] = options.issued_at_ms;
  cli_http_request request;
  request.method = "POST";
  request.target = "/query";
  request.body = json::serialize(body);
  request.idempotency_key = options.key;
  return request;
}

std::string AnswerText(const json::object& answer) {
  std::string text = "outcome: " + StringMember(answer, "outcome") + "\n";
  if (const auto* snapshot = answer.if_contains("snapshot")) {
    text += "snapshot: " + PlainText(*snapshot) + "\n";
  }
  if (const auto* value = answer.if_contains("coverage");
      value != nullptr && value->is_object()) {
    const json::object& coverage = value->get_object();
    text += "searched: " + std::to_string(IntegerMember(coverage, "searched")) +
            " of " + std::to_string(IntegerMember(coverage, "total")) +
            " shards\n";
    for (const auto& element : ArrayMember(coverage, "missing")) {
      if (!element.is_object()) continue;
      const json::object& shard = element.get_object();
      text += "missing: " + StringMember(shard, "service") + "/" +
              std::to_string(IntegerMember(shard, "shard")) + ": " +
              StringMember(shard, "reason") + "\n";
    }
  }
  for (const auto& element : ArrayMember(answer, "results")) {
    if (!element.is_object()) continue;
    json::object result = element.get_object();
    text += StringMember(result, "service") + "/" +
            std::to_string(IntegerMember(result, "shard")) + ": " +
            json::serialize(result["body"]) + "\n";
  }
  return text;
}

}  // namespace

int RunQuery(const std::vector<std::string>& args) {
  query_options options;
  cli_command command("query TARGET [options]",
                      "Sends one query and prints the answer. The exit code is "
                      "that of the answer's result code; a partial answer with "
                      "enough coverage gives 0.");
  command.AddPositional("target", po::value(&options.target)->required(),
                        "service or group");
  command.Add("caller", po::value(&options.caller)->required(),
              "name of the caller");
  command.Add("body", po::value(&options.body), "JSON body of the query");
  command.Add("body-file", po::value(&options.body_file),
              "file with the JSON body, or - for standard input");
  command.Add(
      "deadline-ms", po::value(&options.deadline_ms),
      "milliseconds until the deadline; the deadline of the policy by default");
  command.Add("request-id", po::value(&options.request_id),
              "id that is returned in the answer");
  command.Add("non-idempotent", po::bool_switch(&options.non_idempotent),
              "the request must run at most once; needs --key");
  command.Add("key", po::value(&options.key),
              "Idempotency-Key; use the same one to resend a request");
  command.Add(
      "issued-at-ms", po::value(&options.issued_at_ms),
      "time when the request was first sent, milliseconds since 1970; now by "
      "default");
  command.Add("keep", po::bool_switch(&options.keep),
              "record the request, so that `requests` lists it");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(request, MakeRequest(options));
        BOOST_LEAF_AUTO(answer, session.Send(std::move(request)));
        session.Print(answer, AnswerText(answer));
        // A partial answer below the required coverage is printed as well; only
        // the exit code reports the missing coverage.
        return ResultCodeFromNumber(
            static_cast<std::uint16_t>(IntegerMember(answer, "code")));
      });
}

}  // namespace bilberrycourse
