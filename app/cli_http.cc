#include "app/cli_http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "app/http_message.h"
#include "app/http_message_reader.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// The largest response is the history of configuration documents.
constexpr std::uint64_t kMaxResponseBytes = 256 << 20;
constexpr http_read_limits kResponseLimits{8192, kMaxResponseBytes,
                                           kMaxResponseBytes + (1 << 20)};

// Sends one request and reads its response. The steps are asynchronous because
// the timeout of a tcp_stream applies only to asynchronous operations.
class http_exchange {
 public:
  http_exchange(const socket_address& address, const cli_http_request& request)
      : stream_(context_), message_(MakeMessage(address, request)) {}

  cli_http_result Run(const socket_address& address,
                      std::chrono::milliseconds timeout) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error) return {http_failure::kUnreachable, error.message(), 0, {}};
    stream_.expires_after(timeout);
    stream_.async_connect(
        asio::ip::tcp::endpoint(ip, address.port),
        [this](beast::error_code failed) { OnConnected(failed); });
    context_.run();
    return std::move(result_);
  }

 private:
  static http::request<http::string_body> MakeMessage(
      const socket_address& address, const cli_http_request& request) {
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, address.ToText());
    message.set(http::field::connection, "close");
    if (!request.token.empty()) {
      message.set(http::field::authorization, "Bearer " + request.token);
    }
    if (!request.idempotency_key.empty()) {
      message.set("Idempotency-Key", request.idempotency_key);
    }
    if (!request.body.empty()) {
      message.set(http::field::content_type, "application/json");
    }
    message.body() = request.body;
    SetContentLength(&message);
    return message;
  }

  void Fail(http_failure failure, const beast::error_code& error) {
    result_.failure = failure;
    result_.error = error.message();
  }

  void OnConnected(beast::error_code error) {
    if (error) return Fail(http_failure::kUnreachable, error);
    http::async_write(
        stream_, message_,
        [this](beast::error_code failed, std::size_t) { OnWritten(failed); });
  }

  void OnWritten(beast::error_code error) {
    if (error) return Fail(http_failure::kResponseLost, error);
    reader_.AsyncRead(
        stream_, [this](const beast::error_code& failed) { OnRead(failed); });
  }

  void OnRead(beast::error_code error) {
    if (error) return Fail(http_failure::kResponseLost, error);
    auto response = reader_.parser().release();
    result_.status = response.result_int();
    result_.body = std::move(response.body());
  }

  asio::io_context context_;
  beast::tcp_stream stream_;
  http::request<http::string_body> message_;
  http_message_reader<false> reader_{kResponseLimits};
  cli_http_result result_;
};

}  // namespace

cli_http_result SendHttp(const socket_address& address,
                         const cli_http_request& request,
                         std::chrono::milliseconds timeout) {
  return http_exchange(address, request).Run(address, timeout);
}

}  // namespace bilberrycourse
