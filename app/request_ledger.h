#ifndef APP_REQUEST_LEDGER_H_
#define APP_REQUEST_LEDGER_H_

// The origin's side of the ledger of non-idempotent and kept requests. Records
// a request durably before its only attempt is sent, and its outcome before the
// caller is answered.
//
//   ledger.Begin(entry, deadline, [](const ledger_decision& d) {
//     if (d.run) Submit(...); else Answer(d.code, d.answer);
//   });
//   ledger.Finish(entry, code, answer_text, [] { respond(); });
//   ledger.Abandon(entry, [] { respond(); });   // records that nothing ran

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "app/control_client.h"
#include "app/settings.h"
#include "bilberrycourse/control_command.h"

namespace bilberrycourse {

// One request in one run. The run id tells runs of the same request apart.
struct ledger_entry {
  request_begin begin;
};

struct ledger_decision {
  // True if this run may send the attempt.
  bool run = false;
  // If `run` is false, the reason; if `recorded` is true as well, the recorded
  // outcome, with its answer in `answer`.
  result_code code = result_code::kInternal;
  bool recorded = false;
  std::string answer;
};

class request_ledger {
 public:
  using begin_callback = std::function<void(const ledger_decision&)>;
  using done_callback = std::function<void()>;

  request_ledger(const settings& config, std::uint64_t incarnation,
                 control_client* control);

  // Returns a run id that this instance never reuses, also across restarts.
  request_run NewRun();

  // Records the start of a run. If another run of the same key is in progress,
  // waits for its outcome until `deadline`.
  void Begin(const ledger_entry& entry, time_point deadline,
             begin_callback callback);
  // Calls `done` when the outcome is recorded, or after `kMaxRecordWait`;
  // recording then continues in the background.
  void Finish(const ledger_entry& entry, result_code code,
              const std::string& answer, done_callback done);
  void Abandon(const ledger_entry& entry, done_callback done);
  void Tick(time_point now);

 private:
  // A run that waits for another run of the same key.
  struct pending_begin {
    ledger_entry entry;
    time_point deadline{};
    time_point next_read_at{};
    begin_callback callback;
    bool read_in_progress = false;
  };

  void Record(const std::string& command, done_callback done);
  void OnBeginReply(const std::shared_ptr<pending_begin>& begin,
                    const control_reply& reply);
  void PollRecord(const std::shared_ptr<pending_begin>& begin);
  void OnRecordRead(const std::shared_ptr<pending_begin>& begin,
                    const control_reply& reply);

  const settings& config_;
  control_client* control_;
  std::uint64_t next_run_;
  std::vector<std::shared_ptr<pending_begin>> pending_begins_;
  // An answer that is held back until the outcome is recorded, but at most
  // until `due`.
  struct pending_record {
    time_point due{};
    std::shared_ptr<done_callback> done;
  };
  std::vector<pending_record> pending_records_;
};

}  // namespace bilberrycourse

#endif  // APP_REQUEST_LEDGER_H_
