#include "app/peer_transport.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "app/json_log.h"
#include "app/listening_socket.h"
#include "app/socket_state.h"
#include "bilberrycourse/memory_budget.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using bytes = std::vector<std::uint8_t>;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
// A probe waits for several periods instead of reading the clock, so that time
// for which this process itself is paused does not count as silence.
constexpr int kProbePeriods = 3;

bytes RandomNonce() {
  bytes nonce(kNonceBytes);
  RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
  return nonce;
}

void AppendField(std::string* text, std::string_view field) {
  std::uint32_t size = static_cast<std::uint32_t>(field.size());
  boost::endian::native_to_little_inplace(size);
  text->append(reinterpret_cast<const char*>(&size), sizeof(size));
  text->append(field);
}

std::string_view AsText(const bytes& data) {
  return {reinterpret_cast<const char*>(data.data()), data.size()};
}

struct handshake_transcript {
  std::string dialer;
  std::string acceptor;
  bytes dialer_nonce;
  bytes acceptor_nonce;
};

bytes Mac(const std::string& key, std::string_view role,
          const handshake_transcript& transcript) {
  std::string text;
  AppendField(&text, role);
  AppendField(&text, transcript.dialer);
  AppendField(&text, transcript.acceptor);
  AppendField(&text, AsText(transcript.dialer_nonce));
  AppendField(&text, AsText(transcript.acceptor_nonce));
  bytes mac(EVP_MAX_MD_SIZE);
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  mac.resize(size);
  return mac;
}

bool EqualMac(const bytes& expected, const std::uint8_t* data,
              std::size_t size) {
  return expected.size() == size &&
         CRYPTO_memcmp(expected.data(), data, size) == 0;
}

using encoded_frame = std::shared_ptr<const std::string>;

encoded_frame Encode(const wire::peer_frameT& frame) {
  flatbuffers::FlatBufferBuilder builder(512);
  builder.Finish(wire::peer_frame::Pack(builder, &frame));
  std::uint32_t size = builder.GetSize();
  boost::endian::native_to_little_inplace(size);
  auto out = std::make_shared<std::string>();
  out->reserve(kLengthBytes + builder.GetSize());
  out->append(reinterpret_cast<const char*>(&size), kLengthBytes);
  out->append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
              builder.GetSize());
  return out;
}

}  // namespace

enum class link_state : std::uint8_t {
  kAwaitHello,
  kAwaitProof,
  kOpen,
  kClosed
};

class peer_transport::impl : public std::enable_shared_from_this<impl> {
 public:
  class link;
  using link_pointer = std::shared_ptr<link>;

  impl(asio::any_io_executor io_executor,
       peer_transport_options transport_options,
       peer_transport_handler* event_handler)
      : executor(std::move(io_executor)),
        acceptor(executor),
        accept_timer(executor),
        options(std::move(transport_options)),
        handler(event_handler),
        backlog(options.max_backlog_bytes) {}

  boost::leaf::result<void> Listen();
  void Accept();
  void AcceptLater();
  void Dial(const std::string& address);
  void Remove(const link_pointer& closed_link);
  void OnLinkOpened(const link_pointer& new_link);
  void OnRetiredLinkLost(const instance_name& peer);
  void Close();

  link_pointer FindOpen(const instance_name& peer) const {
    const auto found = open.find(peer);
    return found == open.end() ? nullptr : found->second;
  }

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  peer_transport_options options;
  peer_transport_handler* handler;
  peer_transport_counters counters;
  memory_budget backlog;
  std::map<instance_name, link_pointer> open;
  // Every link that is not closed, so that Close() reaches all of them.
  std::set<link_pointer> links;
  std::map<std::string, link_pointer> dialed;
  std::size_t unauthenticated = 0;
  bool closing = false;
};

