// Runs random event histories of one origin against an oracle that knows which
// requests ran: late, duplicate, reordered and lost results, disconnected
// owners, version changes, repartitions and callers that disconnect.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bilberrycourse/query_coordinator.h"

namespace bilberrycourse {
namespace {

using std::chrono::milliseconds;

// State of one query as known to the simulated owners.
struct oracle_query {
  query_request request;
  bool caller_disconnected = false;
  int answers = 0;
  bool ran = false;
  // Shards whose successful result has reached the coordinator, by version.
  std::set<std::pair<index_version, shard_key>> delivered;
  // Shards on which the request may have run; a non-idempotent request must not
  // be sent to them again.
  std::set<shard_key> may_have_run;
  bool grant_open = false;
};

struct oracle_request {
  query_id query{};
  shard_request request;
  bool ended = false;
  // The coordinator ignores the result of a cancelled request, so it counts as
  // one that may have run.
  bool cancelled = false;
};

class coordinator_model {
 public:
  coordinator_model() : coordinator_(&directory_, {}) {
    directory_.SetGroup("group", {"x", "y"});
    for (std::uint64_t v = 1; v <= 3; ++v) {
      // "x" is divided into 1, 2 and 1 shards.
      shard_counts_[{"x", index_version{v}}] = v == 2 ? 2 : 1;
      shard_counts_[{"y", index_version{v}}] = 2;
    }
    for (const auto& [key, count] : shard_counts_) {
      directory_.RecordShardSet(key.first, key.second, count);
    }
    for (std::uint32_t i = 0; i < 4; ++i) Announce(i % 2, i / 2, 1, true);
  }

  void Step(std::uint8_t action, std::uint32_t choice) {
    now_ += milliseconds(choice % 7);
    switch (action % 10) {
      case 0:
      case 1:
        Submit(choice);
        break;
      case 2:
        if (!queries_.empty()) Admit(choice);
        break;
      case 3:
      case 4:
      case 5:
        if (!requests_.empty()) Deliver(choice);
        break;
      case 6:
        if (!requests_.empty()) FailOwner(choice);
        break;
      case 7:
        Announce(choice % 2, choice / 2 % 2, choice / 4 % 3 + 1,
                 choice / 16 % 4 != 0);
        break;
      case 8:
        if (!queries_.empty()) DisconnectCaller(choice);
        break;
      default:
        now_ += milliseconds(choice % 60);
        coordinator_.Tick(now_, &out_);
    }
    CheckEffects();
  }

  void End() {
    now_ += milliseconds(20000);
    coordinator_.Tick(now_, &out_);
    CheckEffects();
    RC_ASSERT(coordinator_.in_flight() == 0u);
    RC_ASSERT(!coordinator_.next_due().has_value());
    for (const auto& [id, query] : queries_) {
      RC_ASSERT(query.answers == (query.caller_disconnected ? 0 : 1));
      RC_ASSERT(!query.grant_open);
    }
  }

 private:
  void Announce(std::uint32_t service, std::uint32_t shard,
                std::uint64_t version, bool serving) {
    backend_server_record record;
    record.key = {{service == 0 ? "x" : "y", shard}, "a"};
    record.shard_count =
        shard_counts_.at({record.key.shard.service, index_version{version}});
    if (shard >= record.shard_count) return;
    record.sequence = ++sequence_;
    record.versions = {index_version{version}};
    if (!serving) record.state = backend_server_state::kDraining;
    directory_.UpdateBackendServer(record);
  }

  void Submit(std::uint32_t choice) {
    oracle_query query;
    query.request.query = query_id{queries_.size() + 1};
    constexpr const char* kTargets[] = {"group", "x", "y"};
    query.request.target = kTargets[choice % 3];
    query.request.caller = "caller";
    query.request.content = fingerprint{choice};
    query.request.deadline = now_ + milliseconds(choice % 300);
    query.request.idempotent = choice % 4 != 0;
    query.request.canary_needed = choice % 5 == 0;
    query.request.policy.admission = choice % 2 == 0;
    query.request.policy.coverage_first = choice % 7 != 0;
    query.request.policy.straggler_cutoff = milliseconds(30);
    const query_request request = query.request;
    queries_[request.query] = query;
    RC_ASSERT(coordinator_.Submit(request, now_, &out_) == result_code::kOk);
  }

