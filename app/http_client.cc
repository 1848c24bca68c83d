#include "app/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <unordered_map>
#include <utility>

#include "app/http_message_reader.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr unsigned kFirstFinalStatus = 200;

http_read_limits ReadLimits(const http_client_options& options) {
  http_read_limits limits;
  limits.max_head_bytes = options.max_head_bytes;
  limits.max_body_bytes = options.max_reply_bytes;
  limits.max_exchange_bytes = options.max_exchange_bytes;
  return limits;
}

}  // namespace

http_client_options ClientOptions(const settings& config,
                                  std::chrono::milliseconds connect_timeout) {
  http_client_options options;
  options.connect_timeout = connect_timeout;
  options.max_reply_bytes = config.max_reply_bytes;
  options.max_exchange_bytes = config.max_exchange_bytes;
  options.max_buffered_bytes = MemoryShares(config).replies;
  return options;
}

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::any_io_executor io_executor,
       const http_client_options& client_options,
       http_client_handler* event_handler)
      : executor(std::move(io_executor)),
        options(client_options),
        handler(event_handler),
        budget(options.max_buffered_bytes) {}

  asio::any_io_executor executor;
  http_client_options options;
  http_client_handler* handler;
  std::unordered_map<connection_id, std::shared_ptr<connection>> connections;
  memory_budget budget;
  std::uint64_t limit_closes = 0;
  std::uint64_t invalid_status_closes = 0;
};

class http_client::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<impl> client, connection_id id,
             std::string address)
      : client_(std::move(client)),
        id_(id),
        address_(std::move(address)),
        stream_(client_->executor),
        holder_(&client_->budget, [this] { CloseForMemory(); }),
        reader_(ReadLimits(client_->options), &holder_) {}

  void Open() {
    socket_address parsed;
    if (!ParseSocketAddress(address_, &parsed)) {
      asio::post(client_->executor, [self = shared_from_this()] {
        self->Fail(connection_end::kNotOpened);
      });
      return;
    }
    stream_.expires_after(client_->options.connect_timeout);
    stream_.async_connect(
        tcp::endpoint(asio::ip::make_address(parsed.ip), parsed.port),
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Fail(connection_end::kNotOpened);
          self->OnOpened();
        });
  }

  void Send(client_request request) {
    request_ = std::move(request);
    head_request_ = request_.method() == http::verb::head;
    awaiting_response_ = true;
    skipped_replies_ = 0;
    reader_.BeginExchange();
    writing_ = true;
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        self->writing_ = false;
                        self->request_ = {};
                        // The reply may still arrive although the request
                        // could not be written completely.
                        if (error && !self->awaiting_response_)
                          self->Fail(connection_end::kLost);
                      });
  }

  void CloseSilently() {
    closed_ = true;
    stream_.close();
  }

 private:
  // Another connection reads, and its handler must not be called within.
  void CloseForMemory() {
    asio::post(client_->executor, [self = shared_from_this()] {
      self->Fail(connection_end::kReplyLimit);
    });
  }

  void OnOpened() {
    if (closed_) return;
    stream_.expires_never();
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Read();
    client_->handler->OnConnectionOpened(id_);
  }

  // Waits for the first byte of a message, so that unsolicited bytes close an
  // idle connection even if they never make up a message.
  void Read() {
    reader_.BeginMessage();
    if (reader_.has_unread_bytes()) return ReadMessage();
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& error) {
          if (self->closed_) return;
          if (error || !self->awaiting_response_)
            return self->Fail(connection_end::kLost);
          self->ReadMessage();
        });
  }

  void ReadMessage() {
    if (head_request_) reader_.parser().skip(true);
    reader_.AsyncRead(
        stream_, [self = shared_from_this()](const beast::error_code& error) {
          self->ReadDone(error);
        });
  }

  void ReadDone(const beast::error_code& error) {
    if (closed_) return;
    if (IsSizeLimit(error) || error == kOutOfMemory) {
      return Fail(connection_end::kReplyLimit);
    }
    if (error == http::error::bad_status) {
      return Fail(connection_end::kInvalidStatus);
    }
    if (error || !IsTransferCodingSupported(reader_.parser().get())) {
      return Fail(connection_end::kLost);
    }
    const bool ends_at_close = reader_.parser().need_eof();
    client_response response = reader_.parser().release();
    if (response.result_int() < kFirstFinalStatus ||
        !client_->handler->IsExpectedResponse(id_, response)) {
      if (++skipped_replies_ > client_->options.max_skipped_replies)
        return Fail(connection_end::kReplyLimit);
      return Read();
    }
    awaiting_response_ = false;
    // The connection can't be reused if unsolicited bytes follow the reply or
    // if the request is still being written.
    const bool keep_alive = response.keep_alive() && !ends_at_close &&
                            !writing_ && !reader_.has_unread_bytes();
    const auto self = shared_from_this();
    if (keep_alive) Read();
    client_->handler->OnResponse(id_, std::move(response), keep_alive);
  }

  void Fail(connection_end end) {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    stream_.close();
    if (end == connection_end::kReplyLimit) ++client_->limit_closes;
    if (end == connection_end::kInvalidStatus) {
      ++client_->invalid_status_closes;
    }
    client_->connections.erase(id_);
    client_->handler->OnConnectionClosed(id_, end);
  }

  std::shared_ptr<impl> client_;
  const connection_id id_;
  const std::string address_;
  beast::tcp_stream stream_;
  memory_holder holder_;
  http_message_reader<false> reader_;
  std::uint32_t skipped_replies_ = 0;
  client_request request_;
  bool head_request_ = false;
  bool awaiting_response_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

http_client::http_client(asio::any_io_executor executor,
                         const http_client_options& options,
                         http_client_handler* handler)
    : impl_(std::make_shared<impl>(std::move(executor), options, handler)) {}

http_client::~http_client() { CloseAll(); }

void http_client::Open(connection_id id, const std::string& address) {
  auto new_connection = std::make_shared<connection>(impl_, id, address);
  impl_->connections[id] = new_connection;
  new_connection->Open();
}

void http_client::Close(connection_id id) {
  const auto found = impl_->connections.find(id);
  if (found == impl_->connections.end()) return;
  const auto old_connection = found->second;
  impl_->connections.erase(found);
  old_connection->CloseSilently();
}

void http_client::Send(connection_id id, client_request request) {
  const auto found = impl_->connections.find(id);
  if (found != impl_->connections.end())
    found->second->Send(std::move(request));
}

void http_client::CloseAll() {
  for (const auto& [id, open_connection] : impl_->connections)
    open_connection->CloseSilently();
  impl_->connections.clear();
}

std::size_t http_client::connections() const {
  return impl_->connections.size();
}

std::uint64_t http_client::limit_closes() const { return impl_->limit_closes; }

std::uint64_t http_client::invalid_status_closes() const {
  return impl_->invalid_status_closes;
}

std::uint64_t http_client::buffered_bytes() const {
  return impl_->budget.used_bytes();
}

}  // namespace bilberrycourse