class peer_transport::impl::link : public std::enable_shared_from_this<link> {
 public:
  link(std::shared_ptr<impl> owner, tcp::socket socket, bool dialer,
       std::string address)
      : owner_(std::move(owner)),
        socket_(std::move(socket)),
        timer_(owner_->executor),
        probe_timer_(owner_->executor),
        backlog_(&owner_->backlog, [this] { CloseForBacklog(); }),
        dialer_(dialer),
        address_(std::move(address)) {}

  void StartDial(const tcp::endpoint& endpoint) {
    ArmOpeningTimer(owner_->options.connect_timeout);
    auto self = shared_from_this();
    socket_.async_connect(endpoint,
                          [self](const boost::system::error_code& error) {
                            if (error) return self->Close();
                            self->StartConnected();
                          });
  }

  void StartConnected() {
    ArmOpeningTimer(owner_->options.handshake_timeout);
    StartHandshake();
  }

  void SendFrame(const wire::peer_frameT& frame) { Queue(Encode(frame)); }

  void Probe() {
    if (probe_periods_left_ > 0) return;
    probe_periods_left_ = kProbePeriods;
    SendPing(false);
    ArmProbe();
  }

  // Closes the link after a while in favour of another one to the same peer.
  // Until then it still reads, because the peer may use it until it knows of
  // the other link. `heard` is false if the link may belong to a process of the
  // peer that has ended.
  void Retire(bool heard) {
    if (state_ != link_state::kOpen || retiring_) return;
    retiring_ = true;
    heard_ = heard;
    SendPing(false);
    timer_.expires_after(owner_->options.handshake_timeout);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) self->Close();
        });
  }

  void Close() {
    if (state_ == link_state::kClosed) return;
    const bool was_open = state_ == link_state::kOpen;
    state_ = link_state::kClosed;
    timer_.cancel();
    probe_timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (!was_open) {
      if (!dialer_) {
        --owner_->unauthenticated;
        ++owner_->counters.rejected_links;
      }
    }
    owner_->Remove(shared_from_this());
    if (retiring_ && !heard_) owner_->OnRetiredLinkLost(peer_);
  }

  bool delivered() {
    return backlog_bytes_ == 0 && UnacknowledgedBytes(socket_) == 0;
  }
  const instance_name& peer() const { return peer_; }
  const std::string& address() const { return address_; }
  bool open() const { return state_ == link_state::kOpen; }
  bool dialer() const { return dialer_; }

  // Name of the instance that dialed this link.
  const instance_name& dialed_by() const {
    return dialer_ ? owner_->options.self : peer_;
  }

 private:
  void ArmOpeningTimer(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->open()) self->Close();
        });
  }

  void StartHandshake() {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (dialer_) {
      transcript_.dialer = owner_->options.self;
      transcript_.dialer_nonce = RandomNonce();
      SendHello(transcript_.dialer_nonce);
    }
    ReadLength();
  }

  void SendHello(const bytes& nonce) {
    wire::helloT hello;
    hello.name = owner_->options.self;
    hello.nonce = nonce;
    wire::peer_frameT frame;
    frame.payload.Set(std::move(hello));
    SendFrame(frame);
  }

  void SendProof(std::string_view role) {
    wire::proofT proof;
    proof.mac = Mac(owner_->options.shared_key, role, transcript_);
    wire::peer_frameT frame;
    frame.payload.Set(std::move(proof));
    SendFrame(frame);
  }

  void Queue(encoded_frame frame) {
    if (state_ == link_state::kClosed) return;
    backlog_bytes_ += frame->size();
    if (!backlog_.Resize(backlog_bytes_)) return CloseForBacklog();
    ++owner_->counters.frames_sent;
    owner_->counters.bytes_sent += frame->size();
    queue_.push_back(std::move(frame));
    if (!writing_) Write();
  }

  // Closing calls the handler, which must not run inside its own Send().
  void CloseForBacklog() {
    asio::post(owner_->executor, [self = shared_from_this()] {
      if (self->state_ == link_state::kClosed) return;
      ++self->owner_->counters.backlog_closes;
      LogEvent(log_level::kWarning, "peer_backlog_exceeded",
               {{"peer", self->peer_},
                {"queued_bytes", self->backlog_bytes_},
                {"max_bytes", self->owner_->backlog.max_bytes()}});
      self->Close();
    });
  }

  // Writes all queued frames at once, so that a burst of small frames needs
  // only one system call.
  void Write() {
    writing_ = true;
    frames_in_write_.assign(queue_.begin(), queue_.end());
    queue_.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(frames_in_write_.size());
    for (const encoded_frame& frame : frames_in_write_) {
      buffers.push_back(asio::buffer(*frame));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        if (error) return self->Close();
                        self->WriteDone();
                      });
  }

  void WriteDone() {
    for (const encoded_frame& frame : frames_in_write_) {
      backlog_bytes_ -= frame->size();
    }
    frames_in_write_.clear();
    backlog_.Resize(backlog_bytes_);
    writing_ = false;
    if (!queue_.empty()) Write();
  }

  void ReadLength() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](
                         const boost::system::error_code& error, std::size_t) {
                       if (error) return self->Close();
                       self->ReadBody();
                     });
  }

  void ReadBody() {
    const std::uint32_t size = boost::endian::load_little_u32(length_.data());
    const std::size_t limit =
        open() ? owner_->options.max_frame_bytes : kMaxHandshakeFrameBytes;
    if (size == 0 || size > limit) return Close();
    body_.resize(size);
    asio::async_read(socket_, asio::buffer(body_),
                     [self = shared_from_this()](
                         const boost::system::error_code& error, std::size_t) {
                       if (error) return self->Close();
                       self->HandleBody();
                     });
  }

  void HandleBody() {
    silent_periods_ = 0;
    heard_ = true;
    if (std::exchange(probe_periods_left_, 0) > 0) probe_timer_.cancel();
    ++owner_->counters.frames_received;
    owner_->counters.bytes_received += kLengthBytes + body_.size();
    flatbuffers::Verifier verifier(body_.data(), body_.size());
    if (!verifier.VerifyBuffer<wire::peer_frame>()) return Close();
    const auto* frame = flatbuffers::GetRoot<wire::peer_frame>(body_.data());
    if (const wire::ping* ping = frame->payload_as_ping()) {
      if (open() && !ping->echo()) SendPing(true);
    } else if (open()) {
      owner_->handler->OnPeerFrame(peer_, *frame);
    } else {
      HandleHandshake(*frame);
    }
    if (state_ != link_state::kClosed) ReadLength();
  }

  void HandleHandshake(const wire::peer_frame& frame) {
    if (state_ == link_state::kAwaitHello) {
      HandleHello(frame.payload_as_hello());
    } else {
      HandleProof(frame.payload_as_proof());
    }
  }

  void HandleHello(const wire::hello* hello) {
    if (hello == nullptr || hello->name() == nullptr ||
        hello->nonce() == nullptr || hello->nonce()->size() != kNonceBytes ||
        hello->name()->str() == owner_->options.self) {
      return Close();
    }
    peer_ = hello->name()->str();
    const bytes nonce(hello->nonce()->begin(), hello->nonce()->end());
    if (dialer_) {
      transcript_.acceptor = peer_;
      transcript_.acceptor_nonce = nonce;
      SendProof("dialer");
    } else {
      transcript_.dialer = peer_;
      transcript_.dialer_nonce = nonce;
      transcript_.acceptor = owner_->options.self;
      transcript_.acceptor_nonce = RandomNonce();
      SendHello(transcript_.acceptor_nonce);
    }
    state_ = link_state::kAwaitProof;
  }

  void HandleProof(const wire::proof* proof) {
    if (proof == nullptr || proof->mac() == nullptr) return Close();
    const bytes expected = Mac(owner_->options.shared_key,
                               dialer_ ? "acceptor" : "dialer", transcript_);
    if (!EqualMac(expected, proof->mac()->data(), proof->mac()->size())) {
      return Close();
    }
    if (!dialer_) SendProof("acceptor");
    if (!dialer_) --owner_->unauthenticated;
    state_ = link_state::kOpen;
    timer_.cancel();
    if (dialer_ && owner_->options.ping_period.count() > 0) ArmPing();
    owner_->OnLinkOpened(shared_from_this());
  }

  void ArmPing() {
    timer_.expires_after(owner_->options.ping_period);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && self->open() && !self->retiring_) self->OnPingTimer();
        });
  }

  // Counts ping periods instead of reading the clock, so that time for which
  // this process itself is paused does not count as silence of the peer.
  void OnPingTimer() {
    ++silent_periods_;
    if (silent_periods_ * owner_->options.ping_period >=
        owner_->options.silence_timeout) {
      return CloseSilent();
    }
    SendPing(false);
    ArmPing();
  }

  void ArmProbe() {
    probe_timer_.expires_after(owner_->options.probe_timeout / kProbePeriods);
    probe_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->probe_periods_left_ == 0) return;
          if (--self->probe_periods_left_ == 0) return self->CloseSilent();
          self->ArmProbe();
        });
  }

  void CloseSilent() {
    if (state_ == link_state::kClosed) return;
    ++owner_->counters.silent_links;
    Close();
  }

  void SendPing(bool echo) {
    wire::pingT ping;
    ping.echo = echo;
    wire::peer_frameT frame;
    frame.payload.Set(std::move(ping));
    SendFrame(frame);
  }

  std::shared_ptr<impl> owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer probe_timer_;
  memory_holder backlog_;
  const bool dialer_;
  const std::string address_;
  link_state state_ = link_state::kAwaitHello;
  instance_name peer_;
  handshake_transcript transcript_;
  std::array<std::uint8_t, kLengthBytes> length_{};
  bytes body_;
  std::deque<encoded_frame> queue_;
  std::vector<encoded_frame> frames_in_write_;
  std::size_t backlog_bytes_ = 0;
  bool writing_ = false;
  // Set once another link to the peer is used.
  bool retiring_ = false;
  // Whether something has arrived since then.
  bool heard_ = false;
  int silent_periods_ = 0;
  // 0 unless a probe is unanswered.
  int probe_periods_left_ = 0;
};

