#include "app/cli.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

#include "app/cli_support.h"
#include "app/http_server.h"
#include "app/problem_details.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr char kToken[] = "secret-4711";

// Runs commands against a fake server for the operator API of an entry
// instance.
class cli_test : public ::testing::Test {
 protected:
  void SetUp() override {
    unsetenv("BILBERRYCOURSE_TOKEN");
    file_ = (std::filesystem::temp_directory_path() /
             ("cli_test_" + std::to_string(getpid())))
                .string();
    http_server_options options;
    options.listen = {"127.0.0.1", 0};
    // Tests run in parallel, so the first free port of a range is used.
    for (std::uint16_t port = 20000 + getpid() % 10000; port < 32000; ++port) {
      options.listen.port = port;
      server_ = std::make_unique<http_server>(
          context_.get_executor(), options,
          [this](http_request request, http_responder respond) {
            Answer(std::move(request), std::move(respond));
          });
      if (server_->Listen()) break;
    }
    address_ = options.listen.ToText();
    thread_ = std::thread([this] { context_.run(); });
  }

  void TearDown() override {
    boost::asio::post(context_, [this] {
      unanswered_.clear();
      server_->Close();
      work_.reset();
    });
    thread_.join();
    std::filesystem::remove(file_);
  }

  void Answer(http_request request, http_responder respond) {
    const std::lock_guard lock(mutex_);
    if (request.path == "/status" && !statuses_.empty()) {
      const std::string body = statuses_.front();
      if (statuses_.size() > 1) statuses_.erase(statuses_.begin());
      return respond({200, "application/json", body, 0});
    }
    requests_.push_back(request);
    if (lose_answers_) return unanswered_.push_back(std::move(respond));
    respond({status_, "application/json", body_, 0});
  }

  // Runs one command line against the fake server and captures its output.
  int Run(std::vector<std::string> args) {
    args.insert(args.begin(), "bilberrycourse");
    args.insert(args.end(), {"--address", address_});
    std::vector<const char*> argv;
    for (const auto& arg : args) argv.push_back(arg.c_str());
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int code = RunCommandLine(static_cast<int>(argv.size()), argv.data());
    out_ = testing::internal::GetCapturedStdout();
    err_ = testing::internal::GetCapturedStderr();
    EXPECT_EQ((out_ + err_).find(kToken), std::string::npos);
    return code;
  }

  std::string WriteFile(const std::string& text) {
    std::ofstream(file_) << text;
    return file_;
  }

  // Returns the arguments of a valid `config set`, followed by `extra`.
  std::vector<std::string> ConfigSetArgs(std::vector<std::string> extra = {}) {
    std::vector<std::string> args = {"config",
                                     "set",
                                     WriteFile(R"({"services":{"a":{}}})"),
                                     "--base-version",
                                     "6",
                                     "--author",
                                     "kim",
                                     "--reason",
                                     "tuning"};
    args.insert(args.end(), extra.begin(), extra.end());
    return args;
  }

  static int ExitCode(result_code code) { return Describe(code).exit_code; }

  boost::asio::io_context context_;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_{context_.get_executor()};
  std::unique_ptr<http_server> server_;
  std::thread thread_;
  std::string address_;
  std::string file_;
  std::string out_;
  std::string err_;
  std::mutex mutex_;
  std::vector<http_request> requests_;
  std::vector<http_responder> unanswered_;
  bool lose_answers_ = false;
  unsigned status_ = 200;
  std::string body_ = R"({"version":7})";
  // Successive bodies of GET /status; the last one is repeated.
  std::vector<std::string> statuses_;
};

// Guards against a lost answer to a change after which the operator does not
// see the change id that makes it safe to resend the change.
TEST_F(cli_test, ConfigSet_AnswerLost_NamesChangeIdToResendWith) {
  setenv("BILBERRYCOURSE_TOKEN", kToken, 1);
  lose_answers_ = true;
  EXPECT_EQ(Run(ConfigSetArgs({"--timeout", "0.3"})),
            ExitCode(result_code::kProposalLost));
  ASSERT_EQ(requests_.size(), 1u);
  const json::value first_body = json::parse(requests_[0].body);
  const std::string id(first_body.at("change_id").as_string());
  EXPECT_NE(err_.find("--change-id " + id), std::string::npos) << err_;
  lose_answers_ = false;
  EXPECT_EQ(Run(ConfigSetArgs({"--change-id", id, "--json"})), 0);
  EXPECT_EQ(json::parse(requests_.at(1).body), first_body);
  EXPECT_EQ(requests_[1].authorization, "Bearer " + std::string(kToken));
  EXPECT_EQ(json::parse(out_).at("version"), 7);
}

