#ifndef APP_CLI_H_
#define APP_CLI_H_

// Entry point and subcommand table of the `bilberrycourse` binary.
//
//   int main(int argc, char** argv) {
//     return bilberrycourse::RunCommandLine(argc, argv);
//   }
//
// The operator subcommands are HTTP clients that work with any entry instance.
// The exit code is 0 on success and otherwise the one that docs/errors.md lists
// for the result code.

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

struct cli_subcommand {
  std::string_view name;
  std::string_view help;
  // Takes the arguments that follow the name and returns the exit code.
  int (*run)(const std::vector<std::string>& args);
};

// Returns the top-level subcommands in the order in which --help prints them.
std::span<const cli_subcommand> Subcommands();

// Runs the subcommand that the command line names and returns its exit code.
int RunCommandLine(int argc, const char* const* argv);

// Runs the one of `subcommands` that the first argument names. Prints the usage
// to standard output for --help, and to standard error if the name is missing
// or unknown. `prefix` is the part of the command line before the name.
int RunSubcommand(std::string_view prefix,
                  std::span<const cli_subcommand> subcommands,
                  const std::vector<std::string>& args);

}  // namespace bilberrycourse

#endif  // APP_CLI_H_
