#ifndef BILBERRYCOURSE_RESULT_CODE_H_
#define BILBERRYCOURSE_RESULT_CODE_H_

// Numbered result codes that are used in answers, logs, problem details and
// exit codes. docs/errors.md lists the same table; a test compares the two.
//
//   const result_code_info& info = Describe(result_code::kVersionConflict);
//   std::cerr << info.number << " " << info.name << ": " << info.explanation;

#include <cstdint>
#include <span>
#include <string_view>

namespace bilberrycourse {

enum class result_code : std::uint16_t {
  kOk = 0,
  // 1xx: input.
  kMalformedRequest = 101,
  kRequestTooLarge = 102,
  kUnknownTarget = 103,
  kUnknownPath = 104,
  kMethodNotAllowed = 105,
  kInvalidField = 106,
  kDeadlinePassed = 107,
  kMissingIdempotencyKey = 108,
  kIdempotencyKeyReused = 109,
  kIdempotencyKeyExpired = 110,
  kRequestTimeout = 111,
  kUnknownKey = 112,
  // 2xx: requests that were refused before running.
  kOverloaded = 201,
  kControlLeaseExpired = 202,
  kShuttingDown = 203,
  kNoServingReplica = 204,
  kSuspectedCrasher = 205,
  kNoQuorum = 206,
  kQueueDeadline = 207,
  kNotOwner = 208,
  kBackendServerShed = 209,
  kBackendServerLimited = 210,
  kContentQuarantined = 211,
  kMemoryExhausted = 212,
  kAccountLimitExceeded = 213,
  // 3xx: results of running work, per shard or per request.
  kDeadlineExceeded = 301,
  kBackendServerFailed = 302,
  kBackendServerCrashed = 303,
  kVersionGone = 304,
  kOwnerUnreachable = 305,
  kOutcomeUnknown = 306,
  kStillRunning = 307,
  kCoverageTooLow = 308,
  kCancelled = 309,
  kCanaryNotPassed = 310,
  kReplyTooLarge = 311,
  kInvalidReplyStatus = 312,
  // 4xx: configuration and operators.
  kVersionConflict = 401,
  kInvalidDocument = 402,
  kUnauthorized = 403,
  kReasonMissing = 404,
  kUnknownException = 405,
  kNotLeader = 406,
  kChangeIdReused = 407,
  kProposalLost = 408,
  kNotInForceYet = 409,
  // 5xx: announcements and membership.
  kShardCountConflict = 501,
  kStaleIncarnation = 502,
  kPeerRejected = 503,
  // 6xx: settings and start.
  kInvalidSettings = 601,
  kInvalidArguments = 602,
  kAddressInUse = 603,
  kUnreachable = 604,
  kAddressNotBound = 605,
  // 7xx: storage.
  kDataFolderForeign = 701,
  kLogDamaged = 702,
  kSyncFailed = 703,
  kDiskFull = 704,
  kStorageIo = 705,
  // 9xx: internal.
  kInternal = 901,
};

struct result_code_info {
  result_code code;
  std::uint16_t number;
  std::string_view name;
  // Process exit code of the command-line tool.
  int exit_code;
  // Status of HTTP responses that carry this code.
  int http_status;
  // True when the code proves that nothing ran.
  bool not_run;
  std::string_view explanation;
};

// Returns all result codes, sorted by number.
std::span<const result_code_info> ResultCodes();

// Returns the description of `code`, or that of kInternal for an unknown value.
const result_code_info& Describe(result_code code);

// Returns true for the HTTP statuses that callers take as the promise that
// their request has not run and never will: 408, 421, 429 and 503.
bool PromisesNotRun(unsigned http_status);

// Returns true for the statuses that HTTP has for the final reply to a request.
bool IsFinalStatus(unsigned http_status);

// Returns the code with this number, or kInternal if there is none.
result_code ResultCodeFromNumber(std::uint16_t number);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_RESULT_CODE_H_
