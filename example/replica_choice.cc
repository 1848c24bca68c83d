// Embeds one component of libbilberrycourse: a shard_dispatcher that chooses
// between two replicas of one shard in virtual time. The program opens no
// socket and simulates the network.
//
// Build it against an installed library:
//
//     find_package(bilberrycourse REQUIRED)
//     target_link_libraries(my_program bilberrycourse::bilberrycourse)

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <variant>

#include "bilberrycourse/shard_dispatcher.h"

namespace {

using bilberrycourse::attempt_reply;
using bilberrycourse::attempt_reply_kind;
using bilberrycourse::backend_server_record;
using bilberrycourse::Describe;
using bilberrycourse::dispatch_effect;
using bilberrycourse::dispatch_effects;
using bilberrycourse::finish_request;
using bilberrycourse::index_version;
using bilberrycourse::open_connection;
using bilberrycourse::send_attempt;
using bilberrycourse::shard_dispatcher;
using bilberrycourse::shard_key;
using bilberrycourse::shard_request;
using bilberrycourse::shard_request_id;
using bilberrycourse::time_point;

constexpr index_version kVersion{1};

backend_server_record Searcher(const std::string& replica) {
  backend_server_record record;
  record.key = {{"catalogue", 0}, replica};
  record.incarnation = 1;
  record.address = "127.0.0.1:1";
  record.slots = 2;
  record.connection_limit = 25;
  record.versions = {kVersion};
  return record;
}

// Opens connections immediately and answers every attempt 5 ms after `now`.
// Repeats this with the effects that follow until there are none.
void SimulateNetwork(shard_dispatcher* dispatcher, dispatch_effects effects,
                     time_point now) {
  while (!effects.empty()) {
    dispatch_effects next_effects;
    for (const dispatch_effect& effect : effects) {
      if (const auto* open = std::get_if<open_connection>(&effect)) {
        dispatcher->OnConnectionOpened(open->connection, now, &next_effects);
      } else if (const auto* send = std::get_if<send_attempt>(&effect)) {
        std::cout << "attempt on replica " << send->server.replica << "\n";
        const attempt_reply reply{attempt_reply_kind::kOk, kVersion,
                                  std::make_shared<const std::string>("{}")};
        dispatcher->OnReply(send->attempt, reply,
                            now + std::chrono::milliseconds(5), &next_effects);
      } else if (const auto* finish = std::get_if<finish_request>(&effect)) {
        std::cout << "result of request "
                  << static_cast<std::uint64_t>(finish->result.id) << ": "
                  << Describe(finish->result.code).name << "\n";
      }
    }
    effects = std::move(next_effects);
  }
}

}  // namespace

int main() {
  shard_dispatcher dispatcher;
  dispatch_effects effects;
  time_point now{};
  dispatcher.SetSendingAllowed(true, now, &effects);
  dispatcher.SetShardOwned({"catalogue", 0}, true, now, &effects);
  dispatcher.UpdateBackendServer(Searcher("r1"), now, &effects);
  dispatcher.UpdateBackendServer(Searcher("r2"), now, &effects);
  SimulateNetwork(&dispatcher, std::move(effects), now);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    shard_request request;
    request.id = shard_request_id{id};
    request.shard = shard_key{"catalogue", 0};
    request.version = kVersion;
    request.deadline = now + std::chrono::seconds(1);
    request.caller = "example";
    request.body = std::make_shared<const std::string>("{}");
    dispatch_effects submitted;
    dispatcher.Submit("origin", request, now, &submitted);
    SimulateNetwork(&dispatcher, std::move(submitted), now);
    now += std::chrono::milliseconds(10);
  }
  return 0;
}
