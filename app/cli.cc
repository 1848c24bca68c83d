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

void PrintUsage(std::string_view prefix,
                std::span<const cli_subcommand> subcommands,
                std::ostream& out) {
  out << "Usage: " << prefix << " SUBCOMMAND [options]\n\nSubcommands:\n";
  for (const cli_subcommand& subcommand : subcommands) {
    out << "  " << std::left << std::setw(14) << subcommand.name
        << subcommand.help << "\n";
  }
  out << "\nEach subcommand has --help.\n";
}

}  // namespace

std::span<const cli_subcommand> Subcommands() { return kSubcommands; }

int RunSubcommand(std::string_view prefix,
                  std::span<const cli_subcommand> subcommands,
                  const std::vector<std::string>& args) {
  if (!args.empty() && (args[0] == "--help" || args[0] == "-h")) {
    PrintUsage(prefix, subcommands, std::cout);
    return 0;
  }
  if (!args.empty()) {
    const auto found =
        std::ranges::find(subcommands, args[0], &cli_subcommand::name);
    if (found != subcommands.end()) {
      return found->run({args.begin() + 1, args.end()});
    }
    std::cerr << "unknown subcommand: " << args[0] << "\n";
  }
  PrintUsage(prefix, subcommands, std::cerr);
  return Describe(result_code::kInvalidArguments).exit_code;
}

int RunCommandLine(int argc, const char* const* argv) {
  return RunSubcommand("bilberrycourse", kSubcommands,
                       {argv + std::min(argc, 1), argv + argc});
}

}  // namespace bilberrycourse
