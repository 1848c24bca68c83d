#include "bilberrycourse/limit_allocator.h"

#include <gtest/gtest.h>

#include "bilberrycourse/request_quota.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kUrgent = 1;
constexpr std::uint32_t kLessUrgent = 2;

class limit_allocator_test : public ::testing::Test {
 protected:
  static limit_statement Statement(std::optional<double> per_second,
                                   duration age = {}, wall_time_ms start = 1) {
    return {"s1", start, per_second, age};
  }

  limit_grant Want(const limit_statement& statement, std::uint32_t wanted,
                   std::uint32_t priority = kUrgent) {
    limit_request request;
    request.id = 1;
    request.wants.push_back({statement, priority, wanted});
    return allocator_.Handle(request, now_).grants.at(0);
  }

  limit_allocator allocator_;
  time_point now_ = time_point(seconds(100));
};

// Guards against more permissions than the limit allows in any 4 s, however
// many are wanted.
TEST_F(limit_allocator_test, Handle_AnyLimit_GrantsStayWithinIt) {
  for (const double limit : {0.0, 0.1, 1.0, 7.5, 30.0, 400.0}) {
    allocator_.Reset();
    std::vector<std::uint32_t> granted;
    for (int i = 0; i < 1200; ++i) {
      granted.push_back(Want(Statement(limit), 50).granted);
      now_ += milliseconds(10);
    }
    std::uint32_t most = 0;
    for (std::size_t first = 0; first + 400 <= granted.size(); ++first) {
      std::uint32_t sum = 0;
      for (std::size_t i = first; i < first + 400; ++i) sum += granted[i];
      most = std::max(most, sum);
    }
    EXPECT_LE(most, 1.5 * 4 * limit + 5) << limit;
    // Whole permissions: at most one is left over.
    EXPECT_GE(most + 1, 4 * limit) << limit;
  }
}

// Guards against a limit of 0 that is never found to be lifted, because no
// request goes to the searcher any more.
TEST_F(limit_allocator_test, Handle_LimitZero_GrantsOneNowAndThen) {
  std::uint32_t granted = 0;
  for (int i = 0; i < 100; ++i) {
    granted += Want(Statement(0), 1).granted;
    now_ += milliseconds(100);
  }
  EXPECT_GE(granted, 1u);
  EXPECT_LE(granted, 3u);
}

// Guards against an older statement that replaces a newer one, because the
// instance that sends it has not used the searcher for some time.
TEST_F(limit_allocator_test, Handle_OlderStatement_NewerOneHolds) {
  Want(Statement(10), 1);
  EXPECT_EQ(Want(Statement(40, seconds(2)), 1).statement.per_second, 10);
  EXPECT_EQ(Want(Statement(std::nullopt, seconds(1)), 1).statement.per_second,
            10);
  now_ += milliseconds(1);
  EXPECT_EQ(Want(Statement(20), 1).statement.per_second, 20);
  now_ += milliseconds(1);
  EXPECT_FALSE(
      Want(Statement(std::nullopt), 1).statement.per_second.has_value());
}

// Guards against a limit that outlives the process that stated it.
TEST_F(limit_allocator_test, Handle_SearcherRestarted_ForgetsItsLimit) {
  Want(Statement(10), 1);
  const limit_grant grant = Want(Statement(std::nullopt, seconds(3), 2), 1);
  EXPECT_FALSE(grant.statement.per_second.has_value());
  EXPECT_EQ(grant.statement.started_at_ms, 2);
}

// Guards against less urgent requests that use up the limit while more urgent
// ones compete for it, and against reserving it for nobody.
TEST_F(limit_allocator_test, Handle_PrioritiesCompete_UrgentGetsTheLimit) {
  std::uint32_t urgent = 0;
  std::uint32_t less_urgent = 0;
  for (int i = 0; i < 1000; ++i) {
    less_urgent += Want(Statement(20), 1, kLessUrgent).granted;
    if (i % 4 == 0) urgent += Want(Statement(20), 1, kUrgent).granted;
    now_ += milliseconds(10);
  }
  EXPECT_GE(urgent, 195u);
  EXPECT_LE(less_urgent, 10u);
  now_ += seconds(2);
  less_urgent = 0;
  for (int i = 0; i < 200; ++i) {
    less_urgent += Want(Statement(20), 1, kLessUrgent).granted;
    now_ += milliseconds(10);
  }
  EXPECT_GE(less_urgent, 38u);
}

