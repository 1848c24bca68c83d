#ifndef APP_SHUTDOWN_LOG_H_
#define APP_SHUTDOWN_LOG_H_

// Log lines at the end of a shutdown.

#include "app/http_server.h"

namespace bilberrycourse {

// Logs each connection that would be cut off now, up to a limit; the line
// `shutdown_finished` has the total.
void LogCutOffConnections(const http_server& server);

}  // namespace bilberrycourse

#endif  // APP_SHUTDOWN_LOG_H_
