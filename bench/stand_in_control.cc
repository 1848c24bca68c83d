#include "bench/stand_in_control.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <stdexcept>
#include <utility>

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

// Runs `function` on the thread of `searcher` and blocks for the result.
template <typename T>
auto RunOnThreadOf(stand_in_searcher* searcher, T function) {
  return asio::post(*searcher->context(), asio::use_future(std::move(function)))
      .get();
}

std::int64_t NumberOr(const json::object& object, std::string_view name,
                      std::int64_t fallback) {
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->to_number<std::int64_t>() : fallback;
}

}  // namespace

stand_in_control::stand_in_control(
    std::vector<std::unique_ptr<stand_in_searcher>>* searchers,
    const tcp_endpoint& endpoint, asio::io_context* context)
    : searchers_(searchers), acceptor_(*context, endpoint, true) {}

void stand_in_control::Start() {
  asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
}

asio::awaitable<void> stand_in_control::Accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kNoThrow);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<void> stand_in_control::Serve(asio::ip::tcp::socket socket) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    const auto [read_error, read] =
        co_await http::async_read(socket, buffer, request, kNoThrow);
    if (read_error) co_return;
    http::response<http::string_body> response(http::status::ok, 11);
    try {
      response.body() = json::serialize(
          Handle(std::string(request.target()), request.body()));
    } catch (const std::exception& error) {
      response.result(http::status::bad_request);
      response.body() =
          json::serialize(json::object{{"error", std::string(error.what())}});
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    const auto [write_error, written] =
        co_await http::async_write(socket, response, kNoThrow);
    if (write_error || !request.keep_alive()) co_return;
  }
}

json::value stand_in_control::Handle(std::string_view target,
                                     const std::string& body) {
  if (target == "/control") {
    Apply(json::parse(body).as_object());
    return json::object{{"ok", true}};
  }
  if (target == "/counters") {
    searcher_counters sum;
    for (const auto& searcher : *searchers_) {
      Add(RunOnThreadOf(searcher.get(), [&] { return searcher->counters(); }),
          &sum);
    }
    json::object answer = ToJson(sum);
    json::array run_twice;
    const auto runs = RunsByToken();
    for (const auto& [token, count] : runs) {
      if (count > 1) run_twice.emplace_back(token);
    }
    answer["tokens"] = runs.size();
    answer["tokens_run_twice"] = std::move(run_twice);
    return answer;
  }
  if (target == "/searchers") {
    json::array reports;
    for (const auto& searcher : *searchers_) {
      reports.push_back(
          RunOnThreadOf(searcher.get(), [&] { return searcher->Report(); }));
    }
    return reports;
  }
  if (target == "/tokens") {
    json::object tokens;
    for (const auto& [token, count] : RunsByToken()) tokens[token] = count;
    return tokens;
  }
  throw std::runtime_error("unknown path " + std::string(target));
}

void stand_in_control::Apply(const json::object& command) {
  const std::string action(command.at("action").as_string());
  std::set<std::string> names;
  const auto* name_list = command.if_contains("names");
  if (name_list != nullptr) {
    for (const auto& name : name_list->as_array()) {
      names.emplace(name.as_string());
    }
  }
  std::set<std::string> unknown = names;
  for (const auto& searcher_pointer : *searchers_) {
    stand_in_searcher* searcher = searcher_pointer.get();
    const std::string name = searcher->name();
    unknown.erase(name);
    if (name_list != nullptr && !names.contains(name)) continue;
    const std::int64_t spread_ms = NumberOr(command, "spread_ms", 0);
    std::uniform_int_distribution<std::int64_t> spread(0, spread_ms);
    const std::int64_t delay_ms = spread(random_);
    const auto version =
        static_cast<std::uint64_t>(NumberOr(command, "version", 0));
    RunOnThreadOf(searcher, [&] {
      if (action == "set") {
        searcher->ApplyOptions(command.at("fields").as_object());
      } else if (action == "drain") {
        searcher->Drain();
      } else if (action == "kill") {
        searcher->Crash(NumberOr(command, "restart_after_ms", 0));
      } else if (action == "start") {
        searcher->Start();
      } else if (action == "publish") {
        searcher->PublishVersion(version, delay_ms);
      } else if (action == "retire") {
        searcher->RetireVersion(version, delay_ms);
      } else if (action == "reset") {
        searcher->ResetCounters();
      } else {
        throw std::runtime_error("unknown action " + action);
      }
    });
  }
  if (!unknown.empty()) {
    throw std::runtime_error("unknown searcher " + *unknown.begin());
  }
}

std::map<std::string, std::int64_t> stand_in_control::RunsByToken() {
  std::map<std::string, std::int64_t> sum;
  for (const auto& searcher : *searchers_) {
    const auto runs = RunOnThreadOf(searcher.get(),
                                    [&] { return searcher->runs_by_token(); });
    for (const auto& [token, count] : runs) sum[token] += count;
  }
  return sum;
}

}  // namespace bilberrycourse
