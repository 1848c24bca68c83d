#ifndef APP_MESSAGE_IDS_H_
#define APP_MESSAGE_IDS_H_

// Ids of messages that another process answers. A process that restarts keeps
// its name, so ids that start at 1 in each process would match answers to
// requests of the process before.
//
//   std::uint64_t next_id_ = FirstMessageId();
//   request.id = next_id_++;

#include <cstdint>

namespace bilberrycourse {

// Returns a random number above 0 that leaves room to count from it.
std::uint64_t FirstMessageId();

}  // namespace bilberrycourse

#endif  // APP_MESSAGE_IDS_H_
