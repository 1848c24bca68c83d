#ifndef BILBERRYCOURSE_SEARCHER_DIRECTORY_H_
#define BILBERRYCOURSE_SEARCHER_DIRECTORY_H_

// The searchers that have registered, as part of the replicated control state.
// Deterministic: members that apply the same reports hold the same directory.
//
//   if (directory.IsUpdate(report)) Propose(report);       // at the receiver
//   directory.Apply(report, log_index);                  // at every member
//   auto changes = directory.ChangesSince(revision);     // for entry instances
//
// Which of two reports about one id is newer is decided by the start time of
// the searcher and then by its sequence. A searcher that has announced its
// leave never serves again under the same start time, and of two searchers at
// one address the one that started later holds it. Renewals that change
// nothing are not logged, so the sequence of a record is that of its last
// change.

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
  // Finishes what it has; gets no new work.
  kDraining = 1,
  kGone = 2,
};

std::string_view ToString(searcher_state state);

// What a searcher says of itself, or that it leaves (kGone).
struct searcher_report {
  std::string id;
  std::string service;
  // IP number and port.
  std::string address;
  availability_zone zone;
  std::uint32_t slots = 0;
  searcher_state state = searcher_state::kServing;
  // Start of the process by its own clock. A leave may lack it (0).
  wall_time_ms started_at_ms = 0;
  // Grows with each report of one process.
  std::uint64_t sequence = 0;
  // Time for which the searcher is still slow after its start.
  std::uint32_t warmup_ms = 0;
  bool operator==(const searcher_report&) const = default;
};

struct searcher_record {
  searcher_report report;
  // Log index of the last change.
  std::uint64_t revision = 0;
};

struct searcher_directory_options {
  // Records of searchers that are gone; the oldest are forgotten beyond this.
  std::size_t max_gone = 4096;
  std::size_t max_searchers = 65536;
};

class searcher_directory {
 public:
  explicit searcher_directory(searcher_directory_options options = {});

  // True if Apply() would change what entry instances must know.
  bool IsUpdate(const searcher_report& report) const;

  // Returns true if a record changed; its revision is then `revision`.
  bool Apply(const searcher_report& report, std::uint64_t revision);

  // Records changed after `revision`, oldest change first. Asking from 0 gives
  // the whole directory without the searchers that are gone.
  std::vector<searcher_record> ChangesSince(std::uint64_t revision) const;

  // False if changes after `revision` have been forgotten, so that the asker
  // must start from 0.
  bool HasChangesSince(std::uint64_t revision) const;

  // Revision of the newest change, 0 if there is none.
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return records_.size(); }
  const searcher_record* Find(const std::string& id) const;

  // Every record, for snapshots, in the order of ids.
  std::vector<searcher_record> Records() const;
  // Restores what Records(), revision() and forgotten() gave.
  void Restore(std::vector<searcher_record> records, std::uint64_t revision,
               std::uint64_t pruned_revision);
  std::uint64_t pruned_revision() const { return forgotten_; }

 private:
  bool Supersedes(const searcher_report& report) const;
  void Put(searcher_report report, std::uint64_t revision);
  void ReleaseAddress(const searcher_report& holder, std::uint64_t revision);
  void ForgetOldest();

  searcher_directory_options options_;
  std::map<std::string, searcher_record> records_;
  // Ids by their last change.
  std::multimap<std::uint64_t, std::string> changes_;
  // Searchers that hold an address.
  std::map<std::string, std::string> addresses_;
  std::size_t gone_ = 0;
  std::uint64_t revision_ = 0;
  // Newest revision of a record that was forgotten.
  std::uint64_t forgotten_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_SEARCHER_DIRECTORY_H_
