#include "app/searcher_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "app/testing/loopback.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// One connection from the client to a searcher that the test simulates.
class searcher_client_test : public ::testing::Test,
                             public searcher_client_handler {
 protected:
  static constexpr connection_id kConnection{7};

  void SetUp() override {
    client_ = std::make_unique<searcher_client>(context_.get_executor(),
                                                http_client_options{},
                                                protocol_->headers(), this);
    Reopen();
  }

  // Opens the connection, in place of one that is closed or left open.
  void Reopen() {
    client_->Close(kConnection);
    if (socket_.is_open()) socket_.close();
    closed_ = opened_ = 0;
    replies_.clear();
    const std::uint16_t port = acceptor_.local_endpoint().port();
    client_->Open(kConnection, "127.0.0.1:" + std::to_string(port));
    acceptor_.accept(socket_);
    ASSERT_TRUE(RunUntil([&] { return opened_ == 1; }));
  }

  void OnSearcherOpened(connection_id) override { ++opened_; }
  void OnSearcherClosed(connection_id, connection_end end) override {
    ++closed_;
    end_ = end;
  }
  void OnSearcherReply(connection_id, searcher_reply_pointer reply,
                       bool keep_alive, std::optional<duration> idle) override {
    replies_.push_back(std::move(reply));
    keep_alive_ = keep_alive;
    idle_limit_ = idle;
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return RunContextUntil(&context_, condition);
  }

  // Sends a request and returns the header that the searcher receives.
  std::string Send(const std::string& id) {
    forwarded_request request;
    request.method = "GET";
    request.target = "/lots/2f?x=1";
    request.host = "h.example";
    request.request_id = id;
    request.headers = std::make_shared<const header_list>(
        header_list{{"X-Trace", "t1"}, {"X-Trace", "t2"}});
    request.searcher = "i-7";
    request.remaining = std::chrono::milliseconds(250);
    client_->Send(kConnection, request);
    std::string received;
    char buffer[4096];
    while (received.find("\r\n\r\n") == std::string::npos) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
      if (socket_.available() == 0) continue;
      received.append(buffer, socket_.read_some(asio::buffer(buffer)));
    }
    return received;
  }

  void Write(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }

  static std::string Reply(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " + id +
           "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  asio::io_context context_;
  std::unique_ptr<edge_protocol> protocol_ = MakePlatformProtocol();
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket socket_{context_};
  std::unique_ptr<searcher_client> client_;
  int opened_ = 0;
  int closed_ = 0;
  connection_end end_{};
  std::vector<searcher_reply_pointer> replies_;
  bool keep_alive_ = false;
  std::optional<duration> idle_limit_;
};

TEST_F(searcher_client_test, Send_Request_IsForwardedUnchanged) {
  const std::string received = Send("r1");
  EXPECT_TRUE(received.starts_with("GET /lots/2f?x=1 HTTP/1.1\r\n"));
  for (const char* line :
       {"Host: h.example", "X-Trace: t1", "X-Trace: t2", "X-Request-Id: r1",
        "X-Deadline-Ms: 250", "X-Expected-Instance: i-7"}) {
    EXPECT_NE(received.find(line), std::string::npos) << line;
  }
  Write(Reply("r1", "whole"));
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  EXPECT_EQ(replies_[0]->body, "whole");
  EXPECT_EQ(replies_[0]->stamp, "s");
  EXPECT_TRUE(keep_alive_);
  EXPECT_EQ(idle_limit_, duration(std::chrono::seconds(10)));
}

// Guards against taking a late duplicate reply to an earlier request for the
// reply to the next one.
TEST_F(searcher_client_test, Read_ReplyToAnotherRequest_IsDropped) {
  Send("r1");
  Write(Reply("r1", "one"));
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  Send("r2");
  Write(Reply("r1", "one again"));
  Write(Reply("r2", "two"));
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 2; }));
  EXPECT_EQ(replies_[1]->body, "two");
}

// Guards against keeping a connection that received unsolicited bytes.
TEST_F(searcher_client_test, Read_BytesWithoutRequest_CloseConnection) {
  Write(Reply("r0", "unasked"));
  EXPECT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(searcher_client_test, Read_BytesAfterReply_ConnectionIsNotKept) {
  Send("r1");
  Write(Reply("r1", "one") + "HTTP/1.1 200");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  EXPECT_EQ(replies_[0]->body, "one");
  EXPECT_FALSE(keep_alive_);
}

// Guards against taking a truncated reply for a complete one.
TEST_F(searcher_client_test, Read_TruncatedBody_IsNoReply) {
  Send("r1");
  Write(
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: "
      "10\r\n\r\nfive!");
  socket_.close();
  EXPECT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(searcher_client_test, Read_NoLengthAndReset_IsNoReply) {
  Send("r1");
  Write("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\nhalf");
  context_.run_for(std::chrono::milliseconds(20));
  socket_.set_option(asio::socket_base::linger(true, 0));
  socket_.close();
  EXPECT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(searcher_client_test, Read_NoLengthAndOrderlyClose_IsCompleteReply) {
  Send("r1");
  Write("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\nwhole");
  socket_.close();
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  EXPECT_EQ(replies_[0]->body, "whole");
  EXPECT_FALSE(keep_alive_);
}

// Guards against a reply whose head is cut and that is taken for a whole one
// with an empty or short body: every cut of the head, by close and by reset,
// whatever ends the body.
TEST_F(searcher_client_test, Read_CutInHead_IsNoReply) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n";
  const std::string heads[] = {head + "Content-Length: 4\r\n\r\n",
                               head + "Transfer-Encoding: chunked\r\n\r\n",
                               head + "Connection: close\r\n\r\n"};
  for (const std::string& whole : heads) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      for (const bool reset : {false, true}) {
        Send("r1");
        Write(whole.substr(0, size));
        if (reset) socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
        ASSERT_TRUE(RunUntil([&] { return closed_ == 1; }))
            << whole.substr(0, size);
        EXPECT_TRUE(replies_.empty()) << whole.substr(0, size);
        Reopen();
      }
    }
  }
}

