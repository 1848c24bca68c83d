#include <gtest/gtest.h>
// GoogleTest comes before RapidCheck's adapter.
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "bilberrycourse/consensus_codec.h"
#include "bilberrycourse/consensus_generated.h"
#include "bilberrycourse/log_codec.h"

namespace bilberrycourse {
namespace {

// One persist effect of a generated history: the number of entries to remove
// first, the number to append, the size of their payload, and whether the hard
// state changes.
struct batch {
  std::uint8_t entries = 0;
  std::uint8_t dropped = 0;
  std::uint8_t payload = 0;
  bool state = false;
};

void showValue(const batch& b, std::ostream& os) {
  os << "{entries " << int{b.entries} << ", dropped " << int{b.dropped}
     << ", payload " << int{b.payload} << ", state " << b.state << "}";
}

rc::Gen<std::vector<batch>> Batches() {
  return rc::gen::container<std::vector<batch>>(rc::gen::build<batch>(
      rc::gen::set(&batch::entries, rc::gen::inRange<int>(0, 4)),
      rc::gen::set(&batch::dropped, rc::gen::inRange<int>(0, 3)),
      rc::gen::set(&batch::payload, rc::gen::inRange<int>(0, 60)),
      rc::gen::set(&batch::state, rc::gen::arbitrary<bool>())));
}

std::string Describe(const recovered_log& log) {
  std::string text = std::to_string(log.state.term) + ":";
  if (log.snapshot) text += "s" + std::to_string(log.snapshot->index);
  for (const log_entry& entry : log.entries) {
    text += " " + std::to_string(entry.index) + "/" +
            std::to_string(entry.term) + "/" + *entry.payload;
  }
  return text;
}

// A log file, and its length and expected contents after each batch.
struct history {
  std::uint64_t generation = 3;
  std::string file;
  std::vector<std::size_t> lengths;
  std::vector<std::string> contents;
};

history Write(const std::vector<batch>& batches) {
  history h;
  recovered_log log;
  log.identity = {"group", member_id{7}, "c1"};
  log.snapshot =
      log_snapshot{5,
                   1,
                   {{{member_id{7}, "c1", "c1:1", member_role::kVoter}}},
                   std::make_shared<const std::string>("state")};
  h.file = EncodeLogFile(h.generation, log);
  h.lengths.push_back(h.file.size());
  h.contents.push_back(Describe(log));
  for (const batch& b : batches) {
    persist_effect effect;
    effect.state_changed = b.state;
    if (b.state) ++log.state.term;
    effect.state = log.state;
    if (b.dropped > 0 && log.entries.size() >= b.dropped) {
      log.entries.resize(log.entries.size() - b.dropped);
      effect.truncate_from = 6 + log.entries.size();
    }
    for (int i = 0; i < b.entries; ++i) {
      log.entries.push_back(
          {6 + log.entries.size(), log.state.term, entry_kind::kCommand,
           std::make_shared<const std::string>(b.payload, 'x')});
      effect.entries.push_back(log.entries.back());
    }
    h.file += EncodeChanges(h.generation, h.file.size(), effect);
    h.lengths.push_back(h.file.size());
    h.contents.push_back(Describe(log));
  }
  return h;
}

// Guards against recovery that loses a synced change, keeps a partial record,
// or refuses a file that lacks only unsynced bytes.
RC_GTEST_PROP(log_codec_property_test, CutAfterSync_KeepsAllSyncedChanges, ()) {
  const history h = Write(*Batches());
  const std::size_t synced =
      *rc::gen::inRange<std::size_t>(0, h.lengths.size());
  const std::size_t cut =
      *rc::gen::inRange<std::size_t>(h.lengths[synced], h.file.size() + 1);
  std::string file = h.file.substr(0, cut);
  // The file may have been extended before its data reached the disk.
  file.append(*rc::gen::inRange<std::size_t>(0, 50), '\0');
  const log_recovery r = RecoverLog(file, h.generation, h.lengths[synced]);
  RC_ASSERT(r.code == result_code::kOk);
  RC_ASSERT(r.valid_length >= h.lengths[synced]);
  RC_ASSERT(r.valid_length <= cut);
  for (std::size_t i = 0; i < h.lengths.size(); ++i) {
    if (h.lengths[i] == r.valid_length) {
      RC_ASSERT(Describe(r.log) == h.contents[i]);
    }
  }
}

// Guards against a member that discards its synced log because a loss of power
// left later blocks of an unsynced write without an earlier one.
RC_GTEST_PROP(log_codec_property_test, UnsyncedBlocksMixed_KeepsSyncedChanges,
              ()) {
  const history h = Write(*Batches());
  const std::size_t synced =
      *rc::gen::inRange<std::size_t>(0, h.lengths.size());
  const std::size_t block = *rc::gen::inRange<std::size_t>(1, 40);
  std::string file = h.file;
  std::size_t first_missing = file.size();
  for (std::size_t at = h.lengths[synced]; at < file.size();) {
    // Blocks are aligned to the file, as on a disk.
    const std::size_t end = std::min((at / block + 1) * block, file.size());
    if (*rc::gen::arbitrary<bool>()) {
      const char left = *rc::gen::element('\0', '\x5a', '\xff');
      file.replace(at, end - at, end - at, left);
      first_missing = std::min(first_missing, at);
    }
    at = end;
  }
  file.resize(
      *rc::gen::inRange<std::size_t>(h.lengths[synced], file.size() + 1));
  const log_recovery r = RecoverLog(file, h.generation, h.lengths[synced]);
  RC_ASSERT(r.code == result_code::kOk);
  RC_ASSERT(r.valid_length >= h.lengths[synced]);
  // What is kept was written as it is.
  RC_ASSERT(h.file.starts_with(file.substr(0, r.valid_length)));
  RC_ASSERT(r.torn_tail == (r.valid_length < file.size()));
  // Everything before the first block that is missing is kept.
  for (std::size_t i = 0; i < h.lengths.size(); ++i) {
    if (h.lengths[i] <= std::min(first_missing, file.size())) {
      RC_ASSERT(r.valid_length >= h.lengths[i]);
    }
    if (h.lengths[i] == r.valid_length) {
      RC_ASSERT(Describe(r.log) == h.contents[i]);
    }
  }
}

// Guards against accepting a log that is shorter than its synced length.
RC_GTEST_PROP(log_codec_property_test, CutBeforeSync_IsRefused, ()) {
  const history h = Write(*Batches());
  const std::size_t synced =
      *rc::gen::inRange<std::size_t>(0, h.lengths.size());
  const std::size_t cut = *rc::gen::inRange<std::size_t>(0, h.lengths[synced]);
  const log_recovery r =
      RecoverLog(h.file.substr(0, cut), h.generation, h.lengths[synced]);
  RC_ASSERT(r.code == result_code::kLogDamaged);
  RC_ASSERT(!r.reason.empty());
}

// Guards against accepting damaged bytes: recovery either returns unaltered
// records that include all synced ones, or reports damage.
RC_GTEST_PROP(log_codec_property_test, DamagedBytes_AreRefusedOrUnsynced, ()) {
  const history h = Write(*Batches());
  const std::size_t synced =
      *rc::gen::inRange<std::size_t>(0, h.lengths.size());
  std::string file = h.file;
  const std::size_t start = *rc::gen::inRange<std::size_t>(0, file.size());
  const std::size_t length = *rc::gen::inRange<std::size_t>(1, 20);
  const bool zero = *rc::gen::arbitrary<bool>();
  for (std::size_t i = start; i < std::min(start + length, file.size()); ++i) {
    file[i] =
        zero ? '\0' : static_cast<char>(file[i] ^ *rc::gen::inRange(1, 256));
  }
  const log_recovery r = RecoverLog(file, h.generation, h.lengths[synced]);
  if (r.code == result_code::kOk) {
    RC_ASSERT(r.valid_length >= h.lengths[synced]);
    // The accepted part is identical to the bytes written.
    RC_ASSERT(file.substr(0, r.valid_length) ==
              h.file.substr(0, r.valid_length));
  } else {
    RC_ASSERT(r.code == result_code::kLogDamaged);
  }
}

// Guards against accepting a record of another file or from another offset:
// behind the synced length it ends the log, before it the log is damaged.
TEST(log_codec_property_test, RecordOfAnotherGenerationOrOffset_IsNotUsed) {
  const history h = Write({{.entries = 2, .payload = 9, .state = true}});
  EXPECT_EQ(RecoverLog(h.file, h.generation + 1, 0).code,
            result_code::kLogDamaged);
  const std::string copied = h.file + h.file.substr(h.lengths[0]);
  const log_recovery unsynced = RecoverLog(copied, h.generation, 0);
  EXPECT_EQ(unsynced.code, result_code::kOk);
  EXPECT_TRUE(unsynced.torn_tail);
  EXPECT_EQ(unsynced.valid_length, h.file.size());
  EXPECT_EQ(Describe(unsynced.log), h.contents.back());
  EXPECT_EQ(RecoverLog(copied, h.generation, copied.size()).code,
            result_code::kLogDamaged);
  EXPECT_EQ(RecoverLog(copied, h.generation, h.file.size() + 1).code,
            result_code::kLogDamaged);
  EXPECT_EQ(RecoverLog("", h.generation, 0).code, result_code::kLogDamaged);
}

// Guards against a damaged sync mark that is used, or that hides the intact
// one.
RC_GTEST_PROP(log_codec_property_test, SyncMark_DamagedSlot_OtherIsUsed, ()) {
  const sync_mark older{4, 1, *rc::gen::arbitrary<std::uint64_t>()};
  const sync_mark newer{5, 2, *rc::gen::arbitrary<std::uint64_t>()};
  std::string file = EncodeSyncMark(older) + EncodeSyncMark(newer);
  RC_ASSERT(DecodeSyncMarks(file) == newer);
  const std::size_t position = *rc::gen::inRange<std::size_t>(0, file.size());
  file[position] =
      static_cast<char>(file[position] ^ *rc::gen::inRange(1, 256));
  RC_ASSERT(DecodeSyncMarks(file) ==
            (position < kSyncMarkBytes ? newer : older));
}

// Guards against fields that are lost in a round trip, and against damaged
// messages that crash the decoder.
RC_GTEST_PROP(consensus_codec_property_test, Message_RoundTripAndDamage, ()) {
  consensus_message m;
  m.kind =
      static_cast<message_kind>(*rc::gen::inRange<int>(0, kMessageKindCount));
  m.group = *rc::gen::arbitrary<std::uint64_t>();
  m.formation = *rc::gen::arbitrary<std::uint64_t>();
  m.from = member_id{*rc::gen::arbitrary<std::uint64_t>()};
  m.to = member_id{*rc::gen::arbitrary<std::uint64_t>()};
  m.term = *rc::gen::arbitrary<std::uint64_t>();
  m.index = *rc::gen::arbitrary<std::uint64_t>();
  m.index_term = *rc::gen::arbitrary<std::uint64_t>();
  m.commit = *rc::gen::arbitrary<std::uint64_t>();
  m.match = *rc::gen::arbitrary<std::uint64_t>();
  m.rejected = *rc::gen::arbitrary<bool>();
  m.formed = *rc::gen::arbitrary<bool>();
  m.forced = *rc::gen::arbitrary<bool>();
  m.sequence = *rc::gen::arbitrary<std::uint64_t>();
  m.sent_us = *rc::gen::arbitrary<std::int64_t>();
  m.confirmation_age_us = *rc::gen::arbitrary<std::int64_t>();
  m.follower_us = *rc::gen::arbitrary<std::int64_t>();
  m.held_us = *rc::gen::arbitrary<std::int64_t>();
  m.offset = *rc::gen::arbitrary<std::uint64_t>();
  m.total = *rc::gen::arbitrary<std::uint64_t>();
  m.data = *rc::gen::arbitrary<std::string>();
  m.leaving = *rc::gen::arbitrary<bool>();
  m.members = {{member_id{3}, *rc::gen::arbitrary<std::string>(), "a:1",
                member_role::kVoter}};
  m.entries = {{8, 2, entry_kind::kCommand,
                std::make_shared<const std::string>(
                    *rc::gen::arbitrary<std::string>())}};
  const std::string bytes = EncodeMessage(m);
  const auto copy = DecodeMessage(bytes);
  RC_ASSERT(copy.has_value());
  RC_ASSERT(copy->from == m.from && copy->to == m.to);
  RC_ASSERT(copy->kind == m.kind && copy->data == m.data);
  RC_ASSERT(copy->leaving == m.leaving);
  RC_ASSERT(copy->members == m.members);
  RC_ASSERT(*copy->entries.at(0).payload == *m.entries[0].payload);
  // Encoding is deterministic, so equal bytes mean equal fields.
  RC_ASSERT(EncodeMessage(*copy) == bytes);

  std::string damaged = bytes;
  for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
    damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
  DecodeMessage(damaged);
  DecodeGroupMembership(damaged);
}

// Guards against a message of the build before, which has no field `leaving`,
// that is refused or taken for one of a member that leaves.
TEST(consensus_codec_property_test, Message_WithoutLeaving_StaysInGroup) {
  flatbuffers::FlatBufferBuilder builder;
  consensus_wire::messageBuilder earlier(builder);
  earlier.add_kind(static_cast<std::uint8_t>(message_kind::kAppendReply));
  earlier.add_from(3);
  earlier.add_match(8);
  builder.Finish(earlier.Finish());
  const auto message =
      DecodeMessage({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize()});
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(message->match, 8u);
  EXPECT_FALSE(message->leaving);
}

}  // namespace
}  // namespace bilberrycourse
