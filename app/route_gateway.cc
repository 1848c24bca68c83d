#include "app/route_gateway.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// Failed and refused requests explained in the log, per second.
constexpr double kExplainedPerSecond = 40;
// Attempts after a refusal or a failure that are logged, per second.
constexpr double kRetriesPerSecond = 20;
// Missing shards that one line names; their number is always stated. A line
// must stay below the 4 KB that a pipe takes at once.
constexpr std::size_t kMaxMissingListed = 12;
// A request without a deadline of its caller.
constexpr duration kNoDeadline = std::chrono::hours(1);
// When to come back to an instance that knows no configuration yet.
constexpr double kUnconfiguredRetrySeconds = 0.7;
// Ways between caller and instance before the first byte of a request: three on
// a new connection, whose opening takes a round trip.
constexpr int kWaysOnNewConnection = 3;
// For the merge, the queues of the instance itself and the reports of relays,
// which all arrive at the same moment: with 4 ms a fifth of the answers over 90
// shards came up to 10 ms too late.
constexpr duration kAnswerTime = std::chrono::milliseconds(8);

route_engine_options EngineOptions(const settings& config) {
  route_engine_options options;
  options.budget.ratio = config.retry_ratio;
  options.budget.allowance = config.retry_allowance;
  options.answer_margin = config.caller_one_way + kAnswerTime;
  return options;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::optional<duration> ParseMillis(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end || value < 0) return std::nullopt;
  return std::chrono::milliseconds(value);
}

std::string Joined(const std::vector<std::string>& items) {
  std::string out;
  for (const std::string& item : items) {
    if (!out.empty()) out += ", ";
    out += item;
  }
  return out;
}

}  // namespace

route_gateway::route_gateway(boost::asio::any_io_executor executor,
                             const settings& config,
                             const edge_protocol* protocol,
                             peer_transport* transport, metrics* counters,
                             std::function<void()> wake)
    : config_(config),
      protocol_(protocol),
      metrics_(counters),
      wake_(std::move(wake)),
      log_limiter_(kExplainedPerSecond),
      retry_log_limiter_(kRetriesPerSecond),
      engine_(EngineOptions(config), config.name, config.zone),
      client_(std::move(executor), {}, protocol->headers(), this),
      transport_(transport),
      plan_({}, config.name, config.zone) {}

std::string route_gateway::HeaderOf(const http_request& request,
                                    const std::string& name) const {
  for (const auto& [each, value] : request.headers) {
    if (boost::beast::iequals(each, name)) return value;
  }
  return {};
}

// Headers that the tier sets itself are not passed on.
std::shared_ptr<const header_list> route_gateway::ForwardedHeaders(
    const header_list& headers) const {
  const edge_headers& names = protocol_->headers();
  auto out = std::make_shared<header_list>();
  for (const auto& header : headers) {
    const bool own =
        boost::beast::iequals(header.first, names.deadline) ||
        boost::beast::iequals(header.first, names.expected_searcher) ||
        boost::beast::iequals(header.first, names.request_id);
    if (!own) out->push_back(header);
  }
  return out;
}

void route_gateway::Refuse(const http_request& request, result_code code,
                           http_responder respond) {
  const time_point now = Now();
  if (log_limiter_.Allow(now)) {
    LogDecision(
        "request_refused",
        {{"request", HeaderOf(request, protocol_->headers().request_id)},
         {"code", Describe(code).number},
         {"reason", Describe(code).name},
         {"host", request.host},
         {"path", request.path},
         {"routes_version", table_ == nullptr ? 0 : table_->config().version},
         {"left_out", log_limiter_.TakeSuppressedCount()}});
  }
  http_response response = ProblemResponse(code);
  if (response.status == 503) response.retry_after = kUnconfiguredRetrySeconds;
  respond(std::move(response));
}

void route_gateway::Handle(http_request request, http_responder respond) {
  if (table_ == nullptr) {
    return Refuse(request, result_code::kControlLeaseExpired,
                  std::move(respond));
  }
  const route* matched = table_->Match(WithoutPort(request.host), request.path);
  if (matched == nullptr) {
    return Refuse(request, result_code::kUnknownPath, std::move(respond));
  }
  const time_point now = Now();
  const edge_headers& names = protocol_->headers();
  const route_request_id id{next_request_++};
  call_row& row = calls_[id];
  row.matched = matched;
  row.table = table_;
  row.forwarded.method = request.method;
  row.forwarded.target = request.target;
  row.forwarded.host = request.host;
  row.forwarded.request_id = HeaderOf(request, names.request_id);
  row.forwarded.headers = ForwardedHeaders(request.headers);
  if (!request.body.empty()) {
    row.forwarded.body =
        std::make_shared<const std::string>(std::move(request.body));
  }
  row.respond = std::move(respond);
  *request.on_disconnect = [this, id] { OnCallerLeft(id); };
  route_call call;
  call.id = id;
  call.table = table_;
  call.matched = matched;
  call.sent_at = SentAt(request, now);
  call.time_left =
      ParseMillis(HeaderOf(request, names.deadline)).value_or(kNoDeadline);
  call.relays = UsableGroups(*matched, now);
  route_effects effects;
  engine_.Begin(std::move(call), now, &effects);
  Execute(&effects);
}

