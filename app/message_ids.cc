#include "app/message_ids.h"

#include <openssl/rand.h>

#include <cstring>

namespace bilberrycourse {

std::uint64_t FirstMessageId() {
  unsigned char bytes[sizeof(std::uint64_t)];
  RAND_bytes(bytes, sizeof(bytes));
  std::uint64_t id = 0;
  std::memcpy(&id, bytes, sizeof(id));
  return (id >> 1) + 1;
}

}  // namespace bilberrycourse
