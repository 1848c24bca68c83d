#ifndef BILBERRYCOURSE_FAIR_QUEUE_H_
#define BILBERRYCOURSE_FAIR_QUEUE_H_

// Queue of requests that is fair among callers: deficit round robin over the
// callers, earliest deadline first within one caller.
//
//   struct request : fair_queue_entry { ... };
//   fair_queue queue;
//   request.version = ...; request.deadline = ...;
//   queue.Push(&request, caller, weight);
//   fair_queue_entry* next = queue.Pop(
//       [&](index_version version) { return CanRun(version); });
//
// The queue does not own its entries; Pop, Remove and the destructor of the
// queue unlink them. Each entry costs one unit of deficit, and each turn of a
// caller adds its weight to the deficit. The record of a caller is erased with
// its last entry, so that memory is bounded by the number of entries. Push and
// Remove cost O(log n) in the entries of the caller; Pop costs O(callers) in
// the worst case, when no version can run.

#include <boost/container/small_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "bilberrycourse/key_hash.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct caller_queue;

struct fair_queue_entry : boost::intrusive::set_base_hook<> {
  index_version version{};
  time_point deadline{};
  // Set by the queue: the order of arrival, and the queue of the caller while
  // the entry is linked.
  std::uint64_t sequence = 0;
  caller_queue* queue = nullptr;

  bool queued() const { return queue != nullptr; }
  friend bool operator<(const fair_queue_entry& a, const fair_queue_entry& b) {
    if (a.deadline != b.deadline) return a.deadline < b.deadline;
    return a.sequence < b.sequence;
  }
};

// Entries of one caller, by version, because a free searcher may serve only
// some of the versions.
struct caller_queue : boost::intrusive::list_base_hook<> {
  using entry_set = boost::intrusive::set<fair_queue_entry>;
  struct lane {
    index_version version{};
    entry_set entries;
  };

  caller_name caller;
  double weight = 1;
  double deficit = 0;
  bool in_turn = false;
  std::size_t size = 0;
  boost::container::small_vector<std::unique_ptr<lane>, 2> lanes;
};

class fair_queue {
 public:
  using version_filter = std::function<bool(index_version)>;

  fair_queue() = default;
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;
  ~fair_queue();

  // `weight` replaces the previous weight of the caller. It is raised to at
  // least 0.01, so that every caller is served at least once in 100 rounds.
  void Push(fair_queue_entry* entry, const caller_name& caller, double weight);
  void Remove(fair_queue_entry* entry);

  // Removes and returns the next entry whose version passes `may_run`, or null
  // if there is none.
  fair_queue_entry* Pop(const version_filter& may_run);

  // Returns the entry to evict when the queue is full: the one with the latest
  // deadline of the caller that has the most entries relative to its weight.
  // Null if the queue is empty.
  fair_queue_entry* EvictionCandidate();

  void ForEach(const std::function<void(const fair_queue_entry&)>& visit) const;

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  // Returns the entry with the earliest deadline whose version passes
  // `may_run`.
  static fair_queue_entry* Earliest(caller_queue& queue,
                                    const version_filter& may_run);
  // Moves a caller to the end of the round.
  void Rotate(caller_queue* queue);

  std::unordered_map<caller_name, caller_queue, name_hash, std::equal_to<>>
      callers_;
  boost::intrusive::list<caller_queue> round_robin_;
  std::size_t size_ = 0;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_FAIR_QUEUE_H_
