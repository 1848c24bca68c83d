#include "bench/stand_in_searcher.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <charconv>
#include <functional>
#include <string_view>
#include <utility>

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr auto kAnnounceInterval = std::chrono::seconds(1);
// An unresponsive entry instance must not delay the announcement beyond the 3 s
// after which the tier considers a searcher lost.
constexpr auto kAnnounceTimeout = std::chrono::milliseconds(500);

struct counter_field {
  std::string_view name;
  std::int64_t searcher_counters::*value;
};

constexpr counter_field kCounters[] = {
    {"attempts", &searcher_counters::attempts},
    {"run", &searcher_counters::run},
    {"completed", &searcher_counters::completed},
    {"shed", &searcher_counters::shed},
    {"cancelled", &searcher_counters::cancelled},
    {"version_gone", &searcher_counters::version_gone},
    {"deadline_passed", &searcher_counters::deadline_passed},
    {"crashes", &searcher_counters::crashes},
    {"connections_opened", &searcher_counters::connections_opened},
    {"connections_refused", &searcher_counters::connections_refused},
    {"announcements", &searcher_counters::announcements},
    {"announcements_failed", &searcher_counters::announcements_failed},
    {"duplicate_attempt_ids", &searcher_counters::duplicate_attempt_ids},
    {"run_after_drain", &searcher_counters::run_after_drain},
};

std::uint64_t WallTimeMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

http::response<http::string_body> MakeResponse(unsigned status,
                                               std::string body) {
  http::response<http::string_body> response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

// Parses the value of a header; returns `fallback` if it is missing or not a
// number.
std::int64_t NumberOr(std::string_view text, std::int64_t fallback) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value
                                                                  : fallback;
}

// Returns a string field of a JSON object, or an empty string without one.
std::string StringField(const json::value& value, std::string_view name) {
  if (!value.is_object()) return {};
  const auto* field = value.as_object().if_contains(name);
  return field != nullptr && field->is_string()
             ? std::string(field->as_string())
             : std::string();
}

}  // namespace

stand_in_searcher::stand_in_searcher(searcher_options options,
                                     std::vector<tcp_endpoint> entries,
                                     std::size_t first_entry,
                                     asio::io_context* context)
    : options_(std::move(options)),
      entries_(std::move(entries)),
      entry_index_(first_entry),
      context_(context),
      acceptor_(*context),
      announce_timer_(*context),
      random_(std::hash<std::string>()(name())) {}

std::string stand_in_searcher::name() const {
  return options_.service + "/" + std::to_string(options_.shard) + "/" +
         options_.replica;
}

void stand_in_searcher::Start() {
  if (up_) return;
  const tcp_endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                              static_cast<std::uint16_t>(options_.port));
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  up_ = true;
  draining_ = false;
  ++generation_;
  incarnation_ = std::max(incarnation_ + 1, WallTimeMs());
  requests_since_start_ = 0;
  asio::co_spawn(*context_, Accept(generation_), asio::detached);
  asio::co_spawn(*context_, SampleLoad(generation_), asio::detached);
  if (!announcer_running_ && !entries_.empty()) {
    announcer_running_ = true;
    asio::co_spawn(*context_, Announce(), asio::detached);
  }
  RequestAnnouncement();
}

void stand_in_searcher::Crash(std::int64_t restart_after_ms) {
  if (!up_) return;
  up_ = false;
  ++generation_;
  beast::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& socket : connections_) socket->close(ignored);
  for (const auto& [id, attempt] : running_) attempt->timer.cancel();
  if (announce_socket_) announce_socket_->close(ignored);
  if (restart_after_ms > 0) {
    CallAfter(restart_after_ms, &stand_in_searcher::Start);
  }
}

void stand_in_searcher::Drain() {
  draining_ = true;
  drain_start_ = clock::now();
  last_run_after_drain_ = drain_start_;
  counters_.run_after_drain = 0;
  RequestAnnouncement();
}