// The responder must be called all the same: it lets go of the connection.
void route_gateway::OnCallerLeft(route_request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const http_responder respond = std::move(found->second.respond);
  calls_.erase(found);
  route_effects effects;
  engine_.Cancel(id, Now(), &effects);
  Execute(&effects);
  http_response abandoned;
  abandoned.abort = true;
  respond(std::move(abandoned));
}

// When the caller began: the latency objective counts from there.
time_point route_gateway::SentAt(const http_request& request,
                                 time_point now) const {
  const auto first_byte = std::min(now, FromSteady(request.received_at));
  return first_byte -
         config_.caller_one_way *
             (request.first_on_connection ? kWaysOnNewConnection : 1);
}

void route_gateway::OnRouteNews(const route_news& news, time_point now) {
  route_effects effects;
  if (news.routes.version > 0) {
    std::string problem;
    auto config = protocol_->ReadRoutes(news.routes.document, &problem);
    if (config.has_value()) {
      LogEvent(log_level::kInfo, "routes_in_force",
               {{"version", config->version},
                {"routes", config->routes.size()},
                {"services", config->services.size()}});
      table_ = std::make_shared<const route_table>(
          std::make_shared<const route_config>(*std::move(config)));
      engine_.SetRoutes(table_, now, &effects);
      PlanRelays();
    } else {
      LogEvent(log_level::kError, "routes_unreadable",
               {{"version", news.routes.version}, {"problem", problem}});
    }
  }
  const bool whole = news.base_revision == 0;
  LogSearchers(news, whole);
  engine_.UpdateSearchers(news.searchers, whole, now, &effects);
  Execute(&effects);
}

// A line for each change, but one line for a whole list: the control instances
// have logged its searchers, and when all instances restart at once their
// processors are short.
void route_gateway::LogSearchers(const route_news& news, bool whole) {
  if (whole) {
    if (news.searchers.empty()) return;
    LogEvent(
        log_level::kInfo, "searchers_loaded",
        {{"searchers", news.searchers.size()}, {"revision", news.revision}});
    return;
  }
  for (const searcher_record& each : news.searchers) {
    LogDecision("searcher_changed",
                {{"searcher", each.report.id},
                 {"service", each.report.service},
                 {"address", each.report.address},
                 {"state", ToString(each.report.state)},
                 {"started_at_ms", each.report.started_at_ms},
                 {"revision", each.revision}});
  }
}

void route_gateway::SetInstances(std::uint32_t instances) {
  engine_.SetInstances(instances);
}

void route_gateway::Tick(time_point now) {
  route_effects effects;
  engine_.Tick(now, &effects);
  Execute(&effects);
}

void route_gateway::OnSearcherOpened(connection_id connection) {
  route_effects effects;
  engine_.OnOpened(connection, Now(), &effects);
  Execute(&effects);
}

void route_gateway::OnSearcherClosed(connection_id connection) {
  route_effects effects;
  engine_.OnClosed(connection, Now(), &effects);
  Execute(&effects);
}

void route_gateway::OnSearcherReply(connection_id connection,
                                    searcher_reply_pointer reply,
                                    bool keep_alive,
                                    std::optional<duration> idle_limit) {
  route_effects effects;
  engine_.OnReply(connection, std::move(reply), keep_alive, idle_limit, Now(),
                  &effects);
  Execute(&effects);
}

void route_gateway::Execute(route_effects* effects) {
  for (route_effect& effect : *effects) {
    std::visit([this](auto& each) { Do(each); }, effect);
  }
  wake_();
}

void route_gateway::Do(open_searcher_connection& effect) {
  client_.Open(effect.connection, effect.address);
}

void route_gateway::Do(close_searcher_connection& effect) {
  client_.Close(effect.connection);
}

