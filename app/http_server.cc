#include "app/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <set>

#include "app/daemon_clock.h"
#include "app/http_message.h"
#include "app/http_message_reader.h"
#include "app/json_log.h"
#include "app/listening_socket.h"
#include "app/log_limiter.h"
#include "app/problem_details.h"
#include "app/socket_state.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// How long a connection stays open after its last answer, for a caller that has
// not closed it yet.
constexpr std::chrono::seconds kDrainTimeout{1};
// A caller that still receives its answer then gets that time again, so often.
constexpr int kMaxDrainTimeouts = 10;
// Part of the memory that is reserved for small messages, in equal shares of
// all connections.
constexpr std::uint64_t kSmallMessagesDivisor = 4;
// Retry-After value, in seconds, of a request that was refused for lack of
// memory. The repeat reaches another instance.
constexpr double kMemoryRetrySeconds = 0.3;
constexpr double kMemoryLogsPerSecond = 5;
// A target may be longer than a line of the log.
constexpr std::size_t kMaxLoggedTarget = 200;

http_read_limits ReadLimits(const http_server_options& options) {
  http_read_limits limits;
  limits.max_head_bytes = options.max_header_bytes;
  limits.max_body_bytes = options.max_request_bytes;
  limits.max_exchange_bytes = options.max_header_bytes +
                              options.max_request_bytes +
                              options.max_framing_bytes;
  return limits;
}

std::uint64_t SmallMessageBytes(const http_server_options& options) {
  return options.max_buffered_bytes / kSmallMessagesDivisor;
}

