#ifndef BILBERRYCOURSE_TOP_RECORDS_H_
#define BILBERRYCOURSE_TOP_RECORDS_H_

// Merges the records of several shards into the greatest ones.
//
//   std::string body = TopRecords({part1, part2}, 10);
//
// A record has 16 bytes and records are compared byte by byte. A remainder
// shorter than a record is ignored. Equal records all count. Costs
// O(n log limit) for n records.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

inline constexpr std::size_t kRecordBytes = 16;

// The greatest `limit` records of all parts, greatest first.
std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t limit);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TOP_RECORDS_H_
