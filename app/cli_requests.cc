// requests

#include <map>

#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

}  // namespace

int RunRequests(const std::vector<std::string>& words) {
  std::string since = "1h";
  std::string state;
  cli_command command(
      "requests [options]",
      "Lists kept and non-idempotent requests. A request is answered, "
      "unanswered (no outcome was recorded in time; `not run` if that is "
      "proven), unknown (it may have run), or running.");
  command.Add("since", po::value(&since)->default_value(since),
              "only requests issued since then: 2026-12-04T09:30:00Z, "
              "milliseconds since 1970, or a duration such as 2h");
  command.Add("state", po::value(&state),
              "only answered, unanswered, unknown or running ones");
  return command.Run(
      words, [&](cli_session& session) -> leaf::result<result_code> {
        const auto time = ParseTime(since, SystemTimeMs(), -1);
        if (!time) {
          return leaf::new_error(cli_error{
              result_code::kInvalidArguments, "--since is not a time", {}});
        }
        if (!state.empty() && state != "answered" && state != "unanswered" &&
            state != "unknown" && state != "running") {
          return leaf::new_error(cli_error{
              result_code::kInvalidArguments,
              "--state must be answered, unanswered, unknown or running",
              {}});
        }
        BOOST_LEAF_AUTO(
            answer, session.Get("/requests?since=" + std::to_string(*time)));
        std::vector<std::vector<std::string>> table = {
            {"STATE", "ISSUED", "CALLER", "TARGET", "KEY", "CODE"}};
        std::map<std::string, int> counts;
        json::array rows;
        for (const auto& row : ArrayOf(answer, "requests")) {
          if (!row.is_object()) continue;
          json::object entry = row.get_object();
          const std::string seen = TextOf(entry, "state");
          if (!state.empty() && seen != state) continue;
          ++counts[seen];
          table.push_back({entry["not_run"] == true ? seen + ", not run" : seen,
                           TimeText(NumberOf(entry, "issued_at_ms")),
                           TextOf(entry, "caller"), TextOf(entry, "target"),
                           TextOf(entry, "key"), TextOf(entry, "name")});
          rows.push_back(row);
        }
        answer["requests"] = std::move(rows);
        std::string text = TableText(table);
        for (const auto& [name, count] : counts) {
          text += name + ": " + std::to_string(count) + "\n";
        }
        if (const auto* truncated = answer.if_contains("truncated");
            truncated != nullptr && *truncated == true) {
          text += "truncated; ask again with a later --since\n";
        }
        session.Print(answer, text);
        return result_code::kOk;
      });
}

}  // namespace bilberrycourse
