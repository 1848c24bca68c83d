#include "app/daemon.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <utility>

#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"
#include "app/listening_socket.h"
#include "app/shutdown_log.h"

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr duration kTickPeriod = std::chrono::milliseconds(10);
// An instance that shuts down keeps serving its shards for this long, until the
// others have processed its departure.
constexpr duration kHandoverTime = std::chrono::milliseconds(700);
constexpr duration kShardSetTimeout = std::chrono::seconds(5);

std::uint64_t StartIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

peer_transport_options TransportOptions(const settings& config) {
  peer_transport_options options;
  options.self = config.name;
  options.listen = config.peer_listen;
  options.shared_key = config.shared_key;
  options.max_backlog_bytes = MemoryShares(config).peer_backlog;
  return options;
}

http_server_options HttpOptions(const settings& config) {
  http_server_options options;
  options.listen = config.caller_listen;
  options.max_request_bytes = config.max_request_bytes;
  options.max_connections = config.max_connections;
  options.max_buffered_bytes = MemoryShares(config).callers;
  options.read_timeout = config.read_timeout;
  return options;
}

std::unique_ptr<control_service> MakeControlService(
    boost::asio::any_io_executor executor, const settings& config,
    peer_transport* transport) {
  if (!config.control) return nullptr;
  return std::make_unique<control_service>(std::move(executor), config,
                                           transport);
}

// Reads an announcement; throws std::exception on a missing or wrong field.
backend_server_record ParseAnnouncement(const json::object& body) {
  backend_server_record record;
  record.key.shard.service = std::string(body.at("service").as_string());
  record.key.shard.shard = body.at("shard").to_number<std::uint32_t>();
  record.key.replica = std::string(body.at("replica").as_string());
  record.shard_count = body.at("shard_count").to_number<std::uint32_t>();
  record.incarnation = body.at("incarnation").to_number<std::uint64_t>();
  record.address = std::string(body.at("address").as_string());
  record.zone = std::string(body.at("availability_zone").as_string());
  record.slots = body.at("slots").to_number<std::uint32_t>();
  record.connection_limit =
      body.at("connection_limit").to_number<std::uint32_t>();
  for (const json::value& version : body.at("versions").as_array()) {
    record.versions.push_back(
        index_version{version.to_number<std::uint64_t>()});
  }
  std::sort(record.versions.begin(), record.versions.end());
  const std::string_view state = body.at("state").as_string();
  if (state != "serving" && state != "draining") {
    throw std::invalid_argument("state must be serving or draining");
  }
  record.state = state == "draining" ? backend_server_state::kDraining
                                     : backend_server_state::kServing;
  socket_address address;
  if (!ParseSocketAddress(record.address, &address)) {
    throw std::invalid_argument("address must be an IP number with a port");
  }
  return record;
}

}  // namespace

const daemon_process::frame_route daemon_process::kFrameRoutes[] = {
    {wire::payload::membership, &daemon_process::OnMembership},
    {wire::payload::gossip, &daemon_process::OnGossip},
    {wire::payload::read_result, &daemon_process::OnReadResult},
    {wire::payload::shard_batch, &daemon_process::OnQueryFrame},
    {wire::payload::shard_result_batch, &daemon_process::OnQueryFrame},
    {wire::payload::shard_cancel, &daemon_process::OnQueryFrame},
    {wire::payload::canary_started, &daemon_process::OnQueryFrame},
    {wire::payload::heartbeat, &daemon_process::OnQueryFrame},
    {wire::payload::admission_batch, &daemon_process::OnQueryFrame},
};

daemon_process::daemon_process(settings config)
    : config_(std::move(config)),
      incarnation_(StartIncarnation()),
      signals_(context_, SIGTERM, SIGINT),
      timer_(context_),
      transport_(context_.get_executor(), TransportOptions(config_), this),
      control_service_(
          MakeControlService(context_.get_executor(), config_, &transport_)),
      cluster_(config_, incarnation_, &transport_, this),
      control_client_(config_, &transport_, control_service_.get(), this),
      control_frames_(&transport_, control_service_.get(), &control_client_,
                      config_.zone),
      queries_(context_.get_executor(), config_, incarnation_, &transport_,
               &cluster_, &metrics_),
      ledger_(config_, incarnation_, &control_client_),
      callers_(&control_client_, &queries_, &ledger_),
      operators_(config_, &transport_, &cluster_, &control_client_,
                 control_service_.get(), &queries_),
      http_(context_.get_executor(), HttpOptions(config_),
            [this](http_request request, http_responder respond) {
              HandleHttp(std::move(request), std::move(respond));
            }) {}

