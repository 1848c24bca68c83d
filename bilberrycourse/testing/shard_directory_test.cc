#include "bilberrycourse/shard_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

constexpr index_version kOld{1};
constexpr index_version kNew{2};

backend_server_record MakeRecord(const std::string& service,
                                 std::uint32_t shard, std::uint32_t count,
                                 std::vector<index_version> versions) {
  backend_server_record record;
  record.key = {{service, shard}, "a"};
  record.shard_count = count;
  record.incarnation = 1;
  record.slots = 2;
  record.versions = std::move(versions);
  return record;
}

class shard_directory_test : public ::testing::Test {
 protected:
  shard_directory directory_;
};

// Guards against mixing up shards of equal index in two services.
TEST_F(shard_directory_test, Pick_TwoServicesEqualIndex_CountsBoth) {
  directory_.SetGroup("group", {"x", "y", "x"});
  directory_.RecordShardSet("x", kOld, 1);
  directory_.RecordShardSet("y", kOld, 1);
  directory_.UpdateBackendServer(MakeRecord("y", 0, 1, {kOld}));
  const auto plan = directory_.Pick("group");
  ASSERT_EQ(plan->shards.size(), 2u);
  EXPECT_EQ(plan->shards[0], (planned_shard{{"x", 0}, false}));
  EXPECT_EQ(plan->shards[1], (planned_shard{{"y", 0}, true, 1}));
  EXPECT_EQ(plan->serving, 1u);
}

// Guards against using a replica that splits the service into another number
// of shards and therefore holds other documents.
TEST_F(shard_directory_test, Update_AnotherShardCount_StopsServing) {
  directory_.RecordShardSet("x", kOld, 1);
  auto record = MakeRecord("x", 0, 1, {kOld});
  EXPECT_EQ(directory_.UpdateBackendServer(record), result_code::kOk);
  EXPECT_TRUE(directory_.Serves({"x", 0}, kOld));
  record.shard_count = 2;
  record.sequence = 1;
  EXPECT_EQ(directory_.UpdateBackendServer(record),
            result_code::kShardCountConflict);
  EXPECT_FALSE(directory_.Serves({"x", 0}, kOld));
  EXPECT_EQ(directory_.RecordShardSet("x", kOld, 2),
            result_code::kShardCountConflict);
  EXPECT_EQ(directory_.RecordedShardCount("x", kOld), 1u);
}

// Guards against a lost replica reducing the shard count that coverage is
// measured against.
TEST_F(shard_directory_test, Pick_AllReplicasLost_KeepsShardCount) {
  directory_.RecordShardSet("x", kOld, 2);
  for (const std::uint32_t shard : {0u, 1u}) {
    directory_.UpdateBackendServer(MakeRecord("x", shard, 2, {kOld}));
  }
  EXPECT_EQ(directory_.Pick("x")->serving, 2u);
  directory_.RemoveBackendServer({{"x", 0}, "a"});
  auto draining = MakeRecord("x", 1, 2, {kOld});
  draining.sequence = 1;
  draining.state = backend_server_state::kDraining;
  directory_.UpdateBackendServer(draining);
  EXPECT_EQ(directory_.Pick("x")->shards.size(), 2u);
  EXPECT_EQ(directory_.Pick("x")->serving, 0u);
}

// Guards against choosing a partly loaded version or repartition over a
// complete version.
TEST_F(shard_directory_test, Pick_Repartition_WaitsForFullCoverage) {
  directory_.RecordShardSet("x", kOld, 1);
  directory_.RecordShardSet("x", kNew, 2);
  directory_.UpdateBackendServer(MakeRecord("x", 0, 1, {kOld}));
  auto first = MakeRecord("x", 0, 2, {kNew});
  first.key.replica = "b";
  directory_.UpdateBackendServer(first);
  EXPECT_EQ(directory_.Pick("x")->version, kOld);
  EXPECT_EQ(directory_.PickExcluding("x", kOld)->version, kNew);
  directory_.UpdateBackendServer(MakeRecord("x", 1, 2, {kNew}));
  EXPECT_EQ(directory_.Pick("x")->version, kNew)
      << "equal coverage: the newest version is chosen";
}