boost::leaf::result<void> peer_transport::impl::Listen() {
  BOOST_LEAF_CHECK(BindAndListen(options.listen, &acceptor));
  Accept();
  return {};
}

void peer_transport::impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (self->closing) return;
        if (!error) {
          if (self->unauthenticated < self->options.max_unauthenticated_links) {
            ++self->unauthenticated;
            auto new_link =
                std::make_shared<link>(self, std::move(socket), false, "");
            self->links.insert(new_link);
            new_link->StartConnected();
          } else {
            ++self->counters.rejected_links;
          }
        }
        if (IsResourceShortage(error)) return self->AcceptLater();
        self->Accept();
      });
}

void peer_transport::impl::AcceptLater() {
  accept_timer.expires_after(kAcceptRetryDelay);
  accept_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->closing) self->Accept();
      });
}

void peer_transport::impl::Dial(const std::string& address) {
  if (closing || dialed.contains(address)) return;
  socket_address parsed;
  if (!ParseSocketAddress(address, &parsed)) return;
  auto new_link = std::make_shared<link>(shared_from_this(),
                                         tcp::socket(executor), true, address);
  links.insert(new_link);
  dialed[address] = new_link;
  new_link->StartDial({asio::ip::make_address(parsed.ip), parsed.port});
}

