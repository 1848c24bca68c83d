#include "bilberrycourse/result_code.h"

#include <algorithm>
#include <iterator>

namespace bilberrycourse {
namespace {

constexpr result_code_info kResultCodes[] = {
    {result_code::kOk, 0, "ok", 0, 200, false, "The request succeeded."},
    {result_code::kMalformedRequest, 101, "malformed_request", 2, 400, true,
     "The request is not valid HTTP or JSON."},
    {result_code::kRequestTooLarge, 102, "request_too_large", 2, 413, true,
     "The request is larger than the configured limit."},
    {result_code::kUnknownTarget, 103, "unknown_target", 2, 404, true,
     "No service or group has this name."},
    {result_code::kUnknownPath, 104, "unknown_path", 2, 404, true,
     "No such path."},
    {result_code::kMethodNotAllowed, 105, "method_not_allowed", 2, 405, true,
     "The path does not take this method."},
    {result_code::kInvalidField, 106, "invalid_field", 2, 400, true,
     "A field is missing, has the wrong type or is out of range."},
    {result_code::kDeadlinePassed, 107, "deadline_passed", 2, 504, true,
     "The deadline had passed before the request was read or sent."},
    {result_code::kMissingIdempotencyKey, 108, "missing_idempotency_key", 2,
     400, true,
     "A non-idempotent request needs an Idempotency-Key header and "
     "issued_at_ms."},
    {result_code::kIdempotencyKeyReused, 109, "idempotency_key_reused", 2, 422,
     true, "The Idempotency-Key was used before with another body."},
    {result_code::kIdempotencyKeyExpired, 110, "idempotency_key_expired", 2,
     410, true,
     "The request was issued longer ago than records are kept, or in the "
     "future."},
    {result_code::kRequestTimeout, 111, "request_timeout", 2, 408, true,
     "The request did not arrive completely within the read timeout."},
    {result_code::kUnknownKey, 112, "unknown_key", 2, 401, true,
     "The request has no key of a client account."},
    {result_code::kOverloaded, 201, "overloaded", 10, 503, true,
     "The target has no capacity left; nothing was run."},
    {result_code::kControlLeaseExpired, 202, "control_lease_expired", 11, 503,
     true,
     "This instance cannot confirm the newest configuration; nothing was run."},
    {result_code::kShuttingDown, 203, "shutting_down", 12, 503, true,
     "This instance is shutting down; nothing was run."},
    {result_code::kNoServingReplica, 204, "no_serving_replica", 13, 503, true,
     "No replica of the shard serves this index version."},
    {result_code::kSuspectedCrasher, 205, "suspected_crasher", 14, 422, true,
     "Requests with this content crashed backend servers; it is refused until "
     "the verdict expires."},
    {result_code::kNoQuorum, 206, "no_quorum", 15, 503, true,
     "The control group has no quorum; nothing was run or changed."},
    {result_code::kQueueDeadline, 207, "queue_deadline", 16, 503, true,
     "The deadline passed while the request waited; it was never sent."},
    {result_code::kNotOwner, 208, "not_owner", 17, 503, true,
     "The instance does not own this shard; nothing was run."},
    {result_code::kBackendServerShed, 209, "backend_server_shed", 18, 503, true,
     "The backend server refused the request before running it."},
    {result_code::kBackendServerLimited, 210, "backend_server_limited", 45, 503,
     true,
     "The request limits that the backend servers state leave no room for the "
     "request."},
    {result_code::kContentQuarantined, 211, "content_quarantined", 46, 503,
     true,
     "Requests with this content crashed backend servers; none is sent until "
     "the time of Retry-After."},
    {result_code::kMemoryExhausted, 212, "memory_exhausted", 47, 503, true,
     "This instance has no memory left for the request; nothing was run."},
    {result_code::kAccountLimitExceeded, 213, "account_limit_exceeded", 48, 429,
     true,
     "The client account has used up its requests until the time of "
     "Retry-After; nothing was run."},
    {result_code::kDeadlineExceeded, 301, "deadline_exceeded", 20, 504, false,
     "The deadline passed before the shard answered."},
    {result_code::kBackendServerFailed, 302, "backend_server_failed", 21, 502,
     false, "The backend server answered with an error."},
    {result_code::kBackendServerCrashed, 303, "backend_server_crashed", 22, 502,
     false,
     "The connection to the backend server broke while the request was "
     "running."},
    {result_code::kVersionGone, 304, "version_gone", 23, 503, false,
     "The shard no longer serves the index version of this answer."},
    {result_code::kOwnerUnreachable, 305, "owner_unreachable", 24, 502, false,
     "The instance that owns the shard could not be reached."},
    {result_code::kOutcomeUnknown, 306, "outcome_unknown", 25, 502, false,
     "The request may or may not have run."},
    {result_code::kStillRunning, 307, "still_running", 26, 409, false,
     "An earlier request with this key is still running."},
    {result_code::kCoverageTooLow, 308, "coverage_too_low", 27, 503, false,
     "Fewer shards answered than the target requires."},
    {result_code::kCancelled, 309, "cancelled", 28, 499, false,
     "The request was cancelled."},
    {result_code::kCanaryNotPassed, 310, "canary_not_passed", 29, 502, true,
     "The first shard failed while running this content, so the other shards "
     "were not tried."},
    {result_code::kReplyTooLarge, 311, "reply_too_large", 19, 502, false,
     "The backend server sent more bytes than one reply may have."},
    {result_code::kInvalidReplyStatus, 312, "invalid_reply_status", 48, 502,
     false,
     "The backend server replied with a status that HTTP does not have."},
    {result_code::kVersionConflict, 401, "version_conflict", 30, 409, true,
     "Another change was accepted on the same base version."},
    {result_code::kInvalidDocument, 402, "invalid_document", 31, 422, true,
     "The configuration document is not valid; nothing was changed."},
    {result_code::kUnauthorized, 403, "unauthorized", 32, 401, true,
     "The operator token is missing or wrong."},
    {result_code::kReasonMissing, 404, "reason_missing", 33, 422, true,
     "A change or exception needs a reason and an author."},
    {result_code::kUnknownException, 405, "unknown_exception", 34, 404, true,
     "No exception has this id."},
    {result_code::kNotLeader, 406, "not_leader", 35, 503, true,
     "This member is not the leader of the control group."},
    {result_code::kChangeIdReused, 407, "change_id_reused", 36, 409, true,
     "The change id was used before with another document."},
    {result_code::kProposalLost, 408, "proposal_lost", 37, 503, false,
     "The answer was lost; send the change again with the same change id."},
    {result_code::kNotInForceYet, 409, "not_in_force_yet", 38, 504, false,
     "The change is accepted, but not all instances report it in force."},
    {result_code::kShardCountConflict, 501, "shard_count_conflict", 40, 409,
     true, "The index version is recorded with another shard count."},
    {result_code::kStaleIncarnation, 502, "stale_incarnation", 41, 409, true,
     "A newer incarnation of this replica has announced itself."},
    {result_code::kPeerRejected, 503, "peer_rejected", 42, 403, true,
     "The peer did not prove knowledge of the shared key."},
    {result_code::kInvalidSettings, 601, "invalid_settings", 50, 500, true,
     "The settings file is not valid."},
    {result_code::kInvalidArguments, 602, "invalid_arguments", 51, 400, true,
     "The command line is not valid."},
    {result_code::kAddressInUse, 603, "address_in_use", 52, 500, true,
     "The listening address is in use or not there yet."},
    {result_code::kUnreachable, 604, "unreachable", 53, 502, false,
     "The instance could not be reached."},
    {result_code::kAddressNotBound, 605, "address_not_bound", 54, 500, true,
     "The listening address cannot be bound."},
    {result_code::kDataFolderForeign, 701, "data_folder_foreign", 60, 500, true,
     "The data folder belongs to another instance or group."},
    {result_code::kLogDamaged, 702, "log_damaged", 61, 500, true,
     "A synced record of the log is damaged; this member refuses to vote."},
    {result_code::kSyncFailed, 703, "sync_failed", 62, 500, true,
     "A sync to disk failed; this member stopped."},
    {result_code::kDiskFull, 704, "disk_full", 63, 500, true,
     "The disk is full; this member stopped."},
    {result_code::kStorageIo, 705, "storage_io", 64, 500, true,
     "The data folder could not be read or written."},
    {result_code::kInternal, 901, "internal", 99, 500, false,
     "An internal check failed."},
};

}  // namespace

std::span<const result_code_info> ResultCodes() { return kResultCodes; }

const result_code_info& Describe(result_code code) {
  const auto* info =
      std::ranges::find(kResultCodes, code, &result_code_info::code);
  return info == std::end(kResultCodes) ? *std::prev(std::end(kResultCodes))
                                        : *info;
}

bool PromisesNotRun(unsigned http_status) {
  switch (http_status) {
    case 408:
    case 421:
    case 429:
    case 503:
      return true;
    default:
      return false;
  }
}

bool IsFinalStatus(unsigned http_status) {
  return http_status >= 200 && http_status <= 599;
}

result_code ResultCodeFromNumber(std::uint16_t number) {
  const auto* info =
      std::ranges::find(kResultCodes, number, &result_code_info::number);
  return info == std::end(kResultCodes) ? result_code::kInternal : info->code;
}

}  // namespace bilberrycourse
