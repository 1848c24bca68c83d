#ifndef APP_ACCOUNT_GATE_H_
#define APP_ACCOUNT_GATE_H_

// The place in an entry instance where requests of limited accounts wait for a
// permit of the quota_allocator.
//
//   account_gate gate(options);
//   gate.SetSender([&](const quota_request& request) { return ...; });
//   gate_ticket ticket = gate.Enter(limits, now, [](const gate_result& result)
//   {
//     if (result.code == result_code::kOk) Begin(); else Refuse(result);
//   });
//   gate.Tick(now);                     // at next_due()
//   gate.OnReply(reply, now);
//   gate.Cancel(ticket);                // the caller has left
//   gate.StopAt(end);                   // the instance stops
//
// Calls every continuation exactly once, within Enter() or later. What arrives
// between two calls of Tick() shares one message to the leader; one message is
// in flight at a time. If a request has waited for `answer_time` and the
// message has had half of that time, the instance's own share decides all that
// wait. So no request waits longer than 1.5 times `answer_time`, unless the
// process itself was stalled.
//
// Has no socket and no clock, so it is tested without a network.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/log_limiter.h"
#include "bilberrycourse/accounts/account_quota.h"
#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

struct account_gate_options {
  quota_tolerance tolerance;
  // Requests that wait at once; further ones are refused. One account may take
  // half of the places, so that it does not keep the others out.
  std::size_t max_waiting = 1024;
  duration answer_time = std::chrono::milliseconds(50);
  std::uint64_t first_request = 1;
};

// Identifies an admitted request, so that its permit can be given back.
struct gate_pass {
  std::string account;
  std::optional<time_point> permit_end;
};

struct gate_result {
  // kOk, kAccountLimitExceeded, kCancelled or kShuttingDown.
  result_code code = result_code::kOk;
  duration retry_after{0};
  // With kOk.
  gate_pass pass;
};

// 0 stands for a request that has been answered.
using gate_ticket = std::uint64_t;

struct account_gate_counters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Of those, refused because too many were waiting.
  std::uint64_t overflows = 0;
  // Requests that waited for the leader.
  std::uint64_t waits = 0;
  std::uint64_t wanted = 0;
  // Messages to the leader that had no answer in time.
  std::uint64_t silences = 0;
};

class account_gate {
 public:
  using continuation = std::function<void(const gate_result&)>;

  explicit account_gate(const account_gate_options& options);

  // `send` returns false if the leader can't be reached now. It must not call
  // the gate.
  void SetSender(std::function<bool(const quota_request&)> send) {
    send_ = std::move(send);
  }

  gate_ticket Enter(quota_limits limits, time_point now, continuation answer);
  // Answers the request with kCancelled, if it still waits.
  void Cancel(gate_ticket ticket);
  // Gives back the pass of a request that was not sent.
  void Return(const gate_pass& pass, time_point now);

  void OnReply(const quota_reply& reply, time_point now);
  // The link to the leader is lost, or the leader has changed.
  void OnLeaderLost(time_point now);
  void Tick(time_point now);
  std::optional<time_point> next_due() const;
  // The instance stops: from `end` on, everything that waits or arrives is
  // answered with kShuttingDown.
  void StopAt(time_point end) { close_at_ = end; }

  std::size_t waiting() const { return waiting_.size(); }
  const account_gate_counters& counters() const { return counters_; }
  const account_quota& quotas() const { return quotas_; }

 private:
  struct waiting_request {
    quota_limits limits;
    time_point since{};
    // True once a message to the leader has asked for its permit.
    bool asked = false;
    continuation answer;
  };
  struct unanswered_request {
    std::uint64_t id = 0;
    time_point sent_at{};
    time_point due{};
    // True once `due` was moved because this process was stalled.
    bool extended = false;
  };

  bool Full(const std::string& account) const;
  waiting_request Remove(std::map<gate_ticket, waiting_request>::iterator);
  void Close();
  void Send(time_point now);
  void Lose(bool silent, time_point now);
  void DecideWaiting(bool alone, time_point now);
  void Answer(const quota_limits& limits, const quota_decision& decision,
              const continuation& answer, time_point now);
  void LogRefusal(const std::string& account, duration retry_after,
                  time_point now);

  account_gate_options options_;
  account_quota quotas_;
  account_gate_counters counters_;
  std::function<bool(const quota_request&)> send_;
  // By ticket, which is the order of arrival.
  std::map<gate_ticket, waiting_request> waiting_;
  std::map<std::string, std::size_t> waiting_of_account_;
  gate_ticket next_ticket_ = 1;
  std::uint64_t next_request_;
  // The message that the waiting requests wait for.
  std::optional<unanswered_request> in_flight_;
  // Earlier messages that were not answered in time; an answer may still come.
  std::vector<unanswered_request> abandoned_;
  std::optional<time_point> send_due_;
  std::optional<time_point> close_at_;
  bool closed_ = false;
  log_limiter refusal_log_limiter_;
  log_limiter loss_log_limiter_;
};

}  // namespace bilberrycourse

#endif  // APP_ACCOUNT_GATE_H_
