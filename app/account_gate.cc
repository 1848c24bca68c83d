#include "app/account_gate.h"

#include <algorithm>
#include <utility>

#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// Retry-After of a request that was refused because too many were waiting.
constexpr duration kOverflowRetryTime = std::chrono::milliseconds(500);
// A timeout that is noticed this much late shows that this process was stalled,
// for example by a limit of its CPU time. The answer may then be in the socket
// already, so it gets kReadTime.
constexpr duration kStallTime = std::chrono::milliseconds(5);
constexpr duration kReadTime = std::chrono::milliseconds(5);
// Unanswered messages whose late answer is accepted.
constexpr std::size_t kMaxAbandoned = 8;
constexpr double kRefusalLogsPerSecond = 10;
constexpr double kLossLogsPerSecond = 2;

}  // namespace

account_gate::account_gate(const account_gate_options& options)
    : options_(options),
      quotas_(options.tolerance),
      next_request_(options.first_request),
      refusal_log_limiter_(kRefusalLogsPerSecond),
      loss_log_limiter_(kLossLogsPerSecond) {}

gate_ticket account_gate::Enter(quota_limits limits, time_point now,
                                continuation answer) {
  if (closed_) {
    answer({result_code::kShuttingDown, duration{0}, {}});
    return 0;
  }
  const quota_decision decision = quotas_.Decide(limits, now);
  if (decision.verdict != quota_verdict::kAsk) {
    Answer(limits, decision, answer, now);
    return 0;
  }
  if (Full(limits.account)) {
    ++counters_.overflows;
    Answer(limits, {quota_verdict::kRefused, kOverflowRetryTime, {}}, answer,
           now);
    return 0;
  }
  ++counters_.waits;
  const gate_ticket ticket = next_ticket_++;
  ++waiting_of_account_[limits.account];
  waiting_.emplace(ticket, waiting_request{std::move(limits), now, false,
                                           std::move(answer)});
  if (!in_flight_.has_value() && !send_due_.has_value()) send_due_ = now;
  return ticket;
}

bool account_gate::Full(const std::string& account) const {
  const auto found = waiting_of_account_.find(account);
  return waiting_.size() >= options_.max_waiting ||
         (found != waiting_of_account_.end() &&
          found->second >= options_.max_waiting / 2);
}

account_gate::waiting_request account_gate::Remove(
    std::map<gate_ticket, waiting_request>::iterator position) {
  waiting_request removed = std::move(position->second);
  waiting_.erase(position);
  const auto count = waiting_of_account_.find(removed.limits.account);
  if (--count->second == 0) waiting_of_account_.erase(count);
  return removed;
}

void account_gate::Cancel(gate_ticket ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) return;
  const waiting_request cancelled = Remove(found);
  cancelled.answer({result_code::kCancelled, duration{0}, {}});
}

void account_gate::Return(const gate_pass& pass, time_point now) {
  quotas_.Return(pass.account, pass.permit_end, now);
}

void account_gate::Answer(const quota_limits& limits,
                          const quota_decision& decision,
                          const continuation& answer, time_point now) {
  if (decision.verdict == quota_verdict::kAdmitted) {
    ++counters_.admitted;
    answer(
        {result_code::kOk, duration{0}, {limits.account, decision.permit_end}});
    return;
  }
  ++counters_.refused;
  LogRefusal(limits.account, decision.retry_after, now);
  answer({result_code::kAccountLimitExceeded, decision.retry_after, {}});
}

void account_gate::LogRefusal(const std::string& account, duration retry_after,
                              time_point now) {
  if (!refusal_log_limiter_.Allow(now)) return;
  const auto& info = Describe(result_code::kAccountLimitExceeded);
  LogDecision("account_refused",
              {{"account", account},
               {"code", info.number},
               {"reason", info.name},
               {"retry_after_ms", retry_after.count() / 1000},
               {"allocator_lost", quotas_.lost()},
               {"waiting", waiting_.size()},
               {"left_out", refusal_log_limiter_.TakeSuppressedCount()}});
}

