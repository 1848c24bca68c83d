#include "bench/searcher_options.h"

#include <cmath>
#include <stdexcept>
#include <string_view>
#include <variant>

namespace bilberrycourse {
namespace {

using member_pointer =
    std::variant<std::string searcher_options::*,
                 std::int64_t searcher_options::*, double searcher_options::*,
                 bool searcher_options::*,
                 std::vector<std::uint64_t> searcher_options::*>;

struct field_binding {
  std::string_view name;
  member_pointer member;
};

const field_binding kFields[] = {
    {"service", &searcher_options::service},
    {"replica", &searcher_options::replica},
    {"availability_zone", &searcher_options::availability_zone},
    {"shard", &searcher_options::shard},
    {"shard_count", &searcher_options::shard_count},
    {"port", &searcher_options::port},
    {"slots", &searcher_options::slots},
    {"connection_limit", &searcher_options::connection_limit},
    {"connection_cost_us", &searcher_options::connection_cost_us},
    {"delay_us", &searcher_options::delay_us},
    {"median_us", &searcher_options::median_us},
    {"sigma", &searcher_options::sigma},
    {"straggler_share", &searcher_options::straggler_share},
    {"straggler_factor", &searcher_options::straggler_factor},
    {"slow_factor", &searcher_options::slow_factor},
    {"cold_requests", &searcher_options::cold_requests},
    {"cold_factor", &searcher_options::cold_factor},
    {"poison_marker", &searcher_options::poison_marker},
    {"crash_after_us", &searcher_options::crash_after_us},
    {"restart_after_ms", &searcher_options::restart_after_ms},
    {"load_lag_ms", &searcher_options::load_lag_ms},
    {"started", &searcher_options::started},
    {"versions", &searcher_options::versions},
};

}  // namespace

void ApplyJson(const boost::json::object& fields, searcher_options* options) {
  for (const auto& field : fields) {
    const field_binding* binding = nullptr;
    for (const auto& candidate : kFields) {
      if (candidate.name == std::string_view(field.key())) binding = &candidate;
    }
    if (binding == nullptr) {
      throw std::runtime_error("unknown field " + std::string(field.key()));
    }
    std::visit(
        [&](auto pointer) {
          using value = std::remove_reference_t<decltype(options->*pointer)>;
          auto parsed = boost::json::try_value_to<value>(field.value());
          if (!parsed) {
            throw std::runtime_error("wrong type of field " +
                                     std::string(field.key()));
          }
          options->*pointer = std::move(*parsed);
        },
        binding->member);
  }
}

double DrawServiceTimeUs(const searcher_options& options, bool cold,
                         std::mt19937_64* random) {
  std::lognormal_distribution<double> base_time_us(
      std::log(static_cast<double>(options.median_us)), options.sigma);
  double time_us = base_time_us(*random) * options.slow_factor;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(*random) < options.straggler_share) {
    time_us *= options.straggler_factor;
  }
  return cold ? time_us * options.cold_factor : time_us;
}

}  // namespace bilberrycourse
