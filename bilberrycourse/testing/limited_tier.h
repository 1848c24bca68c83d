#ifndef BILBERRYCOURSE_TESTING_LIMITED_TIER_H_
#define BILBERRYCOURSE_TESTING_LIMITED_TIER_H_

// Several route_engines on virtual time before the same searchers, some of
// which state a request limit in their replies.
//
//   limited_tier tier(8);
//   tier.ForEach([](route_engine_rig& rig) { rig.AddRoute("lookup", 0, true);
//   }); tier.limits["k1"] = 10.0; tier.Run(milliseconds(12000), [&](time_point
//   now) { ... }); EXPECT_LE(tier.MostArrivals("k1", start, seconds(4)), 65u);

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/limit_allocator.h"
#include "bilberrycourse/testing/route_engine_rig.h"

namespace bilberrycourse {

class limited_tier {
 public:
  explicit limited_tier(std::uint32_t instances) {
    for (std::uint32_t i = 0; i < instances; ++i) {
      rigs.push_back(std::make_unique<route_engine_rig>(
          route_engine_rig::Options(), instances));
    }
  }

  void ForEach(const std::function<void(route_engine_rig&)>& action) {
    for (const auto& rig : rigs) action(*rig);
  }

  // Advances all instances in steps of a millisecond and calls `step` in each.
  // Searchers answer after service_time.
  void Run(duration time, const std::function<void(time_point)>& step) {
    const time_point end = now() + time;
    while (now() < end) {
      step(now());
      for (std::size_t i = 0; i < rigs.size(); ++i) Advance(i);
      if (allocator_reachable) Allocate();
    }
  }

  time_point now() const { return rigs.front()->now; }

  // Returns the most requests that the searcher got in any window of this
  // length that begins at `start` or later.
  std::size_t MostArrivals(const std::string& searcher, time_point start,
                           duration window) const {
    const auto found = arrivals.find(searcher);
    if (found == arrivals.end()) return 0;
    std::vector<time_point> times = found->second;
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[first] < start || times[last] - times[first] > window) {
        if (++first > last) break;
      }
      if (first <= last) most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::vector<std::unique_ptr<route_engine_rig>> rigs;
  // Stated limits by searcher, in requests per second.
  std::map<std::string, double> limits;
  duration service_time = std::chrono::milliseconds(10);
  std::map<std::string, std::vector<time_point>> arrivals;

  limit_allocator allocator;
  // If false, requests to the allocator get no reply.
  bool allocator_reachable = true;

 private:
  // Answers the requests of the last step.
  void Allocate() {
    for (const auto& rig : rigs) {
      for (const limit_request& request :
           std::exchange(rig->limit_requests, {})) {
        const limit_reply reply = allocator.Handle(request, now());
        if (request.id != 0) rig->ReplyToLimitRequest(reply);
      }
    }
    limit_reply news;
    news.statements = allocator.TakeChanges(now());
    if (news.statements.empty()) return;
    for (const auto& rig : rigs) rig->ReplyToLimitRequest(news);
  }

  void Advance(std::size_t index) {
    route_engine_rig& rig = *rigs[index];
    rig.Advance(std::chrono::milliseconds(1));
    std::size_t& done = answered_[index];
    for (std::size_t i = recorded_[index]; i < rig.sends.size(); ++i) {
      arrivals[rig.sends[i].searcher].push_back(rig.sends[i].at);
    }
    recorded_[index] = rig.sends.size();
    while (done < rig.sends.size() &&
           rig.sends[done].at + service_time <= rig.now) {
      const route_engine_rig::sent_request sent = rig.sends[done++];
      searcher_reply reply =
          route_engine_rig::Reply(200, sent.searcher, std::string(16, 'x'));
      const auto limit = limits.find(sent.searcher);
      if (limit != limits.end()) reply.limit = {true, limit->second};
      rig.AnswerWith(sent, std::move(reply));
    }
  }

  std::map<std::size_t, std::size_t> recorded_;
  std::map<std::size_t, std::size_t> answered_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TESTING_LIMITED_TIER_H_
