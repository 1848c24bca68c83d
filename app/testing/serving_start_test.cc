#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "app/testing/loopback.h"
#include "app/testing/serving_process.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kStarted[] = "\"event\":\"started\"";
// How long a process is watched that must not end.
constexpr std::chrono::milliseconds kWatchTime{500};

// Starts the program under settings or signals that it must survive.
class serving_start_test : public ::testing::Test {
 protected:
  void SetUp() override {
    // A process that ends early closes the pipes of the test. An ignored signal
    // would also be ignored by the process.
    std::signal(SIGPIPE, [](int) {});
    file_ = ::testing::TempDir() + "serving_start_test_" +
            std::to_string(::getpid());
    caller_port_ = FreePort();
    readiness_port_ = FreePort();
    peer_port_ = FreePort();
  }
  void TearDown() override { std::remove(file_.c_str()); }

  std::string EntryText(const std::string& seeds = "127.0.0.9:9") const {
    return "[instance]\ninterface=routes\nname=e1\navailability_zone=z\n"
           "role=entry\n[listen]\ncaller=127.0.0.1:" +
           std::to_string(caller_port_) +
           "\nreadiness=127.0.0.1:" + std::to_string(readiness_port_) +
           "\npeer=127.0.0.1:" + std::to_string(peer_port_) +
           "\n[peers]\nseeds=" + seeds +
           "\nshared_key=0123456789abcdef\n[control]\ngroup=g\n"
           "[limits]\nshutdown_grace_ms=0\n";
  }

  std::string WriteSettings(const std::string& text) {
    std::ofstream(file_) << text;
    return file_;
  }

  static bool StaysRunning(serving_process* process) {
    const auto end = std::chrono::steady_clock::now() + kWatchTime;
    while (std::chrono::steady_clock::now() < end) {
      if (!process->running()) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return process->running();
  }

  std::string file_;
  std::uint16_t caller_port_ = 0;
  std::uint16_t readiness_port_ = 0;
  std::uint16_t peer_port_ = 0;
};

// Guards against a crash loop while the process before still holds one of the
// addresses.
TEST_F(serving_start_test, Serve_AddressInUse_StartsOnceItIsFree) {
  for (const std::uint16_t port : {caller_port_, readiness_port_, peer_port_}) {
    asio::io_context context;
    auto holder = std::make_unique<tcp::acceptor>(
        context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    // The process must not inherit the socket.
    ASSERT_EQ(::fcntl(holder->native_handle(), F_SETFD, FD_CLOEXEC), 0);
    serving_process process(WriteSettings(EntryText()));
    ASSERT_TRUE(
        process.WaitForLog("\"event\":\"address_awaited\",\"address\":"
                           "\"127.0.0.1:" +
                           std::to_string(port)))
        << process.log();
    EXPECT_TRUE(StaysRunning(&process));
    EXPECT_EQ(process.log().find(kStarted), std::string::npos);
    holder.reset();
    EXPECT_TRUE(process.WaitForLog(kStarted)) << process.log();
    process.Signal(SIGTERM);
    EXPECT_EQ(process.WaitForEnd(), 0);
  }
}

// Guards against a process that can't be stopped while it waits.
TEST_F(serving_start_test, Serve_AddressInUse_EndsOnSigterm) {
  asio::io_context context;
  const tcp::acceptor holder(
      context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), peer_port_));
  serving_process process(WriteSettings(EntryText()));
  ASSERT_TRUE(process.WaitForLog("address_awaited")) << process.log();
  process.Signal(SIGTERM);
  EXPECT_EQ(process.WaitForEnd(), 0);
}

// Guards against waiting for an address that never becomes usable.
TEST_F(serving_start_test, Serve_AddressFamilyUnusable_EndsWithCode) {
  std::string text = EntryText();
  const std::string from = "peer=127.0.0.1";
  // A multicast group can't be the address of a listening TCP socket.
  text.replace(text.find(from), from.size(), "peer=[ff02::1]");
  serving_process process(WriteSettings(text));
  EXPECT_EQ(process.WaitForEnd(), 54);
  EXPECT_NE(process.log().find("\"event\":\"start_failed\",\"code\":605"),
            std::string::npos)
      << process.log();
}

