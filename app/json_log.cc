#include "app/json_log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace bilberrycourse {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

// Set before the io_context runs and then used only by its single thread.
log_options global_options;
// Grows by decision_rate with each decision; a line is written for each whole
// unit of credit.
double decision_credit = 0;

// A pipe that is ready for writing accepts at least this much without blocking.
constexpr std::size_t kMaxLineBytes = 4096;
std::uint64_t dropped_lines = 0;

// Writes the line if standard output accepts it without blocking. Otherwise the
// line is dropped and counted, so that a stalled log reader cannot block the
// process. The next line that is written reports the count.
void WriteLine(std::string line) {
  pollfd ready{STDOUT_FILENO, POLLOUT, 0};
  if (line.size() >= kMaxLineBytes || ::poll(&ready, 1, 0) != 1 ||
      (ready.revents & POLLOUT) == 0) {
    ++dropped_lines;
    return;
  }
  line += '\n';
  if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) ++dropped_lines;
}

// Writes the lines of easylogging++ in place of its own output, which blocks if
// the reader of standard output is stalled.
class line_writer : public el::LogDispatchCallback {
 protected:
  // Overrides a function of the library, which sets the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void handle(const el::LogDispatchData* data) override {
    WriteLine(data->logMessage()->message());
  }
};

std::int64_t WallTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void ConfigureLog(const log_options& options) {
  global_options = options;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<line_writer>("line_writer");
}

bool LogEnabled(log_level level) { return level >= global_options.level; }

void LogEvent(log_level level, std::string_view event,
              boost::json::object fields) {
  if (!LogEnabled(level)) return;
  boost::json::object line;
  line.reserve(fields.size() + 5);
  line["ts_ms"] = WallTimeMs();
  line["level"] = kLevelNames[static_cast<std::size_t>(level)];
  line["instance"] = global_options.instance;
  line["event"] = event;
  for (auto& field : fields) line[field.key()] = std::move(field.value());
  const std::uint64_t dropped_before = dropped_lines;
  if (dropped_before > 0) line["dropped_lines"] = dropped_before;
  LOG(INFO) << boost::json::serialize(line);
  // Resets the count only if the line that reports it was written.
  if (dropped_lines == dropped_before) dropped_lines = 0;
}

bool SampleDecision() {
  if (!LogEnabled(log_level::kInfo)) return false;
  decision_credit += global_options.decision_rate;
  if (decision_credit < 1.0) return false;
  decision_credit -= 1.0;
  return true;
}

void LogDecision(std::string_view event, boost::json::object fields) {
  LogEvent(log_level::kInfo, event, std::move(fields));
}

bool ParseLogLevel(std::string_view text, log_level* level) {
  const auto* name = std::ranges::find(kLevelNames, text);
  if (name == std::end(kLevelNames)) return false;
  *level = static_cast<log_level>(std::distance(kLevelNames.begin(), name));
  return true;
}

}  // namespace bilberrycourse
