#include "bilberrycourse/accounts/authenticator.h"

#include "bilberrycourse/accounts/bearer_key.h"

namespace bilberrycourse {
namespace {

authentication Refused(result_code code) {
  authentication result;
  result.code = code;
  return result;
}

}  // namespace

control_lease_options LeaseOptions(const authenticator_options& options) {
  control_lease_options out;
  out.lease = Scaled(options.revoke, kLeaseShare);
  return out;
}

authenticator::authenticator(const authenticator_options& options)
    : options_(options) {}

void authenticator::SetLimits(const control_lease& lease,
                              authentication* result) const {
  result->begin_until = lease.expires_at();
  result->last_start =
      *lease.confirmed_at() + Scaled(options_.revoke, kLastStartShare);
}

authentication authenticator::Check(
    const account_index& accounts, const route& matched_route,
    const std::vector<std::string>& authorization_fields,
    const control_lease& lease, time_point now) const {
  if (accounts.empty() || matched_route.is_public) return {};
  if (options_.strict_revocation && !lease.Valid(now)) {
    return Refused(result_code::kControlLeaseExpired);
  }
  const auto key = ReadBearerKey(authorization_fields);
  const client_account* account =
      key.has_value() ? accounts.FindKey(*key) : nullptr;
  if (account == nullptr) {
    const auto age = lease.ConfirmationAge(now);
    const bool recent = age.has_value() && *age <= options_.max_age_of_refusal;
    return Refused(recent ? result_code::kUnknownKey
                          : result_code::kControlLeaseExpired);
  }
  authentication result;
  result.account = account;
  if (options_.strict_revocation) {
    result.key_digest = KeyDigest(account->name, *key);
    SetLimits(lease, &result);
  }
  return result;
}

authentication authenticator::CheckRelayed(const account_index& accounts,
                                           std::uint64_t key_digest,
                                           const control_lease& lease,
                                           time_point now) const {
  if (key_digest == 0) return {};
  const client_account* account = accounts.FindDigest(key_digest);
  if (account == nullptr || !lease.Valid(now)) {
    return Refused(result_code::kControlLeaseExpired);
  }
  authentication result;
  result.account = account;
  result.key_digest = key_digest;
  SetLimits(lease, &result);
  return result;
}

bool authenticator::MayServe(const account_index& accounts,
                             const control_lease& lease, time_point now) const {
  return !options_.strict_revocation || accounts.empty() || lease.Valid(now);
}

}  // namespace bilberrycourse