// Guards against a process that ends because it reads its settings while the
// platform writes them.
TEST_F(serving_start_test, Serve_SettingsHalfWritten_StartsOnceTheyAreWhole) {
  const std::string whole = EntryText();
  serving_process process(WriteSettings(whole.substr(0, whole.size() / 2)));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  WriteSettings(whole);
  EXPECT_TRUE(process.WaitForLog(kStarted)) << process.log();
}

// Guards against a SIGHUP that ends a process that has not installed its
// handler yet: the platform may announce new settings at any moment.
TEST_F(serving_start_test, Serve_HangupBeforeSettingsAreRead_KeepsRunning) {
  ASSERT_EQ(::mkfifo(file_.c_str(), 0600), 0);
  serving_process process(file_);
  // The open returns when the process reads its settings.
  std::ofstream settings(file_);
  process.Signal(SIGHUP);
  EXPECT_TRUE(StaysRunning(&process));
  // The reload that the signal asks for finds a file.
  settings << EntryText();
  std::remove(file_.c_str());
  std::ofstream(file_) << EntryText();
  settings.close();
  EXPECT_TRUE(process.WaitForLog("settings_reloaded")) << process.log();
  EXPECT_TRUE(process.running());
}

// Guards against a process that ends by SIGPIPE with the reader of its log.
TEST_F(serving_start_test, Serve_LogReaderEnds_KeepsRunning) {
  serving_process process(WriteSettings(EntryText()));
  ASSERT_TRUE(process.WaitForLog(kStarted)) << process.log();
  process.CloseLog();
  process.Signal(SIGHUP);  // Writes a line.
  EXPECT_TRUE(StaysRunning(&process));
}

// Guards against a crash loop on each machine that starts while no control
// instance is listed. The process waits for seeds, which the settings may name
// later without a signal.
TEST_F(serving_start_test, Serve_NoSeeds_WaitsUntilSettingsNameThem) {
  serving_process process(WriteSettings(EntryText("")));
  ASSERT_TRUE(process.WaitForLog("\"event\":\"seeds_awaited\""))
      << process.log();
  EXPECT_TRUE(StaysRunning(&process));
  const std::string next = file_ + "_next";
  std::ofstream(next) << EntryText("127.0.0.8:9,127.0.0.9:9");
  ASSERT_EQ(std::rename(next.c_str(), file_.c_str()), 0);
  EXPECT_TRUE(process.WaitForLog("\"event\":\"settings_reloaded\",\"seeds\":2"))
      << process.log();
  process.Signal(SIGTERM);
  EXPECT_EQ(process.WaitForEnd(), 0);
}

// Guards as above on a control instance, and against a second group: it may not
// form one, neither without seeds nor with those that come later.
TEST_F(serving_start_test, Serve_ControlWithoutSeeds_WaitsWithoutGroup) {
  const std::string folder = file_ + "_data";
  const std::string peer = "127.0.0.1:" + std::to_string(peer_port_);
  const auto text = [&](const std::string& seeds) {
    return "[instance]\ninterface=routes\nname=127.0.0.1\n"
           "availability_zone=z\nrole=control\n[listen]\ncaller=127.0.0.1:" +
           std::to_string(caller_port_) + "\npeer=" + peer +
           "\n[peers]\nseeds=" + seeds +
           "\nshared_key=0123456789abcdef\n[control]\ngroup=g\n"
           "bootstrap=true\ndata_dir=" +
           folder + "\n";
  };
  serving_process process(WriteSettings(text("")));
  ASSERT_TRUE(process.WaitForLog("\"event\":\"seeds_awaited\""))
      << process.log();
  WriteSettings(text(peer));
  ASSERT_TRUE(process.WaitForLog("settings_reloaded")) << process.log();
  EXPECT_TRUE(StaysRunning(&process));
  process.Signal(SIGTERM);
  EXPECT_EQ(process.WaitForEnd(), 0);
  EXPECT_EQ(process.log().find("\"event\":\"control_role\""), std::string::npos)
      << process.log();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace bilberrycourse
