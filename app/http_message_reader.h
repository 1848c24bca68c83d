#ifndef APP_HTTP_MESSAGE_READER_H_
#define APP_HTTP_MESSAGE_READER_H_

// Reads HTTP/1.1 messages from a stream with bounds on memory and on bytes.
//
//   http_message_reader<false> reader(limits);
//   reader.BeginExchange();
//   reader.BeginMessage();
//   reader.AsyncRead(stream, [this](const error_code& error) { ... });
//   auto message = reader.parser().release();
//
// The limits of Beast's parser cover the head and the decoded body, but not
// chunk extensions, trailer fields or further messages, which a faulty peer can
// send without end. This reader therefore also limits the buffer in which Beast
// collects an incomplete element, and counts all bytes of an exchange: heads,
// interim and foreign messages, chunk framing and trailers. A memory_holder
// bounds what a group of readers holds together.
//
// A response whose status HTTP does not have, and a switch to another protocol,
// which no client asks for, end with http::error::bad_status as soon as the
// head is read. Beast accepts any three digits.
//
// Reading stops at the first byte beyond a limit; IsSizeLimit() is true for the
// error. If the memory must be given up, the error is kOutOfMemory. The caller
// then closes the connection.

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/errc.hpp>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

#include "bilberrycourse/memory_budget.h"