void stand_in_searcher::ApplyOptions(const json::object& fields) {
  ApplyJson(fields, &options_);
  RequestAnnouncement();
}

void stand_in_searcher::PublishVersion(std::uint64_t version,
                                       std::int64_t delay_ms) {
  ScheduleVersionChange(version, true, delay_ms);
}

void stand_in_searcher::RetireVersion(std::uint64_t version,
                                      std::int64_t delay_ms) {
  ScheduleVersionChange(version, false, delay_ms);
}

void stand_in_searcher::ScheduleVersionChange(std::uint64_t version,
                                              bool served,
                                              std::int64_t delay_ms) {
  auto timer = std::make_shared<asio::steady_timer>(
      *context_, std::chrono::milliseconds(delay_ms));
  timer->async_wait([this, timer, version, served](beast::error_code) {
    std::erase(options_.versions, version);
    if (served) {
      options_.versions.insert(
          std::ranges::lower_bound(options_.versions, version), version);
    }
    RequestAnnouncement();
  });
}

void stand_in_searcher::CallAfter(std::int64_t delay_ms,
                                  void (stand_in_searcher::*action)()) {
  auto timer = std::make_shared<asio::steady_timer>(
      *context_, std::chrono::milliseconds(delay_ms));
  timer->async_wait(
      [this, timer, action](beast::error_code) { (this->*action)(); });
}

asio::awaitable<void> stand_in_searcher::Sleep(std::int64_t us) {
  if (us <= 0) co_return;
  asio::steady_timer timer(*context_, std::chrono::microseconds(us));
  co_await timer.async_wait(kNoThrow);
}

asio::awaitable<void> stand_in_searcher::Accept(std::uint64_t generation) {
  while (generation == generation_) {
    auto socket = std::make_shared<tcp::socket>(*context_);
    const auto [error] = co_await acceptor_.async_accept(*socket, kNoThrow);
    if (generation != generation_) co_return;
    if (error) {
      // For example out of file descriptors: wait 10 ms instead of spinning.
      co_await Sleep(10000);
      continue;
    }
    if (std::ssize(connections_) >= options_.connection_limit) {
      ++counters_.connections_refused;
      continue;
    }
    ++counters_.connections_opened;
    connections_.insert(socket);
    asio::co_spawn(*context_, Serve(std::move(socket), generation),
                   asio::detached);
  }
}

asio::awaitable<void> stand_in_searcher::Serve(
    std::shared_ptr<tcp::socket> socket, std::uint64_t generation) {
  beast::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  co_await Sleep(options_.connection_cost_us);
  beast::flat_buffer buffer;
  while (generation == generation_) {
    http_request request;
    const auto [read_error, read_size] =
        co_await http::async_read(*socket, buffer, request, kNoThrow);
    if (read_error || generation != generation_) break;
    http_response response = co_await HandleRequest(request, generation);
    if (generation != generation_) break;
    response.keep_alive(request.keep_alive());
    const auto [write_error, write_size] =
        co_await http::async_write(*socket, response, kNoThrow);
    if (write_error || !request.keep_alive()) break;
  }
  socket->close(ignored);
  connections_.erase(socket);
}

asio::awaitable<stand_in_searcher::http_response>
stand_in_searcher::HandleRequest(const http_request& request,
                                 std::uint64_t generation) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (target == "/attempt" || target == "/cancel") {
    co_await Sleep(options_.delay_us);
    http_response response;
    if (generation == generation_) {
      if (target == "/cancel") {
        response = Cancel(request);
      } else {
        response = co_await RunAttempt(request, generation);
      }
    }
    if (generation == generation_) co_await Sleep(options_.delay_us);
    co_return response;
  }
  if (target == "/health") co_return MakeResponse(200, R"({"status":"ok"})");
  if (target == "/load") {
    const std::int64_t load = options_.load_lag_ms < 0 ? 0 : sampled_load_;
    co_return MakeResponse(
        200, json::serialize(
                 json::object{{"in_flight", load}, {"slots", options_.slots}}));
  }
  co_return MakeResponse(404, "{}");
}