daemon_process::~daemon_process() = default;

boost::leaf::result<void> daemon_process::Run() {
  // The callers' address comes last: nothing answers there before this returns.
  BOOST_LEAF_AUTO(peers_listen,
                  ListenWhenFree([this] { return transport_.Listen(); }));
  if (!peers_listen) return {};
  BOOST_LEAF_AUTO(callers_listen,
                  ListenWhenFree([this] { return http_.Listen(); }));
  if (!callers_listen) return {};
  const time_point now = Now();
  if (control_service_ != nullptr) control_service_->Start(now);
  cluster_.Start(now);
  SubscribeTimers(now);
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) BeginShutdown();
  });
  LogEvent(log_level::kInfo, "started",
           {{"incarnation", incarnation_},
            {"entry", config_.entry},
            {"control", config_.control},
            {"caller_address", config_.caller_listen.ToText()},
            {"peer_address", config_.peer_listen.ToText()}});
  ArmTimer();
  context_.run();
  if (control_service_ != nullptr) control_service_->Drain();
  LogEvent(log_level::kInfo, "stopped", {});
  return {};
}

void daemon_process::SubscribeTimers(time_point now) {
  timers_.SubscribePeriodic(
      kTickPeriod, now, [this](time_point t) { Tick(t); }, &tick_);
}

// Arms the timer for the earlier of the next tick and the next due time of the
// query path, whose hedges and refusals are due between ticks.
void daemon_process::ArmTimer() {
  const auto due = queries_.next_due();
  if (due.has_value()) {
    timers_.SubscribeOnce(
        std::max(*due, Now()), [this](time_point t) { queries_.Tick(t); },
        &due_);
  }
  const auto next = timers_.next_due();
  if (!next.has_value()) return;
  timer_.expires_at(ToSteady(*next));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) OnTimer();
  });
}

void daemon_process::OnTimer() {
  timers_.Advance(Now());
  ArmTimer();
}

void daemon_process::Tick(time_point now) {
  if (control_service_ != nullptr) control_service_->Tick(now);
  control_client_.Tick(now);
  const control_lease& lease = control_client_.lease();
  control_freshness freshness;
  freshness.config_version = control_client_.published().config_version;
  freshness.state_version = lease.confirmed_version();
  freshness.age = lease.ConfirmationAge(now).value_or(duration::max());
  cluster_.SetFreshness(freshness, now);
  cluster_.Tick(now);
  queries_.SetSendingAllowed(lease.Valid(now), now);
  queries_.Tick(now);
  ledger_.Tick(now);
  operators_.Tick(now);
  if (shutting_down_) CheckShutdown(now);
}

void daemon_process::OnPeerConnected(const instance_name& peer) {
  LogEvent(log_level::kInfo, "peer_connected", {{"peer", peer}});
  const time_point now = Now();
  cluster_.OnPeerConnected(peer, now);
  queries_.OnPeerConnected(peer, now);
}

void daemon_process::OnPeerDisconnected(const instance_name& peer) {
  const time_point now = Now();
  LogEvent(log_level::kInfo, "peer_disconnected", {{"peer", peer}});
  control_client_.OnPeerDisconnected(peer, now);
  queries_.OnPeerDisconnected(peer, now);
}

void daemon_process::OnPeerFrame(const instance_name& peer,
                                 const wire::peer_frame& frame) {
  const auto* route =
      std::find_if(std::begin(kFrameRoutes), std::end(kFrameRoutes),
                   [&](const frame_route& candidate) {
                     return candidate.type == frame.payload_type();
                   });
  const time_point now = Now();
  if (route != std::end(kFrameRoutes)) {
    queries_.OnPeerFrameReceived(peer, now);
    (this->*route->handle)(peer, frame, now);
  } else if (control_frames_.Handle(peer, frame, now)) {
    queries_.OnPeerFrameReceived(peer, now);
  }
}

void daemon_process::OnMembership(const instance_name& peer,
                                  const wire::peer_frame& frame,
                                  time_point now) {
  cluster_.OnMembershipFrame(
      peer, ToText(frame.payload_as_membership()->payload()), now);
}

