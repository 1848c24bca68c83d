#ifndef BILBERRYCOURSE_TIMER_SERVICE_H_
#define BILBERRYCOURSE_TIMER_SERVICE_H_

// One-shot and periodic timers. The service reads no clock: its owner calls
// Advance() with the current time, which comes from a system timer in the
// daemon and is virtual in tests.
//
//   timer_service timers;
//   timer_subscription tick;
//   timers.SubscribePeriodic(std::chrono::milliseconds(10), now,
//                            [&](time_point t) { table.Tick(t); }, &tick);
//   timers.Advance(now);  // runs all due callbacks, in order of due time
//
// A subscription unlinks itself when it is destroyed, so that a destroyed
// subscriber is never called. Subscribe and cancel take O(log n).

#include <boost/intrusive/set.hpp>
#include <functional>
#include <optional>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

class timer_service;

// One subscription; owned by the subscriber and linked into the service.
class timer_subscription
    : public boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  timer_subscription() = default;
  timer_subscription(const timer_subscription&) = delete;
  timer_subscription& operator=(const timer_subscription&) = delete;

  bool active() const { return is_linked(); }
  time_point due() const { return due_; }
  // Stops future calls.
  void Cancel();

 private:
  friend class timer_service;
  friend bool operator<(const timer_subscription& a,
                        const timer_subscription& b) {
    return a.due_ < b.due_;
  }

  time_point due_{};
  duration period_{0};
  std::function<void(time_point)> callback_;
};

class timer_service {
 public:
  using callback = std::function<void(time_point)>;

  timer_service() = default;
  timer_service(const timer_service&) = delete;
  timer_service& operator=(const timer_service&) = delete;
  ~timer_service();

  // Calls `call` every `period`, first at now + period. Missed periods are
  // skipped: after a pause `call` runs once, and again one period later.
  void SubscribePeriodic(duration period, time_point now, callback call,
                         timer_subscription* subscription);

  // Calls `call` once at `due`.
  void SubscribeOnce(time_point due, callback call,
                     timer_subscription* subscription);

  // Runs every callback that is due at `now` and returns the number of calls.
  std::size_t Advance(time_point now);

  // Returns the earliest due time; nullopt without subscriptions.
  std::optional<time_point> next_due() const;

 private:
  using subscription_set =
      boost::intrusive::multiset<timer_subscription,
                                 boost::intrusive::constant_time_size<false>>;

  void Insert(time_point due, duration period, callback call,
              timer_subscription* subscription);

  subscription_set subscriptions_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TIMER_SERVICE_H_
