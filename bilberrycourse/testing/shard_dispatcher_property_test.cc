#include <gtest/gtest.h>
// The header of RapidCheck must follow that of GoogleTest.
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bilberrycourse/shard_dispatcher.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

// One event: `action` selects a handler of dispatch_model, `a` and `b` its
// parameters.
struct step {
  std::uint8_t action = 0;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
};

// Applies arbitrary events to a dispatcher with two shards of two replicas
// each, and checks each effect against a model of requests, attempts and
// searchers.
class dispatch_model {
 public:
  dispatch_model() {
    options_.max_queue_per_shard = 4;
    options_.ramp_successes = 2;
    options_.initial_hedge_delay = milliseconds(15);
    options_.cancel_grace = milliseconds(40);
    options_.transit_same_zone = milliseconds(5);
    dispatcher_ = std::make_unique<shard_dispatcher>(options_);
    for (std::uint32_t s = 0; s < 2; ++s) {
      dispatcher_->SetShardOwned({"service", s}, true, now_, &effects_);
    }
    for (std::uint8_t i = 0; i < 4; ++i) Announce(i, 0);
    SetSendingAllowed(true);
  }

  void Run(const step& s) {
    using handler = void (dispatch_model::*)(const step&);
    static constexpr handler kHandlers[] = {
        &dispatch_model::SubmitRequest,   &dispatch_model::SubmitRequest,
        &dispatch_model::ReplyToAttempt,  &dispatch_model::ReplyToAttempt,
        &dispatch_model::ReplyToAttempt,  &dispatch_model::OpenConnections,
        &dispatch_model::OpenConnections, &dispatch_model::BreakConnection,
        &dispatch_model::AnnounceServer,  &dispatch_model::CancelRequest,
        &dispatch_model::AdvanceTime,     &dispatch_model::AdvanceTime,
        &dispatch_model::SetAllowed};
    (this->*kHandlers[s.action % std::size(kHandlers)])(s);
    CheckEffects();
  }

  // Advances past all deadlines and checks that every request has ended.
  void Finish() {
    for (int i = 0; i < 20; ++i) {
      Advance(milliseconds(50));
      CheckEffects();
    }
    for (const auto& [id, request] : requests_) {
      RC_ASSERT(request.finishes == (request.dropped ? 0 : 1));
    }
    for (const shard_status& shard : dispatcher_->Shards(now_)) {
      RC_ASSERT(shard.queued == 0u);
      RC_ASSERT(shard.running == 0u);
    }
  }

 private:
  struct request_model {
    bool idempotent = true;
    index_version version{};
    bool dropped = false;
    int finishes = 0;
    int attempts = 0;
    // Attempts that were not explicitly refused.
    int may_have_run = 0;
    bool crashed = false;
    bool answered = false;
  };
  struct attempt_model {
    std::uint64_t request = 0;
    backend_server_key server;
    connection_id connection{};
  };
  struct server_model {
    backend_server_record record;
    std::uint32_t max_announced_limit = 0;
    std::set<connection_id> opening;
    std::set<connection_id> open;
  };

  static backend_server_key KeyOf(std::uint8_t i) {
    return {{"service", i / 2u % 2u}, i % 2 == 0 ? "a" : "b"};
  }

  void Announce(std::uint8_t server, std::uint8_t kind) {
    server_model& model = servers_[KeyOf(server)];
    backend_server_record& record = model.record;
    record.key = KeyOf(server);
    ++record.sequence;
    record.slots = 1 + kind % 3;
    record.connection_limit = 2 + kind % 4;
    model.max_announced_limit =
        std::max(model.max_announced_limit, record.connection_limit);
    record.versions = {index_version{1}};
    if (kind % 5 == 4) record.versions = {index_version{2}};
    record.state = kind % 7 == 6 ? backend_server_state::kDraining
                                 : backend_server_state::kServing;
    if (kind % 11 == 10) ++record.incarnation;
    dispatcher_->UpdateBackendServer(record, now_, &effects_);
  }