void route_gateway::Do(send_to_searcher& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  forwarded_request& forwarded = found->second.forwarded;
  forwarded.searcher = effect.searcher;
  forwarded.remaining = std::max(
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.remaining),
      std::chrono::milliseconds(1));
  client_.Send(effect.connection, forwarded);
  const bool routine = effect.reason == send_reason::kFirst ||
                       effect.reason == send_reason::kHedge;
  if (routine ? !SampleDecision() : !retry_log_limiter_.Allow(Now())) return;
  LogDecision(
      "request_sent",
      {{"request", forwarded.request_id},
       {"searcher", effect.searcher},
       {"reason", ToString(effect.reason)},
       {"expected_us", effect.expected.count()},
       {"in_flight", effect.in_flight},
       {"remaining_ms", forwarded.remaining.count()},
       {"left_out", routine ? 0 : retry_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::Do(finish_route_request& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  const call_row call = std::move(found->second);
  calls_.erase(found);
  LogFinish(call, effect);
  const bool served = effect.code == result_code::kOk;
  const std::string_view outcome =
      !served
          ? std::string_view(Describe(effect.code).name)
          : std::string_view(effect.missing.empty() ? "complete" : "partial");
  const auto shards = static_cast<std::uint32_t>(
      std::max<std::size_t>(call.matched->shards.size(), 1));
  metrics_->RecordQuery(
      call.matched->name, outcome, effect.elapsed,
      effect.attempts > shards ? effect.attempts - shards : 0, shards,
      static_cast<std::uint32_t>(effect.merged ? effect.stamps.size()
                                               : (served ? 1 : 0)));
  call.respond(MakeResponse(effect));
}

http_response route_gateway::MakeResponse(
    const finish_route_request& finish) const {
  const edge_headers& names = protocol_->headers();
  if (finish.merged) {
    http_response response{200, "application/octet-stream", finish.body};
    response.headers.emplace_back(names.shard_stamps, Joined(finish.stamps));
    response.headers.emplace_back(names.missing_shards,
                                  std::to_string(finish.missing.size()));
    return response;
  }
  if (finish.reply != nullptr) {
    http_response response{finish.reply->status, "", finish.reply->body};
    response.headers = finish.reply->headers;
    return response;
  }
  http_response response = ProblemResponse(finish.code);
  response.retry_after =
      std::chrono::duration<double>(finish.retry_after).count();
  return response;
}

// Failed, refused and partial requests are always explained, within the bound
// of the limiter; others by the sampling rate of the settings.
void route_gateway::LogFinish(const call_row& call,
                              const finish_route_request& finish) {
  const bool routine =
      finish.code == result_code::kOk && finish.missing.empty();
  if (routine ? !SampleDecision() : !log_limiter_.Allow(Now())) return;
  boost::json::array missing;
  for (const missing_part& each : finish.missing) {
    if (missing.size() == kMaxMissingListed) break;
    missing.push_back(boost::json::object{
        {"service", each.service}, {"reason", Describe(each.code).name}});
  }
  LogDecision(
      "request_finished",
      {{"request", call.forwarded.request_id},
       {"route", call.matched->name},
       {"routes_version", call.table->config().version},
       {"code", Describe(finish.code).number},
       {"reason", Describe(finish.code).name},
       {"searcher_status", finish.reply == nullptr ? 0 : finish.reply->status},
       {"attempts", finish.attempts},
       {"hedges", finish.hedges},
       {"last_searcher", finish.last_searcher},
       {"missing_count", finish.missing.size()},
       {"missing", std::move(missing)},
       {"elapsed_us", finish.elapsed.count()},
       {"retry_after_ms", finish.retry_after.count() / 1000},
       {"left_out", log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::UpdateMetrics() {
  const route_engine_counters& counters = engine_.counters();
  const struct {
    const char* name;
    const char* help;
    std::uint64_t value;
  } rows[] = {
      {"bilberrycourse_route_in_flight", "Requests in flight.",
       engine_.in_flight()},
      {"bilberrycourse_route_requests", "Requests begun.", counters.requests},
      {"bilberrycourse_route_refused", "Requests refused as not run.",
       counters.refused},
      {"bilberrycourse_route_failed", "Requests failed after an attempt.",
       counters.failed},
      {"bilberrycourse_route_partial", "Answers with missing shards.",
       counters.partial},
      {"bilberrycourse_route_cancelled", "Requests whose caller left.",
       counters.cancelled},
      {"bilberrycourse_route_first_attempts", "First attempts.",
       counters.first_attempts},
      {"bilberrycourse_route_hedges", "Hedged attempts.", counters.hedges},
      {"bilberrycourse_route_retries", "Attempts after a failure.",
       counters.retries},
      {"bilberrycourse_route_budget_refusals",
       "Repeats that the retry budget did not allow.",
       counters.budget_refusals},
      {"bilberrycourse_route_not_executed", "Attempts that searchers refused.",
       counters.not_executed},
      {"bilberrycourse_route_broken_attempts",
       "Attempts without a complete reply.", counters.broken_attempts},
      {"bilberrycourse_route_late_replies", "Replies that nobody waited for.",
       counters.late_replies},
      {"bilberrycourse_searchers", "Searchers in the directory.",
       engine_.pool().size()},
      {"bilberrycourse_searcher_connections", "Connections to searchers.",
       client_.connections()},
  };
  for (const auto& row : rows) {
    metrics_->SetGauge(row.name, row.help, static_cast<double>(row.value));
  }
}

}  // namespace bilberrycourse
