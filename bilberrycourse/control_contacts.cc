#include "bilberrycourse/control_contacts.h"

#include <algorithm>
#include <utility>

namespace bilberrycourse {
namespace {

bool Contains(const std::vector<control_contact>& contacts,
              const instance_name& name) {
  return std::any_of(
      contacts.begin(), contacts.end(),
      [&](const control_contact& contact) { return contact.name == name; });
}

void AddNew(const std::vector<control_contact>& from,
            std::vector<control_contact>* to) {
  for (const control_contact& contact : from) {
    if (!Contains(*to, contact.name)) to->push_back(contact);
  }
}

std::vector<control_contact> ToContacts(
    const std::vector<log_member>& members) {
  std::vector<control_contact> contacts;
  for (const log_member& member : members) {
    contacts.push_back({member.instance, member.address});
  }
  return contacts;
}

}  // namespace

void control_contacts::SetSeeds(std::vector<control_contact> seeds) {
  seeds_ = std::move(seeds);
}

bool control_contacts::SetGroup(const std::vector<log_member>& members) {
  std::vector<control_contact> group = ToContacts(members);
  if (group == group_) return false;
  group_ = std::move(group);
  return true;
}

void control_contacts::AddHints(const std::vector<log_member>& members) {
  if (hints_.size() + members.size() > kMaxHints) hints_.clear();
  AddNew(ToContacts(members), &hints_);
  if (hints_.size() > kMaxHints) hints_.resize(kMaxHints);
}

void control_contacts::OnConfirmed(time_point when) {
  confirmed_at_ = std::max(confirmed_at_, when);
  hints_.clear();
}

bool control_contacts::Confirmed(time_point now) const {
  return confirmed_at_ != time_point::min() &&
         now - confirmed_at_ < kConfirmationTime;
}

std::vector<control_contact> control_contacts::Targets(time_point now) const {
  std::vector<control_contact> targets = group_;
  if (!group_.empty() && Confirmed(now)) return targets;
  AddNew(seeds_, &targets);
  AddNew(hints_, &targets);
  return targets;
}

bool control_contacts::IsTarget(const instance_name& name,
                                time_point now) const {
  return Contains(Targets(now), name);
}

}  // namespace bilberrycourse
