#ifndef APP_PROCESS_END_LOG_H_
#define APP_PROCESS_END_LOG_H_

// A last log line that names why the process ends.
//
//   LogProcessEnds("e1");   // once, before other threads start
//
// From then on, a fatal signal writes `{"event":"process_ends","signal":11,
// "signal_name":"SIGSEGV","program_counter":"0x12af0",...}`, and an exception
// that no function catches `{"event":"process_ends","exception":...,
// "what":...}`. The process then ends as it would have without the line, with
// the same exit status and core dump; a handler that was installed before, such
// as that of a sanitizer, runs afterwards.
//
// The program counter is an offset into the program, as `addr2line -e` takes
// it.

#include <string>

namespace bilberrycourse {

// `instance` is the name in the lines; it may be empty.
void LogProcessEnds(const std::string& instance);

}  // namespace bilberrycourse

#endif  // APP_PROCESS_END_LOG_H_
