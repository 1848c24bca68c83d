#ifndef BILBERRYCOURSE_CRASH_EVIDENCE_H_
#define BILBERRYCOURSE_CRASH_EVIDENCE_H_

// Decides which request contents crash searchers (design 3.6).
//
//   crash_evidence evidence(options);
//   evidence.RecordCrash({server, incarnation, contents}, now);
//   evidence.RecordSuccess(content, now);  // after a complete answer
//   switch (evidence.Verdict(content, now)) { ... }
//   gossip = evidence.Export(now);         // and Merge() on other instances
//
// Crashes that follow each other within the incident window count as one: when
// an availability zone fails, many searchers die while they run one innocent
// content. A content is held back during the window, so that resending it
// quickly does not crash one searcher after another unseen.
//
// A crash counts once for each (content, searcher, incarnation), whichever
// instance reported it, so merging is idempotent. A content is condemned after
// crashes of two searchers, or three crashes of one, without a success in
// between; the latter bounds what a content does to a shard whose other replica
// is gone. Crashes of a searcher that dies with contents that have nothing in
// common count against the searcher and not against the contents. Memory is
// bounded by the options; the entry that is oldest by its latest event makes
// room.

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class crash_verdict : std::uint8_t {
  // No recent event: run on a canary shard first.
  kUnknown,
  // Succeeded recently: run on all shards at once.
  kRecentlyGood,
  // One crash: run on a canary shard only.
  kSuspect,
  // Refuse as not_run.
  kCondemned,
};

std::string_view ToString(crash_verdict verdict);

// Contents that were in flight on a searcher when a connection to it broke.
struct crash_report {
  backend_server_key server;
  std::uint64_t incarnation = 0;
  std::vector<fingerprint> contents;
};

// One piece of evidence as instances exchange it.
struct crash_evidence_record {
  fingerprint content{};
  // True for a success after a crash; the searcher is then empty.
  bool success = false;
  backend_server_key server;
  std::uint64_t incarnation = 0;
  // Time since the event; clocks of instances are not compared.
  duration age{0};

  bool operator==(const crash_evidence_record&) const = default;
};

struct crash_evidence_options {
  // Lifetime of a crash and of a verdict.
  duration expiry = std::chrono::minutes(10);
  // Longer than it takes to notice the loss of a zone's searchers.
  duration incident_window = std::chrono::milliseconds(500);
  // Lifetime of a success.
  duration good_expiry = std::chrono::minutes(10);
  // Distinct searchers crashed after which a content is condemned.
  std::size_t condemned_after = 2;
  // Crashes of one searcher after which a content is condemned.
  std::size_t condemned_after_same = 3;
  // Crashes of one searcher from which its contents are compared.
  std::size_t unreliable_after = 3;
  std::size_t max_suspects = 4096;
  std::size_t max_good = 65536;
  std::size_t max_servers = 1024;
  // Crashes kept for one content and for one searcher.
  std::size_t max_crashes = 16;
  // Contents kept for one crash; a searcher has about as many slots.
  std::size_t max_contents_per_crash = 64;
};

// The identity of a request's content: xxHash64 of target and canonical body.
fingerprint MakeFingerprint(std::string_view target,
                            std::string_view canonical_body);

class crash_evidence {
 public:
  explicit crash_evidence(const crash_evidence_options& options = {});
  crash_evidence(const crash_evidence&) = delete;
  crash_evidence& operator=(const crash_evidence&) = delete;
  ~crash_evidence();

  // Returns true if the report holds anything new.
  bool RecordCrash(const crash_report& report, time_point now);

  // Call it for a request that every shard answered: a content that crashes
  // one shard only would otherwise be cleared by the others.
  void RecordSuccess(fingerprint content, time_point now);

  crash_verdict Verdict(fingerprint content, time_point now) const;

  // Shards of the searchers that crashed with the content. The loss of a
  // searcher is announced only seconds later.
  std::vector<shard_key> CrashedShards(fingerprint content,
                                       time_point now) const;

  // True while the content must not start anew, because its last crash is
  // younger than the incident window.
  bool InCrashCooldown(fingerprint content, time_point now) const;

  // True if the searcher dies with contents that have nothing in common.
  bool IsUnreliable(const backend_server_key& server, time_point now) const;

  // Crashes that have not expired, and the successes that followed one.
  std::vector<crash_evidence_record> Export(time_point now) const;

  // Returns true if anything was new.
  bool Merge(std::span<const crash_evidence_record> records, time_point now);

  // Drops what has expired.
  void Tick(time_point now);

  std::size_t suspect_count() const { return suspects_.size(); }
  std::size_t good_count() const { return good_.size(); }

 private:
  using list_hook = boost::intrusive::list_base_hook<>;

  struct crash_event {
    backend_server_key server;
    std::uint64_t incarnation = 0;
    time_point at{};
    // True after a later success; kept so that a repeated report stays known.
    bool cleared = false;
  };
  // A content with at least one crash.
  struct suspect : list_hook {
    fingerprint content{};
    std::vector<crash_event> crashes;
    time_point last_success = time_point::min();
  };
  struct good_content : list_hook {
    fingerprint content{};
    time_point last_success{};
  };
  struct server_crash {
    std::uint64_t incarnation = 0;
    time_point at{};
    std::vector<fingerprint> contents;
  };
  using suspect_list = boost::intrusive::list<suspect>;
  using good_list = boost::intrusive::list<good_content>;

  bool AddCrash(fingerprint content, const backend_server_key& server,
                std::uint64_t incarnation, time_point at, time_point now);
  void AddServerCrash(fingerprint content, const backend_server_key& server,
                      std::uint64_t incarnation, time_point at);
  bool AddSuccess(fingerprint content, time_point at, time_point now);
  // Groups of crashes that started at least one incident window apart.
  std::size_t Incidents(const suspect& entry, time_point now) const;
  bool Condemned(const suspect& entry, time_point now) const;

  crash_evidence_options options_;
  std::unordered_map<fingerprint, suspect> suspects_;
  std::unordered_map<fingerprint, good_content> good_;
  std::map<backend_server_key, std::vector<server_crash>> servers_;
  // Least recently touched first.
  suspect_list suspect_order_;
  good_list good_order_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CRASH_EVIDENCE_H_
