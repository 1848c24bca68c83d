#include "app/process_end_log.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

#include "app/testing/loopback.h"
#include "app/testing/serving_process.h"

namespace bilberrycourse {
namespace {

class process_end_log_test : public ::testing::Test {
 protected:
  void SetUp() override {
    ::testing::FLAGS_gtest_death_test_style = "threadsafe";
    file_ = ::testing::TempDir() + "process_end_log_test_" +
            std::to_string(::getpid());
  }
  void TearDown() override {
    std::remove(file_.c_str());
    std::filesystem::remove_all(file_ + "_data");
  }

  std::string WriteSettings(const std::string& role) {
    const bool control = role == "control";
    std::ofstream(file_) << "[instance]\ninterface=routes\nname="
                         << (control ? "127.0.0.1" : "e1")
                         << "\navailability_zone=z\nrole=" << role
                         << "\n[listen]\ncaller=127.0.0.1:" << FreePort()
                         << "\npeer=127.0.0.1:" << FreePort()
                         << "\n[peers]\nseeds=127.0.0.9:9\n"
                            "shared_key=0123456789abcdef\n"
                            "[control]\ngroup=g\n"
                         << (control ? "data_dir=" + file_ + "_data\n" : "");
    return file_;
  }

  std::string file_;
};

// Guards against a process that ends by a fatal signal and leaves no word of it
// in its log: an exit code alone does not tell the causes apart.
TEST_F(process_end_log_test, Serve_FatalSignal_IsLoggedAndEndsTheProcess) {
  const struct {
    int number;
    const char* name;
  } cases[] = {{SIGBUS, "SIGBUS"},
               {SIGFPE, "SIGFPE"},
               {SIGILL, "SIGILL"},
               {SIGABRT, "SIGABRT"}};
  for (const auto& test_case : cases) {
    serving_process process(WriteSettings("entry"));
    ASSERT_TRUE(process.WaitForLog("\"event\":\"started\"")) << process.log();
    process.Signal(test_case.number);
    // A sanitizer ends the process with an exit code of its own.
    EXPECT_NE(process.WaitForEnd(), 0);
    EXPECT_NE(process.log().find("\"instance\":\"e1\",\"event\":"
                                 "\"process_ends\",\"signal\":" +
                                 std::to_string(test_case.number) +
                                 ",\"signal_name\":\"" + test_case.name),
              std::string::npos)
        << process.log();
  }
}

// Guards against an exception in a handler that ends the process without its
// text, and against one that the process survives with half of its work done.
TEST_F(process_end_log_test, Run_HandlerThrows_LogsExceptionAndAborts) {
  EXPECT_EXIT(
      {
        LogProcessEnds("e1");
        // The death test shows standard error only.
        ::dup2(STDERR_FILENO, STDOUT_FILENO);
        boost::asio::io_context context;
        boost::asio::post(
            context, [] { throw std::length_error("field \"x\" too large"); });
        // The death test would catch the exception, which main() does not.
        [&]() noexcept { context.run(); }();
      },
      [](int status) {
        return WIFSIGNALED(status) ? WTERMSIG(status) == SIGABRT
                                   : WEXITSTATUS(status) != 0;
      },
      "\"event\":\"process_ends\",\"exception\":\"std::length_error\","
      "\"what\":\"field ..x.. too large\"");
}

// Guards against an exception that a library catches on its way out of the
// daemon: the process ended with code 99 and nothing told which one it was.
TEST_F(process_end_log_test, Serve_DaemonThrows_LogsExceptionAndAborts) {
  // No address space holds the stack of the thread that writes the log.
  constexpr rlim_t kStackBytes = rlim_t{1} << 60;
  serving_process process(WriteSettings("control"), kStackBytes);
  EXPECT_EQ(process.WaitForEnd(), 128 + SIGABRT);
  EXPECT_NE(process.log().find("\"event\":\"process_ends\",\"exception\":"
                               "\"std::system_error\",\"what\":\"Resource "
                               "temporarily unavailable\""),
            std::string::npos)
      << process.log();
}

// Guards against a crash loop whose cause stands on standard error only, which
// the log of a daemon does not contain.
TEST_F(process_end_log_test, Serve_SettingsInvalid_NamesSettingInLog) {
  serving_process process(WriteSettings("unknown"));
  EXPECT_EQ(process.WaitForEnd(), 50);
  EXPECT_NE(process.log().find("\"event\":\"start_failed\",\"code\":601"),
            std::string::npos)
      << process.log();
  EXPECT_NE(process.log().find("[instance] role"), std::string::npos);
}

}  // namespace
}  // namespace bilberrycourse
