#include "bilberrycourse/control_state.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <variant>

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxAuthorBytes = 200;
constexpr std::size_t kMaxReasonBytes = 2000;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxCallerBytes = 256;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint32_t kMaxShardCount = 65536;
// Outcomes are stored for days, so the size of their details is bounded.
constexpr std::size_t kMaxDetailBytes = 16 * 1024;
// Bounds the expired records removed in one Apply(), so that the first entry
// after a long idle time does not stall the member. Lookups also check the age,
// because expired records may still be stored.
constexpr int kMaxRemovalsPerApply = 256;

bool IsBlank(std::string_view text) {
  return std::ranges::all_of(text, [](unsigned char c) { return c <= ' '; });
}

bool HasLengthUpTo(std::string_view text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes;
}

std::uint64_t Hash(std::string_view kind, std::string_view content) {
  return XXH3_64bits_withSeed(content.data(), content.size(),
                              XXH3_64bits(kind.data(), kind.size()));
}

control_outcome Refuse(result_code code, std::string_view message = {}) {
  control_outcome outcome;
  outcome.code = code;
  if (!message.empty()) {
    outcome.detail = json::serialize(json::object{{"message", message}});
  }
  return outcome;
}

std::string ErrorsDetail(const std::vector<document_error>& errors) {
  json::array list;
  std::size_t bytes = 0;
  for (const auto& error : errors) {
    bytes += error.path.size() + error.message.size() + 32;
    if (bytes > kMaxDetailBytes) break;
    list.push_back(
        json::object{{"path", error.path}, {"message", error.message}});
  }
  json::object detail{{"errors", std::move(list)}};
  if (bytes > kMaxDetailBytes) detail["truncated"] = true;
  return json::serialize(detail);
}

// Sets `detail[name]` to the changes that fit into the size limit.
void AppendDifference(std::string_view name,
                      const std::vector<document_change>& changes,
                      json::object* detail) {
  json::array list;
  std::size_t bytes = 0;
  for (const auto& change : changes) {
    bytes += change.path.size() + change.before.size() + change.after.size();
    if (bytes > kMaxDetailBytes / 2) {
      (*detail)["truncated"] = true;
      break;
    }
    json::object item{{"path", change.path}};
    boost::system::error_code error;
    if (!change.before.empty()) {
      item["before"] = json::parse(change.before, error);
    }
    if (!change.after.empty()) item["after"] = json::parse(change.after, error);
    list.push_back(std::move(item));
  }
  (*detail)[name] = std::move(list);
}

}  // namespace

struct control_state::document_proposal {
  std::string_view change_id;
  std::optional<std::uint64_t> base_version;
  std::string_view author;
  std::string_view reason;
  // Identifies the content; detects the reuse of a change id.
  std::uint64_t content_hash = 0;
  // Returns the text of the new document, given the current one.
  std::function<std::string(const config_document&)> text = {};
  // Set if the proposal removes an exception.
  std::optional<std::string_view> removed_exception = std::nullopt;
};

control_state::control_state(const control_state_options& options)
    : options_(options) {}

control_outcome control_state::Apply(std::uint64_t index,
                                     wall_time_ms leader_wall_ms,
                                     std::string_view command) {
  const auto decoded = DecodeCommand(command);
  if (decoded) return Apply(index, leader_wall_ms, *decoded);
  if (index <= applied_index_) return Refuse(result_code::kInternal);
  applied_index_ = index;
  return Refuse(result_code::kMalformedRequest);
}

control_outcome control_state::Apply(std::uint64_t index,
                                     wall_time_ms leader_wall_ms,
                                     const control_command& command) {
  if (index <= applied_index_) {
    return Refuse(result_code::kInternal, "the entry was applied before");
  }
  applied_index_ = index;
  now_ms_ = HasFault(control_fault::kAllowDecreasingClock)
                ? leader_wall_ms
                : std::max(now_ms_, leader_wall_ms);
  RemoveExpiredRecords();
  return std::visit([this](const auto& body) { return ApplyCommand(body); },
                    command);
}

