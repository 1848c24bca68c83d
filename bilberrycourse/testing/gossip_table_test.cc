#include "bilberrycourse/gossip_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "bilberrycourse/gossip_codec.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

soft_record Record(std::string key, record_version version,
                   std::string value = "v") {
  soft_record r;
  r.kind = record_kind::kCrashEvidence;
  r.key = std::move(key);
  r.owner = "a";
  r.version = version;
  r.value = std::move(value);
  return r;
}

class gossip_table_test : public ::testing::Test {
 protected:
  gossip_table_test() {
    a_.SetPeers({"b"});
    b_.SetPeers({"a"});
  }

  // Delivers the messages of both tables until none are left and records the
  // changes that b reports. Returns the number of messages. If `to_b` is false,
  // messages to b are lost.
  int Exchange(bool to_b = true) {
    int messages = 0;
    while (!a_out_.empty() || !b_out_.empty()) {
      for (auto& e : std::exchange(a_out_, {})) {
        if (auto* send = std::get_if<gossip_send>(&e)) {
          ++messages;
          largest_message_bytes_ =
              std::max(largest_message_bytes_, send->bytes.size());
          if (to_b) b_.Receive("a", send->bytes, now_, &b_out_);
        }
      }
      for (auto& e : std::exchange(b_out_, {})) {
        if (auto* send = std::get_if<gossip_send>(&e)) {
          ++messages;
          largest_message_bytes_ =
              std::max(largest_message_bytes_, send->bytes.size());
          a_.Receive("b", send->bytes, now_, &a_out_);
        } else {
          changes_.push_back(std::get<record_changed>(e));
        }
      }
    }
    return messages;
  }
  void Run(duration time, bool to_b = true) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += milliseconds(10);
      a_.Tick(now_, &a_out_);
      b_.Tick(now_, &b_out_);
      Exchange(to_b);
    }
  }

  time_point now_{};
  gossip_options options_{.tombstone_retention = seconds(60),
                          .max_message_bytes = 2048,
                          .max_exchange_bytes = 8192,
                          .max_records = 2000};
  gossip_table a_{"a", options_};
  gossip_table b_{"b", options_};
  std::vector<gossip_effect> a_out_;
  std::vector<gossip_effect> b_out_;
  std::vector<record_changed> changes_;
  std::size_t largest_message_bytes_ = 0;
};

// Guards against older versions that replace newer ones.
TEST_F(gossip_table_test, Publish_VersionPairs_OnlyHigherVersionWins) {
  const struct {
    record_version known, offered;
    bool wins;
  } cases[] = {
      {{1, 1}, {1, 2}, true},  {{1, 2}, {1, 1}, false}, {{1, 9}, {2, 0}, true},
      {{2, 0}, {1, 9}, false}, {{1, 1}, {1, 1}, false},
  };
  int i = 0;
  for (const auto& c : cases) {
    const std::string key = "k" + std::to_string(i++);
    ASSERT_TRUE(a_.Publish(Record(key, c.known), now_, &a_out_));
    EXPECT_EQ(a_.Publish(Record(key, c.offered), now_, &a_out_), c.wins);
  }
}

// Guards against equal versions with different content that never converge.
TEST_F(gossip_table_test, Publish_EqualVersionsDiffer_TablesConverge) {
  a_.Publish(Record("k", {1, 1}, "x"), now_, &a_out_);
  b_.Publish(Record("k", {1, 1}, "y"), now_, &b_out_);
  Run(seconds(3));
  EXPECT_EQ(a_.bucket_hashes(), b_.bucket_hashes());
  EXPECT_EQ(*a_.Find(record_kind::kCrashEvidence, "k"),
            *b_.Find(record_kind::kCrashEvidence, "k"));
}

// Guards against a new version that is not sent before the next anti-entropy
// round.
TEST_F(gossip_table_test, Publish_AfterIdleInterval_PushedImmediately) {
  a_.Publish(Record("k", {1, 1}), now_, &a_out_);
  Exchange();
  EXPECT_EQ(changes_.size(), 1u);
}