// Guards against sending a change that has no token or reason or is invalid.
TEST_F(cli_test, ConfigSet_Faulty_IsRefusedBeforeSending) {
  EXPECT_EQ(Run(ConfigSetArgs()), ExitCode(result_code::kUnauthorized));
  setenv("BILBERRYCOURSE_TOKEN", "secret-4711\r\nX: y", 1);
  EXPECT_EQ(Run(ConfigSetArgs()), ExitCode(result_code::kUnauthorized));
  setenv("BILBERRYCOURSE_TOKEN", kToken, 1);
  EXPECT_EQ(Run({"config", "set", WriteFile("{}"), "--base-version", "0"}),
            ExitCode(result_code::kReasonMissing));
  EXPECT_EQ(Run({"config", "set", WriteFile(R"({"x":1})"), "--base-version",
                 "0", "--author", "k", "--reason", "r", "--json"}),
            ExitCode(result_code::kInvalidDocument));
  EXPECT_NE(err_.find("/x: unknown key"), std::string::npos) << err_;
  EXPECT_EQ(json::parse(out_).at("errors").at(0).at("path"), "/x");
  EXPECT_EQ(Run({"config", "set", "/does/not/exist", "--base-version", "0",
                 "--author", "k", "--reason", "r"}),
            ExitCode(result_code::kInvalidArguments));
  EXPECT_TRUE(requests_.empty());
}

// Guards against a --wait that returns before the version is in force on every
// instance.
TEST_F(cli_test, ConfigSet_Wait_EndsWhenAllInstancesReport) {
  setenv("BILBERRYCOURSE_TOKEN", kToken, 1);
  statuses_ = {R"({"in_force":[]})",
               R"({"in_force":[{"instance":"e1","version":7},
                               {"instance":"e2","version":null}]})",
               R"({"in_force":[{"instance":"e1","version":7},
                               {"instance":"e2","version":8}]})"};
  EXPECT_EQ(Run(ConfigSetArgs({"--wait", "20"})), 0) << err_;
  EXPECT_EQ(statuses_.size(), 1u);
  statuses_ = {R"({"in_force":[{"instance":"e1","version":7},
                               {"instance":"e2","version":6}]})"};
  EXPECT_EQ(Run(ConfigSetArgs({"--wait", "1"})),
            ExitCode(result_code::kNotInForceYet));
  EXPECT_NE(err_.find("e2 (version 6)"), std::string::npos) << err_;
}

// Guards against an error report that omits the exit code, the difference or
// the JSON output.
TEST_F(cli_test, AnyCommand_Refused_PrintsProblemAndExitsWithItsCode) {
  setenv("BILBERRYCOURSE_TOKEN", kToken, 1);
  status_ = 409;
  body_ = ProblemText(
      result_code::kVersionConflict, "",
      {{"version", 9},
       {"winner", {{"version", 7}, {"author", "lee"}, {"reason", "peak"}}},
       {"difference", {{{"path", "/services/a"}, {"after", 1}}}}});
  EXPECT_EQ(Run(ConfigSetArgs({"--json"})),
            ExitCode(result_code::kVersionConflict));
  EXPECT_EQ(json::parse(out_).at("version"), 9);
  EXPECT_NE(err_.find("version 7 by lee: peak"), std::string::npos) << err_;
  EXPECT_NE(err_.find("/services/a: (absent) -> 1"), std::string::npos);
  body_ = "no JSON";
  EXPECT_EQ(Run({"status"}), ExitCode(result_code::kInternal));
  address_ = "127.0.0.1:1";
  EXPECT_EQ(Run({"status"}), ExitCode(result_code::kUnreachable));
  address_ = "localhost:80";
  EXPECT_EQ(Run({"status"}), ExitCode(result_code::kInvalidArguments));
}

// Guards against adding or removing an exception with fields left out.
TEST_F(cli_test, Exceptions_AddAndRemove_SendAllFields) {
  const std::string token_file = WriteFile(std::string(kToken) + "\n");
  EXPECT_EQ(Run({"exceptions", "add", "e1", "--caller", "app", "--author", "k",
                 "--reason", "r", "--caller-weight", "2", "--expires", "5000",
                 "--base-version", "3", "--token-file", token_file}),
            0)
      << err_;
  const json::value add = json::parse(requests_.at(0).body);
  EXPECT_EQ(add.at("exception"),
            json::parse(R"({"id":"e1","caller":"app","author":"k",
                            "reason":"r","caller_weight":2E0,
                            "expires_ms":5000})"));
  EXPECT_EQ(add.at("base_version"), 3);
  EXPECT_EQ(requests_[0].authorization, "Bearer " + std::string(kToken));
  EXPECT_EQ(Run({"exceptions", "remove", "e1", "--author", "k", "--reason",
                 "over", "--token-file", token_file}),
            0);
  EXPECT_EQ(requests_.at(1).method + requests_[1].path, "DELETE/exceptions/e1");
  EXPECT_EQ(json::parse(requests_[1].body).at("reason"), "over");
}

