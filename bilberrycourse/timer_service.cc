#include "bilberrycourse/timer_service.h"

#include <utility>

namespace bilberrycourse {

void timer_subscription::Cancel() {
  if (is_linked()) unlink();
}

timer_service::~timer_service() { subscriptions_.clear(); }

void timer_service::SubscribePeriodic(duration period, time_point now,
                                      callback call,
                                      timer_subscription* subscription) {
  Insert(now + period, period, std::move(call), subscription);
}

void timer_service::SubscribeOnce(time_point due, callback call,
                                  timer_subscription* subscription) {
  Insert(due, duration{0}, std::move(call), subscription);
}

void timer_service::Insert(time_point due, duration period, callback call,
                           timer_subscription* subscription) {
  subscription->Cancel();
  subscription->due_ = due;
  subscription->period_ = period;
  subscription->callback_ = std::move(call);
  subscriptions_.insert(*subscription);
}

std::size_t timer_service::Advance(time_point now) {
  std::size_t call_count = 0;
  while (!subscriptions_.empty() && subscriptions_.begin()->due_ <= now) {
    timer_subscription& subscription = *subscriptions_.begin();
    subscriptions_.erase(subscriptions_.begin());
    if (subscription.period_ > duration{0}) {
      subscription.due_ = now + subscription.period_;
      subscriptions_.insert(subscription);
    }
    // The copy keeps the callback alive if it destroys its own subscription.
    const callback call = subscription.callback_;
    call(now);
    ++call_count;
  }
  return call_count;
}

std::optional<time_point> timer_service::next_due() const {
  if (subscriptions_.empty()) return std::nullopt;
  return subscriptions_.begin()->due_;
}

}  // namespace bilberrycourse
