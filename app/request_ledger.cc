#include "app/request_ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "app/daemon_clock.h"
#include "app/json_log.h"

namespace bilberrycourse {
namespace {

// The caller of a request that ran is not kept waiting longer for the record.
constexpr duration kFinishWait = std::chrono::seconds(1);
// Recording an outcome is tried for this long.
constexpr duration kRecordTime = std::chrono::minutes(10);
constexpr duration kReadPeriod = std::chrono::milliseconds(100);

}  // namespace

request_ledger::request_ledger(const settings& config,
                               std::uint64_t incarnation,
                               control_client* control)
    : config_(config), control_(control), next_run_(incarnation) {}

request_run request_ledger::NewRun() {
  // The incarnation is the start time in microseconds, and no instance starts
  // a request per microsecond, so that numbers of an earlier start are lower.
  return {config_.name, next_run_++};
}

void request_ledger::Begin(const ledger_entry& entry, time_point deadline,
                           begin_callback callback) {
  auto wait = std::make_shared<waiting>();
  wait->entry = entry;
  wait->deadline = deadline;
  wait->callback = std::move(callback);
  control_->Propose(
      EncodeCommand(entry.begin), deadline,
      [this, wait](const control_reply& reply) { OnBeginReply(wait, reply); });
}

void request_ledger::OnBeginReply(const std::shared_ptr<waiting>& wait,
                                  const control_reply& reply) {
  const auto outcome =
      reply.code == result_code::kOk ? DecodeOutcome(reply.body) : std::nullopt;
  if (!outcome.has_value()) {
    // The record may exist although its answer was lost. No attempt has left
    // and none will, which the abandon states as soon as it can be committed.
    Abandon(wait->entry, [] {});
    return wait->callback({false, result_code::kNoQuorum, false, ""});
  }
  switch (outcome->decision) {
    case request_decision::kRun:
      return wait->callback({true, result_code::kOk, false, ""});
    case request_decision::kRecorded:
      return wait->callback(
          {false, outcome->recorded_code, true, outcome->recorded_answer});
    case request_decision::kWait:
      wait->read_at = Now() + kReadPeriod;
      waiting_.push_back(wait);
      return;
    case request_decision::kRefuse:
      break;
  }
  const result_code code = outcome->code == result_code::kOk
                               ? result_code::kInternal
                               : outcome->code;
  wait->callback({false, code, false, ""});
}

void request_ledger::ReadAgain(const std::shared_ptr<waiting>& wait) {
  wait->reading = true;
  const std::string argument = boost::json::serialize(
      boost::json::array{wait->entry.begin.caller, wait->entry.begin.key});
  control_->Read(
      "request", argument, wait->deadline,
      [this, wait](const control_reply& reply) { OnRead(wait, reply); });
}

void request_ledger::OnRead(const std::shared_ptr<waiting>& wait,
                            const control_reply& reply) {
  wait->reading = false;
  wait->read_at = Now() + kReadPeriod;
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(reply.body, error);
  if (reply.code != result_code::kOk || error || !parsed.is_object()) return;
  const auto& record = parsed.get_object();
  if (!record.contains("phase")) return;
  const auto phase =
      static_cast<request_phase>(record.at("phase").to_number<int>());
  if (phase == request_phase::kRunning) return;
  std::erase(waiting_, wait);
  if (phase == request_phase::kAbandoned) {
    // The earlier run proved that it did not run; this one may.
    return Begin(wait->entry, wait->deadline, wait->callback);
  }
  wait->callback({false,
                  ResultCodeFromNumber(static_cast<std::uint16_t>(
                      record.at("code").to_number<int>())),
                  true, std::string(record.at("answer").as_string())});
}

void request_ledger::Tick(time_point now) {
  const auto waiting_now = waiting_;
  for (const auto& wait : waiting_now) {
    if (now >= wait->deadline) {
      std::erase(waiting_, wait);
      wait->callback({false, result_code::kStillRunning, false, ""});
    } else if (!wait->reading && now >= wait->read_at) {
      ReadAgain(wait);
    }
  }
  std::vector<std::shared_ptr<done_callback>> due;
  std::erase_if(pending_, [&](const pending_done& each) {
    if (now < each.due && *each.done) return false;
    due.push_back(each.done);
    return true;
  });
  for (const auto& done : due) {
    if (const auto call = std::exchange(*done, nullptr)) call();
  }
}

void request_ledger::Record(const std::string& command, done_callback done) {
  auto shared = std::make_shared<done_callback>(std::move(done));
  pending_.push_back({Now() + kFinishWait, shared});
  control_->Propose(command, Now() + kRecordTime,
                    [shared](const control_reply& reply) {
                      if (reply.code != result_code::kOk) {
                        LogEvent(log_level::kError, "request_not_recorded",
                                 {{"code", Describe(reply.code).number}});
                      }
                      if (auto call = std::exchange(*shared, nullptr)) call();
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
