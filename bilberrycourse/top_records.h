#ifndef BILBERRYCOURSE_TOP_RECORDS_H_
#define BILBERRYCOURSE_TOP_RECORDS_H_

// Merges the records of several shards and keeps the greatest ones.
//
//   std::string body = TopRecords({part1, part2}, 10);
//
// A record has 16 bytes; records are compared as unsigned bytes. A remainder
// shorter than a record is ignored, and equal records are all kept. Takes
// O(n log limit) time for n records.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

inline constexpr std::size_t kRecordBytes = 16;

// Returns the greatest `limit` records of all parts in descending order.
std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t limit);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TOP_RECORDS_H_
