#ifndef BILBERRYCOURSE_INSTANCE_RECORD_H_
#define BILBERRYCOURSE_INSTANCE_RECORD_H_

// Attributes that one instance of the tier publishes about itself.

#include <cstdint>
#include <string>
#include <string_view>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Bits of instance_roles; an instance can have several roles.
enum class instance_role : std::uint8_t {
  kEntry = 1,
  kControl = 2,
  kSpare = 4,
};

struct instance_roles {
  std::uint8_t bits = 0;

  bool Has(instance_role role) const {
    return (bits & static_cast<std::uint8_t>(role)) != 0;
  }
  instance_roles& Add(instance_role role) {
    bits |= static_cast<std::uint8_t>(role);
    return *this;
  }
  bool operator==(const instance_roles&) const = default;
};

// Names joined by commas, for example "entry,control".
std::string ToString(instance_roles roles);

enum class instance_status : std::uint8_t {
  kAlive,
  kSuspect,
  kDead,
  kLeaving,
};

std::string_view Name(instance_status status);

struct instance_record {
  instance_name name;
  // Increases with each start, change of roles and refutation. The daemon
  // starts with the wall-clock time in microseconds.
  std::uint64_t incarnation = 0;
  availability_zone zone;
  // Address to which peers connect: IP address and port.
  std::string peer_address;
  // Address to which callers, operators and backend servers connect.
  std::string http_address;
  instance_roles roles;
  bool operator==(const instance_record&) const = default;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_INSTANCE_RECORD_H_
