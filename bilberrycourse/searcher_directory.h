#ifndef BILBERRYCOURSE_SEARCHER_DIRECTORY_H_
#define BILBERRYCOURSE_SEARCHER_DIRECTORY_H_

// The registered searchers, as part of the replicated control state.
// Deterministic: members that apply the same reports hold the same directory.
//
//   if (directory.IsUpdate(report)) Propose(report);     // at the receiver
//   directory.Apply(report, log_index);                  // at every member
//   auto changes = directory.ChangesSince(revision);     // for entry instances
//
// Reports about the same id are ordered by the start time of the searcher and
// then by their sequence. A searcher that has announced its shutdown never
// serves again under the same start time. Of two searchers with the same
// address, the one that started later owns it. Reports without a change are not
// logged, so the sequence of a record is that of its last change.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class searcher_state : std::uint8_t {
  kServing = 0,
  // Finishes its requests and receives no new ones.
  kDraining = 1,
  kGone = 2,
};

std::string_view ToString(searcher_state state);

// State that a searcher reports about itself; kGone announces its shutdown.
struct searcher_report {
  std::string id;
  std::string service;
  // IP number and port.
  std::string address;
  availability_zone zone;
  std::uint32_t slots = 0;
  searcher_state state = searcher_state::kServing;
  // Start of the process by its own clock; may be 0 if `state` is kGone.
  wall_time_ms started_at_ms = 0;
  // Increases with each report of one process.
  std::uint64_t sequence = 0;
  // Remaining time of the searcher's warm-up, in which it is slow.
  std::uint32_t warmup_ms = 0;
  bool operator==(const searcher_report&) const = default;
};

// Returns what is wrong with the report, or an empty string. Called by the
// receiver before the report is replicated, so that one odd entry can't make
// the whole list unreadable: its texts are limited to 256 bytes each.
std::string_view CheckSearcherReport(const searcher_report& report);

struct searcher_record {
  searcher_report report;
  // Log index of the last change.
  std::uint64_t revision = 0;
};

struct searcher_directory_options {
  // Maximum number of records of searchers that are gone; older ones are
  // pruned.
  std::size_t max_gone = 4096;
  std::size_t max_searchers = 65536;
};

class searcher_directory {
 public:
  explicit searcher_directory(searcher_directory_options options = {});

  // Returns true if Apply() would change a record in a way that entry instances
  // must know.
  bool IsUpdate(const searcher_report& report) const;

  // Applies the report. Returns true if a record changed; its revision is then
  // `revision`.
  bool Apply(const searcher_report& report, std::uint64_t revision);

  // Returns the records changed after `revision`, oldest change first. Revision
  // 0 gives the whole directory without the searchers that are gone.
  std::vector<searcher_record> ChangesSince(std::uint64_t revision) const;

  // Returns false if changes after `revision` have been pruned, so that the
  // client must read the whole directory (revision 0).
  bool HasChangesSince(std::uint64_t revision) const;

  // Revision of the newest change, 0 if there is none.
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return records_.size(); }
  const searcher_record* Find(const std::string& id) const;

  // Returns all records in the order of ids, for snapshots.
  std::vector<searcher_record> Records() const;
  // Restores the values of Records(), revision() and pruned_revision().
  void Restore(std::vector<searcher_record> records, std::uint64_t revision,
               std::uint64_t pruned_revision);
  std::uint64_t pruned_revision() const { return pruned_revision_; }

 private:
  bool Supersedes(const searcher_report& report) const;
  void Put(searcher_report report, std::uint64_t revision);
  void ReleaseAddress(const searcher_report& holder, std::uint64_t revision);
  void PruneOldest();

  searcher_directory_options options_;
  std::map<std::string, searcher_record> records_;
  // Ids by their last change.
  std::multimap<std::uint64_t, std::string> changes_;
  // Ids of searchers by the address that they own.
  std::map<std::string, std::string> addresses_;
  std::size_t gone_ = 0;
  std::uint64_t revision_ = 0;
  // Newest revision of a pruned record.
  std::uint64_t pruned_revision_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SEARCHER_DIRECTORY_H_
