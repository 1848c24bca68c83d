#include "app/settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

namespace leaf = boost::leaf;

class settings_test : public ::testing::Test {
 protected:
  void SetUp() override {
    // The file name is unique because tests run in parallel processes and each
    // removes its file.
    secret_file_ = ::testing::TempDir() + "settings_test_secret_" +
                   std::to_string(::getpid());
    std::ofstream(secret_file_) << "0123456789abcdef0123456789abcdef\n";
  }

  void TearDown() override { std::remove(secret_file_.c_str()); }

  std::string ValidText() const {
    return "[instance]\nname=e1\navailability_zone=z1\nrole=entry,control\n"
           "[listen]\ncaller=127.0.0.1:8001\npeer=127.0.0.1:9001\n"
           "[peers]\nseeds=127.0.0.1:9001,127.0.0.1:9002\nshared_key_file=" +
           secret_file_ +
           "\n[control]\ngroup=g\ninitial_members=e1,e2,e3\n"
           "data_dir=data\n[operator]\ntoken_file=" +
           secret_file_ + "\n";
  }

  static std::string Replace(std::string text, const std::string& from,
                             const std::string& to) {
    const std::size_t position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
  }

  // Returns the errors of `text`, or an empty list if it is accepted.
  static std::vector<settings_error> ErrorsOf(const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<settings_error>> {
          BOOST_LEAF_CHECK(ParseSettings("test.ini", text));
          return std::vector<settings_error>{};
        },
        [](const settings_errors& errors) { return errors.errors; },
        [] {
          return std::vector<settings_error>{{"", "", "no detail", ""}};
        });
  }

  std::string secret_file_;
};

TEST_F(settings_test, Parse_ValidText_GivesEveryValue) {
  const auto parsed = ParseSettings("test.ini", ValidText());
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->name, "e1");
  EXPECT_TRUE(parsed->entry && parsed->control);
  EXPECT_EQ(parsed->seeds.size(), 2u);
  EXPECT_EQ(parsed->initial_members.size(), 3u);
  EXPECT_EQ(parsed->peer_listen.port, 9001);
  EXPECT_EQ(parsed->operator_token, "0123456789abcdef0123456789abcdef");
}

// Guards against shares that leave nothing for the rest of the process.
TEST_F(settings_test, MemoryShares_AnyRole_LeaveAThird) {
  for (const bool entry : {true, false}) {
    settings config;
    config.entry = entry;
    config.control = !entry;
    config.memory_mb = 160;
    const memory_shares shares = MemoryShares(config);
    const std::uint64_t used = entry ? shares.callers + shares.replies +
                                           shares.peer_backlog +
                                           shares.relayed_requests
                                     : shares.callers + shares.peer_backlog;
    EXPECT_LE(used, (160ULL << 20) * 70 / 100);
    EXPECT_GE(shares.callers, 32ULL << 20);
  }
}

// Guards against a start that fails, or shares of nothing, on a platform that
// states no limit.
TEST_F(settings_test, MemoryShares_LimitNotKnown_AreUsable) {
  const std::string text = ValidText() + "[limits]\nmemory_mb=0\n";
  EXPECT_TRUE(ErrorsOf(text).empty());
  settings config;
  config.memory_mb = 0;
  EXPECT_GE(MemoryShares(config).callers, 200ULL << 20);
}

// Guards against a bound in bytes that is above the share of a small instance.
TEST_F(settings_test, MemoryShares_BufferedBytesSet_SmallerOneCounts) {
  settings config;
  config.memory_mb = 100;
  config.max_buffered_bytes = 1 << 20;
  EXPECT_EQ(MemoryShares(config).replies, 1u << 20);
  config.max_buffered_bytes = 1 << 30;
  EXPECT_LT(MemoryShares(config).replies, 21ULL << 20);
}

