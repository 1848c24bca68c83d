// Implements `config get`, `config set` and `config history`.

#include "app/cli.h"
#include "app/cli_commands.h"
#include "app/cli_support.h"
#include "bilberrycourse/config_document.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

int RunGet(const std::vector<std::string>& args) {
  std::uint64_t version = 0;
  cli_command command("config get [options]",
                      "Prints the configuration document in force, or an "
                      "older one. An older document becomes current again only "
                      "by `config set` on the current base version.");
  command.Add("version", po::value(&version), "print this version instead");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        if (version == 0) {
          BOOST_LEAF_AUTO(answer, session.Get("/config"));
          session.Print(answer,
                        "version " +
                            std::to_string(IntegerMember(answer, "version")) +
                            "\n" + IndentedText(answer["document"]));
          return result_code::kOk;
        }
        BOOST_LEAF_AUTO(answer, session.Get("/config/history"));
        for (const auto& element : ArrayMember(answer, "history")) {
          if (!element.is_object()) continue;
          json::object entry = element.get_object();
          if (IntegerMember(entry, "version") !=
              static_cast<std::int64_t>(version)) {
            continue;
          }
          session.Print(entry, "version " + std::to_string(version) + "\n" +
                                   IndentedText(entry["document"]));
          return result_code::kOk;
        }
        return leaf::new_error(cli_error{
            result_code::kInvalidArguments,
            "version " + std::to_string(version) + " is not in the history",
            {}});
      });
}

// Reads and validates a configuration document. It is validated before it is
// sent because the request carries the parsed document, from which the server
// cannot report the position of an error in the file.
leaf::result<json::value> ReadDocument(const std::string& file) {
  BOOST_LEAF_AUTO(text, ReadFile(file));
  std::vector<document_error> errors;
  const auto document = ParseConfig(text, &errors);
  if (document) return json::parse(document->text());
  cli_error error{result_code::kInvalidDocument, "", {}};
  json::array error_list;
  for (const auto& problem : errors) {
    error_list.push_back(
        json::object{{"path", problem.path}, {"message", problem.message}});
  }
  error.members["errors"] = std::move(error_list);
  return leaf::new_error(std::move(error));
}

int RunSet(const std::vector<std::string>& args) {
  std::string file;
  std::uint64_t base_version = 0;
  cli_command command("config set FILE [options]",
                      "Replaces the configuration document by that of FILE, "
                      "or of standard input for -.");
  command.AddPositional("file", po::value(&file)->required(),
                        "JSON document, or - for standard input");
  command.Add("base-version", po::value(&base_version)->required(),
              "version on which the document is based, 0 for the first");
  command.AddChangeOptions();
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(document, ReadDocument(file));
        BOOST_LEAF_AUTO(answer,
                        session.SendChange("POST", "/config",
                                           {{"base_version", base_version},
                                            {"author", command.author()},
                                            {"reason", command.reason()},
                                            {"document", std::move(document)}},
                                           command.change_id()));
        return command.FinishChange(session, std::move(answer));
      });
}

int RunHistory(const std::vector<std::string>& args) {
  std::uint32_t newest = 20;
  cli_command command("config history [options]",
                      "Lists accepted versions, the newest last. With --json "
                      "each version includes its document.");
  command.Add("newest", po::value(&newest)->default_value(newest),
              "number of versions");
  return command.Run(
      args, [&](cli_session& session) -> leaf::result<result_code> {
        BOOST_LEAF_AUTO(answer, session.Get("/config/history"));
        json::array history = ArrayMember(answer, "history");
        if (history.size() > newest) {
          history.erase(history.begin(),
                        history.end() - static_cast<std::ptrdiff_t>(newest));
        }
        std::vector<std::vector<std::string>> table = {
            {"VERSION", "ACCEPTED", "AUTHOR", "CHANGE ID", "REASON"}};
        for (const auto& element : history) {
          if (!element.is_object()) continue;
          const json::object& entry = element.get_object();
          table.push_back({std::to_string(IntegerMember(entry, "version")),
                           TimeText(IntegerMember(entry, "accepted_at_ms")),
                           StringMember(entry, "author"),
                           StringMember(entry, "change_id"),
                           StringMember(entry, "reason")});
        }
        answer["history"] = std::move(history);
        session.Print(answer, TableText(table));
        return result_code::kOk;
      });
}

constexpr cli_subcommand kSubcommands[] = {
    {"get", "print the document", RunGet},
    {"set", "replace the document", RunSet},
    {"history", "list accepted versions", RunHistory},
};

}  // namespace

int RunConfig(const std::vector<std::string>& args) {
  return RunSubcommand("bilberrycourse config", kSubcommands, args);
}

}  // namespace bilberrycourse
