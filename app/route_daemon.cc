#include "app/route_daemon.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "app/crash_frames.h"
#include "app/daemon_clock.h"
#include "app/frames.h"
#include "app/json_log.h"
#include "app/limit_frames.h"
#include "app/listening_socket.h"
#include "app/process_memory.h"
#include "app/quota_frames.h"
#include "app/shutdown_log.h"

namespace bilberrycourse {
namespace {

// Consensus timeouts are tens of milliseconds. An entry instance has a separate
// timer for events that are due between ticks.
constexpr duration kControlTickPeriod = std::chrono::milliseconds(10);
constexpr duration kEntryTickPeriod = std::chrono::milliseconds(50);
constexpr duration kDialPeriod = std::chrono::milliseconds(250);
// Links among control instances carry votes, so their loss must be detected
// well within the 4 s after which the users expect the group to work again
// (contactMs). Entry instances have many links; what depends on a frame that
// does not arrive probes its link (peer_transport::Probe()).
constexpr std::chrono::milliseconds kControlPingPeriod{500};
constexpr std::chrono::milliseconds kEntryPingPeriod{3000};
constexpr int kMaxMissedPings = 3;
// The leader passes crash evidence on without being asked. The loss of its link
// would show by nothing else while another member answers the polls.
constexpr duration kLeaderProbePeriod = std::chrono::milliseconds(1500);
constexpr std::chrono::milliseconds kHandshakeTimeout{1000};
constexpr duration kSettingsCheckPeriod = std::chrono::seconds(1);
// An entry instance that was disconnected for less than this keeps its share of
// the retry budget, because it may have spent it already.
constexpr duration kEntryCountHoldTime = std::chrono::seconds(10);
// A control instance sends no list of entry instances for this long after its
// start, because those that have not connected yet would be missing.
constexpr duration kEntryCountStartDelay = std::chrono::seconds(2);
// On shutdown, idle connections are closed this long before the end of the
// grace period.
constexpr duration kIdleCloseMargin = std::chrono::milliseconds(1200);
// A control instance transfers its leadership at once, and none of its requests
// is in flight for longer than this.
constexpr duration kControlShutdownTime = std::chrono::milliseconds(300);
// A control instance whose vote is being taken over ends this long before the
// end of the grace period in any case.
constexpr duration kHandoverMargin = std::chrono::milliseconds(500);
// Large enough for the headers of every caller that keeps to its limits.
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// A readiness check has no body, and a page of metrics a few KB.
constexpr std::uint64_t kMaxReadinessRequestBytes = 4096;
constexpr std::uint64_t kMaxReadinessConnections = 256;
constexpr std::uint64_t kMaxReadinessBytes = 4 << 20;

peer_transport_options TransportOptions(const settings& config) {
  peer_transport_options options;
  options.self = config.name;
  options.listen = config.peer_listen;
  options.shared_key = config.shared_key;
  options.max_backlog_bytes = MemoryShares(config).peer_backlog;
  options.ping_period = config.control ? kControlPingPeriod : kEntryPingPeriod;
  options.silence_timeout = kMaxMissedPings * options.ping_period;
  options.handshake_timeout = kHandshakeTimeout;
  return options;
}

http_server_options MainOptions(const settings& config) {
  http_server_options options;
  options.listen = config.caller_listen;
  options.max_request_bytes = config.max_request_bytes;
  options.max_connections = config.max_connections;
  options.max_buffered_bytes = MemoryShares(config).callers;
  options.read_timeout = config.read_timeout;
  options.keep_headers = config.entry;
  options.bound_send_times = config.control;
  options.max_header_bytes = kMaxHeaderBytes;
  return options;
}

// Readiness checks and metrics have memory of their own, so that callers can't
// use it up.
http_server_options ReadinessOptions(const settings& config) {
  http_server_options options;
  options.listen = config.readiness_listen;
  options.max_request_bytes = kMaxReadinessRequestBytes;
  options.max_framing_bytes = kMaxReadinessRequestBytes;
  options.max_connections = kMaxReadinessConnections;
  options.max_buffered_bytes = kMaxReadinessBytes;
  return options;
}

std::unique_ptr<control_service> MakeControlService(
    boost::asio::io_context* context, const settings& config,
    peer_transport* transport) {
  if (!config.control) return nullptr;
  return std::make_unique<control_service>(context->get_executor(), config,
                                           transport);
}

}  // namespace

route_daemon::route_daemon(settings config,
                           std::unique_ptr<edge_protocol> protocol)
    : config_(std::move(config)),
      protocol_(std::move(protocol)),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      timer_(context_),
      transport_(context_.get_executor(), TransportOptions(config_), this),
      control_service_(MakeControlService(&context_, config_, &transport_)),
      control_client_(config_, &transport_, control_service_.get(), this),
      control_frames_(&transport_, control_service_.get(), &control_client_,
                      config_.zone),
      main_server_(context_.get_executor(), MainOptions(config_),
                   [this](http_request request, http_responder respond) {
                     HandleMain(std::move(request), std::move(respond));
                   }) {
  if (config_.entry) {
    gateway_ = std::make_unique<route_gateway>(
        context_.get_executor(), config_, protocol_.get(), &transport_,
        &metrics_, [this] { ArmTimer(); });
    gateway_->SetLimitRequestSender([this](const limit_request& request) {
      return SendLimitRequest(request);
    });
    gateway_->SetQuotaRequestSender([this](const quota_request& request) {
      return SendQuotaRequest(request);
    });
    gateway_->SetCrashEvidenceSender(
        [this](const std::vector<crash_evidence_record>& records) {
          return SendCrashEvidence(records);
        });
    gateway_->SetRelaysChangedHandler([this] { OnRelaysChanged(); });
    gateway_->SetRouteLease(&control_client_.route_lease());
  }
  if (config_.control) {
    registry_ = std::make_unique<route_registry>(
        protocol_.get(), control_service_.get(), &control_client_);
    limits_ =
        std::make_unique<limit_service>(&transport_, control_service_.get());
    quotas_ = std::make_unique<quota_service>(
        &transport_, control_service_.get(), QuotaTolerance(config_));
    crash_news_ = std::make_unique<crash_news>();
  }
  if (config_.readiness_listen.port != 0) {
    readiness_server_ = std::make_unique<http_server>(
        context_.get_executor(), ReadinessOptions(config_),
        [this](http_request request, http_responder respond) {
          HandleReadiness(std::move(request), std::move(respond));
        });
  }
}

route_daemon::~route_daemon() = default;

boost::leaf::result<void> route_daemon::Run() {
  BOOST_LEAF_AUTO(listens, Listen());
  if (!listens) return {};
  const time_point now = Now();
  started_at_ = now;
  if (control_service_ != nullptr) control_service_->Start(now);
  timers_.SubscribePeriodic(
      config_.control ? kControlTickPeriod : kEntryTickPeriod, now,
      [this](time_point t) { Tick(t); }, &tick_);
  AwaitSignal();
  LogEvent(log_level::kInfo, "started",
           {{"entry", config_.entry},
            {"control", config_.control},
            {"bootstrap", config_.bootstrap},
            {"availability_zone", config_.zone},
            {"caller_address", config_.caller_listen.ToText()},
            {"peer_address", config_.peer_listen.ToText()}});
  if (config_.seeds.empty()) {
    LogEvent(log_level::kWarning, "seeds_awaited", {{"file", config_.file}});
  }
  settings_check_due_ = now + kSettingsCheckPeriod;
  DialPeers(now);
  ArmTimer();
  context_.run();
  if (control_service_ != nullptr) control_service_->Drain();
  LogEvent(log_level::kInfo, "stopped", {});
  return {};
}

// Returns false if the process was told to stop before its addresses were free.
// The callers' address comes last: while this function waits for another one,
// nothing answers on the addresses that are bound.
boost::leaf::result<bool> route_daemon::Listen() {
  BOOST_LEAF_AUTO(peers_listen,
                  ListenWhenFree([this] { return transport_.Listen(); }));
  if (!peers_listen) return false;
  if (readiness_server_ != nullptr) {
    BOOST_LEAF_AUTO(readiness_listens, ListenWhenFree([this] {
                      return readiness_server_->Listen();
                    }));
    if (!readiness_listens) return false;
  }
  return ListenWhenFree([this] { return main_server_.Listen(); });
}

void route_daemon::AwaitSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          Reload(/*log_unchanged=*/true);
        } else {
          BeginShutdown();
        }
        AwaitSignal();
      });
}

