#ifndef APP_JSON_LOG_H_
#define APP_JSON_LOG_H_

// JSON log lines on standard output, through easylogging++.
//
//   LogEvent(log_level::kInfo, "query_answered",
//            {{"query", 17}, {"outcome", "complete"}});
//
// Writing never blocks: a line that standard output does not accept at once, or
// that is longer than 4095 bytes, is dropped, and the next line reports the
// number of dropped lines in `dropped_lines`. Every line has the fields ts_ms,
// level, instance and event. A line about a single routing or placement
// decision is written with LogDecision() if SampleDecision() returns true,
// which applies the level and the sampling rate of the [log] section.

#include <boost/json.hpp>
#include <cstdint>
#include <string_view>

namespace bilberrycourse {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

struct log_options {
  std::string instance;
  log_level level = log_level::kInfo;
  // Fraction of decision lines that are written, 0 to 1.
  double decision_rate = 1.0;
};

// Must be called once before the first line is logged.
void ConfigureLog(const log_options& options);

// Returns true if lines of this level are written.
bool LogEnabled(log_level level);

void LogEvent(log_level level, std::string_view event,
              boost::json::object fields);

// Returns true if the next decision line must be written. Call it before the
// fields are built, because building them costs more than the decision itself.
bool SampleDecision();

// Writes a decision line at level info, without sampling.
void LogDecision(std::string_view event, boost::json::object fields);

// Parses debug, info, warning or error; returns false for any other text.
bool ParseLogLevel(std::string_view text, log_level* level);

}  // namespace bilberrycourse

#endif  // APP_JSON_LOG_H_