asio::awaitable<stand_in_searcher::http_response> stand_in_searcher::RunAttempt(
    const http_request& request, std::uint64_t generation) {
  ++counters_.attempts;
  const std::int64_t newest =
      options_.versions.empty()
          ? 0
          : static_cast<std::int64_t>(options_.versions.back());
  const auto version =
      static_cast<std::uint64_t>(NumberOr(request["X-Snapshot"], newest));
  if (!std::ranges::binary_search(options_.versions, version)) {
    ++counters_.version_gone;
    co_return MakeResponse(410, "{}");
  }
  if (in_slots_ >= options_.slots) {
    ++counters_.shed;
    http_response response = MakeResponse(503, "{}");
    response.set("X-Not-Run", "1");
    co_return response;
  }
  ++in_slots_;
  http_response response = co_await RunInSlot(request, version, generation);
  --in_slots_;
  co_return response;
}

asio::awaitable<stand_in_searcher::http_response> stand_in_searcher::RunInSlot(
    const http_request& request, std::uint64_t version,
    std::uint64_t generation) {
  ++counters_.run;
  ++requests_since_start_;
  CountRunAfterDrain();
  boost::system::error_code parse_error;
  const json::value body = json::parse(request.body(), parse_error);
  const std::string token = StringField(body, "token");
  if (!token.empty()) ++runs_by_token_[token];
  if (!options_.poison_marker.empty() &&
      request.body().find(options_.poison_marker) != std::string::npos) {
    co_await Sleep(options_.crash_after_us);
    if (generation == generation_) {
      ++counters_.crashes;
      Crash(options_.restart_after_ms);
    }
    co_return http_response();
  }

  const std::string id(request["X-Attempt-Id"]);
  const bool cold = requests_since_start_ <= options_.cold_requests;
  const double service_us = DrawServiceTimeUs(options_, cold, &random_);
  const double deadline_us =
      1000.0 * static_cast<double>(NumberOr(request["X-Deadline-Ms"], 600000));
  running_attempt attempt(context_);
  if (deadline_us < service_us) attempt.end = attempt_end::kDeadline;
  attempt.timer.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>(std::min(service_us, deadline_us))));
  if (running_.contains(id)) ++counters_.duplicate_attempt_ids;
  const auto position = running_.emplace(id, &attempt);
  co_await attempt.timer.async_wait(kNoThrow);
  running_.erase(position);
  if (generation != generation_) co_return http_response();
  if (attempt.end == attempt_end::kCancelled) {
    ++counters_.cancelled;
    co_return MakeResponse(499, "{}");
  }
  if (attempt.end == attempt_end::kDeadline) {
    ++counters_.deadline_passed;
    co_return MakeResponse(504, "{}");
  }
  ++counters_.completed;
  json::object answer{{"service", options_.service},
                      {"shard", options_.shard},
                      {"replica", options_.replica},
                      {"snapshot", version},
                      {"attempt", id}};
  const std::string content_id = StringField(body, "id");
  if (!content_id.empty()) answer["id"] = content_id;
  http_response response = MakeResponse(200, json::serialize(answer));
  response.set("X-Snapshot", std::to_string(version));
  co_return response;
}

void stand_in_searcher::CountRunAfterDrain() {
  if (!draining_) return;
  ++counters_.run_after_drain;
  last_run_after_drain_ = clock::now();
}

stand_in_searcher::http_response stand_in_searcher::Cancel(
    const http_request& request) {
  const auto found = running_.find(std::string(request["X-Attempt-Id"]));
  if (found == running_.end()) return MakeResponse(404, "{}");
  found->second->end = attempt_end::kCancelled;
  found->second->timer.cancel();
  return MakeResponse(200, "{}");
}

