#ifndef APP_SHARED_STRING_BODY_H_
#define APP_SHARED_STRING_BODY_H_

// A message body for Beast that refers to a text which other messages share.
//
//   boost::beast::http::request<shared_string_body> request;
//   request.body() = text;  // a shared_body, null for an empty body
//
// A request is sent to a searcher of each shard, again when it is retried, and
// stays until it has been written; all copies refer to one text.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <utility>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Meets the requirements of Beast's Body that a serializer needs. Their names
// are Beast's.
struct shared_string_body {
  using value_type = shared_body;

  static std::uint64_t size(const value_type& body) {
    return body == nullptr ? 0 : body->size();
  }

  class writer {
   public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool is_request, typename Fields>
    writer(const boost::beast::http::header<is_request, Fields>&,
           const value_type& body)
        : body_(body) {}

    void init(boost::beast::error_code& error) { error = {}; }

    boost::optional<std::pair<const_buffers_type, bool>> get(
        boost::beast::error_code& error) {
      error = {};
      if (body_ == nullptr) return {{const_buffers_type(), false}};
      return {{const_buffers_type(body_->data(), body_->size()), false}};
    }

   private:
    const value_type& body_;
  };
};

}  // namespace bilberrycourse

#endif  // APP_SHARED_STRING_BODY_H_
