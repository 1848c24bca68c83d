#include "app/frames.h"

#include <algorithm>
#include <memory>

#include "app/daemon_clock.h"

namespace bilberrycourse {
namespace {

// Longer times in a frame are cut to one hour, so that a corrupt value can't
// overflow.
constexpr std::uint64_t kMaxWireMicros = 3'600'000'000;

std::uint64_t ToMicros(duration d) {
  return d.count() > 0 ? static_cast<std::uint64_t>(d.count()) : 0;
}

duration FromMicros(std::uint64_t us) {
  return duration(static_cast<duration::rep>(std::min(us, kMaxWireMicros)));
}

shared_body ToBody(const flatbuffers::Vector<std::uint8_t>* bytes) {
  return std::make_shared<const std::string>(ToText(bytes));
}

}  // namespace

wire::shard_requestT ToWire(const shard_request& request, time_point now) {
  wire::shard_requestT out;
  out.request_id = static_cast<std::uint64_t>(request.id);
  out.service = request.shard.service;
  out.shard = request.shard.shard;
  out.version = static_cast<std::uint64_t>(request.version);
  out.remaining_us = ToMicros(Remaining(request.deadline, now));
  out.caller = request.caller;
  out.scope = request.scope;
  out.fingerprint = static_cast<std::uint64_t>(request.content);
  out.idempotent = request.idempotent;
  out.canary = request.canary;
  out.deputy = request.deputy;
  out.proven = request.proven;
  if (request.body != nullptr) out.body = ToBytes(*request.body);
  out.traceparent = request.traceparent;
  return out;
}

shard_request FromWire(const wire::shard_request& request, time_point now) {
  shard_request out;
  out.id = shard_request_id{request.request_id()};
  out.shard = {ToText(request.service()), request.shard()};
  out.version = index_version{request.version()};
  out.deadline = now + FromMicros(request.remaining_us());
  out.caller = ToText(request.caller());
  out.scope = ToText(request.scope());
  out.content = fingerprint{request.fingerprint()};
  out.idempotent = request.idempotent();
  out.canary = request.canary();
  out.deputy = request.deputy();
  out.proven = request.proven();
  out.body = ToBody(request.body());
  out.traceparent = ToText(request.traceparent());
  return out;
}

wire::shard_resultT ToWire(const shard_result& result) {
  wire::shard_resultT out;
  out.request_id = static_cast<std::uint64_t>(result.id);
  out.code = static_cast<std::uint16_t>(result.code);
  out.not_run = result.not_run;
  out.version = static_cast<std::uint64_t>(result.version);
  out.replica = result.replica;
  out.attempts = result.attempts;
  out.queue_wait_us = ToMicros(result.queue_wait);
  out.service_time_us = ToMicros(result.service_time);
  if (result.body != nullptr) out.body = ToBytes(*result.body);
  return out;
}

shard_result FromWire(const wire::shard_result& result) {
  shard_result out;
  out.id = shard_request_id{result.request_id()};
  out.code = ResultCodeFromNumber(result.code());
  out.not_run = result.not_run();
  out.version = index_version{result.version()};
  out.replica = ToText(result.replica());
  out.attempts = result.attempts();
  out.queue_wait = FromMicros(result.queue_wait_us());
  out.service_time = FromMicros(result.service_time_us());
  out.body = ToBody(result.body());
  return out;
}

wire::admission_requestT ToWire(const admission_request& request,
                                time_point now) {
  wire::admission_requestT out;
  out.scope = request.scope;
  out.query = static_cast<std::uint64_t>(request.query);
  out.caller = request.caller;
  out.weight = request.weight;
  out.max_wait_us = ToMicros(request.max_wait);
  out.remaining_us = ToMicros(Remaining(request.deadline, now));
  out.running = request.running;
  return out;
}

admission_request FromWire(const wire::admission_request& request,
                           time_point now) {
  admission_request out;
  out.query = query_id{request.query()};
  out.scope = ToText(request.scope());
  out.caller = ToText(request.caller());
  out.weight = request.weight();
  out.max_wait = FromMicros(request.max_wait_us());
  out.deadline = now + FromMicros(request.remaining_us());
  out.running = request.running();
  return out;
}

wire::admission_decisionT ToWire(const admission_decision& decision) {
  wire::admission_decisionT out;
  out.scope = decision.scope;
  out.query = static_cast<std::uint64_t>(decision.query);
  out.verdict = static_cast<std::uint8_t>(decision.verdict);
  out.code = static_cast<std::uint16_t>(decision.code);
  out.retry_after_us = ToMicros(decision.retry_after);
  out.limit = decision.limit;
  return out;
}

admission_decision FromWire(const wire::admission_decision& decision) {
  admission_decision out;
  out.query = query_id{decision.query()};
  out.scope = ToText(decision.scope());
  // An unknown verdict from a newer version is treated as a refusal, for which
  // nothing has run.
  out.verdict = decision.verdict() <=
                        static_cast<std::uint8_t>(admission_verdict::kQueued)
                    ? static_cast<admission_verdict>(decision.verdict())
                    : admission_verdict::kRefused;
  out.code = ResultCodeFromNumber(decision.code());
  out.retry_after = FromMicros(decision.retry_after_us());
  out.limit = decision.limit();
  return out;
}

wire::admission_releaseT ToWire(const admission_release& release) {
  wire::admission_releaseT out;
  out.scope = release.scope;
  out.query = static_cast<std::uint64_t>(release.query);
  out.measured = release.measured;
  out.queue_wait_us = ToMicros(release.queue_wait);
  out.service_time_us = ToMicros(release.service_time);
  return out;
}

admission_release FromWire(const wire::admission_release& release) {
  admission_release out;
  out.query = query_id{release.query()};
  out.scope = ToText(release.scope());
  out.measured = release.measured();
  out.queue_wait = FromMicros(release.queue_wait_us());
  out.service_time = FromMicros(release.service_time_us());
  return out;
}

}  // namespace bilberrycourse
