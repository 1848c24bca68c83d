#include "app/json_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace bilberrycourse {
namespace {

// Replaces standard output by a pipe during a test.
class json_log_test : public ::testing::Test {
 protected:
  void SetUp() override {
    saved_stdout_ = ::dup(STDOUT_FILENO);
    ASSERT_EQ(::pipe(pipe_.data()), 0);
    ::dup2(pipe_[1], STDOUT_FILENO);
    ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    ConfigureLog({"e1", log_level::kInfo, 1.0});
  }

  void TearDown() override {
    ::dup2(saved_stdout_, STDOUT_FILENO);
    ::close(saved_stdout_);
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }

  std::string ReadAll() {
    std::string all;
    std::array<char, 65536> buffer{};
    ssize_t size = 0;
    while ((size = ::read(pipe_[0], buffer.data(), buffer.size())) > 0) {
      all.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return all;
  }

  int saved_stdout_ = -1;
  std::array<int, 2> pipe_{};
};

TEST_F(json_log_test, LogEvent_Line_IsOneJsonObject) {
  LogEvent(log_level::kInfo, "started", {{"port", 7}});
  const std::string line = ReadAll();
  ASSERT_FALSE(line.empty());
  EXPECT_EQ(line.back(), '\n');
  const auto parsed = boost::json::parse(line);
  EXPECT_EQ(parsed.at("event").as_string(), "started");
  EXPECT_EQ(parsed.at("instance").as_string(), "e1");
  EXPECT_EQ(parsed.at("port").to_number<int>(), 7);
}

// Guards against a process that blocks on a full pipe because the reader of its
// log has stopped.
TEST_F(json_log_test, LogEvent_ReaderStopped_DropsAndCounts) {
  const std::string text(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    LogEvent(log_level::kInfo, "filler", {{"text", text}});
  }
  const std::string written = ReadAll();
  const auto lines = std::count(written.begin(), written.end(), '\n');
  EXPECT_LT(lines, 1000);
  LogEvent(log_level::kInfo, "after", {});
  const std::string after = ReadAll();
  const auto parsed = boost::json::parse(after);
  EXPECT_EQ(parsed.at("dropped_lines").to_number<long>(), 1000 - lines);
}

}  // namespace
}  // namespace bilberrycourse