// Guards against an instance that starts with invalid settings. Each case has
// one fault and names the section and key that must be reported.
TEST_F(settings_test, Parse_OneFault_NamesSectionAndKey) {
  const struct {
    const char* from;
    const char* to;
    const char* section;
    const char* key;
  } cases[] = {
      {"name=e1", "name=", "instance", "name"},
      {"name=e1", "name=e 1", "instance", "name"},
      {"role=entry,control", "role=leader", "instance", "role"},
      {"caller=127.0.0.1:8001", "caller=localhost:8001", "listen", "caller"},
      {"caller=127.0.0.1:8001", "caller=127.0.0.1", "listen", "caller"},
      {"caller=127.0.0.1:8001", "caller=127.0.0.1:70000", "listen", "caller"},
      {"caller=127.0.0.1:8001", "caller=127.0.0.1:9001", "listen", "peer"},
      {"peer=127.0.0.1:9001\n", "", "listen", "peer"},
      {"seeds=", "seeds=nonsense,", "peers", "seeds"},
      {"initial_members=e1,e2,e3", "initial_members=e1,e2", "control",
       "initial_members"},
      {"initial_members=e1,e2,e3", "initial_members=e4,e2,e3", "instance",
       "role"},
      {"data_dir=data\n", "", "control", "data_dir"},
      {"data_dir=data\n", "data_dir=data\nspares=e2\n", "control", "spares"},
      {"data_dir=data\n", "data_dir=data\ncolour=blue\n", "control", "colour"},
      {"data_dir=data\n", "data_dir=data\ndata_dir=other\n", "control",
       "data_dir"},
      {"[operator]", "[log]\nlevel=loud\n[operator]", "log", "level"},
      {"[operator]", "[log]\ndecision_rate=1.5\n[operator]", "log",
       "decision_rate"},
      {"[operator]", "[routes]\nload_balancing=fair\n[operator]", "routes",
       "load_balancing"},
      {"[operator]", "[limits]\nread_timeout_ms=10s\n[operator]", "limits",
       "read_timeout_ms"},
      {"[operator]", "[limits]\nmax_request_bytes=1\n[operator]", "limits",
       "max_request_bytes"},
  };
  ASSERT_TRUE(ErrorsOf(ValidText()).empty());
  for (const auto& test_case : cases) {
    const auto errors =
        ErrorsOf(Replace(ValidText(), test_case.from, test_case.to));
    ASSERT_EQ(errors.size(), 1u) << test_case.from << " -> " << test_case.to;
    EXPECT_EQ(errors[0].section, test_case.section) << test_case.to;
    EXPECT_EQ(errors[0].key, test_case.key) << test_case.to;
    EXPECT_FALSE(errors[0].allowed.empty()) << test_case.to;
  }
}

// Guards against an instance that is configured as a control member but lacks
// the role, so that the operator expects a member that does not run.
TEST_F(settings_test, Parse_RoleContradictsControlSection_NamesBothPlaces) {
  const auto errors =
      ErrorsOf(Replace(ValidText(), "role=entry,control", "role=entry"));
  ASSERT_EQ(errors.size(), 2u);
  EXPECT_EQ(errors[0].key, "data_dir");
  EXPECT_EQ(errors[1].key, "role");
}

// Guards against reporting only the first of several faults, which operators
// would then have to find one by one.
TEST_F(settings_test, Parse_SeveralFaults_ReportsAllOfThem) {
  std::string text = Replace(ValidText(), "name=e1", "name=");
  text = Replace(text, "peer=127.0.0.1:9001", "peer=x");
  text = Replace(text, "group=g", "group=");
  EXPECT_EQ(ErrorsOf(text).size(), 3u);
}

// Guards against an error message that contains the secret.
TEST_F(settings_test, Parse_ShortSecret_DoesNotPrintIt) {
  std::ofstream(secret_file_) << "hunter2";
  const auto errors = ErrorsOf(ValidText());
  ASSERT_EQ(errors.size(), 2u);
  for (const settings_error& error : errors) {
    EXPECT_EQ(error.problem.find("hunter2"), std::string::npos);
  }
}

TEST_F(settings_test, Load_MissingFile_IsInvalidSettings) {
  const result_code code = leaf::try_handle_all(
      []() -> leaf::result<result_code> {
        BOOST_LEAF_CHECK(LoadSettings("does-not-exist.ini"));
        return result_code::kOk;
      },
      [](result_code failed) { return failed; },
      [] { return result_code::kInternal; });
  EXPECT_EQ(code, result_code::kInvalidSettings);
}

std::string RoutesText() {
  return "[instance]\ninterface=routes\nname=10.0.0.1\n"
         "availability_zone=z1\nrole=control\n"
         "[listen]\ncaller=10.0.0.1:8106\npeer=10.0.0.1:7380\n"
         "[peers]\nseeds=10.0.0.1:8106,10.0.0.2:8106\nseed_port=7380\n"
         "shared_key=0123456789abcdef\n"
         "[control]\ngroup=g\ntolerated_losses=2\nbootstrap=false\n"
         "data_dir=data\n[routes]\nretry_ratio=0.2\nretry_allowance=54\n"
         "load_balancing=spread\n";
}

// Guards against control members that are dialed at the caller ports of the
// seeds in place of seed_port, or that get other names than the seeds' IP
// addresses.
TEST_F(settings_test, Parse_RoutesInterface_UsesSeedAddressesAsMembers) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, ParseSettings("test.ini", RoutesText()));
        EXPECT_EQ(parsed.interface, serving_interface::kRoutes);
        EXPECT_EQ(parsed.initial_members,
                  (std::vector<instance_name>{"10.0.0.1", "10.0.0.2"}));
        EXPECT_EQ(parsed.seeds.at(1).ToText(), "10.0.0.2:7380");
        EXPECT_EQ(parsed.voters, 5u);
        EXPECT_FALSE(parsed.bootstrap);
        EXPECT_EQ(parsed.retry_allowance, 54u);
        EXPECT_EQ(parsed.balancing, load_balancing::kSpread);
        return {};
      },
      [](const settings_errors& errors) { ADD_FAILURE() << ToText(errors); },
      [] { ADD_FAILURE(); });
}

