#ifndef APP_TESTING_SILENT_PROXY_H_
#define APP_TESTING_SILENT_PROXY_H_

// A TCP proxy on loopback whose open connections can fall silent.
//
//   silent_proxy proxy(&context, target_port);
//   transport.Dial("127.0.0.1:" + std::to_string(proxy.port()));
//   proxy.FallSilent();  // open connections lose all bytes, new ones work

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>

namespace bilberrycourse {

class silent_proxy {
 public:
  silent_proxy(boost::asio::io_context* context, std::uint16_t target_port)
      : target_(boost::asio::ip::make_address("127.0.0.1"), target_port),
        acceptor_(*context, {target_.address(), 0}) {
    Accept();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void FallSilent() { ++generation_; }

 private:
  using tcp = boost::asio::ip::tcp;

  struct link {
    explicit link(tcp::socket accepted)
        : front(std::move(accepted)), back(front.get_executor()) {}
    tcp::socket front;
    tcp::socket back;
    int generation = 0;
    std::array<std::array<char, 4096>, 2> buffers;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) return;
          auto accepted = std::make_shared<link>(std::move(socket));
          accepted->generation = generation_;
          boost::system::error_code failed;
          accepted->back.connect(target_, failed);
          if (!failed) {
            Forward(accepted, &accepted->front, &accepted->back, 0);
            Forward(accepted, &accepted->back, &accepted->front, 1);
          }
          Accept();
        });
  }

  // A silent link is read on, so that its ends see no full window either.
  void Forward(const std::shared_ptr<link>& forwarded, tcp::socket* from,
               tcp::socket* to, std::size_t direction) {
    auto& buffer = forwarded->buffers[direction];
    from->async_read_some(
        boost::asio::buffer(buffer),
        [this, forwarded, from, to, direction](
            const boost::system::error_code& error, std::size_t size) {
          if (error == boost::asio::error::operation_aborted) return;
          const bool silent = forwarded->generation != generation_;
          boost::system::error_code ignored;
          if (error) {
            if (!silent) to->close(ignored);
            return;
          }
          if (!silent) {
            boost::asio::write(
                *to, boost::asio::buffer(forwarded->buffers[direction], size),
                ignored);
          }
          Forward(forwarded, from, to, direction);
        });
  }

  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  int generation_ = 0;
};

}  // namespace bilberrycourse

#endif  // APP_TESTING_SILENT_PROXY_H_
