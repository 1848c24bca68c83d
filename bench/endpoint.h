#ifndef BENCH_ENDPOINT_H_
#define BENCH_ENDPOINT_H_

// Parses the addresses given to the programs of the bench rig.
//
//   std::vector<tcp_endpoint> entries = ParseEndpoints("127.0.0.1:1,[::1]:2");

#include <boost/asio/ip/tcp.hpp>
#include <string_view>
#include <vector>

namespace bilberrycourse {

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// Parses IP:PORT or [IPV6]:PORT; throws std::runtime_error if `text` is
// malformed.
tcp_endpoint ParseEndpoint(std::string_view text);

// Parses a comma-separated list; empty items are skipped.
std::vector<tcp_endpoint> ParseEndpoints(std::string_view text);

}  // namespace bilberrycourse

#endif  // BENCH_ENDPOINT_H_
