#include "app/crash_frames.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

void Pack(const wire::crash_recordsT& records,
          flatbuffers::FlatBufferBuilder* builder) {
  builder->Finish(wire::crash_records::Pack(*builder, &records));
}

// Guards against evidence that changes on its way to another instance.
TEST(crash_frames_test, FromWire_OfToWire_Unchanged) {
  const std::vector<crash_evidence_record> records = {
      {fingerprint{~0ULL}, false, {{"lots-1", 0}, "i1"}, 77, duration{5}},
      {fingerprint{2}, true, {{"lots-1", 0}, {}}, 0, duration{0}},
      {fingerprint{3}, true, {}, 0, duration{9}}};
  flatbuffers::FlatBufferBuilder builder;
  Pack(ToWire(records), &builder);
  const auto* packed =
      flatbuffers::GetRoot<wire::crash_records>(builder.GetBufferPointer());
  EXPECT_EQ(FromWire(*packed), records);
}

// Guards against a peer whose ages overflow the clock.
TEST(crash_frames_test, FromWire_HugeAge_Bounded) {
  wire::crash_recordsT records;
  records.records.push_back(std::make_unique<wire::crash_recordT>());
  records.records.back()->age_us = ~0ULL;
  flatbuffers::FlatBufferBuilder builder;
  Pack(records, &builder);
  const auto parsed = FromWire(
      *flatbuffers::GetRoot<wire::crash_records>(builder.GetBufferPointer()));
  ASSERT_EQ(parsed.size(), 1u);
  EXPECT_LE(parsed.front().age, duration(std::chrono::hours(24)));
}

TEST(crash_frames_test, FromWire_NoRecords_Empty) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Createcrash_records(builder));
  EXPECT_TRUE(FromWire(*flatbuffers::GetRoot<wire::crash_records>(
                           builder.GetBufferPointer()))
                  .empty());
}

}  // namespace
}  // namespace bilberrycourse
