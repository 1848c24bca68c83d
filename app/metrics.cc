#include "app/metrics.h"

#include <array>
#include <sstream>

namespace bilberrycourse {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

void Header(std::ostream& out, std::string_view name, std::string_view help,
            std::string_view type) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type
      << "\n";
}

}  // namespace

metrics::target_metrics::target_metrics()
    : latency_seconds(acc::extended_p_square_probabilities = kQuantiles) {}

void metrics::RecordQuery(const std::string& target, std::string_view outcome,
                          duration latency, std::uint32_t extra_attempts,
                          std::uint32_t shards, std::uint32_t searched) {
  target_metrics& entry = targets_[target];
  entry.latency_seconds(std::chrono::duration<double>(latency).count());
  ++entry.outcomes[std::string(outcome)];
  entry.extra_attempts += extra_attempts;
  entry.shards += shards;
  entry.searched += searched;
}

void metrics::SetGauge(const std::string& name, const std::string& help,
                       double value) {
  gauges_[name] = {help, value};
}

std::string metrics::Text() const {
  std::ostringstream out;
  Header(out, "bilberrycourse_queries_total", "Answered queries by outcome.",
         "counter");
  for (const auto& [target, entry] : targets_) {
    for (const auto& [outcome, count] : entry.outcomes) {
      out << "bilberrycourse_queries_total{target=\"" << target
          << "\",outcome=\"" << outcome << "\"} " << count << "\n";
    }
  }
  Header(out, "bilberrycourse_query_seconds",
         "Time from receipt to answer of a query.", "summary");
  for (const auto& [target, entry] : targets_) {
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      out << "bilberrycourse_query_seconds{target=\"" << target
          << "\",quantile=\"" << kQuantiles[i] << "\"} "
          << acc::extended_p_square(entry.latency_seconds)[i] << "\n";
    }
    out << "bilberrycourse_query_seconds_sum{target=\"" << target << "\"} "
        << acc::sum(entry.latency_seconds) << "\n"
        << "bilberrycourse_query_seconds_count{target=\"" << target << "\"} "
        << acc::count(entry.latency_seconds) << "\n";
  }
  const auto counter = [&](std::string_view name, std::string_view help,
                           std::uint64_t target_metrics::*member) {
    Header(out, name, help, "counter");
    for (const auto& [target, entry] : targets_) {
      out << name << "{target=\"" << target << "\"} " << entry.*member << "\n";
    }
  };
  counter("bilberrycourse_extra_attempts_total",
          "Attempts beyond the first of each shard.",
          &target_metrics::extra_attempts);
  counter("bilberrycourse_shards_total",
          "Shards in the denominator of answered queries.",
          &target_metrics::shards);
  counter("bilberrycourse_shards_searched_total",
          "Shards that answered queries include.", &target_metrics::searched);
  for (const auto& [name, entry] : gauges_) {
    Header(out, name, entry.help, "gauge");
    out << name << " " << entry.value << "\n";
  }
  return out.str();
}

}  // namespace bilberrycourse
