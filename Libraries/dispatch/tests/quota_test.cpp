#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "siskinwharf/base/hash.h"
#include "siskinwharf/dispatch/account_quota.h"
#include "siskinwharf/dispatch/retry_limiter.h"

namespace siskinwharf::dispatch {

namespace {

constexpr quota_limit limit{1'000, 1'000, milliseconds(8'000)};
constexpr double allowed = 1'000 * 8 + 1'000;
/// Factor by which the operators' bound exceeds the limit.
constexpr double tolerance = 1.1;

/// A number from 0 up to 1 that differs between requests.
double draw_of(std::uint64_t request)
{
    return unit_interval(hash64(std::to_string(request)));
}

/// Several processes that exchange their usage after a delay, each under a load of `offered` tokens per
/// second.
struct fleet {
    explicit fleet(std::size_t size, monotonic_time start)
        : started(start), quotas(size, account_quota(limit, start))
    {
        exchange(start);
    }

    /// Advances by `step` and returns the amount that all processes admitted.
    double advance(monotonic_time now, milliseconds step, double offered, bool exchanges)
    {
        double taken = 0;
        const auto seconds_step = std::chrono::duration<double>(step).count();
        for (auto& quota : quotas) {
            constexpr double request = 10;
            for (double amount = 0; amount < offered * seconds_step; amount += request)
                taken += quota.try_acquire(request, draw_of(++requests), now) ? request : 0;
        }
        if (exchanges)
            exchange(now);
        return taken;
    }

    /// Exchanges the usage. Processes from index `boundary` on are partitioned from the others; reports
    /// across the partition keep their last value.
    void exchange(monotonic_time now, std::size_t boundary = 0)
    {
        if (reports.empty())
            reports.assign(quotas.size(), std::vector<std::pair<quota_usage, monotonic_time>>(quotas.size()));
        for (std::size_t own = 0; own < quotas.size(); ++own) {
            std::vector<peer_usage> peers;
            for (std::size_t other = 0; other < quotas.size(); ++other) {
                if (other == own)
                    continue;
                auto& last = reports[own][other];
                if ((own < boundary) == (other < boundary) || boundary == 0 || boundary == quotas.size())
                    last = {quotas[other].use(now), now};
                peers.push_back({last.first, std::chrono::duration_cast<milliseconds>(now - last.second)});
            }
            const auto others = estimate_peer_usage(quotas[own].use(now), peers, limit);
            const auto coverage = std::chrono::duration<double>(now - started) / limit.window;
            quotas[own].set_peer_usage(others, coverage, now);
        }
    }

    monotonic_time started;
    std::uint64_t requests = 0;
    std::vector<account_quota> quotas;
    std::vector<std::vector<std::pair<quota_usage, monotonic_time>>> reports; ///< By receiver and sender.
};

/// Largest sum of any 80 neighbouring steps of 100 ms.
double largest_window(const std::vector<double>& steps)
{
    double largest = 0;
    double sum = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        sum += steps[index] - (index >= 80 ? steps[index - 80] : 0);
        largest = std::max(largest, sum);
    }
    return largest;
}

std::vector<double> simulate_rise(double usual, double hot)
{
    monotonic_time now{};
    fleet all(9, now);
    std::vector<double> steps;
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(100);
        const auto offered = step < 150 ? usual : hot;
        steps.push_back(all.advance(now, milliseconds(100), offered, step % 7 == 0));
    }
    return steps;
}

} // namespace

TEST_CASE("steady traffic below the limit is never refused once a window has passed")
{
    const auto steps = simulate_rise(60, 60);
    for (std::size_t step = 90; step < steps.size(); ++step)
        CHECK(steps[step] == Approx(9 * 60 * 0.1).margin(95));
}

TEST_CASE("an account with a sudden rise in traffic stays within the bound across all processes")
{
    const auto steps = simulate_rise(60, 600);
    CHECK(largest_window(steps) <= allowed * tolerance);
    // The account still receives nearly its full limit.
    double admitted_after_rise = 0;
    for (std::size_t step = 300; step < 380; ++step)
        admitted_after_rise += steps[step];
    CHECK(admitted_after_rise >= 1'000 * 8 * 0.9);
}

TEST_CASE("processes that have just started together do not exceed the limit of a window")
{
    monotonic_time now{};
    fleet all(9, now);
    double taken = 0;
    for (int step = 0; step < 80; ++step) {
        now += milliseconds(100);
        taken += all.advance(now, milliseconds(100), 600, true);
    }
    CHECK(taken <= allowed);
}

TEST_CASE("after a restart of all processes an account below its limit is served at a single process")
{
    monotonic_time now{};
    fleet all(9, now);
    double asked = 0;
    double taken = 0;
    for (int step = 0; step < 80; ++step) {
        now += milliseconds(100);
        // Half of the limit's rate, all of it at one process.
        constexpr double request = 25;
        for (int count = 0; count < 2; ++count) {
            asked += request;
            taken += all.quotas.front().try_acquire(request, draw_of(++all.requests), now) ? request : 0;
        }
        if (step % 3 == 0)
            all.exchange(now);
    }
    CHECK(taken >= asked * 0.9);
}

TEST_CASE("both sides of a partition that coincides with a rise in traffic stay within the bound together")
{
    monotonic_time now{};
    fleet all(9, now);
    std::vector<double> steps;
    const auto cut_at = monotonic_time{} + seconds(10);
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(100);
        // The traffic rises at the moment when a third of the processes is partitioned from the others.
        const auto offered = now < cut_at ? 0.0 : 400.0;
        steps.push_back(all.advance(now, milliseconds(100), offered, false));
        all.exchange(now, now < cut_at ? 9 : 6);
    }
    CHECK(largest_window(steps) <= allowed * tolerance);
}

TEST_CASE("the usage of a process before its restart still counts")
{
    const std::vector<peer_usage> peers{{{0, 0}, milliseconds(100)}, {{700, 100}, milliseconds(3'000), true}};
    CHECK(estimate_peer_usage({}, peers, limit).in_window >= 700);
    const std::vector<peer_usage> later{{{0, 0}, milliseconds(100)}, {{700, 100}, milliseconds(8'000), true}};
    CHECK(estimate_peer_usage({}, later, limit).in_window == 0);
}

TEST_CASE("an account without a quota is never refused")
{
    account_quota quota(quota_limit{}, {});
    CHECK(quota.try_acquire(1e9, 0.9, {}));
}

TEST_CASE("the amount of a request that did not run is returned")
{
    const monotonic_time later = monotonic_time{} + seconds(20);
    account_quota quota(limit, {});
    quota.set_peer_usage({}, 1, {});
    REQUIRE(quota.try_acquire(allowed, 0.9, later));
    CHECK_FALSE(quota.try_acquire(1'000, 0.1, later));
    quota.refund(allowed, later);
    CHECK(quota.try_acquire(1'000, 0.1, later + seconds(1)));
}

TEST_CASE("retries stay within the ratio and one process's share of the slack")
{
    retry_limiter allowance({0.2, seconds(10), 90});
    const monotonic_time now{};
    for (int index = 0; index < 100; ++index)
        allowance.on_first_request(now);
    int allowed = 0;
    while (allowance.try_repeat(9, now))
        ++allowed;
    CHECK(allowed > 10);
    CHECK(allowed <= 30);
    CHECK(allowance.try_repeat(9, now + seconds(11))); // The window has moved on.
}

} // namespace siskinwharf::dispatch
