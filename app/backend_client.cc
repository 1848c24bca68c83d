#include "app/backend_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <utility>

#include "app/daemon_clock.h"
#include "app/http_message.h"
#include "app/http_message_reader.h"
#include "app/json_log.h"
#include "app/settings.h"
#include "bilberrycourse/rest_time.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// The cancellation connection is closed if the backend server does not answer a
// cancellation within this time. The next cancellation opens a new one.
constexpr std::chrono::seconds kCancelTimeout{2};
constexpr std::size_t kMaxQueuedCancels = 1000;
// Log lines per second about replies with an invalid status.
constexpr double kStatusLogsPerSecond = 5;
constexpr unsigned kHttp11 = 11;
constexpr unsigned kBadGateway = 502;
// The answer to a cancellation has no content that is used.
constexpr http_read_limits kCancelReplyLimits{8192, 16 * 1024, 64 * 1024};

client_request MakePost(const std::string& path, const std::string& host) {
  client_request request(http::verb::post, path, kHttp11);
  request.set(http::field::host, host);
  request.keep_alive(true);
  return request;
}

index_version ParseVersion(const client_response& reply) {
  const auto text = reply["X-Snapshot"];
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return index_version{value};
}

}  // namespace

// Sends cancellations to one backend server, one at a time. They are best
// effort: an error drops all queued cancellations.
class backend_client::cancel_channel
    : public std::enable_shared_from_this<cancel_channel> {
 public:
  cancel_channel(const asio::any_io_executor& executor, std::string address)
      : address_(std::move(address)), stream_(executor) {}

  void Queue(const std::string& wire_id) {
    if (queue_.size() >= kMaxQueuedCancels) return;
    queue_.push_back(wire_id);
    if (!busy_) SendNext();
  }

  void Close() {
    closed_ = true;
    stream_.close();
  }

 private:
  void SendNext() {
    if (closed_ || queue_.empty()) return;
    busy_ = true;
    stream_.expires_after(kCancelTimeout);
    if (connected_) return Write();
    socket_address parsed;
    if (!ParseSocketAddress(address_, &parsed)) return Reset();
    stream_.async_connect(
        tcp::endpoint(asio::ip::make_address(parsed.ip), parsed.port),
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Reset();
          self->connected_ = true;
          self->Write();
        });
  }

  void Write() {
    request_ = MakePost("/cancel", address_);
    request_.set("X-Attempt-Id", queue_.front());
    SetContentLength(&request_);
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        if (error) return self->Reset();
                        self->Read();
                      });
  }

  void Read() {
    reader_.BeginExchange();
    reader_.BeginMessage();
    reader_.AsyncRead(
        stream_, [self = shared_from_this()](const beast::error_code& error) {
          if (error || !self->reader_.parser().get().keep_alive())
            return self->Reset();
          self->queue_.pop_front();
          self->busy_ = false;
          // No timeout applies while no cancellation is queued.
          self->stream_.expires_never();
          self->SendNext();
        });
  }

  void Reset() {
    stream_.close();
    reader_.Clear();
    connected_ = false;
    busy_ = false;
    queue_.clear();
  }

  const std::string address_;
  beast::tcp_stream stream_;
  http_message_reader<false> reader_{kCancelReplyLimits};
  client_request request_;
  std::deque<std::string> queue_;
  bool connected_ = false;
  bool busy_ = false;
  bool closed_ = false;
};

backend_client::backend_client(asio::any_io_executor executor,
                               const http_client_options& options,
                               backend_client_handler* handler)
    : executor_(std::move(executor)),
      handler_(handler),
      status_log_limiter_(kStatusLogsPerSecond),
      http_(executor_, options, this) {}

backend_client::~backend_client() { CloseAll(); }

void backend_client::Open(connection_id id, const std::string& address) {
  open_connections_[id].address = address;
  http_.Open(id, address);
}

void backend_client::Close(connection_id id) {
  open_connections_.erase(id);
  http_.Close(id);
}

