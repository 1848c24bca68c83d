#ifndef BILBERRYCOURSE_TYPES_H_
#define BILBERRYCOURSE_TYPES_H_

// Identifiers, time and small value types that are used throughout the library.
//
// The library does not read a clock. Every event carries `now`, a time_point
// relative to an arbitrary epoch, so that tests can run in virtual time:
//
//   time_point now{};
//   now += std::chrono::milliseconds(10);
//   part.Tick(now, &effects);

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberrycourse {

using duration = std::chrono::microseconds;

// Clock type of time_point. It has no now(), so that the library cannot read
// the time.
struct virtual_clock {
  using duration = std::chrono::microseconds;
};

using time_point = std::chrono::time_point<virtual_clock, duration>;

// Milliseconds since the Unix epoch; used only where a person or another
// process reads the time.
using wall_time_ms = std::int64_t;

// A request of a caller, unique within the origin instance that received it.
enum class query_id : std::uint64_t {};
// One sub-request of a query to one shard, unique within its origin instance.
enum class shard_request_id : std::uint64_t {};
// One transmission to one searcher, unique within its owner instance.
enum class attempt_id : std::uint64_t {};
// One TCP connection to a searcher, unique within the process.
enum class connection_id : std::uint64_t {};
// How a connection to a searcher ended.
enum class connection_end : std::uint8_t {
  // It could not be opened.
  kNotOpened = 0,
  kLost = 1,
  // The searcher sent more bytes than one exchange may have.
  kReplyLimit = 2,
  // The searcher sent a status that no reply to the request can have.
  kInvalidStatus = 3,
};
// An index version; versions of a service grow with time.
enum class index_version : std::uint64_t {};
// Hash of a request's content, excluding caller and request id.
enum class fingerprint : std::uint64_t {};
// Id of one log member. A member that lost its disk gets a new id.
enum class member_id : std::uint64_t {};

// Returns `value` times `factor`, rounded down to a microsecond.
inline duration Scaled(duration value, double factor) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

// Name of an instance of the tier, from its settings.
using instance_name = std::string;
using availability_zone = std::string;
using caller_name = std::string;

// One shard of one service.
struct shard_key {
  std::string service;
  std::uint32_t shard = 0;
  // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const shard_key&) const = default;
};

// One replica of one shard.
struct backend_server_key {
  shard_key shard;
  std::string replica;
  // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const backend_server_key&) const = default;
};

// Request and reply bodies are shared, never copied, between attempts.
using shared_body = std::shared_ptr<const std::string>;

inline std::string ToString(const shard_key& key) {
  return key.service + "/" + std::to_string(key.shard);
}

inline std::string ToString(const backend_server_key& key) {
  return ToString(key.shard) + "/" + key.replica;
}

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_TYPES_H_
