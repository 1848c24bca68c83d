// members and status

#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// One table over the objects of an array, with the members as columns.
std::string ObjectTable(const json::array& rows,
                        const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> table = {columns};
  for (auto& heading : table[0]) {
    for (char& c : heading) {
      if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
    }
  }
  for (const auto& row : rows) {
    if (!row.is_object()) continue;
    auto& line = table.emplace_back();
    for (const auto& column : columns) {
      const auto* value = row.get_object().if_contains(column);
      line.push_back(value != nullptr ? PlainText(*value) : "-");
    }
  }
  return TableText(table);
}

// The members that are no lists, one on each line.
std::string PlainMembers(const json::object& object) {
  std::string text;
  for (const auto& member : object) {
    if (member.value().is_array() || member.value().is_object()) continue;
    text += std::string(member.key()) + ": " + PlainText(member.value()) + "\n";
  }
  return text;
}

}  // namespace

int RunMembers(const std::vector<std::string>& words) {
  cli_command command("members [options]",
                      "Lists the live instances, and the members of the "
                      "control group if the asked instance is one of them.");
  return command.Run(
      words, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/members"));
        std::string text =
            PlainMembers(answer) + "\n" +
            ObjectTable(ArrayOf(answer, "instances"),
                        {"instance", "status", "availability_zone", "roles",
                         "address", "peer_address", "incarnation"});
        if (const auto* control = answer.if_contains("control");
            control != nullptr && control->is_object()) {
          text += "\ncontrol group\n" + PlainMembers(control->get_object()) +
                  ObjectTable(ArrayOf(control->get_object(), "members"),
                              {"member", "instance", "voter"});
        }
        session.Print(answer, text);
        return result_code::kOk;
      });
}

int RunStatus(const std::vector<std::string>& words) {
  cli_command command("status [options]",
                      "Shows the control lease of the asked instance, the "
                      "version in force on every instance, and the backend "
                      "servers.");
  return command.Run(
      words, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/status"));
        session.Print(
            answer,
            PlainMembers(answer) + "\n" +
                ObjectTable(ArrayOf(answer, "in_force"),
                            {"instance", "version"}) +
                "\n" +
                ObjectTable(ArrayOf(answer, "backend_servers"),
                            {"service", "shard", "replica", "state", "versions",
                             "address", "availability_zone", "owner"}));
        return result_code::kOk;
      });
}

}  // namespace bilberrycourse