  void Admit(std::uint32_t choice) {
    const query_id id{queries_.size() -
                      choice % std::min<std::size_t>(4, queries_.size())};
    const bool granted = choice % 5 != 0;
    oracle_query& query = queries_.at(id);
    // A refusal is only possible while the query holds an admission request.
    if (!granted && !query.grant_open) return;
    if (!granted && !IsSent(id)) {
      query.grant_open = false;
      coordinator_.OnAdmission(id, false, result_code::kOverloaded, {}, now_,
                               &out_);
    } else if (granted) {
      coordinator_.OnAdmission(id, true, result_code::kOk, {}, now_, &out_);
    }
  }

  bool IsSent(query_id id) const {
    return std::ranges::any_of(requests_, [id](const oracle_request& item) {
      return item.query == id;
    });
  }

  // Returns one of the last 16 requests; its query may have ended.
  oracle_request& Recent(std::uint32_t choice) {
    const std::size_t size = requests_.size();
    return requests_[size - 1 - choice % std::min<std::size_t>(size, 16)];
  }

  // Delivers a result, which may be a duplicate or belong to an ended query.
  void Deliver(std::uint32_t choice) {
    constexpr result_code kCodes[] = {
        result_code::kOk,          result_code::kOk,
        result_code::kOk,          result_code::kBackendServerShed,
        result_code::kVersionGone, result_code::kBackendServerCrashed,
        result_code::kNotOwner,    result_code::kBackendServerFailed};
    oracle_request& item = Recent(choice);
    oracle_query& query = queries_.at(item.query);
    shard_result result;
    result.id = item.request.id;
    result.code = kCodes[choice / 64 % std::size(kCodes)];
    result.version = item.request.version;
    result.attempts = choice % 3;
    if (result.code == result_code::kOk && choice / 512 % 8 == 0) {
      result.version = index_version{9};
    }
    result.not_run = result.code == result_code::kBackendServerShed ||
                     result.code == result_code::kVersionGone ||
                     result.code == result_code::kNotOwner;
    result.body = std::make_shared<const std::string>(
        Body(item.query, item.request.shard, result.version));
    if (!item.ended && !item.cancelled && query.answers == 0) {
      if (!result.not_run) {
        query.ran = true;
        query.may_have_run.insert(item.request.shard);
      }
      if (result.code == result_code::kOk) {
        query.delivered.insert({result.version, item.request.shard});
      }
    }
    item.ended = true;
    coordinator_.OnShardResult(result, now_, &out_);
  }

  // Reports the owner of a request as unresponsive or disconnected.
  void FailOwner(std::uint32_t choice) {
    oracle_request& item = Recent(choice);
    const std::vector<shard_request_id> ids = {item.request.id};
    if (choice / 64 % 2 == 0) {
      coordinator_.OnOwnerUnresponsive(ids, now_, &out_);
      return;
    }
    oracle_query& query = queries_.at(item.query);
    if (!item.ended && query.answers == 0) {
      query.ran = true;
      query.may_have_run.insert(item.request.shard);
    }
    item.ended = true;
    coordinator_.OnOwnerDisconnected(ids, now_, &out_);
  }

  void DisconnectCaller(std::uint32_t choice) {
    oracle_query& query = queries_.at(query_id{choice % queries_.size() + 1});
    if (query.answers > 0) return;
    query.caller_disconnected = true;
    coordinator_.OnCallerDisconnected(query.request.query, now_, &out_);
  }

  static std::string Body(query_id query, const shard_key& shard,
                          index_version version) {
    return std::to_string(static_cast<std::uint64_t>(query)) + ":" +
           ToString(shard) + "@" +
           std::to_string(static_cast<std::uint64_t>(version));
  }