result_code ReadErrorCode(const beast::error_code& error) {
  if (IsSizeLimit(error)) return result_code::kRequestTooLarge;
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

std::vector<std::string> Fields(const http::request<http::string_body>& message,
                                http::field name) {
  std::vector<std::string> values;
  const auto [first, last] = message.equal_range(name);
  for (auto field = first; field != last; ++field) {
    values.emplace_back(field->value());
  }
  return values;
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
        accept_timer(executor),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        budget(options.max_buffered_bytes - SmallMessageBytes(options),
               SmallMessageBytes(options) / options.max_connections),
        memory_log_limiter(kMemoryLogsPerSecond) {}

  boost::leaf::result<void> Listen();
  void Accept();
  void AcceptLater();
  beast::error_code AcceptQueued();
  void Start(tcp::socket socket);

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  http_server_options options;
  http_handler handler;
  memory_budget budget;
  log_limiter memory_log_limiter;
  // Receives input that is dropped.
  std::array<char, 4096> discard_buffer{};
  std::set<std::shared_ptr<session>> sessions;
  // The latest time at which the listen queue was empty for certain.
  time_point queue_empty_at = Now();
  std::size_t pending = 0;
  bool draining = false;
  bool stopping = false;
  bool closed = false;
};

class http_server::session : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<impl> server, tcp::socket socket)
      : server_(std::move(server)),
        stream_(std::move(socket)),
        timer_(server_->executor),
        holder_(&server_->budget, [this] { GiveMemoryUp(); }),
        reader_(ReadLimits(server_->options), &holder_),
        accepted_at_(std::chrono::steady_clock::now()),
        sent_after_(server_->queue_empty_at) {
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
  }

  void Read() {
    reader_.BeginExchange();
    reader_.BeginMessage();
    // An idle keep-alive connection may stay open; the timeout starts with
    // the first byte of a request.
    stream_.expires_never();
    if (reader_.has_unread_bytes()) return ReadRequest();
    SetState(session_state::kIdle);
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& error) {
          if (self->state_ != session_state::kIdle &&
              self->state_ != session_state::kLastRequest) {
            return;
          }
          if (error) return self->Close();
          self->ReadRequest();
        });
  }

  // Closes the connection unless a request has arrived or is expected. Called
  // in a shutdown, when the request may be in the socket's buffer already: a
  // close would then reset the connection, although the caller has kept to the
  // protocol.
  void CloseIfIdle() {
    if (state_ != session_state::kIdle) return;
    beast::error_code ignored;
    if (stream_.socket().available(ignored) > 0) {
      // The wait for the first byte, which is outstanding, reads the request.
      SetState(session_state::kLastRequest);
      return;
    }
    const auto first_request_due =
        accepted_at_ + server_->options.first_request_timeout;
    if (request_received_ ||
        std::chrono::steady_clock::now() >= first_request_due) {
      return CloseGracefully(UnacknowledgedBytes(stream_.socket()) > 0
                                 ? session_state::kDelivering
                                 : session_state::kDraining);
    }
    SetState(session_state::kLastRequest);
    timer_.expires_at(first_request_due);
    timer_.async_wait([self = shared_from_this()](const beast::error_code& e) {
      if (!e && self->state_ == session_state::kLastRequest)
        self->CloseGracefully(session_state::kDraining);
    });
  }

  bool pending() const { return IsPending(state_); }

  unfinished_connection Describe() {
    unfinished_connection out;
    out.state = ToString(state_);
    out.target = target_;
    if (state_ != session_state::kLastRequest) {
      out.age = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - received_at_);
    }
    out.unacknowledged_bytes = UnacknowledgedBytes(stream_.socket());
    return out;
  }

  void Close() {
    if (state_ == session_state::kClosed) return;
    SetState(session_state::kClosed);
    timer_.cancel();
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    server_->sessions.erase(shared_from_this());
  }

 private:
  enum class session_state : std::uint8_t {
    // Waiting for the first byte of a request.
    kIdle = 0,
    // As kIdle, in a shutdown: the connection closes after this request.
    kLastRequest = 1,
    kReading = 2,
    kHandling = 3,
    // The last answer has been written and our side is closed, but the caller
    // may not have received all of it.
    kDelivering = 4,
    // As kDelivering, without an answer since the connection became idle.
    kDraining = 5,
    kClosed = 6,
  };

  static std::string_view ToString(session_state state) {
    constexpr std::array<std::string_view, 7> kNames = {
        "idle",       "first_request", "reading", "handling",
        "delivering", "draining",      "closed"};
    return kNames[static_cast<std::size_t>(state)];
  }

  static bool IsPending(session_state state) {
    return state == session_state::kLastRequest ||
           state == session_state::kReading ||
           state == session_state::kHandling ||
           state == session_state::kDelivering;
  }

  void SetState(session_state state) {
    if (IsPending(state)) ++server_->pending;
    if (IsPending(state_)) --server_->pending;
    state_ = state;
  }

  // Another connection needs the memory.
  void GiveMemoryUp() {
    LogMemoryRefusal();
    if (state_ != session_state::kReading) return Close();
    out_of_memory_ = true;
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
  }

  void LogMemoryRefusal() {
    log_limiter& limiter = server_->memory_log_limiter;
    if (!limiter.Allow(Now())) return;
    const std::string target =
        target_.empty() ? std::string(reader_.parser().get().target())
                        : target_;
    const result_code_info& reason =
        bilberrycourse::Describe(result_code::kMemoryExhausted);
    LogEvent(
        log_level::kWarning, "memory_refused",
        {{"code", reason.number},
         {"reason", reason.name},
         {"state", ToString(state_)},
         {"target", target.substr(0, kMaxLoggedTarget)},
         {"held_bytes", reader_.held_bytes() + response_.body().capacity()},
         {"used_bytes", server_->budget.used_bytes()},
         {"max_bytes", server_->budget.max_bytes()},
         {"left_out", limiter.TakeSuppressedCount()}});
  }

  // The timeout of tcp_stream would close the socket before a slow caller gets
  // an error response. A separate timer that only cancels the read keeps the
  // socket open for the response.
  void ReadRequest() {
    SetState(session_state::kReading);
    received_at_ = std::chrono::steady_clock::now();
    target_.clear();
    timed_out_ = false;
    out_of_memory_ = false;
    timer_.expires_after(server_->options.read_timeout);
    timer_.async_wait([self = shared_from_this()](const beast::error_code& e) {
      if (e || self->state_ != session_state::kReading) return;
      self->timed_out_ = true;
      beast::error_code ignored;
      self->stream_.socket().cancel(ignored);
    });
    reader_.AsyncRead(
        stream_, [self = shared_from_this()](const beast::error_code& error) {
          self->ReadDone(error);
        });
  }

  void ReadDone(beast::error_code error) {
    if (state_ != session_state::kReading) return;
    if (error == kOutOfMemory) LogMemoryRefusal();
    SetState(session_state::kHandling);
    timer_.cancel();
    if (out_of_memory_ || error == kOutOfMemory) return RefuseForMemory();
    if (error == asio::error::operation_aborted && timed_out_) {
      error = beast::error::timeout;
    }
    if (error == http::error::end_of_stream ||
        (error && !IsInputError(error))) {
      return Close();
    }
    if (error) return RefuseUnread(ProblemResponse(ReadErrorCode(error)));
    if (!IsTransferCodingSupported(reader_.parser().get())) {
      return RefuseUnread(ProblemResponse(result_code::kMalformedRequest,
                                          "unsupported Transfer-Encoding"));
    }
    // The handler uses the memory until it answers.
    holder_.SetReclaimable(false);
    Handle();
  }

  void RefuseForMemory() {
    http_response response = ProblemResponse(result_code::kMemoryExhausted);
    response.retry_after = kMemoryRetrySeconds;
    RefuseUnread(std::move(response));
  }

  // Answers a request that was not read to its end.
  void RefuseUnread(http_response response) {
    keep_alive_ = false;
    reader_.Clear();
    holder_.Renew();
    Write(std::move(response));
  }

  static bool IsInputError(const beast::error_code& error) {
    return error.category() ==
               http::make_error_code(http::error::bad_target).category() ||
           error == beast::error::timeout;
  }

  void Handle() {
    auto message = reader_.parser().release();
    keep_alive_ = message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t query_mark = target.find('?');
    request.path = target.substr(0, query_mark);
    request.target = target;
    target_ = target;
    request.host = Field(message, "Host");
    request.received_at = received_at_;
    request.sent_after = sent_after_;
    request.first_on_connection = !request_received_;
    request_received_ = true;
    head_request_ = message.method() == http::verb::head;
    if (server_->options.keep_headers) {
      request.headers = EndToEndHeaders(message);
      request.authorization_fields =
          Fields(message, http::field::authorization);
    }
    if (query_mark != std::string::npos)
      request.query = target.substr(query_mark + 1);
    request.idempotency_key = Field(message, "Idempotency-Key");
    request.traceparent = Field(message, "traceparent");
    request.authorization = Field(message, "Authorization");
    request.body = std::move(message.body());
    request.on_disconnect = std::make_shared<std::function<void()>>();
    on_disconnect_ = request.on_disconnect;
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
    if (state_ == session_state::kClosed) return;
    if (!Build(std::move(response))) {
      LogEvent(log_level::kError, "response_not_built", {{"target", target_}});
      Build(ProblemResponse(result_code::kInternal));
    }
    holder_.SetReclaimable(true);
    if (!holder_.Resize(reader_.held_bytes() + response_.body().capacity())) {
      LogMemoryRefusal();
      return Close();
    }
    stream_.expires_after(server_->options.read_timeout);
    answered_at_ = Now();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t) { self->WriteDone(error); });
  }

  // Returns false if HTTP can't express the response.
  bool Build(http_response response) {
    response_ = {};
    if (response.status > kMaxHttpStatus) return false;
    response_.result(response.status);
    response_.version(11);
    for (const auto& [name, value] : response.headers) {
      if (!AddField(&response_, name, value)) return false;
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
      // Content-Length would be that of the body that GET returns, so it must
      // not be set to 0.
      response_.body().clear();
    } else {
      SetContentLength(&response_);
    }
    return true;
  }

  void WriteDone(const beast::error_code& error) {
    if (error) return Close();
    const bool keep_alive = response_.keep_alive();
    response_ = {};
    if (!keep_alive) {
      return CloseGracefully(session_state::kDelivering);
    }
    UpdateSentAfter();
    Read();
    if (server_->stopping) CloseIfIdle();
  }

  // The caller sends its next request after it has received this answer, unless
  // bytes of that request have arrived already.
  void UpdateSentAfter() {
    if (!server_->options.bound_send_times) return;
    beast::error_code error;
    const std::size_t unread = stream_.socket().available(error);
    if (error || unread > 0 || reader_.has_unread_bytes()) return;
    sent_after_ = answered_at_;
  }

  // Closing a socket with unread input resets the connection, and the caller
  // could lose the response. Further input is read and dropped, within limits
  // of time and size.
  void CloseGracefully(session_state state) {
    SetState(state);
    reader_.Clear();
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_never();
    LimitDrainTime(kMaxDrainTimeouts, UnacknowledgedBytes(stream_.socket()));
    Drain(server_->options.max_request_bytes);
  }

  // Closes the connection after kDrainTimeout, but not while the caller still
  // receives the answer.
  void LimitDrainTime(int timeouts_left, int unacknowledged) {
    timer_.expires_after(kDrainTimeout);
    timer_.async_wait([self = shared_from_this(), timeouts_left,
                       unacknowledged](const beast::error_code& error) {
      if (error || self->state_ == session_state::kClosed) return;
      const int left = UnacknowledgedBytes(self->stream_.socket());
      if (left == 0 || left >= unacknowledged || timeouts_left <= 1) {
        return self->Close();
      }
      self->LimitDrainTime(timeouts_left - 1, left);
    });
  }

  void Drain(std::size_t remaining) {
    if (state_ == session_state::kClosed) return;
    stream_.async_read_some(
        asio::buffer(server_->discard_buffer),
        [self = shared_from_this(), remaining](const beast::error_code& error,
                                               std::size_t size) {
          // A caller that has closed its sending side may still receive;
          // LimitDrainTime() then closes the connection.
          if (error == asio::error::eof &&
              UnacknowledgedBytes(self->stream_.socket()) > 0) {
            return;
          }
          if (error || size >= remaining) return self->Close();
          self->Drain(remaining - size);
        });
  }

  std::shared_ptr<impl> server_;
  beast::tcp_stream stream_;
  asio::steady_timer timer_;
  memory_holder holder_;
  http_message_reader<true> reader_;
  const std::chrono::steady_clock::time_point accepted_at_;
  // See http_request::sent_after.
  time_point sent_after_;
  // Time at which the latest answer was about to be written.
  time_point answered_at_{};
  http::response<http::string_body> response_;
  std::shared_ptr<std::function<void()>> on_disconnect_;
  std::chrono::steady_clock::time_point received_at_;
  // Of the current request.
  std::string target_;
  bool request_received_ = false;
  bool head_request_ = false;
  bool keep_alive_ = true;
  bool timed_out_ = false;
  bool out_of_memory_ = false;
  session_state state_ = session_state::kIdle;
};

