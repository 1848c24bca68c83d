#ifndef BILBERRYCOURSE_CRASH_EVIDENCE_H_
#define BILBERRYCOURSE_CRASH_EVIDENCE_H_

// Determines which request contents crash searchers (design 3.6).
//
//   crash_evidence evidence(options);
//   evidence.RecordCrash({server, incarnation, contents}, now);
//   evidence.RecordSuccess(content, now);  // after a complete answer
//   switch (evidence.Verdict(content, now)) { ... }
//   gossip = evidence.Export(now);         // and Merge() on other instances
//
// Crashes within one incident window count as one: when an availability zone
// fails, many searchers crash while they run the same harmless content. During
// the window the content is not started again (cooldown); otherwise requests
// that are repeated quickly could crash one searcher after another and still
// count as one incident.
//
// A crash counts once for each (content, searcher, incarnation), regardless of
// the instance that reported it, so merging is idempotent. A content is
// condemned after crashes of two searchers, or three crashes of one, without a
// success in between; the second rule limits how often a content can crash a
// shard that has only one replica left. If a searcher crashes with contents
// that have nothing in common, the crashes count against the searcher and not
// against the contents.
//
// A success that only one service reports (the routed interface, on which many
// harmless requests can share one content) clears the crashes of this service.
// It also shows that the content does not crash every searcher, so crashes of
// different services count together only if there was no such success since. It
// also ends a verdict, because it may arrive late: content that crashes a
// service does not succeed there.
//
// Memory is bounded by the options; the entry whose latest event is oldest is
// evicted first.

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class crash_verdict : std::uint8_t {
  // No recent event: run on a canary shard first.
  kUnknown,
  // Succeeded recently: send to all shards at once.
  kRecentlyGood,
  // One crash: run on a canary shard only.
  kSuspect,
  // Condemned: refuse with the outcome not_run.
  kCondemned,
};

std::string_view ToString(crash_verdict verdict);

// Contents that were in flight on a searcher when a connection to it broke.
struct crash_report {
  backend_server_key server;
  std::uint64_t incarnation = 0;
  std::vector<fingerprint> contents;
};

// One crash or success in the form in which instances exchange it.
struct crash_evidence_record {
  fingerprint content{};
  // True for a success after a crash. `server` is then empty, or names the
  // service that answered.
  bool success = false;
  backend_server_key server;
  std::uint64_t incarnation = 0;
  // Time since the event, so that clocks of instances need not agree.
  duration age{0};

  bool operator==(const crash_evidence_record&) const = default;
};

struct crash_evidence_options {
  // Lifetime of a crash and of a verdict.
  duration expiry = std::chrono::minutes(10);
  // Must be longer than it takes to detect that the searchers of a zone are
  // lost.
  duration incident_window = std::chrono::milliseconds(500);
  // Lifetime of a success.
  duration success_expiry = std::chrono::minutes(10);
  // Successes of a service with crashes are passed on this often, because an
  // instance that learned of its crashes late or in another order may still
  // refuse the content.
  duration success_refresh = std::chrono::seconds(2);
  // Distinct searchers crashed after which a content is condemned.
  std::size_t condemn_after_servers = 2;
  // Crashes of one searcher after which a content is condemned.
  std::size_t condemn_after_crashes_of_one_server = 3;
  // Crashes of one searcher from which on it may be classified as unreliable.
  std::size_t unreliable_after_crashes = 3;
  std::size_t max_suspects = 4096;
  std::size_t max_successful_contents = 65536;
  std::size_t max_servers = 1024;
  // Crashes kept for one content and for one searcher.
  std::size_t max_crashes = 16;
  // Contents kept for one crash; about the number of slots of a searcher.
  std::size_t max_contents_per_crash = 64;
};

// Returns the fingerprint of a request's content: xxHash64 of the target and
// the canonical body.
fingerprint MakeFingerprint(std::string_view target,
                            std::string_view canonical_body);

class crash_evidence {
 public:
  explicit crash_evidence(const crash_evidence_options& options = {});
  crash_evidence(const crash_evidence&) = delete;
  crash_evidence& operator=(const crash_evidence&) = delete;
  ~crash_evidence();

