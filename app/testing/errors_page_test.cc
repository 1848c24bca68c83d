#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "bilberrycourse/result_code.h"

namespace bilberrycourse {
namespace {

class errors_page_test : public ::testing::Test {
 protected:
  static std::string ReadPage() {
    std::ifstream in(std::string(BILBERRYCOURSE_SOURCE_DIR) +
                     "/docs/errors.md");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

  static std::string Row(const result_code_info& info) {
    std::ostringstream row;
    row << "| " << info.number << " | " << info.name << " | " << info.exit_code
        << " | " << info.http_status << " | " << (info.not_run ? "yes" : "no")
        << " | " << info.explanation << " |\n";
    return row.str();
  }
};

// Guards against a result code that changes without its documentation.
TEST_F(errors_page_test, Page_EachCode_ListsTheRowOfTheTable) {
  const std::string page = ReadPage();
  for (const result_code_info& info : ResultCodes()) {
    EXPECT_NE(page.find(Row(info)), std::string::npos) << Row(info);
  }
}

// Guards against two result codes with the same number, which a script could
// not distinguish.
TEST_F(errors_page_test, Table_EachNumber_IsUniqueAndRoundTrips) {
  for (const result_code_info& info : ResultCodes()) {
    EXPECT_EQ(ResultCodeFromNumber(info.number), info.code) << info.name;
    EXPECT_EQ(info.number, static_cast<std::uint16_t>(info.code));
  }
}

}  // namespace
}  // namespace bilberrycourse
