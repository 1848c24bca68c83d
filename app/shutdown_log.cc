#include "app/shutdown_log.h"

#include "app/json_log.h"

namespace bilberrycourse {
namespace {

constexpr std::size_t kMaxCutOffLogs = 100;

}  // namespace

void LogCutOffConnections(const http_server& server) {
  for (const unfinished_connection& connection :
       server.Unfinished(kMaxCutOffLogs)) {
    LogEvent(log_level::kWarning, "connection_cut_off",
             {{"state", connection.state},
              {"target", connection.target},
              {"age_ms", connection.age.count()},
              {"unacknowledged_bytes", connection.unacknowledged_bytes}});
  }
}

}  // namespace bilberrycourse
