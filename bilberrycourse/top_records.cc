#include "bilberrycourse/top_records.h"

#include <algorithm>
#include <functional>

namespace bilberrycourse {

std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t limit) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const std::size_t count = std::min(limit, records.size());
  // string_view compares bytes as unsigned characters.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(), std::greater<>());
  std::string body;
  body.reserve(count * kRecordBytes);
  for (std::size_t i = 0; i < count; ++i) body.append(records[i]);
  return body;
}

}  // namespace bilberrycourse
