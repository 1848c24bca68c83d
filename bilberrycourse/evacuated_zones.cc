#include "bilberrycourse/evacuated_zones.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

bool IsZoneCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

}  // namespace

bool IsZoneName(std::string_view zone) {
  return !zone.empty() && zone.size() <= kMaxZoneNameBytes &&
         std::ranges::all_of(zone, IsZoneCharacter);
}

result_code ApplyEvacuation(const zone_evacuation& order,
                            evacuation_list* list) {
  if (!IsZoneName(order.zone)) return result_code::kInvalidField;
  if (order.base_version != list->version) return result_code::kVersionConflict;
  auto& zones = list->zones;
  const auto at = std::ranges::lower_bound(zones, order.zone);
  const bool listed = at != zones.end() && *at == order.zone;
  if (order.evacuated && !listed) {
    if (zones.size() >= kMaxEvacuatedZones) return result_code::kInvalidField;
    zones.insert(at, order.zone);
  }
  if (!order.evacuated && listed) zones.erase(at);
  ++list->version;
  return result_code::kOk;
}

}  // namespace bilberrycourse