// Applies new seeds. Addresses and roles can't change while the process runs.
void route_daemon::Reload(bool log_unchanged) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(loaded, LoadSettings(config_.file));
        if (loaded.seeds != config_.seeds) {
          config_.seeds = loaded.seeds;
          config_.initial_members = loaded.initial_members;
          // A group forms among the seeds of the first start only: members that
          // go by other seeds could form a second one.
          config_.bootstrap = false;
          control_client_.OnSeedsChanged();
          if (control_service_ != nullptr) control_service_->OnSeedsChanged();
        } else if (!log_unchanged) {
          return {};
        }
        LogEvent(log_level::kInfo, "settings_reloaded",
                 {{"seeds", config_.seeds.size()}});
        return {};
      },
      [](const settings_errors& errors) {
        LogEvent(log_level::kError, "settings_refused",
                 {{"problem", ToText(errors)}});
      },
      [] { LogEvent(log_level::kError, "settings_refused", {}); });
}

// The settings may change without a signal. They are read again while this
// process is not in touch with the control group: the instances that it knows
// may all be gone, or out of the group.
void route_daemon::CheckSeeds(time_point now) {
  settings_check_due_ = now + kSettingsCheckPeriod;
  if (config_.seeds.empty() || !InTouchWithGroup(now)) {
    Reload(/*log_unchanged=*/false);
  }
}

