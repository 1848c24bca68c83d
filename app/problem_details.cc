#include "app/problem_details.h"

#include <cstdint>
#include <utility>

namespace bilberrycourse {
namespace {

namespace json = boost::json;

std::string StringMember(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

}  // namespace

std::string ProblemText(result_code code, std::string_view detail,
                        const json::object& members) {
  const result_code_info& info = Describe(code);
  json::object body{{"type", "about:blank"},
                    {"title", info.explanation},
                    {"status", info.http_status},
                    {"code", info.number},
                    {"name", info.name}};
  if (!detail.empty()) body["detail"] = detail;
  for (const auto& member : members) {
    body.emplace(member.key(), member.value());
  }
  return json::serialize(body);
}

std::optional<problem_details> ParseProblem(std::string_view text) {
  boost::system::error_code error;
  json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return std::nullopt;
  problem_details result;
  result.members = std::move(parsed.get_object());
  const json::value* code = result.members.if_contains("code");
  if (code == nullptr || !code->is_int64() || code->get_int64() < 0 ||
      code->get_int64() > UINT16_MAX) {
    return std::nullopt;
  }
  const auto number = static_cast<std::uint16_t>(code->get_int64());
  result.code = ResultCodeFromNumber(number);
  if (Describe(result.code).number != number) return std::nullopt;
  result.title = StringMember(result.members, "title");
  result.detail = StringMember(result.members, "detail");
  return result;
}

}  // namespace bilberrycourse