  // Returns true if the report contains new information.
  bool RecordCrash(const crash_report& report, time_point now);

  // Call this only for a request that every shard answered: a content that
  // crashes one shard must not be cleared by the answers of the others.
  void RecordSuccess(fingerprint content, time_point now);

  // Records that a searcher of this service has answered. Returns true if the
  // other instances should learn that: it clears a crash, or the last such
  // success is older than success_refresh.
  bool RecordServiceSuccess(fingerprint content, const std::string& service,
                            time_point now);
  // Records a complete answer for RecentlySucceeded() without clearing crashes.
  void RememberSuccess(fingerprint content, time_point now);
  bool RecentlySucceeded(fingerprint content, time_point now) const;

  crash_verdict Verdict(fingerprint content, time_point now) const;

  // Returns the shards of the searchers that crashed with the content. This is
  // known seconds before the loss of the searchers is announced.
  std::vector<shard_key> CrashedShards(fingerprint content,
                                       time_point now) const;

  // Returns true while the content must not be started again because its last
  // crash is more recent than the incident window.
  bool InCrashCooldown(fingerprint content, time_point now) const;

  // Returns when a condemned content may be tried again, if no crash is
  // reported until then.
  time_point CondemnedUntil(fingerprint content) const;

  // Returns true if the searcher crashes with contents that have nothing in
  // common.
  bool IsUnreliable(const backend_server_key& server, time_point now) const;

  // Returns the crashes that have not expired and the successes after a crash.
  std::vector<crash_evidence_record> Export(time_point now) const;

  // Returns true if a record contained new information.
  bool Merge(std::span<const crash_evidence_record> records, time_point now);

  // Erases expired entries.
  void Tick(time_point now);

  std::size_t suspect_content_count() const { return suspects_.size(); }
  std::size_t successful_content_count() const { return successes_.size(); }

 private:
  using list_hook = boost::intrusive::list_base_hook<>;

  struct crash_event {
    backend_server_key server;
    std::uint64_t incarnation = 0;
    time_point at{};
    // True after a later success. The crash is kept so that a repeated report
    // of it is still recognized.
    bool cleared = false;
    // True after a later success of any service.
    bool disputed = false;
  };
  // A content with at least one crash.
  struct suspect : list_hook {
    fingerprint content{};
    std::vector<crash_event> crashes;
    time_point last_success = time_point::min();
    // Latest successes of single services.
    std::map<std::string, time_point> service_successes;
  };
  struct successful_content : list_hook {
    fingerprint content{};
    time_point last_success{};
  };
  struct server_crash {
    std::uint64_t incarnation = 0;
    time_point at{};
    std::vector<fingerprint> contents;
  };
  using suspect_list = boost::intrusive::list<suspect>;
  using success_list = boost::intrusive::list<successful_content>;

  bool AddCrash(fingerprint content, const backend_server_key& server,
                std::uint64_t incarnation, time_point at, time_point now);
  void AddCrashOfServer(fingerprint content, const backend_server_key& server,
                        std::uint64_t incarnation, time_point at);
  bool AddSuccess(fingerprint content, time_point at, time_point now);
  bool AddServiceSuccess(fingerprint content, const std::string& service,
                         time_point at, time_point now);
  // Returns the number of incidents: groups of crashes that start at least one
  // incident window apart.
  std::size_t CountIncidents(const std::vector<crash_event>& crashes) const;
  bool IsCondemned(const suspect& entry, time_point now) const;
  // Returns true if these crashes, of one service or of all, condemn a content.
  bool Condemns(const std::vector<crash_event>& crashes) const;

  crash_evidence_options options_;
  std::unordered_map<fingerprint, suspect> suspects_;
  std::unordered_map<fingerprint, successful_content> successes_;
  std::map<backend_server_key, std::vector<server_crash>> servers_;
  // In the order of the latest event, oldest first.
  suspect_list suspect_order_;
  success_list success_order_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CRASH_EVIDENCE_H_