boost::leaf::result<void> http_server::impl::Listen() {
  queue_empty_at = Now();
  BOOST_LEAF_CHECK(BindAndListen(options.listen, &acceptor));
  boost::system::error_code ignored;
  acceptor.non_blocking(true, ignored);
  Accept();
  return {};
}

// Waits for connections and accepts them in AcceptQueued(). An asynchronous
// accept would take a connection off the queue some time before its handler
// runs, and queue_empty_at could be set in between.
void http_server::impl::Accept() {
  acceptor.async_wait(tcp::acceptor::wait_read,
                      [self = shared_from_this()](beast::error_code error) {
                        if (self->stopping) return;
                        if (!error) error = self->AcceptQueued();
                        if (IsResourceShortage(error))
                          return self->AcceptLater();
                        self->Accept();
                      });
}

void http_server::impl::AcceptLater() {
  accept_timer.expires_after(kAcceptRetryDelay);
  accept_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->stopping) self->Accept();
      });
}

void http_server::impl::Start(tcp::socket socket) {
  if (sessions.size() >= options.max_connections) return;
  auto new_session =
      std::make_shared<session>(shared_from_this(), std::move(socket));
  sessions.insert(new_session);
  new_session->Read();
  if (stopping) new_session->CloseIfIdle();
}

