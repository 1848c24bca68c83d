#ifndef BILBERRYCOURSE_ENTRY_INSTANCE_LOG_H_
#define BILBERRYCOURSE_ENTRY_INSTANCE_LOG_H_

// The entry instances of the tier as a control instance sees them, with the
// changes since its latest lists.
//
//   entry_instance_log log;
//   log.Set(entries);
//   entry_list_change change = log.ChangeSince(known_digest);
//
// Every entry instance needs the whole list, and it changes with each start and
// stop. Sent whole, a restart of n instances in turn costs n * n entries for
// each instance: in coldline-search-large this was most of the traffic between
// availability zones. Changes grow with n only.
//
// A list is identified by a digest of its content, so that an instance can
// continue with another control instance that has had the same list.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/relay_plan.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

using entry_list = std::vector<entry_instance>;

// Returns the digest of a list that is sorted by name; never 0.
std::uint64_t DigestOf(const entry_list& entries);

// Turns the list with the digest `base_digest` into that with `digest`. Base 0
// is the empty list.
struct entry_list_change {
  std::uint64_t base_digest = 0;
  std::uint64_t digest = 0;
  // Instances to add; one that is known by name is replaced.
  entry_list added;
  std::vector<instance_name> removed;
};

// Returns the list after the change, sorted by name. Returns nullopt if the
// result does not have the digest of the change.
std::optional<entry_list> ApplyChange(const entry_list& base,
                                      const entry_list_change& change);

class entry_instance_log {
 public:
  // Sets the current list; the order does not matter.
  void Set(entry_list entries);
  std::uint64_t digest() const { return lists_.back().digest; }
  // Returns the whole list, with base 0, if the list with this digest is not
  // kept.
  entry_list_change ChangeSince(std::uint64_t digest) const;

 private:
  struct version {
    std::uint64_t digest = 0;
    entry_list entries;
  };

  // The latest lists, the current one last.
  std::deque<version> lists_ = {{DigestOf({}), {}}};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ENTRY_INSTANCE_LOG_H_
