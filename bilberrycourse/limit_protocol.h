#ifndef BILBERRYCOURSE_LIMIT_PROTOCOL_H_
#define BILBERRYCOURSE_LIMIT_PROTOCOL_H_

// Messages between entry instances and the limit_allocator, which divides the
// request limits of searchers among them. Ages are counted from the sending of
// a message, so that no two clocks need to agree.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// What an instance knows about the request limit of one searcher.
struct limit_statement {
  std::string searcher;
  // Identifies the process of the searcher; see searcher_report.
  wall_time_ms started_at_ms = 0;
  // Requests per second of the whole tier; empty if the searcher does not limit
  // its requests.
  std::optional<double> per_second;
  // Time since the reply that stated it.
  duration age{0};
};

// Permissions that an entry instance wants at once.
struct limit_want {
  limit_statement statement;
  // Rank of the requests' route; 0 is the most urgent.
  std::uint32_t priority = 0;
  std::uint32_t wanted = 0;
};

// Statements without a want are notifications only.
struct limit_request {
  std::uint64_t id = 0;
  std::vector<limit_want> wants;
  std::vector<limit_statement> statements;
};

struct limit_grant {
  // The newest statement that the allocator knows.
  limit_statement statement;
  std::uint32_t priority = 0;
  std::uint32_t granted = 0;
  // If fewer were granted than wanted: time until the next may be available.
  duration retry_in{0};
};

// The reply to the limit_request with the same id; with id 0 an unsolicited
// notification, which has no grants.
struct limit_reply {
  std::uint64_t id = 0;
  // False if the receiver does not allocate limits; nothing was granted.
  bool allocated = false;
  std::vector<limit_grant> grants;
  std::vector<limit_statement> statements;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_LIMIT_PROTOCOL_H_