// Guards against lost pushes that are never repaired, messages beyond the size
// limit, and exchanges that do not terminate.
TEST_F(gossip_table_test, Tick_PushesLost_AntiEntropyRepairsInBoundedMessages) {
  for (int i = 0; i < 1000; ++i) {
    a_.Publish(Record("k" + std::to_string(i), {1, 1}, std::string(100, 'v')),
               now_, &a_out_);
  }
  Run(seconds(10), false);
  EXPECT_EQ(b_.size(), 0u);
  Run(seconds(3));
  EXPECT_EQ(b_.size(), 1000u);
  EXPECT_EQ(a_.bucket_hashes(), b_.bucket_hashes());
  EXPECT_LE(largest_message_bytes_, options_.max_message_bytes);
  largest_message_bytes_ = 0;
  now_ += seconds(1);
  a_.Synchronize("b", now_, &a_out_);
  EXPECT_EQ(Exchange(), 1) << "equal tables exchange more than a digest";
}

// Guards against removed records that a peer with an old copy restores, and
// against tombstones that are relayed forever.
TEST_F(gossip_table_test, Tick_Tombstone_WinsAndIsRemovedAfterRetention) {
  a_.Publish(Record("k", {1, 1}), now_, &a_out_);
  Run(seconds(2));
  soft_record gone = Record("k", {1, 2});
  gone.deleted = true;
  a_.Publish(gone, now_, &a_out_);
  Run(seconds(50), false);
  Run(seconds(2));
  ASSERT_NE(b_.Find(gone.kind, "k"), nullptr);
  EXPECT_TRUE(b_.Find(gone.kind, "k")->deleted);
  // The copy at b keeps the lifetime of the original.
  Run(seconds(9));
  EXPECT_EQ(a_.size(), 0u);
  EXPECT_EQ(b_.size(), 0u);
  EXPECT_TRUE(changes_.back().expired);
}

// Guards against crash evidence that never expires or expires late.
TEST_F(gossip_table_test, Tick_LifetimeEnds_RecordRemovedEverywhere) {
  soft_record r = Record("k", {1, 1});
  r.lifetime = seconds(5);
  a_.Publish(r, now_, &a_out_);
  Run(seconds(4));
  EXPECT_EQ(b_.size(), 1u);
  Run(milliseconds(1100));
  EXPECT_EQ(a_.size() + b_.size(), 0u);
}

// Guards against unbounded memory use and oversized records.
TEST_F(gossip_table_test, Publish_BeyondBounds_RefusedAndTombstonesMakeRoom) {
  EXPECT_FALSE(a_.Publish(Record("", {1, 1}), now_, &a_out_));
  EXPECT_FALSE(
      a_.Publish(Record("k", {1, 1}, std::string(5000, 'v')), now_, &a_out_));
  soft_record gone = Record("gone", {1, 1});
  gone.deleted = true;
  EXPECT_TRUE(a_.Publish(gone, now_, &a_out_));
  for (std::size_t i = 0; i < options_.max_records; ++i) {
    EXPECT_TRUE(
        a_.Publish(Record("k" + std::to_string(i), {1, 1}), now_, &a_out_));
  }
  EXPECT_FALSE(a_.Publish(Record("more", {1, 1}), now_, &a_out_));
  EXPECT_EQ(a_.size(), options_.max_records);
}

// Guards against a withdrawn record that cannot be received again.
TEST_F(gossip_table_test, Withdraw_PeerHasLowerVersion_ReceivedAgain) {
  a_.Publish(Record("k", {1, 0}), now_, &a_out_);
  Run(seconds(2));
  b_.Publish(Record("k", {1, 2}), now_, &b_out_);
  b_.Withdraw(record_kind::kCrashEvidence, "k");
  b_out_.clear();
  Run(seconds(2));
  ASSERT_NE(b_.Find(record_kind::kCrashEvidence, "k"), nullptr);
  EXPECT_EQ(b_.Find(record_kind::kCrashEvidence, "k")->version.sequence, 0u);
}

// Guards against fields that are lost or changed by encoding and decoding.
TEST(gossip_codec_test, SoftRecord_Searcher_RoundTrips) {
  const backend_server_record r{{{"a/b", 3}, "r1"},
                                4,
                                7,
                                2,
                                "10.0.0.1:9",
                                "z1",
                                2,
                                25,
                                {index_version{5}, index_version{6}},
                                backend_server_state::kDraining,
                                "e1"};
  const auto message =
      DecodeGossip(EncodeGossip(gossip_records{{ToSoftRecord(r)}, true, true}));
  ASSERT_TRUE(message);
  const auto& records = std::get<gossip_records>(*message);
  EXPECT_TRUE(records.exchange && records.more);
  const auto decoded = ToBackendServerRecord(records.records.at(0));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(ToSoftRecord(*decoded), ToSoftRecord(r));
  EXPECT_EQ(decoded->versions, r.versions);
}

}  // namespace
}  // namespace bilberrycourse
