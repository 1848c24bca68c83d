#ifndef APP_CLI_HTTP_H_
#define APP_CLI_HTTP_H_

// A blocking HTTP client for the command line. One timeout covers connecting,
// sending and receiving.
//
//   cli_http_result result = SendHttp(address, request, timeout);
//   if (result.failure == http_failure::kResponseLost) PrintResendHint();

#include <chrono>
#include <cstdint>
#include <string>

#include "app/settings.h"

namespace bilberrycourse {

struct cli_http_request {
  std::string method = "GET";
  // Path with the query string.
  std::string target;
  std::string body;
  // The headers of empty values are omitted.
  std::string token;
  std::string idempotency_key;
};

enum class http_failure : std::uint8_t {
  kNone,
  // No connection was established, so nothing was sent.
  kUnreachable,
  // The request may have arrived, but no complete response was received.
  kResponseLost,
};

struct cli_http_result {
  http_failure failure = http_failure::kNone;
  std::string error;
  unsigned status = 0;
  std::string body;
};

cli_http_result SendHttp(const socket_address& address,
                         const cli_http_request& request,
                         std::chrono::milliseconds timeout);

}  // namespace bilberrycourse

#endif  // APP_CLI_HTTP_H_