bool route_daemon::InTouchWithGroup(time_point now) const {
  return control_service_ != nullptr
             ? !control_service_->leader().empty()
             : control_client_.contacts().Confirmed(now);
}

// Arms the timer for the next tick or the gateway's next due time, whichever is
// earlier.
void route_daemon::ArmTimer() {
  if (gateway_ != nullptr) {
    const auto due = gateway_->next_due();
    if (due.has_value() && (!due_.active() || *due < due_.due())) {
      timers_.SubscribeOnce(
          *due, [this](time_point t) { gateway_->Tick(t); }, &due_);
    }
  }
  const auto next = timers_.next_due();
  if (!next.has_value() || (armed_for_.has_value() && *armed_for_ <= *next))
    return;
  armed_for_ = next;
  timer_.expires_at(ToSteady(*next));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_for_.reset();
    timers_.Advance(Now());
    ArmTimer();
  });
}

void route_daemon::Tick(time_point now) {
  if (control_service_ != nullptr) control_service_->Tick(now);
  control_client_.Tick(now);
  if (gateway_ != nullptr) gateway_->RefreshRelays(now);
  if (registry_ != nullptr) {
    registry_->Tick(now);
    main_server_.AcceptPending();
  }
  if (limits_ != nullptr) limits_->Tick(entries_, now);
  if (quotas_ != nullptr) quotas_->Tick(now);
  ExchangeCrashEvidence(now);
  if (gateway_ != nullptr && now >= leader_probe_due_) {
    leader_probe_due_ = now + kLeaderProbePeriod;
    transport_.Probe(control_client_.leader());
  }
  if (now >= settings_check_due_) CheckSeeds(now);
  if (now >= dial_due_) DialPeers(now);
  if (shutting_down_) CheckShutdown(now);
}

// Entry instances keep a link to every control instance of the group and to
// their relays; control instances keep links to each other and to all seeds.
void route_daemon::DialPeers(time_point now) {
  dial_due_ = now + kDialPeriod;
  if (control_service_ != nullptr) {
    const std::vector<log_member> group = control_service_->Group();
    if (!group.empty()) {
      OnControlGroup(group);
      CountEntryInstances(now);
    }
  }
  std::set<std::string> addresses;
  if (control_service_ != nullptr) {
    for (const socket_address& seed : config_.seeds) {
      if (seed.ip != config_.peer_advertised.ip &&
          !transport_.Connected(seed.ip)) {
        addresses.insert(seed.ToText());
      }
    }
  }
  for (const auto& [name, address] : control_client_.contacts().Targets(now)) {
    if (name != config_.name && !address.empty() &&
        !transport_.Connected(name)) {
      addresses.insert(address);
    }
  }
  if (gateway_ != nullptr) {
    for (const entry_instance& relay : gateway_->Relays(now)) {
      if (!transport_.Connected(relay.name)) addresses.insert(relay.address);
    }
  }
  for (const std::string& address : addresses) transport_.Dial(address);
}

void route_daemon::CountEntryInstances(time_point now) {
  if (now - started_at_ < kEntryCountStartDelay) return;
  std::vector<entry_instance> linked_entries;
  for (const auto& [name, entry] : entries_) linked_entries.push_back(entry);
  const auto count = static_cast<std::uint32_t>(linked_entries.size());
  if (count >= entry_instances_ ||
      now - entry_instances_set_at_ >= kEntryCountHoldTime) {
    entry_instances_ = count;
    entry_instances_set_at_ = now;
  }
  control_frames_.SetEntryInstances(entry_instances_,
                                    std::move(linked_entries));
}

