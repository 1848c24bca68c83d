#ifndef BILBERRYCOURSE_CONNECTION_POOL_H_
#define BILBERRYCOURSE_CONNECTION_POOL_H_

// Connections to one searcher: which are opening, idle and busy, and when the
// next one may be opened.
//
//   connection_pool pool(options);
//   std::vector<connection_id> opening;
//   pool.Open(target, now, &next_id, &opening);
//   pool.OnOpened(id, now);
//   std::optional<connection_id> id = pool.Take();
//   pool.Release(*id);
//
// After a failure one connection at a time is tried, with a wait that doubles
// up to a limit; the first success lifts that.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct connection_pool_options {
  duration reconnect_wait = std::chrono::milliseconds(10);
  duration max_reconnect_wait = std::chrono::seconds(1);
};

class connection_pool {
 public:
  explicit connection_pool(const connection_pool_options& options)
      : options_(options) {}
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;
  ~connection_pool() { idle_.clear(); }

  // Starts connections until `target` are open or opening, as far as the wait
  // after a failure allows, and appends their ids. `next_id` counts up over
  // all pools of the process.
  void Open(std::uint32_t target, time_point now, std::uint64_t* next_id,
            std::vector<connection_id>* opening);

  // These return false for an id that the pool does not know.
  bool OnOpened(connection_id id);
  bool OnFailed(connection_id id, time_point now);
  bool OnClosed(connection_id id, time_point now);

  // Makes the idle connection that was used last busy.
  std::optional<connection_id> Take();
  void Release(connection_id id);
  // Forgets a connection that this side closes.
  void Remove(connection_id id);
  // Lifts the wait after failures, for a searcher that restarted.
  void ResetFailures();
  // Forgets all connections that carry no attempt, and appends their ids.
  void RemoveUnused(std::vector<connection_id>* closed);

  std::uint32_t open_count() const {
    return static_cast<std::uint32_t>(connections_.size()) - opening_;
  }
  std::uint32_t opening_count() const { return opening_; }
  std::uint32_t idle_count() const { return idle_count_; }
  bool empty() const { return connections_.empty(); }
  // Failures since the latest opened connection.
  std::uint32_t failures() const { return failures_; }
  // Earliest time at which Open() may start a connection.
  time_point open_after() const { return open_after_; }

 private:
  enum class link_state : std::uint8_t { kOpening, kIdle, kBusy };
  struct link : boost::intrusive::list_base_hook<> {
    connection_id id{};
    link_state state = link_state::kOpening;
  };

  void Unlink(link* entry);

  connection_pool_options options_;
  std::unordered_map<connection_id, link> connections_;
  // Most recently used first, so that the surplus stays unused.
  boost::intrusive::list<link, boost::intrusive::constant_time_size<false>>
      idle_;
  std::uint32_t idle_count_ = 0;
  std::uint32_t opening_ = 0;
  std::uint32_t failures_ = 0;
  time_point open_after_ = time_point::min();
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONNECTION_POOL_H_
