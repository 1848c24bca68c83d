#include "bilberrycourse/instance_record.h"

#include <array>
#include <utility>

namespace bilberrycourse {
namespace {

constexpr std::array<std::pair<instance_role, std::string_view>, 3> kRoleNames{
    {{instance_role::kEntry, "entry"},
     {instance_role::kControl, "control"},
     {instance_role::kSpare, "spare"}}};

constexpr std::array<std::string_view, 4> kStatusNames{"alive", "suspect",
                                                       "dead", "leaving"};

}  // namespace

std::string ToString(instance_roles roles) {
  std::string names;
  for (const auto& [role, name] : kRoleNames) {
    if (!roles.Has(role)) continue;
    if (!names.empty()) names += ',';
    names += name;
  }
  return names;
}

std::string_view Name(instance_status status) {
  const auto index = static_cast<std::size_t>(status);
  return index < kStatusNames.size() ? kStatusNames[index] : "unknown";
}

}  // namespace bilberrycourse
