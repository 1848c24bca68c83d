#ifndef APP_REQUEST_LEDGER_H_
#define APP_REQUEST_LEDGER_H_

// The origin's side of the ledger of non-idempotent and kept requests: records
// a request durably before its only attempt leaves, and its outcome before the
// caller is answered.
//
//   ledger.Begin(entry, deadline, [](const ledger_decision& d) {
//     if (d.run) Submit(...); else Answer(d.code, d.answer);
//   });
//   ledger.Finish(entry, code, answer_text, [] { respond(); });
//   ledger.Abandon(entry, [] { respond(); });   // proof that nothing ran

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "app/control_client.h"
#include "app/settings.h"
#include "bilberrycourse/control_command.h"

namespace bilberrycourse {

// One request under one run of this instance.
struct ledger_entry {
  request_begin begin;
};

struct ledger_decision {
  // True if this run may send the attempt.
  bool run = false;
  // Otherwise why not; kOk together with `answer` is a recorded outcome.
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

  // A run id that this instance never uses twice, also across restarts.
  request_run NewRun();

  // Waits for another run of the same key until `deadline`.
  void Begin(const ledger_entry& entry, time_point deadline,
             begin_callback callback);
  // `done` is called when the outcome is recorded, or after `kFinishWait`;
  // recording goes on in the background.
  void Finish(const ledger_entry& entry, result_code code,
              const std::string& answer, done_callback done);
  void Abandon(const ledger_entry& entry, done_callback done);
  void Tick(time_point now);

 private:
  struct waiting {
    ledger_entry entry;
    time_point deadline{};
    time_point read_at{};
    begin_callback callback;
    bool reading = false;
  };

  void Record(const std::string& command, done_callback done);
  void OnBeginReply(const std::shared_ptr<waiting>& wait,
                    const control_reply& reply);
  void ReadAgain(const std::shared_ptr<waiting>& wait);
  void OnRead(const std::shared_ptr<waiting>& wait, const control_reply& reply);

  const settings& config_;
  control_client* control_;
  std::uint64_t next_run_;
  std::vector<std::shared_ptr<waiting>> waiting_;
  // Answers that wait for the record, with the time at which they go out
  // without it.
  struct pending_done {
    time_point due{};
    std::shared_ptr<done_callback> done;
  };
  std::vector<pending_done> pending_;
};

}  // namespace bilberrycourse

#endif  // APP_REQUEST_LEDGER_H_
