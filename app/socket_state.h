#ifndef APP_SOCKET_STATE_H_
#define APP_SOCKET_STATE_H_

// What the system knows about a TCP connection.

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/tcp.hpp>

namespace bilberrycourse {

// Returns the number of sent bytes that the peer's system has not acknowledged;
// 0 if that is unknown.
inline int UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

}  // namespace bilberrycourse

#endif  // APP_SOCKET_STATE_H_
