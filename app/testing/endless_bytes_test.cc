#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "app/backend_client.h"
#include "app/cli_http.h"
#include "app/http_client.h"
#include "app/http_message_reader.h"
#include "app/http_server.h"
#include "app/testing/loopback.h"

// Peers that send without end. Each form must end at a limit in bytes, without
// help of a timeout, and the reader's memory must stay within its bound.

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Bytes after which a sender of the tests gives up. The limits are below it.
constexpr std::size_t kMaxSent = 64 << 20;

struct endless_form {
  const char* name;
  std::string start;
  std::string repeated;
};

std::vector<endless_form> ResponseForms() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string foreign =
      head + "X-Request-Id: other\r\nContent-Length: 1\r\n\r\nx";
  return {
      {"status line", "HTTP/1.1 200 ", std::string(4096, 'x')},
      {"one header", head + "X-A: ", std::string(4096, 'x')},
      {"many headers", head, "X-A: b\r\n"},
      {"no protocol", "", std::string(4096, '\0')},
      {"body until close", head + "\r\n", std::string(4096, 'x')},
      {"chunked body", chunked, "5\r\nhello\r\n"},
      {"chunk extension", chunked + "5;a=", std::string(4096, 'x')},
      {"extensions of small chunks", chunked,
       "1;a=" + std::string(4000, 'x') + "\r\nb\r\n"},
      {"one trailer", chunked + "0\r\nX-T: ", std::string(4096, 'x')},
      {"many trailers", chunked + "0\r\n", "X-T: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"foreign replies", "", foreign},
  };
}

std::vector<endless_form> RequestForms() {
  const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"target", "GET /", std::string(4096, 'x')},
      {"one header", post + "X-A: ", std::string(4096, 'x')},
      {"many headers", post, "X-A: b\r\n"},
      {"chunked body", chunked, "5\r\nhello\r\n"},
      {"chunk extension", chunked + "5;a=", std::string(4096, 'x')},
      {"extensions of small chunks", chunked,
       "1;a=" + std::string(4000, 'x') + "\r\nb\r\n"},
      {"one trailer", chunked + "0\r\nX-T: ", std::string(4096, 'x')},
      {"many trailers", chunked + "0\r\n", "X-T: b\r\n"},
  };
}

// Sends the form until the peer closes; returns the number of bytes sent.
std::size_t SendEndlessly(tcp::socket* socket, const endless_form& form) {
  boost::system::error_code error;
  asio::write(*socket, asio::buffer(form.start), error);
  std::string block;
  while (block.size() < 16384) block += form.repeated;
  std::size_t sent = 0;
  while (!error && sent < kMaxSent) {
    sent += asio::write(*socket, asio::buffer(block), error);
  }
  return sent;
}

// Accepts one connection, waits for a request and then sends without end.
class endless_server {
 public:
  endless_server()
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {}
  ~endless_server() { Join(); }

