#ifndef BILBERRYCOURSE_SEARCHER_POOL_H_
#define BILBERRYCOURSE_SEARCHER_POOL_H_

// The searchers that an entry instance may use, by service, with the observed
// state of each: connections, requests in flight, slowdown and failures.
// Selects the searcher of a service for each attempt.
//
//   searcher_pool pool(options, self, zone);
//   pool.Update(records, complete_list, now, &stopped, &unused);
//   searcher_entry* chosen = pool.Choose("catalogue-3", {}, now);
//
// Slowdown is the ratio of a searcher's service times to the expected ones of
// the route, so that samples of routes with different work can be combined. It
// decays towards 1, because a searcher that is avoided gives no new samples.
// The age of the oldest attempt in flight counts as a sample, because nothing
// else shows that a searcher is paused. An unreachable searcher is quarantined
// with exponential backoff; after the quarantine it gets one request at a time
// until one is answered.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/connection_pool.h"
#include "bilberrycourse/placement/placement_decision.h"
#include "bilberrycourse/request_quota.h"
#include "bilberrycourse/searcher_directory.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

class placement_strategy;

// Number of entry instances assumed until the control group has sent it. It is
// high, because after a restart of the whole tier every instance would
// otherwise take a large share of the connections and of the retry budget.
inline constexpr std::uint32_t kAssumedInstances = 64;

// Costs raise the score of a searcher; they are in multiples of the expected
// service time.
struct searcher_pool_options {
  // Cost of another availability zone, because traffic between zones is billed.
  double other_zone_cost = 0.8;
  // Cost of a replica that is not preferred. A connection to it may exceed the
  // searcher's limit, so it is used only if the preferred ones are slow or
  // fail.
  double not_preferred_cost = 2.0;
  // Relative increase of the score for each own request waiting or in flight.
  double in_flight_cost = 0.5;
  // Cost of a failure rate of 1.
  double failure_cost = 10;
  // Cost of a searcher during its warm-up.
  double cold_cost = 0.6;
  // Cost of a searcher that limits its requests, because a permission must be
  // fetched, for this long after it stated the limit. Later it costs nothing,
  // because only a reply shows whether the limit still holds.
  double limited_cost = 0.5;
  duration limited_cost_time = std::chrono::seconds(1);
  // Weight of a new sample of slowdown or failure rate.
  double smoothing = 0.2;
  // Time in which slowdown and failure rate decay by a factor of e.
  duration decay_time = std::chrono::milliseconds(2500);
  duration min_quarantine = std::chrono::milliseconds(200);
  duration max_quarantine = std::chrono::seconds(3);
  // Share of a searcher's connection limit that the tier uses.
  double connection_share = 0.9;
  // Chooses the searcher of first attempts; nullptr is `best`. Extra attempts
  // always use `best`, because they must be faster than the first.
  const placement_strategy* strategy = nullptr;
  // Makes choices repeatable in tests.
  std::optional<std::uint32_t> random_seed = std::nullopt;
};

struct searcher_entry {
  explicit searcher_entry(searcher_report described)
      : report(std::move(described)), connections(connection_pool_options{}) {}

  searcher_report report;
  // Unique within the process; a restarted searcher gets a new entry.
  std::uint64_t serial = 0;
  connection_pool connections;
  // Attempts waiting for a connection, oldest first.
  std::deque<attempt_id> waiting;
  // Send times of the attempts in flight.
  std::multiset<time_point> in_flight;
  double slowdown = 1;
  double failure_rate = 0;
  time_point sampled_at{};
  // Expected service time of the latest attempt; ages of attempts in flight are
  // divided by it.
  duration expected{0};
  // End of the quarantine; `failures`, which are consecutive, determine its
  // length.
  time_point quarantined_until = time_point::min();
  std::uint32_t failures = 0;
  // Until this time each instance sends it one request at a time, because it
  // shed a request.
  time_point throttled_until = time_point::min();
  // Until this time this instance sends it nothing, as it has asked for.
  time_point rest_until = time_point::min();
  // True if another searcher answered at the address. The searcher is not used
  // until its record changes.
  bool misdirected = false;
  // True if the searcher has said in a reply that it is about to stop. Its
  // record may say so later, or never if the control group can't be reached.
  bool leaving = false;
  // True if this instance normally uses this replica; see SetConnectionLimit().
  bool preferred = true;
  // True while its availability zone is evacuated.
  bool evacuated = false;
  time_point cold_until = time_point::min();
  request_quota quota;

  bool resting(time_point now) const { return now < rest_until; }
  std::size_t load() const { return waiting.size() + in_flight.size(); }
  bool usable() const { return serves() && !evacuated; }
  // Usable, unless its zone is evacuated.
  bool serves() const {
    return report.state == searcher_state::kServing && !misdirected && !leaving;
  }
};

class searcher_pool {
 public:
  // `self` is the name of this instance.
  searcher_pool(searcher_pool_options options, instance_name self,
                availability_zone zone);

  // Applies changes of the directory; with `complete_list`, all other searchers
  // are removed. Appends the ids of searchers that stopped serving, whose
  // waiting attempts must move, and the unused connections to removed
  // searchers, which the caller must close.
  void Update(const std::vector<searcher_record>& changes, bool complete_list,
              time_point now, std::vector<std::string>* stopped,
              std::vector<connection_id>* unused);