void peer_transport::impl::OnLinkOpened(const link_pointer& new_link) {
  const link_pointer existing_link = FindOpen(new_link->peer());
  if (existing_link != nullptr) {
    // If both sides have dialed, the link dialed by the smaller name is kept.
    // The peer may be a new process that does not know of the link that it
    // dialed before, so the older link must show that it still works.
    if (new_link->dialed_by() > existing_link->dialed_by()) {
      new_link->Retire(/*heard=*/true);
      existing_link->Probe();
      return;
    }
    if (new_link->dialed_by() != existing_link->dialed_by()) {
      existing_link->Retire(/*heard=*/false);
      open[new_link->peer()] = new_link;
      return;
    }
    asio::post(executor, [existing_link] { existing_link->Close(); });
    // A second link from the same dialer replaces the first, which is broken
    // although this side has not detected it. The peer may be a new process, so
    // what depends on the first link must end.
    open.erase(new_link->peer());
    handler->OnPeerDisconnected(new_link->peer());
  }
  open[new_link->peer()] = new_link;
  handler->OnPeerConnected(new_link->peer());
}

// What was sent on the link has not arrived, although another link to the peer
// is open.
void peer_transport::impl::OnRetiredLinkLost(const instance_name& peer) {
  if (closing || !open.contains(peer)) return;
  handler->OnPeerDisconnected(peer);
  if (open.contains(peer)) handler->OnPeerConnected(peer);
}

