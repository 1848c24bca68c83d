#include "app/searcher_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "app/settings.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstFinalStatus = 200;

// Reads `timeout=N` of a Keep-Alive header.
std::optional<duration> IdleLimit(beast::string_view text) {
  // The list refers to its text, which must live as long as the loop.
  const std::string listed = ";" + std::string(text);
  for (const auto& parameter : http::param_list(listed)) {
    if (!beast::iequals(parameter.first, "timeout")) continue;
    unsigned seconds = 0;
    const auto value = parameter.second;
    const auto [last, error] =
        std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error == std::errc()) return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

bool ConcernsConnection(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::trailer:
      return true;
    default:
      return false;
  }
}

}  // namespace

class searcher_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::any_io_executor run_on, searcher_client_options configured,
       edge_headers called, searcher_client_handler* receiver)
      : executor(std::move(run_on)),
        options(configured),
        names(std::move(called)),
        handler(receiver) {}

  asio::any_io_executor executor;
  searcher_client_options options;
  edge_headers names;
  searcher_client_handler* handler;
  std::unordered_map<connection_id, std::shared_ptr<connection>> connections;
};

// A connection always has one read outstanding, so that a close by the
// searcher is noticed while the connection is idle, too.
class searcher_client::connection
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
          self->Opened();
        });
  }

  void Send(const forwarded_request& sent) {
    const edge_headers& names = client_->names;
    request_ = {};
    request_.version(11);
    request_.method_string(sent.method);
    request_.target(sent.target);
    request_.set(http::field::host, sent.host);
    for (const auto& [name, value] : *sent.headers) {
      request_.insert(name, value);
    }
    if (!sent.request_id.empty()) {
      request_.set(names.request_id, sent.request_id);
    }
    request_.set(names.deadline, std::to_string(sent.remaining.count()));
    request_.set(names.expected_searcher, sent.searcher);
    if (sent.body != nullptr) request_.body() = *sent.body;
    request_.prepare_payload();
    request_id_ = sent.request_id;
    head_request_ = request_.method() == http::verb::head;
    waiting_ = true;
    writing_ = true;
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        self->writing_ = false;
                        // The reply to an unfinished request may still come.
                        if (error && !self->waiting_) self->Fail();
                      });
  }

  void CloseSilently() {
    closed_ = true;
    stream_.close();
  }

 private:
  void Opened() {
    if (closed_) return;
    stream_.expires_never();
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Read();
    client_->handler->OnSearcherOpened(id_);
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
    if (error || !waiting_) return Fail();
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
    const bool to_the_end = parser_->need_eof();
    auto message = parser_->release();
    const auto id = message.find(client_->names.request_id);
    if (id != message.end() && id->value() != request_id_) {
      // A late second reply to an earlier request.
      return Read();
    }
    waiting_ = false;
    std::optional<duration> idle_limit;
    const auto keep = message.find(client_->names.keep_alive);
    if (keep != message.end()) idle_limit = IdleLimit(keep->value());
    // Bytes behind the reply belong to no request, and a request that is still
    // being written can't be followed by another one.
    const bool keep_alive =
        message.keep_alive() && !to_the_end && !writing_ && buffer_.size() == 0;
    const auto self = shared_from_this();
    if (keep_alive) Read();
    client_->handler->OnSearcherReply(id_, MakeReply(&message), keep_alive,
                                      idle_limit);
  }

  searcher_reply_pointer MakeReply(
      http::response<http::string_body>* message) const {
    const edge_headers& names = client_->names;
    auto reply = std::make_shared<searcher_reply>();
    reply->status = message->result_int();
    reply->not_executed = message->find(names.not_executed) != message->end();
    reply->misdirected = reply->status == kMisdirected;
    for (const auto& field : *message) {
      if (ConcernsConnection(field.name())) continue;
      if (beast::iequals(field.name_string(), names.stamp)) {
        reply->stamp = std::string(field.value());
      }
      reply->headers.emplace_back(field.name_string(), field.value());
    }
    reply->body = std::move(message->body());
    return reply;
  }

  void Fail() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    stream_.close();
    client_->connections.erase(id_);
    client_->handler->OnSearcherClosed(id_);
  }

  std::shared_ptr<impl> client_;
  const connection_id id_;
  const std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  std::string request_id_;
  bool head_request_ = false;
  bool waiting_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

searcher_client::searcher_client(asio::any_io_executor executor,
                                 searcher_client_options options,
                                 const edge_headers& names,
                                 searcher_client_handler* handler)
    : impl_(std::make_shared<impl>(std::move(executor), options, names,
                                   handler)) {}

searcher_client::~searcher_client() { CloseAll(); }

void searcher_client::Open(connection_id id, const std::string& address) {
  auto opened = std::make_shared<connection>(impl_, id, address);
  impl_->connections[id] = opened;
  opened->Open();
}

void searcher_client::Close(connection_id id) {
  const auto found = impl_->connections.find(id);
  if (found == impl_->connections.end()) return;
  const auto closing = found->second;
  impl_->connections.erase(found);
  closing->CloseSilently();
}

void searcher_client::Send(connection_id id, const forwarded_request& request) {
  const auto found = impl_->connections.find(id);
  if (found != impl_->connections.end()) found->second->Send(request);
}

void searcher_client::CloseAll() {
  for (const auto& [id, each] : impl_->connections) each->CloseSilently();
  impl_->connections.clear();
}

std::size_t searcher_client::connections() const {
  return impl_->connections.size();
}

}  // namespace bilberrycourse
