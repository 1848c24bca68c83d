#include "bench/load_report.h"

#include <algorithm>
#include <utility>

namespace bilberrycourse {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, kLoadOutcomeCount> kOutcomeNames = {
    "complete", "partial", "not_run",       "unknown",
    "cut_off",  "timeout", "not_connected", "malformed"};

struct named_quantile {
  std::string_view name;
  double probability;
};
constexpr named_quantile kQuantiles[] = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}, {"max", 1}};

json::object Quantiles(std::vector<std::uint32_t> values) {
  json::object object{{"count", values.size()}};
  if (values.empty()) return object;
  std::ranges::sort(values);
  for (const auto& quantile : kQuantiles) {
    const auto rank = static_cast<std::size_t>(
        quantile.probability * static_cast<double>(values.size() - 1) + 0.5);
    object[quantile.name] = values[rank] / 1000.0;
  }
  return object;
}

// Totals of the samples of one stream, caller or entry instance.
struct sample_totals {
  std::vector<std::uint32_t> answered_us;
  std::vector<std::uint32_t> refused_us;
  std::array<std::int64_t, kLoadOutcomeCount> outcomes{};
  std::int64_t within_deadline = 0;
  std::int64_t searched = 0;
  std::int64_t total = 0;
  std::int64_t first_attempts = 0;
  std::vector<std::uint32_t> send_lag_us;

  void Add(const load_sample& sample) {
    ++outcomes[static_cast<std::size_t>(sample.outcome)];
    if (sample.outcome == load_outcome::kNotRun) {
      refused_us.push_back(sample.latency_us);
    } else {
      answered_us.push_back(sample.latency_us);
    }
    within_deadline += sample.within_deadline ? 1 : 0;
    searched += sample.searched;
    total += sample.total;
    first_attempts += sample.first_attempts;
    send_lag_us.push_back(sample.send_lag_us);
  }

  json::object ToJson() const {
    json::object counts;
    for (std::size_t i = 0; i < kLoadOutcomeCount; ++i) {
      counts[kOutcomeNames[i]] = outcomes[i];
    }
    return {{"requests", answered_us.size() + refused_us.size()},
            {"outcomes", std::move(counts)},
            {"latency_ms", Quantiles(answered_us)},
            {"refusal_ms", Quantiles(refused_us)},
            {"within_deadline", within_deadline},
            {"shards_searched", searched},
            {"shards_total", total},
            {"first_attempts", first_attempts},
            {"send_lag_ms", Quantiles(send_lag_us)}};
  }
};

json::object ToJson(const std::vector<std::string>& names,
                    const std::vector<sample_totals>& totals) {
  json::object object;
  for (std::size_t i = 0; i < names.size(); ++i) {
    object[names[i]] = totals[i].ToJson();
  }
  return object;
}

}  // namespace

load_report::load_report(std::vector<std::string> streams,
                         std::vector<std::string> callers,
                         std::vector<std::string> entries)
    : streams_(std::move(streams)),
      callers_(std::move(callers)),
      entries_(std::move(entries)) {}

void load_report::Merge(const load_report& other) {
  samples_.insert(samples_.end(), other.samples_.begin(), other.samples_.end());
}

json::object load_report::Summarize(std::int64_t from_us,
                                    std::int64_t to_us) const {
  sample_totals all;
  std::vector<sample_totals> streams(streams_.size());
  std::vector<sample_totals> callers(callers_.size());
  std::vector<sample_totals> entries(entries_.size());
  for (const auto& sample : samples_) {
    if (sample.start_us < from_us || sample.start_us >= to_us) continue;
    all.Add(sample);
    streams[sample.stream].Add(sample);
    callers[sample.caller].Add(sample);
    if (sample.entry < entries.size()) entries[sample.entry].Add(sample);
  }
  json::object object = all.ToJson();
  object["from_s"] = static_cast<double>(from_us) / 1e6;
  object["to_s"] = static_cast<double>(to_us) / 1e6;
  object["streams"] = ToJson(streams_, streams);
  object["callers"] = ToJson(callers_, callers);
  object["entries"] = ToJson(entries_, entries);
  return object;
}

std::string_view Name(load_outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

}  // namespace bilberrycourse
