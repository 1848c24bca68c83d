#include "bilberrycourse/control_contacts.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bilberrycourse {
namespace {

using ::testing::ElementsAre;

class control_contacts_test : public ::testing::Test {
 protected:
  static std::vector<log_member> Members(
      const std::vector<std::string>& names) {
    std::vector<log_member> members;
    for (const std::string& name : names) {
      members.push_back({.id = kNoMember,
                         .instance = name,
                         .address = name + ":7000",
                         .role = member_role::kVoter});
    }
    return members;
  }
  std::vector<std::string> Names(time_point now) const {
    std::vector<std::string> names;
    for (const control_contact& contact : contacts_.Targets(now)) {
      EXPECT_EQ(contact.address, contact.name + ":7000");
      names.push_back(contact.name);
    }
    return names;
  }

  static constexpr time_point kStart{std::chrono::hours(1)};
  static constexpr time_point kStale =
      kStart + control_contacts::kConfirmationTime;
  control_contacts contacts_;
};

// Guards against an instance that starts without anybody to ask.
TEST_F(control_contacts_test, Targets_GroupUnknown_AreSeeds) {
  EXPECT_THAT(Names(kStart), ElementsAre());
  contacts_.SetSeeds({{"c1", "c1:7000"}, {"c2", "c2:7000"}});
  EXPECT_THAT(Names(kStart), ElementsAre("c1", "c2"));
}

// Guards against links to seeds outside the group, of which hundreds of
// instances would keep as many to each.
TEST_F(control_contacts_test, Targets_GroupConfirmed_AreItsMembers) {
  contacts_.SetSeeds({{"c1", "c1:7000"}, {"c9", "c9:7000"}});
  contacts_.SetGroup(Members({"c1", "c2"}));
  contacts_.OnConfirmed(kStart);
  EXPECT_THAT(Names(kStart), ElementsAre("c1", "c2"));
  EXPECT_FALSE(contacts_.IsTarget("c9", kStale - duration(1)));
}

// Guards against an instance that obeys an old configuration because its seeds
// are no contacts once it has known a group, although all members are gone.
TEST_F(control_contacts_test, Targets_GroupUnconfirmed_IncludeSeeds) {
  contacts_.SetSeeds({{"c1", "c1:7000"}, {"c9", "c9:7000"}});
  contacts_.SetGroup(Members({"c1", "c2"}));
  EXPECT_THAT(Names(kStart), ElementsAre("c1", "c2", "c9"));
  contacts_.OnConfirmed(kStart);
  EXPECT_THAT(Names(kStale), ElementsAre("c1", "c2", "c9"));
  contacts_.OnConfirmed(kStale);
  EXPECT_THAT(Names(kStale), ElementsAre("c1", "c2"));
}

// Guards against a confirmation that arrives late and hides a newer one.
TEST_F(control_contacts_test, OnConfirmed_OlderThanLast_KeepsNewer) {
  contacts_.SetGroup(Members({"c1"}));
  contacts_.OnConfirmed(kStart);
  contacts_.OnConfirmed(kStart - std::chrono::seconds(30));
  EXPECT_TRUE(contacts_.Confirmed(kStart));
}

// Guards against an instance that knows only a removed member: that one's group
// is a place to ask until a quorum confirms one.
TEST_F(control_contacts_test, AddHints_Unconfirmed_AreAskedUntilConfirmed) {
  contacts_.SetSeeds({{"c1", "c1:7000"}});
  contacts_.AddHints(Members({"c1", "c4"}));
  contacts_.AddHints(Members({"c5"}));
  EXPECT_THAT(Names(kStart), ElementsAre("c1", "c4", "c5"));
  contacts_.SetGroup(Members({"c5"}));
  contacts_.OnConfirmed(kStart);
  EXPECT_THAT(Names(kStale), ElementsAre("c5", "c1"));
}

// Guards against hints that grow without bound.
TEST_F(control_contacts_test, AddHints_Many_AreBounded) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < 3 * control_contacts::kMaxHints; ++i) {
    names.push_back("c" + std::to_string(i));
    contacts_.AddHints(Members({names.back()}));
    EXPECT_LE(Names(kStart).size(), control_contacts::kMaxHints);
    EXPECT_TRUE(contacts_.IsTarget(names.back(), kStart));
  }
  contacts_.AddHints(Members(names));
  EXPECT_EQ(Names(kStart).size(), control_contacts::kMaxHints);
}

}  // namespace
}  // namespace bilberrycourse
