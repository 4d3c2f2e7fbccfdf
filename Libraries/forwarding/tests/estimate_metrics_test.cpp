#include <catch2/catch.hpp>

#include "estimate_metrics.h"

namespace siskinwharf::forwarding {

TEST_CASE("the ratio of real to expected time is counted in cumulative buckets")
{
    telemetry::metrics_registry metrics;
    const service_id service("s");
    count_estimate(metrics, service, milliseconds(100), milliseconds(130));
    count_estimate(metrics, service, milliseconds(100), milliseconds(900));
    count_estimate(metrics, service, milliseconds(0), milliseconds(0));
    const auto text = metrics.render_prometheus();
    const auto has = [&](const std::string& label, int count) {
        const auto line = "siskinwharf_first_event_ratio_bucket{service=\"s\",le=\"" + label + "\"} " +
                          std::to_string(count) + "\n";
        return text.find(line) != std::string::npos;
    };
    CHECK(has("0.25", 1));
    CHECK(has("1", 1));
    CHECK(has("1.3", 2));
    CHECK(has("8", 2));
    CHECK(has("+Inf", 3));
}

} // namespace siskinwharf::forwarding
