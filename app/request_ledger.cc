#include "app/request_ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// Longest time that the answer of a request that ran is delayed by recording
// it.
constexpr duration kMaxRecordWait = std::chrono::seconds(1);
// Recording an outcome is retried for this long.
constexpr duration kRecordTimeout = std::chrono::minutes(10);
constexpr duration kRecordPollPeriod = std::chrono::milliseconds(100);

struct finished_record {
  request_phase phase{};
  result_code code = result_code::kOk;
  std::string answer;
};

// Reads the record of a request as a control instance sent it. Returns nullopt
// if there is none or a field has another type.
std::optional<finished_record> ReadRecord(const boost::json::object& record) {
  const boost::json::value* phase = record.if_contains("phase");
  const boost::json::value* code = record.if_contains("code");
  const boost::json::value* answer = record.if_contains("answer");
  if (phase == nullptr || !phase->is_int64() || code == nullptr ||
      !code->is_int64() || answer == nullptr || !answer->is_string()) {
    return std::nullopt;
  }
  return finished_record{
      static_cast<request_phase>(phase->get_int64()),
      ResultCodeFromNumber(static_cast<std::uint16_t>(code->get_int64())),
      std::string(answer->get_string())};
}

}  // namespace

request_ledger::request_ledger(const settings& config,
                               std::uint64_t incarnation,
                               control_client* control)
    : config_(config), control_(control), next_run_(incarnation) {}

request_run request_ledger::NewRun() {
  // The incarnation is the start time in microseconds, and no instance starts a
  // request per microsecond, so run numbers of an earlier start are lower.
  return {config_.name, next_run_++};
}

void request_ledger::Begin(const ledger_entry& entry, time_point deadline,
                           begin_callback callback) {
  auto begin = std::make_shared<pending_begin>();
  begin->entry = entry;
  begin->deadline = deadline;
  begin->callback = std::move(callback);
  control_->Propose(EncodeCommand(entry.begin), deadline,
                    [this, begin](const control_reply& reply) {
                      OnBeginReply(begin, reply);
                    });
}

void request_ledger::OnBeginReply(const std::shared_ptr<pending_begin>& begin,
                                  const control_reply& reply) {
  const auto outcome =
      reply.code == result_code::kOk ? DecodeOutcome(reply.body) : std::nullopt;
  if (!outcome.has_value()) {
    // The record may exist although the reply was lost. No attempt has been or
    // will be sent; Abandon() records that as soon as it can be committed.
    Abandon(begin->entry, [] {});
    return begin->callback({false, result_code::kNoQuorum, false, ""});
  }
  switch (outcome->decision) {
    case request_decision::kRun:
      return begin->callback({true, result_code::kOk, false, ""});
    case request_decision::kRecorded:
      return begin->callback(
          {false, outcome->recorded_code, true, outcome->recorded_answer});
    case request_decision::kWait:
      begin->next_read_at = Now() + kRecordPollPeriod;
      pending_begins_.push_back(begin);
      return;
    case request_decision::kRefuse:
      break;
  }
  const result_code code = outcome->code == result_code::kOk
                               ? result_code::kInternal
                               : outcome->code;
  begin->callback({false, code, false, ""});
}

void request_ledger::PollRecord(const std::shared_ptr<pending_begin>& begin) {
  begin->read_in_progress = true;
  const std::string argument = boost::json::serialize(
      boost::json::array{begin->entry.begin.caller, begin->entry.begin.key});
  control_->Read("request", argument, begin->deadline,
                 [this, begin](const control_reply& reply) {
                   OnRecordRead(begin, reply);
                 });
}

void request_ledger::OnRecordRead(const std::shared_ptr<pending_begin>& begin,
                                  const control_reply& reply) {
  begin->read_in_progress = false;
  begin->next_read_at = Now() + kRecordPollPeriod;
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(reply.body, error);
  if (reply.code != result_code::kOk || error || !parsed.is_object()) return;
  const std::optional<finished_record> record = ReadRecord(parsed.get_object());
  if (!record.has_value()) return;
  const request_phase phase = record->phase;
  if (phase == request_phase::kRunning) return;
  std::erase(pending_begins_, begin);
  if (phase == request_phase::kAbandoned) {
    // The earlier run recorded that nothing ran, so this one may run.
    return Begin(begin->entry, begin->deadline, begin->callback);
  }
  begin->callback({false, record->code, true, record->answer});
}

void request_ledger::Tick(time_point now) {
  const auto pending = pending_begins_;
  for (const auto& begin : pending) {
    if (now >= begin->deadline) {
      std::erase(pending_begins_, begin);
      begin->callback({false, result_code::kStillRunning, false, ""});
    } else if (!begin->read_in_progress && now >= begin->next_read_at) {
      PollRecord(begin);
    }
  }
  std::vector<std::shared_ptr<done_callback>> due;
  std::erase_if(pending_records_, [&](const pending_record& record) {
    if (now < record.due && *record.done) return false;
    due.push_back(record.done);
    return true;
  });
  for (const auto& done : due) {
    if (const auto call = std::exchange(*done, nullptr)) call();
  }
}

void request_ledger::Record(const std::string& command, done_callback done) {
  auto unanswered = std::make_shared<done_callback>(std::move(done));
  pending_records_.push_back({Now() + kMaxRecordWait, unanswered});
  control_->Propose(command, Now() + kRecordTimeout,
                    [unanswered](const control_reply& reply) {
                      if (reply.code != result_code::kOk) {
                        LogEvent(log_level::kError, "request_not_recorded",
                                 {{"code", Describe(reply.code).number}});
                      }
                      if (auto call = std::exchange(*unanswered, nullptr))
                        call();
                    });
}

void request_ledger::Finish(const ledger_entry& entry, result_code code,
                            const std::string& answer, done_callback done) {
  request_finish finish;
  finish.caller = entry.begin.caller;
  finish.key = entry.begin.key;
  finish.run = entry.begin.run;
  finish.code = code;
  finish.answer = answer;
  Record(EncodeCommand(finish), std::move(done));
}

void request_ledger::Abandon(const ledger_entry& entry, done_callback done) {
  request_abandon abandon;
  abandon.caller = entry.begin.caller;
  abandon.key = entry.begin.key;
  abandon.run = entry.begin.run;
  Record(EncodeCommand(abandon), std::move(done));
}

}  // namespace bilberrycourse
