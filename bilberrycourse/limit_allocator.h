#ifndef BILBERRYCOURSE_LIMIT_ALLOCATOR_H_
#define BILBERRYCOURSE_LIMIT_ALLOCATOR_H_

// Divides the request limits that searchers state among the entry instances.
// The leader of the control group runs it, so that all instances draw on one
// token bucket for each searcher.
//
//   limit_allocator allocator;
//   limit_reply reply = allocator.Handle(request, now);
//   for (const limit_statement& change : allocator.TakeChanges(now)) ...
//
// A permission allows one request and is used within kPermissionLifetime or
// lost. Permissions are granted one request at a time, on demand: shares then
// follow the load of each instance, and a share below one request per second
// needs no rule of its own. Within any time T a searcher gets at most
//
//   limit * (T + kPermissionLifetime) + limit_bucket::Capacity(limit)
//
// requests from instances that know its limit, also while a new allocator takes
// over, because its buckets start empty.
//
// If requests of several priorities compete for a searcher, those that are not
// the most urgent leave half of the bucket to the more urgent ones.
//
// Soft state: after a change of the leader, the requests of the entry instances
// restore it.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bilberrycourse/limit_bucket.h"
#include "bilberrycourse/limit_protocol.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Time within which an entry instance uses a permission.
inline constexpr duration kPermissionLifetime = std::chrono::milliseconds(300);

class limit_allocator {
 public:
  limit_reply Handle(const limit_request& request, time_point now);

  // Returns the limits that have changed since the last call, for all entry
  // instances.
  std::vector<limit_statement> TakeChanges(time_point now);
  // Returns all limits in force, for an instance that has just connected.
  std::vector<limit_statement> Limits(time_point now) const;

  // Forgets everything; called when this member does not lead any more.
  void Reset();
  std::size_t size() const { return searchers_.size(); }

 private:
  struct searcher_state {
    wall_time_ms started_at_ms = 0;
    std::optional<double> per_second;
    time_point stated_at{};
    limit_bucket bucket;
    // The most urgent priority that wanted permissions lately, and until when
    // it counts as competing.
    std::uint32_t urgent_priority = 0;
    time_point urgent_until{};
    bool changed = false;
  };

  searcher_state* Learn(const limit_statement& statement, time_point now);
  limit_grant Grant(const limit_want& want, time_point now);
  void RemoveOld(time_point now);
  static limit_statement Statement(const std::string& searcher,
                                   const searcher_state& state, time_point now);

  std::map<std::string, searcher_state> searchers_;
  time_point removal_due_{};
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LIMIT_ALLOCATOR_H_
