#include "app/limit_frames.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "app/frames.h"

namespace bilberrycourse {
namespace {

// Longest age or time that a message can carry.
constexpr std::uint64_t kMaxMicros = 24ULL * 3600 * 1'000'000;

duration FromMicros(std::uint64_t micros) {
  return duration(static_cast<duration::rep>(std::min(micros, kMaxMicros)));
}

std::uint64_t ToMicros(duration value) {
  return static_cast<std::uint64_t>(std::max<duration::rep>(value.count(), 0));
}

std::unique_ptr<wire::limit_statementT> ToWire(
    const limit_statement& statement) {
  auto out = std::make_unique<wire::limit_statementT>();
  out->searcher = statement.searcher;
  out->started_at_ms = statement.started_at_ms;
  out->limited = statement.per_second.has_value();
  out->per_second = statement.per_second.value_or(0);
  out->age_us = ToMicros(statement.age);
  return out;
}

// Returns false if the statement is missing or invalid.
bool FromWire(const wire::limit_statement* statement, limit_statement* out) {
  if (statement == nullptr || statement->searcher() == nullptr) return false;
  const double per_second = statement->per_second();
  if (!std::isfinite(per_second) || per_second < 0) return false;
  out->searcher = statement->searcher()->str();
  out->started_at_ms = statement->started_at_ms();
  if (statement->limited()) out->per_second = per_second;
  out->age = FromMicros(statement->age_us());
  return true;
}

template <typename Statements>
std::vector<limit_statement> StatementsFromWire(const Statements* statements) {
  std::vector<limit_statement> out;
  if (statements == nullptr) return out;
  for (const wire::limit_statement* statement : *statements) {
    limit_statement parsed;
    if (FromWire(statement, &parsed)) out.push_back(std::move(parsed));
  }
  return out;
}

}  // namespace

wire::limit_requestT ToWire(const limit_request& request) {
  wire::limit_requestT out;
  out.id = request.id;
  for (const limit_want& want : request.wants) {
    auto out_want = std::make_unique<wire::limit_wantT>();
    out_want->statement = ToWire(want.statement);
    out_want->priority = want.priority;
    out_want->wanted = want.wanted;
    out.wants.push_back(std::move(out_want));
  }
  for (const limit_statement& statement : request.statements) {
    out.statements.push_back(ToWire(statement));
  }
  return out;
}

limit_request FromWire(const wire::limit_request& request) {
  limit_request out;
  out.id = request.id();
  if (request.wants() != nullptr) {
    for (const wire::limit_want* want : *request.wants()) {
      limit_want parsed;
      if (!FromWire(want->statement(), &parsed.statement)) continue;
      parsed.priority = want->priority();
      parsed.wanted = want->wanted();
      out.wants.push_back(std::move(parsed));
    }
  }
  out.statements = StatementsFromWire(request.statements());
  return out;
}

wire::limit_replyT ToWire(const limit_reply& reply) {
  wire::limit_replyT out;
  out.id = reply.id;
  out.allocated = reply.allocated;
  for (const limit_grant& grant : reply.grants) {
    auto out_grant = std::make_unique<wire::limit_grantT>();
    out_grant->statement = ToWire(grant.statement);
    out_grant->priority = grant.priority;
    out_grant->granted = grant.granted;
    out_grant->retry_in_us = ToMicros(grant.retry_in);
    out.grants.push_back(std::move(out_grant));
  }
  for (const limit_statement& statement : reply.statements) {
    out.statements.push_back(ToWire(statement));
  }
  return out;
}

limit_reply FromWire(const wire::limit_reply& reply) {
  limit_reply out;
  out.id = reply.id();
  out.allocated = reply.allocated();
  if (reply.grants() != nullptr) {
    for (const wire::limit_grant* grant : *reply.grants()) {
      limit_grant parsed;
      if (!FromWire(grant->statement(), &parsed.statement)) continue;
      parsed.priority = grant->priority();
      parsed.granted = grant->granted();
      parsed.retry_in = FromMicros(grant->retry_in_us());
      out.grants.push_back(std::move(parsed));
    }
  }
  out.statements = StatementsFromWire(reply.statements());
  return out;
}

}  // namespace bilberrycourse
