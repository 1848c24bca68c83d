#include "app/process_end_log.h"

#include <cxxabi.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <string_view>
#include <typeinfo>
#include <utility>

// First byte of the program in memory. The linker sets the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" const char __executable_start;

namespace bilberrycourse {
namespace {

struct fatal_signal {
  int number;
  const char* name;
};

constexpr std::array<fatal_signal, 5> kFatalSignals = {{{SIGSEGV, "SIGSEGV"},
                                                        {SIGBUS, "SIGBUS"},
                                                        {SIGFPE, "SIGFPE"},
                                                        {SIGILL, "SIGILL"},
                                                        {SIGABRT, "SIGABRT"}}};

constexpr std::size_t kMaxLineBytes = 1024;
// Long texts of exceptions are cut, so that the line fits.
constexpr std::size_t kMaxTextBytes = 512;

// Written once, before the handlers are installed. A handler must not allocate
// memory, so the name is kept in its JSON form.
std::array<char, 128> instance_json{};
std::array<struct sigaction, kFatalSignals.size()> previous_actions{};
// The abort after an uncaught exception is not logged a second time.
volatile std::sig_atomic_t end_logged = 0;

// Text of a bounded size, built without allocation.
class line_builder {
 public:
  void Append(std::string_view text) {
    const std::size_t size = std::min(text.size(), bytes_.size() - size_);
    std::memcpy(bytes_.data() + size_, text.data(), size);
    size_ += size;
  }
  void AppendNumber(std::uint64_t value, unsigned base) {
    std::array<char, 20> digits{};
    std::size_t first = digits.size();
    do {
      digits[--first] = "0123456789abcdef"[value % base];
      value /= base;
    } while (value > 0);
    Append({digits.data() + first, digits.size() - first});
  }
  // Drops the line if the reader is stalled, as the log does.
  void Write() const {
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return;
    [[maybe_unused]] const auto written =
        ::write(STDOUT_FILENO, bytes_.data(), size_);
  }

 private:
  std::array<char, kMaxLineBytes> bytes_{};
  std::size_t size_ = 0;
};

void BeginLine(line_builder* line) {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  line->Append("{\"ts_ms\":");
  line->AppendNumber(static_cast<std::uint64_t>(now.tv_sec) * 1000 +
                         static_cast<std::uint64_t>(now.tv_nsec) / 1000000,
                     10);
  line->Append(",\"level\":\"error\",\"instance\":");
  line->Append(instance_json.data());
  line->Append(",\"event\":\"process_ends\"");
}

std::uint64_t ProgramCounter(const void* context) {
  const auto* state = static_cast<const ucontext_t*>(context);
#if defined(__aarch64__)
  const auto address = static_cast<std::uint64_t>(state->uc_mcontext.pc);
#elif defined(__x86_64__)
  const auto address =
      static_cast<std::uint64_t>(state->uc_mcontext.gregs[REG_RIP]);
#else
  const std::uint64_t address = 0;
#endif
  return address - reinterpret_cast<std::uintptr_t>(&__executable_start);
}

void OnFatalSignal(int number, siginfo_t*, void* context) {
  const int saved_errno = errno;
  for (std::size_t i = 0; i < kFatalSignals.size(); ++i) {
    if (kFatalSignals[i].number != number) continue;
    if (end_logged == 0) {
      end_logged = 1;
      line_builder line;
      BeginLine(&line);
      line.Append(",\"signal\":");
      line.AppendNumber(static_cast<std::uint64_t>(number), 10);
      line.Append(",\"signal_name\":\"");
      line.Append(kFatalSignals[i].name);
      line.Append("\",\"program_counter\":\"0x");
      line.AppendNumber(ProgramCounter(context), 16);
      line.Append("\"}\n");
      line.Write();
    }
    // The signal is blocked until this handler returns, and then ends the
    // process or reaches the handler that was there before.
    ::sigaction(number, &previous_actions[i], nullptr);
    ::raise(number);
  }
  errno = saved_errno;
}

std::string TypeName(const std::type_info& type) {
  int status = 0;
  char* name = abi::__cxa_demangle(type.name(), nullptr, nullptr, &status);
  std::string text = status == 0 ? name : type.name();
  std::free(name);
  return text;
}

std::string JsonText(std::string_view text) {
  return boost::json::serialize(
      boost::json::value(text.substr(0, kMaxTextBytes)));
}

void LogUncaught(std::string_view type, std::string_view what) {
  end_logged = 1;
  line_builder line;
  BeginLine(&line);
  line.Append(",\"exception\":");
  line.Append(JsonText(type));
  line.Append(",\"what\":");
  line.Append(JsonText(what));
  line.Append("}\n");
  line.Write();
}

[[noreturn]] void OnTerminate() {
  const std::exception_ptr uncaught = std::current_exception();
  if (uncaught != nullptr) {
    try {
      std::rethrow_exception(uncaught);
    } catch (const std::exception& exception) {
      LogUncaught(TypeName(typeid(exception)), exception.what());
    } catch (...) {
      LogUncaught("unknown", "");
    }
  }
  std::abort();
}

}  // namespace

void LogProcessEnds(const std::string& instance) {
  const std::string name = boost::json::serialize(boost::json::value(instance));
  if (name.size() < instance_json.size()) {
    std::memcpy(instance_json.data(), name.c_str(), name.size() + 1);
  } else {
    std::memcpy(instance_json.data(), "\"\"", 3);
  }
  static bool installed = false;
  if (std::exchange(installed, true)) return;
  std::set_terminate(OnTerminate);
  for (std::size_t i = 0; i < kFatalSignals.size(); ++i) {
    struct sigaction action {};
    action.sa_sigaction = OnFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    ::sigemptyset(&action.sa_mask);
    ::sigaction(kFatalSignals[i].number, &action, &previous_actions[i]);
  }
}

}  // namespace bilberrycourse
