#ifndef APP_CLI_H_
#define APP_CLI_H_

// The command line of the one binary.
//
//   int main(int argc, char** argv) {
//     return bilberrycourse::RunCommandLine(argc, argv);
//   }
//
// The subcommands of operators are HTTP clients of any entry instance. The
// exit code is that of the result code (docs/errors.md), 0 on success.

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

struct cli_subcommand {
  std::string_view name;
  std::string_view help;
  // Takes the words after the name and returns the exit code.
  int (*run)(const std::vector<std::string>& words);
};

// All subcommands, in the order in which --help prints them.
std::span<const cli_subcommand> Subcommands();

int RunCommandLine(int argc, const char* const* argv);

// Runs the entry of `table` that the first word names; prints the table for
// --help and for unknown words. `prefix` is printed before the names.
int RunSubcommand(std::string_view prefix,
                  std::span<const cli_subcommand> table,
                  const std::vector<std::string>& words);

}  // namespace bilberrycourse

#endif  // APP_CLI_H_
