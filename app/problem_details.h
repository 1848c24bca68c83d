#ifndef APP_PROBLEM_DETAILS_H_
#define APP_PROBLEM_DETAILS_H_

// Problem details of HTTP responses (RFC 9457), extended by the members `code`
// and `name` of the result code.
//
//   std::string body = ProblemText(result_code::kVersionConflict,
//                                  "version 7 was accepted", {{"version", 7}});
//   std::optional<problem_details> problem = ParseProblem(body);

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "bilberrycourse/result_code.h"

namespace bilberrycourse {

struct problem_details {
  result_code code = result_code::kInternal;
  std::string title;
  std::string detail;
  // The whole object, including the members that only some codes have.
  boost::json::object members;
};

// Formats problem details as JSON. An empty `detail` is omitted. Entries of
// `members` whose names are already in use, such as "title", are ignored.
std::string ProblemText(result_code code, std::string_view detail = {},
                        const boost::json::object& members = {});

// Returns nullopt unless `text` is a JSON object whose `code` is the number of
// a known result code.
std::optional<problem_details> ParseProblem(std::string_view text);

}  // namespace bilberrycourse

#endif  // APP_PROBLEM_DETAILS_H_