void route_daemon::OnEntryCount(std::uint32_t count) {
  if (gateway_ != nullptr) gateway_->SetInstances(count, Now());
}

void route_daemon::OnControlGroup(const std::vector<log_member>& group) {
  if (!control_client_.SetGroup(group)) return;
  boost::json::array names;
  for (const log_member& member : group) names.emplace_back(member.instance);
  LogEvent(log_level::kInfo, "control_group", {{"members", std::move(names)}});
}

void route_daemon::OnEntryInstances(
    const std::vector<entry_instance>& entries) {
  if (gateway_ != nullptr) gateway_->SetEntryInstances(entries, Now());
}

void route_daemon::OnPeerConnected(const instance_name& peer) {
  LogEvent(log_level::kInfo, "peer_connected", {{"peer", peer}});
  if (control_service_ != nullptr) control_service_->OnPeerConnected(Now());
  if (gateway_ == nullptr) return;
  gateway_->OnPeerConnected(peer);
  SendHello(peer);
  const time_point now = Now();
  if (control_client_.contacts().IsTarget(peer, now)) {
    control_client_.OnPeerConnected(peer, now);
  }
}

void route_daemon::SendHello(const instance_name& peer) {
  wire::entry_helloT hello;
  hello.address = config_.peer_advertised.ToText();
  hello.availability_zone = config_.zone;
  hello.leaving = shutting_down_;
  hello.isolated = gateway_ != nullptr && gateway_->isolated();
  hello.accepts_single = true;
  hello.checks_accounts = true;
  transport_.Send(peer, MakeFrame(std::move(hello)));
}

void route_daemon::OnPeerDisconnected(const instance_name& peer) {
  LogEvent(log_level::kInfo, "peer_disconnected", {{"peer", peer}});
  const bool leader_lost = peer == control_client_.leader();
  control_client_.OnPeerDisconnected(peer, Now());
  entries_.erase(peer);
  if (peer == evidence_leader_) evidence_leader_.clear();
  if (gateway_ == nullptr) return;
  gateway_->OnPeerDisconnected(peer, Now());
  if (leader_lost) gateway_->OnLeaderLost(Now());
}

void route_daemon::OnPeerFrame(const instance_name& peer,
                               const wire::peer_frame& frame) {
  if (const auto* hello = frame.payload_as_entry_hello()) {
    entries_[peer] = {peer, ToText(hello->address()),
                      ToText(hello->availability_zone())};
    if (hello->leaving() && gateway_ != nullptr) {
      gateway_->OnRelayLeaving(peer, Now());
    }
    if (gateway_ != nullptr) {
      gateway_->SetRelayChecksAccounts(peer, hello->checks_accounts());
      gateway_->OnRelayState(peer, hello->accepts_single(), hello->isolated(),
                             Now());
    }
    if (limits_ != nullptr) limits_->OnEntryConnected(peer, Now());
    if (crash_news_ != nullptr && control_service_->leads()) {
      const auto records = crash_news_->All(Now());
      if (!records.empty()) {
        transport_.Send(peer, MakeFrame(ToWire(records)));
      }
    }
    return;
  }
  const time_point now = Now();
  if (limits_ != nullptr && limits_->OnPeerFrame(peer, frame, now)) return;
  if (quotas_ != nullptr && quotas_->OnPeerFrame(peer, frame, now)) return;
  const auto* evidence = frame.payload_as_crash_records();
  if (evidence != nullptr && crash_news_ != nullptr) {
    return crash_news_->Receive(FromWire(*evidence), now);
  }
  if (gateway_ != nullptr && gateway_->OnPeerFrame(peer, frame, now)) return;
  control_frames_.Handle(peer, frame, now);
}

void route_daemon::OnPublished(const published_state&) {}

void route_daemon::OnRouteUpdate(const route_update& update) {
  if (gateway_ == nullptr) return;
  gateway_->OnRouteUpdate(update, Now());
  control_client_.OnRoutesInForce(gateway_->route_version());
}

bool route_daemon::Ready() const {
  return gateway_ != nullptr && gateway_->configured() &&
         gateway_->MayServeAccounts(Now()) && !shutting_down_;
}

