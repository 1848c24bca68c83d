#ifndef BILBERRYCOURSE_BACKEND_SERVER_RECORD_H_
#define BILBERRYCOURSE_BACKEND_SERVER_RECORD_H_

// What one searcher announces about itself.

#include <cstdint>
#include <string>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

enum class backend_server_state : std::uint8_t { kServing, kDraining, kLost };

struct backend_server_record {
  backend_server_key key;
  // Number of shards of the service at the announced versions.
  std::uint32_t shard_count = 1;
  // Increases with each start of the searcher; a lower one is stale.
  std::uint64_t incarnation = 0;
  // Increases with each changed announcement within one incarnation.
  std::uint64_t sequence = 0;
  // IP address and port, for example "127.0.0.1:9000".
  std::string address;
  availability_zone zone;
  std::uint32_t slots = 1;
  std::uint32_t connection_limit = 1;
  // Index versions served, ascending.
  std::vector<index_version> versions;
  backend_server_state state = backend_server_state::kServing;
  // The instance that receives the renewals of this searcher.
  instance_name registrar;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_BACKEND_SERVER_RECORD_H_
