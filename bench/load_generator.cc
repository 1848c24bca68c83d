#include "bench/load_generator.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <set>
#include <stdexcept>
#include <utility>

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
// Pause before the baseline retries a failed or shed attempt on a random
// replica; without it a busy shard makes the generator spin.
constexpr auto kDirectRetryPause = std::chrono::milliseconds(1);
constexpr auto kResendPause = std::chrono::milliseconds(200);
constexpr std::uint16_t kNoEntry = std::numeric_limits<std::uint16_t>::max();

struct finding_field {
  std::string_view name;
  std::int64_t load_findings::*value;
};
constexpr finding_field kFindings[] = {
    {"mixed_answers", &load_findings::mixed_answers},
    {"foreign_results", &load_findings::foreign_results},
    {"coverage_mismatches", &load_findings::coverage_mismatches},
    {"unnamed_missing", &load_findings::unnamed_missing},
    {"reconnects", &load_findings::reconnects},
};

double DoubleOr(const json::object& object, std::string_view name,
                double fallback) {
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->to_number<double>() : fallback;
}

std::int64_t IntegerOr(const json::object& object, std::string_view name,
                       std::int64_t fallback) {
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->to_number<std::int64_t>() : fallback;
}

bool BoolOr(const json::object& object, std::string_view name, bool fallback) {
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->as_bool() : fallback;
}

std::string StringOr(const json::object& object, std::string_view name,
                     std::string_view fallback) {
  const auto* value = object.if_contains(name);
  return std::string(value != nullptr ? std::string_view(value->as_string())
                                      : fallback);
}

// Returns the text of a scalar, so that 7 and "7" compare equal.
std::string ScalarText(const json::value* value) {
  if (value == nullptr || value->is_null()) return {};
  if (value->is_string()) return std::string(value->as_string());
  return json::serialize(*value);
}

load_stream ParseStream(const json::object& object) {
  load_stream stream;
  stream.target = StringOr(object, "target", "");
  stream.name = StringOr(object, "name", stream.target);
  stream.rate = object.at("rate").to_number<double>();
  stream.start_s = DoubleOr(object, "start_s", 0);
  stream.end_s = DoubleOr(object, "end_s", 0);
  stream.fixed_interval = BoolOr(object, "fixed_interval", false);
  stream.deadline_ms = IntegerOr(object, "deadline_ms", stream.deadline_ms);
  stream.non_idempotent_share = DoubleOr(object, "non_idempotent_share", 0);
  stream.resends = IntegerOr(object, "resends", 0);
  stream.contents = IntegerOr(object, "contents", 0);
  stream.text = StringOr(object, "text", "");
  if (const auto* schedule = object.if_contains("schedule")) {
    for (const auto& step : schedule->as_array()) {
      stream.schedule.push_back({step.at("at_s").to_number<double>(),
                                 step.at("factor").to_number<double>()});
    }
  }
  if (const auto* callers = object.if_contains("callers")) {
    for (const auto& caller : callers->as_object()) {
      stream.callers[caller.key()] = caller.value().to_number<double>();
    }
  }
  if (stream.callers.empty()) stream.callers["caller_1"] = 1;
  return stream;
}

std::vector<std::string> StreamNames(const load_options& options) {
  std::vector<std::string> names;
  for (const auto& stream : options.streams) names.push_back(stream.name);
  return names;
}

std::vector<std::string> CallerNames(const load_options& options) {
  std::set<std::string> names;
  for (const auto& stream : options.streams) {
    for (const auto& [name, weight] : stream.callers) names.insert(name);
  }
  return {names.begin(), names.end()};
}

std::chrono::steady_clock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(seconds));
}

std::int64_t Microseconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

// Returns whether an attempt may have been sent to a missing shard: a code
// below 300 proves that no attempt ran there.
bool AttemptSent(const json::object& missing) {
  const auto* code = missing.if_contains("code");
  return code != nullptr && code->is_number() &&
         code->to_number<std::int64_t>() >= 300;
}

}  // namespace

