#ifndef APP_PEER_TRANSPORT_H_
#define APP_PEER_TRANSPORT_H_

// Links between the processes of the tier: TCP, 4-byte little-endian length,
// then a verified FlatBuffers peer_frame.
//
//   peer_transport transport(executor, options, handler);
//   transport.Listen();
//   transport.Dial("127.0.0.1:7002");
//   transport.Send("e2", frame);
//
// Both sides prove knowledge of the shared key before any other frame is
// read. A link that has not done so within the handshake timeout is closed,
// and the number of such links is limited, so that unauthenticated connections
// use few resources. There is one link for each pair of instances: if both dial
// at the same time, the link dialed by the instance with the smaller name is
// kept. The other one still reads for the handshake timeout, because the peer
// may use it until it knows of both, and counts as lost if nothing arrives on
// it meanwhile. A second link of the same dialer replaces the first and counts
// as its loss: the peer has given it up or is a new process.

#include <boost/asio/any_io_executor.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/peer_frame_generated.h"
#include "app/settings.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct peer_transport_options {
  instance_name self;
  socket_address listen;
  std::string shared_key;
  // Limits the TCP connect of a dialed link. An instance without power does not
  // answer, and it may be running again long before the kernel retransmits the
  // SYN.
  std::chrono::milliseconds connect_timeout{300};
  std::chrono::milliseconds handshake_timeout{2000};
  std::size_t max_unauthenticated_links = 64;
  std::size_t max_frame_bytes = 16 << 20;
  // Frames queued on all links. Beyond it, the link with the largest queue is
  // closed, because its peer does not read.
  std::size_t max_backlog_bytes = 64 << 20;
  // The side that dialed a link sends a ping with this period and closes the
  // link if nothing is received for `silence_timeout`; a period of 0 turns both
  // off. A link whose packets are lost without a reset can't be detected in any
  // other way. The dialer's new link replaces the old one on the other side.
  std::chrono::milliseconds ping_period{0};
  std::chrono::milliseconds silence_timeout{3000};
  // A link that Probe() was called for is closed if nothing is received for
  // this long.
  std::chrono::milliseconds probe_timeout{1500};
};

// Receives the events of all links, on the transport's executor.
class peer_transport_handler {
 public:
  virtual ~peer_transport_handler() = default;
  virtual void OnPeerConnected(const instance_name& peer) = 0;
  virtual void OnPeerDisconnected(const instance_name& peer) = 0;
  // `frame` is valid during the call only.
  virtual void OnPeerFrame(const instance_name& peer,
                           const wire::peer_frame& frame) = 0;
};

struct peer_transport_counters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t rejected_links = 0;
  // Links closed because their peer was silent.
  std::uint64_t silent_links = 0;
  // Links closed because too much was queued.
  std::uint64_t backlog_closes = 0;
};

class peer_transport {
 public:
  peer_transport(boost::asio::any_io_executor executor,
                 peer_transport_options options,
                 peer_transport_handler* handler);
  ~peer_transport();

  boost::leaf::result<void> Listen();
  // Opens a link unless one to this address is open or being opened.
  void Dial(const std::string& address);
  bool Connected(const instance_name& peer) const;
  std::vector<instance_name> connected_peers() const;
  // Returns false if there is no link to `peer`; the frame is then dropped.
  bool Send(const instance_name& peer, const wire::peer_frameT& frame);
  // Finds out within `probe_timeout` whether the link to `peer`, dialed by
  // either side, still carries frames, and closes it otherwise. Called when an
  // expected frame has not arrived; further calls meanwhile have no effect.
  void Probe(const instance_name& peer);
  // Sends to the peer that was dialed at `address`.
  bool SendToAddress(const std::string& address,
                     const wire::peer_frameT& frame);
  // Returns whether the systems of all peers have acknowledged every frame sent
  // to them. Close() may lose the others.
  bool delivered() const;
  // Bytes of frames that are queued on all links.
  std::uint64_t backlog_bytes() const;
  void Close();
  const peer_transport_counters& counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace bilberrycourse

#endif  // APP_PEER_TRANSPORT_H_
