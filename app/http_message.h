#ifndef APP_HTTP_MESSAGE_H_
#define APP_HTTP_MESSAGE_H_

// Builds outgoing messages without exceptions.
//
//   SetContentLength(&request);
//   if (!AddField(&response, name, value)) ...
//
// The functions of Beast throw for messages that Beast does not want to build:
// prepare_payload() for a TRACE request with a body, insert() for a field of
// more than 64 KB, result() for a status above 999. What is forwarded comes
// from callers and backend servers, and an exception ends the process, so these
// functions take every message or return false.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bilberrycourse {

// Largest name or value of a field that Beast stores, in bytes.
inline constexpr std::size_t kMaxFieldBytes = 65533;
inline constexpr unsigned kMaxHttpStatus = 999;

// Returns false and adds nothing if the field is too large.
template <typename Message>
bool AddField(Message* message, std::string_view name, std::string_view value) {
  if (name.empty() || name.size() > kMaxFieldBytes ||
      value.size() > kMaxFieldBytes) {
    return false;
  }
  message->insert(name, value);
  return true;
}

// Sets Content-Length to the size of the body. A request without a body gets
// none, unless its method usually has one (RFC 9110, section 8.6).
template <typename Body>
void SetContentLength(boost::beast::http::request<Body>* request) {
  namespace http = boost::beast::http;
  const http::verb method = request->method();
  const std::uint64_t size = Body::size(request->body());
  if (size == 0 && method != http::verb::options && method != http::verb::put &&
      method != http::verb::post) {
    return request->chunked(false);
  }
  request->content_length(size);
}

// Drops the body of a response whose status allows none.
inline void SetContentLength(
    boost::beast::http::response<boost::beast::http::string_body>* response) {
  namespace http = boost::beast::http;
  if (http::to_status_class(response->result()) ==
          http::status_class::informational ||
      response->result() == http::status::no_content ||
      response->result() == http::status::not_modified) {
    response->body().clear();
  }
  response->content_length(response->body().size());
}

}  // namespace bilberrycourse

#endif  // APP_HTTP_MESSAGE_H_
