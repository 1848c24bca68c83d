#include <boost/json.hpp>
#include <memory>
#include <string>
#include <utility>

#include "app/json_log.h"
#include "app/message_ids.h"
#include "app/route_gateway.h"

// Updates that route_gateway receives from the control group: routes, searchers
// and evacuated zones.

namespace bilberrycourse {
namespace {

// Zones listed in one log line; their number is always logged. A line must stay
// below 4 KB, the size up to which writes to a pipe are atomic.
constexpr std::size_t kMaxZonesListed = 12;
// Changes of searchers that get a log line each.
constexpr std::size_t kMaxSearchersListed = 20;

}  // namespace

void route_gateway::OnRouteUpdate(const route_update& update, time_point now) {
  route_effects effects;
  // Comes first, so that new routes and searchers open no connections there.
  ApplyEvacuations(update.evacuations, now, &effects);
  if (update.routes.version > 0) {
    std::string problem;
    auto config = protocol_->ReadRoutes(update.routes.document, &problem);
    if (config.has_value()) {
      LogEvent(log_level::kInfo, "routes_in_force",
               {{"version", config->version},
                {"routes", config->routes.size()},
                {"services", config->services.size()}});
      table_ = std::make_shared<const route_table>(
          std::make_shared<const route_config>(*std::move(config)),
          FirstMessageId());
      route_version_ = update.routes.version;
      engine_.SetRoutes(table_, now, &effects);
      UpdateRelays(now);
      UpdateFallbackRelays(now);
    } else {
      LogEvent(log_level::kError, "routes_unreadable",
               {{"version", update.routes.version}, {"problem", problem}});
    }
  }
  const bool full_list = update.base_revision == 0;
  LogSearchers(update, full_list);
  engine_.UpdateSearchers(update.searchers, full_list, now, &effects);
  if (full_list || !update.searchers.empty()) searchers_changed_ = true;
  // Relays in an evacuated zone's place are needed at once.
  if (update.evacuations.version > 0) UpdateRelays(now);
  Execute(&effects);
}

void route_gateway::ApplyEvacuations(const evacuation_list& list,
                                     time_point now, route_effects* effects) {
  if (list.version == 0) return;
  boost::json::array zones;
  for (const availability_zone& zone : list.zones) {
    if (zones.size() == kMaxZonesListed) break;
    zones.emplace_back(zone);
  }
  LogEvent(log_level::kInfo, "evacuations_in_force",
           {{"version", list.version},
            {"count", list.zones.size()},
            {"zones", std::move(zones)}});
  engine_.SetEvacuatedZones({list.zones.begin(), list.zones.end()}, now,
                            effects);
}

// Logs one line for each changed searcher, but a single line for a full list or
// a long one: the control instances have already logged its searchers, and CPU
// time is scarce when all instances restart at once.
void route_gateway::LogSearchers(const route_update& update, bool full_list) {
  if (full_list || update.searchers.size() > kMaxSearchersListed) {
    if (update.searchers.empty()) return;
    LogEvent(log_level::kInfo, "searchers_loaded",
             {{"searchers", update.searchers.size()},
              {"full_list", full_list},
              {"revision", update.revision}});
    return;
  }
  for (const searcher_record& searcher : update.searchers) {
    LogDecision("searcher_changed",
                {{"searcher", searcher.report.id},
                 {"service", searcher.report.service},
                 {"address", searcher.report.address},
                 {"state", ToString(searcher.report.state)},
                 {"started_at_ms", searcher.report.started_at_ms},
                 {"revision", searcher.revision}});
  }
}

}  // namespace bilberrycourse
