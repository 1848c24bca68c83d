#include "app/backend_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "app/settings.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// A backend server that answers no cancellation for this long gets a new
// cancellation connection.
constexpr std::chrono::seconds kCancelTimeout{2};
constexpr std::size_t kMaxQueuedCancels = 1000;

http::request<http::string_body> MakePost(const std::string& path,
                                          const std::string& host) {
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set(http::field::host, host);
  request.keep_alive(true);
  return request;
}

index_version VersionField(const http::response<http::string_body>& reply) {
  const auto text = reply["X-Snapshot"];
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return index_version{value};
}

tcp::endpoint ToEndpoint(const socket_address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace

class backend_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::any_io_executor run_on, backend_client_options configured,
       backend_client_handler* receiver)
      : executor(std::move(run_on)), options(configured), handler(receiver) {}

  asio::any_io_executor executor;
  backend_client_options options;
  backend_client_handler* handler;
  std::map<connection_id, std::shared_ptr<connection>> connections;
  std::map<std::string, std::shared_ptr<cancel_channel>> cancels;
};

// A connection always has one read outstanding, so that a close by the
// backend server is noticed while the connection is idle, too.
class backend_client::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<impl> client, connection_id id,
             std::string address)
      : client_(std::move(client)),
        id_(id),
        address_(std::move(address)),
        stream_(client_->executor) {}

  void Open() {
    socket_address parsed;
    if (!ParseSocketAddress(address_, &parsed)) {
      asio::post(client_->executor,
                 [self = shared_from_this()] { self->Fail(); });
      return;
    }
    stream_.expires_after(client_->options.connect_timeout);
    stream_.async_connect(
        ToEndpoint(parsed),
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Fail();
          self->Opened();
        });
  }

  void Send(const backend_attempt& attempt) {
    attempt_ = attempt.id;
    request_ = MakePost("/attempt", address_);
    request_.set("X-Attempt-Id", attempt.wire_id);
    request_.set("X-Deadline-Ms", std::to_string(attempt.remaining.count()));
    request_.set("X-Snapshot",
                 std::to_string(static_cast<std::uint64_t>(attempt.version)));
    if (!attempt.traceparent.empty()) {
      request_.set("traceparent", attempt.traceparent);
    }
    request_.set(http::field::content_type, "application/json");
    if (attempt.body != nullptr) request_.body() = *attempt.body;
    request_.prepare_payload();
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        if (error) self->Fail();
                      });
  }

  void CloseSilently() {
    closed_ = true;
    stream_.close();
  }

 private:
  void Opened() {
    if (closed_) return;
    opened_ = true;
    stream_.expires_never();
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Read();
    client_->handler->OnBackendOpened(id_);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(client_->options.max_reply_bytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t) { self->ReadDone(error); });
  }

  void ReadDone(const beast::error_code& error) {
    if (closed_) return;
    if (error || !attempt_.has_value()) return Fail();
    auto message = parser_->release();
    const attempt_id attempt = *attempt_;
    attempt_.reset();
    backend_reply reply;
    reply.status = message.result_int();
    reply.not_run = message["X-Not-Run"] == "1";
    reply.version = VersionField(message);
    reply.body = std::make_shared<const std::string>(std::move(message.body()));
    const bool keep = message.keep_alive();
    if (keep) Read();
    const auto self = shared_from_this();
    client_->handler->OnBackendReply(id_, attempt, reply);
    if (!keep) self->Fail();
  }

  void Fail() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    stream_.close();
    client_->connections.erase(id_);
    client_->handler->OnBackendClosed(id_, opened_);
  }

  std::shared_ptr<impl> client_;
  const connection_id id_;
  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  std::optional<attempt_id> attempt_;
  bool opened_ = false;
  bool closed_ = false;
};

// Sends cancellations to one backend server, one at a time. A cancellation is
// advice: it is dropped when the backend server does not take it.
class backend_client::cancel_channel
    : public std::enable_shared_from_this<cancel_channel> {
 public:
  cancel_channel(std::shared_ptr<impl> client, std::string address)
      : client_(std::move(client)),
        address_(std::move(address)),
        stream_(client_->executor) {}

  void Queue(const std::string& wire_id) {
    if (queue_.size() >= kMaxQueuedCancels) return;
    queue_.push_back(wire_id);
    if (!busy_) Next();
  }

  void Close() {
    closed_ = true;
    stream_.close();
  }

 private:
  void Next() {
    if (closed_ || queue_.empty()) return;
    busy_ = true;
    stream_.expires_after(kCancelTimeout);
    if (connected_) return Write();
    socket_address parsed;
    if (!ParseSocketAddress(address_, &parsed)) return Reset();
    stream_.async_connect(
        ToEndpoint(parsed),
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Reset();
          self->connected_ = true;
          self->Write();
        });
  }

  void Write() {
    request_ = MakePost("/cancel", address_);
    request_.set("X-Attempt-Id", queue_.front());
    request_.prepare_payload();
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        if (error) return self->Reset();
                        self->Read();
                      });
  }

  void Read() {
    response_ = {};
    http::async_read(stream_, buffer_, response_,
                     [self = shared_from_this()](const beast::error_code& error,
                                                 std::size_t) {
                       if (error || !self->response_.keep_alive())
                         return self->Reset();
                       self->queue_.pop_front();
                       self->busy_ = false;
                       // Between cancellations the connection may stay idle.
                       self->stream_.expires_never();
                       self->Next();
                     });
  }

  void Reset() {
    stream_.close();
    buffer_.clear();
    connected_ = false;
    busy_ = false;
    queue_.clear();
  }

  std::shared_ptr<impl> client_;
  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::deque<std::string> queue_;
  bool connected_ = false;
  bool busy_ = false;
  bool closed_ = false;
};

backend_client::backend_client(asio::any_io_executor executor,
                               backend_client_options options,
                               backend_client_handler* handler)
    : impl_(std::make_shared<impl>(std::move(executor), options, handler)) {}

backend_client::~backend_client() { CloseAll(); }

void backend_client::Open(connection_id id, const std::string& address) {
  auto opened = std::make_shared<connection>(impl_, id, address);
  impl_->connections[id] = opened;
  opened->Open();
}

void backend_client::Close(connection_id id) {
  const auto found = impl_->connections.find(id);
  if (found == impl_->connections.end()) return;
  const auto closing = found->second;
  impl_->connections.erase(found);
  closing->CloseSilently();
}

void backend_client::SendAttempt(connection_id id,
                                 const backend_attempt& attempt) {
  const auto found = impl_->connections.find(id);
  if (found != impl_->connections.end()) found->second->Send(attempt);
}

void backend_client::Cancel(const std::string& address,
                            const std::string& wire_id) {
  auto& channel = impl_->cancels[address];
  if (channel == nullptr) {
    channel = std::make_shared<cancel_channel>(impl_, address);
  }
  channel->Queue(wire_id);
}

void backend_client::CloseAll() {
  for (const auto& [id, each] : impl_->connections) each->CloseSilently();
  impl_->connections.clear();
  for (const auto& [address, each] : impl_->cancels) each->Close();
  impl_->cancels.clear();
}

std::size_t backend_client::connections() const {
  return impl_->connections.size();
}

}  // namespace bilberrycourse
