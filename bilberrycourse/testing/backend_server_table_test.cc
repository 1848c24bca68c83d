#include "bilberrycourse/backend_server_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "bilberrycourse/gossip_codec.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using state = backend_server_state;

backend_server_record Searcher(std::uint64_t incarnation) {
  return {{{"catalogue", 0}, "r1"},
          2,
          incarnation,
          0,
          "10.0.0.1:9000",
          "z1",
          2,
          25,
          {index_version{1}},
          state::kServing,
          ""};
}

class backend_server_table_test : public ::testing::Test {
 protected:
  backend_server_table_test() {
    table_.SetAliveInstances({"e1", "e2"}, now_, &out_);
  }
  result_code Announce(const backend_server_record& r) {
    out_.clear();
    return table_.Announce(r, now_, &out_);
  }
  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += milliseconds(10);
      table_.Tick(now_, &out_);
    }
  }
  void MergeFrom(const instance_name& registrar, backend_server_record r) {
    r.registrar = registrar;
    table_.Merge(ToSoftRecord(r), now_, &out_);
  }
  std::optional<soft_record> Published() const {
    for (const auto& e : out_) {
      if (const auto* p = std::get_if<publish_record>(&e)) return p->record;
    }
    return std::nullopt;
  }
  state View() const { return table_.Find(Searcher(1).key)->state; }

  time_point now_{};
  backend_server_table table_{"e1", {}};
  std::vector<backend_server_effect> out_;
};

// Guards against a stale process that replaces its successor, and against
// changes that are overridden by an earlier announcement.
TEST_F(backend_server_table_test,
       Announce_Incarnations_OnlyNewerAttributesPublished) {
  auto draining = Searcher(5);
  draining.state = state::kDraining;
  const struct {
    backend_server_record record;
    result_code code;
    std::optional<record_version> published;
  } cases[] = {
      {Searcher(5), result_code::kOk, record_version{5, 1}},
      {Searcher(5), result_code::kOk, std::nullopt},
      {Searcher(4), result_code::kStaleIncarnation, std::nullopt},
      {draining, result_code::kOk, record_version{5, 2}},
      {draining, result_code::kOk, std::nullopt},
      {Searcher(6), result_code::kOk, record_version{6, 1}},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(Announce(c.record), c.code);
    const auto published = Published();
    ASSERT_EQ(published.has_value(), c.published.has_value());
    if (published) {
      EXPECT_EQ(published->version, *c.published);
    }
    EXPECT_EQ(out_.size(), c.published ? 2u : 0u);
  }
}

// Guards against invalid attributes that enter the table.
TEST_F(backend_server_table_test, Announce_InvalidAttributes_Refused) {
  std::vector<backend_server_record> invalid(7, Searcher(1));
  invalid[0].key.shard.service.clear();
  invalid[1].key.shard.shard = 2;
  invalid[2].incarnation = 0;
  invalid[3].slots = 0;
  invalid[4].versions = {index_version{2}, index_version{1}};
  invalid[5].state = state::kLost;
  invalid[6].address = std::string(1000, 'a');
  for (const auto& r : invalid) {
    EXPECT_EQ(Announce(r), result_code::kInvalidField);
  }
  EXPECT_EQ(table_.size(), 0u);
}

// Guards against a dead searcher that stays in the table, and against a
// searcher that renews but is treated as lost.
TEST_F(backend_server_table_test, Tick_RenewalsStop_LostAfter3s) {
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Announce(Searcher(1)), result_code::kOk);
    Run(seconds(1));
  }
  out_.clear();
  Run(milliseconds(1980));
  EXPECT_TRUE(out_.empty());
  Run(milliseconds(30));
  EXPECT_EQ(View(), state::kLost);
  EXPECT_TRUE(Published()->deleted);
  // The same process may return, with a higher sequence.
  Announce(Searcher(1));
  EXPECT_EQ(Published()->version, (record_version{1, 3}));
}

// Guards against a registrar that declares all searchers lost after its own
// process was paused.
TEST_F(backend_server_table_test, Tick_RegistrarPaused_SearchersNotLost) {
  Announce(Searcher(1));
  Run(seconds(1));
  now_ += seconds(20);
  table_.Tick(now_, &out_);
  EXPECT_EQ(View(), state::kServing);
  Run(seconds(4));
  EXPECT_EQ(View(), state::kLost);
}

// Guards against losing every searcher of a registrar at once when it dies, and
// against records that stay in force without any renewal.
TEST_F(backend_server_table_test, Tick_RegistrarDead_LostAfterGraceOnly) {
  MergeFrom("e2", Searcher(1));
  table_.SetAliveInstances({"e1"}, now_, &out_);
  Run(milliseconds(4900));
  EXPECT_EQ(View(), state::kServing);
  Run(milliseconds(200));
  EXPECT_EQ(View(), state::kLost);
  EXPECT_FALSE(Published()) << "the registrar may merely be unreachable";
  table_.SetAliveInstances({"e1", "e2"}, now_, &out_);
  EXPECT_EQ(View(), state::kServing);
  table_.SetAliveInstances({"e1"}, now_, &out_);
  Run(minutes(11));
  ASSERT_TRUE(Published()) << "records without a registrar are never removed";
  EXPECT_TRUE(Published()->deleted);
}

// Guards against a searcher that is treated as lost although it has moved to
// another registrar.
TEST_F(backend_server_table_test, Announce_RegistrarDead_TakenOver) {
  MergeFrom("e2", Searcher(1));
  table_.SetAliveInstances({"e1"}, now_, &out_);
  Run(seconds(2));
  Announce(Searcher(1));
  EXPECT_EQ(Published()->owner, "e1");
  EXPECT_EQ(Published()->version, (record_version{1, 1}));
  Run(milliseconds(2900));
  EXPECT_EQ(View(), state::kServing);
  // Another instance now receives the renewals: this one reports no loss.
  auto moved = Searcher(1);
  moved.sequence = 9;
  out_.clear();
  MergeFrom("e2", moved);
  table_.SetAliveInstances({"e1", "e2"}, now_, &out_);
  Run(seconds(10));
  EXPECT_EQ(View(), state::kServing);
  EXPECT_FALSE(Published());
}

// Guards against a former registrar that removes a searcher which renews here.
TEST_F(backend_server_table_test,
       Merge_LossReportedButRenewedHere_StaysServing) {
  Announce(Searcher(1));
  out_.clear();
  auto lost = Searcher(1);
  lost.sequence = 4;
  lost.state = state::kLost;
  MergeFrom("e2", lost);
  EXPECT_EQ(View(), state::kServing);
  EXPECT_EQ(Published()->version, (record_version{1, 5}));
  lost.incarnation = 2;
  MergeFrom("e2", lost);
  EXPECT_EQ(View(), state::kLost);
}

// Guards against crashes on malformed or forged records.
TEST_F(backend_server_table_test, Merge_Malformed_CountedWithoutEffect) {
  soft_record r = ToSoftRecord(Searcher(1));
  r.value = "x";
  table_.Merge(r, now_, &out_);
  r = ToSoftRecord(Searcher(1));
  r.key = "other/0/r1";
  table_.Merge(r, now_, &out_);
  EXPECT_EQ(table_.malformed(), 2u);
  EXPECT_EQ(table_.size(), 0u);
}

}  // namespace
}  // namespace bilberrycourse