load_options ParseLoadOptions(const json::object& object) {
  load_options options;
  if (const auto* entries = object.if_contains("entries")) {
    for (const auto& entry : entries->as_object()) {
      options.entry_names.emplace_back(entry.key());
      options.entries.push_back(
          ParseEndpoint(std::string_view(entry.value().as_string())));
    }
  }
  options.seconds = DoubleOr(object, "seconds", options.seconds);
  options.seed = static_cast<std::uint64_t>(IntegerOr(object, "seed", 1));
  options.caller_delay_us = IntegerOr(object, "caller_delay_us", 0);
  options.grace_ms = IntegerOr(object, "grace_ms", options.grace_ms);
  options.threads =
      std::clamp<std::int64_t>(IntegerOr(object, "threads", 1), 1, 16);
  options.direct_connections = IntegerOr(object, "direct_connections", 25);
  options.list_tokens = BoolOr(object, "list_tokens", false);
  for (const auto& stream : object.at("streams").as_array()) {
    options.streams.push_back(ParseStream(stream.as_object()));
  }
  if (const auto* windows = object.if_contains("windows")) {
    for (const auto& window : windows->as_array()) {
      options.windows.emplace_back(window.as_array().at(0).to_number<double>(),
                                   window.as_array().at(1).to_number<double>());
    }
  }
  if (const auto* direct = object.if_contains("direct")) {
    for (const auto& target : direct->as_object()) {
      auto& shards = options.direct[target.key()];
      for (const auto& shard : target.value().as_array()) {
        auto& replicas = shards.emplace_back();
        for (const auto& address : shard.as_array()) {
          replicas.push_back(
              ParseEndpoint(std::string_view(address.as_string())));
        }
      }
    }
  }
  if (options.direct.empty() && options.entries.empty()) {
    throw std::runtime_error("one of \"entries\" and \"direct\" is required");
  }
  return options;
}

load_options OptionsForThread(load_options options, std::int64_t thread) {
  options.seed += static_cast<std::uint64_t>(thread) << 32;
  options.direct_connections =
      std::max<std::int64_t>(1, options.direct_connections / options.threads);
  for (auto& stream : options.streams) {
    if (!stream.fixed_interval) {
      stream.rate /= static_cast<double>(options.threads);
    } else if (thread > 0) {
      stream.rate = 0;
    }
  }
  return options;
}

load_generator::load_generator(load_options options, asio::io_context* context)
    : options_(std::move(options)),
      context_(context),
      random_(options_.seed),
      caller_names_(CallerNames(options_)),
      report_(StreamNames(options_), caller_names_, options_.entry_names) {}

void load_generator::Merge(const load_generator& other) {
  report_.Merge(other.report_);
  for (const auto& item : kFindings) {
    findings_.*item.value += other.findings_.*item.value;
  }
  for (const auto& [code, count] : other.codes_) codes_[code] += count;
  for (const auto& [snapshot, count] : other.snapshots_) {
    snapshots_[snapshot] += count;
  }
  token_outcomes_.insert(other.token_outcomes_.begin(),
                         other.token_outcomes_.end());
}

void load_generator::Start(clock::time_point start) {
  start_ = start;
  for (std::size_t i = 0; i < options_.streams.size(); ++i) {
    asio::co_spawn(*context_, GenerateStream(i), asio::detached);
  }
}

double load_generator::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

double load_generator::FactorAt(const load_stream& stream,
                                double second) const {
  double factor = 1;
  for (const auto& step : stream.schedule) {
    if (second >= step.at_s) factor = step.factor;
  }
  return factor;
}

std::uint16_t load_generator::DrawCaller(const load_stream& stream) {
  double sum = 0;
  for (const auto& [name, weight] : stream.callers) sum += weight;
  double remaining = Uniform() * sum;
  const std::string* chosen = &stream.callers.begin()->first;
  for (const auto& [name, weight] : stream.callers) {
    chosen = &name;
    remaining -= weight;
    if (remaining < 0) break;
  }
  const auto found = std::ranges::lower_bound(caller_names_, *chosen);
  return static_cast<std::uint16_t>(found - caller_names_.begin());
}

