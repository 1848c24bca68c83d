#include "bilberrycourse/crash_evidence.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bilberrycourse {
namespace {

constexpr std::string_view kVerdictNames[] = {"unknown", "recently_good",
                                              "suspect", "condemned"};

}  // namespace

std::string_view ToString(crash_verdict verdict) {
  return kVerdictNames[static_cast<std::size_t>(verdict)];
}

fingerprint MakeFingerprint(std::string_view target,
                            std::string_view canonical_body) {
  // The hash of the target is the seed for the hash of the body, so that the
  // boundary between the two affects the result.
  const XXH64_hash_t seed = XXH64(target.data(), target.size(), 0);
  return fingerprint{XXH64(canonical_body.data(), canonical_body.size(), seed)};
}

crash_evidence::crash_evidence(const crash_evidence_options& options)
    : options_(options) {}

crash_evidence::~crash_evidence() {
  suspect_order_.clear();
  success_order_.clear();
}

bool crash_evidence::RecordCrash(const crash_report& report, time_point now) {
  bool changed = false;
  for (const fingerprint content : report.contents) {
    changed |= AddCrash(content, report.server, report.incarnation, now, now);
  }
  return changed;
}

void crash_evidence::RecordSuccess(fingerprint content, time_point now) {
  AddSuccess(content, now, now);
}

bool crash_evidence::AddCrash(fingerprint content,
                              const backend_server_key& server,
                              std::uint64_t incarnation, time_point at,
                              time_point now) {
  if (at + options_.expiry <= now) return false;
  auto found = suspects_.find(content);
  if (found == suspects_.end()) {
    if (suspects_.size() >= options_.max_suspects) {
      suspect& oldest = suspect_order_.front();
      suspect_order_.pop_front();
      suspects_.erase(oldest.content);
    }
    found = suspects_.try_emplace(content).first;
    found->second.content = content;
  } else {
    suspect_order_.erase(suspect_order_.iterator_to(found->second));
  }
  suspect& entry = found->second;
  suspect_order_.push_back(entry);
  for (const crash_event& known : entry.crashes) {
    if (known.server == server && known.incarnation == incarnation) {
      return false;
    }
  }
  if (entry.crashes.size() >= options_.max_crashes) {
    entry.crashes.erase(entry.crashes.begin());
  }
  crash_event crash;
  crash.server = server;
  crash.incarnation = incarnation;
  crash.at = at;
  crash.cleared = at <= entry.last_success;
  for (const auto& [service, success_at] : entry.service_successes) {
    if (at > success_at) continue;
    crash.disputed = true;
    crash.cleared = crash.cleared || service == server.shard.service;
  }
  entry.crashes.push_back(std::move(crash));
  AddCrashOfServer(content, server, incarnation, at);
  return true;
}

void crash_evidence::AddCrashOfServer(fingerprint content,
                                      const backend_server_key& server,
                                      std::uint64_t incarnation,
                                      time_point at) {
  if (!servers_.contains(server) && servers_.size() >= options_.max_servers) {
    auto oldest = std::min_element(
        servers_.begin(), servers_.end(), [](const auto& a, const auto& b) {
          return a.second.back().at < b.second.back().at;
        });
    servers_.erase(oldest);
  }
  std::vector<server_crash>& crashes = servers_[server];
  for (server_crash& crash : crashes) {
    if (crash.incarnation == incarnation) {
      if (crash.contents.size() < options_.max_contents_per_crash) {
        crash.contents.push_back(content);
      }
      return;
    }
  }
  if (crashes.size() >= options_.max_crashes) crashes.erase(crashes.begin());
  crashes.push_back({incarnation, at, {content}});
}

void crash_evidence::RememberSuccess(fingerprint content, time_point now) {
  auto success = successes_.find(content);
  if (success == successes_.end()) {
    if (successes_.size() >= options_.max_successful_contents) {
      successful_content& oldest = success_order_.front();
      success_order_.pop_front();
      successes_.erase(oldest.content);
    }
    success = successes_.try_emplace(content).first;
    success->second.content = content;
    success->second.last_success = now;
  } else {
    success_order_.erase(success_order_.iterator_to(success->second));
    success->second.last_success = std::max(success->second.last_success, now);
  }
  success_order_.push_back(success->second);
}

