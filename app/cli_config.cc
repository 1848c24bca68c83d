// Implements `config get`, `config set`, `config history` and `config check`.

#include <algorithm>
#include <optional>

#include "app/cli.h"
#include "app/cli_commands.h"
#include "app/cli_support.h"
#include "bilberrycourse/config_check/config_check.h"
#include "bilberrycourse/config_check/config_difference.h"
#include "bilberrycourse/config_document.h"
#include "platform/platform_protocol.h"

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

// The checks that the server applies to a configuration of routes.
constexpr server_config_check kServerChecks[] = {CheckRouteConfig};

constexpr int kExitClean = 0;
constexpr int kExitWarnings = 1;
constexpr int kExitErrors = 2;

// Reads a configuration of routes. Adds a finding if it can't be parsed.
leaf::result<std::optional<route_config>> ReadRouteConfig(
    const std::string& file, std::vector<config_finding>* findings) {
  BOOST_LEAF_AUTO(text, ReadFile(file));
  std::string problem;
  auto config = MakePlatformProtocol()->ReadRoutes(text, &problem);
  if (!config.has_value()) {
    findings->push_back({finding_kind::kRefused, "file " + file, problem});
  }
  return config;
}

int ExitCodeOf(const std::vector<config_finding>& findings) {
  int code = kExitClean;
  for (const config_finding& finding : findings) {
    const bool error =
        Describe(finding.kind).severity == finding_severity::kError;
    code = std::max(code, error ? kExitErrors : kExitWarnings);
  }
  return code;
}

json::array ToJson(const std::vector<config_finding>& findings) {
  json::array out;
  for (const config_finding& finding : findings) {
    const finding_info& info = Describe(finding.kind);
    out.push_back(json::object{{"severity", NameOf(info.severity)},
                               {"finding", info.name},
                               {"subject", finding.subject},
                               {"detail", finding.detail}});
  }
  return out;
}

json::array ToJson(const std::vector<config_change>& changes) {
  json::array out;
  for (const config_change& change : changes) {
    json::array fields;
    for (const config_field_change& field : change.fields) {
      fields.push_back(json::object{{"field", field.field},
                                    {"before", field.before},
                                    {"after", field.after}});
    }
    out.push_back(json::object{{"change", NameOf(change.kind)},
                               {"entry", NameOf(change.entry)},
                               {"name", change.name},
                               {"fields", std::move(fields)}});
  }
  return out;
}

std::string TextOfCheck(const std::vector<config_finding>& findings,
                        const std::vector<config_change>& changes) {
  std::string text;
  for (const config_finding& finding : findings) {
    const finding_info& info = Describe(finding.kind);
    text.append(NameOf(info.severity)).append(" ").append(info.name);
    text += ": " + finding.subject + ": " + finding.detail + "\n";
  }
  for (const config_change& change : changes) {
    text.append(NameOf(change.kind)).append(" ").append(NameOf(change.entry));
    if (!change.name.empty()) text += " " + change.name;
    text += "\n";
    for (const config_field_change& field : change.fields) {
      text.append("  ").append(field.field);
      text += ": " + field.before + " -> " + field.after + "\n";
    }
  }
  if (findings.empty()) text += "no findings\n";
  return text;
}

int RunCheck(const std::vector<std::string>& args) {
  std::string file;
  std::string against;
  int exit_code = kExitClean;
  cli_command command(
      "config check FILE [options]",
      "Checks a configuration of routes without sending it: what the server "
      "would refuse, entries that can never match, and limits that contradict "
      "each other. The exit code is 0 without findings, 1 with warnings and 2 "
      "with errors. No instance is asked.");
  command.AddPositional("file", po::value(&file)->required(),
                        "JSON document, or - for standard input");
  command.Add("against", po::value(&against),
              "list the differences from this file");
  command.SetLocal();
  const int failure =
      command.Run(args, [&](cli_session& session) -> leaf::result<result_code> {
        std::vector<config_finding> findings;
        std::vector<config_change> changes;
        BOOST_LEAF_AUTO(config, ReadRouteConfig(file, &findings));
        if (config.has_value()) {
          findings = CheckConfig(*config, kServerChecks, {});
        }
        if (!against.empty()) {
          BOOST_LEAF_AUTO(other, ReadRouteConfig(against, &findings));
          if (config.has_value() && other.has_value()) {
            changes = CompareConfigs(*other, *config);
          }
        }
        exit_code = ExitCodeOf(findings);
        session.Print({{"exit_code", exit_code},
                       {"findings", ToJson(findings)},
                       {"changes", ToJson(changes)}},
                      TextOfCheck(findings, changes));
        return result_code::kOk;
      });
  return failure != 0 ? failure : exit_code;
}

constexpr cli_subcommand kSubcommands[] = {
    {"get", "print the document", RunGet},
    {"set", "replace the document", RunSet},
    {"history", "list accepted versions", RunHistory},
    {"check", "check a configuration of routes before it is sent", RunCheck},
};

}  // namespace

int RunConfig(const std::vector<std::string>& args) {
  return RunSubcommand("bilberrycourse config", kSubcommands, args);
}

}  // namespace bilberrycourse
