#include "bilberrycourse/evacuated_zones.h"

#include <gtest/gtest.h>

#include <string>

#include "bilberrycourse/control_codec.h"
#include "bilberrycourse/control_state.h"

namespace bilberrycourse {
namespace {

using zone_list = std::vector<availability_zone>;

class evacuated_zones_test : public ::testing::Test {
 protected:
  control_outcome Order(const std::string& zone, bool evacuated,
                        std::uint64_t base) {
    log_.push_back(EncodeCommand(zone_evacuation{zone, evacuated, base}));
    return state_.Apply(state_.applied_index() + 1, 1, log_.back());
  }
  control_outcome Order(const std::string& zone, bool evacuated) {
    return Order(zone, evacuated, state_.evacuations().version);
  }
  const zone_list& zones() const { return state_.evacuations().zones; }

  control_state state_;
  std::vector<std::string> log_;
};

// Guards against names that an order must not have, and against valid ones
// that are refused.
TEST(zone_name_test, IsZoneName_AnyText_AcceptsOnlyNames) {
  const struct {
    std::string zone;
    bool accepted;
  } cases[] = {
      {"a", true},
      {"zone-1_b.C", true},
      {std::string(128, 'z'), true},
      {"", false},
      {"a b", false},
      {std::string(129, 'z'), false},
      {"a/b", false},
      {"a%20", false},
      {"\xc3\xa4", false},
      {std::string("a\0", 2), false},
  };
  for (const auto& [zone, accepted] : cases) {
    EXPECT_EQ(IsZoneName(zone), accepted) << zone;
  }
}

// Guards against a repeated order that is refused or is not committed.
TEST_F(evacuated_zones_test, Apply_RepeatedOrder_IsAcceptedWithoutChange) {
  EXPECT_EQ(Order("b", true).code, result_code::kOk);
  EXPECT_EQ(Order("a", true).version, 2);
  EXPECT_EQ(Order("a", true).version, 3);
  EXPECT_EQ(zones(), (zone_list{"a", "b"}));
  EXPECT_EQ(Order("b", false).code, result_code::kOk);
  EXPECT_EQ(Order("b", false).code, result_code::kOk);
  EXPECT_EQ(zones(), zone_list{"a"});
}

// Guards against a copy of an order that arrives after a later order was
// acknowledged and undoes it. The later one may have changed nothing.
TEST_F(evacuated_zones_test, Apply_DelayedCopy_IsRefused) {
  for (const bool evacuated : {true, false}) {
    SCOPED_TRACE(evacuated);
    const std::uint64_t base = state_.evacuations().version;
    EXPECT_EQ(Order("a", !evacuated, base).code, result_code::kOk);
    const control_outcome copy = Order("a", evacuated, base);
    EXPECT_EQ(copy.code, result_code::kVersionConflict);
    EXPECT_EQ(copy.version, base + 1);
    EXPECT_EQ(zones().empty(), evacuated);
    // The order is proposed again on the version that the outcome names: the
    // one that is committed last holds.
    EXPECT_EQ(Order("a", evacuated, copy.version).code, result_code::kOk);
    EXPECT_EQ(zones().empty(), !evacuated);
  }
}

// Guards against a list without bound, and against a full one that can't be
// shortened or repeated.
TEST_F(evacuated_zones_test, Apply_FullList_RefusesFurtherZonesOnly) {
  for (std::size_t i = 0; i < kMaxEvacuatedZones; ++i) {
    ASSERT_EQ(Order("z" + std::to_string(i), true).code, result_code::kOk);
  }
  EXPECT_EQ(Order("further", true).code, result_code::kInvalidField);
  EXPECT_EQ(Order("z7", true).code, result_code::kOk);
  EXPECT_EQ(Order("z7", false).code, result_code::kOk);
  EXPECT_EQ(Order("further", true).code, result_code::kOk);
  EXPECT_EQ(Order("no name", true).code, result_code::kInvalidField);
}

// Guards against an evacuation that a restart ends, from the log or from a
// snapshot.
TEST_F(evacuated_zones_test, Restart_FromLogOrSnapshot_KeepsEvacuations) {
  Order("a", true);
  Order("b", true);
  Order("a", false);
  control_state from_log;
  for (std::size_t i = 0; i < log_.size(); ++i) {
    from_log.Apply(i + 1, 1, log_[i]);
  }
  control_state from_snapshot;
  ASSERT_TRUE(from_snapshot.LoadSnapshot(state_.SaveSnapshot()));
  for (const control_state* copy : {&from_log, &from_snapshot}) {
    EXPECT_EQ(copy->evacuations(), state_.evacuations());
    EXPECT_EQ(copy->SaveSnapshot(), state_.SaveSnapshot());
  }
}

// Guards against snapshots and updates of the build before that can't be read:
// without an order, neither has the field.
TEST_F(evacuated_zones_test, Decode_OldForm_HasNoEvacuations) {
  state_.Apply(1, 1, route_document{3, "{}"});
  const std::string bytes = state_.SaveSnapshot();
  const auto root = UnpackRoot(bytes.substr(0, bytes.size() - 8),
                               control_wire::root_body::snapshot);
  ASSERT_NE(root, nullptr);
  EXPECT_EQ(root->body.Assnapshot()->evacuations, nullptr);
  control_state loaded;
  ASSERT_TRUE(loaded.LoadSnapshot(bytes));
  EXPECT_EQ(loaded.evacuations(), evacuation_list());
  const auto update = LoadRouteUpdate(state_.SaveRouteUpdate(0, 0));
  ASSERT_TRUE(update.has_value());
  EXPECT_EQ(update->evacuations, evacuation_list());
}

// Guards against an entry instance that gets routes without the evacuations,
// against updates that repeat a known list, and against a list for a poller
// that does not know evacuations, which would ask for it forever.
TEST_F(evacuated_zones_test, SaveRouteUpdate_KnownVersion_SendsNewerListOnly) {
  state_.Apply(1, 1, route_document{3, "{}"});
  Order("b", true);
  const auto first = LoadRouteUpdate(state_.SaveRouteUpdate(0, 0, 0));
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->routes.version, 3);
  EXPECT_EQ(first->evacuations, state_.evacuations());
  EXPECT_EQ(state_.SaveRouteUpdate(3, 0, 1), "");
  EXPECT_EQ(state_.SaveRouteUpdate(3, 0), "");
  Order("b", false);
  const auto next = LoadRouteUpdate(state_.SaveRouteUpdate(3, 0, 1));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->routes.version, 0);
  EXPECT_EQ(next->evacuations.version, 2);
  EXPECT_TRUE(next->evacuations.zones.empty());
}

