#ifndef BILBERRYCOURSE_TESTING_ROUTE_ENGINE_RIG_H_
#define BILBERRYCOURSE_TESTING_ROUTE_ENGINE_RIG_H_

// Runs a route_engine on virtual time and collects its effects by type.
//
//   route_engine_rig rig;
//   rig.AddSearcher("lots-0", "i1", "a");
//   rig.Begin(1, "lots");
//   rig.Answer(rig.sends.at(0));
//   EXPECT_EQ(rig.finished.at(0).code, result_code::kOk);

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/route_engine.h"

namespace bilberrycourse {

class route_engine_rig {
 public:
  struct sent_request {
    connection_id connection{};
    route_request_id request{};
    std::string searcher;
    duration remaining{0};
    send_reason reason = send_reason::kFirst;
    time_point at{};
  };

  // With 0 instances their number is unknown.
  explicit route_engine_rig(route_engine_options options = Options(),
                            std::uint32_t instances = 1)
      : engine(options, "e1", "a") {
    SetInstances(instances);
  }
  void SetInstances(std::uint32_t instances) {
    route_effects effects;
    engine.SetInstances(instances, now, &effects);
    Execute(&effects);
  }

  static route_engine_options Options() {
    route_engine_options options;
    options.budget.ratio = 0.2;
    options.budget.allowance = 1000;
    options.budget.initial_fill = 1;
    return options;
  }

  // Adds a route over `shards` services named `name`-0, -1, ...; with 0 shards,
  // a route to one service `name`.
  void AddRoute(const std::string& name, std::size_t shards, bool idempotent,
                std::uint32_t max_attempts = 2, double min_coverage = 0.5) {
    route added;
    added.name = name;
    added.host = "h";
    added.path_prefix = "/" + name + "/";
    added.idempotent = idempotent;
    added.timeout = std::chrono::seconds(2);
    added.latency_objective = std::chrono::milliseconds(100);
    added.max_attempts = max_attempts;
    added.top_records = 10;
    added.min_coverage = min_coverage;
    for (std::size_t i = 0; i < shards; ++i) {
      added.shards.push_back(name + "-" + std::to_string(i));
      config_.services[added.shards.back()] = {added.shards.back(), "/", 50};
    }
    if (shards == 0) {
      added.backends = {{name, 1}};
      config_.services[name] = {name, "/", 50};
    }
    config_.routes.push_back(added);
    Apply();
  }

  // Sets how many connections a searcher of the service accepts; 50 at first.
  void SetConnectionLimit(const std::string& service, std::uint32_t limit) {
    config_.services.at(service).connection_limit = limit;
    Apply();
  }

  route* Route(const std::string& name) {
    for (route& entry : config_.routes) {
      if (entry.name == name) return &entry;
    }
    return nullptr;
  }

  void Apply() {
    ++config_.version;
    table = std::make_shared<const route_table>(
        std::make_shared<const route_config>(config_));
    route_effects effects;
    engine.SetRoutes(table, now, &effects);
    Execute(&effects);
  }

  void Report(const std::string& service, const std::string& id,
              const std::string& zone, searcher_state state) {
    searcher_record record;
    record.report = {id, service, id + ":80", zone, 2, state, 1, ++sequence_};
    record.revision = sequence_;
    services_[id] = service;
    route_effects effects;
    engine.UpdateSearchers({record}, false, now, &effects);
    Execute(&effects);
  }
  void AddSearcher(const std::string& service, const std::string& id,
                   const std::string& zone = "a") {
    Report(service, id, zone, searcher_state::kServing);
  }

  void Begin(std::uint64_t id, const std::string& name,
             duration time_left = std::chrono::seconds(2),
             std::vector<relay_group> relays = {}) {
    route_call call;
    call.id = route_request_id{id};
    call.table = table;
    call.matched_route = table->Match("h", "/" + name + "/x");
    call.content = content;
    call.sent_at = now;
    call.time_left = time_left;
    call.relays = std::move(relays);
    route_effects effects;
    engine.Begin(std::move(call), now, &effects);
    Execute(&effects);
  }

  // Begins a request as the relay of another instance, for the route of this
  // name. The first report is due after 80 ms.
  void BeginAsRelay(std::uint64_t id, const std::string& name) {
    route_call call;
    call.id = route_request_id{id};
    call.table = table;
    call.relay_route = std::make_shared<const route>(*Route(name));
    call.matched_route = call.relay_route.get();
    call.content = content;
    call.sent_at = now;
    call.time_left = std::chrono::seconds(2);
    call.answer_at = now + std::chrono::milliseconds(80);
    route_effects effects;
    engine.Begin(std::move(call), now, &effects);
    Execute(&effects);
  }

  static searcher_reply Reply(unsigned status, const std::string& stamp,
                              const std::string& body = {}) {
    searcher_reply reply;
    reply.status = status;
    reply.stamp = stamp;
    reply.body = body;
    return reply;
  }

