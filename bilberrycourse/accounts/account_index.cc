#include "bilberrycourse/accounts/account_index.h"

#include <xxhash.h>

namespace bilberrycourse {
namespace {

// Reads all bytes whatever differs. The accumulator is volatile, so that the
// compiler can't leave the loop early.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

}  // namespace

std::uint64_t KeyDigest(std::string_view account, std::string_view key) {
  std::string text;
  text.reserve(account.size() + 1 + key.size());
  text.append(account).append(1, '\0').append(key);
  const std::uint64_t digest = XXH3_64bits(text.data(), text.size());
  // 0 stands for a request without a key.
  return digest == 0 ? 1 : digest;
}

account_index::account_index(const std::vector<client_account>& accounts,
                             std::uint64_t seed)
    : seed_(seed), account_count_(accounts.size()) {
  std::size_t key_count = 0;
  for (const client_account& account : accounts) {
    key_count += account.keys.size();
  }
  keys_.reserve(key_count);
  digests_.reserve(key_count);
  for (const client_account& account : accounts) {
    for (const std::string& key : account.keys) {
      if (FindKey(key) != nullptr) continue;
      const XXH128_hash_t hash =
          XXH3_128bits_withSeed(key.data(), key.size(), seed_);
      keys_.emplace(hash.low64, indexed_key{hash.high64, &key, &account});
      digests_.emplace(KeyDigest(account.name, key), &account);
    }
  }
}

const client_account* account_index::FindKey(std::string_view key) const {
  if (key.empty() || key.size() > kMaxAccountKeyBytes) return nullptr;
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), seed_);
  const auto [first, last] = keys_.equal_range(hash.low64);
  for (auto entry = first; entry != last; ++entry) {
    const indexed_key& indexed = entry->second;
    if (indexed.high == hash.high64 && EqualInConstantTime(*indexed.key, key)) {
      return indexed.account;
    }
  }
  return nullptr;
}

const client_account* account_index::FindDigest(std::uint64_t digest) const {
  const auto found = digests_.find(digest);
  return found == digests_.end() ? nullptr : found->second;
}

}  // namespace bilberrycourse