// Asks the leader for the permits of all requests that have not been asked for.
void account_gate::Send(time_point now) {
  send_due_.reset();
  std::map<std::string, std::pair<quota_limits, std::uint32_t>> wanted;
  for (auto& [ticket, request] : waiting_) {
    auto& [limits, count] = wanted[request.limits.account];
    if (count == 0 || limits.config_version < request.limits.config_version) {
      limits = request.limits;
    }
    ++count;
    ++counters_.wanted;
    request.asked = true;
  }
  if (wanted.empty()) return;
  const time_point oldest = waiting_.begin()->second.since;
  std::vector<std::pair<quota_limits, std::uint32_t>> list;
  for (auto& [account, want] : wanted) list.push_back(std::move(want));
  const std::uint64_t id = next_request_++;
  const quota_request message = quotas_.Ask(id, list, now);
  if (send_ && send_(message)) {
    in_flight_ = {
        id, now,
        std::max(oldest + options_.answer_time, now + options_.answer_time / 2),
        false};
  } else {
    quotas_.OnNotSent(message, now);
    Lose(/*silent=*/false, now);
  }
}

void account_gate::OnReply(const quota_reply& reply, time_point now) {
  const bool expected = in_flight_.has_value() && in_flight_->id == reply.id;
  time_point sent_at;
  if (expected) {
    sent_at = in_flight_->sent_at;
    in_flight_.reset();
  } else {
    const auto found =
        std::ranges::find(abandoned_, reply.id, &unanswered_request::id);
    if (found == abandoned_.end()) return;
    sent_at = found->sent_at;
    abandoned_.erase(found);
  }
  quotas_.OnReply(reply, sent_at, now);
  if (!reply.allocated) {
    if (expected) Lose(/*silent=*/false, now);
    return;
  }
  DecideWaiting(/*alone=*/false, now);
}

void account_gate::OnLeaderLost(time_point now) {
  if (in_flight_.has_value()) Lose(/*silent=*/false, now);
}

void account_gate::Lose(bool silent, time_point now) {
  if (in_flight_.has_value()) {
    if (abandoned_.size() >= kMaxAbandoned) {
      abandoned_.erase(abandoned_.begin());
    }
    abandoned_.push_back(*std::exchange(in_flight_, std::nullopt));
  }
  quotas_.OnLost(silent, now);
  if (loss_log_limiter_.Allow(now)) {
    LogEvent(log_level::kWarning, "quota_allocator_lost",
             {{"silent", silent},
              {"waiting", waiting_.size()},
              {"left_out", loss_log_limiter_.TakeSuppressedCount()}});
  }
  DecideWaiting(/*alone=*/true, now);
}

// Decides the waiting requests in the order of their arrival. Those that still
// need a permit after a reply go on waiting if no message has asked for them;
// otherwise the reply was incomplete, and the own share decides. Continuations
// may call the gate, so they run after all decisions.
void account_gate::DecideWaiting(bool alone, time_point now) {
  struct decided_request {
    waiting_request request;
    quota_decision decision;
  };
  std::vector<decided_request> decided;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto position = next++;
    const waiting_request& request = position->second;
    quota_decision decision = alone ? quotas_.DecideAlone(request.limits, now)
                                    : quotas_.Decide(request.limits, now);
    if (decision.verdict == quota_verdict::kAsk) {
      if (!request.asked || in_flight_.has_value()) continue;
      decision = quotas_.DecideAlone(request.limits, now);
    }
    decided.push_back({Remove(position), decision});
  }
  if (!waiting_.empty() && !in_flight_.has_value() && !send_due_.has_value()) {
    send_due_ = now;
  }
  for (const decided_request& one : decided) {
    Answer(one.request.limits, one.decision, one.request.answer, now);
  }
}

void account_gate::Tick(time_point now) {
  if (in_flight_.has_value() && now >= in_flight_->due) {
    if (now - in_flight_->due >= kStallTime && !in_flight_->extended) {
      in_flight_->extended = true;
      in_flight_->due = now + kReadTime;
    } else {
      ++counters_.silences;
      Lose(/*silent=*/true, now);
    }
  }
  if (send_due_.has_value() && now >= *send_due_) Send(now);
  if (close_at_.has_value() && now >= *close_at_) Close();
}

std::optional<time_point> account_gate::next_due() const {
  std::optional<time_point> due = send_due_;
  if (in_flight_.has_value()) due = in_flight_->due;
  if (close_at_.has_value())
    due = std::min(due.value_or(*close_at_), *close_at_);
  return due;
}

void account_gate::Close() {
  closed_ = true;
  close_at_.reset();
  in_flight_.reset();
  send_due_.reset();
  waiting_of_account_.clear();
  for (const auto& [ticket, request] : std::exchange(waiting_, {})) {
    request.answer({result_code::kShuttingDown, duration{0}, {}});
  }
}

}  // namespace bilberrycourse
