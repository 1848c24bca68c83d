#include <algorithm>
#include <utility>

#include "bilberrycourse/shard_dispatcher_implementation.h"

namespace bilberrycourse {

void shard_dispatcher::implementation::OnOk(dispatch_attempt* attempt,
                                            const attempt_reply& reply) {
  dispatch_request* request = attempt->request;
  dispatch_server* server = attempt->server;
  if (reply.version != request->version) {
    ++counters_.wrong_version_replies;
    MarkVersionGone(server, request->version);
    EraseAttempt(attempt);
    AttemptFailed(request, server,
                  {result_code::kVersionGone, dispatch_reason::kWrongVersion},
                  dispatch_reason::kRetryAfterVersionGone);
    FailUnservable(server->shard);
    return;
  }
  ++counters_.answered;
  if (attempt->hedge) ++counters_.hedges_won;
  shard_result result;
  result.code = result_code::kOk;
  result.version = reply.version;
  result.replica = server->record.key.replica;
  result.service_time = now_ - attempt->sent_at;
  result.body = reply.body;
  EraseAttempt(attempt);
  Finish(request, std::move(result), /*expired=*/false);
}

void shard_dispatcher::implementation::MarkVersionGone(dispatch_server* server,
                                                       index_version version) {
  if (!Contains(server->refused_versions, version))
    server->refused_versions.push_back(version);
}

void shard_dispatcher::implementation::OnShed(dispatch_attempt* attempt,
                                              const attempt_reply&) {
  ++counters_.sheds;
  dispatch_request* request = attempt->request;
  dispatch_server* server = attempt->server;
  if (attempt->incarnation == server->record.incarnation) BackOff(server);
  EraseAttempt(attempt);
  --request->may_have_run;
  AttemptFailed(request, server,
                {result_code::kBackendServerShed, dispatch_reason::kShed},
                dispatch_reason::kRetryAfterShed);
}

void shard_dispatcher::implementation::OnVersionGone(dispatch_attempt* attempt,
                                                     const attempt_reply&) {
  ++counters_.versions_gone;
  dispatch_request* request = attempt->request;
  dispatch_server* server = attempt->server;
  MarkVersionGone(server, request->version);
  EraseAttempt(attempt);
  --request->may_have_run;
  AttemptFailed(request, server,
                {result_code::kVersionGone, dispatch_reason::kVersionNotServed},
                dispatch_reason::kRetryAfterVersionGone);
  FailUnservable(server->shard);
}

void shard_dispatcher::implementation::OnFailed(dispatch_attempt* attempt,
                                                const attempt_reply&) {
  ++counters_.failures;
  dispatch_request* request = attempt->request;
  dispatch_server* server = attempt->server;
  EraseAttempt(attempt);
  AttemptFailed(request, server,
                {result_code::kBackendServerFailed, dispatch_reason::kFailed},
                dispatch_reason::kRetryAfterFailure);
}

void shard_dispatcher::implementation::OnAttemptDisconnected(
    dispatch_attempt* attempt) {
  dispatch_request* request = attempt->request;
  dispatch_server* server = attempt->server;
  // Some searchers end a cancelled attempt by closing its connection.
  if (!attempt->cancelled || attempt->expired) ReportCrash(attempt);
  EraseAttempt(attempt);
  if (request == nullptr) return;
  request->crashed = true;
  request->hedge_timer.Cancel();
  AttemptFailed(
      request, server,
      {result_code::kBackendServerCrashed, dispatch_reason::kConnectionBroken},
      dispatch_reason::kRetryAfterFailure);
}

void shard_dispatcher::implementation::ReportCrash(dispatch_attempt* broken) {
  if (broken->crash_reported) return;
  ++counters_.crashes;
  dispatch_server* server = broken->server;
  crash_report report{server->record.key, broken->incarnation, {}};
  for (dispatch_attempt& attempt : server->attempts) {
    if (attempt.incarnation != broken->incarnation || attempt.crash_reported) {
      continue;
    }
    attempt.crash_reported = true;
    if (std::find(report.contents.begin(), report.contents.end(),
                  attempt.content) == report.contents.end()) {
      report.contents.push_back(attempt.content);
    }
  }
  out_->push_back(report_crash{std::move(report)});
  // The other connections of a crashed searcher break shortly afterwards. An
  // attempt sent over one of them until then would count as having run.
  if (broken->incarnation == server->record.incarnation) {
    PauseUntil(server, now_ + options_.reconnect_wait);
  }
}

void shard_dispatcher::implementation::AttemptFailed(
    dispatch_request* request, dispatch_server* server, failure cause,
    dispatch_reason retry_reason) {
  request->tried_servers.push_back(server);
  if (!request->in_flight.empty()) return;
  StopRunning(request);
  if (request->crashed) {
    cause = {result_code::kBackendServerCrashed,
             dispatch_reason::kConnectionBroken};
  }
  const bool shed = cause.code == result_code::kBackendServerShed;
  // Only a shed answer permits another attempt of non-idempotent work.
  const bool may_retry =
      !request->crashed && (shed || request->message->idempotent) &&
      request->attempts < request->scope->policy.max_attempts &&
      !CheckSendable(*request) &&
      request->scope->budget.TryTake(extra_attempt_kind::kRetry);
  if (!may_retry) {
    Fail(request, cause);
    return;
  }
  ++counters_.retries;
  request->next_reason = retry_reason;
  request->hedge_timer.Cancel();
  Enqueue(request);
}

}  // namespace bilberrycourse