http_pool* load_generator::PoolFor(const tcp_endpoint& endpoint) {
  auto& pool = pools_[endpoint];
  if (!pool) {
    const auto limit =
        options_.direct.empty()
            ? std::numeric_limits<std::size_t>::max()
            : static_cast<std::size_t>(options_.direct_connections);
    pool = std::make_unique<http_pool>(endpoint, limit, context_);
  }
  return pool.get();
}

asio::awaitable<void> load_generator::GenerateStream(std::size_t stream_index) {
  const load_stream& stream = options_.streams[stream_index];
  const double end_s = stream.end_s > 0 ? stream.end_s : options_.seconds;
  asio::steady_timer timer(*context_);
  double second = stream.start_s;
  while (stream.rate > 0) {
    const double rate = stream.rate * FactorAt(stream, second);
    second += stream.fixed_interval
                  ? 1 / rate
                  : std::exponential_distribution<double>(rate)(random_);
    if (second >= end_s) co_return;
    const clock::time_point intended = start_ + Seconds(second);
    if (intended > clock::now()) {
      timer.expires_at(intended);
      co_await timer.async_wait(kNoThrow);
    }
    asio::co_spawn(*context_, RunRequest(stream_index, intended),
                   asio::detached);
  }
}

asio::awaitable<void> load_generator::RunRequest(std::size_t stream_index,
                                                 clock::time_point intended) {
  const load_stream& stream = options_.streams[stream_index];
  request_state state;
  const std::uint64_t number = next_request_++;
  const std::uint64_t content =
      stream.contents > 0 ? number % static_cast<std::uint64_t>(stream.contents)
                          : number;
  state.content_id = stream.name + "-" + std::to_string(options_.seed) + "-" +
                     std::to_string(content);
  if (Uniform() < stream.non_idempotent_share) {
    state.token =
        "token-" + std::to_string(options_.seed) + "-" + std::to_string(number);
  }
  state.intended = intended;
  state.deadline = intended + std::chrono::milliseconds(stream.deadline_ms);
  state.sample.start_us = Microseconds(intended - start_);
  state.sample.send_lag_us =
      static_cast<std::uint32_t>(Microseconds(clock::now() - intended));
  state.sample.stream = static_cast<std::uint16_t>(stream_index);
  state.sample.caller = DrawCaller(stream);
  state.sample.entry = kNoEntry;
  if (options_.direct.empty()) {
    co_await RunThroughTier(stream, &state);
  } else {
    co_await RunDirect(stream, &state);
  }
  state.sample.latency_us = static_cast<std::uint32_t>(
      Microseconds(clock::now() - intended) + 2 * options_.caller_delay_us);
  state.sample.within_deadline =
      state.sample.latency_us <= 1000 * stream.deadline_ms &&
      state.sample.outcome == load_outcome::kComplete;
  report_.Add(state.sample);
}