void daemon_process::OnGossip(const instance_name& peer,
                              const wire::peer_frame& frame, time_point now) {
  cluster_.OnGossipFrame(peer, ToText(frame.payload_as_gossip()->payload()),
                         now);
}

void daemon_process::OnReadResult(const instance_name& peer,
                                  const wire::peer_frame& frame,
                                  time_point now) {
  const wire::read_result* result = frame.payload_as_read_result();
  operators_.OnInForceReply(peer, *result);
  control_frames_.Handle(peer, frame, now);
}

void daemon_process::OnQueryFrame(const instance_name& peer,
                                  const wire::peer_frame& frame,
                                  time_point now) {
  queries_.OnPeerFrame(peer, frame, now);
}

void daemon_process::OnBackendServer(const backend_server_record& record) {
  queries_.OnBackendServer(record, Now());
}

void daemon_process::OnOwnership() { queries_.OnOwnership(Now()); }

void daemon_process::OnFreshness(const freshness_received& received) {
  const time_point now = Now();
  const control_freshness& freshness = received.freshness;
  if (received.probe_sent_at.has_value() && freshness.age != duration::max()) {
    control_client_.OnRelayed(received.from, *received.probe_sent_at,
                              freshness.age, freshness.state_version, now);
  } else {
    control_client_.OnHint(received.from, freshness.state_version, now);
  }
}

void daemon_process::OnCrashEvidence(const crash_evidence_record& record) {
  queries_.OnCrashEvidence(record, Now());
}

void daemon_process::OnPublished(const published_state& state) {
  LogEvent(log_level::kInfo, "configuration_in_force",
           {{"version", state.config_version},
            {"published_version", state.published_version}});
  queries_.OnPublished(state, Now());
}

bool daemon_process::Ready(time_point now) const {
  return config_.entry && !shutting_down_ && control_client_.lease().Valid(now);
}

void daemon_process::HandleHttp(http_request request, http_responder respond) {
  const std::string& path = request.path;
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path == "/query" && config_.entry) {
    if (!post) return respond(ProblemResponse(result_code::kMethodNotAllowed));
    return callers_.Query(std::move(request), std::move(respond));
  }
  if (path == "/announce" && config_.entry) {
    if (!post) return respond(ProblemResponse(result_code::kMethodNotAllowed));
    return HandleAnnounce(request, std::move(respond));
  }
  if (path == "/healthz" && get) {
    return respond({200, "application/json", R"({"status":"ok"})", 0});
  }
  if (path == "/readyz" && get) {
    if (Ready(Now())) {
      return respond({200, "application/json", R"({"status":"ready"})", 0});
    }
    return respond(ProblemResponse(shutting_down_
                                       ? result_code::kShuttingDown
                                       : result_code::kControlLeaseExpired));
  }
  if (path == "/metrics" && get) return HandleMetrics(std::move(respond));
  if (operators_.Handle(request, respond)) return;
  respond(ProblemResponse(result_code::kUnknownPath));
}

void daemon_process::HandleAnnounce(const http_request& request,
                                    http_responder respond) {
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  if (error || !body.is_object()) {
    return respond(ProblemResponse(result_code::kMalformedRequest));
  }
  backend_server_record record;
  try {
    record = ParseAnnouncement(body.get_object());
  } catch (const std::exception& exception) {
    return respond(
        ProblemResponse(result_code::kInvalidField, exception.what()));
  }
  result_code code = RecordShardSets(record);
  if (code == result_code::kOk) code = cluster_.Announce(record, Now());
  if (code != result_code::kOk) return respond(ProblemResponse(code));
  respond({200, "application/json",
           json::serialize(json::object{{"registrar", config_.name}}), 0});
}

result_code daemon_process::RecordShardSets(
    const backend_server_record& record) {
  const std::string& service = record.key.shard.service;
  for (const index_version version : record.versions) {
    const auto count =
        queries_.directory().RecordedShardCount(service, version);
    if (count.has_value()) {
      if (*count != record.shard_count) return result_code::kShardCountConflict;
      continue;
    }
    if (!proposed_shard_sets_.insert({service, version}).second) continue;
    LogDecision("shard_set_proposed",
                {{"service", service},
                 {"version", static_cast<std::uint64_t>(version)},
                 {"shard_count", record.shard_count}});
    control_client_.Propose(
        EncodeCommand(shard_set_record{service, version, record.shard_count}),
        Now() + kShardSetTimeout,
        [this, service, version](const control_reply& reply) {
          // kOk means that the group has accepted or refused the record. It
          // stays listed, so that announcement renewals do not propose it
          // again.
          if (reply.code == result_code::kOk) return;
          proposed_shard_sets_.erase({service, version});
        });
  }
  return result_code::kOk;
}

