#ifndef BENCH_LOAD_GENERATOR_H_
#define BENCH_LOAD_GENERATOR_H_

// Generates open-loop load over HTTP.
//
//   load_generator generator(ParseLoadOptions(json), &context);
//   generator.Start(std::chrono::steady_clock::now());
//   context.run();
//   std::cout << generator.Report();
//
// Requests start at the times of a Poisson process, whether or not earlier
// ones have been answered, and latencies count from the intended start.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "bench/http_pool.h"
#include "bench/load_report.h"

namespace bilberrycourse {

// Multiplies the rate of a stream by `factor` from `at_s` until the next step.
struct rate_step {
  double at_s = 0;
  double factor = 1;
};

struct load_stream {
  std::string name;
  std::string target;
  // Requests per second, multiplied by the factor of `schedule` in effect.
  double rate = 0;
  std::vector<rate_step> schedule;
  double start_s = 0;
  // 0 means the end of the run.
  double end_s = 0;
  // Sends at equal intervals instead of Poisson times.
  bool fixed_interval = false;
  std::int64_t deadline_ms = 1000;
  // Share of requests that are non-idempotent: they carry an Idempotency-Key
  // and issued_at_ms.
  double non_idempotent_share = 0;
  // Maximum number of times that a non-idempotent request is sent again with
  // the same key until its outcome is complete.
  std::int64_t resends = 0;
  // Number of distinct contents; 0 gives every request its own content.
  std::int64_t contents = 0;
  // Added to each body, for example the marker of a crash-causing request.
  std::string text;
  // Relative request rates by caller name.
  std::map<std::string, double> callers;
};

struct load_options {
  std::vector<tcp_endpoint> entries;
  std::vector<std::string> entry_names;
  double seconds = 10;
  // Number of threads over which the rate is divided.
  std::int64_t threads = 1;
  std::uint64_t seed = 1;
  // Simulated one-way delay between callers and entry instances; twice this
  // value is added to each measured latency.
  std::int64_t caller_delay_us = 0;
  // Time after the deadline until a missing answer counts as a timeout.
  std::int64_t grace_ms = 1000;
  std::vector<load_stream> streams;
  // Time ranges that get their own summary, in seconds.
  std::vector<std::pair<double, double>> windows;
  // Baseline: replicas by target and shard; requests go directly to one
  // replica of each shard, chosen uniformly.
  std::map<std::string, std::vector<std::vector<tcp_endpoint>>> direct;
  // Connections to one searcher in the baseline; without this limit a short
  // stall makes the searchers close hundreds of connections.
  std::int64_t direct_connections = 25;
  // Reports the outcomes of all sends of each non-idempotent request.
  bool list_tokens = false;
};

// Throws std::exception if `object` is not valid.
load_options ParseLoadOptions(const boost::json::object& object);

// Returns the options of one thread. Poisson streams are divided among the
// threads, because the sum of independent Poisson processes is a Poisson
// process of the summed rate; streams with a fixed interval run on the first
// thread only.
load_options OptionsForThread(load_options options, std::int64_t thread);

// Counts of answers that violate a guarantee of the tier, and of requests that
// were sent to another instance because one did not accept a connection.
struct load_findings {
  // Answers with results of more than one snapshot, or of another snapshot
  // than the answer states.
  std::int64_t mixed_answers = 0;
  // Answers with results of another request.
  std::int64_t foreign_results = 0;
  // Answers whose coverage differs from the shards in their results.
  std::int64_t coverage_mismatches = 0;
  // Answers that do not list every shard that was not searched.
  std::int64_t unnamed_missing = 0;
  std::int64_t reconnects = 0;
};

class load_generator {
 public:
  using clock = std::chrono::steady_clock;

  load_generator(load_options options, boost::asio::io_context* context);

  // Intended times count from `start`.
  void Start(clock::time_point start);
  // Adds the results of a finished generator of the same load.
  void Merge(const load_generator& other);
  boost::json::object Report() const;

 private:
  struct request_state {
    load_sample sample;
    std::string content_id;
    // Empty if the request is idempotent.
    std::string token;
    clock::time_point intended;
    clock::time_point deadline;
  };
  struct direct_query {
    std::size_t pending_shards = 0;
    std::uint16_t searched = 0;
    std::string snapshot;
    bool mixed = false;
    boost::asio::steady_timer done;
  };

  boost::asio::awaitable<void> GenerateStream(std::size_t stream_index);
  boost::asio::awaitable<void> RunRequest(std::size_t stream_index,
                                          clock::time_point intended);
  boost::asio::awaitable<void> RunThroughTier(const load_stream& stream,
                                              request_state* state);
  boost::asio::awaitable<void> RunDirect(const load_stream& stream,
                                         request_state* state);
  boost::asio::awaitable<void> RunDirectShard(
      std::shared_ptr<direct_query> query, std::string body,
      const std::vector<tcp_endpoint>* replicas, clock::time_point deadline);
  boost::asio::awaitable<http_reply> SendToTier(
      const boost::beast::http::request<boost::beast::http::string_body>&
          request,
      request_state* state);
  // Records an answer of the tier in the sample and the counters.
  void Evaluate(const load_stream& stream, const http_reply& reply,
                request_state* state);
  void CheckResults(const boost::json::object& answer,
                    std::string_view snapshot, const request_state& state);
  double FactorAt(const load_stream& stream, double second) const;
  std::uint16_t DrawCaller(const load_stream& stream);
  http_pool* PoolFor(const tcp_endpoint& endpoint);
  double Uniform();

  load_options options_;
  boost::asio::io_context* context_;
  std::mt19937_64 random_;
  clock::time_point start_;
  std::vector<std::string> caller_names_;
  std::map<tcp_endpoint, std::unique_ptr<http_pool>> pools_;
  load_report report_;
  std::uint64_t next_request_ = 0;
  load_findings findings_;
  std::map<std::string, std::int64_t> codes_;
  std::map<std::string, std::int64_t> snapshots_;
  std::map<std::string, std::string> token_outcomes_;
};

}  // namespace bilberrycourse

#endif  // BENCH_LOAD_GENERATOR_H_