// Accepts the connections in the listen queue. Returns why it stopped: the
// queue is empty, or the system can't accept more.
beast::error_code http_server::impl::AcceptQueued() {
  while (true) {
    // Read first: the process may be frozen between the two calls.
    const time_point before = Now();
    tcp::socket socket(executor);
    beast::error_code error;
    acceptor.accept(socket, error);
    if (error == asio::error::would_block) queue_empty_at = before;
    if (error) return error;
    Start(std::move(socket));
  }
}

http_server::http_server(asio::any_io_executor executor,
                         http_server_options options, http_handler handler)
    : impl_(std::make_shared<impl>(std::move(executor), std::move(options),
                                   std::move(handler))) {}

http_server::~http_server() { Close(); }

boost::leaf::result<void> http_server::Listen() { return impl_->Listen(); }

void http_server::AcceptPending() {
  if (!impl_->stopping) impl_->AcceptQueued();
}

void http_server::BeginDrain() { impl_->draining = true; }

void http_server::StopAccepting() {
  if (impl_->stopping) return;
  impl_->draining = true;
  impl_->stopping = true;
  // Closing the acceptor would reset the connections in the listen queue,
  // although their callers may have sent requests already.
  impl_->AcceptQueued();
  boost::system::error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->accept_timer.cancel();
  const auto sessions = impl_->sessions;
  for (const auto& open_session : sessions) open_session->CloseIfIdle();
}

std::size_t http_server::pending() const { return impl_->pending; }

std::vector<unfinished_connection> http_server::Unfinished(
    std::size_t limit) const {
  std::vector<unfinished_connection> out;
  for (const auto& open_session : impl_->sessions) {
    if (out.size() == limit) break;
    if (open_session->pending()) out.push_back(open_session->Describe());
  }
  return out;
}

std::uint64_t http_server::buffered_bytes() const {
  return impl_->budget.used_bytes();
}

std::uint64_t http_server::memory_refusals() const {
  return impl_->budget.reclaims();
}

void http_server::Close() {
  impl_->closed = true;
  StopAccepting();
  const auto sessions = impl_->sessions;
  for (const auto& open_session : sessions) open_session->Close();
}

}  // namespace bilberrycourse