  void AnswerWith(const sent_request& to, searcher_reply reply) {
    route_effects effects;
    engine.OnReply(to.connection,
                   std::make_shared<const searcher_reply>(std::move(reply)),
                   true, std::nullopt, now, &effects);
    Execute(&effects);
  }
  void Answer(const sent_request& to) {
    AnswerWith(to, Reply(200, to.searcher, std::string(16, 'x')));
  }
  void Shed(const sent_request& to) {
    searcher_reply reply = Reply(503, "");
    reply.not_executed = true;
    AnswerWith(to, std::move(reply));
  }
  void Break(const sent_request& to,
             connection_end end = connection_end::kLost) {
    route_effects effects;
    engine.OnClosed(to.connection, end, now, &effects);
    Execute(&effects);
  }
  // The searcher ends: all its connections break, and none can be opened.
  void Crash(std::string searcher) {
    const bool was_connecting = connect;
    connect = false;
    for (const sent_request& to : std::vector(sends)) {
      if (to.searcher == searcher) Break(to);
    }
    Advance(std::chrono::milliseconds(20));
    for (const auto& opening : std::exchange(opened, {})) {
      route_effects effects;
      if (opening.address == searcher + ":80") {
        engine.OnClosed(opening.connection, connection_end::kNotOpened, now,
                        &effects);
      } else {
        engine.OnOpened(opening.connection, now, &effects);
      }
      Execute(&effects);
    }
    connect = was_connecting;
    Report(ServiceOf(searcher), searcher, "a", searcher_state::kGone);
  }
  void MergeEvidence(const std::vector<crash_evidence_record>& records) {
    route_effects effects;
    engine.OnCrashEvidence(records, now, &effects);
    Execute(&effects);
  }
  void ReplyToLimitRequest(const limit_reply& reply) {
    route_effects effects;
    engine.OnLimitReply(reply, now, &effects);
    Execute(&effects);
  }
  void Cancel(std::uint64_t id) {
    route_effects effects;
    engine.Cancel(route_request_id{id}, now, &effects);
    Execute(&effects);
  }

  void Advance(duration by) {
    const time_point end = now + by;
    while (true) {
      const auto due = engine.next_due();
      if (!due.has_value() || *due > end) break;
      now = std::max(now, *due);
      route_effects effects;
      engine.Tick(now, &effects);
      Execute(&effects);
    }
    now = end;
  }

  void Execute(route_effects* effects) {
    engine.Flush(now, effects);
    for (route_effect& effect : *effects) {
      if (auto* open = std::get_if<open_searcher_connection>(&effect)) {
        opened.push_back(*open);
      } else if (auto* close =
                     std::get_if<close_searcher_connection>(&effect)) {
        closed.push_back(close->connection);
      } else if (auto* send = std::get_if<send_to_searcher>(&effect)) {
        sends.push_back({send->connection, send->request, send->searcher,
                         send->remaining, send->reason, now});
      } else if (auto* finish = std::get_if<finish_route_request>(&effect)) {
        finished.push_back(std::move(*finish));
      } else if (auto* relay = std::get_if<send_to_relay>(&effect)) {
        relayed.push_back(std::move(*relay));
      } else if (auto* cancel = std::get_if<cancel_at_relay>(&effect)) {
        relay_cancels.push_back(*cancel);
      } else if (auto* isolation = std::get_if<isolation_changed>(&effect)) {
        isolations.push_back(isolation->isolated);
      } else if (std::get_if<fallback_wanted>(&effect) != nullptr) {
        ++fallbacks_wanted;
      } else if (auto* limits = std::get_if<send_limit_request>(&effect)) {
        limit_requests.push_back(std::move(limits->request));
      } else if (auto* crash = std::get_if<crash_evidence_found>(&effect)) {
        evidence.insert(evidence.end(), crash->records.begin(),
                        crash->records.end());
      } else if (std::get_if<content_quarantined>(&effect) != nullptr) {
        ++quarantines;
      } else if (auto* silent = std::get_if<relay_silent>(&effect)) {
        silent_relays.push_back(silent->relay);
      } else if (auto* progress = std::get_if<route_progress>(&effect)) {
        reports.push_back(std::move(progress->report));
      }
    }
    if (!connect) return;
    while (!opened.empty()) {
      const auto next = opened.front();
      opened.pop_front();
      route_effects more;
      engine.OnOpened(next.connection, now, &more);
      Execute(&more);
    }
  }

  route_engine engine;
  time_point now = time_point(std::chrono::seconds(100));
  std::shared_ptr<const route_table> table;
  // If true, connections open at once.
  bool connect = true;
  std::deque<open_searcher_connection> opened;
  std::vector<connection_id> closed;
  std::vector<sent_request> sends;
  std::vector<finish_route_request> finished;
  std::vector<send_to_relay> relayed;
  std::vector<cancel_at_relay> relay_cancels;
  std::vector<instance_name> silent_relays;
  std::vector<shard_report> reports;
  std::vector<limit_request> limit_requests;
  std::vector<crash_evidence_record> evidence;
  std::size_t quarantines = 0;
  // Content of the requests that begin next.
  fingerprint content{};
  std::vector<bool> isolations;
  std::size_t fallbacks_wanted = 0;

 private:
  const std::string& ServiceOf(const std::string& searcher) const {
    return services_.at(searcher);
  }

  route_config config_;
  std::map<std::string, std::string> services_;
  std::uint64_t sequence_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_ROUTE_ENGINE_RIG_H_
