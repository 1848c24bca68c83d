#include <iostream>
#include <string>
#include <vector>

#include "app/serve.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

struct subcommand {
  std::string_view name;
  std::string_view help;
  int (*run)(const std::vector<std::string>& arguments);
};

constexpr subcommand kSubcommands[] = {
    {"serve", "run the daemon", RunServe},
    {"check-config", "check a settings file", RunCheckConfig},
};

int PrintUsage(std::ostream& out, int code) {
  out << "usage: bilberrycourse SUBCOMMAND [options]\n";
  for (const subcommand& each : kSubcommands) {
    out << "  " << each.name << ": " << each.help << "\n";
  }
  return code;
}

int Main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty() || words[0] == "--help") return PrintUsage(std::cout, 0);
  for (const subcommand& each : kSubcommands) {
    if (each.name != words[0]) continue;
    return each.run({words.begin() + 1, words.end()});
  }
  return PrintUsage(std::cerr,
                    Describe(result_code::kInvalidArguments).exit_code);
}

}  // namespace
}  // namespace bilberrycourse

int main(int argc, char** argv) { return bilberrycourse::Main(argc, argv); }
