#include "app/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "app/settings.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::any_io_executor io_executor,
       const http_client_options& client_options,
       http_client_handler* event_handler)
      : executor(std::move(io_executor)),
        options(client_options),
        handler(event_handler) {}

  asio::any_io_executor executor;
  http_client_options options;
  http_client_handler* handler;
  std::unordered_map<connection_id, std::shared_ptr<connection>> connections;
};

class http_client::connection
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
        tcp::endpoint(asio::ip::make_address(parsed.ip), parsed.port),
        [self = shared_from_this()](const beast::error_code& error) {
          if (error) return self->Fail();
          self->OnOpened();
        });
  }

  void Send(client_request request) {
    request_ = std::move(request);
    head_request_ = request_.method() == http::verb::head;
    awaiting_response_ = true;
    writing_ = true;
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        self->writing_ = false;
                        // The reply may still arrive although the request
                        // could not be written completely.
                        if (error && !self->awaiting_response_) self->Fail();
                      });
  }

  void CloseSilently() {
    closed_ = true;
    stream_.close();
  }

 private:
  void OnOpened() {
    if (closed_) return;
    opened_ = true;
    stream_.expires_never();
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Read();
    client_->handler->OnConnectionOpened(id_);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(client_->options.max_reply_bytes);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error,
                                    std::size_t) { self->HeaderDone(error); });
  }

  void HeaderDone(const beast::error_code& error) {
    if (closed_) return;
    if (error || !awaiting_response_) return Fail();
    if (head_request_) parser_->skip(true);
    if (parser_->get().result_int() < kFirstFinalStatus) return Read();
    if (parser_->is_done()) return ReadDone({});
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& failed,
                                    std::size_t) { self->ReadDone(failed); });
  }

  void ReadDone(const beast::error_code& error) {
    if (closed_) return;
    if (error) return Fail();
    const bool ends_at_close = parser_->need_eof();
    client_response response = parser_->release();
    if (!client_->handler->IsExpectedResponse(id_, response)) return Read();
    awaiting_response_ = false;
    // The connection can't be reused if unsolicited bytes follow the reply or
    // if the request is still being written.
    const bool keep_alive = response.keep_alive() && !ends_at_close &&
                            !writing_ && buffer_.size() == 0;
    const auto self = shared_from_this();
    if (keep_alive) Read();
    client_->handler->OnResponse(id_, std::move(response), keep_alive);
  }

  void Fail() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    stream_.close();
    client_->connections.erase(id_);
    client_->handler->OnConnectionClosed(id_, opened_);
  }

  std::shared_ptr<impl> client_;
  const connection_id id_;
  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  client_request request_;
  bool head_request_ = false;
  bool awaiting_response_ = false;
  bool writing_ = false;
  bool opened_ = false;
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

}  // namespace bilberrycourse