void backend_client::SendAttempt(connection_id id,
                                 const backend_attempt& attempt) {
  const auto found = open_connections_.find(id);
  if (found == open_connections_.end()) return;
  found->second.attempt = attempt.id;
  client_request request = MakePost("/attempt", found->second.address);
  request.set("X-Attempt-Id", attempt.wire_id);
  request.set("X-Deadline-Ms", std::to_string(attempt.remaining.count()));
  request.set("X-Snapshot",
              std::to_string(static_cast<std::uint64_t>(attempt.version)));
  if (!attempt.traceparent.empty()) {
    request.set("traceparent", attempt.traceparent);
  }
  request.set(http::field::content_type, "application/json");
  request.body() = attempt.body;
  SetContentLength(&request);
  http_.Send(id, std::move(request));
}

void backend_client::Cancel(const std::string& address,
                            const std::string& wire_id) {
  auto& channel = cancel_channels_[address];
  if (channel == nullptr) {
    channel = std::make_shared<cancel_channel>(executor_, address);
  }
  channel->Queue(wire_id);
}

void backend_client::CloseAll() {
  open_connections_.clear();
  http_.CloseAll();
  for (const auto& [address, channel] : cancel_channels_) channel->Close();
  cancel_channels_.clear();
}

void backend_client::OnConnectionOpened(connection_id id) {
  handler_->OnBackendOpened(id);
}

void backend_client::OnConnectionClosed(connection_id id, connection_end end) {
  const auto found = open_connections_.find(id);
  std::optional<attempt_id> attempt;
  if (found != open_connections_.end()) {
    if (end == connection_end::kInvalidStatus) {
      LogInvalidStatus(found->second.address);
    }
    attempt = found->second.attempt;
    open_connections_.erase(found);
  }
  const bool failed_reply = end == connection_end::kReplyLimit ||
                            end == connection_end::kInvalidStatus;
  if (failed_reply && attempt.has_value()) {
    // The server has failed, but it did not crash: a lost connection would
    // count as evidence against the content of the request.
    backend_reply reply;
    reply.status = kBadGateway;
    reply.body = std::make_shared<const std::string>();
    handler_->OnBackendReply(id, *attempt, reply);
  }
  handler_->OnBackendClosed(id, end != connection_end::kNotOpened);
}

void backend_client::LogInvalidStatus(const std::string& address) {
  if (!status_log_limiter_.Allow(Now())) return;
  const result_code_info& info = Describe(result_code::kInvalidReplyStatus);
  LogEvent(log_level::kWarning, "reply_status_invalid",
           {{"address", address},
            {"code", info.number},
            {"reason", info.name},
            {"left_out", status_log_limiter_.TakeSuppressedCount()}});
}

bool backend_client::IsExpectedResponse(connection_id, const client_response&) {
  return true;
}

void backend_client::OnResponse(connection_id id, client_response response,
                                bool keep_alive) {
  const auto found = open_connections_.find(id);
  if (found == open_connections_.end() || !found->second.attempt.has_value())
    return;
  const attempt_id attempt = *found->second.attempt;
  found->second.attempt.reset();
  backend_reply reply;
  reply.status = response.result_int();
  reply.not_run = response["X-Not-Run"] == "1";
  reply.version = ParseVersion(response);
  std::vector<std::string_view> limits;
  const auto [first, last] = response.equal_range("X-Request-Limit");
  for (auto field = first; field != last; ++field) {
    limits.emplace_back(field->value().data(), field->value().size());
  }
  reply.limit = ParseRequestLimit(limits);
  if (reply.not_run) {
    const std::string_view rest = response[http::field::retry_after];
    reply.rest = ParseRestTime({rest});
  }
  reply.body = std::make_shared<const std::string>(std::move(response.body()));
  handler_->OnBackendReply(id, attempt, reply);
  // The handler may have closed the connection in OnBackendReply().
  if (keep_alive || open_connections_.erase(id) == 0) return;
  http_.Close(id);
  handler_->OnBackendClosed(id, true);
}

}  // namespace bilberrycourse
