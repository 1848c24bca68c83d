#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "app/http_server.h"
#include "app/testing/loopback.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kBufferedBytes = 16 << 20;
// More than the buffers of the sockets take.
constexpr std::size_t kAnswerBytes = 6 << 20;

// A server whose callers together send and leave unread more than its memory.
class http_server_memory_test : public ::testing::Test {
 protected:
  void SetUp() override {
    options_.listen = {"127.0.0.1", FreePort()};
    options_.max_request_bytes = kBufferedBytes;
    options_.max_buffered_bytes = kBufferedBytes;
    options_.max_connections = 100;
    server_ = std::make_unique<http_server>(
        server_context_.get_executor(), options_,
        [this](http_request request, http_responder respond) {
          if (request.path == "/wait") {
            waiting_ = std::move(respond);
          } else if (request.path == "/long") {
            respond({200, "text/plain", std::string(kAnswerBytes, 'x')});
          } else {
            respond({200, "text/plain", std::to_string(request.body.size())});
          }
        });
    ASSERT_TRUE(server_->Listen());
    thread_ = std::thread([this] { server_context_.run(); });
  }

  void TearDown() override {
    asio::post(server_context_, [this] {
      server_->Close();
      server_context_.stop();
    });
    thread_.join();
  }

  // Connects and sends a request that lacks the last `missing` bytes of its
  // body.
  tcp::socket Send(const std::string& path, std::size_t body_size,
                   std::size_t missing = 0) {
    tcp::socket caller(context_);
    caller.open(tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(16384));
    caller.connect({asio::ip::make_address("127.0.0.1"), options_.listen.port});
    asio::write(caller,
                asio::buffer("POST " + path +
                             " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(body_size) + "\r\n\r\n" +
                             std::string(body_size - missing, 'x')));
    return caller;
  }

  // Reads until the answer is complete or the connection is closed.
  static std::string ReadAnswer(tcp::socket* caller) {
    std::string answer;
    std::size_t size = std::string::npos;
    std::vector<char> buffer(65536);
    boost::system::error_code error;
    while (!error && answer.size() < size) {
      answer.append(buffer.data(),
                    caller->read_some(asio::buffer(buffer), error));
      const std::size_t head = answer.find("\r\n\r\n");
      const std::size_t length = answer.find("Content-Length: ");
      if (head != std::string::npos && length < head) {
        size = head + 4 + std::stoul(answer.substr(length + 16));
      }
    }
    return answer;
  }

  // Waits until the server has read at least `bytes`.
  bool WaitForBufferedBytes(std::uint64_t bytes) {
    return RunContextUntil(&context_, [&] {
      std::uint64_t buffered = 0;
      RunOnServer([&] { buffered = server_->buffered_bytes(); });
      return buffered >= bytes;
    });
  }

  template <typename Function>
  void RunOnServer(Function function) {
    std::promise<void> done;
    asio::post(server_context_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  http_server_options options_;
  asio::io_context context_;
  asio::io_context server_context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      server_context_.get_executor()};
  std::unique_ptr<http_server> server_;
  http_responder waiting_;
  std::thread thread_;
};

// Guards against callers whose requests, of which each keeps to its limit,
// together take all memory.
TEST_F(http_server_memory_test, Read_MemoryUsed_LargestIsRefusedAsNotRun) {
  tcp::socket large = Send("/x", 8 << 20, 1);
  tcp::socket small = Send("/x", 2 << 20, 1);
  ASSERT_TRUE(WaitForBufferedBytes(9 << 20));
  tcp::socket other = Send("/x", 3'000'000);
  EXPECT_NE(ReadAnswer(&other).find("\r\n\r\n3000000"), std::string::npos);
  const std::string refusal = ReadAnswer(&large);
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503 ")) << refusal;
  EXPECT_NE(refusal.find("Retry-After: 0.3"), std::string::npos) << refusal;
  EXPECT_NE(refusal.find("Connection: close"), std::string::npos) << refusal;
  EXPECT_NE(refusal.find("\"code\":212"), std::string::npos) << refusal;
  asio::write(small, asio::buffer("x", 1));
  EXPECT_NE(ReadAnswer(&small).find("\r\n\r\n2097152"), std::string::npos);
}

// Guards against the loss of a request that runs, and of small requests beside
// one that uses the memory up.
TEST_F(http_server_memory_test, Read_MemoryUsedByRunningRequest_ItIsKept) {
  tcp::socket running = Send("/wait", 11'000'000);
  bool runs = false;
  ASSERT_TRUE(RunContextUntil(&context_, [&] {
    RunOnServer([&] { runs = static_cast<bool>(waiting_); });
    return runs;
  }));
  tcp::socket large = Send("/x", 3'000'000, 1);
  EXPECT_TRUE(ReadAnswer(&large).starts_with("HTTP/1.1 503 "));
  tcp::socket small = Send("/x", 2000);
  EXPECT_TRUE(ReadAnswer(&small).starts_with("HTTP/1.1 200 "));
  RunOnServer([this] { waiting_({200, "text/plain", "done"}); });
  EXPECT_NE(ReadAnswer(&running).find("done"), std::string::npos);
}

// Guards against answers that callers do not read and that keep out the answers
// of callers that do.
TEST_F(http_server_memory_test, Respond_AnswersNotRead_NewAnswerIsWhole) {
  std::vector<tcp::socket> stalled;
  for (int i = 0; i < 20; ++i) stalled.push_back(Send("/long", 1));
  std::uint64_t refusals = 0;
  EXPECT_TRUE(RunContextUntil(&context_, [&] {
    RunOnServer([&] { refusals = server_->memory_refusals(); });
    return refusals > 0;
  }));
  for (int i = 0; i < 5; ++i) {
    tcp::socket caller = Send("/long", 1);
    EXPECT_GT(ReadAnswer(&caller).size(), kAnswerBytes);
  }
  RunOnServer([&] { EXPECT_LE(server_->buffered_bytes(), kBufferedBytes); });
}

}  // namespace
}  // namespace bilberrycourse
