#include "app/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <optional>
#include <set>

#include "app/problem_details.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds kDrainTimeout{1};

result_code ReadErrorCode(const beast::error_code& error) {
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return result_code::kRequestTooLarge;
  }
  if (error == beast::error::timeout) return result_code::kRequestTimeout;
  return result_code::kMalformedRequest;
}

// Hop-by-hop headers, Content-Length and Host.
constexpr std::array<http::field, 9> kConnectionFields = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::content_length,
    http::field::host};

header_list EndToEndHeaders(const http::request<http::string_body>& message) {
  http::token_list connection_options(message[http::field::connection]);
  header_list headers;
  for (const auto& field : message) {
    const bool connection_field =
        std::find(kConnectionFields.begin(), kConnectionFields.end(),
                  field.name()) != kConnectionFields.end();
    if (connection_field || connection_options.exists(field.name_string()))
      continue;
    headers.emplace_back(field.name_string(), field.value());
  }
  return headers;
}

std::string RetryAfterText(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g", seconds);
  return text.data();
}

std::string Field(const http::request<http::string_body>& message,
                  std::string_view name) {
  const auto found = message.find(name);
  return found == message.end() ? std::string() : std::string(found->value());
}

}  // namespace

http_response ProblemResponse(result_code code, std::string_view detail,
                              boost::json::object members) {
  return {static_cast<unsigned>(Describe(code).http_status),
          "application/problem+json", ProblemText(code, detail, members), 0};
}

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::any_io_executor io_executor, http_server_options server_options,
       http_handler request_handler)
      : executor(std::move(io_executor)),
        acceptor(executor),
        options(std::move(server_options)),
        handler(std::move(request_handler)) {}

  boost::leaf::result<void> Listen();
  void Accept();

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  http_server_options options;
  http_handler handler;
  std::set<std::shared_ptr<session>> sessions;
  std::size_t pending = 0;
  bool draining = false;
  bool stopping = false;
};

