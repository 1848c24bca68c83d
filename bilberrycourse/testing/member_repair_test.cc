#include "bilberrycourse/member_repair.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using std::chrono::seconds;

struct peer_case {
  std::uint64_t id;
  bool voter;
  int silence_s;
  log_index match;
  bool leaving = false;
};

struct repair_case {
  const char* name;
  std::vector<peer_case> peers;
  std::vector<std::uint64_t> spares;
  bool pending;
  bool quorum;
  std::string expected;
};

const repair_case kCases[] = {
    {"AllAlive", {{2, true, 0, 9}, {3, true, 9, 9}}, {4}, false, true, ""},
    {"LostAndSpare",
     {{2, true, 0, 9}, {3, true, 10, 5}},
     {4},
     false,
     true,
     "add 4"},
    {"LostWithoutSpare",
     {{2, true, 0, 9}, {3, true, 10, 5}},
     {},
     false,
     true,
     ""},
    {"ChangePending", {{2, true, 0, 9}, {3, true, 10, 5}}, {4}, true, true, ""},
    {"NoQuorum", {{2, true, 10, 9}, {3, true, 10, 5}}, {4}, false, false, ""},
    {"LearnerBehind",
     {{2, true, 0, 9}, {3, true, 10, 5}, {4, false, 0, 8}},
     {},
     false,
     true,
     ""},
    {"LearnerCaughtUp",
     {{2, true, 0, 9}, {3, true, 10, 5}, {4, false, 0, 9}},
     {},
     false,
     true,
     "promote 4"},
    {"LearnerSilent",
     {{2, true, 0, 9}, {3, true, 10, 5}, {4, false, 3, 9}},
     {},
     false,
     true,
     ""},
    {"LearnerLost",
     {{2, true, 0, 9}, {3, true, 10, 5}, {4, false, 10, 9}},
     {5},
     false,
     true,
     "remove 4"},
    {"PromotedThenRemove",
     {{2, true, 0, 9}, {3, true, 10, 5}, {4, true, 0, 9}},
     {},
     false,
     true,
     "remove 3"},
    {"LostCameBack",
     {{2, true, 0, 9}, {3, true, 0, 5}, {4, true, 0, 9}},
     {},
     false,
     true,
     "remove 3"},
    {"TooFewVoters", {{2, true, 0, 9}}, {4}, false, true, "add 4"},
    {"SameInstancePreferred",
     {{2, true, 0, 9}, {3, true, 10, 5}},
     {4, 33},
     false,
     true,
     "add 33"},
    {"LeavingAndSpare",
     {{2, true, 0, 9}, {3, true, 0, 9, true}},
     {4},
     false,
     true,
     "add 4"},
    {"LeavingWithoutSpare",
     {{2, true, 0, 9}, {3, true, 0, 9, true}},
     {},
     false,
     true,
     ""},
    {"LeavingAfterPromotion",
     {{2, true, 0, 5}, {3, true, 0, 9, true}, {4, true, 0, 9}},
     {},
     false,
     true,
     "remove 3"},
    {"LostBeforeLeaving",
     {{2, true, 10, 5}, {3, true, 0, 9, true}, {4, true, 0, 9}},
     {},
     false,
     true,
     "remove 2"},
    {"WipedInstanceIsBack",
     {{2, true, 0, 9}, {3, true, 1, 5}},
     {33},
     false,
     true,
     "add 33"},
    {"WipedInstanceBeforeLeaving",
     {{2, true, 0, 9, true}, {3, true, 1, 5}, {33, true, 0, 9}},
     {},
     false,
     true,
     "remove 3"},
    {"EarlierIdentityIsBack",
     {{2, true, 0, 9}, {3, true, 0, 9}, {33, false, 1, 9}},
     {},
     false,
     true,
     ""},
    {"LeavingLearner",
     {{2, true, 0, 9}, {3, true, 0, 9}, {4, false, 0, 9, true}},
     {},
     false,
     true,
     "remove 4"},
};

class member_repair_test : public ::testing::TestWithParam<repair_case> {};

// Guards against removing a voter before its replacement is a voter,
// overlapping changes, and repairs without a quorum. Member 1 is the leader;
// the ids 3 and 33 belong to the same instance.
TEST_P(member_repair_test, Plan_GivesNextChange) {
  const repair_case& test_case = GetParam();
  repair_view view;
  view.self = member_id{1};
  view.commit_index = 9;
  view.change_pending = test_case.pending;
  view.quorum_confirmed = test_case.quorum;
  view.membership.members.push_back(
      {member_id{1}, "c1", "", member_role::kVoter});
  for (const peer_case& peer : test_case.peers) {
    const log_member member{
        member_id{peer.id}, "c" + std::to_string(peer.id % 30), "",
        peer.voter ? member_role::kVoter : member_role::kLearner};
    view.membership.members.push_back(member);
    view.peers.push_back(
        {member, peer.match, seconds(peer.silence_s), false, peer.leaving});
  }
  for (const std::uint64_t id : test_case.spares) {
    view.spares.push_back({{member_id{id}, "c" + std::to_string(id % 30), "",
                            member_role::kLearner},
                           seconds(0)});
  }
  const auto change = member_repair({.voters = 3}).Plan(view);
  std::string actual;
  if (change) {
    const char* const names[] = {"add ", "promote ", "remove "};
    actual = names[static_cast<int>(change->kind)] +
             std::to_string(static_cast<std::uint64_t>(change->member.id));
  }
  EXPECT_EQ(actual, test_case.expected);
}

INSTANTIATE_TEST_SUITE_P(All, member_repair_test, ::testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bilberrycourse
