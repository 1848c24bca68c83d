#ifndef APP_TESTING_SERVING_PROCESS_H_
#define APP_TESTING_SERVING_PROCESS_H_

// Runs the real program `bilberrycourse serve` for a test.
//
//   serving_process process(settings_file);
//   ASSERT_TRUE(process.WaitForLog("\"event\":\"started\""));
//   process.Signal(SIGTERM);
//   EXPECT_EQ(process.WaitForEnd(), 0);
//
// The program is taken from the folder of the test. Its log goes through a
// pipe, which CloseLog() closes on the reading side. The destructor kills it.

#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>

namespace bilberrycourse {

class serving_process {
 public:
  // `stack_bytes` is the stack size of new threads; 0 for the usual one.
  explicit serving_process(const std::string& settings_file,
                           rlim_t stack_bytes = 0) {
    const std::string program =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
         "bilberrycourse")
            .string();
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC) != 0) return;
    log_ = ends[0];
    id_ = ::fork();
    if (id_ == 0) {
      ::dup2(ends[1], STDOUT_FILENO);
      rlimit limit{};
      ::getrlimit(RLIMIT_STACK, &limit);
      limit.rlim_cur = stack_bytes;
      if (stack_bytes > 0) ::setrlimit(RLIMIT_STACK, &limit);
      ::execl(program.c_str(), program.c_str(), "serve", "--config",
              settings_file.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
  }
  serving_process(const serving_process&) = delete;
  serving_process& operator=(const serving_process&) = delete;
  ~serving_process() {
    if (!status_.has_value()) {
      Signal(SIGKILL);
      WaitForEnd();
    }
    CloseLog();
  }

  void Signal(int number) const {
    if (id_ > 0) ::kill(id_, number);
  }

  bool running() {
    Poll();
    return !status_.has_value();
  }

  // Returns the exit code, or 128 and the number of the signal that ended the
  // process; -1 if it still runs after 20 seconds.
  int WaitForEnd() {
    const auto end = Deadline();
    while (running()) {
      if (std::chrono::steady_clock::now() > end) return -1;
      ReadLog(std::chrono::milliseconds(10));
    }
    while (ReadLog(std::chrono::milliseconds(0))) {
    }
    return WIFSIGNALED(*status_) ? 128 + WTERMSIG(*status_)
                                 : WEXITSTATUS(*status_);
  }

  // Returns false if the log lacks `text` after 20 seconds or when the process
  // has ended.
  bool WaitForLog(const std::string& text) {
    const auto end = Deadline();
    while (log_text_.find(text) == std::string::npos) {
      const bool was_running = running();
      const bool more = ReadLog(std::chrono::milliseconds(10));
      if (!more && !was_running) return false;
      if (std::chrono::steady_clock::now() > end) return false;
    }
    return true;
  }

  void CloseLog() {
    if (log_ >= 0) ::close(log_);
    log_ = -1;
  }

  const std::string& log() const { return log_text_; }

 private:
  static std::chrono::steady_clock::time_point Deadline() {
    return std::chrono::steady_clock::now() + std::chrono::seconds(20);
  }

  void Poll() {
    int status = 0;
    if (!status_.has_value() && ::waitpid(id_, &status, WNOHANG) == id_) {
      status_ = status;
    }
  }

  // Returns true if some text was read.
  bool ReadLog(std::chrono::milliseconds wait) {
    pollfd ready{log_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(wait.count())) != 1) return false;
    char buffer[4096];
    const ssize_t count = ::read(log_, buffer, sizeof(buffer));
    if (count <= 0) {
      ::usleep(1000);
      return false;
    }
    log_text_.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  pid_t id_ = -1;
  int log_ = -1;
  std::optional<int> status_;
  std::string log_text_;
};

}  // namespace bilberrycourse

#endif  // APP_TESTING_SERVING_PROCESS_H_
