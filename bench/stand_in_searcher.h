#ifndef BENCH_STAND_IN_SEARCHER_H_
#define BENCH_STAND_IN_SEARCHER_H_

// A searcher with real sockets and simulated work.
//
//   stand_in_searcher searcher(options, entries, first_entry, &context);
//   searcher.Start();
//   context.run();
//
// Members must be called on the thread of the io_context only; other threads
// post to context().

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bench/endpoint.h"
#include "bench/searcher_options.h"

namespace bilberrycourse {

struct searcher_counters {
  // Attempts received, including those that were not run.
  std::int64_t attempts = 0;
  std::int64_t run = 0;
  std::int64_t completed = 0;
  std::int64_t shed = 0;
  std::int64_t cancelled = 0;
  std::int64_t version_gone = 0;
  std::int64_t deadline_passed = 0;
  std::int64_t crashes = 0;
  std::int64_t connections_opened = 0;
  std::int64_t connections_refused = 0;
  std::int64_t announcements = 0;
  std::int64_t announcements_failed = 0;
  // Attempts that reused the id of an attempt that was still running.
  std::int64_t duplicate_attempt_ids = 0;
  // Attempts that were run after Drain().
  std::int64_t run_after_drain = 0;
};

class stand_in_searcher {
 public:
  stand_in_searcher(searcher_options options, std::vector<tcp_endpoint> entries,
                    std::size_t first_entry, boost::asio::io_context* context);

  boost::asio::io_context* context() { return context_; }
  const searcher_options& options() const { return options_; }
  // Name used on the control port: SERVICE/SHARD/REPLICA.
  std::string name() const;

  // Starts to listen and announces the searcher under a new incarnation. Does
  // nothing if the searcher is up.
  void Start();
  // Closes all connections and stops listening and announcing. Restarts after
  // `restart_after_ms` unless that is 0.
  void Crash(std::int64_t restart_after_ms);
  // Announces `draining` immediately. Requests that still arrive are run, so
  // that the counters show work that was sent too late.
  void Drain();
  void ApplyOptions(const boost::json::object& fields);
  // Starts or stops serving an index version after the delay.
  void PublishVersion(std::uint64_t version, std::int64_t delay_ms);
  void RetireVersion(std::uint64_t version, std::int64_t delay_ms);

  boost::json::object Report() const;
  const searcher_counters& counters() const { return counters_; }
  // Number of runs by the `token` of the request body.
  const std::unordered_map<std::string, std::int64_t>& runs_by_token() const {
    return runs_by_token_;
  }
  void ResetCounters();

 private:
  using clock = std::chrono::steady_clock;
  using tcp = boost::asio::ip::tcp;
  using http_request =
      boost::beast::http::request<boost::beast::http::string_body>;
  using http_response =
      boost::beast::http::response<boost::beast::http::string_body>;

  enum class attempt_end : std::uint8_t { kFinished, kCancelled, kDeadline };

  struct running_attempt {
    explicit running_attempt(boost::asio::io_context* context)
        : timer(*context) {}
    boost::asio::steady_timer timer;
    attempt_end end = attempt_end::kFinished;
  };

  boost::asio::awaitable<void> Accept(std::uint64_t generation);
  boost::asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket,
                                     std::uint64_t generation);
  boost::asio::awaitable<http_response> HandleRequest(
      const http_request& request, std::uint64_t generation);
  boost::asio::awaitable<http_response> RunAttempt(const http_request& request,
                                                   std::uint64_t generation);
  boost::asio::awaitable<http_response> RunInSlot(const http_request& request,
                                                  std::uint64_t version,
                                                  std::uint64_t generation);
  http_response Cancel(const http_request& request);
  boost::asio::awaitable<void> Announce();
  boost::asio::awaitable<bool> AnnounceOnce();
  boost::asio::awaitable<void> SampleLoad(std::uint64_t generation);
  boost::asio::awaitable<void> Sleep(std::int64_t us);
  void RequestAnnouncement();
  void CallAfter(std::int64_t delay_ms, void (stand_in_searcher::*action)());
  void ScheduleVersionChange(std::uint64_t version, bool served,
                             std::int64_t delay_ms);
  void CountRunAfterDrain();
  std::string AnnouncementBody() const;

  searcher_options options_;
  const std::vector<tcp_endpoint> entries_;
  // Index in `entries_` of the instance that receives the announcements.
  std::size_t entry_index_;
  boost::asio::io_context* context_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer announce_timer_;
  std::shared_ptr<tcp::socket> announce_socket_;
  // Set by RequestAnnouncement, so that a request made while the announcer is
  // busy is not lost.
  bool announcement_requested_ = false;
  bool announcer_running_ = false;
  bool up_ = false;
  bool draining_ = false;
  clock::time_point drain_start_;
  clock::time_point last_run_after_drain_;
  std::uint64_t incarnation_ = 0;
  // Incremented at each start and crash; coroutines of an earlier generation
  // return.
  std::uint64_t generation_ = 0;
  std::int64_t in_slots_ = 0;
  std::int64_t sampled_load_ = 0;
  std::int64_t requests_since_start_ = 0;
  std::unordered_set<std::shared_ptr<tcp::socket>> connections_;
  std::multimap<std::string, running_attempt*> running_;
  std::unordered_map<std::string, std::int64_t> runs_by_token_;
  searcher_counters counters_;
  std::mt19937_64 random_;
};

// Returns the counters by name, for reports.
boost::json::object ToJson(const searcher_counters& counters);
// Adds each counter of `other` to `sum`.
void Add(const searcher_counters& other, searcher_counters* sum);

}  // namespace bilberrycourse

#endif  // BENCH_STAND_IN_SEARCHER_H_
