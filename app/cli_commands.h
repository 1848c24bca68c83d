#ifndef APP_CLI_COMMANDS_H_
#define APP_CLI_COMMANDS_H_

// The subcommands of operators, one file for each group. Each takes the words
// after its name and returns the exit code.
//
//   int code = RunConfig({"get", "--address", "127.0.0.1:8001"});

#include <string>
#include <vector>

namespace bilberrycourse {

int RunConfig(const std::vector<std::string>& words);
int RunExceptions(const std::vector<std::string>& words);
int RunMembers(const std::vector<std::string>& words);
int RunStatus(const std::vector<std::string>& words);
int RunRequests(const std::vector<std::string>& words);
int RunQuery(const std::vector<std::string>& words);

}  // namespace bilberrycourse

#endif  // APP_CLI_COMMANDS_H_