void route_daemon::HandleMain(http_request request, http_responder respond) {
  if (gateway_ != nullptr) {
    return gateway_->Handle(std::move(request), std::move(respond));
  }
  if (request.path == "/metrics" && request.method == "GET") {
    return HandleMetrics(std::move(respond));
  }
  registry_->Handle(request, std::move(respond));
}

void route_daemon::HandleReadiness(http_request request,
                                   http_responder respond) {
  if (protocol_->IsReadinessCheck(request)) {
    if (Ready()) return respond({200, "application/json", "{}"});
    return respond(ProblemResponse(shutting_down_
                                       ? result_code::kShuttingDown
                                       : result_code::kControlLeaseExpired));
  }
  if (request.path == "/metrics" && request.method == "GET") {
    return HandleMetrics(std::move(respond));
  }
  respond(ProblemResponse(result_code::kUnknownPath));
}

void route_daemon::HandleMetrics(http_responder respond) {
  const peer_transport_counters& peers = transport_.counters();
  metrics_.SetGauge("bilberrycourse_peer_bytes_sent", "Bytes sent to peers.",
                    static_cast<double>(peers.bytes_sent));
  metrics_.SetGauge("bilberrycourse_peer_bytes_received",
                    "Bytes received from peers.",
                    static_cast<double>(peers.bytes_received));
  metrics_.SetGauge("bilberrycourse_peer_silent_links",
                    "Links closed because their peer was silent.",
                    static_cast<double>(peers.silent_links));
  metrics_.SetGauge("bilberrycourse_peer_backlog_bytes",
                    "Frames that are queued to peers.",
                    static_cast<double>(transport_.backlog_bytes()));
  metrics_.SetGauge("bilberrycourse_peer_backlog_closes",
                    "Links closed because too much was queued.",
                    static_cast<double>(peers.backlog_closes));
  metrics_.SetGauge("bilberrycourse_caller_bytes",
                    "Memory of callers' requests and answers.",
                    static_cast<double>(main_server_.buffered_bytes()));
  metrics_.SetGauge("bilberrycourse_caller_memory_refusals",
                    "Requests and answers given up for lack of memory.",
                    static_cast<double>(main_server_.memory_refusals()));
  if (const auto resident = ResidentBytes()) {
    metrics_.SetGauge("bilberrycourse_resident_bytes",
                      "Resident memory of the process.",
                      static_cast<double>(*resident));
  }
  if (gateway_ != nullptr) gateway_->UpdateMetrics();
  if (quotas_ != nullptr) quotas_->UpdateMetrics(&metrics_);
  if (control_service_ != nullptr) {
    metrics_.SetGauge("bilberrycourse_control_leads",
                      "1 while this member leads the control group.",
                      control_service_->leads() ? 1 : 0);
    metrics_.SetGauge("bilberrycourse_log_bytes",
                      "Length of the replicated log on disk.",
                      static_cast<double>(control_service_->log_bytes()));
    if (const auto room = control_service_->disk_room()) {
      metrics_.SetGauge("bilberrycourse_disk_room_bytes",
                        "Room on the disk of the replicated log.",
                        static_cast<double>(*room));
    }
    metrics_.SetGauge(
        "bilberrycourse_evacuated_zones",
        "Availability zones whose searchers are evacuated.",
        static_cast<double>(
            control_service_->state().evacuations().zones.size()));
    metrics_.SetGauge("bilberrycourse_entry_instances",
                      "Entry instances linked to this member.",
                      entry_instances_);
  }
  respond({200, "text/plain; version=0.0.4", metrics_.Text()});
}

// Tells all peers whether this instance reaches searchers, and dials the
// instances that it now needs, without waiting for the next tick.
void route_daemon::OnRelaysChanged() {
  if (gateway_->isolated() != stated_isolated_) {
    stated_isolated_ = gateway_->isolated();
    for (const instance_name& peer : transport_.connected_peers()) {
      SendHello(peer);
    }
  }
  DialPeers(Now());
}

// The leader of the control group allocates; it may be this process.
bool route_daemon::SendLimitRequest(const limit_request& request) {
  const instance_name& leader = control_client_.leader();
  if (leader == config_.name && limits_ != nullptr) {
    boost::asio::post(context_, [this, request] {
      const time_point now = Now();
      gateway_->OnLimitReply(limits_->Handle(request, now), now);
    });
    return true;
  }
  return transport_.Connected(leader) &&
         transport_.Send(leader, MakeFrame(ToWire(request)));
}

