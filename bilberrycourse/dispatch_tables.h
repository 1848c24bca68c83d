#ifndef BILBERRYCOURSE_DISPATCH_TABLES_H_
#define BILBERRYCOURSE_DISPATCH_TABLES_H_

// Entities that the shard_dispatcher owns in its tables. They refer to each
// other by address: the tables are node-based, so an address stays valid until
// its entity is erased.
//
//   request --< attempt >-- server --< connection
//      \-- shard ----------/

#include <boost/container/small_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/attempt_budget.h"
#include "bilberrycourse/backend_server_record.h"
#include "bilberrycourse/connection_pool.h"
#include "bilberrycourse/dispatch_effects.h"
#include "bilberrycourse/fair_queue.h"
#include "bilberrycourse/limit_bucket.h"
#include "bilberrycourse/service_policy.h"
#include "bilberrycourse/service_time_estimator.h"
#include "bilberrycourse/timer_service.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct dispatch_request;
struct dispatch_server;
struct dispatch_shard;

struct in_server_tag;
struct in_request_tag;
template <typename Tag>
using attempt_hook =
    boost::intrusive::list_base_hook<boost::intrusive::tag<Tag>>;

// One attempt that a searcher has not replied to yet.
struct dispatch_attempt : attempt_hook<in_server_tag>,
                          attempt_hook<in_request_tag> {
  attempt_id id{};
  dispatch_server* server = nullptr;
  // Null after the request has finished or was cancelled.
  dispatch_request* request = nullptr;
  connection_id connection{};
  std::uint64_t incarnation = 0;
  index_version version{};
  fingerprint content{};
  time_point sent_at{};
  bool hedge = false;
  bool probe = false;
  bool cancelled = false;
  // True if the cancellation followed from the deadline.
  bool expired = false;
  bool crash_reported = false;
  timer_subscription grace_timer;
};

using server_attempt_list = boost::intrusive::list<
    dispatch_attempt, boost::intrusive::base_hook<attempt_hook<in_server_tag>>>;
using request_attempt_list = boost::intrusive::list<
    dispatch_attempt,
    boost::intrusive::base_hook<attempt_hook<in_request_tag>>>;

// Policy and extra-attempt budget that all requests of one scope share.
struct dispatch_scope {
  explicit dispatch_scope(const attempt_budget_options& options)
      : budget(options) {}
  service_policy policy;
  attempt_budget budget;
};

struct dispatch_request : fair_queue_entry {
  instance_name origin;
  std::shared_ptr<const shard_request> message;
  dispatch_shard* shard = nullptr;
  dispatch_scope* scope = nullptr;
  time_point submitted_at{};
  duration queue_wait{0};
  std::uint32_t attempts = 0;
  // Attempts that the searcher did not explicitly refuse and that may therefore
  // have run.
  std::uint32_t may_have_run = 0;
  // True while the request is counted in dispatch_shard::running.
  bool running = false;
  bool crashed = false;
  bool hedged = false;
  // Reason that the next attempt is recorded with.
  dispatch_reason next_reason = dispatch_reason::kFirstAttempt;
  request_attempt_list in_flight;
  boost::container::small_vector<const dispatch_server*, 2> tried_servers;
  timer_subscription deadline_timer;
  timer_subscription hedge_timer;
};

struct dispatch_server {
  dispatch_server(const connection_pool_options& pool_options,
                  const service_time_options& time_options)
      : pool(pool_options), estimator(time_options) {}

  backend_server_record record;
  dispatch_shard* shard = nullptr;
  connection_pool pool;
  // All unanswered attempts, oldest first.
  server_attempt_list attempts;
  // Unanswered attempts of the current incarnation; each holds a slot.
  std::uint32_t in_flight = 0;
  std::uint32_t successes = 0;
  service_time_estimator estimator;
  time_point last_used{};
  // No attempt is sent before this time.
  time_point paused_until = time_point::min();
  duration shed_pause{0};
  // Until this time the searcher wants no attempts.
  time_point rest_until = time_point::min();
  // Requests per second that the searcher accepts, and what is left of them.
  // All requests for a shard pass through its owner, so no other instance needs
  // to be asked.
  std::optional<double> request_limit;
  limit_bucket limit_tokens;
  // Versions that the searcher has refused since it last announced them.
  std::vector<index_version> refused_versions;
  timer_subscription reconnect_timer;
  timer_subscription pause_timer;
};

struct dispatch_shard {
  shard_key key;
  bool owned = false;
  // Connections of a shard that is not owned stay open until this time.
  time_point keep_connected_until = time_point::min();
  std::vector<dispatch_server*> servers;
  fair_queue queue;
  std::uint32_t running = 0;
  timer_subscription queue_timer;
  timer_subscription idle_timer;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_DISPATCH_TABLES_H_
