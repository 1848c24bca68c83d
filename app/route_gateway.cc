#include "app/route_gateway.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"
#include "bilberrycourse/crash_evidence.h"
#include "bilberrycourse/placement/placement_strategy.h"

namespace bilberrycourse {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{400};
// Log lines per second about failed and refused requests.
constexpr double kFailureLogsPerSecond = 40;
// Log lines per second about requests that end during a shutdown.
constexpr double kStopLogsPerSecond = 200;
// Log lines per second about attempts after a refusal or a failure.
constexpr double kRetryLogsPerSecond = 20;
// Log lines per second about replies beyond a limit.
constexpr double kLimitLogsPerSecond = 5;
// Log lines per second about request limits and rests of searchers.
constexpr double kRequestLimitLogsPerSecond = 10;
// Log lines per second about replies with an invalid status.
constexpr double kStatusLogsPerSecond = 5;
// Log lines per second about reports of relays that are not used.
constexpr double kReportLogsPerSecond = 5;
// Log lines per second about attempts whose connection broke.
constexpr double kCrashLogsPerSecond = 10;
// Relayed requests up to this size are accepted whatever the others hold.
constexpr std::uint64_t kSmallRelayedRequestBytes = 2048;
// Missing shards listed in one log line; their total is always logged. A line
// must stay below 4 KB, the size up to which writes to a pipe are atomic.
constexpr std::size_t kMaxMissingListed = 12;
// Signatures beyond this size go into a further header field. Common HTTP
// implementations accept lines of 8 KB.
constexpr std::size_t kMaxListFieldBytes = 8000;
// Deadline of a request whose caller sets none.
constexpr duration kDefaultDeadline = std::chrono::hours(1);
// Longer deadlines are cut to this, far above any timeout of a route.
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;
// Retry-After value while this instance has no configuration.
constexpr double kUnconfiguredRetrySeconds = 0.7;
// One-way network delays between the caller's start and the first byte of its
// request: three on a new connection, as the TCP handshake takes a round trip.
constexpr int kOneWayDelaysOnNewConnection = 3;
// Time reserved for merging, local queueing and the reports of relays, which
// all arrive at the same time. With 4 ms, a fifth of the answers over 90 shards
// were up to 10 ms late.
constexpr duration kAnswerProcessingTime = std::chrono::milliseconds(8);

route_engine_options EngineOptions(const settings& config) {
  route_engine_options options;
  options.budget.ratio = config.retry_ratio;
  options.budget.allowance = config.retry_allowance;
  options.pool.strategy = &StrategyFor(config.balancing);
  options.answer_margin = config.caller_one_way + kAnswerProcessingTime;
  options.first_limit_request = FirstMessageId();
  return options;
}

account_gate_options GateOptions(const settings& config) {
  account_gate_options options;
  options.tolerance = QuotaTolerance(config);
  options.first_request = FirstMessageId();
  return options;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

// Returns the time of a deadline header, or nullopt if it is no whole number.
std::optional<duration> ParseDeadline(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error == std::errc::invalid_argument || last != end) return std::nullopt;
  if (error == std::errc::result_out_of_range) value = kMaxDeadlineMs;
  return std::chrono::milliseconds(std::min(value, kMaxDeadlineMs));
}

// Adds the items as a list, with as few fields as their size allows.
void AddListFields(const std::string& name,
                   const std::vector<std::string>& items,
                   header_list* headers) {
  std::string list;
  for (const std::string& item : items) {
    if (!list.empty() && list.size() + item.size() > kMaxListFieldBytes) {
      headers->emplace_back(name, std::exchange(list, {}));
    }
    if (!list.empty()) list += ", ";
    list += item;
  }
  headers->emplace_back(name, std::move(list));
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
      log_limiter_(kFailureLogsPerSecond),
      stop_log_limiter_(kStopLogsPerSecond),
      retry_log_limiter_(kRetryLogsPerSecond),
      limit_log_limiter_(kLimitLogsPerSecond),
      status_log_limiter_(kStatusLogsPerSecond),
      report_log_limiter_(kReportLogsPerSecond),
      request_limit_log_limiter_(kRequestLimitLogsPerSecond),
      crash_log_limiter_(kCrashLogsPerSecond),
      gate_(GateOptions(config)),
      engine_(EngineOptions(config), config.name, config.zone),
      client_(std::move(executor), ClientOptions(config, kConnectTimeout),
              protocol->headers(), this),
      authenticator_(RevocationOptions(config)),
      relayed_budget_(MemoryShares(config).relayed_requests,
                      kSmallRelayedRequestBytes),
      transport_(transport),
      plan_({}, config.name, config.zone),
      fallback_peers_(config.name, config.zone) {}

std::string route_gateway::HeaderValue(const http_request& request,
                                       const std::string& name) const {
  for (const auto& [header, value] : request.headers) {
    if (boost::beast::iequals(header, name)) return value;
  }
  return {};
}

// Copies of a request differ in their id, headers and deadline only.
fingerprint route_gateway::ContentOf(const forwarded_request& forwarded) {
  const std::string target =
      forwarded.method + ' ' + forwarded.host + forwarded.target;
  return MakeFingerprint(target, forwarded.body == nullptr
                                     ? std::string_view()
                                     : std::string_view(*forwarded.body));
}

void route_gateway::Refuse(const http_request& request, result_code code,
                           http_responder respond) {
  const time_point now = Now();
  if (log_limiter_.Allow(now)) {
    LogDecision(
        "request_refused",
        {{"request", HeaderValue(request, protocol_->headers().request_id)},
         {"code", Describe(code).number},
         {"reason", Describe(code).name},
         {"host", request.host},
         {"path", request.path},
         {"routes_version", table_ == nullptr ? 0 : table_->config().version},
         {"left_out", log_limiter_.TakeSuppressedCount()}});
  }
  http_response response = ProblemResponse(code);
  if (response.status == 503) response.retry_after = kUnconfiguredRetrySeconds;
  // RFC 9110, section 11.6.1: a response with 401 names the scheme.
  if (response.status == 401) {
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  respond(std::move(response));
}

void route_gateway::Handle(http_request request, http_responder respond) {
  if (table_ == nullptr) {
    return Refuse(request, result_code::kControlLeaseExpired,
                  std::move(respond));
  }
  const route* matched_route =
      table_->Match(WithoutPort(request.host), request.path);
  if (matched_route == nullptr) {
    return Refuse(request, result_code::kUnknownPath, std::move(respond));
  }
  arrived_request arrived{std::move(request), std::move(respond), table_,
                          matched_route, Now()};
  if (Authenticate(&arrived)) Admit(std::move(arrived));
}

void route_gateway::Begin(arrived_request arrived) {
  const time_point now = Now();
  const http_request& request = arrived.request;
  const authentication& sender = arrived.sender;
  if (!sender.MayBegin(now)) {
    if (arrived.pass.has_value()) gate_.Return(*arrived.pass, now);
    return Refuse(request, result_code::kControlLeaseExpired,
                  std::move(arrived.respond));
  }
  const edge_headers& names = protocol_->headers();
  const duration time_left = ParseDeadline(HeaderValue(request, names.deadline))
                                 .value_or(kDefaultDeadline) -
                             (now - arrived.at);
  // The deadline may pass while the request waits for a permit.
  if (arrived.pass.has_value() && time_left <= duration{0}) {
    gate_.Return(*arrived.pass, now);
    return Refuse(request, result_code::kDeadlinePassed,
                  std::move(arrived.respond));
  }
  const route_request_id id{next_request_++};
  call_state& state = calls_[id];
  state.matched_route = arrived.matched_route;
  state.table = arrived.table;
  state.forwarded.method = request.method;
  state.forwarded.target = request.target;
  state.forwarded.host = request.host;
  state.forwarded.request_id = HeaderValue(request, names.request_id);
  state.account = sender.account;
  state.key_digest = sender.key_digest;
  state.forwarded.headers = ForwardedHeaders(
      request.headers, *arrived.table,
      sender.account == nullptr ? std::string_view() : sender.account->name);
  if (!request.body.empty()) {
    state.forwarded.body =
        std::make_shared<const std::string>(std::move(arrived.request.body));
  }
  state.respond = std::move(arrived.respond);
  state.pass = std::move(arrived.pass);
  *request.on_disconnect = [this, id] { OnCallerDisconnected(id); };
  route_call call;
  call.id = id;
  call.table = arrived.table;
  call.matched_route = arrived.matched_route;
  call.content = ContentOf(state.forwarded);
  call.sent_at = EstimateSendTime(request, arrived.at);
  call.time_left = time_left;
  call.priority = state.priority();
  if (sender.last_start.has_value()) call.EndBy(*sender.last_start, now);
  call.relays =
      ReachableGroups(*arrived.matched_route,
                      /*checks_accounts=*/sender.key_digest != 0, now);
  route_effects effects;
  engine_.Begin(std::move(call), now, &effects);
  Execute(&effects);
}

// The caller may have closed only its sending side, which can't be told apart,
// and then still reads the answer. Its request may have run.
void route_gateway::OnCallerDisconnected(route_request_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const call_state call = std::move(found->second);
  calls_.erase(found);
  const time_point now = Now();
  log_limiter& limiter = finish_log_limiter();
  if (limiter.Allow(now)) {
    LogDecision("request_cancelled",
                {{"request", call.forwarded.request_id},
                 {"route", call.matched_route->name},
                 {"last_searcher", call.forwarded.searcher},
                 {"left_out", limiter.TakeSuppressedCount()}});
  }
  route_effects effects;
  engine_.Cancel(id, now, &effects);
  Execute(&effects);
  call.respond(ProblemResponse(result_code::kOutcomeUnknown));
}

// Estimates when the caller began its request; the latency objective is
// measured from there.
time_point route_gateway::EstimateSendTime(const http_request& request,
                                           time_point now) const {
  const auto first_byte = std::min(now, FromSteady(request.received_at));
  return first_byte -
         config_.caller_one_way *
             (request.first_on_connection ? kOneWayDelaysOnNewConnection : 1);
}

void route_gateway::SetInstances(std::uint32_t instances, time_point now) {
  route_effects effects;
  engine_.SetInstances(instances, now, &effects);
  Execute(&effects);
}

void route_gateway::StopAt(time_point end, time_point now) {
  stopping_ = true;
  gate_.StopAt(end);
  route_effects effects;
  engine_.StopAt(end, now, &effects);
  Execute(&effects);
}

void route_gateway::Tick(time_point now) {
  gate_.Tick(now);
  route_effects effects;
  engine_.Tick(now, &effects);
  Execute(&effects);
}

void route_gateway::OnSearcherOpened(connection_id connection) {
  route_effects effects;
  engine_.OnOpened(connection, Now(), &effects);
  Execute(&effects);
}

void route_gateway::OnSearcherClosed(connection_id connection,
                                     connection_end end) {
  const time_point now = Now();
  if (end == connection_end::kReplyLimit && limit_log_limiter_.Allow(now)) {
    const result_code code = result_code::kReplyTooLarge;
    LogEvent(log_level::kWarning, "reply_limit_exceeded",
             {{"searcher", engine_.SearcherOf(connection)},
              {"code", Describe(code).number},
              {"reason", Describe(code).name},
              {"left_out", limit_log_limiter_.TakeSuppressedCount()}});
  }
  route_effects effects;
  engine_.OnClosed(connection, end, now, &effects);
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

void route_gateway::OnLimitReply(const limit_reply& reply, time_point now) {
  route_effects effects;
  engine_.OnLimitReply(reply, now, &effects);
  Execute(&effects);
}

void route_gateway::Execute(route_effects* effects) {
  engine_.Flush(Now(), effects);
  for (route_effect& effect : *effects) {
    std::visit([this](auto& typed_effect) { ExecuteEffect(typed_effect); },
               effect);
  }
  wake_();
}

void route_gateway::ExecuteEffect(open_searcher_connection& effect) {
  client_.Open(effect.connection, effect.address);
}

void route_gateway::ExecuteEffect(close_searcher_connection& effect) {
  client_.Close(effect.connection);
}

void route_gateway::ExecuteEffect(send_to_searcher& effect) {
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
       {"lowest_score", effect.placement.lowest_score},
       {"other_zone", effect.placement.other_zone},
       {"remaining_ms", forwarded.remaining.count()},
       {"left_out", routine ? 0 : retry_log_limiter_.TakeSuppressedCount()}});
}

void route_gateway::ExecuteEffect(finish_route_request& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  const call_state call = std::move(found->second);
  calls_.erase(found);
  LogFinish(call, effect);
  ReturnPass(call, effect);
  const bool served = effect.code == result_code::kOk;
  const std::string_view outcome =
      !served
          ? std::string_view(Describe(effect.code).name)
          : std::string_view(effect.missing.empty() ? "complete" : "partial");
  const auto shards = static_cast<std::uint32_t>(
      std::max<std::size_t>(call.matched_route->shards.size(), 1));
  metrics_->RecordQuery(
      call.matched_route->name, outcome, effect.elapsed,
      effect.attempts > shards ? effect.attempts - shards : 0, shards,
      static_cast<std::uint32_t>(effect.merged ? effect.stamps.size()
                                               : (served ? 1 : 0)));
  call.respond(MakeResponse(effect));
}

void route_gateway::ExecuteEffect(send_limit_request& effect) {
  if (send_limit_request_ && send_limit_request_(effect.request)) return;
  route_effects effects;
  engine_.OnAllocatorUnavailable(effect.request.id, Now(), &effects);
  Execute(&effects);
}

http_response route_gateway::MakeResponse(
    const finish_route_request& finish) const {
  const edge_headers& names = protocol_->headers();
  if (finish.merged) {
    http_response response{200, "application/octet-stream", finish.body};
    AddListFields(names.shard_stamps, finish.stamps, &response.headers);
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

// Logs failed, refused and partial requests up to the limiter's rate, and other
// requests at the configured sampling rate. During a shutdown every request is
// logged up to a higher rate, so that the log tells how each one ended.
void route_gateway::LogFinish(const call_state& call,
                              const finish_route_request& finish) {
  const bool routine =
      finish.code == result_code::kOk && finish.missing.empty();
  log_limiter& limiter = finish_log_limiter();
  if (routine && !stopping_ ? !SampleDecision() : !limiter.Allow(Now())) return;
  boost::json::array missing;
  for (const missing_part& part : finish.missing) {
    if (missing.size() == kMaxMissingListed) break;
    missing.push_back(boost::json::object{
        {"service", part.service}, {"reason", Describe(part.code).name}});
  }
  LogDecision(
      "request_finished",
      {{"request", call.forwarded.request_id},
       {"route", call.matched_route->name},
       {"account", call.account == nullptr ? "" : call.account->name},
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
       {"left_out", limiter.TakeSuppressedCount()}});
}

void route_gateway::UpdateMetrics() {
  UpdateQuotaMetrics();
  const route_engine_counters& counters = engine_.counters();
  const struct {
    const char* name;
    const char* help;
    std::uint64_t value;
  } gauges[] = {
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
      {"bilberrycourse_isolated", "1 while no searcher can be reached.",
       engine_.isolated() ? 1U : 0U},
      {"bilberrycourse_isolations", "Times at which all searchers were lost.",
       counters.isolations},
      {"bilberrycourse_delegated_parts",
       "Shards that other instances were asked to search, because their "
       "searchers could not be reached.",
       counters.delegated_parts},
      {"bilberrycourse_refused_relay_reports",
       "Reports of other instances about shards that are not theirs.",
       counters.refused_reports},
      {"bilberrycourse_limit_permissions_wanted",
       "Permissions wanted for searchers that limit their requests.",
       counters.permissions_wanted},
      {"bilberrycourse_limit_permissions_granted", "Permissions granted.",
       counters.permissions_granted},
      {"bilberrycourse_rests",
       "Refusals of searchers that asked for rest by Retry-After.",
       counters.rests},
      {"bilberrycourse_limit_denials",
       "Attempts that a request limit moved or excluded.",
       counters.limit_denials},
      {"bilberrycourse_limit_allocator_losses",
       "Times at which the allocator of limits was lost.",
       counters.allocator_losses},
      {"bilberrycourse_placement_choices", "Choices of a searcher.",
       counters.choices},
      {"bilberrycourse_placement_not_lowest",
       "Choices of a searcher that did not have the lowest score.",
       counters.choices_not_lowest},
      {"bilberrycourse_placement_other_zone",
       "Choices of a searcher in another availability zone.",
       counters.choices_other_zone},
      {"bilberrycourse_searcher_crashes",
       "Searchers that crashed while they ran a request of this instance.",
       counters.searcher_crashes},
      {"bilberrycourse_quarantine_refusals",
       "Requests refused because their content has crashed searchers.",
       counters.quarantine_refusals},
      {"bilberrycourse_searchers", "Searchers in the directory.",
       engine_.pool().size()},
      {"bilberrycourse_evacuated_zones",
       "Availability zones whose searchers are evacuated.",
       engine_.pool().evacuated_zone_count()},
      {"bilberrycourse_searcher_connections", "Connections to searchers.",
       client_.connections()},
      {"bilberrycourse_reply_limit_closes",
       "Connections closed because a searcher sent too many bytes.",
       client_.limit_closes()},
      {"bilberrycourse_route_invalid_replies",
       "Replies of searchers with a status that HTTP does not have.",
       invalid_replies_},
      {"bilberrycourse_reply_bytes", "Memory of replies that are being read.",
       client_.buffered_bytes()},
      {"bilberrycourse_relayed_request_bytes",
       "Memory of requests that are run as a relay.",
       relayed_budget_.used_bytes()},
      {"bilberrycourse_relayed_request_refusals",
       "Requests of other instances refused for lack of memory.",
       relayed_budget_.reclaims()},
  };
  for (const auto& gauge : gauges) {
    metrics_->SetGauge(gauge.name, gauge.help,
                       static_cast<double>(gauge.value));
  }
  UpdateAccountMetrics();
}

}  // namespace bilberrycourse