// Guards against an order that undoes a later one of the same sender, and
// against refusing one that can't.
TEST(zone_order_test, MayBeSuperseded_AnyState_RefusesOnlyDoubtfulChanges) {
  const struct {
    const char* what;
    bool order;
    std::uint64_t known;
    zone_order_state state;
    bool superseded;
  } cases[] = {
      {"no order since", false, 5, {5, 5, true}, false},
      {"orders about other zones since", false, 5, {9, 4, true}, false},
      {"an opposite order since", false, 5, {7, 7, true}, true},
      {"an opposite order among others", true, 5, {9, 6, false}, true},
      {"what holds already", true, 5, {7, 7, true}, false},
      {"first order", true, 0, {0, 0, false}, false},
      {"nothing known", true, 0, {4, 4, false}, true},
      {"the list of another group", true, 9, {2, 1, false}, true},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(MayBeSuperseded(c.order, c.known, c.state), c.superseded)
        << c.what;
  }
}

// Guards against an order that seems the latest one after a restart or after
// many zones, because the later ones are not known.
TEST_F(evacuated_zones_test, ZoneOrders_HistoryIncomplete_IsUpperBound) {
  Order("a", true);
  Order("b", true);
  EXPECT_EQ(state_.ZoneOrders("a"), (zone_order_state{2, 1, true}));
  EXPECT_EQ(state_.ZoneOrders("c"), (zone_order_state{2, 0, false}));
  control_state restored;
  ASSERT_TRUE(restored.LoadSnapshot(state_.SaveSnapshot()));
  EXPECT_EQ(restored.ZoneOrders("a"), (zone_order_state{2, 2, true}));
  EXPECT_EQ(restored.ZoneOrders("c"), (zone_order_state{2, 2, false}));
  zone_order_history history;
  for (std::uint64_t i = 1; i <= 3000; ++i) {
    history.OnOrder("z" + std::to_string(i), i);
  }
  EXPECT_EQ(history.LatestOrder("z3000"), 3000u);
  EXPECT_GE(history.LatestOrder("z1"), 1u);
}

// Guards against an answer of a member of an earlier build that is taken for
// one about the zone.
TEST_F(evacuated_zones_test, ParseZoneOrdersView_AnyText_ReadsOnlyTheView) {
  Order("a", true);
  EXPECT_EQ(ParseZoneOrdersView(state_.ZoneOrdersView("a")),
            state_.ZoneOrders("a"));
  for (const char* text :
       {"", "{}", "[]", "{\"version\":1}",
        "{\"version\":-1,\"latest_order\":1,\"evacuated\":true}",
        "{\"version\":1,\"latest_order\":\"1\",\"evacuated\":true}",
        "{\"version\":1,\"latest_order\":1,\"evacuated\":1}"}) {
    EXPECT_FALSE(ParseZoneOrdersView(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace bilberrycourse
