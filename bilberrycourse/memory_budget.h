#ifndef BILBERRYCOURSE_MEMORY_BUDGET_H_
#define BILBERRYCOURSE_MEMORY_BUDGET_H_

// Bounds the memory that a group of connections holds together.
//
//   memory_budget budget(40 << 20, 2048);
//   memory_holder holder(&budget, [this] { Abort(); });
//   if (!holder.Resize(buffer.capacity())) return Refuse();
//
// A bound for each connection is not enough where others decide how many
// connections there are. Beyond the budget, the largest holder gives its memory
// up, so that a peer that holds much is refused before many that hold little.
// Among holders whose sizes are within a factor of two, the one that has not
// changed for the longest time does, as its peer has stalled.
//
// Not thread-safe. Resize() takes O(log n) for n holders.

#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <functional>
#include <utility>

namespace bilberrycourse {

class memory_budget;

// The memory of one connection.
class memory_holder : public boost::intrusive::set_base_hook<> {
 public:
  // `reclaim` is called when this holder must give its memory up because
  // another one grows. The memory then counts as free already, so it must be
  // freed soon. `reclaim` may destroy this holder but must not resize others.
  memory_holder(memory_budget* budget, std::function<void()> reclaim)
      : budget_(budget), reclaim_(std::move(reclaim)) {}
  memory_holder(const memory_holder&) = delete;
  memory_holder& operator=(const memory_holder&) = delete;
  ~memory_holder() { Release(); }

  // Sets the size in bytes. Returns false if this holder must give its memory
  // up; its size is then 0, and further calls fail, until Renew().
  bool Resize(std::uint64_t bytes);
  // Called when the memory that had to be given up has been freed.
  void Renew() { must_free_ = false; }
  // A holder whose memory is in use can't be reclaimed. Must be reclaimable
  // when it grows.
  void SetReclaimable(bool reclaimable);

 private:
  friend class memory_budget;

  void Release();
  void Link();

  memory_budget* budget_;
  std::function<void()> reclaim_;
  bool reclaimable_ = true;
  bool must_free_ = false;
  // Bytes that count toward the budget.
  std::uint64_t charged_bytes_ = 0;
  // When the size was last set, as a count of all changes.
  std::uint64_t changed_at_ = 0;
};

class memory_budget {
 public:
  // The first `free_bytes` of each holder do not count, so that small messages
  // pass while large ones that can't be reclaimed use the budget up.
  explicit memory_budget(std::uint64_t max_bytes, std::uint64_t free_bytes = 0)
      : max_bytes_(max_bytes), free_bytes_(free_bytes) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  std::uint64_t max_bytes() const { return max_bytes_; }
  // Bytes that all holders hold beyond their free bytes.
  std::uint64_t used_bytes() const { return used_bytes_; }
  // How often a holder had to give its memory up.
  std::uint64_t reclaims() const { return reclaims_; }

 private:
  friend class memory_holder;

  // Orders holders by who gives way: the last one first.
  struct gives_way_later {
    bool operator()(const memory_holder& a, const memory_holder& b) const;
  };

  // Returns false if `requester` has to give its memory up.
  bool MakeRoom(const memory_holder* requester);

  const std::uint64_t max_bytes_;
  const std::uint64_t free_bytes_;
  std::uint64_t used_bytes_ = 0;
  std::uint64_t reclaims_ = 0;
  std::uint64_t changes_ = 0;
  // The reclaimable holders with a size.
  boost::intrusive::multiset<memory_holder,
                             boost::intrusive::compare<gives_way_later>>
      reclaimable_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_MEMORY_BUDGET_H_