namespace bilberrycourse {

struct http_read_limits {
  std::uint32_t max_head_bytes = 8192;
  std::uint64_t max_body_bytes = 1 << 20;
  // All bytes from BeginExchange() on.
  std::uint64_t max_exchange_bytes = 2 << 20;
};

// The error of a reader whose memory_holder has been refused.
inline constexpr auto kOutOfMemory = boost::system::errc::not_enough_memory;

// Returns true if `error` reports that a message exceeds its limits.
inline bool IsSizeLimit(const boost::beast::error_code& error) {
  namespace http = boost::beast::http;
  return error == http::error::body_limit ||
         error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

// Returns true if the message has no transfer coding or only `chunked`, once.
// Beast ignores other codings and would take the body for the next message.
template <typename Fields>
bool IsTransferCodingSupported(const Fields& fields) {
  const auto [first, last] =
      fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (first == last) return true;
  return std::next(first) == last &&
         boost::beast::iequals(first->value(), "chunked");
}

// Returns true if a response may have this status.
inline bool IsResponseStatus(unsigned status) {
  namespace http = boost::beast::http;
  return status >= 100 && status <= 599 &&
         status != static_cast<unsigned>(http::status::switching_protocols);
}

template <bool is_request>
class http_message_reader {
 public:
  using message_parser =
      boost::beast::http::parser<is_request, boost::beast::http::string_body>;

  // Resizes `holder`, which may be null, to the memory that the reader holds.
  explicit http_message_reader(const http_read_limits& limits,
                               memory_holder* holder = nullptr)
      : limits_(limits),
        holder_(holder),
        buffer_(std::size_t{limits.max_head_bytes} + kMaxReadBytes) {
    BeginMessage();
  }
  http_message_reader(const http_message_reader&) = delete;
  http_message_reader& operator=(const http_message_reader&) = delete;

  // Starts counting the bytes of the next exchange.
  void BeginExchange() { exchange_bytes_ = 0; }
  // Discards the current message. Bytes received after it are kept.
  void BeginMessage() {
    parser_.emplace();
    head_bytes_ = 0;
    head_lines_ = 0;
    field_bytes_.reset();
    parser_->header_limit(limits_.max_head_bytes);
    parser_->body_limit(limits_.max_body_bytes);
    parser_->eager(true);
    // A large head must not keep its buffer while the connection is idle.
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBytes) {
      buffer_.shrink_to_fit();
    }
    // Frees what the previous message held.
    ChargeMemory();
  }

  // Reads until the message is complete or an error occurs, then calls
  // `handler(error_code)`. Returns without calling it if `handler` must wait
  // for the stream. The reader must live until the handler is called. The error
  // is http::error::end_of_stream if the peer closed before a message.
  template <typename Stream, typename Handler>
  void AsyncRead(Stream& stream, Handler handler) {
    const boost::beast::error_code parsed = Parse();
    if (!ChargeMemory()) return handler(make_error_code(kOutOfMemory));
    if (parsed != boost::beast::http::error::need_more) return handler(parsed);
    const std::size_t size = boost::beast::read_size(buffer_, kMaxReadBytes);
    if (size == 0) {
      return handler(
          make_error_code(boost::beast::http::error::buffer_overflow));
    }
    stream.async_read_some(
        buffer_.prepare(size), [this, &stream, handler = std::move(handler)](
                                   const boost::beast::error_code& error,
                                   std::size_t received) mutable {
          buffer_.commit(received);
          exchange_bytes_ += received;
          if (error == boost::asio::error::eof) return handler(OnEndOfStream());
          if (error) return handler(error);
          if (exchange_bytes_ > limits_.max_exchange_bytes) {
            return handler(
                make_error_code(boost::beast::http::error::body_limit));
          }
          AsyncRead(stream, std::move(handler));
        });
  }

  message_parser& parser() { return *parser_; }
  // Returns true if bytes were received after the current message.
  bool has_unread_bytes() const { return buffer_.size() > 0; }
  // Memory in bytes that the reader holds for the connection.
  std::size_t held_bytes() {
    return buffer_.capacity() + FieldBytes() + parser_->get().body().capacity();
  }
  void Clear() {
    buffer_.clear();
    BeginMessage();
  }

 private:
  static constexpr std::size_t kMaxReadBytes = 64 * 1024;
  static constexpr std::size_t kMaxIdleBytes = 1024;
  // Of a field in the message and of its copy in the request to a searcher.
  static constexpr std::size_t kFieldOverheadBytes = 160;

  // Returns false if the memory must be given up.
  bool ChargeMemory() {
    return holder_ == nullptr || holder_->Resize(held_bytes());
  }

  // Beast stores each field in an allocation of its own, so that a head of
  // short fields takes many times its size.
  std::size_t FieldBytes() {
    if (!parser_->is_header_done()) {
      return head_lines_ * kFieldOverheadBytes + head_bytes_;
    }
    if (!field_bytes_.has_value()) {
      field_bytes_ = 0;
      for (const auto& field : parser_->get()) {
        *field_bytes_ += kFieldOverheadBytes + field.name_string().size() +
                         field.value().size();
      }
    }
    return *field_bytes_;
  }

  // Returns need_more if the message is incomplete.
  boost::beast::error_code Parse() {
    boost::beast::error_code error;
    while (!parser_->is_done()) {
      if (buffer_.size() == 0) return boost::beast::http::error::need_more;
      const std::size_t size = parser_->put(buffer_.data(), error);
      if (!parser_->is_header_done()) CountHead(size);
      buffer_.consume(size);
      if (!HasValidStatus()) return boost::beast::http::error::bad_status;
      if (error) return error;
    }
    return error;
  }

  bool HasValidStatus() {
    if constexpr (is_request) {
      return true;
    } else {
      return !parser_->is_header_done() ||
             IsResponseStatus(parser_->get().result_int());
    }
  }

  // Counts the first `size` bytes of the buffer as part of an incomplete head.
  void CountHead(std::size_t size) {
    const char* data = static_cast<const char*>(buffer_.data().data());
    head_bytes_ += size;
    head_lines_ +=
        static_cast<std::size_t>(std::count(data, data + size, '\n'));
  }

  // A message without a length ends with the stream.
  boost::beast::error_code OnEndOfStream() {
    boost::beast::error_code error = Parse();
    if (error != boost::beast::http::error::need_more) return error;
    if (!parser_->got_some()) return boost::beast::http::error::end_of_stream;
    error = {};
    parser_->put_eof(error);
    return error;
  }

  http_read_limits limits_;
  memory_holder* holder_;
  boost::beast::flat_buffer buffer_;
  std::optional<message_parser> parser_;
  // Of the current message, until its head is complete.
  std::size_t head_bytes_ = 0;
  std::size_t head_lines_ = 0;
  // Memory of the fields of the current message, once its head is complete.
  std::optional<std::size_t> field_bytes_;
  std::uint64_t exchange_bytes_ = 0;
};

}  // namespace bilberrycourse

#endif  // APP_HTTP_MESSAGE_READER_H_
