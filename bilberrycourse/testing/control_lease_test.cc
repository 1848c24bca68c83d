#include "bilberrycourse/control_lease.h"

#include <gtest/gtest.h>

namespace bilberrycourse {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class control_lease_test : public ::testing::Test {
 protected:
  static time_point At(int ms) { return time_point(milliseconds(ms)); }

  control_lease lease_;
};

// Guards against a lease that starts when a slow reply is received instead of
// when the poll was sent.
TEST_F(control_lease_test, Valid_AgedReply_CountsFromSendMinusAge) {
  EXPECT_FALSE(lease_.Valid(At(0)));
  EXPECT_TRUE(lease_.OnApplied(7));
  lease_.OnConfirmed(At(1000), milliseconds(300), 7);
  EXPECT_EQ(lease_.expires_at(), At(700 + 1980));
  EXPECT_TRUE(lease_.Valid(At(2680) - microseconds(1)));
  EXPECT_FALSE(lease_.Valid(At(2680)));
  EXPECT_EQ(lease_.ConfirmationAge(At(1000)), milliseconds(300));
}

// Guards against a lease shortened by replies that arrive out of order.
TEST_F(control_lease_test, OnConfirmed_OlderReply_DoesNotShorten) {
  lease_.OnConfirmed(At(1000), milliseconds(0), 0);
  lease_.OnConfirmed(At(800), milliseconds(0), 0);
  lease_.OnRelayed(At(900), milliseconds(0), 0);
  lease_.OnConfirmed(At(2000), milliseconds(-1), 0);
  EXPECT_EQ(lease_.expires_at(), At(2980));
  lease_.OnRelayed(At(1500), milliseconds(100), 0);
  EXPECT_EQ(lease_.expires_at(), At(3380));
}

// Guards against a confirmation of a newer version that extends the lease of an
// old configuration.
TEST_F(control_lease_test, OnConfirmed_VersionNotApplied_WaitsForApply) {
  EXPECT_TRUE(lease_.OnApplied(3));
  lease_.OnConfirmed(At(0), milliseconds(0), 3);
  lease_.OnRelayed(At(1500), milliseconds(0), 4);
  EXPECT_EQ(lease_.highest_known_version(), 4u);
  EXPECT_FALSE(lease_.Valid(At(2000)));
  EXPECT_TRUE(lease_.OnApplied(4));
  EXPECT_TRUE(lease_.Valid(At(2000)));
  EXPECT_EQ(lease_.confirmed_version(), 4u);
}

// Guards against a stale reply that lowers the applied version.
TEST_F(control_lease_test, OnApplied_LowerVersion_IsIgnored) {
  EXPECT_TRUE(lease_.OnApplied(5));
  EXPECT_FALSE(lease_.OnApplied(5));
  EXPECT_FALSE(lease_.OnApplied(4));
  EXPECT_EQ(lease_.applied_version(), 5u);
}

}  // namespace
}  // namespace bilberrycourse
