#ifndef BILBERRYCOURSE_PLACEMENT_PLACEMENT_DECISION_H_
#define BILBERRYCOURSE_PLACEMENT_PLACEMENT_DECISION_H_

// How a searcher was chosen, for logs and metrics.

namespace bilberrycourse {

struct placement_decision {
  // False if another searcher had a lower score.
  bool lowest_score = true;
  // True if the searcher is in another availability zone.
  bool other_zone = false;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_PLACEMENT_PLACEMENT_DECISION_H_