class http_server::session : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<impl> server, tcp::socket socket)
      : server_(std::move(server)),
        stream_(std::move(socket)),
        timer_(server_->executor) {
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(server_->options.max_request_bytes);
    parser_->header_limit(server_->options.max_header_bytes);
    reading_request_ = true;
    // An idle keep-alive connection may stay open; the timeout starts with
    // the first byte of a request.
    stream_.expires_never();
    if (buffer_.size() > 0) return ReadRequest();
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Close();
          self->ReadRequest();
        });
  }

  void CloseIfIdle() {
    if (reading_request_) Close();
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    server_->sessions.erase(shared_from_this());
  }

 private:
  // The timeout of tcp_stream would close the socket before a slow caller gets
  // an error response. A separate timer that only cancels the read keeps the
  // socket open for the response.
  void ReadRequest() {
    received_at_ = std::chrono::steady_clock::now();
    timed_out_ = false;
    timer_.expires_after(server_->options.read_timeout);
    timer_.async_wait([self = shared_from_this()](const beast::error_code& e) {
      if (e || !self->reading_request_ || self->closed_) return;
      self->timed_out_ = true;
      beast::error_code ignored;
      self->stream_.socket().cancel(ignored);
    });
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t) { self->ReadDone(error); });
  }

  void ReadDone(beast::error_code error) {
    reading_request_ = false;
    timer_.cancel();
    if (closed_) return;
    if (error == asio::error::operation_aborted && timed_out_) {
      error = beast::error::timeout;
    }
    if (error == http::error::end_of_stream ||
        (error && !IsInputError(error))) {
      return Close();
    }
    if (error) {
      keep_alive_ = false;
      ++server_->pending;
      return Write(ProblemResponse(ReadErrorCode(error)));
    }
    Handle();
  }

  static bool IsInputError(const beast::error_code& error) {
    return error.category() ==
               http::make_error_code(http::error::bad_target).category() ||
           error == beast::error::timeout;
  }

  void Handle() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t query_mark = target.find('?');
    request.path = target.substr(0, query_mark);
    request.target = target;
    request.host = Field(message, "Host");
    request.received_at = received_at_;
    request.first_on_connection = !request_received_;
    request_received_ = true;
    head_request_ = message.method() == http::verb::head;
    if (server_->options.keep_headers) {
      request.headers = EndToEndHeaders(message);
    }
    if (query_mark != std::string::npos)
      request.query = target.substr(query_mark + 1);
    request.idempotency_key = Field(message, "Idempotency-Key");
    request.traceparent = Field(message, "traceparent");
    request.authorization = Field(message, "Authorization");
    request.body = std::move(message.body());
    request.on_disconnect = std::make_shared<std::function<void()>>();
    on_disconnect_ = request.on_disconnect;
    ++server_->pending;
    WatchDisconnect();
    server_->handler(std::move(request),
                     [self = shared_from_this()](http_response response) {
                       self->Write(std::move(response));
                     });
  }

  // Calls on_disconnect if the caller closes its connection while its request
  // runs.
  void WatchDisconnect() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& error) {
          if (error || self->on_disconnect_ == nullptr) return;
          beast::error_code ignored;
          if (self->stream_.socket().available(ignored) > 0) return;
          const auto call = self->on_disconnect_;
          if (*call) (*call)();
        });
  }

  void Write(http_response response) {
    on_disconnect_.reset();
    if (closed_ || response.abort) {
      --server_->pending;
      return Close();
    }
    response_ = {};
    response_.result(response.status);
    response_.version(11);
    for (const auto& [name, value] : response.headers) {
      response_.insert(name, value);
    }
    if (!response.content_type.empty()) {
      response_.set(http::field::content_type, response.content_type);
    }
    if (response.retry_after > 0) {
      response_.set(http::field::retry_after,
                    RetryAfterText(response.retry_after));
    }
    response_.keep_alive(keep_alive_ && !server_->draining);
    response_.body() = std::move(response.body);
    if (head_request_) {
      // Content-Length would be that of the body that GET returns, so
      // prepare_payload() must not set it to 0.
      response_.body().clear();
    } else {
      response_.prepare_payload();
    }
    stream_.expires_after(server_->options.read_timeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t) { self->WriteDone(error); });
  }

  void WriteDone(const beast::error_code& error) {
    --server_->pending;
    if (error) return Close();
    if (!response_.keep_alive()) return CloseGracefully();
    Read();
  }

  // Closing a socket with unread input resets the connection, and the caller
  // could lose the response. Further input is read and dropped, within limits
  // of time and size.
  void CloseGracefully() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kDrainTimeout);
    Drain(server_->options.max_request_bytes);
  }

  void Drain(std::size_t remaining) {
    if (closed_) return;
    stream_.async_read_some(
        asio::buffer(discard_buffer_),
        [self = shared_from_this(), remaining](const beast::error_code& error,
                                               std::size_t size) {
          if (error || size >= remaining) return self->Close();
          self->Drain(remaining - size);
        });
  }

  std::shared_ptr<impl> server_;
  beast::tcp_stream stream_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::array<char, 4096> discard_buffer_{};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::shared_ptr<std::function<void()>> on_disconnect_;
  std::chrono::steady_clock::time_point received_at_;
  bool request_received_ = false;
  bool head_request_ = false;
  bool keep_alive_ = true;
  bool reading_request_ = false;
  bool timed_out_ = false;
  bool closed_ = false;
};

boost::leaf::result<void> http_server::impl::Listen() {
  beast::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(options.listen.ip),
                               options.listen.port);
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return boost::leaf::new_error(result_code::kAddressInUse,
                                  options.listen.ToText());
  }
  Accept();
  return {};
}

void http_server::impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (self->stopping) return;
        if (!error && self->sessions.size() < self->options.max_connections) {
          auto new_session = std::make_shared<session>(self, std::move(socket));
          self->sessions.insert(new_session);
          new_session->Read();
        }
        self->Accept();
      });
}

http_server::http_server(asio::any_io_executor executor,
                         http_server_options options, http_handler handler)
    : impl_(std::make_shared<impl>(std::move(executor), std::move(options),
                                   std::move(handler))) {}

http_server::~http_server() { Close(); }

boost::leaf::result<void> http_server::Listen() { return impl_->Listen(); }

void http_server::BeginDrain() { impl_->draining = true; }

void http_server::StopAccepting() {
  impl_->draining = true;
  impl_->stopping = true;
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
  const auto sessions = impl_->sessions;
  for (const auto& open_session : sessions) open_session->CloseIfIdle();
}

std::size_t http_server::pending() const { return impl_->pending; }

void http_server::Close() {
  StopAccepting();
  const auto sessions = impl_->sessions;
  for (const auto& open_session : sessions) open_session->Close();
}

}  // namespace bilberrycourse