// Guards against a list in which requests without an answer do not stand out.
TEST_F(cli_test, Requests_Since_MarksEachState) {
  body_ = R"({"requests":[
      {"state":"unanswered","not_run":true,"key":"k1"},
      {"state":"unknown","not_run":false,"key":"k2"}]})";
  EXPECT_EQ(Run({"requests", "--since", "2026-12-04T00:00:00Z"}), 0) << err_;
  EXPECT_EQ(requests_.at(0).query, "since=1796342400000");
  EXPECT_NE(out_.find("unanswered, not run"), std::string::npos) << out_;
  EXPECT_NE(out_.find("unknown: 1"), std::string::npos) << out_;
  EXPECT_EQ(Run({"requests", "--state", "unknown", "--json"}), 0);
  EXPECT_EQ(json::parse(out_).at("requests").as_array().size(), 1u);
}

// Guards against a query that exits with 0 although its coverage is too low or
// its answer was lost.
TEST_F(cli_test, Query_PartialOrLost_ExitsWithItsCode) {
  body_ = R"({"outcome":"partial","code":308,"coverage":{"searched":1,
      "total":2,"missing":[{"service":"a","shard":1,"reason":"late"}]}})";
  EXPECT_EQ(Run({"query", "a", "--caller", "app"}),
            ExitCode(result_code::kCoverageTooLow));
  EXPECT_NE(out_.find("searched: 1 of 2 shards\nmissing: a/1: late"),
            std::string::npos)
      << out_;
  lose_answers_ = true;
  EXPECT_EQ(Run({"query", "a", "--caller", "app", "--non-idempotent", "--key",
                 "k", "--timeout", "0.3"}),
            ExitCode(result_code::kOutcomeUnknown));
  EXPECT_EQ(requests_.at(1).idempotency_key, "k");
}

// Guards against subcommands without help.
TEST_F(cli_test, Help_EverySubcommand_SucceedsWithoutAddress) {
  for (const std::vector<std::string>& args :
       std::vector<std::vector<std::string>>{{},
                                             {"serve"},
                                             {"check-config"},
                                             {"config"},
                                             {"config", "get"},
                                             {"config", "set"},
                                             {"config", "history"},
                                             {"exceptions"},
                                             {"exceptions", "list"},
                                             {"exceptions", "add"},
                                             {"exceptions", "remove"},
                                             {"members"},
                                             {"status"},
                                             {"requests"},
                                             {"query"}}) {
    std::vector<const char*> argv = {"bilberrycourse"};
    for (const auto& arg : args) argv.push_back(arg.c_str());
    argv.push_back("--help");
    testing::internal::CaptureStdout();
    EXPECT_EQ(RunCommandLine(static_cast<int>(argv.size()), argv.data()), 0);
    EXPECT_GT(testing::internal::GetCapturedStdout().size(), 40u);
  }
}

// Guards against a time that is parsed with the wrong unit or sign.
TEST(cli_support_test, ParseTime_AllForms_GivesMilliseconds) {
  const std::pair<const char*, std::optional<wall_time_ms>> cases[] = {
      {"123", 123},
      {"90s", 1000000 - 90000},
      {"2h", 1000000 - 7200000},
      {"1970-01-01T00:00:01Z", 1000},
      {"", std::nullopt},
      {"-5", std::nullopt},
      {"2w", std::nullopt},
      {"1970-01-01", std::nullopt},
      {"9999999999h", std::nullopt}};
  for (const auto& [text, expected] : cases) {
    EXPECT_EQ(ParseTime(text, 1000000, -1), expected) << text;
  }
  EXPECT_EQ(TimeText(1796342400250), "2026-12-04T00:00:00.250Z");
}

// Guards against problem details without their code, and against accepting
// other bodies as problem details.
TEST(problem_details_test, ProblemText_RoundTrip_KeepsCodeAndMembers) {
  const auto problem = ParseProblem(
      ProblemText(result_code::kNoQuorum, "no leader", {{"version", 3}}));
  ASSERT_TRUE(problem.has_value());
  EXPECT_EQ(problem->code, result_code::kNoQuorum);
  EXPECT_EQ(problem->detail, "no leader");
  EXPECT_EQ(problem->members.at("version"), 3);
  EXPECT_EQ(problem->members.at("status"), 503);
  EXPECT_EQ(problem->members.at("name"), "no_quorum");
  for (const char* other :
       {"", "[]", "{}", R"({"code":"401"})", R"({"code":12345})",
        R"({"code":-1})", R"({"code":99999999})"}) {
    EXPECT_FALSE(ParseProblem(other).has_value()) << other;
  }
}

}  // namespace
}  // namespace bilberrycourse
