#include <algorithm>
#include <cmath>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/telemetry/metrics_registry.h"

namespace siskinwharf::telemetry {

namespace {

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("quantiles are within a bin's width of the exact ones")
{
    const bool holds = rc::check("quantile error", [] {
        const auto values = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(200'000L, 500'000'000'000L)));
        const double share = *rc::gen::inRange(1, 101) / 100.0;
        latency_histograms histograms;
        for (const auto value : values)
            histograms.record(latency::first_token, nanoseconds(value));
        auto sorted = values;
        std::sort(sorted.begin(), sorted.end());
        const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size()) - 1e-9));
        const auto exact = static_cast<double>(sorted[std::max<std::size_t>(rank, 1) - 1]);
        const auto estimate =
            static_cast<double>(histograms.quantile(latency::first_token, share).value().count());
        RC_ASSERT(std::abs(std::log2(estimate / exact)) <= 1.0 / latency_histograms::bins_per_octave + 1e-6);
    });
    CHECK(holds);
}

TEST_CASE("durations outside the bins are counted at the limits")
{
    latency_histograms histograms;
    CHECK_FALSE(histograms.quantile(latency::queue_wait, 0.5));
    histograms.record(latency::queue_wait, nanoseconds{-5});
    CHECK(histograms.quantile(latency::queue_wait, 0.5) == nanoseconds{122'070});
    histograms.record(latency::queue_wait, std::chrono::hours{1});
    CHECK(histograms.quantile(latency::queue_wait, 1.0) == seconds{512});
    const auto snapshot = histograms.take_snapshot(latency::queue_wait);
    CHECK(snapshot.below.front() == 1);
    CHECK(snapshot.below.back() == 1);
    CHECK(snapshot.count == 2);
    CHECK(snapshot.sum == std::chrono::hours{1});
}

TEST_CASE("records of several threads are all counted")
{
    metrics_registry registry;
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int index = 0; index < 4; ++index) {
            threads.emplace_back([&registry] {
                const auto histograms = registry.histograms(account_id("a"), "m");
                const auto requests = registry.find_counter("requests_total", "");
                for (int round = 0; round < 5000; ++round) {
                    histograms->record(latency::between_tokens, milliseconds{round % 100});
                    requests->add();
                }
            });
        }
        (void)registry.render_prometheus();
    }
    const auto histograms = registry.histograms(account_id("a"), "m");
    CHECK(histograms->take_snapshot(latency::between_tokens).count == 20'000);
    CHECK(registry.find_counter("requests_total", "")->value() == 20'000);
}

TEST_CASE("the text exposition is well formed and escapes what callers may influence")
{
    metrics_registry registry;
    registry.find_counter("requests_total", "Requests.", {{"account", "a\"\\\nb"}})->add(3);
    registry.find_gauge("sheet_version", "Sheet in force.")->set(-2);
    registry.histograms(account_id("a"), "m")->record(latency::first_token, milliseconds{500});
    const std::string text = registry.render_prometheus();
    CHECK(text.find("# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                    "requests_total{account=\"a\\\"\\\\\\nb\"} 3\n") != std::string::npos);
    CHECK(text.find("# TYPE sheet_version gauge\nsheet_version -2\n") != std::string::npos);
    const std::string name = "siskinwharf_first_token_seconds";
    CHECK(text.find(name + "_bucket{account=\"a\",class=\"m\",le=\"0.25\"} 0\n") != std::string::npos);
    CHECK(text.find(name + "_bucket{account=\"a\",class=\"m\",le=\"1\"} 1\n") != std::string::npos);
    CHECK(text.find(name + "_bucket{account=\"a\",class=\"m\",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find(name + "_sum{account=\"a\",class=\"m\"} 0.5\n") != std::string::npos);
    CHECK(count_of(text, "# TYPE") == 2 + all_latencies.size());
    CHECK(registry.render_table().find("first_token") != std::string::npos);
}

TEST_CASE("the number of series is bounded, whatever the labels are")
{
    metrics_registry registry;
    for (std::size_t index = 0; index < 2 * metrics_registry::max_series_per_metric; ++index)
        registry.find_counter("c", "", {{"l", std::to_string(index)}})->add();
    CHECK(count_of(registry.render_prometheus(), "c{") == metrics_registry::max_series_per_metric + 1);
    CHECK(registry.find_counter("c", "", {{"l", "other"}})->value() ==
          metrics_registry::max_series_per_metric);

    std::vector<std::shared_ptr<latency_histograms>> held;
    for (std::size_t index = 0; index < metrics_registry::max_histogram_series; ++index)
        held.push_back(registry.histograms(account_id(std::to_string(index)), "m"));
    const auto overflow = registry.histograms(account_id("x"), "m");
    CHECK(overflow == registry.histograms(account_id("y"), "m"));
    held.resize(10);
    registry.drop_unused_histograms();
    CHECK(registry.histograms(account_id("x"), "m") != overflow);
}

TEST_CASE("names that would break the exposition are refused")
{
    metrics_registry registry;
    for (const std::string name : {"", "1a", "a b", "a{"})
        CHECK_THROWS_AS(registry.find_counter(name, ""), std::invalid_argument);
    CHECK_THROWS_AS(registry.find_counter("a", "", {{"b c", ""}}), std::invalid_argument);
    (void)registry.find_counter("a", "");
    CHECK_THROWS_AS(registry.find_gauge("a", ""), std::invalid_argument);
}

} // namespace siskinwharf::telemetry