// Guards against reporting an answer as complete although a service of the
// group has no record at the pinned version.
TEST_F(shard_directory_test, PlanAt_ServiceWithoutRecord_CountsAsMissing) {
  directory_.SetGroup("group", {"x", "y", "z"});
  directory_.RecordShardSet("x", kNew, 1);
  directory_.RecordShardSet("y", kOld, 3);
  directory_.UpdateBackendServer(MakeRecord("x", 0, 1, {kNew}));
  const auto plan = directory_.PlanAt("group", kNew);
  EXPECT_EQ(plan->shards.size(), 1u + 3u + 1u);
  EXPECT_EQ(plan->serving, 1u);
  EXPECT_EQ(directory_.Pick("none"), nullptr);
  EXPECT_EQ(directory_.PickExcluding("z", kNew), nullptr);
}

// Guards against serving a version whose shard count is not yet agreed.
TEST_F(shard_directory_test, Record_AfterAnnouncement_StartsServing) {
  directory_.UpdateBackendServer(MakeRecord("x", 0, 1, {kOld}));
  EXPECT_EQ(directory_.Pick("x")->serving, 0u);
  EXPECT_EQ(directory_.Pick("x")->shards.size(), 1u);
  directory_.RecordShardSet("x", kOld, 1);
  EXPECT_EQ(directory_.Pick("x")->serving, 1u);
  EXPECT_EQ(directory_.SmallestShardSlots("x"), 2u);
}

// Guards against accepting stale or invalid announcements.
TEST_F(shard_directory_test, Update_BadRecord_IsRefused) {
  struct test_case {
    const char* name;
    void (*change)(backend_server_record*);
    result_code expected;
  };
  const test_case cases[] = {
      {"same", [](auto*) {}, result_code::kOk},
      {"older incarnation", [](auto* r) { r->incarnation = 0; },
       result_code::kStaleIncarnation},
      {"no shards", [](auto* r) { r->shard_count = 0; },
       result_code::kInvalidField},
      {"shard out of range", [](auto* r) { r->key.shard.shard = 2; },
       result_code::kInvalidField},
      {"too many shards", [](auto* r) { r->shard_count = 1u << 30; },
       result_code::kInvalidField},
      {"unsorted versions",
       [](auto* r) {
         r->versions = {kNew, kOld};
       },
       result_code::kInvalidField},
      {"no service", [](auto* r) { r->key.shard.service.clear(); },
       result_code::kInvalidField}};
  directory_.RecordShardSet("x", kOld, 2);
  const auto good = MakeRecord("x", 1, 2, {kOld});
  directory_.UpdateBackendServer(good);
  for (const test_case& test : cases) {
    auto record = good;
    test.change(&record);
    EXPECT_EQ(directory_.UpdateBackendServer(record), test.expected)
        << test.name;
    EXPECT_TRUE(directory_.Serves({"x", 1}, kOld)) << test.name;
  }
}

// Guards against unbounded growth and against evicting the version in use.
TEST_F(shard_directory_test, Record_ManyVersions_EvictsUnservedOnes) {
  directory_.RecordShardSet("x", kOld, 1);
  directory_.UpdateBackendServer(MakeRecord("x", 0, 1, {kOld}));
  for (std::uint64_t v = 2; v < 200; ++v) {
    directory_.RecordShardSet("x", index_version{v}, 1);
  }
  EXPECT_FALSE(directory_.RecordedShardCount("x", kNew).has_value());
  EXPECT_EQ(directory_.Pick("x")->version, kOld);
}

// Guards against two admission limits for the same searchers.
TEST_F(shard_directory_test, ScopeOf_GroupedService_IsItsGroup) {
  directory_.SetGroup("group", {"x"});
  EXPECT_EQ(directory_.ScopeOf("x"), "group");
  EXPECT_EQ(directory_.ScopeOf("group"), "group");
  EXPECT_EQ(directory_.ScopeOf("y"), "y");
  directory_.RemoveGroup("group");
  EXPECT_EQ(directory_.ScopeOf("x"), "x");
  EXPECT_FALSE(directory_.Contains("group"));
}

}  // namespace
}  // namespace bilberrycourse
