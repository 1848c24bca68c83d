#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>

#include "app/cli.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr char kDocument[] = R"({"version":1,"routes":[
  {"name":"look","host":"h.example","pathPrefix":"/look/",
   "routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":500,
   "backend":"desk","maxAttempts":1}],
  "services":[{"name":"desk","healthPath":"/health","maxConnections":10}]})";

class cli_config_check_test : public ::testing::Test {
 protected:
  void TearDown() override {
    for (const std::string& file : files_) std::filesystem::remove(file);
  }

  // Writes the document with `from` replaced by `to`.
  std::string Write(const std::string& from = {}, const std::string& to = {}) {
    std::string text = kDocument;
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    files_.push_back((std::filesystem::temp_directory_path() /
                      ("config_check_" + std::to_string(getpid()) + "_" +
                       std::to_string(files_.size())))
                         .string());
    std::ofstream(files_.back()) << text;
    return files_.back();
  }

  int Run(std::vector<std::string> args) {
    args.insert(args.begin(), {"bilberrycourse", "config", "check"});
    std::vector<const char*> argv;
    for (const auto& arg : args) argv.push_back(arg.c_str());
    testing::internal::CaptureStdout();
    const int code = RunCommandLine(static_cast<int>(argv.size()), argv.data());
    out_ = testing::internal::GetCapturedStdout();
    return code;
  }

  std::vector<std::string> files_;
  std::string out_;
};

// Guards against a script that sends a configuration with errors because the
// exit code or the JSON object does not report them.
TEST_F(cli_config_check_test, Run_EachSeverity_HasItsExitCode) {
  const struct {
    std::string from;
    std::string to;
    int exit_code;
    std::size_t findings;
  } cases[] = {{"", "", 0, 0},
               {"\"targetLatencyMs\":500", "\"targetLatencyMs\":1001", 1, 1},
               {"\"maxAttempts\":1", "\"maxAttempts\":17", 1, 1},
               {"\"maxAttempts\":1", "\"maxAttempts\":0", 2, 1},
               {"\"backend\":\"desk\"", "\"backend\":\"none\"", 2, 1},
               {"\"routes\"", "routes", 2, 1}};
  for (const auto& row : cases) {
    const std::string file = Write(row.from, row.to);
    EXPECT_EQ(Run({file, "--json"}), row.exit_code) << row.to;
    const json::value answer = json::parse(out_);
    EXPECT_EQ(answer.at("exit_code"), row.exit_code) << out_;
    EXPECT_EQ(answer.at("findings").as_array().size(), row.findings) << out_;
    EXPECT_EQ(Run({file}), row.exit_code) << row.to;
    EXPECT_EQ(out_.find("no findings") != std::string::npos, row.findings == 0)
        << out_;
  }
}

// Guards against a difference that is listed in the wrong direction.
TEST_F(cli_config_check_test, Run_Against_ListsDifference) {
  const std::string file = Write("\"timeoutMs\":1000", "\"timeoutMs\":2000");
  EXPECT_EQ(Run({file, "--against", Write()}), 0);
  EXPECT_NE(out_.find("changed route look\n  timeout: 1000 ms -> 2000 ms"),
            std::string::npos)
      << out_;
}

TEST_F(cli_config_check_test, Run_NoFile_IsNoResultOfCheck) {
  EXPECT_GT(Run({"/nonexistent/file"}), 2);
}

}  // namespace
}  // namespace bilberrycourse
