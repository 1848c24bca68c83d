#include "bilberrycourse/shard_ownership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace bilberrycourse {
namespace {

std::vector<instance_name> Instances(std::size_t n) {
  std::vector<instance_name> names;
  for (std::size_t i = 0; i < n; ++i) names.push_back("e" + std::to_string(i));
  return names;
}

std::vector<shard_key> Shards(std::size_t n) {
  std::vector<shard_key> shards;
  for (std::uint32_t i = 0; i < n; ++i) {
    shards.push_back({"service" + std::to_string(i / 5), i % 5});
  }
  return shards;
}

std::size_t Moved(const shard_ownership& a, const shard_ownership& b) {
  std::size_t moved = 0;
  for (const shard_key& s : a.shards()) moved += *a.Owner(s) != *b.Owner(s);
  return moved;
}

// Guards against overloaded owners, and against a deputy that is the owner.
TEST(shard_ownership_test, Find_AllSizes_WithinCapacityAndDeputyDiffers) {
  for (std::size_t n = 1; n <= 20; ++n) {
    for (const std::size_t m : {1u, 7u, 115u, 500u}) {
      shard_ownership o;
      o.SetInstances(Instances(n));
      o.SetShards(Shards(m));
      std::map<std::uint32_t, std::size_t> held;
      for (const shard_key& s : o.shards()) {
        const shard_owner* owner = o.Find(s);
        ASSERT_NE(owner, nullptr);
        ++held[owner->owner];
        EXPECT_EQ(owner->owner == owner->deputy, n == 1);
      }
      for (const auto& [instance, count] : held) {
        // ceil(1.25 x mean) in integers.
        EXPECT_LE(count, (5 * m + 4 * n - 1) / (4 * n));
      }
    }
  }
}

// Guards against instances that compute different owners from equal inputs, for
// example because the inputs changed in a different order.
TEST(shard_ownership_test, SetInstances_AnyOrderAndHistory_SameOwners) {
  std::mt19937_64 random(7);
  shard_ownership expected;
  expected.SetInstances(Instances(8));
  expected.SetShards(Shards(115));
  for (int i = 0; i < 20; ++i) {
    auto names = Instances(8);
    auto shards = Shards(115);
    std::shuffle(names.begin(), names.end(), random);
    std::shuffle(shards.begin(), shards.end(), random);
    shard_ownership o;
    o.SetShards(Shards(40));
    o.SetInstances(Instances(3 + i % 7));
    EXPECT_TRUE(o.SetInstances(names) || i % 7 == 5);
    EXPECT_TRUE(o.SetShards(shards));
    EXPECT_FALSE(o.SetInstances(names));
    EXPECT_EQ(Moved(expected, o), 0u);
    EXPECT_EQ(*o.AdmissionInstance("search"),
              *expected.AdmissionInstance("search"));
  }
}

// Guards against incrementally updated choices that differ from those computed
// from scratch, after many changes of instances and shards.
TEST(shard_ownership_test, SetInstances_ManyChanges_SameAsFromScratch) {
  std::mt19937_64 random(11);
  for (const std::size_t kept : {2u, 3u, 16u}) {
    shard_ownership changed({.kept_choices = kept});
    std::vector<instance_name> names = Instances(30);
    std::vector<shard_key> shards = Shards(60);
    for (int i = 0; i < 300; ++i) {
      if (random() % 2 == 0 && names.size() > 1) {
        names.erase(names.begin() +
                    static_cast<std::ptrdiff_t>(random() % names.size()));
      } else {
        names.push_back("n" + std::to_string(random() % 40));
      }
      if (random() % 4 == 0) shards = Shards(1 + random() % 90);
      changed.SetInstances(names);
      changed.SetShards(shards);
      shard_ownership fresh({.kept_choices = 1000});
      fresh.SetInstances(names);
      fresh.SetShards(shards);
      ASSERT_EQ(Moved(changed, fresh), 0u) << kept << " " << i;
      for (const shard_key& s : fresh.shards()) {
        ASSERT_EQ(*changed.Deputy(s), *fresh.Deputy(s)) << kept << " " << i;
      }
    }
  }
}

// Guards against unnecessary moves of shards when one instance is added or
// removed. At least the shards of that instance must move, about 1 / N.
TEST(shard_ownership_test, SetInstances_OneJoinsOrLeaves_FewShardsMove) {
  for (const std::size_t n : {4u, 8u, 16u, 64u}) {
    shard_ownership before;
    shard_ownership after;
    before.SetShards(Shards(500));
    after.SetShards(Shards(500));
    before.SetInstances(Instances(n));
    std::size_t moved = 0;
    for (std::size_t left = 0; left < n; ++left) {
      auto names = Instances(n);
      names.erase(names.begin() + static_cast<std::ptrdiff_t>(left));
      after.SetInstances(names);
      moved += Moved(before, after);
    }
    // Bounds the mean over all choices of the instance added or removed.
    EXPECT_LE(moved, 2 * 500u) << n;
  }
}

// Guards against a deputy that does not become the owner when the owner fails.
TEST(shard_ownership_test, Find_OwnerDies_DeputyMostlyBecomesOwner) {
  shard_ownership before;
  before.SetShards(Shards(115));
  before.SetInstances(Instances(8));
  shard_ownership after;
  after.SetShards(Shards(115));
  auto names = Instances(8);
  names.erase(names.begin());
  after.SetInstances(names);
  std::size_t same = 0;
  const auto lost = before.OwnedBy("e0");
  for (const shard_key& s : lost) same += *before.Deputy(s) == *after.Owner(s);
  EXPECT_GE(2 * same, lost.size());
}

// Guards against crashes if there are no instances or the shard is unknown.
TEST(shard_ownership_test, Find_NothingKnown_NoOwner) {
  shard_ownership o;
  o.SetShards(Shards(3));
  EXPECT_EQ(o.Find(Shards(1)[0]), nullptr);
  EXPECT_EQ(o.AdmissionInstance("search"), nullptr);
  o.SetInstances({"e1"});
  EXPECT_EQ(o.Find({"unknown", 0}), nullptr);
  EXPECT_EQ(o.OwnedBy("e1").size(), 3u);
}

}  // namespace
}  // namespace bilberrycourse