void daemon_process::HandleMetrics(http_responder respond) {
  const peer_transport_counters& peers = transport_.counters();
  const dispatch_counters& dispatch = queries_.dispatcher().counters();
  const coordinator_counters& coordinator = queries_.coordinator().counters();
  const struct {
    const char* name;
    const char* help;
    std::uint64_t value;
  } gauges[] = {
      {"bilberrycourse_queries_in_flight", "Queries of this origin.",
       queries_.coordinator().in_flight()},
      {"bilberrycourse_backend_connections", "Open or opening connections.",
       queries_.backend_connections()},
      {"bilberrycourse_backend_invalid_replies",
       "Replies of backend servers with a status that HTTP does not have.",
       queries_.invalid_backend_replies()},
      {"bilberrycourse_peer_bytes_sent", "Bytes sent to peers.",
       peers.bytes_sent},
      {"bilberrycourse_peer_bytes_received", "Bytes received from peers.",
       peers.bytes_received},
      {"bilberrycourse_peer_links_rejected", "Links without a valid proof.",
       peers.rejected_links},
      {"bilberrycourse_first_attempts", "First attempts sent as owner.",
       dispatch.first_attempts},
      {"bilberrycourse_hedges", "Hedged attempts sent as owner.",
       dispatch.hedges},
      {"bilberrycourse_probes", "Probing attempts sent as owner.",
       dispatch.probes},
      {"bilberrycourse_retries", "Retries sent as owner.", dispatch.retries},
      {"bilberrycourse_sheds", "Attempts that searchers refused.",
       dispatch.sheds},
      {"bilberrycourse_crashes", "Connections broken while running.",
       dispatch.crashes},
      {"bilberrycourse_late_replies", "Replies after the result.",
       dispatch.late_replies},
      {"bilberrycourse_wrong_version_replies",
       "Replies of another index version, dropped.",
       dispatch.wrong_version_replies + coordinator.wrong_version_results},
      {"bilberrycourse_dropped_results", "Results of abandoned requests.",
       coordinator.dropped_results},
      {"bilberrycourse_restarted_queries",
       "Queries that moved to another version.", coordinator.restarted},
      {"bilberrycourse_sent_to_deputy", "Requests sent to a deputy.",
       coordinator.sent_to_deputy},
  };
  for (const auto& gauge : gauges) {
    metrics_.SetGauge(gauge.name, gauge.help, static_cast<double>(gauge.value));
  }
  respond({200, "text/plain; version=0.0.4", metrics_.Text(), 0});
}

void daemon_process::BeginShutdown() {
  if (shutting_down_) return;
  shutting_down_ = true;
  shutdown_started_ = Now();
  LogEvent(log_level::kInfo, "shutdown_started",
           {{"in_flight", callers_.in_flight()}});
  callers_.Drain();
  http_.BeginDrain();
  cluster_.Leave(shutdown_started_);
  if (control_service_ != nullptr) {
    control_service_->TransferLeadership(shutdown_started_);
  }
}

void daemon_process::CheckShutdown(time_point now) {
  const bool handed_over = now - shutdown_started_ >= kHandoverTime;
  const bool idle = callers_.in_flight() == 0 && queries_.drained();
  const duration left = shutdown_started_ + config_.shutdown_grace - now;
  const bool grace_expired = left <= duration{0};
  if (left <= kStopAnswerMargin) callers_.AnswerUnfinished(now);
  if (!(handed_over && idle) && !grace_expired) return;
  // Responses that are being written may finish before connections close.
  http_.StopAccepting();
  if (http_.pending() > 0 && !grace_expired) return;
  if (!links_close_at_.has_value()) {
    links_close_at_ = std::min(now + kStopLinkTime,
                               shutdown_started_ + config_.shutdown_grace);
  }
  if (!transport_.delivered() && now < *links_close_at_) return;
  LogCutOffConnections(http_);
  LogEvent(log_level::kInfo, "shutdown_finished",
           {{"unfinished", callers_.in_flight()},
            {"connections", http_.pending()},
            {"elapsed_ms", (now - shutdown_started_).count() / 1000}});
  http_.Close();
  transport_.Close();
  context_.stop();
}

}  // namespace bilberrycourse