  void SetSendingAllowed(bool allowed) {
    allowed_ = allowed;
    dispatcher_->SetSendingAllowed(allowed, now_, &effects_);
  }

  void Advance(duration by) {
    now_ += by;
    dispatcher_->Tick(now_, &effects_);
  }

  void SubmitRequest(const step& s) {
    const std::uint64_t id = next_request_++;
    requests_[id].idempotent = s.a % 4 != 0;
    shard_request request;
    request.id = shard_request_id{id};
    request.shard = {"service", s.b % 2u};
    request.version = index_version{s.b % 5u == 4 ? 2u : 1u};
    requests_[id].version = request.version;
    request.deadline = now_ + milliseconds(5 + s.b);
    request.caller = std::to_string(s.a % 3);
    request.idempotent = requests_[id].idempotent;
    request.content = fingerprint{id};
    dispatcher_->Submit("origin", request, now_, &effects_);
  }

  template <typename Map>
  static auto PickEntry(Map& map, std::uint8_t at) {
    return std::next(map.begin(), at % map.size());
  }

  void ReplyToAttempt(const step& s) {
    if (attempts_.empty()) return;
    const auto picked = PickEntry(attempts_, s.a);
    const attempt_id id = picked->first;
    request_model& request = requests_[picked->second.request];
    static constexpr attempt_reply_kind kKinds[] = {
        attempt_reply_kind::kOk,          attempt_reply_kind::kOk,
        attempt_reply_kind::kShed,        attempt_reply_kind::kFailed,
        attempt_reply_kind::kVersionGone, attempt_reply_kind::kCancelled};
    const attempt_reply_kind kind = kKinds[s.b % std::size(kKinds)];
    if (kind == attempt_reply_kind::kShed ||
        kind == attempt_reply_kind::kVersionGone) {
      --request.may_have_run;
    }
    const index_version version{s.b % 3u == 2 ? 2u : 1u};
    if (kind == attempt_reply_kind::kOk && version == request.version) {
      request.answered = true;
    }
    attempts_.erase(picked);
    dispatcher_->OnReply(id, {kind, version, nullptr}, now_, &effects_);
  }

  void OpenConnections(const step& s) {
    for (auto& [key, server] : servers_) {
      if (server.opening.empty()) continue;
      const connection_id id = *server.opening.begin();
      server.opening.erase(id);
      if (s.b % 8 == 0) {
        dispatcher_->OnConnectionFailed(id, now_, &effects_);
      } else {
        server.open.insert(id);
        dispatcher_->OnConnectionOpened(id, now_, &effects_);
      }
      CheckEffects();
    }
  }

  void BreakConnection(const step& s) {
    server_model& server = PickEntry(servers_, s.a)->second;
    if (server.open.empty()) return;
    const connection_id id = *PickEntry(server.open, s.b);
    server.open.erase(id);
    std::erase_if(attempts_, [&](const auto& attempt) {
      if (attempt.second.connection != id) return false;
      requests_[attempt.second.request].crashed = true;
      return true;
    });
    dispatcher_->OnConnectionClosed(id, now_, &effects_);
  }

  void AnnounceServer(const step& s) { Announce(s.a % 4, s.b); }
  void CancelRequest(const step& s) {
    if (requests_.empty()) return;
    const auto picked = PickEntry(requests_, s.a);
    if (picked->second.finishes == 0) picked->second.dropped = true;
    dispatcher_->Cancel("origin", shard_request_id{picked->first}, now_,
                        &effects_);
  }
  void AdvanceTime(const step& s) { Advance(milliseconds(s.a % 30)); }
  void SetAllowed(const step& s) { SetSendingAllowed(s.a % 4 != 0); }

  void CheckEffects() {
    dispatch_effects effects;
    effects.swap(effects_);
    for (const dispatch_effect& effect : effects) {
      std::visit([this](const auto& e) { CheckEffect(e); }, effect);
    }
  }