asio::awaitable<void> stand_in_searcher::SampleLoad(std::uint64_t generation) {
  while (generation == generation_) {
    sampled_load_ = in_slots_;
    co_await Sleep(1000 * std::max<std::int64_t>(options_.load_lag_ms, 100));
  }
}

void stand_in_searcher::RequestAnnouncement() {
  announcement_requested_ = true;
  announce_timer_.cancel();
}

asio::awaitable<void> stand_in_searcher::Announce() {
  // Runs until the process ends; sends nothing while the searcher is down.
  for (;;) {
    announcement_requested_ = false;
    bool announced = false;
    for (std::size_t i = 0; up_ && !announced && i < entries_.size(); ++i) {
      announced = co_await AnnounceOnce();
      if (announced) {
        ++counters_.announcements;
      } else {
        ++counters_.announcements_failed;
        announce_socket_.reset();
        entry_index_ = (entry_index_ + 1) % entries_.size();
      }
    }
    if (announcement_requested_) continue;
    announce_timer_.expires_after(kAnnounceInterval);
    co_await announce_timer_.async_wait(kNoThrow);
  }
}

asio::awaitable<bool> stand_in_searcher::AnnounceOnce() {
  const bool reused = announce_socket_ != nullptr;
  if (!reused) announce_socket_ = std::make_shared<tcp::socket>(*context_);
  const auto owned_socket = announce_socket_;
  tcp::socket& socket = *owned_socket;
  asio::steady_timer timeout(*context_, kAnnounceTimeout);
  timeout.async_wait([owned_socket](beast::error_code error) {
    beast::error_code ignored;
    if (!error) owned_socket->close(ignored);
  });
  if (!reused) {
    const auto [error] =
        co_await socket.async_connect(entries_[entry_index_], kNoThrow);
    if (error) co_return false;
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
  }
  http_request request(http::verb::post, "/announce", 11, AnnouncementBody());
  request.set(http::field::host, "tier");
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  const auto [write_error, written] =
      co_await http::async_write(socket, request, kNoThrow);
  if (write_error) co_return false;
  beast::flat_buffer buffer;
  http_response response;
  const auto [read_error, read] =
      co_await http::async_read(socket, buffer, response, kNoThrow);
  if (read_error) co_return false;
  if (!response.keep_alive()) announce_socket_.reset();
  // A refusal (4xx) counts as delivered: every instance would refuse alike.
  co_return response.result_int() < 500;
}

std::string stand_in_searcher::AnnouncementBody() const {
  return json::serialize(
      json::object{{"service", options_.service},
                   {"shard", options_.shard},
                   {"shard_count", options_.shard_count},
                   {"replica", options_.replica},
                   {"incarnation", incarnation_},
                   {"address", "127.0.0.1:" + std::to_string(options_.port)},
                   {"availability_zone", options_.availability_zone},
                   {"slots", options_.slots},
                   {"connection_limit", options_.connection_limit},
                   {"versions", json::value_from(options_.versions)},
                   {"state", draining_ ? "draining" : "serving"}});
}

json::object stand_in_searcher::Report() const {
  json::object report = ToJson(counters_);
  report["name"] = name();
  report["up"] = up_;
  report["draining"] = draining_;
  report["connections"] = connections_.size();
  report["in_slots"] = in_slots_;
  report["versions"] = json::value_from(options_.versions);
  if (draining_) {
    report["last_run_after_drain_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            last_run_after_drain_ - drain_start_)
            .count();
  }
  return report;
}

void stand_in_searcher::ResetCounters() {
  counters_ = {};
  runs_by_token_.clear();
}

json::object ToJson(const searcher_counters& counters) {
  json::object object;
  for (const auto& item : kCounters) object[item.name] = counters.*item.value;
  return object;
}

void Add(const searcher_counters& other, searcher_counters* sum) {
  for (const auto& item : kCounters) sum->*item.value += other.*item.value;
}

}  // namespace bilberrycourse
