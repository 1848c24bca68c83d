#ifndef BENCH_LOAD_REPORT_H_
#define BENCH_LOAD_REPORT_H_

// Records one sample for each request of the load generator and summarizes
// the samples of a time window.
//
//   load_report report(stream_names, caller_names, entry_names);
//   report.Add(sample);
//   json::object all = report.Summarize(0, 20'000'000);
//
// Quantiles are exact: a run keeps one 32-byte sample for each request, which
// is 32 MB for a million requests.

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrycourse {

enum class load_outcome : std::uint8_t {
  kComplete,
  kPartial,
  kNotRun,
  kUnknown,
  // The connection broke before the answer was complete.
  kCutOff,
  // No answer within the deadline plus load_options::grace_ms.
  kTimeout,
  // No entry instance accepted a connection.
  kNotConnected,
  // The answer could not be parsed, or its `outcome` has an unexpected value.
  kMalformed,
};
inline constexpr std::size_t kLoadOutcomeCount = 8;

struct load_sample {
  // Intended start, relative to the start of the run.
  std::int64_t start_us = 0;
  std::uint32_t latency_us = 0;
  // Delay of the send after the intended start. It is caused by the load
  // generator and included in `latency_us`.
  std::uint32_t send_lag_us = 0;
  std::uint16_t stream = 0;
  std::uint16_t caller = 0;
  std::uint16_t entry = 0;
  load_outcome outcome = load_outcome::kMalformed;
  // The answer is complete and arrived within the deadline.
  bool within_deadline = false;
  // Searched shards and all shards, from the coverage of the answer.
  std::uint16_t searched = 0;
  std::uint16_t total = 0;
  // Shards to which at least one attempt was sent.
  std::uint16_t first_attempts = 0;
};

class load_report {
 public:
  // Samples refer to streams, callers and entries by index into these lists;
  // the names become the keys of the summary.
  load_report(std::vector<std::string> streams,
              std::vector<std::string> callers,
              std::vector<std::string> entries);

  void Add(const load_sample& sample) { samples_.push_back(sample); }
  // Adds the samples of a report with the same names.
  void Merge(const load_report& other);
  // Summarizes the samples with from_us <= start_us < to_us.
  boost::json::object Summarize(std::int64_t from_us, std::int64_t to_us) const;

 private:
  std::vector<std::string> streams_;
  std::vector<std::string> callers_;
  std::vector<std::string> entries_;
  std::vector<load_sample> samples_;
};

std::string_view Name(load_outcome outcome);

}  // namespace bilberrycourse

#endif  // BENCH_LOAD_REPORT_H_