control_outcome control_state::ApplyCommand(const config_change& command) {
  std::vector<document_error> errors;
  const auto parsed = ParseConfig(command.document, &errors, options_.limits);
  document_proposal proposal{command.change_id, command.base_version,
                             command.author, command.reason};
  // The hash covers the normalized text: a client that parses and serializes
  // JSON may format the same document differently.
  proposal.content_hash =
      Hash("config", parsed ? parsed->text() : command.document);
  proposal.text = [&](const config_document&) { return command.document; };
  return ApplyChange(proposal);
}

control_outcome control_state::ApplyCommand(const exception_add& command) {
  document_proposal proposal{command.change_id, command.base_version,
                             command.exception.author,
                             command.exception.reason};
  proposal.content_hash = Hash("add", ExceptionText(command.exception));
  proposal.text = [&](const config_document& current) {
    return current.TextWithException(command.exception);
  };
  return ApplyChange(proposal);
}

control_outcome control_state::ApplyCommand(const exception_remove& command) {
  document_proposal proposal{command.change_id, command.base_version,
                             command.author, command.reason};
  proposal.content_hash = Hash("remove", command.exception_id);
  proposal.text = [&](const config_document& current) {
    return current.TextWithoutException(command.exception_id);
  };
  proposal.removed_exception = command.exception_id;
  return ApplyChange(proposal);
}

control_outcome control_state::ApplyChange(const document_proposal& proposal) {
  if (!HasLengthUpTo(proposal.change_id, kMaxChangeIdBytes)) {
    return Refuse(result_code::kInvalidField,
                  "change_id is missing or too long; allowed: 1 to 128 bytes");
  }
  if (const auto known = changes_.find(proposal.change_id);
      known != changes_.end() &&
      known->second.recorded_at_ms >
          now_ms_ - options_.change_id_retention_ms) {
    if (known->second.content_hash == proposal.content_hash) {
      return known->second.outcome;
    }
    if (!HasFault(control_fault::kAcceptReusedChangeId)) {
      control_outcome outcome =
          Refuse(result_code::kChangeIdReused,
                 "the change id belongs to a change with other content");
      outcome.version = known->second.outcome.version;
      return outcome;
    }
  }
  if (changes_.size() >= options_.max_change_ids) {
    return Refuse(result_code::kOverloaded, "too many changes in 7 days");
  }
  control_outcome outcome = DecideChange(proposal);
  if (!HasFault(control_fault::kDropChangeIds)) {
    changes_[std::string(proposal.change_id)] = {proposal.content_hash, now_ms_,
                                                 outcome};
    change_order_.emplace_back(now_ms_, proposal.change_id);
  }
  return outcome;
}

control_outcome control_state::DecideChange(const document_proposal& proposal) {
  if (IsBlank(proposal.author) || IsBlank(proposal.reason)) {
    return Refuse(result_code::kReasonMissing,
                  "author and reason must not be blank");
  }
  if (proposal.author.size() > kMaxAuthorBytes ||
      proposal.reason.size() > kMaxReasonBytes) {
    return Refuse(result_code::kInvalidField,
                  "author or reason is too long; allowed: 200 and 2000 bytes");
  }
  if (proposal.base_version && *proposal.base_version != config_version_ &&
      !HasFault(control_fault::kAcceptStaleBase)) {
    return ConflictOutcome(proposal);
  }
  if (proposal.removed_exception &&
      std::ranges::find(document_.exceptions(), *proposal.removed_exception,
                        &config_exception::id) ==
          document_.exceptions().end()) {
    control_outcome outcome = Refuse(result_code::kUnknownException);
    outcome.version = config_version_;
    return outcome;
  }
  std::vector<document_error> errors;
  auto parsed = ParseConfig(proposal.text(document_), &errors, options_.limits);
  if (!parsed) {
    control_outcome outcome = Refuse(result_code::kInvalidDocument);
    outcome.version = config_version_;
    outcome.detail = ErrorsDetail(errors);
    return outcome;
  }
  return AcceptChange(proposal, std::move(*parsed));
}

control_outcome control_state::AcceptChange(const document_proposal& proposal,
                                            config_document document) {
  document_ = std::move(document);
  ++config_version_;
  ++published_version_;
  history_.push_back({config_version_, std::string(proposal.change_id),
                      std::string(proposal.author),
                      std::string(proposal.reason), now_ms_, document_.text()});
  while (history_.size() > options_.max_history) history_.pop_front();
  control_outcome outcome;
  outcome.version = config_version_;
  return outcome;
}