  void CheckEffects() {
    for (const coordinator_effect& effect : out_) {
      if (const auto* item = std::get_if<request_admission>(&effect)) {
        queries_.at(item->query).grant_open = true;
      } else if (const auto* item = std::get_if<release_admission>(&effect)) {
        oracle_query& query = queries_.at(item->query);
        RC_ASSERT(query.grant_open);
        query.grant_open = false;
      } else if (const auto* item = std::get_if<send_shard_request>(&effect)) {
        const oracle_query& query = queries_.at(item->query);
        RC_ASSERT(query.answers == 0 && !query.caller_disconnected);
        RC_ASSERT(query.request.idempotent ||
                  !query.may_have_run.contains(item->request.shard));
        RC_ASSERT(seen_request_ids_.insert(item->request.id).second);
        requests_.push_back({item->query, item->request});
      } else if (const auto* item =
                     std::get_if<cancel_shard_requests>(&effect)) {
        for (oracle_request& request : requests_) {
          if (std::ranges::count(item->requests, request.request.id) > 0) {
            RC_ASSERT(!request.ended && !request.cancelled);
            request.cancelled = true;
          }
        }
      } else if (const auto* item = std::get_if<query_answer>(&effect)) {
        CheckAnswer(*item);
      }
    }
    out_.clear();
  }

  void CheckAnswer(const query_answer& item) {
    oracle_query& query = queries_.at(item.query);
    ++query.answers;
    const query_coverage& coverage = item.coverage;
    RC_ASSERT(coverage.searched == item.results.size());
    RC_ASSERT(coverage.searched + coverage.missing.size() == coverage.total);
    std::set<shard_key> seen_shards;
    for (const shard_answer& result : item.results) {
      RC_ASSERT(seen_shards.insert(result.shard).second);
      RC_ASSERT(*result.body == Body(item.query, result.shard, *item.snapshot));
      RC_ASSERT(query.delivered.contains({*item.snapshot, result.shard}));
    }
    for (const missing_shard& missing : coverage.missing) {
      RC_ASSERT(seen_shards.insert(missing.shard).second);
      RC_ASSERT(missing.code != result_code::kOk);
      // A shard whose result arrived is reported as missing only if the answer
      // is from the first snapshot and the result belongs to the second.
      RC_ASSERT(item.restarted ||
                !query.delivered.contains({*item.snapshot, missing.shard}));
    }
    // A request without a result may have run.
    const bool ran =
        query.ran || std::ranges::any_of(requests_, [&](const auto& request) {
          return request.query == item.query &&
                 (request.cancelled || !request.ended);
        });
    const bool complete =
        coverage.total > 0 && coverage.searched == coverage.total;
    RC_ASSERT(item.outcome == (complete ? query_outcome::kComplete
                               : !ran   ? query_outcome::kNotRun
                               : query.request.idempotent
                                   ? query_outcome::kPartial
                                   : query_outcome::kUnknown));
  }

  shard_directory directory_;
  query_coordinator coordinator_;
  time_point now_{};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<std::string, index_version>, std::uint32_t> shard_counts_;
  std::map<query_id, oracle_query> queries_;
  std::vector<oracle_request> requests_;
  std::set<shard_request_id> seen_request_ids_;
  query_coordinator::effects out_;
};

// Guards against lost, duplicate or incorrect answers in any order of events.
RC_GTEST_PROP(query_coordinator_property_test, RandomHistory_AnswersMatchOracle,
              ()) {
  const auto steps =
      *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint32_t>>>(
          1000, rc::gen::pair(rc::gen::arbitrary<std::uint8_t>(),
                              rc::gen::inRange<std::uint32_t>(0, 1u << 16)));
  coordinator_model model;
  for (const auto& [action, choice] : steps) model.Step(action, choice);
  model.End();
}

}  // namespace
}  // namespace bilberrycourse
