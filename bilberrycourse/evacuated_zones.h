#ifndef BILBERRYCOURSE_EVACUATED_ZONES_H_
#define BILBERRYCOURSE_EVACUATED_ZONES_H_

// The availability zones that operators have evacuated: no request may reach a
// searcher there. Part of control_state; entry instances receive the list.
//
//   evacuation_list list;
//   result_code code = ApplyEvacuation({"zone-b", true, list.version}, &list);
//
// An order states the version of the list on which it was proposed, and every
// accepted order raises the version, also one that changes no zone. So a copy
// of an order that was sent again and arrives late, after other orders were
// acknowledged, is refused instead of undoing them.

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

inline constexpr std::size_t kMaxZoneNameBytes = 128;
inline constexpr std::size_t kMaxEvacuatedZones = 256;

// Evacuates a zone or ends its evacuation.
struct zone_evacuation {
  availability_zone zone;
  bool evacuated = false;
  std::uint64_t base_version = 0;
  bool operator==(const zone_evacuation&) const = default;
};

struct evacuation_list {
  // 0 before the first order.
  std::uint64_t version = 0;
  // Sorted.
  std::vector<availability_zone> zones;
  bool operator==(const evacuation_list&) const = default;
};

// Returns true for 1 to 128 bytes of letters, digits, `-`, `_` and `.`.
bool IsZoneName(std::string_view zone);

// Applies the order. Returns kInvalidField for a zone that is no name or beyond
// the limit, and kVersionConflict if the list has another version than the
// order states; the list is then unchanged.
result_code ApplyEvacuation(const zone_evacuation& order,
                            evacuation_list* list);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_EVACUATED_ZONES_H_
