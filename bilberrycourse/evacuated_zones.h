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
//
// The proposer chooses the version, so it must not choose one that is newer
// than what its caller may have known: the caller of an order that waited in a
// socket may have given later orders at other instances. MayBeSuperseded()
// decides that.

#include <cstddef>
#include <cstdint>
#include <map>
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

// The version that the list had after the latest order about each zone. Not
// part of the replicated state: it begins anew with each snapshot.
//
//   zone_order_history history;
//   history.Reset(list.version);                  // after a snapshot
//   history.OnOrder(order.zone, list.version);    // after each accepted order
class zone_order_history {
 public:
  void OnOrder(const availability_zone& zone, std::uint64_t version);
  // The orders up to this version are not known.
  void Reset(std::uint64_t version);
  // Returns the version after the latest order about the zone, or, where that
  // order is not known, a later one.
  std::uint64_t LatestOrder(const availability_zone& zone) const;

 private:
  std::uint64_t unknown_up_to_ = 0;
  std::map<availability_zone, std::uint64_t> latest_;
};

// One zone in the list of one member.
struct zone_order_state {
  std::uint64_t version = 0;
  std::uint64_t latest_order = 0;
  bool evacuated = false;
  bool operator==(const zone_order_state&) const = default;
};

// Returns true if a later order of the same caller may have been accepted.
// `known_version` is a version that the list had reached before the caller sent
// the order. An order for what holds already changes nothing, whenever it was
// sent.
bool MayBeSuperseded(bool evacuated, std::uint64_t known_version,
                     const zone_order_state& state);

// Returns true for 1 to 128 bytes of letters, digits, `-`, `_` and `.`.
bool IsZoneName(std::string_view zone);

// Applies the order. Returns kInvalidField for a zone that is no name or beyond
// the limit, and kVersionConflict if the list has another version than the
// order states; the list is then unchanged.
result_code ApplyEvacuation(const zone_evacuation& order,
                            evacuation_list* list);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_EVACUATED_ZONES_H_