bool crash_evidence::AddSuccess(fingerprint content, time_point at,
                                time_point now) {
  if (at + options_.success_expiry <= now) return false;
  RememberSuccess(content, at);
  auto found = suspects_.find(content);
  if (found == suspects_.end()) return false;
  suspect& entry = found->second;
  if (at <= entry.last_success || IsCondemned(entry, now)) return false;
  entry.last_success = at;
  for (crash_event& crash : entry.crashes) {
    if (crash.at <= at) crash.cleared = true;
  }
  return true;
}

bool crash_evidence::RecordServiceSuccess(fingerprint content,
                                          const std::string& service,
                                          time_point now) {
  return AddServiceSuccess(content, service, now, now);
}

bool crash_evidence::AddServiceSuccess(fingerprint content,
                                       const std::string& service,
                                       time_point at, time_point now) {
  const auto found = suspects_.find(content);
  if (found == suspects_.end() || at + options_.success_expiry <= now) {
    return false;
  }
  suspect& entry = found->second;
  bool news = false;
  bool crashed_service = false;
  for (crash_event& crash : entry.crashes) {
    if (crash.at > at) continue;
    const bool same_service = crash.server.shard.service == service;
    crashed_service = crashed_service || same_service;
    news = news || !crash.disputed || (same_service && !crash.cleared);
    crash.disputed = true;
    crash.cleared = crash.cleared || same_service;
  }
  const auto known = entry.service_successes.find(service);
  if (crashed_service && known != entry.service_successes.end()) {
    news = news || at - known->second >= options_.success_refresh;
  }
  if (news) {
    time_point& latest = entry.service_successes[service];
    latest = std::max(latest, at);
  }
  return news;
}

bool crash_evidence::RecentlySucceeded(fingerprint content,
                                       time_point now) const {
  const auto success = successes_.find(content);
  return success != successes_.end() &&
         success->second.last_success + options_.success_expiry > now;
}

std::size_t crash_evidence::CountIncidents(
    const std::vector<crash_event>& crashes) const {
  std::vector<time_point> times;
  times.reserve(crashes.size());
  for (const crash_event& crash : crashes) times.push_back(crash.at);
  std::sort(times.begin(), times.end());
  std::size_t incidents = 0;
  time_point incident_start{};
  for (const time_point at : times) {
    if (incidents > 0 && at < incident_start + options_.incident_window)
      continue;
    ++incidents;
    incident_start = at;
  }
  return incidents;
}

std::vector<shard_key> crash_evidence::CrashedShards(fingerprint content,
                                                     time_point now) const {
  std::vector<shard_key> shards;
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) return shards;
  for (const crash_event& crash : found->second.crashes) {
    if (!crash.cleared && crash.at + options_.expiry > now) {
      shards.push_back(crash.server.shard);
    }
  }
  return shards;
}

bool crash_evidence::InCrashCooldown(fingerprint content,
                                     time_point now) const {
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) return false;
  return std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                     [&](const crash_event& crash) {
                       return !crash.cleared &&
                              crash.at + options_.incident_window > now;
                     });
}

bool crash_evidence::IsCondemned(const suspect& entry, time_point now) const {
  std::vector<crash_event> undisputed;
  std::map<std::string, std::vector<crash_event>> by_service;
  for (const crash_event& crash : entry.crashes) {
    if (crash.cleared || crash.at + options_.expiry <= now ||
        IsUnreliable(crash.server, now)) {
      continue;
    }
    if (!crash.disputed) undisputed.push_back(crash);
    by_service[crash.server.shard.service].push_back(crash);
  }
  return Condemns(undisputed) ||
         std::any_of(by_service.begin(), by_service.end(),
                     [&](const auto& item) { return Condemns(item.second); });
}

bool crash_evidence::Condemns(const std::vector<crash_event>& crashes) const {
  const std::size_t incidents = CountIncidents(crashes);
  if (incidents < options_.condemn_after_servers) return false;
  std::map<backend_server_key, std::size_t> crashes_of_server;
  for (const crash_event& crash : crashes) ++crashes_of_server[crash.server];
  if (crashes_of_server.size() >= options_.condemn_after_servers) return true;
  const std::size_t limit = options_.condemn_after_crashes_of_one_server;
  return incidents >= limit &&
         std::any_of(
             crashes_of_server.begin(), crashes_of_server.end(),
             [&](const auto& server) { return server.second >= limit; });
}

