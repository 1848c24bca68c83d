#ifndef APP_TESTING_QUOTA_TIER_H_
#define APP_TESTING_QUOTA_TIER_H_

// The account_gates of many entry instances and the quota_allocator of the
// leader, on virtual time and with a network of two one-way delays.
//
//   quota_tier tier(85);
//   tier.limits["a"] = {"a", 10, 0, 1};
//   tier.Run(seconds(5), [&] { tier.Request(3, "a"); });
//   EXPECT_LE(tier.MostSends("a", seconds(5)), tier.Bound("a"));

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/account_gate.h"
#include "bilberrycourse/accounts/quota_allocator.h"

namespace bilberrycourse {

struct quota_tier {
  explicit quota_tier(std::size_t instances)
      : gates(instances), cut(instances, false) {
    allocator.Start(now);
    now += std::chrono::seconds(30);
    for (std::size_t i = 0; i < instances; ++i) Restart(i);
  }

  // Replaces the process; what waits in it is lost.
  void Restart(std::size_t instance) {
    account_gate_options options;
    options.first_request = next_first_id += 1'000'000;
    gates[instance] = std::make_unique<account_gate>(options);
    gates[instance]->SetSender([this, instance](const quota_request& request) {
      if (cut[instance] && !silent_cuts) return false;
      if (!cut[instance]) requests.push_back({now + delay, instance, request});
      return true;
    });
  }

  void Request(std::size_t instance, const std::string& account) {
    const time_point at = now;
    gates[instance]->Enter(limits[account], now,
                           [this, account, at](const gate_result& result) {
                             longest_wait = std::max(longest_wait, now - at);
                             if (result.code == result_code::kOk) {
                               sends[account].push_back(now);
                             } else {
                               ++refused[account];
                             }
                           });
  }

  // Calls `step` every two milliseconds.
  template <typename Step>
  void Run(duration time, Step step) {
    for (const time_point end = now + time; now < end;) {
      step();
      for (const auto& gate : gates) gate->Tick(now);
      Deliver();
      now += std::chrono::milliseconds(2);
    }
  }

  void Deliver() {
    while (!requests.empty() && requests.front().due <= now) {
      const auto [due, instance, request] = requests.front();
      requests.pop_front();
      if (cut[instance] || !leader_up) continue;
      replies.push_back(
          {now + delay, instance, allocator.Handle(request, now)});
    }
    while (!replies.empty() && replies.front().due <= now) {
      const auto [due, instance, reply] = replies.front();
      replies.pop_front();
      if (!cut[instance]) gates[instance]->OnReply(reply, now);
    }
  }

  // Returns the most requests let through in any window that starts at `from`.
  std::size_t MostSends(const std::string& account, duration window,
                        time_point from = {}) {
    const std::vector<time_point>& times = sends[account];
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[first] < from || times[last] - times[first] > window) {
        if (++first > last) break;
      }
      most = std::max(most, last + 1 - std::min(first, last + 1));
    }
    return most;
  }

  double Bound(const std::string& account) {
    const quota_limits& limit = limits[account];
    return (limit.requests_per_second * 5 + limit.burst) * 1.1 + 20;
  }

  template <typename Message>
  struct in_transit {
    time_point due;
    std::size_t instance;
    Message message;
  };

  time_point now{std::chrono::seconds(1000)};
  duration delay = std::chrono::milliseconds(4);
  std::vector<std::unique_ptr<account_gate>> gates;
  // Instances without a link to the leader; with `silent_cuts`, they do not
  // know it.
  std::vector<bool> cut;
  bool silent_cuts = true;
  bool leader_up = true;
  quota_allocator allocator;
  std::map<std::string, quota_limits> limits;
  std::map<std::string, std::vector<time_point>> sends;
  std::map<std::string, std::size_t> refused;
  duration longest_wait{0};

 private:
  std::deque<in_transit<quota_request>> requests;
  std::deque<in_transit<quota_reply>> replies;
  std::uint64_t next_first_id = 0;
};

}  // namespace bilberrycourse

#endif  // APP_TESTING_QUOTA_TIER_H_