// Guards against an older deployment that can't start, or a newer one that
// silently revokes late.
TEST_F(settings_test, Parse_Revocation_EmptyIsNotStrictAndWrongIsRefused) {
  const struct {
    const char* text;
    bool strict;
    int revoke_ms;
  } cases[] = {
      {"", false, 5000},
      {"[accounts]\nstrict_revocation = \nrevoke_ms = \n", false, 5000},
      {"[accounts]\nstrict_revocation = false\n", false, 5000},
      {"[accounts]\nstrict_revocation = true\nrevoke_ms = 4000\n", true, 4000},
  };
  for (const auto& test_case : cases) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(
              parsed, ParseSettings("test.ini", RoutesText() + test_case.text));
          const auto options = RevocationOptions(parsed);
          EXPECT_EQ(options.strict_revocation, test_case.strict);
          EXPECT_EQ(options.revoke,
                    std::chrono::milliseconds(test_case.revoke_ms));
          return {};
        },
        [](const settings_errors& errors) { ADD_FAILURE() << ToText(errors); },
        [] { ADD_FAILURE(); });
  }
  for (const char* wrong :
       {"strict_revocation=yes", "revoke_ms=10", "quota_window_s=0",
        "quota_overshoot=2", "quota_slack=-1"}) {
    EXPECT_EQ(ErrorsOf(RoutesText() + "[accounts]\n" + wrong).size(), 1u);
  }
}

// Guards against members that are dialed at port 0 if seed_port is not set and
// the list of seeds contains the ports for peer connections.
TEST_F(settings_test, SeedAddress_NoSeedPort_UsesPortOfSeed) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            parsed, ParseSettings("test.ini", Replace(RoutesText(),
                                                      "seed_port=7380\n", "")));
        EXPECT_EQ(SeedAddress(parsed, "10.0.0.2"), "10.0.0.2:8106");
        EXPECT_EQ(SeedAddress(parsed, "10.0.0.3"), "");
        return {};
      },
      [](const settings_errors& errors) { ADD_FAILURE() << ToText(errors); },
      [] { ADD_FAILURE(); });
}

// Guards against an instance behind address translation that advertises its
// local, unreachable address.
TEST_F(settings_test, Parse_PeerAdvertised_DefaultsToThePeerAddress) {
  const struct {
    const char* line;
    const char* advertised;
  } cases[] = {
      {"peer=10.0.0.1:7380\n", "10.0.0.1:7380"},
      {"peer=192.168.0.9:7380\npeer_advertised=10.0.0.1:9000\n",
       "10.0.0.1:9000"},
  };
  for (const auto& test_case : cases) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(
              parsed, ParseSettings("test.ini", Replace(RoutesText(),
                                                        "peer=10.0.0.1:7380\n",
                                                        test_case.line)));
          EXPECT_EQ(parsed.peer_advertised.ToText(), test_case.advertised);
          return {};
        },
        [](const settings_errors& errors) { ADD_FAILURE() << ToText(errors); },
        [] { ADD_FAILURE(); });
  }
}

// Guards against a crash loop of all instances that start while the platform
// lists no control instance.
TEST_F(settings_test, Parse_RoutesInterfaceNoSeeds_IsAccepted) {
  EXPECT_TRUE(
      ErrorsOf(Replace(RoutesText(), "seeds=10.0.0.1:8106,10.0.0.2:8106\n",
                       "seeds=\n"))
          .empty());
}

// Guards against inconsistent settings with which an instance starts but can
// never join the group.
TEST_F(settings_test, Parse_RoutesInterface_NamesInconsistentKey) {
  const struct {
    const char* from;
    const char* to;
    const char* key;
  } cases[] = {
      {"name=10.0.0.1\n", "name=c1\n", "name"},
      {"shared_key=0123456789abcdef\n", "", "shared_key"},
      {"seeds=10.0.0.1:8106,10.0.0.2:8106\n", "", "seeds"},
      {"seeds=10.0.0.1:8106,10.0.0.2:8106\n", "seeds=10.0.0.1\n", "seeds"},
      {"role=control", "role=entry,control", "role"},
      {"data_dir=data\n", "", "data_dir"},
      {"bootstrap=false", "bootstrap=perhaps", "bootstrap"},
      {"tolerated_losses=2", "tolerated_losses=9", "tolerated_losses"},
      {"interface=routes", "interface=other", "interface"},
  };
  for (const auto& test_case : cases) {
    const auto errors =
        ErrorsOf(Replace(RoutesText(), test_case.from, test_case.to));
    const bool named = std::any_of(
        errors.begin(), errors.end(),
        [&](const auto& error) { return error.key == test_case.key; });
    EXPECT_TRUE(named) << test_case.to;
  }
}

}  // namespace
}  // namespace bilberrycourse