  void CheckEffect(const open_connection& e) {
    server_model& server = servers_[e.server];
    server.opening.insert(e.connection);
    // One connection is reserved for cancellations. Open connections are kept
    // when a lower limit is announced.
    RC_ASSERT(server.opening.size() + server.open.size() <
              server.max_announced_limit);
  }
  void CheckEffect(const close_connection& e) {
    for (auto& [key, server] : servers_) {
      server.opening.erase(e.connection);
      server.open.erase(e.connection);
    }
    std::erase_if(attempts_, [&](const auto& attempt) {
      return attempt.second.connection == e.connection;
    });
  }
  void CheckEffect(const send_attempt& e) {
    const auto id = static_cast<std::uint64_t>(e.request->id);
    request_model& request = requests_[id];
    const server_model& server = servers_[e.server];
    RC_ASSERT(allowed_);
    RC_ASSERT(request.finishes == 0);
    RC_ASSERT(!request.dropped);
    RC_ASSERT(!request.crashed);
    RC_ASSERT(e.remaining > duration{0});
    RC_ASSERT(server.open.contains(e.connection));
    RC_ASSERT(server.record.state == backend_server_state::kServing);
    RC_ASSERT(server.record.versions[0] == e.request->version);
    RC_ASSERT(e.server.shard == e.request->shard);
    if (!request.idempotent) RC_ASSERT(request.may_have_run == 0);
    ++request.attempts;
    ++request.may_have_run;
    for (const auto& [other, attempt] : attempts_) {
      RC_ASSERT(attempt.connection != e.connection);
    }
    attempts_[e.attempt] = {id, e.server, e.connection};
  }
  void CheckEffect(const canary_started& e) {
    // Precedes the first attempt of a request that has not finished.
    const request_model& request =
        requests_[static_cast<std::uint64_t>(e.request)];
    RC_ASSERT(request.attempts == 0);
    RC_ASSERT(request.finishes == 0);
  }
  void CheckEffect(const cancel_attempt& e) {
    RC_ASSERT(attempts_.contains(e.attempt));
  }
  void CheckEffect(const finish_request& e) {
    request_model& request = requests_[static_cast<std::uint64_t>(e.result.id)];
    RC_ASSERT(++request.finishes == 1);
    RC_ASSERT(!request.dropped);
    RC_ASSERT(e.result.attempts ==
              static_cast<std::uint32_t>(request.attempts));
    if (e.result.not_run) RC_ASSERT(request.may_have_run == 0);
    if (e.result.code == result_code::kOk) RC_ASSERT(request.answered);
  }
  void CheckEffect(const report_crash& e) {
    RC_ASSERT(!e.report.contents.empty());
  }
  void CheckEffect(const dispatch_decision&) {}

  dispatch_options options_;
  std::unique_ptr<shard_dispatcher> dispatcher_;
  dispatch_effects effects_;
  time_point now_{};
  bool allowed_ = false;
  std::uint64_t next_request_ = 1;
  std::map<std::uint64_t, request_model> requests_;
  std::map<attempt_id, attempt_model> attempts_;
  std::map<backend_server_key, server_model> servers_;
};

// Guards against missing and duplicate results, second runs of non-idempotent
// work, a wrong `not_run`, and attempts that the state of the searcher or the
// control lease forbids.
RC_GTEST_PROP(shard_dispatcher_property_test,
              Dispatcher_ArbitraryEvents_InvariantsHold, ()) {
  const auto byte = rc::gen::map(rc::gen::inRange(0, 256), [](int value) {
    return static_cast<std::uint8_t>(value);
  });
  // Uses the full size from the first run, because short sequences reach few
  // states.
  const auto steps = *rc::gen::resize(
      400, rc::gen::container<std::vector<step>>(rc::gen::build<step>(
               rc::gen::set(&step::action, byte), rc::gen::set(&step::a, byte),
               rc::gen::set(&step::b, byte))));
  dispatch_model model;
  for (const step& s : steps) model.Run(s);
  model.Finish();
}

}  // namespace
}  // namespace bilberrycourse
