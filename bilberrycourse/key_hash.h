#ifndef BILBERRYCOURSE_KEY_HASH_H_
#define BILBERRYCOURSE_KEY_HASH_H_

// Hash functors (xxHash) for unordered containers keyed by names, shard keys or
// backend server keys.
//
//   std::unordered_map<shard_key, shard_entry, shard_key_hash> shards;

#include <xxhash.h>

#include <cstddef>
#include <string_view>

#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct name_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const {
    return XXH3_64bits(name.data(), name.size());
  }
};

struct shard_key_hash {
  std::size_t operator()(const shard_key& key) const {
    return XXH3_64bits_withSeed(key.service.data(), key.service.size(),
                                key.shard);
  }
};

struct backend_server_key_hash {
  std::size_t operator()(const backend_server_key& key) const {
    return XXH3_64bits_withSeed(key.replica.data(), key.replica.size(),
                                shard_key_hash()(key.shard));
  }
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_KEY_HASH_H_
