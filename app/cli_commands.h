#ifndef APP_CLI_COMMANDS_H_
#define APP_CLI_COMMANDS_H_

// The operator subcommands, one source file for each group. Each takes the
// arguments that follow its name and returns the exit code.
//
//   int code = RunConfig({"get", "--address", "127.0.0.1:8001"});

#include <string>
#include <vector>

namespace bilberrycourse {

int RunConfig(const std::vector<std::string>& args);
int RunExceptions(const std::vector<std::string>& args);
int RunMembers(const std::vector<std::string>& args);
int RunStatus(const std::vector<std::string>& args);
int RunRequests(const std::vector<std::string>& args);
int RunQuery(const std::vector<std::string>& args);

}  // namespace bilberrycourse

#endif  // APP_CLI_COMMANDS_H_