time_point crash_evidence::CondemnedUntil(fingerprint content) const {
  time_point latest = time_point::min();
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) return latest;
  for (const crash_event& crash : found->second.crashes) {
    latest = std::max(latest, crash.at + options_.expiry);
  }
  return latest;
}

crash_verdict crash_evidence::Verdict(fingerprint content,
                                      time_point now) const {
  if (const auto found = suspects_.find(content); found != suspects_.end()) {
    if (IsCondemned(found->second, now)) return crash_verdict::kCondemned;
    for (const crash_event& crash : found->second.crashes) {
      if (!crash.cleared && crash.at + options_.expiry > now &&
          !IsUnreliable(crash.server, now)) {
        return crash_verdict::kSuspect;
      }
    }
  }
  const auto success = successes_.find(content);
  if (success != successes_.end() &&
      success->second.last_success + options_.success_expiry > now) {
    return crash_verdict::kRecentlyGood;
  }
  return crash_verdict::kUnknown;
}

bool crash_evidence::IsUnreliable(const backend_server_key& server,
                                  time_point now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return false;
  std::size_t crashes = 0;
  std::unordered_map<fingerprint, std::size_t> crashes_by_content;
  std::size_t most_common_count = 0;
  for (const server_crash& crash : found->second) {
    if (crash.at + options_.expiry <= now) continue;
    ++crashes;
    for (const fingerprint content : crash.contents) {
      most_common_count =
          std::max(most_common_count, ++crashes_by_content[content]);
    }
  }
  // Unreliable if no content was in flight in more than half of the crashes.
  return crashes >= options_.unreliable_after_crashes &&
         2 * most_common_count <= crashes;
}

std::vector<crash_evidence_record> crash_evidence::Export(
    time_point now) const {
  std::vector<crash_evidence_record> records;
  for (const suspect& entry : suspect_order_) {
    for (const crash_event& crash : entry.crashes) {
      if (crash.at + options_.expiry <= now) continue;
      records.push_back({entry.content, /*success=*/false, crash.server,
                         crash.incarnation, now - crash.at});
    }
    if (entry.last_success != time_point::min() &&
        entry.last_success + options_.success_expiry > now) {
      records.push_back(
          {entry.content, /*success=*/true, {}, 0, now - entry.last_success});
    }
    for (const auto& [service, at] : entry.service_successes) {
      if (at + options_.success_expiry <= now) continue;
      records.push_back(
          {entry.content, /*success=*/true, {{service, 0}, {}}, 0, now - at});
    }
  }
  return records;
}

bool crash_evidence::Merge(std::span<const crash_evidence_record> records,
                           time_point now) {
  bool changed = false;
  for (const crash_evidence_record& record : records) {
    // A negative age is invalid input and is treated as zero.
    const time_point at = now - std::max(record.age, duration{0});
    const std::string& service = record.server.shard.service;
    if (!record.success) {
      changed |=
          AddCrash(record.content, record.server, record.incarnation, at, now);
    } else if (service.empty()) {
      changed |= AddSuccess(record.content, at, now);
    } else {
      changed |= AddServiceSuccess(record.content, service, at, now);
    }
  }
  return changed;
}

void crash_evidence::Tick(time_point now) {
  // The lists are in the order of the latest event, so expired entries are at
  // the front.
  while (!suspect_order_.empty()) {
    suspect& oldest = suspect_order_.front();
    if (std::any_of(oldest.crashes.begin(), oldest.crashes.end(),
                    [&](const crash_event& crash) {
                      return crash.at + options_.expiry > now;
                    })) {
      break;
    }
    suspect_order_.pop_front();
    suspects_.erase(oldest.content);
  }
  while (!success_order_.empty() &&
         success_order_.front().last_success + options_.success_expiry <= now) {
    successful_content& oldest = success_order_.front();
    success_order_.pop_front();
    successes_.erase(oldest.content);
  }
  std::erase_if(servers_, [&](const auto& server) {
    return server.second.back().at + options_.expiry <= now;
  });
}

}  // namespace bilberrycourse
