#include "bench/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace bilberrycourse {

tcp_endpoint ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  const std::string message = "not an IP:PORT address: " + std::string(text);
  if (colon == std::string_view::npos) throw std::runtime_error(message);
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [parsed, error] = std::from_chars(port_text.data(), end, port);
  boost::system::error_code address_error;
  const auto address =
      boost::asio::ip::make_address(std::string(host), address_error);
  if (error != std::errc() || parsed != end || address_error) {
    throw std::runtime_error(message);
  }
  return {address, port};
}

std::vector<tcp_endpoint> ParseEndpoints(std::string_view text) {
  std::vector<tcp_endpoint> endpoints;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    if (!item.empty()) endpoints.push_back(ParseEndpoint(item));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return endpoints;
}

}  // namespace bilberrycourse
