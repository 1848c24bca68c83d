#include "bilberrycourse/searcher_directory.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bilberrycourse {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"serving", "draining",
                                                         "gone"};

constexpr std::size_t kMaxTextBytes = 256;

}  // namespace

std::string_view CheckSearcherReport(const searcher_report& report) {
  const bool too_long = report.id.size() > kMaxTextBytes ||
                        report.service.size() > kMaxTextBytes ||
                        report.address.size() > kMaxTextBytes ||
                        report.zone.size() > kMaxTextBytes;
  if (too_long) return "a text is longer than 256 bytes";
  if (report.started_at_ms < 0) return "the start time is too large";
  return {};
}

std::string_view ToString(searcher_state state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

searcher_directory::searcher_directory(searcher_directory_options options)
    : options_(options) {}

const searcher_record* searcher_directory::Find(const std::string& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

// Returns true if the report is newer than the record of its id.
bool searcher_directory::Supersedes(const searcher_report& report) const {
  const searcher_record* known = Find(report.id);
  if (known == nullptr) return report.state != searcher_state::kGone;
  const searcher_report& old = known->report;
  if (report.state == searcher_state::kGone && report.started_at_ms == 0) {
    return true;
  }
  if (report.started_at_ms != old.started_at_ms) {
    return report.started_at_ms > old.started_at_ms;
  }
  // States only advance within one process. A report of a later state needs no
  // higher sequence.
  if (report.state != old.state) return report.state > old.state;
  return report.sequence > old.sequence;
}

bool searcher_directory::IsUpdate(const searcher_report& report) const {
  if (!Supersedes(report)) return false;
  const searcher_record* known = Find(report.id);
  if (known == nullptr) {
    if (records_.size() >= options_.max_searchers) return false;
    const auto holder = addresses_.find(report.address);
    if (holder == addresses_.end()) return true;
    return records_.at(holder->second).report.started_at_ms <=
           report.started_at_ms;
  }
  const searcher_report& old = known->report;
  if (old.state == searcher_state::kGone &&
      report.state == searcher_state::kGone) {
    return false;
  }
  return old.state != report.state ||
         old.started_at_ms != report.started_at_ms ||
         old.service != report.service || old.address != report.address ||
         old.zone != report.zone || old.slots != report.slots;
}

bool searcher_directory::Apply(const searcher_report& report,
                               std::uint64_t revision) {
  if (!IsUpdate(report)) return false;
  revision_ = revision;
  searcher_report changed = report;
  if (report.state == searcher_state::kGone) {
    // A report of the shutdown may lack the other fields; the record keeps
    // them.
    changed = records_.at(report.id).report;
    changed.state = searcher_state::kGone;
    changed.started_at_ms =
        std::max(changed.started_at_ms, report.started_at_ms);
  }
  if (changed.state != searcher_state::kGone) {
    ReleaseAddress(changed, revision);
  }
  Put(std::move(changed), revision);
  PruneOldest();
  return true;
}

// Marks the earlier searcher at the address of `holder` as gone, because its
// process must have ended.
void searcher_directory::ReleaseAddress(const searcher_report& holder,
                                        std::uint64_t revision) {
  const auto found = addresses_.find(holder.address);
  if (found == addresses_.end() || found->second == holder.id) return;
  searcher_report ended = records_.at(found->second).report;
  ended.state = searcher_state::kGone;
  Put(std::move(ended), revision);
}

void searcher_directory::Put(searcher_report report, std::uint64_t revision) {
  const auto known = records_.find(report.id);
  if (known != records_.end()) {
    const searcher_record& old = known->second;
    auto [first, last] = changes_.equal_range(old.revision);
    changes_.erase(std::find_if(first, last, [&](const auto& change) {
      return change.second == report.id;
    }));
    if (old.report.state == searcher_state::kGone) --gone_;
    const auto holder = addresses_.find(old.report.address);
    if (holder != addresses_.end() && holder->second == report.id) {
      addresses_.erase(holder);
    }
  }
  if (report.state == searcher_state::kGone) {
    ++gone_;
  } else {
    addresses_[report.address] = report.id;
  }
  changes_.emplace(revision, report.id);
  const std::string id = report.id;
  records_[id] = {std::move(report), revision};
}

void searcher_directory::PruneOldest() {
  for (auto change = changes_.begin();
       gone_ > options_.max_gone && change != changes_.end();) {
    const auto record = records_.find(change->second);
    if (record->second.report.state != searcher_state::kGone) {
      ++change;
      continue;
    }
    pruned_revision_ = std::max(pruned_revision_, change->first);
    records_.erase(record);
    change = changes_.erase(change);
    --gone_;
  }
}

bool searcher_directory::HasChangesSince(std::uint64_t revision) const {
  return revision == 0 || revision >= pruned_revision_;
}

std::vector<searcher_record> searcher_directory::ChangesSince(
    std::uint64_t revision) const {
  std::vector<searcher_record> result;
  for (auto change = changes_.upper_bound(revision); change != changes_.end();
       ++change) {
    const searcher_record& record = records_.at(change->second);
    if (revision == 0 && record.report.state == searcher_state::kGone) continue;
    result.push_back(record);
  }
  return result;
}

std::vector<searcher_record> searcher_directory::Records() const {
  std::vector<searcher_record> result;
  result.reserve(records_.size());
  for (const auto& [id, record] : records_) result.push_back(record);
  return result;
}

void searcher_directory::Restore(std::vector<searcher_record> records,
                                 std::uint64_t revision,
                                 std::uint64_t pruned_revision) {
  records_.clear();
  changes_.clear();
  addresses_.clear();
  gone_ = 0;
  for (searcher_record& record : records) {
    Put(std::move(record.report), record.revision);
  }
  revision_ = revision;
  pruned_revision_ = pruned_revision;
}

}  // namespace bilberrycourse
