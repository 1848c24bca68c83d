#ifndef BENCH_STAND_IN_CONTROL_H_
#define BENCH_STAND_IN_CONTROL_H_

// Control port of the stand-in searchers.
//
//   stand_in_control control(&searchers, endpoint, &context);
//   control.Start();
//   context.run();  // On its own thread: requests block on the searchers.
//
//   POST /control {"names": [NAME...], "action": ACTION, ...} with ACTION
//     set      change "fields": {...} of searcher_options
//     drain    announce `draining`
//     kill     close all sockets; restart after "restart_after_ms" (default
//              0: stay down)
//     start    start again with a higher incarnation
//     publish  add "version" after a random delay of up to "spread_ms"
//     retire   remove "version" after a random delay of up to "spread_ms"
//     reset    set the counters to 0
//   Without "names" the action applies to all searchers.
//   GET /counters   sums of the counters, tokens that ran more than once
//   GET /searchers  one report for each searcher
//   GET /tokens     number of runs by token

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "bench/endpoint.h"
#include "bench/stand_in_searcher.h"

namespace bilberrycourse {

class stand_in_control {
 public:
  // `searchers` must run on other threads than `context`.
  stand_in_control(std::vector<std::unique_ptr<stand_in_searcher>>* searchers,
                   const tcp_endpoint& endpoint,
                   boost::asio::io_context* context);
  void Start();

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  // Throws std::exception if the request is not valid.
  boost::json::value Handle(std::string_view target, const std::string& body);
  void Apply(const boost::json::object& command);
  std::map<std::string, std::int64_t> RunsByToken();

  std::vector<std::unique_ptr<stand_in_searcher>>* searchers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mt19937_64 random_;
};

}  // namespace bilberrycourse

#endif  // BENCH_STAND_IN_CONTROL_H_
