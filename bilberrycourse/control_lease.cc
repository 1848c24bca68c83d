#include "bilberrycourse/control_lease.h"

#include <algorithm>

namespace bilberrycourse {

control_lease::control_lease(const control_lease_options& options)
    : lease_(
          static_cast<std::int64_t>(static_cast<double>(options.lease.count()) *
                                    (1.0 - options.clock_rate_tolerance))) {}

void control_lease::OnConfirmed(time_point sent_at, duration reported_age,
                                std::uint64_t version) {
  // A negative age would confirm a version at a time after the poll was sent.
  if (reported_age < duration(0)) return;
  AddConfirmation({sent_at - reported_age, version});
}

void control_lease::OnRelayed(time_point sent_at, duration reported_age,
                              std::uint64_t version) {
  OnConfirmed(sent_at, reported_age, version);
}

void control_lease::AddConfirmation(confirmation candidate) {
  highest_known_ = std::max(highest_known_, candidate.version);
  if (candidate.version > applied_version_) {
    if (!pending_ || candidate.time > pending_->time) pending_ = candidate;
    return;
  }
  if (!confirmed_at_ || candidate.time > *confirmed_at_) {
    confirmed_at_ = candidate.time;
    confirmed_version_ = candidate.version;
  }
}

bool control_lease::OnApplied(std::uint64_t version) {
  if (version <= applied_version_) return false;
  applied_version_ = version;
  highest_known_ = std::max(highest_known_, version);
  if (pending_ && pending_->version <= applied_version_) {
    const confirmation applied_confirmation = *pending_;
    pending_.reset();
    AddConfirmation(applied_confirmation);
  }
  return true;
}

bool control_lease::Valid(time_point now) const {
  return confirmed_at_ && now < *confirmed_at_ + lease_;
}

std::optional<duration> control_lease::ConfirmationAge(time_point now) const {
  if (!confirmed_at_) return std::nullopt;
  return std::max(duration(0), now - *confirmed_at_);
}

std::optional<time_point> control_lease::expires_at() const {
  if (!confirmed_at_) return std::nullopt;
  return *confirmed_at_ + lease_;
}

}  // namespace bilberrycourse