  void Start(const endless_form& form) {
    Join();
    thread_ = std::thread([this, form] {
      tcp::socket socket(context_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      char byte = 0;
      socket.read_some(asio::buffer(&byte, 1), error);
      sent_ = SendEndlessly(&socket, form);
    });
  }
  // Waits until the peer has closed; returns the number of bytes sent to it.
  std::size_t Join() {
    if (thread_.joinable()) thread_.join();
    return sent_;
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
  std::size_t sent_ = 0;
};

class endless_bytes_test : public ::testing::Test, public http_client_handler {
 protected:
  static constexpr connection_id kConnection{1};

  void OnConnectionOpened(connection_id id) override {
    client_request request(boost::beast::http::verb::get, "/", 11);
    request.prepare_payload();
    client_->Send(id, std::move(request));
  }
  void OnConnectionClosed(connection_id, connection_end end) override {
    end_ = end;
  }
  bool IsExpectedResponse(connection_id,
                          const client_response& response) override {
    return response.find("X-Request-Id") == response.end();
  }
  void OnResponse(connection_id, client_response, bool) override {
    ++responses_;
  }

  asio::io_context context_;
  std::unique_ptr<http_client> client_;
  std::optional<connection_end> end_;
  int responses_ = 0;
};

// Guards against a searcher that fills the memory or occupies the processor of
// an entry instance.
TEST_F(endless_bytes_test, HttpClient_EveryForm_ClosesAtLimit) {
  for (const endless_form& form : ResponseForms()) {
    SCOPED_TRACE(form.name);
    endless_server server;
    server.Start(form);
    end_.reset();
    client_ = std::make_unique<http_client>(context_.get_executor(),
                                            http_client_options{}, this);
    client_->Open(kConnection, "127.0.0.1:" + std::to_string(server.port()));
    EXPECT_TRUE(RunContextUntil(&context_, [&] { return end_.has_value(); }));
    EXPECT_EQ(client_->connections(), 0u);
    EXPECT_EQ(responses_, 0);
    EXPECT_LT(server.Join(), kMaxSent);
    const bool malformed = form.name == std::string("no protocol") ||
                           form.name == std::string("status line");
    if (!malformed) {
      EXPECT_EQ(end_, connection_end::kReplyLimit);
      EXPECT_EQ(client_->limit_closes(), 1u);
    }
  }
}

// Guards against a connection that stays open although its searcher sends
// bytes that never make up a message.
TEST_F(endless_bytes_test, HttpClient_IdleConnection_ClosesAtFirstByte) {
  tcp::acceptor acceptor(context_, {asio::ip::address_v4::loopback(), 0});
  tcp::socket socket(context_);
  client_ = std::make_unique<http_client>(context_.get_executor(),
                                          http_client_options{}, this);
  client_->Open(
      kConnection,
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  acceptor.accept(socket);
  const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  asio::write(socket, asio::buffer(reply));
  EXPECT_TRUE(RunContextUntil(&context_, [&] { return responses_ == 1; }));
  asio::write(socket, asio::buffer("H", 1));
  EXPECT_TRUE(RunContextUntil(&context_, [&] { return end_.has_value(); }));
}

// Guards against many searchers in trouble at once, which together fill the
// memory although each keeps to its own limit.
TEST_F(endless_bytes_test, HttpClient_ManyConnections_KeepSharedBudget) {
  http_client_options options;
  options.max_buffered_bytes = 1 << 20;
  const endless_form form{"", "HTTP/1.1 200 OK\r\n\r\n",
                          std::string(4096, 'x')};
  client_ =
      std::make_unique<http_client>(context_.get_executor(), options, this);
  std::vector<std::unique_ptr<endless_server>> servers;
  for (std::uint64_t i = 0; i < 8; ++i) {
    servers.push_back(std::make_unique<endless_server>());
    servers.back()->Start(form);
    client_->Open(connection_id{i + 1},
                  "127.0.0.1:" + std::to_string(servers.back()->port()));
  }
  EXPECT_TRUE(
      RunContextUntil(&context_, [&] { return client_->connections() == 0; }));
  EXPECT_EQ(client_->limit_closes(), 8u);
}

// Guards against a budget that counts messages which have been handed over, and
// then closes sound connections.
TEST(http_message_reader_test, BeginMessage_AfterLargeReply_FreesBudget) {
  memory_budget budget(4 << 20);
  memory_holder holder(&budget, [] {});
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  tcp::socket client(context);
  client.connect(acceptor.local_endpoint());
  tcp::socket server = acceptor.accept();
  const std::string body(1 << 20, 'x');
  const std::string reply =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  http_message_reader<false> reader({8192, 2 << 20, 4 << 20}, &holder);
  std::thread sender([&] { asio::write(server, asio::buffer(reply)); });
  bool read = false;
  reader.AsyncRead(client, [&](const boost::beast::error_code& error) {
    EXPECT_FALSE(error);
    read = true;
  });
  EXPECT_TRUE(RunContextUntil(&context, [&] { return read; }));
  sender.join();
  EXPECT_GE(budget.used_bytes(), body.size());
  EXPECT_EQ(reader.parser().release().body(), body);
  reader.BeginMessage();
  EXPECT_LT(budget.used_bytes(), 256u << 10);
}

// Guards against idle connections that together hold the buffers of the largest
// heads that they have read.
TEST(http_message_reader_test, BeginMessage_AfterLargeHead_FreesBuffer) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  tcp::socket client(context);
  client.connect(acceptor.local_endpoint());
  tcp::socket server = acceptor.accept();
  const std::string reply =
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(30000, 'x') +
      "\r\nContent-Length: 0\r\n\r\n";
  asio::write(server, asio::buffer(reply));
  http_message_reader<false> reader({64 << 10, 2 << 20, 4 << 20});
  bool read = false;
  reader.AsyncRead(client, [&](const boost::beast::error_code& error) {
    EXPECT_FALSE(error);
    read = true;
  });
  EXPECT_TRUE(RunContextUntil(&context, [&] { return read; }));
  EXPECT_GE(reader.held_bytes(), 30000u);
  reader.BeginMessage();
  EXPECT_LE(reader.held_bytes(), 1024u);
}

// Guards against memory beyond the limits and one read, for every form and for
// streams that arrive in small pieces.
TEST(http_message_reader_test, AsyncRead_EveryForm_HoldsBoundedMemory) {
  const http_read_limits limits{8192, 1 << 20, 2 << 20};
  constexpr std::size_t kMaxHeld = 8192 + 64 * 1024 + 2 * (1 << 20);
  for (const endless_form& form : ResponseForms()) {
    SCOPED_TRACE(form.name);
    endless_server server;
    server.Start(form);
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), server.port()});
    asio::write(socket, asio::buffer("x", 1));
    http_message_reader<false> reader(limits);
    std::size_t max_held = 0;
    bool ended = false;
    std::function<void()> read = [&] {
      reader.AsyncRead(socket, [&](const boost::beast::error_code& error) {
        ended = static_cast<bool>(error);
        if (ended) return;
        reader.BeginMessage();
        asio::post(context, read);
      });
    };
    read();
    EXPECT_TRUE(RunContextUntil(
        &context, [&] { return ended; },
        [&] { max_held = std::max(max_held, reader.held_bytes()); }));
    EXPECT_LE(max_held, kMaxHeld);
    socket.close();
    EXPECT_LT(server.Join(), kMaxSent);
  }
}