control_outcome control_state::ConflictOutcome(
    const document_proposal& proposal) const {
  control_outcome outcome;
  outcome.code = result_code::kVersionConflict;
  outcome.version = config_version_;
  json::object detail;
  const auto find = [this](std::uint64_t version) {
    return std::ranges::find(history_, version, &history_entry::version);
  };
  if (const auto winner = find(*proposal.base_version + 1);
      winner != history_.end()) {
    detail["winner"] = json::object{{"version", winner->version},
                                    {"change_id", winner->change_id},
                                    {"author", winner->author},
                                    {"reason", winner->reason},
                                    {"accepted_at_ms", winner->accepted_at_ms}};
  }
  const auto base = find(*proposal.base_version);
  if (base != history_.end() || *proposal.base_version == 0) {
    AppendDifference("changed_since_base",
                     Difference(base != history_.end() ? base->document : "{}",
                                document_.text(), options_.limits),
                     &detail);
  }
  // No difference is computed for an invalid document. Its errors are reported
  // when it is proposed again with the current base version.
  std::vector<document_error> errors;
  if (const auto proposed =
          ParseConfig(proposal.text(document_), &errors, options_.limits)) {
    AppendDifference(
        "difference",
        Difference(document_.text(), proposed->text(), options_.limits),
        &detail);
  }
  outcome.detail = json::serialize(detail);
  return outcome;
}

control_outcome control_state::ApplyCommand(const shard_set_record& command) {
  if (!HasLengthUpTo(command.service, kMaxNameBytes) ||
      command.shard_count == 0 || command.shard_count > kMaxShardCount) {
    return Refuse(result_code::kInvalidField,
                  "allowed: service of 1 to 64 bytes, shard_count 1 to 65536");
  }
  const auto known = shard_sets_.find(command.service);
  if (known != shard_sets_.end()) {
    const auto recorded = known->second.find(command.version);
    if (recorded != known->second.end()) {
      if (recorded->second == command.shard_count) return {};
      if (!HasFault(control_fault::kShardSetLastWins)) {
        return Refuse(
            result_code::kShardCountConflict,
            "recorded shard_count is " + std::to_string(recorded->second));
      }
    } else if (known->second.size() >= options_.max_versions_per_service &&
               command.version < known->second.begin()->first) {
      return Refuse(result_code::kVersionGone,
                    "newer versions fill the record of the service");
    }
  } else if (shard_sets_.size() >= options_.max_services) {
    return Refuse(result_code::kOverloaded, "too many services");
  }
  auto& versions = shard_sets_[command.service];
  versions[command.version] = command.shard_count;
  while (versions.size() > options_.max_versions_per_service) {
    versions.erase(versions.begin());
  }
  ++published_version_;
  return {};
}

control_outcome control_state::ApplyCommand(const route_document& command) {
  control_outcome outcome;
  if (command.version > routes_.version ||
      HasFault(control_fault::kAcceptOlderRoutes)) {
    routes_ = command;
  }
  outcome.version = routes_.version;
  return outcome;
}

control_outcome control_state::ApplyCommand(const searcher_reports& command) {
  for (const searcher_report& report : command.reports) {
    searchers_.Apply(report, applied_index_);
  }
  return {};
}

control_outcome control_state::ApplyCommand(const zone_evacuation& command) {
  control_outcome outcome;
  outcome.code = ApplyEvacuation(command, &evacuations_);
  if (outcome.code == result_code::kInvalidField) {
    outcome = Refuse(outcome.code,
                     "allowed: 1 to 128 letters, digits, '-', '_' and '.', and "
                     "256 evacuated zones");
  }
  outcome.version = evacuations_.version;
  if (outcome.code == result_code::kOk) {
    zone_orders_.OnOrder(command.zone, outcome.version);
  }
  return outcome;
}

zone_order_state control_state::ZoneOrders(
    const availability_zone& zone) const {
  return {evacuations_.version, zone_orders_.LatestOrder(zone),
          std::ranges::binary_search(evacuations_.zones, zone)};
}

