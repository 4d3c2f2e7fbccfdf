#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/account_quota.h"
#include "siskinwharf/dispatch/retry_allowance.h"

namespace siskinwharf::dispatch {

TEST_CASE("shares of equal views add up to one")
{
    const std::vector<double> demands{100, 300, 0, 600};
    double sum = 0;
    for (std::size_t own = 0; own < demands.size(); ++own) {
        std::vector<peer_demand> peers;
        for (std::size_t other = 0; other < demands.size(); ++other) {
            if (other != own)
                peers.push_back({demands[other], false});
        }
        sum += quota_share(demands[own], peers);
    }
    CHECK(sum == Approx(1).margin(0.01));
}

TEST_CASE("both sides of a partition together stay within the quota")
{
    // Each side sees its own demand rise and the other side as it was.
    const std::vector<peer_demand> peers{{1'000, false}, {0, true}, {0, true}};
    const auto share = quota_share(1'000, peers);
    CHECK(4 * share <= 1.01);
}

TEST_CASE("a bucket admits its rate and burst and no more")
{
    monotonic_time now{};
    account_quota quota(1'000, 2'000, now);
    quota.set_share(1, now);
    double taken = 0;
    for (int step = 0; step < 800; ++step) {
        now += milliseconds(10);
        while (quota.try_take(50, now))
            taken += 50;
    }
    CHECK(taken <= 1'000 * 8 + 2'000 + 50);
    CHECK(taken >= 1'000 * 7.5);
}

TEST_CASE("an account without a quota is never refused")
{
    account_quota quota(0, 0, {});
    CHECK(quota.try_take(1e9, {}));
}

TEST_CASE("repeats stay within the ratio and the slack of one process")
{
    retry_allowance allowance({0.2, seconds(10), 90});
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
