#include "bilberrycourse/searcher_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "bilberrycourse/placement/placement_strategy.h"

namespace bilberrycourse {
namespace {

// The age of an attempt in flight counts as a sample of slowdown above this
// multiple of the expected service time.
constexpr double kMinAgeRatio = 2.0;
// Limit of the tier's requests at one searcher, per slot. More would wait there
// while another replica may become free.
constexpr std::uint32_t kMaxRequestsPerSlot = 2;
// Limits the shift that doubles the quarantine with each failure.
constexpr std::uint32_t kMaxQuarantineDoublings = 6;

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace

searcher_pool::searcher_pool(searcher_pool_options options, instance_name self,
                             availability_zone zone)
    : options_(options), self_(std::move(self)), zone_(std::move(zone)) {
  random_.seed(options_.random_seed.has_value() ? *options_.random_seed
                                                : std::random_device()());
}

searcher_entry* searcher_pool::Find(const std::string& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second.get();
}

searcher_entry* searcher_pool::Find(const std::string& id,
                                    std::uint64_t serial) {
  searcher_entry* entry = Find(id);
  return entry != nullptr && entry->serial == serial ? entry : nullptr;
}

const std::vector<searcher_entry*>& searcher_pool::OfService(
    std::string_view service) const {
  static const std::vector<searcher_entry*> kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second.entries;
}

void searcher_pool::Update(const std::vector<searcher_record>& changes,
                           bool complete_list, time_point now,
                           std::vector<std::string>* stopped,
                           std::vector<connection_id>* unused) {
  std::set<std::string> listed_ids;
  for (const searcher_record& change : changes) {
    const searcher_report& report = change.report;
    listed_ids.insert(report.id);
    searcher_entry* known = Find(report.id);
    const bool restarted =
        known != nullptr &&
        (known->report.started_at_ms != report.started_at_ms ||
         known->report.address != report.address ||
         known->report.service != report.service);
    if (restarted || report.state == searcher_state::kGone) {
      Remove(report.id, stopped, unused);
      known = nullptr;
    }
    if (report.state == searcher_state::kGone) continue;
    if (known == nullptr) {
      auto entry = std::make_unique<searcher_entry>(report);
      known = entry.get();
      known->serial = next_serial_++;
      known->evacuated = evacuated_zones_.contains(report.zone);
      known->cold_until = now + std::chrono::milliseconds(report.warmup_ms);
      service_state& service = services_[report.service];
      service.entries.push_back(known);
      entries_[report.id] = std::move(entry);
      UpdatePreferred(&service);
      continue;
    }
    const bool evacuated = evacuated_zones_.contains(report.zone);
    if (known->report.state == searcher_state::kServing &&
        (report.state != searcher_state::kServing ||
         (evacuated && !known->evacuated))) {
      stopped->push_back(report.id);
    }
    known->report = report;
    known->evacuated = evacuated;
    UpdatePreferred(&services_[report.service]);
  }
  if (!complete_list) return;
  std::vector<std::string> unlisted_ids;
  for (const auto& [id, entry] : entries_) {
    if (!listed_ids.contains(id)) unlisted_ids.push_back(id);
  }
  for (const std::string& id : unlisted_ids) Remove(id, stopped, unused);
}

void searcher_pool::SetEvacuatedZones(std::set<availability_zone> zones,
                                      std::vector<std::string>* stopped,
                                      std::vector<std::string>* resumed) {
  evacuated_zones_ = std::move(zones);
  for (auto& [name, service] : services_) {
    for (searcher_entry* entry : service.entries) {
      const bool evacuated = evacuated_zones_.contains(entry->report.zone);
      if (entry->evacuated == evacuated) continue;
      entry->evacuated = evacuated;
      (evacuated ? stopped : resumed)->push_back(entry->report.id);
    }
    UpdatePreferred(&service);
  }
}

bool searcher_pool::Evacuated(std::string_view service) const {
  bool any = false;
  for (const searcher_entry* entry : OfService(service)) {
    if (entry->usable()) return false;
    any = any || entry->serves();
  }
  return any;
}

// Busy connections stay open, because their attempts may still be answered.
void searcher_pool::Remove(const std::string& id,
                           std::vector<std::string>* stopped,
                           std::vector<connection_id>* unused) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  searcher_entry* entry = found->second.get();
  service_state& service = services_[entry->report.service];
  std::erase(service.entries, entry);
  UpdatePreferred(&service);
  entry->connections.RemoveUnused(unused);
  stopped->push_back(id);
  entries_.erase(found);
}

double searcher_pool::Decayed(double value, double baseline,
                              duration decay_time, const searcher_entry& entry,
                              time_point now) {
  const double age = static_cast<double>((now - entry.sampled_at).count()) /
                     static_cast<double>(decay_time.count());
  return baseline + (value - baseline) * std::exp(-std::max(age, 0.0));
}

double searcher_pool::SlowdownNow(const searcher_entry& entry,
                                  time_point now) const {
  return Decayed(entry.slowdown, 1.0,
                 strategy().SlowdownDecayTime(options_.decay_time), entry, now);
}

double searcher_pool::FailureRateNow(const searcher_entry& entry,
                                     time_point now) const {
  return Decayed(entry.failure_rate, 0.0, options_.decay_time, entry, now);
}

double searcher_pool::Score(const searcher_entry& entry, time_point now) const {
  double score = SlowdownNow(entry, now);
  if (!entry.in_flight.empty() && entry.expected > duration{0}) {
    const double age =
        static_cast<double>((now - *entry.in_flight.begin()).count()) /
        static_cast<double>(entry.expected.count());
    if (age > kMinAgeRatio) score = std::max(score, age);
  }
  if (now < entry.cold_until) score += options_.cold_cost;
  if (entry.quota.limited() &&
      now - entry.quota.stated_at() < options_.limited_cost_time) {
    score += options_.limited_cost;
  }
  score *= 1 + options_.in_flight_cost * static_cast<double>(entry.load());
  score += options_.failure_cost * FailureRateNow(entry, now);
  if (entry.report.zone != zone_) score += options_.other_zone_cost;
  if (!entry.preferred) score += options_.not_preferred_cost;
  return score;
}

const placement_strategy& searcher_pool::strategy() const {
  return options_.strategy != nullptr ? *options_.strategy
                                      : StrategyFor(load_balancing::kBest);
}

searcher_entry* searcher_pool::Choose(std::string_view service,
                                      const std::vector<std::string>& tried,
                                      time_point now, std::uint32_t priority) {
  std::vector<searcher_entry*> entries;
  std::vector<placement_candidate> candidates;
  searcher_entry* trial = nullptr;
  for (searcher_entry* entry : OfService(service)) {
    if (!entry->usable() || Contains(tried, entry->report.id)) continue;
    if (entry->resting(now) || entry->quota.Denied(priority, now)) continue;
    if (entry->failures > 0) {
      // A searcher that failed gets one request at a time.
      if (now >= entry->quarantined_until && entry->load() == 0) trial = entry;
      continue;
    }
    entries.push_back(entry);
    candidates.push_back({Score(*entry, now)});
  }
  if (entries.empty()) {
    decision_ = {true, trial != nullptr && trial->report.zone != zone_};
    return trial;
  }
  const placement_strategy& chooser =
      tried.empty() ? strategy() : StrategyFor(load_balancing::kBest);
  const std::size_t chosen = chooser.Choose(candidates, &random_);
  const double score = candidates[chosen].score;
  decision_ = {std::none_of(candidates.begin(), candidates.end(),
                            [&](const auto& candidate) {
                              return candidate.score < score;
                            }),
               entries[chosen]->report.zone != zone_};
  return entries[chosen];
}

duration searcher_pool::DeniedFor(std::string_view service,
                                  std::uint32_t priority,
                                  time_point now) const {
  duration shortest{0};
  for (const searcher_entry* entry : OfService(service)) {
    if (!entry->usable()) continue;
    const duration denied = entry->quota.DeniedFor(priority, now);
    if (denied == duration{0}) continue;
    if (shortest == duration{0} || denied < shortest) shortest = denied;
  }
  return shortest;
}

duration searcher_pool::RestingFor(std::string_view service,
                                   time_point now) const {
  duration shortest{0};
  for (const searcher_entry* entry : OfService(service)) {
    if (!entry->usable() || !entry->resting(now)) continue;
    const duration left = entry->rest_until - now;
    if (shortest == duration{0} || left < shortest) shortest = left;
  }
  return shortest;
}

bool searcher_pool::Unreachable(std::string_view service) const {
  bool any = false;
  for (const searcher_entry* entry : OfService(service)) {
    if (!entry->usable()) continue;
    any = true;
    if (entry->failures == 0 || entry->connections.open_count() > 0) {
      return false;
    }
  }
  return any;
}

std::vector<searcher_entry*> searcher_pool::Sample(std::size_t count) {
  std::vector<searcher_entry*> usable;
  for (const auto& [id, entry] : entries_) {
    if (entry->usable()) usable.push_back(entry.get());
  }
  std::shuffle(usable.begin(), usable.end(), random_);
  if (usable.size() > count) usable.resize(count);
  return usable;
}

void searcher_pool::OnSent(searcher_entry* entry, duration expected,
                           time_point now) {
  entry->in_flight.insert(now);
  entry->expected = expected;
}

void searcher_pool::RecordSample(searcher_entry* entry, double slowdown,
                                 double failed, time_point now) {
  const double weight = options_.smoothing;
  entry->slowdown =
      strategy().Smoothed(SlowdownNow(*entry, now), slowdown, weight);
  entry->failure_rate =
      (1 - weight) * FailureRateNow(*entry, now) + weight * failed;
  entry->sampled_at = now;
}

void searcher_pool::OnAnswered(searcher_entry* entry, time_point sent_at,
                               duration expected, bool failed, time_point now) {
  OnEnded(entry, sent_at);
  OnReachable(entry);
  double ratio = 1;
  if (!failed && expected > duration{0}) {
    ratio = static_cast<double>((now - sent_at).count()) /
            static_cast<double>(expected.count());
  }
  RecordSample(entry, ratio, failed ? 1.0 : 0.0, now);
}

void searcher_pool::OnEnded(searcher_entry* entry, time_point sent_at) {
  const auto found = entry->in_flight.find(sent_at);
  if (found != entry->in_flight.end()) entry->in_flight.erase(found);
}

void searcher_pool::OnUnreachable(searcher_entry* entry, time_point now) {
  const std::uint32_t doublings =
      std::min(entry->failures, kMaxQuarantineDoublings);
  ++entry->failures;
  entry->quarantined_until =
      now + std::min(options_.max_quarantine,
                     options_.min_quarantine * (1 << doublings));
}

void searcher_pool::OnReachable(searcher_entry* entry) {
  entry->failures = 0;
  entry->quarantined_until = time_point::min();
}

double searcher_pool::ConnectionsPerInstance(
    const service_state& service) const {
  const std::uint32_t sharing_instances =
      service.sharing_instances > 0 ? service.sharing_instances : instances_;
  return options_.connection_share * static_cast<double>(service.limit) /
         std::max<std::uint32_t>(sharing_instances, 1);
}

std::uint32_t searcher_pool::ConnectionShare(
    const searcher_entry& entry) const {
  const auto found = services_.find(entry.report.service);
  if (found == services_.end()) return 1;
  const std::uint32_t sharing_instances = found->second.sharing_instances > 0
                                              ? found->second.sharing_instances
                                              : instances_;
  const std::uint32_t slots = kMaxRequestsPerSlot * entry.report.slots;
  const std::uint32_t in_flight =
      (slots + sharing_instances - 1) / sharing_instances + 1;
  return std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(ConnectionsPerInstance(found->second)), 1,
      in_flight);
}

