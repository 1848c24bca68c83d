#ifndef BILBERRYCOURSE_ACCOUNTS_ACCOUNT_INDEX_H_
#define BILBERRYCOURSE_ACCOUNTS_ACCOUNT_INDEX_H_

// Finds the client account of a key. Built once for each version of the
// configuration.
//
//   account_index index(config.accounts, seed);
//   const client_account* account = index.FindKey(key);
//   std::uint64_t digest = KeyDigest(account->name, key);
//   const client_account* checked = peer_index.FindDigest(digest);
//
// A lookup takes the same time for any number of keys. The hash is seeded with
// a number that callers do not know, so that they can't cause collisions, and
// the time of a comparison does not tell how much of a key matched.

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bilberrycourse/accounts/client_account.h"

namespace bilberrycourse {

// Identifies a key of an account to relays, which check it against their own
// configuration; never 0. XXH3 of the name, a NUL and the key.
std::uint64_t KeyDigest(std::string_view account, std::string_view key);

class account_index {
 public:
  // Keeps pointers into `accounts`, which must outlive the index and must not
  // change.
  account_index(const std::vector<client_account>& accounts,
                std::uint64_t seed);

  // Return nullptr if no account has the key. Of two accounts with the same
  // key, which CheckAccounts() refuses, the first one is found.
  const client_account* FindKey(std::string_view key) const;
  const client_account* FindDigest(std::uint64_t digest) const;

  // True if callers need no key, because there are no accounts.
  bool empty() const { return account_count_ == 0; }

 private:
  struct indexed_key {
    // The half of the hash that is not the key of the map.
    std::uint64_t high = 0;
    const std::string* key = nullptr;
    const client_account* account = nullptr;
  };

  std::uint64_t seed_;
  std::size_t account_count_;
  std::unordered_multimap<std::uint64_t, indexed_key> keys_;
  std::unordered_map<std::uint64_t, const client_account*> digests_;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_ACCOUNTS_ACCOUNT_INDEX_H_