// Guards against a body that is forwarded in a transfer coding that its caller
// is not told of.
TEST_F(searcher_client_test, Read_OtherTransferCoding_IsNoReply) {
  Send("r1");
  Write(
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n"
      "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  EXPECT_TRUE(RunUntil([&] { return closed_ + replies_.size() == 1; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(searcher_client_test, Read_InvalidReply_ClosesConnection) {
  Send("r1");
  Write("garbage garbage\r\n\r\n");
  EXPECT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
}

// Guards against a searcher in trouble whose reply reaches the caller with a
// status that HTTP does not have, or whose switch of protocols is taken for an
// interim reply.
TEST_F(searcher_client_test, Read_StatusOutsideHttp_ClosesConnection) {
  const std::string fields =
      " X\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n"
      "Content-Length: 4\r\n\r\nbody";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string forms[] = {
      "HTTP/1.1 000" + fields, "HTTP/1.1 042" + fields, "HTTP/1.1 099" + fields,
      "HTTP/1.1 600" + fields, "HTTP/1.1 700" + fields, "HTTP/1.1 999" + fields,
      "HTTP/1.1 101 Switching Protocols\r\n\r\n" + Reply("r1", "body"),
      interim + "HTTP/1.1 600" + fields,
      // The body never ends, and the id is that of another request.
      "HTTP/1.1 600 X\r\nX-Request-Id: r0\r\nContent-Length: 9\r\n\r\n"};
  for (const std::string& form : forms) {
    Send("r1");
    Write(form);
    EXPECT_TRUE(RunUntil([&] { return closed_ + replies_.size() == 1; }))
        << form;
    EXPECT_TRUE(replies_.empty()) << form;
    EXPECT_EQ(end_, connection_end::kInvalidStatus) << form;
    Reopen();
  }
}

// Guards against a status at the edge of those that HTTP has that is refused.
TEST_F(searcher_client_test, Read_StatusOfHttp_IsReply) {
  for (const unsigned status : {200U, 204U, 299U, 302U, 418U, 599U}) {
    Send("r1");
    Write("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 " + std::to_string(status) +
          " X\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return closed_ + replies_.size() == 1; }));
    ASSERT_EQ(replies_.size(), 1u) << status;
    EXPECT_EQ(replies_[0]->status, status);
    replies_.clear();
  }
}

// Guards against interim replies without a final one that are taken for a
// reply, or that keep a connection open without bound.
TEST_F(searcher_client_test, Read_InterimRepliesOnly_CloseConnection) {
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  Send("r1");
  Write(interim);
  socket_.close();
  ASSERT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
  Reopen();
  Send("r1");
  for (std::uint32_t i = 0; i <= http_client_options().max_skipped_replies;
       ++i) {
    Write(interim);
  }
  ASSERT_TRUE(RunUntil([&] { return closed_ == 1; }));
  EXPECT_TRUE(replies_.empty());
  EXPECT_EQ(end_, connection_end::kReplyLimit);
}

// Guards against missing a reply's statement that the request was not run.
TEST_F(searcher_client_test, Read_Refusals_AreRecognized) {
  Send("r1");
  Write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  EXPECT_TRUE(replies_[0]->not_executed);
  EXPECT_FALSE(replies_[0]->misdirected);
  Send("r2");
  Write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 2; }));
  EXPECT_TRUE(replies_[1]->misdirected);
}

// Guards against missing the request limit that a searcher states.
TEST_F(searcher_client_test, Read_RequestLimit_IsRecognized) {
  Send("r1");
  Write("HTTP/1.1 200 X\r\nserver-limit: 12.5\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 1; }));
  EXPECT_EQ(replies_[0]->limit.per_second, 12.5);
  Send("r2");
  Write(
      "HTTP/1.1 503 X\r\nServer-Limit: 30\r\nServer-Limit: 4\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 2; }));
  EXPECT_EQ(replies_[1]->limit.per_second, 4);
  Send("r3");
  Write("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return replies_.size() == 3; }));
  EXPECT_FALSE(replies_[2]->limit.present);
}

}  // namespace
}  // namespace bilberrycourse
