#include "app/json_log.h"

#include <easylogging++.h>

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

// Written before the io_context runs and read by its single thread.
log_options global_options;
double decision_credit = 0;

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
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

bool LogEnabled(log_level level) { return level >= global_options.level; }

void LogEvent(log_level level, std::string_view event,
              boost::json::object fields) {
  if (!LogEnabled(level)) return;
  boost::json::object line;
  line.reserve(fields.size() + 4);
  line["ts_ms"] = WallTimeMs();
  line["level"] = kLevelNames[static_cast<std::size_t>(level)];
  line["instance"] = global_options.instance;
  line["event"] = event;
  for (auto& field : fields) line[field.key()] = std::move(field.value());
  LOG(INFO) << boost::json::serialize(line);
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
