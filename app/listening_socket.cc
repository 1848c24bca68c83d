#include "app/listening_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <csignal>

#include "app/json_log.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kBindRetryDelay{100};
// A wait for an address is logged at its start and then this often.
constexpr std::chrono::seconds kBindLogPeriod{5};

bool MayBecomeFree(const boost::system::error_code& error) {
  return error == asio::error::address_in_use ||
         error == boost::system::errc::address_not_available;
}

// Returns false if the address may become free; `address` is then its text.
leaf::result<bool> TryListen(const std::function<leaf::result<void>()>& listen,
                             std::string* address) {
  return leaf::try_handle_some(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(listen());
        return true;
      },
      [&](leaf::match<result_code, result_code::kAddressInUse>,
          const std::string& used_address) -> leaf::result<bool> {
        *address = used_address;
        return false;
      });
}

}  // namespace

leaf::result<void> BindAndListen(const socket_address& address,
                                 tcp::acceptor* acceptor) {
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error),
                               address.port);
  if (!error) acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor->bind(endpoint, error);
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) return {};
  boost::system::error_code ignored;
  acceptor->close(ignored);
  if (MayBecomeFree(error)) {
    return leaf::new_error(result_code::kAddressInUse, address.ToText());
  }
  return leaf::new_error(result_code::kAddressNotBound,
                         address.ToText() + ": " + error.message());
}

leaf::result<bool> ListenWhenFree(
    const std::function<leaf::result<void>()>& listen) {
  std::string address;
  BOOST_LEAF_AUTO(listens_at_once, TryListen(listen, &address));
  if (listens_at_once) return true;
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  bool stopped = false;
  signals.async_wait(
      [&](const boost::system::error_code& error, int) { stopped = !error; });
  auto log_due = std::chrono::steady_clock::now();
  while (!stopped) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= log_due) {
      log_due = now + kBindLogPeriod;
      LogEvent(log_level::kWarning, "address_awaited", {{"address", address}});
    }
    context.run_for(kBindRetryDelay);
    BOOST_LEAF_AUTO(listens, TryListen(listen, &address));
    if (listens) return !stopped;
  }
  return false;
}

bool IsResourceShortage(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open ||
         error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory;
}

}  // namespace bilberrycourse