bool route_daemon::SendQuotaRequest(const quota_request& request) {
  const instance_name& leader = control_client_.leader();
  if (leader == config_.name && quotas_ != nullptr) {
    boost::asio::post(context_, [this, request] {
      const time_point now = Now();
      gateway_->OnQuotaReply(quotas_->Handle(request, now), now);
    });
    return true;
  }
  return transport_.Connected(leader) &&
         transport_.Send(leader, MakeFrame(ToWire(request)));
}

bool route_daemon::SendCrashEvidence(
    const std::vector<crash_evidence_record>& records) {
  const instance_name& leader = control_client_.leader();
  if (leader == config_.name && crash_news_ != nullptr) {
    crash_news_->Receive(records, Now());
    return true;
  }
  if (!transport_.Connected(leader)) return false;
  const bool sent = transport_.Send(leader, MakeFrame(ToWire(records)));
  // If the link is silent, its loss causes ResendCrashEvidence().
  transport_.Probe(leader);
  return sent;
}

// As the leader: passes new crash evidence on. As an entry instance: sends a
// new leader what it may not know.
void route_daemon::ExchangeCrashEvidence(time_point now) {
  if (crash_news_ != nullptr && control_service_->leads()) {
    const auto news = crash_news_->Take(now);
    if (!news.empty()) {
      for (const auto& [name, entry] : entries_) {
        transport_.Send(name, MakeFrame(ToWire(news)));
      }
      if (gateway_ != nullptr) gateway_->OnCrashEvidence(news, now);
    }
  }
  if (gateway_ == nullptr) return;
  const instance_name leader = control_client_.leader();
  if (leader.empty() ||
      (leader == evidence_leader_ && !gateway_->crash_evidence_unsent())) {
    return;
  }
  if (gateway_->ResendCrashEvidence(now)) evidence_leader_ = leader;
}

void route_daemon::BeginShutdown() {
  if (shutting_down_) return;
  shutting_down_ = true;
  shutdown_started_ = Now();
  LogEvent(log_level::kInfo, "shutdown_started",
           {{"in_flight", gateway_ == nullptr ? 0 : gateway_->in_flight()}});
  main_server_.BeginDrain();
  if (gateway_ != nullptr) {
    const duration answer_time = std::max<duration>(
        config_.shutdown_grace - kStopAnswerMargin, duration{0});
    gateway_->StopAt(shutdown_started_ + answer_time, shutdown_started_);
    for (const instance_name& peer : transport_.connected_peers()) {
      SendHello(peer);
    }
  }
  if (control_service_ != nullptr) control_service_->Leave(shutdown_started_);
}

void route_daemon::CheckShutdown(time_point now) {
  const duration elapsed = now - shutdown_started_;
  const duration grace = config_.shutdown_grace;
  const duration open_time =
      gateway_ == nullptr ? kControlShutdownTime
                          : std::max(grace - kIdleCloseMargin, duration{0});
  if (elapsed < open_time) return;
  // A member that leaves for good must not take its vote along: from its end
  // on, the group has to bear as many losses as before.
  if (control_service_ != nullptr && elapsed < grace - kHandoverMargin &&
      control_service_->HandoverPending(now)) {
    return;
  }
  if (!closing_idle_) {
    closing_idle_ = true;
    main_server_.StopAccepting();
  }
  // Besides its callers' requests, an entry instance finishes those that it
  // runs as a relay.
  const std::size_t unfinished =
      main_server_.pending() +
      (gateway_ == nullptr ? 0 : gateway_->relayed_in_flight());
  if (unfinished > 0 && elapsed < grace) return;
  if (!links_close_at_.has_value()) {
    links_close_at_ = std::min(now + kStopLinkTime, shutdown_started_ + grace);
  }
  if (!transport_.delivered() && now < *links_close_at_) return;
  LogCutOffConnections(main_server_);
  LogEvent(log_level::kInfo, "shutdown_finished",
           {{"unfinished", unfinished},
            {"vote_handed_over",
             control_service_ != nullptr && control_service_->removed()},
            {"connections", main_server_.pending()},
            {"elapsed_ms", elapsed.count() / 1000}});
  main_server_.Close();
  if (readiness_server_ != nullptr) readiness_server_->Close();
  transport_.Close();
  context_.stop();
}

}  // namespace bilberrycourse