control_outcome control_state::ApplyCommand(const request_begin& command) {
  if (!HasLengthUpTo(command.caller, kMaxCallerBytes) ||
      !HasLengthUpTo(command.key, kMaxKeyBytes) ||
      !HasLengthUpTo(command.target, kMaxNameBytes) ||
      !HasLengthUpTo(command.run.origin, kMaxNameBytes) ||
      command.run.run_id == 0) {
    return Refuse(result_code::kInvalidField,
                  "allowed: caller and key of 1 to 256 bytes, "
                  "target and origin of 1 to 64 bytes, run_id above 0");
  }
  const bool too_old =
      command.issued_at_ms <= now_ms_ - options_.request_retention_ms &&
      !HasFault(control_fault::kAcceptExpiredKey);
  if (too_old || command.issued_at_ms > now_ms_ + options_.max_clock_skew_ms) {
    return Refuse(result_code::kIdempotencyKeyExpired);
  }
  const request_key key{command.caller, command.key};
  auto found = requests_.find(key);
  if (found == requests_.end()) {
    if (requests_.size() >= options_.max_requests) {
      return Refuse(result_code::kOverloaded, "the ledger is full");
    }
    found = requests_.emplace(key, request_record{}).first;
    found->second.phase = request_phase::kAbandoned;
    found->second.retain_from_ms = command.issued_at_ms;
    request_order_.emplace(command.issued_at_ms, key);
  }
  request_record& record = found->second;
  // A record without a target only stores runs that were abandoned before
  // their request_begin was applied.
  if (!record.target.empty() && !HasFault(control_fault::kIgnoreBodyHash) &&
      (record.body_hash != command.body_hash ||
       record.target != command.target)) {
    return Refuse(result_code::kIdempotencyKeyReused);
  }
  ExtendRetention(key, command.issued_at_ms, &record);
  if (!HasFault(control_fault::kDropAbandonedRuns) &&
      std::ranges::find(record.abandoned_runs, command.run) !=
          record.abandoned_runs.end()) {
    return Refuse(result_code::kCancelled, "this run was abandoned");
  }
  control_outcome outcome;
  if (record.phase == request_phase::kFinished &&
      !HasFault(control_fault::kRunAfterFinish)) {
    outcome.decision = request_decision::kRecorded;
    outcome.recorded_code = record.code;
    outcome.recorded_answer = record.answer;
    outcome.answer_omitted = record.answer_omitted;
    return outcome;
  }
  if (record.phase == request_phase::kRunning && record.run != command.run &&
      !HasFault(control_fault::kRunWhileRunning)) {
    outcome.code = result_code::kStillRunning;
    outcome.decision = request_decision::kWait;
    return outcome;
  }
  outcome.decision = request_decision::kRun;
  // The same command was applied before; it was sent again, for example after
  // a lost reply.
  if (record.phase == request_phase::kRunning && record.run == command.run) {
    return outcome;
  }
  record.phase = request_phase::kRunning;
  record.run = command.run;
  record.target = command.target;
  record.body_hash = command.body_hash;
  record.issued_at_ms = command.issued_at_ms;
  record.begun_at_ms = now_ms_;
  record.ended_at_ms = 0;
  record.deadline_ms = command.deadline_ms;
  record.idempotent = command.idempotent;
  record.keep = command.keep;
  return outcome;
}

control_outcome control_state::ApplyCommand(const request_finish& command) {
  const auto found = requests_.find({command.caller, command.key});
  if (found == requests_.end()) {
    return Refuse(result_code::kIdempotencyKeyExpired);
  }
  request_record& record = found->second;
  if (record.phase == request_phase::kAbandoned ||
      (record.run != command.run &&
       !HasFault(control_fault::kFinishByAnyRun))) {
    return Refuse(result_code::kCancelled,
                  "this run does not hold the request");
  }
  control_outcome outcome;
  if (record.phase == request_phase::kRunning) {
    record.phase = request_phase::kFinished;
    record.code = command.code;
    record.ended_at_ms = now_ms_;
    record.answer_omitted =
        command.answer.size() > options_.max_answer_bytes ||
        answer_bytes_ + command.answer.size() > options_.max_total_answer_bytes;
    if (!record.answer_omitted) {
      record.answer = command.answer;
      answer_bytes_ += record.answer.size();
    }
  }
  // A repeated command returns the outcome that was recorded first.
  outcome.decision = request_decision::kRecorded;
  outcome.recorded_code = record.code;
  outcome.answer_omitted = record.answer_omitted;
  return outcome;
}

