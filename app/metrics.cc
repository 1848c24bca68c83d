#include "app/metrics.h"

#include <array>
#include <sstream>

namespace bilberrycourse {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

void WriteHeader(std::ostream& out, std::string_view name,
                 std::string_view help, std::string_view type) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type
      << "\n";
}

}  // namespace

metrics::target_metrics::target_metrics()
    : latency_seconds(acc::extended_p_square_probabilities = kQuantiles) {}

void metrics::RecordQuery(const std::string& target, std::string_view outcome,
                          duration latency, std::uint32_t extra_attempts,
                          std::uint32_t shards, std::uint32_t searched) {
  target_metrics& values = targets_[target];
  values.latency_seconds(std::chrono::duration<double>(latency).count());
  ++values.outcomes[std::string(outcome)];
  values.extra_attempts += extra_attempts;
  values.shards += shards;
  values.searched += searched;
}

void metrics::SetGauge(const std::string& name, const std::string& help,
                       double value) {
  gauges_[name] = {help, value};
}

std::string metrics::Text() const {
  std::ostringstream out;
  WriteHeader(out, "bilberrycourse_queries_total",
              "Answered queries by outcome.", "counter");
  for (const auto& [target, values] : targets_) {
    for (const auto& [outcome, count] : values.outcomes) {
      out << "bilberrycourse_queries_total{target=\"" << target
          << "\",outcome=\"" << outcome << "\"} " << count << "\n";
    }
  }
  WriteHeader(out, "bilberrycourse_query_seconds",
              "Time from receipt to answer of a query.", "summary");
  for (const auto& [target, values] : targets_) {
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      out << "bilberrycourse_query_seconds{target=\"" << target
          << "\",quantile=\"" << kQuantiles[i] << "\"} "
          << acc::extended_p_square(values.latency_seconds)[i] << "\n";
    }
    out << "bilberrycourse_query_seconds_sum{target=\"" << target << "\"} "
        << acc::sum(values.latency_seconds) << "\n"
        << "bilberrycourse_query_seconds_count{target=\"" << target << "\"} "
        << acc::count(values.latency_seconds) << "\n";
  }
  const auto write_counter = [&](std::string_view name, std::string_view help,
                                 std::uint64_t target_metrics::*member) {
    WriteHeader(out, name, help, "counter");
    for (const auto& [target, values] : targets_) {
      out << name << "{target=\"" << target << "\"} " << values.*member << "\n";
    }
  };
  write_counter("bilberrycourse_extra_attempts_total",
                "Attempts beyond the first of each shard.",
                &target_metrics::extra_attempts);
  write_counter("bilberrycourse_shards_total",
                "Shards in the denominator of answered queries.",
                &target_metrics::shards);
  write_counter("bilberrycourse_shards_searched_total",
                "Shards that answered queries include.",
                &target_metrics::searched);
  for (const auto& [name, gauge] : gauges_) {
    WriteHeader(out, name, gauge.help, "gauge");
    out << name << " " << gauge.value << "\n";
  }
  return out.str();
}

}  // namespace bilberrycourse