bool searcher_pool::ShouldPreconnect(const searcher_entry& entry) const {
  const auto found = services_.find(entry.report.service);
  return instances_known_ && found != services_.end() &&
         found->second.sharing_instances == 0 &&
         ConnectionsPerInstance(found->second) >= 1;
}

void searcher_pool::SetSharingInstances(const std::string& service,
                                        std::uint32_t sharing_instances) {
  service_state& state = services_[service];
  if (state.sharing_instances == sharing_instances) return;
  state.sharing_instances = sharing_instances;
  UpdatePreferred(&state);
}

void searcher_pool::SetInstances(std::uint32_t instances) {
  instances_ = instances;
  instances_known_ = true;
  for (auto& [name, service] : services_) UpdatePreferred(&service);
}

void searcher_pool::SetConnectionLimit(const std::string& service,
                                       std::uint32_t limit) {
  service_state& state = services_[service];
  state.limit = limit;
  UpdatePreferred(&state);
}

void searcher_pool::UpdatePreferred(service_state* service) {
  const double share = ConnectionsPerInstance(*service);
  std::vector<std::pair<std::uint64_t, searcher_entry*>> ranked;
  for (searcher_entry* entry : service->entries) {
    entry->preferred = share >= 1;
    if (!entry->usable()) continue;
    const std::string key = self_ + " " + entry->report.id;
    const bool own_zone = entry->report.zone == zone_;
    ranked.emplace_back(own_zone ? 0 : XXH3_64bits(key.data(), key.size()) | 1,
                        entry);
  }
  if (share >= 1 || ranked.empty()) return;
  std::sort(ranked.begin(), ranked.end());
  const double count = share * static_cast<double>(ranked.size());
  const std::size_t preferred =
      std::max<std::size_t>(1, static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < std::min(preferred, ranked.size()); ++i) {
    ranked[i].second->preferred = true;
  }
}

}  // namespace bilberrycourse
