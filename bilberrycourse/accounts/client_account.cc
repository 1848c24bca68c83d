#include "bilberrycourse/accounts/client_account.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_set>

#include "bilberrycourse/key_hash.h"

namespace bilberrycourse {
namespace {

using text_set = std::unordered_set<std::string_view, name_hash>;

bool InRange(std::string_view text, char first, char last) {
  return std::all_of(text.begin(), text.end(),
                     [=](char c) { return c >= first && c <= last; });
}

// Each function returns the problem, or an empty text.
std::string_view CheckName(std::string_view name, text_set* names) {
  if (name.empty()) return "has no name";
  if (name.size() > kMaxAccountNameBytes) return "has a name over 128 bytes";
  if (!InRange(name, ' ', '~') || name.front() == ' ' || name.back() == ' ') {
    return "has a name that is no valid header value (printable ASCII without "
           "leading or trailing space)";
  }
  if (!names->insert(name).second) return "has the name of another account";
  return {};
}

std::string_view CheckKey(std::string_view key, text_set* keys) {
  if (key.empty()) return "has an empty key";
  if (key.size() > kMaxAccountKeyBytes) return "has a key over 256 bytes";
  if (!InRange(key, '!', '~')) {
    return "has a key with a character that is a space or not printable ASCII";
  }
  if (!keys->insert(key).second) return "has a key that is used twice";
  return {};
}

std::string_view CheckLimits(const client_account& account) {
  const auto valid = [](double value) {
    return std::isfinite(value) && value >= 0;
  };
  if (!valid(account.requests_per_second)) {
    return "has a rate that is negative or not finite";
  }
  if (!valid(account.burst)) {
    return "has a burst that is negative or not finite";
  }
  return {};
}

std::string_view CheckAccount(const client_account& account, text_set* names,
                              text_set* keys) {
  std::string_view problem = CheckName(account.name, names);
  for (const std::string& key : account.keys) {
    if (!problem.empty()) return problem;
    problem = CheckKey(key, keys);
  }
  return problem.empty() ? CheckLimits(account) : problem;
}

}  // namespace

result_code CheckAccounts(const std::vector<client_account>& accounts,
                          std::string* problem) {
  std::size_t key_count = 0;
  for (const client_account& account : accounts) {
    key_count += account.keys.size();
  }
  if (accounts.size() > kMaxAccounts) {
    *problem = "there are more than 10000 accounts";
    return result_code::kInvalidDocument;
  }
  if (key_count > kMaxAccountKeys) {
    *problem = "the accounts have more than 100000 keys";
    return result_code::kInvalidDocument;
  }
  text_set names;
  text_set keys;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const std::string_view wrong = CheckAccount(accounts[i], &names, &keys);
    if (wrong.empty()) continue;
    // By position, because the name itself may be what can't be printed.
    *problem = "account " + std::to_string(i + 1) + " of the list " +
               std::string(wrong);
    return result_code::kInvalidDocument;
  }
  return result_code::kOk;
}

}  // namespace bilberrycourse
