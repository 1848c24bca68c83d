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
const instance_name kHere = "here";

enum class request_state : std::uint8_t {
  // Sent; the admission instance has not answered.
  kAsked,
  // The admission instance has it in its queue.
  kQueuedThere,
  // In the queue of the fallback.
  kQueuedHere,
  kRunning,
};

}  // namespace

struct admission_client::pending : public due_hook, public scope_hook {
  admission_request request;
  scope_entry* scope = nullptr;
  request_state state = request_state::kAsked;
  // True while the admission instance may hold a grant or request of it.
  bool known_there = false;
  time_point asked{};
  // When the decision is overdue; linked by it while kAsked or kQueuedThere.
  time_point due{};

  friend bool operator<(const pending& a, const pending& b) {
    return a.due < b.due;
  }
};

struct admission_client::scope_entry {
  std::string name;
  std::uint32_t floor = 1;
  // 0 until the admission instance has stated one.
  std::uint32_t last_limit = 0;
  bool responsive = true;
  // While not responsive: when the next request is sent as a probe.
  time_point probe_at{};
  time_point last_heard{};
  bi::list<pending, bi::base_hook<scope_hook>> requests;
};

struct admission_client::tables {
  using due_set = bi::multiset<pending, bi::base_hook<due_hook>,
                               bi::constant_time_size<false>>;
  boost::unordered_flat_map<query_id, std::unique_ptr<pending>> requests;
  due_set by_due;
};

admission_client::admission_client(admission_client_options options)
    : options_(options),
      fallback_([&options] {
        options.fallback.adaptive = false;
        // Few queries run here at a time, so that an expected wait says little;
        // each may wait to the end of its max_wait.
        options.fallback.expected_wait_share = 1.0;
        return options.fallback;
      }()),
      tables_(std::make_unique<tables>()) {}

admission_client::~admission_client() {
  tables_->by_due.clear();
  for (auto& [name, scope] : scopes_) scope->requests.clear();
}

admission_client::scope_entry& admission_client::Scope(
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
    if (!scope->responsive) SetFallbackLimit(*scope, now, out);
  }
}

void admission_client::SetFloor(const std::string& scope, std::uint32_t floor) {
  Scope(scope).floor = std::max(floor, 1u);
}

void admission_client::SetFallbackLimit(const scope_entry& scope,
                                        time_point now, effects* out) {
  admission_controller::effects replies;
  fallback_.SetLimit(scope.name, ShareOf(scope), now, &replies);
  Forward(replies, out);
}

void admission_client::Forward(const admission_controller::effects& replies,
                               effects* out) {
  for (const admission_reply& reply : replies) {
    const admission_decision& decision = reply.decision;
    if (decision.verdict == admission_verdict::kQueued) continue;
    const auto position = tables_->requests.find(decision.query);
    if (position == tables_->requests.end()) continue;
    pending* entry = position->second.get();
    if (decision.verdict == admission_verdict::kGranted) {
      entry->state = request_state::kRunning;
      out->push_back(
          admission_result{decision.query, true, result_code::kOk, {}});
    } else {
      Refuse(entry, decision.code, decision.retry_after, out);
    }
  }
}

void admission_client::Refuse(pending* entry, result_code code,
                              duration retry_after, effects* out) {
  out->push_back(
      admission_result{entry->request.query, false, code, retry_after});
  if (entry->known_there) {
    // Withdrawn, so that no grant is held for it.
    out->push_back(send_admission_release{
        {entry->request.query, entry->scope->name, false, {}, {}}});
  }
  Erase(entry);
}

void admission_client::Erase(pending* entry) {
  StopTimer(entry);
  auto& requests = entry->scope->requests;
  requests.erase(requests.iterator_to(*entry));
  tables_->requests.erase(entry->request.query);
}

void admission_client::StartTimer(pending* entry, time_point due) {
  StopTimer(entry);
  entry->due = due;
  tables_->by_due.insert(*entry);
}

void admission_client::StopTimer(pending* entry) {
  if (!entry->due_hook::is_linked()) return;
  tables_->by_due.erase(tables_->by_due.iterator_to(*entry));
}

void admission_client::Ask(pending* entry, time_point now, effects* out) {
  entry->state = request_state::kAsked;
  entry->known_there = true;
  entry->asked = now;
  StartTimer(entry, now + options_.silence);
  out->push_back(send_admission_request{entry->request});
}

void admission_client::Request(const admission_request& request, time_point now,
                               effects* out) {
  auto [position, inserted] = tables_->requests.try_emplace(request.query);
  if (!inserted) return;
  position->second = std::make_unique<pending>();
  pending* entry = position->second.get();
  entry->request = request;
  entry->request.running = false;
  entry->asked = now;
  scope_entry& scope = Scope(request.scope);
  entry->scope = &scope;
  scope.requests.push_back(*entry);
  if (!scope.responsive && now >= scope.probe_at) {
    // Only this request probes; those after it wait for its outcome.
    scope.probe_at = now + options_.unresponsive_memory;
    Ask(entry, now, out);
  } else if (scope.responsive) {
    Ask(entry, now, out);
  } else {
    DecideHere(entry, now, out);
  }
}

void admission_client::DecideHere(pending* entry, time_point now,
                                  effects* out) {
  StopTimer(entry);
  entry->state = request_state::kQueuedHere;
  admission_request request = entry->request;
  request.max_wait =
      std::max(duration{0}, request.max_wait - (now - entry->asked));
  admission_controller::effects replies;
  fallback_.OnRequest(kHere, request, now, &replies);
  Forward(replies, out);
}