// Guards against a caller that fills the memory of an entry instance before its
// request times out.
TEST(endless_request_test, HttpServer_EveryForm_ClosesAtLimit) {
  for (const endless_form& form : RequestForms()) {
    SCOPED_TRACE(form.name);
    asio::io_context context;
    http_server_options options;
    options.listen = {"127.0.0.1", FreePort()};
    int handled = 0;
    http_server server(context.get_executor(), options,
                       [&](http_request, http_responder respond) {
                         ++handled;
                         respond({});
                       });
    ASSERT_TRUE(server.Listen());
    std::size_t sent = kMaxSent;
    bool ended = false;
    std::thread caller([&] {
      asio::io_context caller_context;
      tcp::socket socket(caller_context);
      socket.connect({asio::ip::address_v4::loopback(), options.listen.port});
      sent = SendEndlessly(&socket, form);
      asio::post(context, [&] { ended = true; });
    });
    EXPECT_TRUE(RunContextUntil(&context, [&] { return ended; }));
    caller.join();
    EXPECT_LT(sent, kMaxSent);
    EXPECT_EQ(handled, 0);
  }
}

// Guards against a failed server that counts as crashed, which would condemn
// the content of the request.
class endless_backend_test : public ::testing::Test,
                             public backend_client_handler {
 protected:
  void OnBackendOpened(connection_id id) override {
    backend_attempt attempt;
    attempt.wire_id = "a-1";
    client_->SendAttempt(id, attempt);
  }
  void OnBackendClosed(connection_id, bool) override {
    events_.emplace_back("closed");
  }
  void OnBackendReply(connection_id, attempt_id,
                      const backend_reply& reply) override {
    events_.push_back(std::to_string(reply.status));
  }
  asio::io_context context_;
  std::unique_ptr<backend_client> client_;
  std::vector<std::string> events_;
};

TEST_F(endless_backend_test, Read_EndlessChunkExtension_IsFailedReply) {
  endless_server server;
  server.Start({"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                std::string(4096, 'x')});
  client_ = std::make_unique<backend_client>(context_.get_executor(),
                                             http_client_options{}, this);
  client_->Open(connection_id{1}, "127.0.0.1:" + std::to_string(server.port()));
  EXPECT_TRUE(RunContextUntil(&context_, [&] { return events_.size() == 2; }));
  EXPECT_EQ(events_, (std::vector<std::string>{"502", "closed"}));
}

// Guards against a cancellation channel that reads until its timeout.
TEST_F(endless_backend_test, Cancel_EndlessReply_ClosesAtLimit) {
  endless_server server;
  server.Start({"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                std::string(4096, 'x')});
  client_ = std::make_unique<backend_client>(context_.get_executor(),
                                             http_client_options{}, this);
  bool ended = false;
  client_->Cancel("127.0.0.1:" + std::to_string(server.port()), "a-1");
  std::thread waiter([&] {
    const std::size_t sent = server.Join();
    asio::post(context_, [&, sent] {
      ended = true;
      EXPECT_LT(sent, kMaxSent);
    });
  });
  EXPECT_TRUE(RunContextUntil(&context_, [&] { return ended; }));
  waiter.join();
}

// Guards against a command that fills the memory of the operator's machine.
TEST(endless_command_test, SendHttp_EndlessTrailers_Fails) {
  endless_server server;
  server.Start({"",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-T: b\r\n"});
  const cli_http_result result =
      SendHttp({"127.0.0.1", server.port()}, {}, std::chrono::seconds(20));
  EXPECT_EQ(result.failure, http_failure::kResponseLost);
  EXPECT_LT(server.Join(), kMaxSent);
}

}  // namespace
}  // namespace bilberrycourse
