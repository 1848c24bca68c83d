#include "bilberrycourse/admission_controller.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <utility>

namespace bilberrycourse {
namespace {

namespace bi = boost::intrusive;

struct caller_tag;
struct origin_tag;
struct due_tag;
using caller_hook = bi::list_base_hook<bi::tag<caller_tag>>;
using origin_hook = bi::list_base_hook<bi::tag<origin_tag>>;
using due_hook = bi::set_base_hook<bi::tag<due_tag>>;

// Weight of one new sample in the smoothed rates and times.
constexpr double kSmoothingWeight = 0.2;
constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(5);

duration Microseconds(double value) {
  return duration(static_cast<duration::rep>(value));
}

void Smooth(double sample, double* value) {
  *value += (*value == 0 ? 1 : kSmoothingWeight) * (sample - *value);
}

}  // namespace

// One waiting request or one grant.
struct admission_controller::ticket : public caller_hook,
                                      public origin_hook,
                                      public due_hook {
  std::uint32_t origin = 0;
  query_id query{};
  scope_entry* scope = nullptr;
  // Null until the request waits or runs.
  caller_entry* caller = nullptr;
  bool running = false;
  time_point due{};
  time_point deadline{};
  time_point started{};

  friend bool operator<(const ticket& a, const ticket& b) {
    return a.due < b.due;
  }
};

struct admission_controller::caller_entry : public bi::list_base_hook<> {
  using queue = bi::list<ticket, bi::base_hook<caller_hook>>;
  const caller_name* name = nullptr;
  queue waiting;
  std::size_t running = 0;
  std::uint32_t weight = 1;
  // Grants left in this turn.
  std::uint32_t deficit = 0;
  // True while the caller is in `new_callers`, false while in `old_callers`.
  bool in_new_callers = false;
};

struct admission_controller::scope_entry {
  using caller_list = bi::list<caller_entry>;
  const std::string* name = nullptr;
  // The fractional part accumulates slow growth over several windows.
  double limit = 0;
  std::uint32_t floor = 1;
  std::size_t running = 0;
  std::size_t waiting = 0;
  // Callers with a waiting or running request.
  std::unordered_map<caller_name, caller_entry> callers;
  // Sum of the weights of these callers.
  std::uint64_t total_weight = 0;
  // Callers in their first turn (new) are served before those in later turns
  // (old), so that a caller with rare requests does not wait for a full round.
  caller_list new_callers;
  caller_list old_callers;
  // Current measuring window.
  time_point window_start{};
  std::size_t window_samples = 0;
  duration window_queue_wait{0};
  duration window_service_time{0};
  bool window_reached_limit = false;
  // Smoothed averages in microseconds. `residence` is the time from grant to
  // release, `time_left` the time from grant to deadline.
  double residence = 0;
  double queue_wait = 0;
  double service_time = 0;
  double time_left = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;

