#ifndef BILBERRYCOURSE_CONTROL_CONTACTS_H_
#define BILBERRYCOURSE_CONTROL_CONTACTS_H_

// The control instances that an instance outside the control group connects to
// and asks.
//
//   control_contacts contacts;
//   contacts.SetSeeds(settings.seeds);
//   contacts.SetGroup(members);          // reported with a fresh confirmation
//   contacts.OnConfirmed(now);
//   for (const control_contact& contact : contacts.Targets(now)) Dial(contact);
//
// While a quorum confirms the group, its members are the only contacts: with
// hundreds of instances, links to further seeds would outnumber the others.
// Without a fresh confirmation the members may all have been replaced or
// removed, so the seeds are contacts as well, and so are the members of any
// group that an instance has reported without a confirmation. Such a report is
// a place to ask, nothing more: state is taken from confirmed replies only.
//
// At most kMaxHints reported members are kept.

#include <string>
#include <vector>

#include "bilberrycourse/consensus_types.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

struct control_contact {
  instance_name name;
  // Empty if the instance is connected in another way.
  std::string address;
  bool operator==(const control_contact&) const = default;
};

class control_contacts {
 public:
  // A group is taken for the one in force for this long after a confirmation:
  // longer than an election, and short enough to be in touch with a replaced
  // group within 4 s (contactMs).
  static constexpr duration kConfirmationTime = std::chrono::milliseconds(1500);
  static constexpr std::size_t kMaxHints = 32;

  void SetSeeds(std::vector<control_contact> seeds);
  // Returns false if the group is the same as before.
  bool SetGroup(const std::vector<log_member>& members);
  // Adds the members of a group that no quorum confirms.
  void AddHints(const std::vector<log_member>& members);
  // A quorum has confirmed the group at `when` or later.
  void OnConfirmed(time_point when);

  bool Confirmed(time_point now) const;
  std::vector<control_contact> Targets(time_point now) const;
  bool IsTarget(const instance_name& name, time_point now) const;

 private:
  std::vector<control_contact> seeds_;
  std::vector<control_contact> group_;
  std::vector<control_contact> hints_;
  time_point confirmed_at_ = time_point::min();
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_CONTROL_CONTACTS_H_
