// Implements `requests`.

#include <map>

#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

}  // namespace

int RunRequests(const std::vector<std::string>& args) {
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
      args, [&](cli_session& session) -> leaf::result<result_code> {
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
        json::array selected;
        for (const auto& element : ArrayMember(answer, "requests")) {
          if (!element.is_object()) continue;
          json::object entry = element.get_object();
          const std::string entry_state = StringMember(entry, "state");
          if (!state.empty() && entry_state != state) continue;
          ++counts[entry_state];
          table.push_back(
              {entry["not_run"] == true ? entry_state + ", not run"
                                        : entry_state,
               TimeText(IntegerMember(entry, "issued_at_ms")),
               StringMember(entry, "caller"), StringMember(entry, "target"),
               StringMember(entry, "key"), StringMember(entry, "name")});
          selected.push_back(element);
        }
        answer["requests"] = std::move(selected);
        std::string text = TableText(table);
        for (const auto& [name, count] : counts) {
          text += name + ": " + std::to_string(count) + "\n";
        }
        if (const auto* truncated = answer.if_contains("truncated");
            truncated != nullptr && *truncated == true) {
          text += "truncated; repeat with a later --since\n";
        }
        session.Print(answer, text);
        return result_code::kOk;
      });
}

}  // namespace bilberrycourse