  std::size_t integer_limit() const { return static_cast<std::size_t>(limit); }
};

struct admission_controller::tables {
  using due_set = bi::multiset<ticket, bi::base_hook<due_hook>,
                               bi::constant_time_size<false>>;
  struct origin_entry {
    instance_name name;
    bi::list<ticket, bi::base_hook<origin_hook>> tickets;
  };
  std::unordered_map<std::string, scope_entry> scopes;
  std::unordered_map<instance_name, std::uint32_t> origin_numbers;
  std::vector<std::unique_ptr<origin_entry>> origins;
  boost::unordered_flat_map<ticket_key, std::unique_ptr<ticket>,
                            ticket_key_hash>
      tickets;
  due_set by_due;
};

std::size_t admission_controller::ticket_key_hash::operator()(
    const ticket_key& key) const {
  return XXH3_64bits_withSeed(&key.query, sizeof(key.query), key.origin);
}

admission_controller::admission_controller(admission_controller_options options)
    : options_(options), tables_(std::make_unique<tables>()) {}

admission_controller::~admission_controller() {
  tables_->by_due.clear();
  for (auto& origin : tables_->origins) origin->tickets.clear();
  for (auto& [name, scope] : tables_->scopes) {
    scope.new_callers.clear();
    scope.old_callers.clear();
    for (auto& [caller_name, caller] : scope.callers) caller.waiting.clear();
  }
}

admission_controller::scope_entry* admission_controller::FindScope(
    const std::string& name) {
  const auto position = tables_->scopes.find(name);
  return position == tables_->scopes.end() ? nullptr : &position->second;
}

admission_controller::scope_entry* admission_controller::FindOrCreateScope(
    const std::string& name) {
  scope_entry* known = FindScope(name);
  if (known != nullptr) return known;
  if (tables_->scopes.size() >= options_.max_scopes) return nullptr;
  const auto position = tables_->scopes.try_emplace(name).first;
  position->second.name = &position->first;
  position->second.limit = options_.initial_limit;
  return &position->second;
}

std::uint32_t admission_controller::OriginNumber(const instance_name& origin) {
  const auto known = tables_->origin_numbers.find(origin);
  if (known != tables_->origin_numbers.end()) return known->second;
  const auto number = static_cast<std::uint32_t>(tables_->origins.size());
  tables_->origins.push_back(std::make_unique<tables::origin_entry>());
  tables_->origins.back()->name = origin;
  tables_->origin_numbers.emplace(origin, number);
  return number;
}

void admission_controller::SetFloor(const std::string& scope,
                                    std::uint32_t floor) {
  scope_entry* entry = FindOrCreateScope(scope);
  if (entry == nullptr) return;
  entry->floor = std::clamp(floor, 1u, options_.max_limit);
  if (options_.adaptive) {
    entry->limit = std::max(entry->limit, static_cast<double>(entry->floor));
  }
}

void admission_controller::SetLimit(const std::string& scope,
                                    std::uint32_t limit, time_point now,
                                    effects* out) {
  scope_entry* entry = FindOrCreateScope(scope);
  if (entry == nullptr) return;
  entry->limit = limit;
  Grant(entry, now, out);
}

void admission_controller::Reply(const ticket& entry, admission_verdict verdict,
                                 result_code code, duration retry_after,
                                 effects* out) const {
  admission_reply& reply = out->emplace_back();
  reply.origin = tables_->origins[entry.origin]->name;
  reply.decision.query = entry.query;
  reply.decision.scope = *entry.scope->name;
  reply.decision.verdict = verdict;
  reply.decision.code = code;
  reply.decision.retry_after = retry_after;
  reply.decision.limit = static_cast<std::uint32_t>(entry.scope->limit);
}

duration admission_controller::ExpectedWait(const scope_entry& scope,
                                            const caller_entry& caller) {
  if (scope.running < scope.integer_limit() && scope.waiting == 0) return {};
  std::size_t requests_ahead = scope.new_callers.size() + 1;
  if (caller.is_linked()) {
    // Until then, each other caller is granted about as many requests as this
    // one.
    const std::size_t callers =
        scope.new_callers.size() + scope.old_callers.size();
    const std::size_t turns = caller.waiting.size() / caller.weight + 1;
    requests_ahead = std::min(turns * callers, scope.waiting + 1);
  }
  // A full scope ends limit / residence grants per unit of time.
  const double time_per_grant = scope.residence / std::max(scope.limit, 1.0);
  return Microseconds(static_cast<double>(requests_ahead) * time_per_grant);
}

void admission_controller::OnRequest(const instance_name& origin,
                                     const admission_request& request,
                                     time_point now, effects* out) {
  scope_entry* scope = FindOrCreateScope(request.scope);
  const std::uint32_t number = OriginNumber(origin);
  if (scope == nullptr) {
    if (request.running) return;
    admission_reply& reply = out->emplace_back();
    reply.origin = origin;
    reply.decision = {request.query,
                      request.scope,
                      admission_verdict::kRefused,
                      result_code::kOverloaded,
                      kMaxRetryAfter,
                      0};
    return;
  }
  auto [position, inserted] =
      tables_->tickets.try_emplace(ticket_key{number, request.query});
  if (!inserted) {
    ticket* known = position->second.get();
    // The origin did not wait for the decision and admitted the query locally.
    if (request.running && !known->running) Start(known, now);
    return;
  }
  position->second = std::make_unique<ticket>();
  ticket* entry = position->second.get();
  entry->origin = number;
  entry->query = request.query;
  entry->scope = scope;
  entry->deadline = request.deadline;
  tables_->origins[number]->tickets.push_back(*entry);
  caller_entry* caller = FindOrCreateCaller(scope, request);
  if (request.running) {
    entry->caller = caller;
    Start(entry, now);
    return;
  }
  if (caller == nullptr || scope->waiting >= options_.max_waiting_per_scope ||
      scope->running >= options_.max_running_per_scope ||
      (!BelowShare(*scope, *caller) &&
       ExpectedWait(*scope, *caller) >
           Microseconds(options_.expected_wait_share *
                        static_cast<double>(request.max_wait.count())))) {
    Refuse(entry, result_code::kOverloaded, out);
    if (caller != nullptr) EraseCallerIfIdle(scope, caller);
    return;
  }
  if (!caller->is_linked()) {
    caller->in_new_callers = true;
    caller->deficit = caller->weight;
    scope->new_callers.push_back(*caller);
  }
  entry->caller = caller;
  entry->due = std::min(now + request.max_wait, request.deadline);
  caller->waiting.push_back(*entry);
  ++scope->waiting;
  tables_->by_due.insert(*entry);
  GrantBelowShare(scope, caller, now, out);
  Grant(scope, now, out);
  if (!entry->running) {
    Reply(*entry, admission_verdict::kQueued, result_code::kOk, {}, out);
  }
}

admission_controller::caller_entry* admission_controller::FindOrCreateCaller(
    scope_entry* scope, const admission_request& request) {
  const std::uint32_t weight = std::max(request.weight, 1u);
  const auto known = scope->callers.find(request.caller);
  if (known != scope->callers.end()) {
    scope->total_weight += weight;
    scope->total_weight -= known->second.weight;
    known->second.weight = weight;
    return &known->second;
  }
  if (scope->callers.size() >= options_.max_callers_per_scope) return nullptr;
  const auto position = scope->callers.try_emplace(request.caller).first;
  position->second.name = &position->first;
  position->second.weight = weight;
  scope->total_weight += weight;
  return &position->second;
}

void admission_controller::EraseCallerIfIdle(scope_entry* scope,
                                             caller_entry* caller) {
  if (caller->running > 0 || !caller->waiting.empty() || caller->is_linked()) {
    return;
  }
  scope->total_weight -= caller->weight;
  scope->callers.erase(scope->callers.find(*caller->name));
}

bool admission_controller::BelowShare(const scope_entry& scope,
                                      const caller_entry& caller) {
  const std::size_t share =
      scope.integer_limit() * caller.weight / scope.total_weight;
  return caller.running < share;
}

void admission_controller::GrantBelowShare(scope_entry* scope,
                                           caller_entry* caller, time_point now,
                                           effects* out) {
  while (!caller->waiting.empty() && BelowShare(*scope, *caller)) {
    GrantFirst(scope, caller, now, out);
  }
}

void admission_controller::GrantFirst(scope_entry* scope, caller_entry* caller,
                                      time_point now, effects* out) {
  ticket& entry = caller->waiting.front();
  Start(&entry, now);
  ++scope->granted;
  Reply(entry, admission_verdict::kGranted, result_code::kOk, {}, out);
}

void admission_controller::Grant(scope_entry* scope, time_point now,
                                 effects* out) {
  while (scope->waiting > 0 && scope->running < scope->integer_limit()) {
    auto& from =
        scope->new_callers.empty() ? scope->old_callers : scope->new_callers;
    caller_entry& caller = from.front();
    if (caller.waiting.empty() && !caller.in_new_callers) {
      from.pop_front();
      EraseCallerIfIdle(scope, &caller);
      continue;
    }
    if (caller.waiting.empty() || caller.deficit == 0) {
      // A caller whose queue becomes empty in its first turn also moves to
      // `old_callers`. Otherwise it could stay ahead of the others by
      // requesting one query at a time.
      from.pop_front();
      caller.deficit = caller.weight;
      caller.in_new_callers = false;
      scope->old_callers.push_back(caller);
      continue;
    }
    --caller.deficit;
    GrantFirst(scope, &caller, now, out);
  }
  if (scope->running >= scope->integer_limit())
    scope->window_reached_limit = true;
  EraseIdleCallers(scope);
}

void admission_controller::EraseIdleCallers(scope_entry* scope) {
  if (scope->waiting > 0) return;
  for (auto* list : {&scope->new_callers, &scope->old_callers}) {
    while (!list->empty()) {
      caller_entry& caller = list->front();
      list->pop_front();
      EraseCallerIfIdle(scope, &caller);
    }
  }
}

void admission_controller::RemoveFromQueue(ticket* entry) {
  if (entry->caller == nullptr || entry->running) return;
  auto& waiting = entry->caller->waiting;
  waiting.erase(waiting.iterator_to(*entry));
  --entry->scope->waiting;
}

void admission_controller::Start(ticket* entry, time_point now) {
  if (entry->caller_hook::is_linked()) RemoveFromQueue(entry);
  entry->running = true;
  entry->started = now;
  ++entry->scope->running;
  if (entry->caller != nullptr) ++entry->caller->running;
  auto& by_due = tables_->by_due;
  if (entry->due_hook::is_linked()) by_due.erase(by_due.iterator_to(*entry));
  entry->due = entry->deadline + options_.grant_grace;
  by_due.insert(*entry);
}

void admission_controller::Refuse(ticket* entry, result_code code,
                                  effects* out) {
  scope_entry* scope = entry->scope;
  ++scope->refused;
  // The retry time is the time in which a queue of the present length drains,
  // times a factor from 0.5 to 1.5 that depends on the request, so that refused
  // callers do not all retry at the same time.
  const double jitter =
      0.5 + static_cast<double>(
                ticket_key_hash()({entry->origin, entry->query}) % 1024) /
                1024;
  const double drain_time =
      static_cast<double>(scope->waiting + scope->running) * scope->residence /
      std::max(scope->limit, 1.0);
  const duration retry_after =
      std::clamp(Microseconds(drain_time * jitter),
                 Microseconds(jitter * kMinRetryAfter.count()), kMaxRetryAfter);
  Reply(*entry, admission_verdict::kRefused, code, retry_after, out);
  Erase(entry);
  EraseIdleCallers(scope);
}

void admission_controller::Erase(ticket* entry) {
  scope_entry* scope = entry->scope;
  caller_entry* caller = entry->caller;
  if (entry->running) {
    --scope->running;
    if (caller != nullptr) --caller->running;
  } else {
    RemoveFromQueue(entry);
  }
  auto& by_due = tables_->by_due;
  if (entry->due_hook::is_linked()) by_due.erase(by_due.iterator_to(*entry));
  auto& tickets = tables_->origins[entry->origin]->tickets;
  tickets.erase(tickets.iterator_to(*entry));
  tables_->tickets.erase(ticket_key{entry->origin, entry->query});
  if (caller != nullptr) EraseCallerIfIdle(scope, caller);
}

void admission_controller::EraseAndGrant(ticket* entry, time_point now,
                                         effects* out) {
  scope_entry* scope = entry->scope;
  caller_entry* caller = entry->caller;
  // A caller with waiting requests is not erased with the ticket.
  const bool has_waiting = caller != nullptr && !caller->waiting.empty();
  const bool running = entry->running;
  Erase(entry);
  if (running && has_waiting) GrantBelowShare(scope, caller, now, out);
  Grant(scope, now, out);
}

void admission_controller::OnRelease(const instance_name& origin,
                                     const admission_release& release,
                                     time_point now, effects* out) {
  const auto position =
      tables_->tickets.find(ticket_key{OriginNumber(origin), release.query});
  if (position == tables_->tickets.end()) return;
  ticket* entry = position->second.get();
  scope_entry* scope = entry->scope;
  if (entry->running) {
    Smooth(static_cast<double>((now - entry->started).count()),
           &scope->residence);
    Smooth(static_cast<double>((entry->deadline - entry->started).count()),
           &scope->time_left);
    RecordMeasurement(scope, release, now);
  }
  EraseAndGrant(entry, now, out);
}

void admission_controller::RecordMeasurement(scope_entry* scope,
                                             const admission_release& release,
                                             time_point now) {
  if (release.measured) {
    ++scope->window_samples;
    scope->window_queue_wait += release.queue_wait;
    scope->window_service_time += release.service_time;
  }
  // A change of the limit affects the measured delay after one residence time.
  const duration length =
      std::max(options_.measuring_window, Microseconds(scope->residence));
  if (now - scope->window_start < length || scope->window_samples == 0) return;
  const auto samples = static_cast<double>(scope->window_samples);
  const double wait =
      static_cast<double>(scope->window_queue_wait.count()) / samples;
  Smooth(wait, &scope->queue_wait);
  Smooth(static_cast<double>(scope->window_service_time.count()) / samples,
         &scope->service_time);
  if (options_.adaptive) {
    const double target =
        std::max(static_cast<double>(options_.min_target_delay.count()),
                 std::min(options_.target_delay_factor * scope->service_time,
                          options_.max_delay_share * scope->time_left));
    if (wait > target) {
      scope->limit *=
          std::max(options_.min_decrease_factor,
                   1 - options_.decrease_gain * (wait / target - 1));
    } else if (scope->window_reached_limit) {
      scope->limit += std::max(options_.increase_step,
                               options_.increase_share * scope->limit);
    }
    scope->limit = std::clamp(scope->limit, static_cast<double>(scope->floor),
                              static_cast<double>(options_.max_limit));
  }
  scope->window_start = now;
  scope->window_samples = 0;
  scope->window_queue_wait = {};
  scope->window_service_time = {};
  scope->window_reached_limit = scope->running >= scope->integer_limit();
}

void admission_controller::OnOriginDisconnected(const instance_name& origin,
                                                time_point now, effects* out) {
  const auto number = tables_->origin_numbers.find(origin);
  if (number == tables_->origin_numbers.end()) return;
  auto& tickets = tables_->origins[number->second]->tickets;
  while (!tickets.empty()) Erase(&tickets.front());
  for (auto& [name, scope] : tables_->scopes) Grant(&scope, now, out);
}

void admission_controller::Tick(time_point now, effects* out) {
  auto& by_due = tables_->by_due;
  while (!by_due.empty() && by_due.begin()->due <= now) {
    ticket* entry = &*by_due.begin();
    if (!entry->running) {
      Refuse(entry,
             now >= entry->deadline ? result_code::kQueueDeadline
                                    : result_code::kOverloaded,
             out);
      continue;
    }
    ++entry->scope->expired;
    EraseAndGrant(entry, now, out);
  }
}

std::optional<time_point> admission_controller::next_due() const {
  if (tables_->by_due.empty()) return std::nullopt;
  return tables_->by_due.begin()->due;
}

std::optional<admission_scope_status> admission_controller::Status(
    const std::string& name) const {
  const auto position = tables_->scopes.find(name);
  if (position == tables_->scopes.end()) return std::nullopt;
  const scope_entry& scope = position->second;
  admission_scope_status status;
  status.limit = static_cast<std::uint32_t>(scope.limit);
  status.floor = scope.floor;
  status.running = scope.running;
  status.waiting = scope.waiting;
  status.callers = scope.callers.size();
  status.granted = scope.granted;
  status.refused = scope.refused;
  status.expired = scope.expired;
  status.recent_queue_wait = Microseconds(scope.queue_wait);
  status.recent_service_time = Microseconds(scope.service_time);
  return status;
}

}  // namespace bilberrycourse