void peer_transport::impl::Remove(const link_pointer& closed_link) {
  links.erase(closed_link);
  const auto dialed_entry = dialed.find(closed_link->address());
  if (dialed_entry != dialed.end() && dialed_entry->second == closed_link)
    dialed.erase(dialed_entry);
  const auto found = open.find(closed_link->peer());
  if (found != open.end() && found->second == closed_link) {
    open.erase(found);
    if (!closing) handler->OnPeerDisconnected(closed_link->peer());
  }
}

void peer_transport::impl::Close() {
  closing = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  accept_timer.cancel();
  const auto closing_links = links;
  for (const link_pointer& open_link : closing_links) open_link->Close();
}

peer_transport::peer_transport(boost::asio::any_io_executor executor,
                               peer_transport_options options,
                               peer_transport_handler* handler)
    : impl_(std::make_shared<impl>(std::move(executor), std::move(options),
                                   handler)) {}

peer_transport::~peer_transport() { impl_->Close(); }

boost::leaf::result<void> peer_transport::Listen() { return impl_->Listen(); }

void peer_transport::Dial(const std::string& address) { impl_->Dial(address); }

bool peer_transport::Connected(const instance_name& peer) const {
  return impl_->FindOpen(peer) != nullptr;
}

std::vector<instance_name> peer_transport::connected_peers() const {
  std::vector<instance_name> peers;
  peers.reserve(impl_->open.size());
  for (const auto& [name, unused] : impl_->open) peers.push_back(name);
  return peers;
}

bool peer_transport::Send(const instance_name& peer,
                          const wire::peer_frameT& frame) {
  const auto found = impl_->FindOpen(peer);
  if (found == nullptr) return false;
  found->SendFrame(frame);
  return true;
}

void peer_transport::Probe(const instance_name& peer) {
  const auto found = impl_->FindOpen(peer);
  if (found != nullptr) found->Probe();
}

bool peer_transport::SendToAddress(const std::string& address,
                                   const wire::peer_frameT& frame) {
  const auto found = impl_->dialed.find(address);
  if (found == impl_->dialed.end() || !found->second->open()) return false;
  found->second->SendFrame(frame);
  return true;
}

bool peer_transport::delivered() const {
  return std::all_of(
      impl_->open.begin(), impl_->open.end(),
      [](const auto& entry) { return entry.second->delivered(); });
}

std::uint64_t peer_transport::backlog_bytes() const {
  return impl_->backlog.used_bytes();
}

void peer_transport::Close() { impl_->Close(); }

const peer_transport_counters& peer_transport::counters() const {
  return impl_->counters;
}

}  // namespace bilberrycourse
