// Implements `exceptions list`, `exceptions add` and `exceptions remove`.

#include "app/cli.h"
#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

int RunList(const std::vector<std::string>& args) {
  cli_command command("exceptions list [options]",
                      "Lists the published exceptions from equal treatment.");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/exceptions"));
        std::vector<std::vector<std::string>> table = {
            {"ID", "CALLER", "WEIGHT", "DEADLINE_MS", "EXPIRES", "AUTHOR",
             "REASON"}};
        for (const auto& element : ArrayMember(answer, "exceptions")) {
          if (!element.is_object()) continue;
          json::object entry = element.get_object();
          std::string expires = TimeText(IntegerMember(entry, "expires_ms"));
          if (entry["expired"] == true) expires += " (expired)";
          table.push_back(
              {StringMember(entry, "id"), StringMember(entry, "caller"),
               PlainText(entry["caller_weight"]),
               PlainText(entry["deadline_ms"]), expires.empty() ? "-" : expires,
               StringMember(entry, "author"), StringMember(entry, "reason")});
        }
        std::string text = TableText(table);
        if (const auto* confirmed = answer.if_contains("confirmed");
            confirmed != nullptr && *confirmed == false) {
          text += "not confirmed: the control group has no quorum\n";
        }
        session.Print(answer, text);
        return result_code::kOk;
      });
}

int RunAdd(const std::vector<std::string>& args) {
  std::string id;
  std::string caller;
  std::string expires;
  double weight = 0;
  double deadline_ms = 0;
  std::uint64_t base_version = 0;
  cli_command command("exceptions add ID [options]",
                      "Publishes an exception for one caller.");
  command.AddPositional("id", po::value(&id)->required(),
                        "id of the exception");
  command.Add("caller", po::value(&caller)->required(), "name of the caller");
  command.Add("caller-weight", po::value(&weight),
              "weight in fair queues; 1 is equal treatment");
  command.Add("deadline-ms", po::value(&deadline_ms),
              "default and longest deadline of the caller");
  command.Add("expires", po::value(&expires),
              "time of expiry: 2026-12-04T09:30:00Z, milliseconds since 1970, "
              "or a duration from now such as 2h; does not expire by default");
  command.Add("base-version", po::value(&base_version),
              "refuse unless this is the current version");
  command.AddChangeOptions();
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        json::object exception{{"id", id},
                               {"caller", caller},
                               {"author", command.author()},
                               {"reason", command.reason()}};
        if (weight != 0) exception["caller_weight"] = weight;
        if (deadline_ms != 0) exception["deadline_ms"] = deadline_ms;
        if (!expires.empty()) {
          const auto time = ParseTime(expires, SystemTimeMs(), 1);
          if (!time) {
            return leaf::new_error(cli_error{
                result_code::kInvalidArguments, "--expires is not a time", {}});
          }
          exception["expires_ms"] = *time;
        }
        json::object body{{"exception", std::move(exception)}};
        if (base_version != 0) body["base_version"] = base_version;
        BOOST_LEAF_AUTO(
            answer, session.SendChange("POST", "/exceptions", std::move(body),
                                       command.change_id()));
        return command.FinishChange(session, std::move(answer));
      });
}

int RunRemove(const std::vector<std::string>& args) {
  std::string id;
  std::uint64_t base_version = 0;
  cli_command command("exceptions remove ID [options]", "Ends an exception.");
  command.AddPositional("id", po::value(&id)->required(),
                        "id of the exception");
  command.Add("base-version", po::value(&base_version),
              "refuse unless this is the current version");
  command.AddChangeOptions();
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        // The id becomes a segment of the URL path, so only characters that
        // need no escaping are accepted.
        if (id.find_first_not_of(
                "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUV"
                "WXYZ0123456789-_.") != std::string::npos) {
          return leaf::new_error(
              cli_error{result_code::kUnknownException, id, {}});
        }
        json::object body{{"author", command.author()},
                          {"reason", command.reason()}};
        if (base_version != 0) body["base_version"] = base_version;
        BOOST_LEAF_AUTO(
            answer, session.SendChange("DELETE", "/exceptions/" + id,
                                       std::move(body), command.change_id()));
        return command.FinishChange(session, std::move(answer));
      });
}

constexpr cli_subcommand kSubcommands[] = {
    {"list", "list the exceptions", RunList},
    {"add", "publish an exception", RunAdd},
    {"remove", "end an exception", RunRemove},
};

}  // namespace

int RunExceptions(const std::vector<std::string>& args) {
  return RunSubcommand("bilberrycourse exceptions", kSubcommands, args);
}

}  // namespace bilberrycourse
