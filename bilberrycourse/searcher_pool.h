#ifndef BILBERRYCOURSE_SEARCHER_POOL_H_
#define BILBERRYCOURSE_SEARCHER_POOL_H_

// The searchers that an entry instance may use, by service, with what it has
// seen of each: connections, requests in flight, slowness and failures. The
// choice among the searchers of one service is made here.
//
//   searcher_pool pool(options, self, zone);
//   pool.Update(records, whole, now, &stopped, &unused);
//   searcher_entry* chosen = pool.Choose("catalogue-3", {}, now);
//
// Slowness is the ratio of a searcher's service times to the usual ones of the
// same route, so that routes of different work can be mixed. It fades towards
// 1, because a searcher that is avoided gives no new samples. The age of the
// oldest attempt in flight counts like a sample that is still growing: a
// searcher that stands still shows in no other way. A searcher that fails is
// set aside for a pause that doubles; after it, one request at a time tries it
// again.

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
#include "bilberrycourse/searcher_directory.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Entry instances that are assumed until the control group has told their
// number: after a restart of the whole tier every instance would otherwise take
// a large share of the connections and of the retry budget.
inline constexpr std::uint32_t kAssumedInstances = 64;

struct searcher_pool_options {
  // Weight of a searcher in another availability zone, in multiples of the
  // usual service time: bytes between zones cost money.
  double other_zone_cost = 0.8;
  // Weight of a replica that is not preferred: a connection to it may be one
  // too many, so that it is used only where the preferred ones are in trouble.
  double not_preferred_cost = 2.0;
  // Weight of one more own request in flight.
  double in_flight_cost = 0.5;
  // Weight of a failure rate of 1.
  double failure_cost = 10;
  // Weight of a searcher that has just started.
  double cold_cost = 0.6;
  double smoothing = 0.2;
  // Time in which slowness and failure rate fade by a factor e.
  duration fade = std::chrono::milliseconds(2500);
  duration min_pause = std::chrono::milliseconds(200);
  duration max_pause = std::chrono::seconds(3);
  // Share of a searcher's connections that the tier uses.
  double connection_share = 0.9;
};

struct searcher_entry {
  explicit searcher_entry(searcher_report described)
      : report(std::move(described)), connections(connection_pool_options{}) {}

  searcher_report report;
  // Unique within the process; a restarted searcher gets a new entry.
  std::uint64_t serial = 0;
  connection_pool connections;
  // Attempts that wait for a connection, oldest first.
  std::deque<attempt_id> waiting;
  // Send times of the attempts in flight.
  std::multiset<time_point> in_flight;
  double slowness = 1;
  double failure_rate = 0;
  time_point rated_at{};
  // Usual service time of the latest attempt, as a scale for ages.
  duration usual{0};
  // Set aside until then; failures in a row decide how long.
  time_point suspect_until = time_point::min();
  std::uint32_t failures = 0;
  // It shed a request lately; until then it gets one at a time.
  time_point full_until = time_point::min();
  // The address answered as another searcher; unused until the record changes.
  bool misdirected = false;
  // One of the replicas that this instance uses as a rule; see SetLimit().
  bool preferred = true;
  time_point cold_until = time_point::min();

  std::size_t load() const { return waiting.size() + in_flight.size(); }
  bool usable() const {
    return report.state == searcher_state::kServing && !misdirected;
  }
};

class searcher_pool {
 public:
  // `self` is the name of this instance.
  searcher_pool(searcher_pool_options options, instance_name self,
                availability_zone zone);

  // Applies changes of the directory; with `whole`, searchers that are not
  // among them are gone. Appends the ids of searchers that stopped serving,
  // whose waiting attempts need another searcher, and unused connections to
  // searchers that are gone, which must be closed.
  void Update(const std::vector<searcher_record>& changes, bool whole,
              time_point now, std::vector<std::string>* stopped,
              std::vector<connection_id>* unused);

  // The best searcher of the service that is not in `tried`; nullptr if there
  // is none that is worth a try now.
  searcher_entry* Choose(std::string_view service,
                         const std::vector<std::string>& tried, time_point now);

  searcher_entry* Find(const std::string& id);
  // As above, but nullptr if the searcher has restarted since `serial`.
  searcher_entry* Find(const std::string& id, std::uint64_t serial);
  // All searchers of a service, usable or not.
  const std::vector<searcher_entry*>& OfService(std::string_view service) const;

  void OnSent(searcher_entry* entry, duration usual, time_point now);
  // An attempt sent at `sent_at` was answered after `elapsed`; `usual` is what
  // the route's requests usually take.
  void OnAnswered(searcher_entry* entry, time_point sent_at, duration usual,
                  bool failed, time_point now);
  // The attempt ended without an answer that says anything about speed.
  void OnEnded(searcher_entry* entry, time_point sent_at);
  // A connection could not be opened, broke, or stayed silent.
  void OnUnreachable(searcher_entry* entry, time_point now);
  void OnReachable(searcher_entry* entry);

  // Connections that one searcher of the service accepts from the whole tier.
  // Where that is less than one for each entry instance, every instance
  // prefers some of the replicas, that of its own availability zone first and
  // the others by a hash, so that each replica is preferred by as many as it
  // has room for. The others cost more.
  void SetLimit(const std::string& service, std::uint32_t limit);
  // True if a connection is opened before the first request needs one: where
  // every instance may hold one and uses it often enough.
  bool KeepsWarm(const searcher_entry& entry) const;
  // Connections that this instance may hold to the searcher.
  std::uint32_t ConnectionShare(const searcher_entry& entry) const;
  void SetInstances(std::uint32_t instances);
  // Entry instances that use the searchers of this service, where that is not
  // all of them; 0: all.
  void SetSharingInstances(const std::string& service, std::uint32_t users);
  std::size_t size() const { return entries_.size(); }

 private:
  struct service_row {
    std::vector<searcher_entry*> entries;
    std::uint32_t limit = 1;
    std::uint32_t users = 0;
  };

  // Connections of one searcher for each instance that uses it.
  double Share(const service_row& row) const;

  void Prefer(service_row* row);
  double Score(const searcher_entry& entry, time_point now) const;
  double Faded(double value, double rest, const searcher_entry& entry,
               time_point now) const;
  void Rate(searcher_entry* entry, double slowness, double failed,
            time_point now);
  void Remove(const std::string& id, std::vector<std::string>* stopped,
              std::vector<connection_id>* unused);

  searcher_pool_options options_;
  instance_name self_;
  availability_zone zone_;
  // Until the number is known, no connection may be one too many.
  std::uint32_t instances_ = kAssumedInstances;
  std::unordered_map<std::string, std::unique_ptr<searcher_entry>> entries_;
  std::map<std::string, service_row, std::less<>> services_;
  std::uint64_t next_serial_ = 1;
  // Breaks ties, so that instances with equal views spread their load.
  std::minstd_rand random_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SEARCHER_POOL_H_
