#include "bilberrycourse/config_check/config_difference.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "bilberrycourse/config_check/config_text.h"

namespace bilberrycourse {
namespace {

constexpr std::array<std::string_view, 4> kEntryNames = {"route", "service",
                                                         "account", "limits"};
constexpr std::array<std::string_view, 3> kChangeNames = {"added", "removed",
                                                          "changed"};

struct field {
  std::string_view name;
  std::string shown;
  // Decides whether the field has changed. It may hold keys and is not shown.
  std::string compared;
};
using entry_fields = std::vector<field>;
using entries = std::map<std::string, entry_fields>;

field MakeField(std::string_view name, std::string text) {
  return {name, text, text};
}

std::string FlagText(bool value) { return value ? "true" : "false"; }

std::string Joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    if (!text.empty()) text += ", ";
    text += item;
  }
  return text;
}

std::string BackendsText(const route& from) {
  std::vector<std::string> items;
  items.reserve(from.backends.size());
  for (const route_backend& backend : from.backends) {
    items.push_back(backend.service + ":" + std::to_string(backend.weight));
  }
  return Joined(items);
}

entry_fields FieldsOf(const route& from) {
  return {MakeField("host", from.host),
          MakeField("path_prefix", from.path_prefix),
          MakeField("idempotent", FlagText(from.idempotent)),
          MakeField("timeout", TextOf(from.timeout)),
          MakeField("latency_objective", TextOf(from.latency_objective)),
          MakeField("priority", std::to_string(from.priority)),
          MakeField("max_attempts", std::to_string(from.max_attempts)),
          MakeField("backends", BackendsText(from)),
          MakeField("shards", Joined(from.shards)),
          MakeField("top_records", std::to_string(from.top_records)),
          MakeField("min_coverage", TextOf(from.min_coverage)),
          MakeField("public", FlagText(from.is_public))};
}

entry_fields FieldsOf(const route_service& from) {
  return {MakeField("health_path", from.health_path),
          MakeField("connection_limit", std::to_string(from.connection_limit))};
}

// The order of the keys has no meaning.
field KeysField(std::vector<std::string> keys) {
  std::ranges::sort(keys);
  std::vector<std::string> shown;
  shown.reserve(keys.size());
  for (const std::string& key : keys) shown.push_back(ShownKey(key));
  return {"keys", Joined(shown), Joined(keys)};
}

entry_fields FieldsOf(const client_account& from) {
  return {KeysField(from.keys),
          MakeField("requests_per_second", TextOf(from.requests_per_second)),
          MakeField("burst", TextOf(from.burst)),
          MakeField("priority", from.priority.has_value()
                                    ? std::to_string(*from.priority)
                                    : "of the route")};
}

entry_fields FieldsOf(const request_limits& from) {
  return {MakeField("max_header_bytes", std::to_string(from.max_header_bytes)),
          MakeField("max_body_bytes", std::to_string(from.max_body_bytes)),
          MakeField("header_timeout", TextOf(from.header_timeout)),
          MakeField("idle_timeout", TextOf(from.idle_timeout))};
}

template <typename Items>
entries EntriesOf(const Items& items) {
  entries out;
  std::map<std::string_view, std::size_t> seen;
  for (const auto& item : items) {
    const std::size_t count = ++seen[item.name];
    const std::string suffix =
        count == 1 ? "" : " (" + std::to_string(count) + ")";
    out[item.name + suffix] = FieldsOf(item);
  }
  return out;
}

entries ServicesOf(const route_config& config) {
  entries out;
  for (const auto& [name, service] : config.services) {
    out[name] = FieldsOf(service);
  }
  return out;
}

std::vector<config_field_change> ChangedFields(const entry_fields& before,
                                               const entry_fields& after) {
  std::vector<config_field_change> changes;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].compared == after[i].compared) continue;
    changes.push_back({before[i].name, before[i].shown, after[i].shown});
  }
  return changes;
}

void Compare(config_entry entry, const entries& before, const entries& after,
             std::vector<config_change>* out) {
  const std::size_t first = out->size();
  for (const auto& [name, fields] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      out->push_back({config_change_kind::kRemoved, entry, name, {}});
      continue;
    }
    auto changes = ChangedFields(fields, found->second);
    if (changes.empty()) continue;
    out->push_back(
        {config_change_kind::kChanged, entry, name, std::move(changes)});
  }
  for (const auto& [name, fields] : after) {
    if (before.contains(name)) continue;
    out->push_back({config_change_kind::kAdded, entry, name, {}});
  }
  std::sort(out->begin() + static_cast<std::ptrdiff_t>(first), out->end(),
            [](const config_change& a, const config_change& b) {
              return a.name < b.name;
            });
}

}  // namespace

std::string_view NameOf(config_entry entry) {
  return kEntryNames.at(static_cast<std::size_t>(entry));
}

std::string_view NameOf(config_change_kind kind) {
  return kChangeNames.at(static_cast<std::size_t>(kind));
}

std::vector<config_change> CompareConfigs(const route_config& before,
                                          const route_config& after) {
  std::vector<config_change> out;
  Compare(config_entry::kRoute, EntriesOf(before.routes),
          EntriesOf(after.routes), &out);
  Compare(config_entry::kService, ServicesOf(before), ServicesOf(after), &out);
  Compare(config_entry::kAccount, EntriesOf(before.accounts),
          EntriesOf(after.accounts), &out);
  Compare(config_entry::kLimits, {{"", FieldsOf(before.limits)}},
          {{"", FieldsOf(after.limits)}}, &out);
  return out;
}

}  // namespace bilberrycourse