  // Sets the evacuated zones, whose searchers are not usable. Appends the ids
  // of those that this excludes, whose waiting attempts must move, and of those
  // that may be used again.
  void SetEvacuatedZones(std::set<availability_zone> zones,
                         std::vector<std::string>* stopped,
                         std::vector<std::string>* resumed);
  std::size_t evacuated_zone_count() const { return evacuated_zones_.size(); }
  // Returns true if the service has no usable searcher, but would have one
  // without the evacuations.
  bool Evacuated(std::string_view service) const;

  // Returns the searcher of the service with the lowest score that is not in
  // `tried`, does not rest and whose request limit does not exclude requests of
  // this priority now, or nullptr if there is none.
  searcher_entry* Choose(std::string_view service,
                         const std::vector<std::string>& tried, time_point now,
                         std::uint32_t priority = 0);
  // Describes the latest result of Choose(), for logs and metrics.
  const placement_decision& latest_decision() const { return decision_; }
  // Returns the time until a request limit that excludes this priority admits
  // it again at some searcher of the service; 0 if no limit excludes it.
  duration DeniedFor(std::string_view service, std::uint32_t priority,
                     time_point now) const;

  // Returns the time until the first resting searcher of the service may be
  // used again; 0 if none rests.
  duration RestingFor(std::string_view service, time_point now) const;

  searcher_entry* Find(const std::string& id);
  // As above, but returns nullptr if the entry does not have this serial,
  // because the searcher has restarted.
  searcher_entry* Find(const std::string& id, std::uint64_t serial);
  // Returns all searchers of a service, usable or not.
  const std::vector<searcher_entry*>& OfService(std::string_view service) const;

  // Returns true if the service has usable searchers, but this instance reaches
  // none of them.
  bool Unreachable(std::string_view service) const;
  // Returns up to `count` usable searchers, drawn at random.
  std::vector<searcher_entry*> Sample(std::size_t count);

  void OnSent(searcher_entry* entry, duration expected, time_point now);
  // Called when an attempt sent at `sent_at` was answered or its connection
  // broke; `expected` is the expected service time of the route.
  void OnAnswered(searcher_entry* entry, time_point sent_at, duration expected,
                  bool failed, time_point now);
  // Called when an attempt ended without a sample of the service time.
  void OnEnded(searcher_entry* entry, time_point sent_at);
  // Called when no connection could be opened, or when an attempt timed out.
  void OnUnreachable(searcher_entry* entry, time_point now);
  void OnReachable(searcher_entry* entry);

  // Sets the number of connections that one searcher of the service accepts
  // from the whole tier. If that is less than one for each entry instance,
  // every instance prefers some of the replicas, first those of its own
  // availability zone and then others by a hash, so that each replica is
  // preferred by about as many instances as its limit allows. The others cost
  // more.
  void SetConnectionLimit(const std::string& service, std::uint32_t limit);
  // Returns true if a connection should be opened before the first request: if
  // every instance may hold one and uses it often enough. Never true before
  // SetInstances(): after a restart of hundreds of instances, each would open
  // connections to all searchers, far over their limits.
  bool ShouldPreconnect(const searcher_entry& entry) const;
  // Returns the number of connections that this instance may hold to the
  // searcher.
  std::uint32_t ConnectionShare(const searcher_entry& entry) const;
  void SetInstances(std::uint32_t instances);
  // Sets the number of entry instances that use the searchers of this service;
  // 0 stands for all.
  void SetSharingInstances(const std::string& service,
                           std::uint32_t sharing_instances);
  std::size_t size() const { return entries_.size(); }

 private:
  struct service_state {
    std::vector<searcher_entry*> entries;
    std::uint32_t limit = 1;
    std::uint32_t sharing_instances = 0;
  };

  // Returns the connections to one searcher per instance that uses it; may be
  // less than 1.
  double ConnectionsPerInstance(const service_state& service) const;

  void UpdatePreferred(service_state* service);
  double Score(const searcher_entry& entry, time_point now) const;
  const placement_strategy& strategy() const;
  static double Decayed(double value, double baseline, duration decay_time,
                        const searcher_entry& entry, time_point now);
  double SlowdownNow(const searcher_entry& entry, time_point now) const;
  double FailureRateNow(const searcher_entry& entry, time_point now) const;
  void RecordSample(searcher_entry* entry, double slowdown, double failed,
                    time_point now);
  void Remove(const std::string& id, std::vector<std::string>* stopped,
              std::vector<connection_id>* unused);

  searcher_pool_options options_;
  instance_name self_;
  availability_zone zone_;
  // The assumed number keeps connections within their limits until the number
  // is known.
  std::uint32_t instances_ = kAssumedInstances;
  bool instances_known_ = false;
  std::set<availability_zone> evacuated_zones_;
  std::unordered_map<std::string, std::unique_ptr<searcher_entry>> entries_;
  std::map<std::string, service_state, std::less<>> services_;
  std::uint64_t next_serial_ = 1;
  // Breaks ties, so that instances with equal scores spread their load.
  std::minstd_rand random_;
  placement_decision decision_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SEARCHER_POOL_H_
