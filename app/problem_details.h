#ifndef APP_PROBLEM_DETAILS_H_
#define APP_PROBLEM_DETAILS_H_

// Problem details of HTTP answers (RFC 9457), with the members `code` and
// `name` of the table of result codes.
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
  // The whole object, for members that only some codes have.
  boost::json::object members;
};

// An empty detail is left out. Further members must not repeat those of the
// standard.
std::string ProblemText(result_code code, std::string_view detail = {},
                        const boost::json::object& members = {});

// Returns nullopt unless the text is an object with a known number in `code`.
std::optional<problem_details> ParseProblem(std::string_view text);

}  // namespace bilberrycourse

#endif  // APP_PROBLEM_DETAILS_H_
