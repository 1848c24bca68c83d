#include "app/searcher_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

#include "app/http_message.h"
#include "bilberrycourse/rest_time.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kHttp11 = 11;

// Parses the `timeout=N` parameter (seconds) of a Keep-Alive header.
std::optional<duration> ParseIdleLimit(beast::string_view text) {
  // param_list refers to its text, which must outlive the loop.
  const std::string parameters = ";" + std::string(text);
  for (const auto& parameter : http::param_list(parameters)) {
    if (!beast::iequals(parameter.first, "timeout")) continue;
    unsigned seconds = 0;
    const auto value = parameter.second;
    const auto [last, error] =
        std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error == std::errc()) return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

bool IsHopByHop(http::field field) {
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

void searcher_client::Send(connection_id id,
                           const forwarded_request& forwarded) {
  client_request request;
  request.version(kHttp11);
  request.method_string(forwarded.method);
  request.target(forwarded.target);
  request.set(http::field::host, forwarded.host);
  for (const auto& [name, value] : *forwarded.headers)
    request.insert(name, value);
  if (!forwarded.request_id.empty())
    request.set(names_.request_id, forwarded.request_id);
  request.set(names_.deadline, std::to_string(forwarded.remaining.count()));
  request.set(names_.expected_searcher, forwarded.searcher);
  request.body() = forwarded.body;
  SetContentLength(&request);
  request_ids_[id] = forwarded.request_id;
  http_.Send(id, std::move(request));
}

void searcher_client::OnConnectionOpened(connection_id id) {
  handler_->OnSearcherOpened(id);
}

void searcher_client::OnConnectionClosed(connection_id id, connection_end end) {
  request_ids_.erase(id);
  handler_->OnSearcherClosed(id, end);
}

// Returns false for a late duplicate reply to an earlier request.
bool searcher_client::IsExpectedResponse(connection_id id,
                                         const client_response& response) {
  const auto id_field = response.find(names_.request_id);
  return id_field == response.end() || id_field->value() == request_ids_[id];
}

void searcher_client::OnResponse(connection_id id, client_response response,
                                 bool keep_alive) {
  std::optional<duration> idle_limit;
  const auto keep_alive_field = response.find(names_.keep_alive);
  if (keep_alive_field != response.end())
    idle_limit = ParseIdleLimit(keep_alive_field->value());
  handler_->OnSearcherReply(id, MakeReply(&response), keep_alive, idle_limit);
}

searcher_reply_pointer searcher_client::MakeReply(
    client_response* response) const {
  auto reply = std::make_shared<searcher_reply>();
  reply->status = response->result_int();
  reply->not_executed = response->find(names_.not_executed) != response->end();
  reply->misdirected = reply->status == kMisdirected;
  std::vector<std::string_view> limits;
  std::vector<std::string_view> rests;
  for (const auto& field : *response) {
    if (IsHopByHop(field.name())) continue;
    if (beast::iequals(field.name_string(), names_.request_limit)) {
      limits.emplace_back(field.value().data(), field.value().size());
    }
    if (field.name() == http::field::retry_after) {
      rests.emplace_back(field.value().data(), field.value().size());
    }
    if (beast::iequals(field.name_string(), names_.leaving)) {
      reply->leaving = reply->leaving || field.value() == "1";
    }
    if (beast::iequals(field.name_string(), names_.stamp)) {
      reply->stamp = std::string(field.value());
    }
    reply->headers.emplace_back(field.name_string(), field.value());
  }
  reply->limit = ParseRequestLimit(limits);
  if (reply->status == kServiceUnavailable) reply->rest = ParseRestTime(rests);
  reply->body = std::move(response->body());
  return reply;
}

}  // namespace bilberrycourse
