#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "app/cli.h"
#include "bilberrycourse/config_document.h"

namespace bilberrycourse {
namespace {

// Guards against fields and subcommands that docs/api.md does not describe. The
// field names are taken from the error messages about unknown keys.
TEST(api_page_test, Page_EachNameOfTheDocument_IsListed) {
  std::ifstream in(std::string(BILBERRYCOURSE_SOURCE_DIR) + "/docs/api.md");
  std::stringstream page;
  page << in.rdbuf();
  std::vector<document_error> errors;
  ParseConfig(R"({"?":1,"defaults":{"?":1},"groups":{"g":{"?":1}},
                  "exceptions":[{"?":1}]})",
              &errors);
  int names = 0;
  for (const auto& error : errors) {
    constexpr std::string_view kList = "unknown key; allowed: ";
    if (!error.message.starts_with(kList)) continue;
    std::istringstream list(error.message.substr(kList.size()));
    for (std::string name; std::getline(list >> std::ws, name, ',');) {
      ++names;
      EXPECT_NE(page.str().find("`" + name + "`"), std::string::npos) << name;
    }
  }
  EXPECT_EQ(names, 4 + 14 + 15 + 7);
  for (const auto& subcommand : Subcommands()) {
    if (subcommand.name == "serve" || subcommand.name == "check-config") {
      continue;
    }
    EXPECT_NE(page.str().find("`" + std::string(subcommand.name)),
              std::string::npos)
        << subcommand.name;
  }
}

}  // namespace
}  // namespace bilberrycourse