void admission_client::CountAsRunning(pending* entry, time_point now) {
  StopTimer(entry);
  entry->state = request_state::kRunning;
  admission_request request = entry->request;
  request.running = true;
  admission_controller::effects none;
  fallback_.OnRequest(kHere, request, now, &none);
}

void admission_client::MarkUnresponsive(scope_entry* scope, time_point now,
                                        effects* out) {
  scope->probe_at = now + options_.unresponsive_memory;
  if (scope->responsive) {
    scope->responsive = false;
    out->push_back(admission_mode_changed{scope->name, false, ShareOf(*scope)});
  }
  SetFallbackLimit(*scope, now, out);
  // Decisions erase entries, so that the waiting ones are collected first.
  std::vector<query_id> waiting;
  for (const pending& entry : scope->requests) {
    if (entry.state == request_state::kAsked ||
        entry.state == request_state::kQueuedThere) {
      waiting.push_back(entry.request.query);
    }
  }
  for (const query_id query : waiting) {
    const auto position = tables_->requests.find(query);
    if (position != tables_->requests.end()) {
      DecideHere(position->second.get(), now, out);
    }
  }
}

void admission_client::MarkResponsive(scope_entry* scope, effects* out) {
  if (scope->responsive) return;
  scope->responsive = true;
  out->push_back(admission_mode_changed{scope->name, true, ShareOf(*scope)});
  for (pending& entry : scope->requests) {
    if (entry.state == request_state::kRunning && !entry.known_there) {
      ReportRunning(&entry, out);
    }
  }
}

void admission_client::ReportRunning(pending* entry, effects* out) {
  entry->known_there = true;
  send_admission_request report{entry->request};
  report.message.running = true;
  out->push_back(std::move(report));
}

void admission_client::Release(const admission_release& release, time_point now,
                               effects* out) {
  const auto position = tables_->requests.find(release.query);
  if (position == tables_->requests.end()) return;
  pending* entry = position->second.get();
  if (entry->known_there) {
    send_admission_release message{release};
    message.message.scope = entry->scope->name;
    out->push_back(std::move(message));
  }
  Erase(entry);
  admission_controller::effects replies;
  fallback_.OnRelease(kHere, release, now, &replies);
  Forward(replies, out);
}

void admission_client::OnDecision(const admission_decision& decision,
                                  time_point now, effects* out) {
  const auto known_scope = scopes_.find(decision.scope);
  if (known_scope == scopes_.end()) return;
  scope_entry& scope = *known_scope->second;
  scope.last_heard = now;
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
  pending* entry = position->second.get();
  switch (decision.verdict) {
    case admission_verdict::kGranted:
      if (entry->state != request_state::kRunning) {
        CountAsRunning(entry, now);
        out->push_back(
            admission_result{decision.query, true, result_code::kOk, {}});
      }
      break;
    case admission_verdict::kRefused:
      entry->known_there = false;
      if (entry->state == request_state::kRunning) {
        // This origin has admitted it by itself; it goes on and is counted.
        ReportRunning(entry, out);
        break;
      }
      if (entry->state == request_state::kQueuedHere) {
        admission_controller::effects none;
        fallback_.OnRelease(
            kHere, {decision.query, decision.scope, false, {}, {}}, now, &none);
      }
      Refuse(entry, decision.code, decision.retry_after, out);
      break;
    case admission_verdict::kQueued:
      if (entry->state != request_state::kAsked) break;
      entry->state = request_state::kQueuedThere;
      // The admission instance refuses at the end of max_wait.
      StartTimer(entry, now + entry->request.max_wait + 2 * options_.silence);
      break;
  }
  MarkResponsive(&scope, out);
}

void admission_client::OnInstanceChanged(const std::string& name,
                                         time_point now, effects* out) {
  const auto position = scopes_.find(name);
  if (position == scopes_.end()) return;
  scope_entry& scope = *position->second;
  scope.last_heard = now;
  for (pending& entry : scope.requests) {
    entry.known_there = false;
    if (entry.state == request_state::kAsked ||
        entry.state == request_state::kQueuedThere) {
      const time_point asked = entry.asked;
      Ask(&entry, now, out);
      // The wait counts from the first instance.
      entry.asked = asked;
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
  for (pending& entry : position->second->requests) entry.known_there = false;
  MarkUnresponsive(position->second.get(), now, out);
}

void admission_client::Tick(time_point now, effects* out) {
  auto& by_due = tables_->by_due;
  while (!by_due.empty() && by_due.begin()->due <= now) {
    pending* entry = &*by_due.begin();
    scope_entry* scope = entry->scope;
    const time_point silent_at = scope->last_heard + options_.silence;
    const time_point latest = entry->asked + entry->request.max_wait;
    if (entry->state == request_state::kAsked && scope->responsive &&
        silent_at > now && latest > now) {
      // The instance answers others; this request is on its way.
      StartTimer(entry, std::min(silent_at, latest));
      continue;
    }
    MarkUnresponsive(scope, now, out);
  }
  admission_controller::effects replies;
  fallback_.Tick(now, &replies);
  Forward(replies, out);
}

std::optional<time_point> admission_client::next_due() const {
  std::optional<time_point> due = fallback_.next_due();
  if (!tables_->by_due.empty()) {
    const time_point own = tables_->by_due.begin()->due;
    due = due.has_value() ? std::min(*due, own) : own;
  }
  return due;
}

}  // namespace bilberrycourse
