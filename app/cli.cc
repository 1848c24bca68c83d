#include "app/cli.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

#include "app/cli_commands.h"
#include "app/serve.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

constexpr cli_subcommand kSubcommands[] = {
    {"serve", "run the daemon", RunServe},
    {"check-config", "check a settings file", RunCheckConfig},
    {"config", "read, change and list the configuration", RunConfig},
    {"exceptions", "list, add and remove exceptions", RunExceptions},
    {"members", "list the instances and the control members", RunMembers},
    {"status", "show the configuration in force and the backend servers",
     RunStatus},
    {"requests", "list recorded requests and whether they were answered",
     RunRequests},
    {"query", "send one query", RunQuery},
};

void PrintTable(std::string_view prefix, std::span<const cli_subcommand> table,
                std::ostream& out) {
  out << "Usage: " << prefix << " SUBCOMMAND [options]\n\nSubcommands:\n";
  for (const cli_subcommand& row : table) {
    out << "  " << std::left << std::setw(14) << row.name << row.help << "\n";
  }
  out << "\nEach subcommand has --help.\n";
}

}  // namespace

std::span<const cli_subcommand> Subcommands() { return kSubcommands; }

int RunSubcommand(std::string_view prefix,
                  std::span<const cli_subcommand> table,
                  const std::vector<std::string>& words) {
  if (!words.empty() && (words[0] == "--help" || words[0] == "-h")) {
    PrintTable(prefix, table, std::cout);
    return 0;
  }
  if (!words.empty()) {
    const auto row = std::ranges::find(table, words[0], &cli_subcommand::name);
    if (row != table.end()) {
      return row->run({words.begin() + 1, words.end()});
    }
    std::cerr << "unknown subcommand: " << words[0] << "\n";
  }
  PrintTable(prefix, table, std::cerr);
  return Describe(result_code::kInvalidArguments).exit_code;
}

int RunCommandLine(int argc, const char* const* argv) {
  return RunSubcommand("bilberrycourse", kSubcommands,
                       {argv + std::min(argc, 1), argv + argc});
}

}  // namespace bilberrycourse