// Guards against a refusal without a time, after which every instance would ask
// again at once.
TEST_F(limit_allocator_test, Handle_NothingLeft_TellsWhenToReturn) {
  const limit_grant grant = Want(Statement(10), 3);
  EXPECT_EQ(grant.granted, 0u);
  EXPECT_GT(grant.retry_in, duration{0});
  now_ += grant.retry_in;
  EXPECT_EQ(Want(Statement(10), 1).granted, 1u);
}

// Guards against instances that do not hear of a limit before a reply tells
// them, and against repeating what has not changed.
TEST_F(limit_allocator_test, TakeChanges_LimitStated_IsReportedOnce) {
  Want(Statement(10), 1);
  EXPECT_EQ(allocator_.TakeChanges(now_).size(), 1u);
  Want(Statement(10), 1);
  EXPECT_TRUE(allocator_.TakeChanges(now_).empty());
  EXPECT_EQ(allocator_.Limits(now_).size(), 1u);
  now_ += milliseconds(1);
  Want(Statement(std::nullopt), 1);
  EXPECT_EQ(allocator_.TakeChanges(now_).size(), 1u);
  EXPECT_TRUE(allocator_.Limits(now_).empty());
}

class request_quota_test : public ::testing::Test {
 protected:
  time_point now_ = time_point(seconds(100));
  request_quota quota_;
};

// Guards against permissions that are used long after they were granted, which
// adds those of several seconds to one.
TEST_F(request_quota_test, Take_PermissionExpired_IsLost) {
  quota_.Observe(10, now_);
  quota_.OnGrant(kUrgent, 2, now_);
  EXPECT_TRUE(quota_.Take(kUrgent, now_).has_value());
  now_ += kPermissionLifetime;
  EXPECT_FALSE(quota_.Take(kUrgent, now_).has_value());
}

// Guards against a less urgent request that uses a permission granted for a
// more urgent one.
TEST_F(request_quota_test, Take_OtherPriority_OnlyMoreUrgentMay) {
  quota_.Observe(10, now_);
  quota_.OnGrant(kUrgent, 1, now_);
  EXPECT_FALSE(quota_.Take(kLessUrgent, now_).has_value());
  EXPECT_TRUE(quota_.Take(kUrgent, now_).has_value());
  quota_.OnGrant(kLessUrgent, 1, now_);
  EXPECT_TRUE(quota_.Take(kUrgent, now_).has_value());
}

// Guards against a burst of all instances at once when they lose the allocator.
TEST_F(request_quota_test, TakeShare_AllocatorLost_StartsEmpty) {
  quota_.Observe(10, now_);
  const time_point lost_at = now_;
  EXPECT_FALSE(quota_.TakeShare(2, lost_at, now_));
  now_ += milliseconds(499);
  EXPECT_FALSE(quota_.TakeShare(2, lost_at, now_));
  now_ += milliseconds(2);
  EXPECT_TRUE(quota_.TakeShare(2, lost_at, now_));
  now_ += seconds(60);
  EXPECT_TRUE(quota_.TakeShare(2, lost_at, now_));
  EXPECT_FALSE(quota_.TakeShare(2, lost_at, now_));
  EXPECT_FALSE(quota_.TakeShare(2, now_, now_));
}

// Guards against a late reply without a limit that lifts a newer one.
TEST_F(request_quota_test, Observe_OlderStatement_IsIgnored) {
  EXPECT_TRUE(quota_.Observe(10, now_));
  EXPECT_FALSE(quota_.Observe(std::nullopt, now_ - milliseconds(1)));
  EXPECT_TRUE(quota_.limited());
  EXPECT_TRUE(quota_.Observe(std::nullopt, now_));
  EXPECT_FALSE(quota_.limited());
}

// Guards against permissions that a searcher's former process has saved up:
// the new one has not stated yet how much it takes at once.
TEST_F(limit_allocator_test, Handle_SearcherRestarts_BucketStartsEmpty) {
  Want(Statement(30), 1);
  now_ += seconds(20);
  EXPECT_GT(Want(Statement(30), 2).granted, 0u);
  now_ += seconds(20);
  EXPECT_EQ(Want(Statement(30, {}, /*start=*/2), 50).granted, 0u);
}

}  // namespace
}  // namespace bilberrycourse
