#include "bilberrycourse/admission_client.h"

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <utility>

namespace bilberrycourse {
namespace {

namespace bi = boost::intrusive;

struct due_tag;
struct scope_tag;
using due_hook = bi::set_base_hook<bi::tag<due_tag>>;
using scope_hook = bi::list_base_hook<bi::tag<scope_tag>>;

// Name of this origin in the fallback controller.
const instance_name kLocalOrigin = "here";

enum class request_state : std::uint8_t {
  // Sent to the admission instance, which has not answered yet.
  kSent,
  // In the queue of the admission instance.
  kQueuedRemotely,
  // In the queue of the fallback controller.
  kQueuedLocally,
  kRunning,
};

}  // namespace

struct admission_client::pending_request : public due_hook, public scope_hook {
  admission_request request;
  scope_entry* scope = nullptr;
  request_state state = request_state::kSent;
  // True while the admission instance may hold a grant or request of this
  // query.
  bool known_remotely = false;
  time_point requested_at{};
  // Time at which the decision is overdue. The entry is in by_due while it is
  // kSent or kQueuedRemotely.
  time_point due{};

  friend bool operator<(const pending_request& a, const pending_request& b) {
    return a.due < b.due;
  }
};

struct admission_client::scope_entry {
  std::string name;
  std::uint32_t floor = 1;
  // 0 until the admission instance has sent a limit.
  std::uint32_t last_limit = 0;
  bool responsive = true;
  // While not responsive: time from which the next request is sent as a probe.
  time_point probe_at{};
  time_point last_response{};
  bi::list<pending_request, bi::base_hook<scope_hook>> requests;
};

struct admission_client::tables {
  using due_set = bi::multiset<pending_request, bi::base_hook<due_hook>,
                               bi::constant_time_size<false>>;
  boost::unordered_flat_map<query_id, std::unique_ptr<pending_request>>
      requests;
  due_set by_due;
};

admission_client::admission_client(admission_client_options options)
    : options_(options),
      fallback_([&options] {
        options.fallback.adaptive = false;
        // Few queries run locally at a time, so an expected wait is not
        // reliable; each query may wait until the end of its max_wait.
        options.fallback.expected_wait_share = 1.0;
        return options.fallback;
      }()),
      tables_(std::make_unique<tables>()) {}

admission_client::~admission_client() {
  tables_->by_due.clear();
  for (auto& [name, scope] : scopes_) scope->requests.clear();
}

admission_client::scope_entry& admission_client::FindOrCreateScope(
    const std::string& name) {
  auto& scope = scopes_[name];
  if (scope == nullptr) {
    scope = std::make_unique<scope_entry>();
    scope->name = name;
  }
  return *scope;
}

std::uint32_t admission_client::ShareOf(const scope_entry& scope) const {
  const std::uint32_t limit = std::max(scope.last_limit, scope.floor);
  return std::max(limit / origin_count_, 1u);
}

bool admission_client::responsive(const std::string& scope) const {
  const auto position = scopes_.find(scope);
  return position == scopes_.end() || position->second->responsive;
}

std::uint32_t admission_client::share(const std::string& scope) const {
  const auto position = scopes_.find(scope);
  return position == scopes_.end() ? 1 : ShareOf(*position->second);
}

void admission_client::SetOriginCount(std::uint32_t count, time_point now,
                                      effects* out) {
  origin_count_ = std::max(count, 1u);
  for (auto& [name, scope] : scopes_) {
    if (!scope->responsive) UpdateFallbackLimit(*scope, now, out);
  }
}

void admission_client::SetFloor(const std::string& scope, std::uint32_t floor) {
  FindOrCreateScope(scope).floor = std::max(floor, 1u);
}

void admission_client::UpdateFallbackLimit(const scope_entry& scope,
                                           time_point now, effects* out) {
  admission_controller::effects replies;
  fallback_.SetLimit(scope.name, ShareOf(scope), now, &replies);
  ForwardDecisions(replies, out);
}

void admission_client::ForwardDecisions(
    const admission_controller::effects& replies, effects* out) {
  for (const admission_reply& reply : replies) {
    const admission_decision& decision = reply.decision;
    if (decision.verdict == admission_verdict::kQueued) continue;
    const auto position = tables_->requests.find(decision.query);
    if (position == tables_->requests.end()) continue;
    pending_request* entry = position->second.get();
    if (decision.verdict == admission_verdict::kGranted) {
      entry->state = request_state::kRunning;
      out->push_back(
          admission_result{decision.query, true, result_code::kOk, {}});
    } else {
      Refuse(entry, decision.code, decision.retry_after, out);
    }
  }
}

void admission_client::Refuse(pending_request* entry, result_code code,
                              duration retry_after, effects* out) {
  out->push_back(
      admission_result{entry->request.query, false, code, retry_after});
  if (entry->known_remotely) {
    // Withdraw the request, so that no grant is held for it.
    out->push_back(send_admission_release{
        {entry->request.query, entry->scope->name, false, {}, {}}});
  }
  Erase(entry);
}

void admission_client::Erase(pending_request* entry) {
  StopTimer(entry);
  auto& requests = entry->scope->requests;
  requests.erase(requests.iterator_to(*entry));
  tables_->requests.erase(entry->request.query);
}

void admission_client::StartTimer(pending_request* entry, time_point due) {
  StopTimer(entry);
  entry->due = due;
  tables_->by_due.insert(*entry);
}

void admission_client::StopTimer(pending_request* entry) {
  if (!entry->due_hook::is_linked()) return;
  tables_->by_due.erase(tables_->by_due.iterator_to(*entry));
}

void admission_client::SendRequest(pending_request* entry, time_point now,
                                   effects* out) {
  entry->state = request_state::kSent;
  entry->known_remotely = true;
  entry->requested_at = now;
  StartTimer(entry, now + options_.response_timeout);
  out->push_back(send_admission_request{entry->request});
}

void admission_client::Request(const admission_request& request, time_point now,
                               effects* out) {
  auto [position, inserted] = tables_->requests.try_emplace(request.query);
  if (!inserted) return;
  position->second = std::make_unique<pending_request>();
  pending_request* entry = position->second.get();
  entry->request = request;
  entry->request.running = false;
  entry->requested_at = now;
  scope_entry& scope = FindOrCreateScope(request.scope);
  entry->scope = &scope;
  scope.requests.push_back(*entry);
  if (!scope.responsive && now >= scope.probe_at) {
    // Only this request is a probe; later ones are decided locally.
    scope.probe_at = now + options_.probe_interval;
    SendRequest(entry, now, out);
  } else if (scope.responsive) {
    SendRequest(entry, now, out);
  } else {
    DecideLocally(entry, now, out);
  }
}

void admission_client::DecideLocally(pending_request* entry, time_point now,
                                     effects* out) {
  StopTimer(entry);
  entry->state = request_state::kQueuedLocally;
  admission_request request = entry->request;
  request.max_wait =
      std::max(duration{0}, request.max_wait - (now - entry->requested_at));
  admission_controller::effects replies;
  fallback_.OnRequest(kLocalOrigin, request, now, &replies);
  ForwardDecisions(replies, out);
}

void admission_client::CountInFallback(pending_request* entry, time_point now) {
  StopTimer(entry);
  entry->state = request_state::kRunning;
  admission_request request = entry->request;
  request.running = true;
  admission_controller::effects none;
  fallback_.OnRequest(kLocalOrigin, request, now, &none);
}

void admission_client::MarkUnresponsive(scope_entry* scope, time_point now,
                                        effects* out) {
  scope->probe_at = now + options_.probe_interval;
  if (scope->responsive) {
    scope->responsive = false;
    out->push_back(admission_mode_changed{scope->name, false, ShareOf(*scope)});
  }
  UpdateFallbackLimit(*scope, now, out);
  // Decisions erase entries, so the waiting ones are collected first.
  std::vector<query_id> waiting;
  for (const pending_request& entry : scope->requests) {
    if (entry.state == request_state::kSent ||
        entry.state == request_state::kQueuedRemotely) {
      waiting.push_back(entry.request.query);
    }
  }
  for (const query_id query : waiting) {
    const auto position = tables_->requests.find(query);
    if (position != tables_->requests.end()) {
      DecideLocally(position->second.get(), now, out);
    }
  }
}

void admission_client::MarkResponsive(scope_entry* scope, effects* out) {
  if (scope->responsive) return;
  scope->responsive = true;
  out->push_back(admission_mode_changed{scope->name, true, ShareOf(*scope)});
  for (pending_request& entry : scope->requests) {
    if (entry.state == request_state::kRunning && !entry.known_remotely) {
      ReportRunning(&entry, out);
    }
  }
}

void admission_client::ReportRunning(pending_request* entry, effects* out) {
  entry->known_remotely = true;
  send_admission_request report{entry->request};
  report.message.running = true;
  out->push_back(std::move(report));
}

void admission_client::Release(const admission_release& release, time_point now,
                               effects* out) {
  const auto position = tables_->requests.find(release.query);
  if (position == tables_->requests.end()) return;
  pending_request* entry = position->second.get();
  if (entry->known_remotely) {
    send_admission_release message{release};
    message.message.scope = entry->scope->name;
    out->push_back(std::move(message));
  }
  Erase(entry);
  admission_controller::effects replies;
  fallback_.OnRelease(kLocalOrigin, release, now, &replies);
  ForwardDecisions(replies, out);
}

void admission_client::OnDecision(const admission_decision& decision,
                                  time_point now, effects* out) {
  const auto known_scope = scopes_.find(decision.scope);
  if (known_scope == scopes_.end()) return;
  scope_entry& scope = *known_scope->second;
  scope.last_response = now;
  if (decision.limit > 0) scope.last_limit = decision.limit;

  const auto position = tables_->requests.find(decision.query);
  if (position == tables_->requests.end()) {
    if (decision.verdict == admission_verdict::kGranted) {
      out->push_back(send_admission_release{
          {decision.query, decision.scope, false, {}, {}}});
    }
    MarkResponsive(&scope, out);
    return;
  }
  pending_request* entry = position->second.get();
  switch (decision.verdict) {
    case admission_verdict::kGranted:
      if (entry->state != request_state::kRunning) {
        CountInFallback(entry, now);
        out->push_back(
            admission_result{decision.query, true, result_code::kOk, {}});
      }
      break;
    case admission_verdict::kRefused:
      entry->known_remotely = false;
      if (entry->state == request_state::kRunning) {
        // This origin has admitted the query locally. The query continues and
        // is reported as running.
        ReportRunning(entry, out);
        break;
      }
      if (entry->state == request_state::kQueuedLocally) {
        admission_controller::effects none;
        fallback_.OnRelease(kLocalOrigin,
                            {decision.query, decision.scope, false, {}, {}},
                            now, &none);
      }
      Refuse(entry, decision.code, decision.retry_after, out);
      break;
    case admission_verdict::kQueued:
      if (entry->state != request_state::kSent) break;
      entry->state = request_state::kQueuedRemotely;
      // The admission instance refuses the request at the end of max_wait.
      StartTimer(entry,
                 now + entry->request.max_wait + 2 * options_.response_timeout);
      break;
  }
  MarkResponsive(&scope, out);
}

void admission_client::OnInstanceChanged(const std::string& name,
                                         time_point now, effects* out) {
  const auto position = scopes_.find(name);
  if (position == scopes_.end()) return;
  scope_entry& scope = *position->second;
  scope.last_response = now;
  for (pending_request& entry : scope.requests) {
    entry.known_remotely = false;
    if (entry.state == request_state::kSent ||
        entry.state == request_state::kQueuedRemotely) {
      const time_point requested_at = entry.requested_at;
      SendRequest(&entry, now, out);
      // The wait counts from the request to the first instance.
      entry.requested_at = requested_at;
    } else if (entry.state == request_state::kRunning && scope.responsive) {
      ReportRunning(&entry, out);
    }
  }
  MarkResponsive(&scope, out);
}

void admission_client::OnInstanceLost(const std::string& name, time_point now,
                                      effects* out) {
  const auto position = scopes_.find(name);
  if (position == scopes_.end()) return;
  for (pending_request& entry : position->second->requests)
    entry.known_remotely = false;
  MarkUnresponsive(position->second.get(), now, out);
}

void admission_client::Tick(time_point now, effects* out) {
  auto& by_due = tables_->by_due;
  while (!by_due.empty() && by_due.begin()->due <= now) {
    pending_request* entry = &*by_due.begin();
    scope_entry* scope = entry->scope;
    const time_point response_due =
        scope->last_response + options_.response_timeout;
    const time_point max_wait_end =
        entry->requested_at + entry->request.max_wait;
    if (entry->state == request_state::kSent && scope->responsive &&
        response_due > now && max_wait_end > now) {
      // The instance responds to other requests, so this one is in transit.
      StartTimer(entry, std::min(response_due, max_wait_end));
      continue;
    }
    MarkUnresponsive(scope, now, out);
  }
  admission_controller::effects replies;
  fallback_.Tick(now, &replies);
  ForwardDecisions(replies, out);
}

std::optional<time_point> admission_client::next_due() const {
  std::optional<time_point> due = fallback_.next_due();
  if (!tables_->by_due.empty()) {
    const time_point decision_due = tables_->by_due.begin()->due;
    due = due.has_value() ? std::min(*due, decision_due) : decision_due;
  }
  return due;
}

}  // namespace bilberrycourse
