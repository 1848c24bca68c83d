// Implements `members` and `status`.

#include "app/cli_commands.h"
#include "app/cli_support.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Formats an array of objects as a table with one line for each object and one
// column for each of the named members.
std::string ObjectTable(const json::array& objects,
                        const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> table = {columns};
  for (auto& heading : table[0]) {
    for (char& c : heading) {
      if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
    }
  }
  for (const auto& element : objects) {
    if (!element.is_object()) continue;
    auto& line = table.emplace_back();
    for (const auto& column : columns) {
      const auto* value = element.get_object().if_contains(column);
      line.push_back(value != nullptr ? PlainText(*value) : "-");
    }
  }
  return TableText(table);
}

// Formats the members with scalar values, one on each line.
std::string ScalarMembers(const json::object& object) {
  std::string text;
  for (const auto& member : object) {
    if (member.value().is_array() || member.value().is_object()) continue;
    text += std::string(member.key()) + ": " + PlainText(member.value()) + "\n";
  }
  return text;
}

}  // namespace

int RunMembers(const std::vector<std::string>& args) {
  cli_command command("members [options]",
                      "Lists the live instances, and the members of the "
                      "control group if the queried instance is one of them.");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/members"));
        std::string text =
            ScalarMembers(answer) + "\n" +
            ObjectTable(ArrayMember(answer, "instances"),
                        {"instance", "status", "availability_zone", "roles",
                         "address", "peer_address", "incarnation"});
        if (const auto* control = answer.if_contains("control");
            control != nullptr && control->is_object()) {
          text += "\ncontrol group\n" + ScalarMembers(control->get_object()) +
                  ObjectTable(ArrayMember(control->get_object(), "members"),
                              {"member", "instance", "voter"});
        }
        session.Print(answer, text);
        return result_code::kOk;
      });
}

int RunStatus(const std::vector<std::string>& args) {
  cli_command command("status [options]",
                      "Shows the control lease of the queried instance, the "
                      "version in force on every instance, and the backend "
                      "servers.");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/status"));
        session.Print(
            answer,
            ScalarMembers(answer) + "\n" +
                ObjectTable(ArrayMember(answer, "in_force"),
                            {"instance", "version"}) +
                "\n" +
                ObjectTable(ArrayMember(answer, "backend_servers"),
                            {"service", "shard", "replica", "state", "versions",
                             "address", "availability_zone", "owner"}));
        return result_code::kOk;
      });
}

}  // namespace bilberrycourse