control_outcome control_state::ApplyCommand(const request_abandon& command) {
  if (!HasLengthUpTo(command.caller, kMaxCallerBytes) ||
      !HasLengthUpTo(command.key, kMaxKeyBytes) ||
      !HasLengthUpTo(command.run.origin, kMaxNameBytes) ||
      command.run.run_id == 0) {
    return Refuse(result_code::kInvalidField);
  }
  const request_key key{command.caller, command.key};
  auto found = requests_.find(key);
  if (found == requests_.end()) {
    if (requests_.size() >= options_.max_requests) {
      return Refuse(result_code::kOverloaded, "the ledger is full");
    }
    found = requests_.emplace(key, request_record{}).first;
    found->second.phase = request_phase::kAbandoned;
    found->second.retain_from_ms = now_ms_;
    request_order_.emplace(now_ms_, key);
  }
  request_record& record = found->second;
  const bool holds_request =
      record.run == command.run || HasFault(control_fault::kAbandonByAnyRun);
  if (holds_request && record.phase == request_phase::kFinished) {
    return Refuse(result_code::kCancelled, "this run has finished");
  }
  if (holds_request && record.phase == request_phase::kRunning) {
    record.phase = request_phase::kAbandoned;
    record.ended_at_ms = now_ms_;
  }
  // The request_begin of this run may still be in transit and must be refused
  // when it arrives. Its issue time is at most the latest that is accepted now.
  ExtendRetention(key, now_ms_ + options_.max_clock_skew_ms, &record);
  auto& runs = record.abandoned_runs;
  if (std::ranges::find(runs, command.run) == runs.end()) {
    runs.push_back(command.run);
    if (runs.size() > options_.max_abandoned_runs) runs.erase(runs.begin());
  }
  return {};
}

void control_state::ExtendRetention(const request_key& key, wall_time_ms at,
                                    request_record* record) {
  if (at <= record->retain_from_ms) return;
  request_order_.erase({record->retain_from_ms, key});
  request_order_.emplace(at, key);
  record->retain_from_ms = at;
}

void control_state::RemoveExpiredRecords() {
  int removals_left = kMaxRemovalsPerApply;
  const wall_time_ms oldest_change = now_ms_ - options_.change_id_retention_ms;
  while (removals_left > 0 && !change_order_.empty() &&
         change_order_.front().first <= oldest_change) {
    const auto& [recorded_at, id] = change_order_.front();
    const auto change = changes_.find(id);
    // The id may have been reused after its first record expired. Snapshots
    // omit such stale entries, so they must not count towards the bound: all
    // members must remove the same records at the same log entry.
    if (change != changes_.end() &&
        change->second.recorded_at_ms == recorded_at) {
      changes_.erase(change);
      --removals_left;
    }
    change_order_.pop_front();
  }
  const wall_time_ms retention = HasFault(control_fault::kExpireLedgerEarly)
                                     ? options_.request_retention_ms / 2
                                     : options_.request_retention_ms;
  while (removals_left > 0 && !request_order_.empty() &&
         request_order_.begin()->first <= now_ms_ - retention) {
    const auto found = requests_.find(request_order_.begin()->second);
    answer_bytes_ -= found->second.answer.size();
    requests_.erase(found);
    request_order_.erase(request_order_.begin());
    --removals_left;
  }
}

std::vector<shard_set_record> control_state::ShardSets() const {
  std::vector<shard_set_record> result;
  for (const auto& [service, versions] : shard_sets_) {
    for (const auto& [version, count] : versions) {
      result.push_back({service, version, count});
    }
  }
  return result;
}

const request_record* control_state::FindRequest(std::string_view caller,
                                                 std::string_view key) const {
  const auto found = requests_.find({std::string(caller), std::string(key)});
  return found != requests_.end() ? &found->second : nullptr;
}

}  // namespace bilberrycourse
