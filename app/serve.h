#ifndef APP_SERVE_H_
#define APP_SERVE_H_

// The subcommands that read a settings file.
//
//   int code = RunServe({"--config", "e1.ini"});

#include <string>
#include <vector>

namespace bilberrycourse {

// Runs the daemon until SIGTERM or SIGINT; returns the exit code.
int RunServe(const std::vector<std::string>& args);

// Validates a settings file and prints every error; returns the exit code.
int RunCheckConfig(const std::vector<std::string>& args);

}  // namespace bilberrycourse

#endif  // APP_SERVE_H_
