#include "estimate_metrics.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

namespace siskinwharf::forwarding {

namespace {

struct bucket {
    double bound;
    std::string_view label;
};

constexpr std::array buckets{
    bucket{0.25, "0.25"}, bucket{0.5, "0.5"}, bucket{0.7, "0.7"},
    bucket{1.0, "1"},     bucket{1.3, "1.3"}, bucket{2.0, "2"},
    bucket{4.0, "4"},     bucket{8.0, "8"},   bucket{std::numeric_limits<double>::infinity(), "+Inf"}};

} // namespace

void count_estimate(telemetry::metrics_registry& metrics, const service_id& service, milliseconds expected,
                    milliseconds real)
{
    const auto divisor = std::max<milliseconds::rep>(1, expected.count());
    const auto ratio = static_cast<double>(real.count()) / static_cast<double>(divisor);
    for (const auto& [bound, label] : buckets) {
        if (ratio <= bound)
            metrics
                .find_counter("siskinwharf_first_event_ratio_bucket",
                              "Real divided by expected time to the first event, cumulative by `le`.",
                              {{"service", service.value()}, {"le", std::string(label)}})
                ->add();
    }
}

} // namespace siskinwharf::forwarding
