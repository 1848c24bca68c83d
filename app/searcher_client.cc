#include "app/searcher_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kHttp11 = 11;

// Reads `timeout=N` of a Keep-Alive header.
std::optional<duration> IdleLimit(beast::string_view text) {
  // The list refers to its text, which must live as long as the loop.
  const std::string listed = ";" + std::string(text);
  for (const auto& parameter : http::param_list(listed)) {
    if (!beast::iequals(parameter.first, "timeout")) continue;
    unsigned seconds = 0;
    const auto value = parameter.second;
    const auto [last, error] =
        std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error == std::errc()) return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

bool ConcernsConnection(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::trailer:
      return true;
    default:
      return false;
  }
}

}  // namespace

searcher_client::searcher_client(asio::any_io_executor executor,
                                 const http_client_options& options,
                                 edge_headers names,
                                 searcher_client_handler* handler)
    : names_(std::move(names)),
      handler_(handler),
      http_(std::move(executor), options, this) {}

void searcher_client::Open(connection_id id, const std::string& address) {
  http_.Open(id, address);
}

void searcher_client::Close(connection_id id) {
  request_ids_.erase(id);
  http_.Close(id);
}

void searcher_client::CloseAll() {
  request_ids_.clear();
  http_.CloseAll();
}

void searcher_client::Send(connection_id id, const forwarded_request& sent) {
  client_request request;
  request.version(kHttp11);
  request.method_string(sent.method);
  request.target(sent.target);
  request.set(http::field::host, sent.host);
  for (const auto& [name, value] : *sent.headers) request.insert(name, value);
  if (!sent.request_id.empty()) request.set(names_.request_id, sent.request_id);
  request.set(names_.deadline, std::to_string(sent.remaining.count()));
  request.set(names_.expected_searcher, sent.searcher);
  if (sent.body != nullptr) request.body() = *sent.body;
  request.prepare_payload();
  request_ids_[id] = sent.request_id;
  http_.Send(id, std::move(request));
}

void searcher_client::OnConnectionOpened(connection_id id) {
  handler_->OnSearcherOpened(id);
}

void searcher_client::OnConnectionClosed(connection_id id, bool) {
  request_ids_.erase(id);
  handler_->OnSearcherClosed(id);
}

// False for a late second reply to an earlier request.
bool searcher_client::Answers(connection_id id,
                              const client_response& response) {
  const auto stated = response.find(names_.request_id);
  return stated == response.end() || stated->value() == request_ids_[id];
}

void searcher_client::OnResponse(connection_id id, client_response response,
                                 bool keep_alive) {
  std::optional<duration> idle_limit;
  const auto keep = response.find(names_.keep_alive);
  if (keep != response.end()) idle_limit = IdleLimit(keep->value());
  handler_->OnSearcherReply(id, MakeReply(&response), keep_alive, idle_limit);
}

searcher_reply_pointer searcher_client::MakeReply(
    client_response* response) const {
  auto reply = std::make_shared<searcher_reply>();
  reply->status = response->result_int();
  reply->not_executed = response->find(names_.not_executed) != response->end();
  reply->misdirected = reply->status == kMisdirected;
  for (const auto& field : *response) {
    if (ConcernsConnection(field.name())) continue;
    if (beast::iequals(field.name_string(), names_.stamp)) {
      reply->stamp = std::string(field.value());
    }
    reply->headers.emplace_back(field.name_string(), field.value());
  }
  reply->body = std::move(response->body());
  return reply;
}

}  // namespace bilberrycourse
