#include "bilberrycourse/dispatch_effects.h"

#include <cstddef>
#include <iterator>

namespace bilberrycourse {
namespace {

constexpr std::string_view kReasonNames[] = {
    "first_attempt",
    "hedge",
    "probe",
    "retry_after_shed",
    "retry_after_failure",
    "retry_after_version_gone",
    "queue_full",
    "deadline_in_queue",
    "no_replica",
    "version_not_served",
    "sending_forbidden",
    "content_condemned",
    "request_limit",
    "deadline_while_running",
    "connection_broken",
    "shed",
    "failed",
    "wrong_version",
};
static_assert(std::size(kReasonNames) ==
              static_cast<std::size_t>(dispatch_reason::kWrongVersion) + 1);

}  // namespace

std::string_view ToString(dispatch_reason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace bilberrycourse
