#ifndef BENCH_SEARCHER_OPTIONS_H_
#define BENCH_SEARCHER_OPTIONS_H_

// Identity and behaviour of one stand-in searcher, read from JSON.
//
//   searcher_options options;
//   ApplyJson({{"service", "catalogue_1"}, {"median_us", 5000}}, &options);
//
// ApplyJson also applies changes that are received on the control port.

#include <boost/json.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bilberrycourse {

struct searcher_options {
  std::string service;
  std::string replica;
  std::string availability_zone = "z1";
  std::int64_t shard = 0;
  std::int64_t shard_count = 1;
  std::int64_t port = 0;
  // Maximum concurrent attempts; further ones are shed.
  std::int64_t slots = 2;
  // Maximum open connections; further ones are closed immediately.
  std::int64_t connection_limit = 25;
  // Delay before the first request of a new connection is read.
  std::int64_t connection_cost_us = 6000;
  // One-way network delay between the tier and this searcher.
  std::int64_t delay_us = 0;
  // Median of the lognormal service time.
  std::int64_t median_us = 5000;
  // Standard deviation of the logarithm of the service time.
  double sigma = 0.5;
  // Share of attempts whose service time is multiplied by
  // `straggler_factor`.
  double straggler_share = 0.01;
  double straggler_factor = 10;
  // Factor on every service time, to simulate sudden slowness.
  double slow_factor = 1;
  // The first `cold_requests` after a start take `cold_factor` times as long.
  std::int64_t cold_requests = 20;
  double cold_factor = 4;
  // A request whose body contains the marker crashes the searcher after
  // `crash_after_us`.
  std::string poison_marker = "poison";
  std::int64_t crash_after_us = 2000;
  // Time from a crash to the next start; 0 means that it stays down.
  std::int64_t restart_after_ms = 5000;
  // Maximum age of the value that /load reports; if negative, /load always
  // reports 0.
  std::int64_t load_lag_ms = 2000;
  // False for searchers that are started later through the control port.
  bool started = true;
  // Index versions served, ascending.
  std::vector<std::uint64_t> versions = {1};
};

// Throws std::runtime_error that names the field if a field is unknown or has
// the wrong type.
void ApplyJson(const boost::json::object& fields, searcher_options* options);

// Draws one service time in microseconds; `cold` applies `cold_factor`.
double DrawServiceTimeUs(const searcher_options& options, bool cold,
                         std::mt19937_64* random);

}  // namespace bilberrycourse

#endif  // BENCH_SEARCHER_OPTIONS_H_
