#include "bilberrycourse/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace bilberrycourse {
namespace {

class memory_budget_test : public ::testing::Test {
 protected:
  memory_holder* AddHolder() {
    const std::size_t number = holders_.size();
    holders_.push_back(std::make_unique<memory_holder>(
        &budget_, [this, number] { reclaimed_.push_back(number); }));
    return holders_.back().get();
  }

  memory_budget budget_{1000, 10};
  std::vector<std::unique_ptr<memory_holder>> holders_;
  std::vector<std::size_t> reclaimed_;
};

// Guards against a group of holders that together exceed the budget although
// each keeps to its own limit.
TEST_F(memory_budget_test, Resize_ManyHoldersGrow_NeverExceedsBudget) {
  for (int i = 0; i < 50; ++i) AddHolder();
  for (std::uint64_t bytes = 1; bytes < 400; bytes += 7) {
    for (const auto& holder : holders_) {
      holder->Resize(bytes);
      ASSERT_LE(budget_.used_bytes(), 1000u);
    }
  }
  EXPECT_GT(budget_.reclaims(), 0u);
}

// Guards against a peer that holds much and ends the work of those that hold
// little.
TEST_F(memory_budget_test, Resize_BeyondBudget_ReclaimsLargest) {
  memory_holder* small = AddHolder();
  memory_holder* large = AddHolder();
  EXPECT_TRUE(large->Resize(900));
  EXPECT_TRUE(small->Resize(200));
  EXPECT_EQ(reclaimed_, std::vector<std::size_t>{1});
  EXPECT_EQ(budget_.used_bytes(), 190u);
}

TEST_F(memory_budget_test, Resize_LargestGrows_IsRefusedItself) {
  memory_holder* small = AddHolder();
  memory_holder* large = AddHolder();
  EXPECT_TRUE(small->Resize(300));
  EXPECT_FALSE(large->Resize(900));
  EXPECT_TRUE(reclaimed_.empty());
  EXPECT_EQ(budget_.used_bytes(), 290u);
}

// Guards against answers that callers do not read and that keep out the answers
// of callers that do.
TEST_F(memory_budget_test, Resize_SimilarSizes_ReclaimsLongestUnchanged) {
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(AddHolder()->Resize(300 + 10 * i));
  EXPECT_TRUE(holders_[0]->Resize(310));
  EXPECT_TRUE(AddHolder()->Resize(400));
  EXPECT_EQ(reclaimed_, std::vector<std::size_t>{1});
}

// Guards against the loss of a request that is running.
TEST_F(memory_budget_test, SetReclaimable_False_IsNeverReclaimed) {
  memory_holder* running = AddHolder();
  EXPECT_TRUE(running->Resize(900));
  running->SetReclaimable(false);
  EXPECT_FALSE(AddHolder()->Resize(200));
  EXPECT_TRUE(reclaimed_.empty());
  EXPECT_EQ(budget_.used_bytes(), 890u);
  running->SetReclaimable(true);
  EXPECT_TRUE(AddHolder()->Resize(200));
  EXPECT_EQ(reclaimed_, std::vector<std::size_t>{0});
}

// Guards against small requests that are refused while large ones, which can't
// be reclaimed, use the budget up.
TEST_F(memory_budget_test, Resize_WithinFreeBytes_AlwaysSucceeds) {
  memory_holder* running = AddHolder();
  EXPECT_TRUE(running->Resize(1010));
  running->SetReclaimable(false);
  EXPECT_TRUE(AddHolder()->Resize(10));
  EXPECT_FALSE(AddHolder()->Resize(11));
}

// Guards against holders that grow again before they have freed what they had
// to give up, and so reclaim each other's memory without end.
TEST_F(memory_budget_test, Resize_AfterReclaim_FailsUntilRenewed) {
  memory_holder* large = AddHolder();
  EXPECT_TRUE(large->Resize(900));
  EXPECT_TRUE(AddHolder()->Resize(200));
  EXPECT_FALSE(large->Resize(900));
  EXPECT_EQ(budget_.used_bytes(), 190u);
  EXPECT_EQ(budget_.reclaims(), 1u);
  large->Renew();
  EXPECT_TRUE(large->Resize(300));
  EXPECT_EQ(budget_.used_bytes(), 480u);
}

TEST_F(memory_budget_test, Destructor_OfHolder_FreesItsBytes) {
  AddHolder()->Resize(500);
  holders_.clear();
  EXPECT_EQ(budget_.used_bytes(), 0u);
  EXPECT_TRUE(AddHolder()->Resize(1000));
}

}  // namespace
}  // namespace bilberrycourse