asio::awaitable<void> load_generator::RunThroughTier(const load_stream& stream,
                                                     request_state* state) {
  const std::string request_id = std::to_string(options_.seed) + "-" +
                                 std::to_string(state->sample.start_us) + "-" +
                                 state->content_id;
  json::object body{{"id", state->content_id}, {"text", stream.text}};
  if (!state->token.empty()) body["token"] = state->token;
  json::object query{{"target", stream.target},
                     {"body", std::move(body)},
                     {"deadline_ms", stream.deadline_ms},
                     {"caller", caller_names_[state->sample.caller]},
                     {"request_id", request_id}};
  if (!state->token.empty()) {
    query["idempotent"] = false;
    query["issued_at_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  }
  http::request<http::string_body> request(http::verb::post, "/query", 11,
                                           json::serialize(query));
  request.set(http::field::host, "tier");
  request.set(http::field::content_type, "application/json");
  if (!state->token.empty()) request.set("Idempotency-Key", state->token);
  request.prepare_payload();
  for (std::int64_t resend = 0;; ++resend) {
    const http_reply reply = co_await SendToTier(request, state);
    Evaluate(stream, reply, state);
    const load_outcome outcome = state->sample.outcome;
    if (!state->token.empty() && options_.list_tokens) {
      auto& outcomes = token_outcomes_[state->token];
      if (!outcomes.empty()) outcomes += ' ';
      outcomes += Name(outcome);
    }
    if (state->token.empty() || resend >= stream.resends ||
        outcome == load_outcome::kComplete) {
      co_return;
    }
    asio::steady_timer pause(*context_, kResendPause);
    co_await pause.async_wait(kNoThrow);
    state->deadline =
        clock::now() + std::chrono::milliseconds(stream.deadline_ms);
  }
}

asio::awaitable<http_reply> load_generator::SendToTier(
    const http::request<http::string_body>& request, request_state* state) {
  const auto reply_deadline =
      state->deadline + std::chrono::milliseconds(options_.grace_ms);
  http_reply reply;
  reply.failure = http_failure::kNotConnected;
  const std::size_t count = options_.entries.size();
  const std::size_t first = random_() % count;
  // Like the load balancer of the platform, tries the next instance when one
  // does not accept connections.
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t entry = (first + i) % count;
    state->sample.entry = static_cast<std::uint16_t>(entry);
    reply = co_await PoolFor(options_.entries[entry])
                ->Send(request, reply_deadline);
    if (reply.failure != http_failure::kNotConnected) break;
    ++findings_.reconnects;
  }
  co_return reply;
}

void load_generator::Evaluate(const load_stream& stream,
                              const http_reply& reply, request_state* state) {
  load_sample& sample = state->sample;
  constexpr std::pair<http_failure, load_outcome> kFailures[] = {
      {http_failure::kNotConnected, load_outcome::kNotConnected},
      {http_failure::kBroken, load_outcome::kCutOff},
      {http_failure::kTimeout, load_outcome::kTimeout}};
  for (const auto& [failure, outcome] : kFailures) {
    if (reply.failure == failure) {
      sample.outcome = outcome;
      return;
    }
  }
  sample.outcome = load_outcome::kMalformed;
  boost::system::error_code error;
  const json::value value = json::parse(reply.response.body(), error);
  if (error || !value.is_object()) {
    ++codes_["malformed " + std::to_string(reply.response.result_int())];
    return;
  }
  const json::object& answer = value.as_object();
  const std::string outcome = ScalarText(answer.if_contains("outcome"));
  for (const auto known : {load_outcome::kComplete, load_outcome::kPartial,
                           load_outcome::kNotRun, load_outcome::kUnknown}) {
    if (outcome == Name(known)) sample.outcome = known;
  }
  ++codes_[stream.name + " " + outcome + " " +
           ScalarText(answer.if_contains("code"))];
  const auto* coverage = answer.if_contains("coverage");
  if (coverage != nullptr && coverage->is_object()) {
    const json::object& fields = coverage->as_object();
    sample.searched =
        static_cast<std::uint16_t>(IntegerOr(fields, "searched", 0));
    sample.total = static_cast<std::uint16_t>(IntegerOr(fields, "total", 0));
    sample.first_attempts = sample.searched;
    std::size_t listed = 0;
    if (const auto* missing = fields.if_contains("missing")) {
      listed = missing->as_array().size();
      for (const auto& shard : missing->as_array()) {
        if (AttemptSent(shard.as_object())) ++sample.first_attempts;
        ++codes_[stream.name + " missing shards " +
                 ScalarText(shard.as_object().if_contains("code"))];
      }
    }
    if (sample.searched + listed != sample.total) ++findings_.unnamed_missing;
  }
  const std::string snapshot = ScalarText(answer.if_contains("snapshot"));
  if (sample.outcome == load_outcome::kComplete ||
      sample.outcome == load_outcome::kPartial) {
    ++snapshots_[snapshot];
    CheckResults(answer, snapshot, *state);
  }
}

void load_generator::CheckResults(const json::object& answer,
                                  std::string_view snapshot,
                                  const request_state& state) {
  const auto* results = answer.if_contains("results");
  if (results == nullptr || !results->is_array()) {
    ++findings_.coverage_mismatches;
    return;
  }
  bool mixed = false;
  bool foreign = false;
  std::set<std::pair<std::string, std::int64_t>> shards;
  for (const auto& item : results->as_array()) {
    const json::object& result = item.as_object();
    json::value body = result.at("body");
    if (body.is_string()) {
      boost::system::error_code error;
      body = json::parse(body.as_string(), error);
    }
    if (!body.is_object()) {
      foreign = true;
      continue;
    }
    const json::object& fields = body.as_object();
    mixed |= ScalarText(fields.if_contains("snapshot")) != snapshot;
    foreign |= ScalarText(fields.if_contains("id")) != state.content_id;
    shards.emplace(StringOr(fields, "service", ""),
                   IntegerOr(fields, "shard", -1));
  }
  if (mixed) ++findings_.mixed_answers;
  if (foreign) ++findings_.foreign_results;
  // Coverage counts distinct shards; it must match the received results.
  if (shards.size() != state.sample.searched) ++findings_.coverage_mismatches;
}

asio::awaitable<void> load_generator::RunDirect(const load_stream& stream,
                                                request_state* state) {
  const auto& shards = options_.direct.at(stream.target);
  const std::string body = json::serialize(
      json::object{{"id", state->content_id}, {"text", stream.text}});
  auto query = std::make_shared<direct_query>(
      direct_query{shards.size(), 0, {}, false, asio::steady_timer(*context_)});
  query->done.expires_at(state->deadline +
                         std::chrono::milliseconds(options_.grace_ms));
  for (const auto& replicas : shards) {
    asio::co_spawn(*context_,
                   RunDirectShard(query, body, &replicas, state->deadline),
                   asio::detached);
  }
  co_await query->done.async_wait(kNoThrow);
  state->sample.total = static_cast<std::uint16_t>(shards.size());
  state->sample.searched = query->searched;
  state->sample.first_attempts = state->sample.total;
  state->sample.outcome = query->searched == shards.size()
                              ? load_outcome::kComplete
                              : load_outcome::kPartial;
  if (query->mixed) ++findings_.mixed_answers;
}

asio::awaitable<void> load_generator::RunDirectShard(
    std::shared_ptr<direct_query> query, std::string body,
    const std::vector<tcp_endpoint>* replicas, clock::time_point deadline) {
  while (clock::now() < deadline) {
    const auto& endpoint = (*replicas)[random_() % replicas->size()];
    http::request<http::string_body> request(http::verb::post, "/attempt", 11,
                                             body);
    request.set(http::field::host, "searcher");
    request.set("X-Attempt-Id", "direct-" + std::to_string(options_.seed) +
                                    "-" + std::to_string(next_request_++));
    request.set("X-Deadline-Ms",
                std::to_string(Microseconds(deadline - clock::now()) / 1000));
    request.prepare_payload();
    const http_reply reply =
        co_await PoolFor(endpoint)->Send(std::move(request), deadline);
    if (reply.failure == http_failure::kTimeout) break;
    if (reply.failure == http_failure::kNone &&
        reply.response.result_int() == 200) {
      ++query->searched;
      const std::string snapshot(reply.response["X-Snapshot"]);
      if (!query->snapshot.empty() && query->snapshot != snapshot) {
        query->mixed = true;
      }
      query->snapshot = snapshot;
      break;
    }
    asio::steady_timer pause(*context_, kDirectRetryPause);
    co_await pause.async_wait(kNoThrow);
  }
  if (--query->pending_shards == 0) query->done.cancel();
}

json::object load_generator::Report() const {
  json::object report =
      report_.Summarize(0, std::numeric_limits<std::int64_t>::max() / 2);
  report.erase("to_s");
  json::array windows;
  for (const auto& [from, to] : options_.windows) {
    windows.push_back(report_.Summarize(static_cast<std::int64_t>(from * 1e6),
                                        static_cast<std::int64_t>(to * 1e6)));
  }
  report["windows"] = std::move(windows);
  for (const auto& item : kFindings) report[item.name] = findings_.*item.value;
  report["codes"] = json::value_from(codes_);
  report["snapshots"] = json::value_from(snapshots_);
  if (options_.list_tokens) {
    report["tokens"] = json::value_from(token_outcomes_);
  }
  return report;
}

}  // namespace bilberrycourse
