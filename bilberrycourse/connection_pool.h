#ifndef BILBERRYCOURSE_CONNECTION_POOL_H_
#define BILBERRYCOURSE_CONNECTION_POOL_H_

// Tracks the opening, idle and busy connections to one searcher, and when the
// next one may be opened.
//
//   connection_pool pool(options);
//   std::vector<connection_id> opening;
//   pool.Open(target, now, &next_id, &opening);
//   pool.OnOpened(opening.front());
//   std::optional<connection_id> id = pool.Take();
//   pool.Release(*id);
//
// After a failure, connections are opened one at a time with exponential
// backoff until one succeeds.

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

  // Starts connections until `target` are open or opening, unless the backoff
  // after a failure prevents it, and appends their ids. `next_id` is the id
  // counter that all pools of the process share.
  void Open(std::uint32_t target, time_point now, std::uint64_t* next_id,
            std::vector<connection_id>* opening);

  // Return false if the pool has no such connection in a matching state.
  bool OnOpened(connection_id id);
  bool OnFailed(connection_id id, time_point now);
  bool OnClosed(connection_id id, time_point now);

  // Marks the most recently used idle connection as busy and returns it.
  std::optional<connection_id> Take();
  void Release(connection_id id);
  // Removes a connection that this side closes.
  void Remove(connection_id id);
  // Ends the backoff; called when the searcher has restarted.
  void ResetFailures();
  // Removes all connections that carry no attempt, and appends their ids.
  void RemoveUnused(std::vector<connection_id>* closed);

  std::uint32_t open_count() const {
    return static_cast<std::uint32_t>(connections_.size()) - opening_;
  }
  std::uint32_t opening_count() const { return opening_; }
  std::uint32_t idle_count() const { return idle_count_; }
  bool empty() const { return connections_.empty(); }
  // Failures since a connection was last opened.
  std::uint32_t failures() const { return failures_; }
  // Earliest time at which Open() may start a connection.
  time_point open_after() const { return open_after_; }

 private:
  enum class connection_phase : std::uint8_t { kOpening, kIdle, kBusy };
  struct pooled_connection : boost::intrusive::list_base_hook<> {
    connection_id id{};
    connection_phase phase = connection_phase::kOpening;
  };

  void RemoveFromIdle(pooled_connection* connection);

  connection_pool_options options_;
  std::unordered_map<connection_id, pooled_connection> connections_;
  // Most recently used first, so that surplus connections stay idle.
  boost::intrusive::list<pooled_connection,
                         boost::intrusive::constant_time_size<false>>
      idle_;
  std::uint32_t idle_count_ = 0;
  std::uint32_t opening_ = 0;
  std::uint32_t failures_ = 0;
  time_point open_after_ = time_point::min();
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONNECTION_POOL_H_
