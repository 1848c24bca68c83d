#ifndef BILBERRYCOURSE_CONFIG_CHECK_CONFIG_DIFFERENCE_H_
#define BILBERRYCOURSE_CONFIG_CHECK_CONFIG_DIFFERENCE_H_

// Lists what changes if one configuration replaces another, by the names of
// routes, services and client accounts, so that an operator can read it before
// the configuration is sent.
//
//   for (const config_change& change : CompareConfigs(in_force, proposed)) {
//     std::cout << NameOf(change.kind) << " " << change.name << "\n";
//   }
//
// The load it answers is one pair of configurations at a time, of up to some
// thousand entries each; time and memory grow linearly with them. A key of an
// account is compared as a whole and shown as its first 4 characters.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bilberrycourse/route_config.h"

namespace bilberrycourse {

enum class config_entry : std::uint8_t { kRoute, kService, kAccount, kLimits };
enum class config_change_kind : std::uint8_t { kAdded, kRemoved, kChanged };

struct config_field_change {
  std::string_view field;
  std::string before;
  std::string after;
};

struct config_change {
  config_change_kind kind = config_change_kind::kChanged;
  config_entry entry = config_entry::kRoute;
  // Routes of the same name are numbered from the second on: `look (2)`.
  std::string name;
  // Of a changed entry.
  std::vector<config_field_change> fields;
};

std::string_view NameOf(config_entry entry);
std::string_view NameOf(config_change_kind kind);

// Returns the changes by kind of entry, sorted by name.
std::vector<config_change> CompareConfigs(const route_config& before,
                                          const route_config& after);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONFIG_CHECK_CONFIG_DIFFERENCE_H_
