#include "bilberrycourse/evacuated_zones.h"

#include <algorithm>

namespace bilberrycourse {
namespace {

bool IsZoneCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

// Zones whose latest order is known. More are forgotten together.
constexpr std::size_t kMaxKnownZones = 4 * kMaxEvacuatedZones;

}  // namespace

void zone_order_history::OnOrder(const availability_zone& zone,
                                 std::uint64_t version) {
  if (latest_.size() >= kMaxKnownZones && !latest_.contains(zone)) {
    Reset(version - 1);
  }
  latest_[zone] = version;
}

void zone_order_history::Reset(std::uint64_t version) {
  unknown_up_to_ = version;
  latest_.clear();
}

std::uint64_t zone_order_history::LatestOrder(
    const availability_zone& zone) const {
  const auto found = latest_.find(zone);
  return found == latest_.end() ? unknown_up_to_ : found->second;
}

bool MayBeSuperseded(bool evacuated, std::uint64_t known_version,
                     const zone_order_state& state) {
  if (state.evacuated == evacuated) return false;
  // A list that is older than what was known belongs to another group.
  return state.latest_order > known_version || state.version < known_version;
}

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
