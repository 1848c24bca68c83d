#include "bilberrycourse/route_effects.h"

#include <array>

namespace bilberrycourse {
namespace {

constexpr std::array<std::string_view, 4> kReasonNames = {
    "first", "hedge", "not_executed", "failed"};

}  // namespace

std::string_view ToString(send_reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

}  // namespace bilberrycourse
