#ifndef APP_LISTENING_SOCKET_H_
#define APP_LISTENING_SOCKET_H_

// Listening TCP sockets of a daemon.
//
//   BOOST_LEAF_CHECK(BindAndListen({"127.0.0.1", 8001}, &acceptor));
//
// An address that another process uses, or that the machine does not have yet,
// may become free: the process before it may still be ending. A daemon waits
// for it, not ready, because a restart would find the same. Other failures,
// such as a port that only root may bind, are final.

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <functional>

#include "app/settings.h"

namespace bilberrycourse {

// Delay before the next accept() after one for which the process had no
// descriptors or memory. Connections stay in the queue of the system meanwhile.
inline constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

// Opens the acceptor. Fails with kAddressInUse if the address may become free
// and with kAddressNotBound otherwise, both with the address as text.
boost::leaf::result<void> BindAndListen(
    const socket_address& address, boost::asio::ip::tcp::acceptor* acceptor);

// Calls `listen` again and again while it fails with kAddressInUse. Returns
// false if SIGTERM or SIGINT arrived meanwhile. Blocks the thread.
boost::leaf::result<bool> ListenWhenFree(
    const std::function<boost::leaf::result<void>()>& listen);

// Returns true if accept() failed for lack of descriptors or memory, and would
// fail again at once.
bool IsResourceShortage(const boost::system::error_code& error);

}  // namespace bilberrycourse

#endif  // APP_LISTENING_SOCKET_H_
