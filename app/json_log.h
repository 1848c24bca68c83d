#ifndef APP_JSON_LOG_H_
#define APP_JSON_LOG_H_

// JSON log lines on standard output, through easylogging++.
//
//   LogEvent(log_level::kInfo, "query_answered",
//            {{"query", 17}, {"outcome", "complete"}});
//
// Writing never waits: a line that standard output does not take at once, or of
// more than 4095 bytes, is dropped, and the next line carries their number in
// `dropped_lines`. Every line has the fields ts_ms, level, instance and event.
// Lines about one routing or placement decision use LogDecision(), which is
// subject to the level and to the sampling rate of the [log] section.

#include <boost/json.hpp>
#include <cstdint>
#include <string_view>

namespace bilberrycourse {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

struct log_options {
  std::string instance;
  log_level level = log_level::kInfo;
  // Share of decision lines that are written, 0 to 1.
  double decision_rate = 1.0;
};

// Must be called once before the first line.
void ConfigureLog(const log_options& options);

// Returns true if lines of this level are written.
bool LogEnabled(log_level level);

void LogEvent(log_level level, std::string_view event,
              boost::json::object fields);

// Returns true if the next decision line must be written; callers build the
// fields only then, because building them costs more than the decision.
bool SampleDecision();

void LogDecision(std::string_view event, boost::json::object fields);

// Parses debug, info, warning or error; returns false for any other text.
bool ParseLogLevel(std::string_view text, log_level* level);

}  // namespace bilberrycourse

#endif  // APP_JSON_LOG_H_
