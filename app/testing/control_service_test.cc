#include "app/control_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/control_client.h"
#include "app/daemon_clock.h"
#include "app/route_registry.h"
#include "app/testing/faulty_storage_files.h"
#include "app/testing/loopback.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

class control_service_test : public ::testing::Test,
                             public peer_transport_handler {
 protected:
  control_service_test()
      : folder_(std::filesystem::temp_directory_path() /
                ("control_service_test_" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
    config_.interface = serving_interface::kRoutes;
    config_.name = "127.0.0.1";
    config_.control = true;
    config_.group = "group";
    config_.initial_members = {"127.0.0.1", "127.0.0.2", "127.0.0.3"};
    config_.data_dir = folder_.string();
    peer_transport_options options;
    options.self = config_.name;
    options.shared_key = "a-long-shared-key";
    transport_ = std::make_unique<peer_transport>(context_.get_executor(),
                                                  options, this);
  }
  ~control_service_test() override { std::filesystem::remove_all(folder_); }

  void OnPeerConnected(const instance_name&) override {}
  void OnPeerDisconnected(const instance_name&) override {}
  void OnPeerFrame(const instance_name&, const wire::peer_frame&) override {}

  std::unique_ptr<control_service> Start(time_point now) {
    auto service = std::make_unique<control_service>(context_.get_executor(),
                                                     config_, transport_.get());
    service->Start(now);
    return service;
  }

  static std::string Role(const control_service& service, time_point now) {
    return std::string(service.Describe(now).at("role").as_string());
  }

  boost::asio::io_context context_;
  std::filesystem::path folder_;
  settings config_;
  std::unique_ptr<peer_transport> transport_;
};

// Guards against a damaged folder that is never replaced because the failed
// opening still held the lock of the folder when the next one began.
TEST_F(control_service_test, Tick_FolderDamaged_IsReplacedByFirstReopening) {
  const time_point start = Now();
  Start(start)->Drain();
  std::filesystem::resize_file(folder_ / "log-1", 40);
  const auto service = Start(start);
  ASSERT_EQ(Role(*service, start), "stopped");
  service->Tick(start + std::chrono::milliseconds(600));
  EXPECT_EQ(Role(*service, start + std::chrono::milliseconds(600)), "unformed");
}

// A group of one member, whose folder holds its only copy.
class damaged_folder_test : public control_service_test {
 protected:
  damaged_folder_test() { config_.initial_members = {config_.name}; }

  template <typename Condition>
  bool RunUntil(control_service* service, Condition condition) {
    return RunContextUntil(&context_, condition,
                           [service] { service->Tick(Now()); });
  }
  std::string ReadFile(const std::string& name) const {
    std::ifstream file(folder_ / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Forms the group and damages a synced byte of its log. Returns the files.
  std::map<std::string, std::string> WriteDamagedFolder() {
    auto service = Start(Now());
    EXPECT_TRUE(RunUntil(service.get(), [&] { return service->leads(); }));
    service->Drain();
    service.reset();
    std::fstream log(folder_ / "log-1",
                     std::ios::in | std::ios::out | std::ios::binary);
    log.seekp(60).put('!');
    log.close();
    return {{"log-1", ReadFile("log-1")}, {"sync-mark", ReadFile("sync-mark")}};
  }
};

// Guards against a damaged folder that is erased on a timer: it may be the last
// copy of something until the group has taken its instance in.
TEST_F(damaged_folder_test, Tick_FolderDamaged_FilesAreKeptUntilVoter) {
  const auto files = WriteDamagedFolder();
  config_.bootstrap = false;
  const time_point start = Now();
  auto service = Start(start);
  ASSERT_EQ(Role(*service, start), "stopped");
  for (int i = 1; i < 20; ++i) {
    service->Tick(start + i * std::chrono::milliseconds(600));
  }
  EXPECT_EQ(Role(*service, Now()), "unformed");
  service.reset();
  for (const auto& [name, bytes] : files) {
    EXPECT_EQ(ReadFile("set-aside-1-" + name), bytes) << name;
  }
  config_.bootstrap = true;
  service = Start(Now());
  EXPECT_TRUE(RunUntil(service.get(), [&] {
    return service->leads() &&
           !std::filesystem::exists(folder_ / "set-aside-1-log-1") &&
           !std::filesystem::exists(folder_ / "set-aside-1-sync-mark");
  }));
}

// Guards against a member that stays stopped after its disk was full for a
// short time.
TEST_F(control_service_test, Tick_DiskFullAtStart_OpensOnceSpaceIsFree) {
  double failures = 1;
  const storage_files_factory original_factory = StorageFilesFactory();
  StorageFilesFactory() = [&](const std::string& folder) {
    return std::make_unique<faulty_storage_files>(
        original_factory(folder), storage_faults{.write_failure = failures});
  };
  const time_point start = Now();
  const auto service = Start(start);
  EXPECT_EQ(Role(*service, start), "stopped");
  const time_point second = start + std::chrono::milliseconds(600);
  service->Tick(second);
  EXPECT_EQ(Role(*service, second), "stopped");
  failures = 0;
  const time_point third = start + std::chrono::milliseconds(1200);
  service->Tick(third);
  EXPECT_EQ(Role(*service, third), "unformed");
  StorageFilesFactory() = original_factory;
}

// A group of one member on a small disk, with documents of which a few dozen
// fill the disk.
class full_disk_test : public control_service_test {
 protected:
  static constexpr std::uint64_t kCapacity = 2 * 1024 * 1024;
  static constexpr std::size_t kDocumentBytes = 60 * 1024;
  static constexpr int kChanges = 120;

  full_disk_test() {
    config_.initial_members = {config_.name};
    marker_ = folder_.string() + "_full";
    StorageFilesFactory() = [this](const std::string& folder) {
      return std::make_unique<faulty_storage_files>(
          original_factory_(folder),
          storage_faults{.capacity_bytes = kCapacity,
                         .full_marker = marker_.string()},
          folder);
    };
  }
  ~full_disk_test() override {
    std::filesystem::remove(marker_);
    StorageFilesFactory() = original_factory_;
  }

  // Runs the service until `condition` holds; returns false after 10 s.
  template <typename Condition>
  bool RunUntil(control_service* service, Condition condition) {
    return RunContextUntil(&context_, condition,
                           [service] { service->Tick(Now()); });
  }
  // Returns the code of the change, or nullopt if it gets no answer.
  std::optional<result_code> Change(control_service* service,
                                    std::uint64_t version) {
    std::optional<result_code> code;
    service->Propose(EncodeCommand(route_document{version, Document(version)}),
                     [&](const control_reply& reply) { code = reply.code; });
    return RunUntil(service, [&] { return code.has_value(); }) ? code
                                                               : std::nullopt;
  }
  static std::string Document(std::uint64_t version) {
    return std::string(kDocumentBytes, static_cast<char>('a' + version % 26));
  }

  std::filesystem::path marker_;
  storage_files_factory original_factory_ = StorageFilesFactory();
};

// Guards against a log that outgrows its disk: its next generation then has no
// room, and the group never takes a change again.
TEST_F(full_disk_test, Propose_LargeDocuments_LogStaysWithinDisk) {
  const auto service = Start(Now());
  ASSERT_TRUE(RunUntil(service.get(), [&] { return service->leads(); }));
  for (int version = 1; version <= kChanges; ++version) {
    ASSERT_EQ(Change(service.get(), version), result_code::kOk) << version;
  }
  EXPECT_EQ(service->state().routes().document, Document(kChanges));
}

// Guards against a member that never takes changes again after its disk was
// full for a short time, and against changes that then get no answer.
TEST_F(full_disk_test, Propose_DiskFullForAWhile_TakesChangesAfterwards) {
  const auto service = Start(Now());
  ASSERT_TRUE(RunUntil(service.get(), [&] { return service->leads(); }));
  std::uint64_t version = 0;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 10; ++i) {
      ASSERT_EQ(Change(service.get(), ++version), result_code::kOk) << version;
    }
    std::ofstream(marker_).put('x');
    const auto refused = Change(service.get(), ++version);
    ASSERT_TRUE(refused.has_value());
    EXPECT_NE(*refused, result_code::kOk);
    std::filesystem::remove(marker_);
    ASSERT_TRUE(RunUntil(service.get(), [&] {
      return service->leads() &&
             Change(service.get(), ++version) == result_code::kOk;
    }));
  }
  EXPECT_EQ(service->state().routes().document, Document(version));
}

class restarted_member_test : public full_disk_test {};

// Guards against a member that sends the whole directory again and again to
// instances that can't use it yet, while it needs its CPU time for an election.
TEST_F(restarted_member_test,
       AnswerPoll_NothingKnown_SendsConfirmedRoutesOnly) {
  auto service = Start(Now());
  ASSERT_TRUE(RunUntil(service.get(), [&] { return service->leads(); }));
  ASSERT_EQ(Change(service.get(), 1), result_code::kOk);
  service->Drain();
  service.reset();
  service = Start(Now());
  known_versions nothing;
  nothing.routed = true;
  EXPECT_EQ(service->AnswerPoll(nothing, Now()).routes, "");
  ASSERT_TRUE(RunUntil(service.get(), [&] {
    return service->AnswerPoll(nothing, Now()).confirmed;
  }));
  for (const std::uint64_t version : {1U, 2U}) {
    const auto update =
        LoadRouteUpdate(service->AnswerPoll(nothing, Now()).routes);
    ASSERT_TRUE(update.has_value());
    EXPECT_EQ(update->routes.version, version);
    ASSERT_EQ(Change(service.get(), version + 1), result_code::kOk);
  }
}

class route_registry_test : public control_service_test,
                            public control_client_handler {
 protected:
  void OnPublished(const published_state&) override {}

  // Returns the status of the answer, or 0 if the heartbeat was taken and waits
  // for the group.
  unsigned Heartbeat(const std::string& id, const std::string& field,
                     const std::string& value) {
    std::map<std::string, std::string> fields{
        {"backend", "\"desk\""},  {"address", "\"127.0.0.9:80\""},
        {"zone", "\"a\""},        {"slots", "2"},
        {"state", "\"ready\""},   {"sequence", "1"},
        {"born", "1700000000000"}};
    fields[field] = value;
    http_request request;
    request.method = "PUT";
    request.path = "/v1/instances/" + id;
    for (const auto& [name, text] : fields) {
      request.body += (request.body.empty() ? "{\"" : ",\"");
      request.body += name + "\":" + text;
    }
    request.body += "}";
    // The answer may come later.
    const auto status = std::make_shared<unsigned>(0);
    registry_->Handle(
        request, [status](http_response answer) { *status = answer.status; });
    return *status;
  }

  std::unique_ptr<edge_protocol> protocol_ = MakePlatformProtocol();
  std::unique_ptr<control_service> service_ = Start(Now());
  std::unique_ptr<control_client> client_ = std::make_unique<control_client>(
      config_, transport_.get(), service_.get(), this);
  std::unique_ptr<route_registry> registry_ = std::make_unique<route_registry>(
      protocol_.get(), service_.get(), client_.get());
};

// Guards against entries of another writer that are replicated although the
// list of searchers is then too large to be read: 30 heartbeats of 3 MB left a
// restarted entry instance without a list and the group without changes.
TEST_F(route_registry_test, Handle_UnboundedHeartbeat_IsRefused) {
  const std::string longest = std::string(256, 'x');
  const std::string too_long = longest + "x";
  EXPECT_EQ(Heartbeat(too_long, "zone", "\"a\""), 400u);
  for (const char* field : {"backend", "zone"}) {
    EXPECT_EQ(Heartbeat("i1", field, "\"" + too_long + "\""), 400u) << field;
    EXPECT_EQ(Heartbeat("i1", field, "\"" + longest + "\""), 0u) << field;
  }
  for (const char* born : {"9223372036854775808", "18446744073709551615"}) {
    EXPECT_EQ(Heartbeat("i1", "born", born), 400u) << born;
  }
  EXPECT_EQ(Heartbeat("i1", "zone", "\"a\""), 0u);
}

// A group of one member.
class committing_registry_test : public route_registry_test {
 protected:
  void SetUp() override {
    config_.initial_members = {config_.name};
    registry_.reset();
    service_->Drain();
    service_.reset();
    std::filesystem::remove_all(folder_);
    service_ = Start(Now());
    client_ = std::make_unique<control_client>(config_, transport_.get(),
                                               service_.get(), this);
    registry_ = std::make_unique<route_registry>(protocol_.get(),
                                                 service_.get(), client_.get());
    ASSERT_TRUE(Run([&] { return service_->leads(); }));
  }

  template <typename Condition>
  bool Run(Condition condition) {
    return RunContextUntil(&context_, condition, [&] {
      service_->Tick(Now());
      client_->Tick(Now());
      registry_->Tick(Now());
    });
  }

  // Hands a request over that its sender sent after `sent_after`.
  void SendRequest(const std::string& method, const std::string& path,
                   time_point sent_after) {
    http_request request;
    request.method = method;
    request.path = path;
    request.sent_after = sent_after;
    const std::size_t index = statuses_.size();
    statuses_.push_back(0);
    registry_->Handle(request, [this, index](http_response answer) {
      statuses_[index] = answer.status;
    });
  }
  bool RunUntilAnswered() {
    return Run(
        [&] { return std::ranges::find(statuses_, 0u) == statuses_.end(); });
  }
  // Returns a time at which the registry knows all orders so far.
  time_point Settled() {
    const time_point end = Now() + std::chrono::milliseconds(2);
    Run([&] { return Now() > end; });
    return Now();
  }

  std::vector<unsigned> statuses_;
};

class evacuation_registry_test : public committing_registry_test {
 protected:
  void Send(const std::string& method, const std::string& zone,
            time_point sent_after) {
    SendRequest(method, "/v1/evacuations/" + zone, sent_after);
  }
  // Gives an order and returns the status of its answer.
  unsigned Order(const std::string& method, const std::string& zone,
                 time_point sent_after) {
    Send(method, zone, sent_after);
    EXPECT_TRUE(RunUntilAnswered());
    return statuses_.back();
  }
  unsigned Order(const std::string& method, const std::string& zone) {
    return Order(method, zone, Settled());
  }
  bool Evacuated(const std::string& zone) const {
    return service_->state().ZoneOrders(zone).evacuated;
  }
};

// Guards against an order that waited in the socket of a frozen instance and
// undoes a later one that another instance has acknowledged, in both directions
// (EVAC in review/11).
TEST_F(evacuation_registry_test, Handle_SentBeforeLaterOrder_ChangesNothing) {
  ASSERT_EQ(Order("POST", "a"), 200u);
  const time_point before = Settled();
  ASSERT_EQ(Order("DELETE", "a"), 200u);
  ASSERT_EQ(Order("POST", "a"), 200u);
  EXPECT_EQ(Order("DELETE", "a", before), 503u);
  EXPECT_TRUE(Evacuated("a"));

  const time_point before_end = Settled();
  ASSERT_EQ(Order("DELETE", "a"), 200u);
  EXPECT_EQ(Order("POST", "a", before_end), 503u);
  EXPECT_FALSE(Evacuated("a"));
}

// Guards against refusing orders that waited but can't undo anything.
TEST_F(evacuation_registry_test, Handle_NoLaterOpposite_IsAcknowledged) {
  ASSERT_EQ(Order("POST", "a"), 200u);
  const time_point before = Settled();
  ASSERT_EQ(Order("POST", "b"), 200u);
  EXPECT_EQ(Order("DELETE", "a", before), 200u);
  EXPECT_FALSE(Evacuated("a"));
  EXPECT_EQ(Order("POST", "b", before), 200u);
  EXPECT_TRUE(Evacuated("b"));
}

// Guards against refusing orders that only meet orders about other zones, and
// repeats of one another.
TEST_F(evacuation_registry_test, Handle_SeveralAtOnce_AllAreAcknowledged) {
  ASSERT_EQ(Order("DELETE", "z"), 200u);
  statuses_.clear();
  const time_point now = Settled();
  for (const char* zone : {"a", "b", "c", "a"}) Send("POST", zone, now);
  ASSERT_TRUE(RunUntilAnswered());
  EXPECT_EQ(statuses_, std::vector<unsigned>(4, 200u));
  EXPECT_EQ(service_->state().evacuations().zones.size(), 3u);
}

// Guards against an order that is proposed again on a version that includes an
// opposite order: both were sent, and only one can be the last word.
TEST_F(evacuation_registry_test, Handle_OppositeAtOnce_OneIsRefused) {
  ASSERT_EQ(Order("DELETE", "a"), 200u);
  statuses_.clear();
  const time_point now = Settled();
  Send("POST", "a", now);
  Send("DELETE", "a", now);
  ASSERT_TRUE(RunUntilAnswered());
  EXPECT_EQ(statuses_, (std::vector<unsigned>{200, 503}));
  EXPECT_TRUE(Evacuated("a"));
  // The sender repeats it if it is still wanted.
  EXPECT_EQ(Order("DELETE", "a"), 200u);
  EXPECT_FALSE(Evacuated("a"));
}

// Guards against versions of the data folder before, which may be those of
// another group.
TEST_F(evacuation_registry_test, Handle_FolderReopened_KnowsNothingOfBefore) {
  ASSERT_EQ(Order("POST", "a"), 200u);
  const time_point before = Settled();
  service_->Drain();
  service_->Start(Now());
  ASSERT_TRUE(Run([&] { return service_->leads() && Evacuated("a"); }));
  EXPECT_EQ(Order("DELETE", "a", before), 503u);
  EXPECT_TRUE(Evacuated("a"));
  EXPECT_EQ(Order("DELETE", "a"), 200u);
}

class leave_registry_test : public committing_registry_test {
 protected:
  // A heartbeat of the process of s1 that started then.
  void Start(const std::string& started_at_ms) {
    Heartbeat("s1", "born", started_at_ms);
  }
  // A leave of s1 without a start time.
  void Leave(time_point sent_after) {
    SendRequest("DELETE", "/v1/instances/s1", sent_after);
  }
  const searcher_report& Report() const {
    return service_->state().searchers().Find("s1")->report;
  }
  bool Registered(wall_time_ms started_at_ms) {
    return Run([&] {
      const auto* record = service_->state().searchers().Find("s1");
      return record != nullptr && record->report.started_at_ms == started_at_ms;
    });
  }
};

// Guards against a leave without a start time that is not carried out.
TEST_F(leave_registry_test, Handle_LeaveWithoutStart_SearcherIsGone) {
  Start("100");
  ASSERT_TRUE(Registered(100));
  Leave(Settled());
  ASSERT_TRUE(RunUntilAnswered());
  EXPECT_EQ(statuses_, (std::vector<unsigned>{200}));
  EXPECT_EQ(Report().state, searcher_state::kGone);
  EXPECT_EQ(Report().started_at_ms, 100);
}

// Guards against a leave that waited in the socket of a frozen instance and
// marks the next process of the searcher as gone.
TEST_F(leave_registry_test, Handle_LeaveSentBeforeRestart_IsRefused) {
  Start("100");
  ASSERT_TRUE(Registered(100));
  const time_point before = Settled();
  Start("200");
  ASSERT_TRUE(Registered(200));
  Leave(before);
  ASSERT_TRUE(RunUntilAnswered());
  EXPECT_EQ(statuses_, (std::vector<unsigned>{503}));
  EXPECT_EQ(Report().state, searcher_state::kServing);
}

// The same if this instance has not learned of the next process yet.
TEST_F(leave_registry_test, Handle_RestartNotYetKnown_NewProcessIsKept) {
  Start("100");
  ASSERT_TRUE(Registered(100));
  const time_point before = Settled();
  Start("200");
  Leave(before);
  ASSERT_TRUE(RunUntilAnswered());
  EXPECT_EQ(statuses_, (std::vector<unsigned>{503}));
  EXPECT_EQ(Report().started_at_ms, 200);
  EXPECT_EQ(Report().state, searcher_state::kServing);
}

// Guards against a frame of a peer that ends the process: the argument of the
// view `request` is a JSON array of two strings, but a peer may send anything.
TEST(request_argument_test, ParseRequestKey_WrongTypes_AreRefused) {
  for (const char* argument :
       {"", "[", "7", "{}", "[]", "[1,2]", "[\"a\",2]", "[null,\"b\"]",
        "[[],{}]", "[\"a\",\"b\",\"c\"]"}) {
    EXPECT_FALSE(ParseRequestKey(argument).has_value()) << argument;
  }
  const auto key = ParseRequestKey("[\"a\",\"b\"]");
  ASSERT_TRUE(key.has_value());
  EXPECT_EQ(key->caller, "a");
  EXPECT_EQ(key->idempotency_key, "b");
}

}  // namespace
}  // namespace bilberrycourse
