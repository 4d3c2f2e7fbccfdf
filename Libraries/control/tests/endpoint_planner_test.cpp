#include <catch2/catch.hpp>

#include "siskinwharf/control/endpoint_planner.h"

namespace siskinwharf::control {

namespace {

const failure_domain_id kingston("kingston-a");
const failure_domain_id montego("montego-a");
const failure_domain_id ocho("ocho-a");

void set_load(service_snapshot& snapshot, double busy)
{
    for (auto& domain : snapshot.domains)
        domain.busy = busy / static_cast<double>(snapshot.domains.size());
}

service_snapshot make_snapshot(double busy)
{
    service_snapshot result;
    result.minimum = 1;
    result.maximum = 12;
    result.start_time = milliseconds(4'000);
    result.reclaimable_price = 0.18;
    result.domains = {{kingston, 1.0, 0, 6, 0}, {montego, 0.8, 0, 6, 0}, {ocho, 1.25, 0, 6, 0}};
    set_load(result, busy);
    return result;
}

/// A platform whose ordered endpoints serve after the start time; it removes endpoints at once.
struct fake_platform {
    void step(monotonic_time now)
    {
        for (const auto& order : planner.plan(snapshot, now)) {
            if (order.kind == instance_kind::reclaimable && refuses_reclaimable) {
                planner.refused(order, now);
                continue;
            }
            planner.accepted(order, snapshot.start_time, now);
            for (auto& domain : snapshot.domains) {
                if (domain.domain != order.domain)
                    continue;
                auto& count = order.kind == instance_kind::on_demand ? domain.on_demand : domain.reclaimable;
                if (order.count <= count)
                    count = order.count;
                else
                    starts.emplace_back(now + snapshot.start_time, order);
            }
        }
        for (const auto& [time, order] : starts) {
            if (time > now)
                continue;
            for (auto& domain : snapshot.domains) {
                if (domain.domain == order.domain)
                    (order.kind == instance_kind::on_demand ? domain.on_demand : domain.reclaimable) =
                        order.count;
            }
        }
        std::erase_if(starts, [&](const auto& start) { return start.first <= now; });
    }

    [[nodiscard]] double cost() const
    {
        double sum = 0;
        for (const auto& domain : snapshot.domains)
            sum += domain.price * (domain.on_demand + snapshot.reclaimable_price * domain.reclaimable);
        return sum;
    }

    [[nodiscard]] std::uint32_t serving() const
    {
        std::uint32_t sum = 0;
        for (const auto& domain : snapshot.domains)
            sum += domain.on_demand + domain.reclaimable;
        return sum;
    }

    endpoint_planner planner;
    service_snapshot snapshot = make_snapshot(0);
    std::vector<std::pair<monotonic_time, endpoint_count>> starts;
    bool refuses_reclaimable = false;
};

} // namespace

TEST_CASE("at low load few reclaimable endpoints remain, spread over the failure domains")
{
    fake_platform platform;
    monotonic_time now{seconds(1)};
    const auto before = platform.cost();
    for (int step = 0; step < 120; ++step, now += milliseconds(500)) {
        set_load(platform.snapshot, step < 20 ? 0 : 3.4);
        platform.step(now);
        // The serving endpoints carry the load at every step, also while replacements start.
        CHECK(platform.serving() >= 3.4 / 0.75);
    }
    CHECK(platform.cost() < before * 0.35);
    for (const auto& domain : platform.snapshot.domains)
        CHECK(domain.reclaimable + domain.on_demand >= 2);
}

TEST_CASE("without load, reclaimable endpoints replace on-demand ones, and no fewer serve meanwhile")
{
    // Guards against no endpoint being replaced when the first snapshot still contains no endpoints.
    fake_platform platform;
    const auto listed = platform.snapshot.domains;
    for (auto& domain : platform.snapshot.domains)
        domain.on_demand = 0;
    monotonic_time now{seconds(1)};
    platform.step(now);
    platform.snapshot.domains = listed;
    for (int step = 0; step < 20; ++step, now += milliseconds(500)) {
        platform.step(now);
        CHECK(platform.serving() >= 18);
    }
    for (const auto& domain : platform.snapshot.domains) {
        CHECK(domain.reclaimable == 6);
        CHECK(domain.on_demand == 3);
    }
}

TEST_CASE("reclaimable endpoints keep utilization low, on-demand ones only carry the load through a reclaim")
{
    // Guards against slow generation at a high utilization: an engine that spends half of its time on prompts
    // generates tokens at a third of its speed.
    fake_platform platform;
    monotonic_time now{seconds(1)};
    for (int step = 0; step < 60; ++step, now += milliseconds(500)) {
        set_load(platform.snapshot, step < 20 ? 0 : 4.5);
        platform.step(now);
    }
    CHECK(platform.serving() >= 4.5 / 0.3);
    std::uint32_t on_demand = 0;
    for (const auto& domain : platform.snapshot.domains)
        on_demand += domain.on_demand;
    CHECK(on_demand <= 3);
    CHECK(platform.cost() < 6);
}

TEST_CASE("with more failure domains the loss of two of them takes a smaller part of the load")
{
    // Guards against on-demand endpoints in each of many failure domains that stand for a loss of all of
    // them.
    fake_platform platform;
    platform.snapshot.maximum = 26;
    platform.snapshot.domains.clear();
    constexpr int count = 6;
    for (int index = 0; index < count; ++index)
        platform.snapshot.domains.push_back({failure_domain_id("d" + std::to_string(index)), 1.0, 0, 13, 0});
    constexpr double busy = 20;
    monotonic_time now{seconds(1)};
    for (int step = 0; step < 60; ++step, now += milliseconds(500)) {
        set_load(platform.snapshot, step < 20 ? 0 : busy);
        platform.step(now);
    }
    std::uint32_t on_demand = 0;
    std::uint32_t surviving = 0;
    for (std::size_t index = 0; index < platform.snapshot.domains.size(); ++index) {
        const auto& domain = platform.snapshot.domains[index];
        on_demand += domain.on_demand;
        surviving += domain.on_demand + (index < 2 ? 0 : domain.reclaimable);
    }
    CHECK(on_demand <= busy * 2 / count + 1);
    CHECK(surviving >= busy / 0.65);
}

TEST_CASE("no endpoints are removed before the first load was measured")
{
    fake_platform platform;
    set_load(platform.snapshot, 0.1);
    for (const auto& order : platform.planner.plan(platform.snapshot, monotonic_time{seconds(5)})) {
        const bool removes_on_demand = order.kind == instance_kind::on_demand && order.count < 6;
        CHECK_FALSE(removes_on_demand);
    }
}

TEST_CASE("reclaimed endpoints are ordered again")
{
    fake_platform platform;
    monotonic_time now{seconds(1)};
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step, now += milliseconds(500)) {
            set_load(platform.snapshot, 3.4);
            platform.step(now);
        }
    };
    run(60);
    auto& reclaimed = platform.snapshot.domains[1];
    REQUIRE(reclaimed.reclaimable > 0);
    reclaimed.reclaimable = 0;
    run(20);
    CHECK(reclaimed.reclaimable > 0);
}

TEST_CASE("when no reclaimable endpoints are available, on-demand ones carry the load")
{
    fake_platform platform;
    platform.refuses_reclaimable = true;
    platform.snapshot.domains = {{kingston, 1.0, 0, 0, 4}, {montego, 0.8, 0, 0, 0}, {ocho, 1.25, 0, 0, 4}};
    monotonic_time now{seconds(1)};
    for (int step = 0; step < 40; ++step, now += milliseconds(500)) {
        set_load(platform.snapshot, 3.4);
        platform.step(now);
    }
    // The load is also carried after a loss of the reclaimable endpoints of one failure domain.
    CHECK(platform.serving() - 4 >= 3.4);
    // Refused reclaimable endpoints are not ordered again and again to fill the minimum.
    CHECK(platform.snapshot.domains[1].on_demand >= 1);
}

TEST_CASE("the platform's bounds for each failure domain are kept")
{
    fake_platform platform;
    monotonic_time now{seconds(1)};
    for (int step = 0; step < 60; ++step, now += milliseconds(500)) {
        set_load(platform.snapshot, 40);
        platform.step(now);
        for (const auto& domain : platform.snapshot.domains) {
            CHECK(domain.on_demand + domain.reclaimable <= 12);
            CHECK(domain.on_demand + domain.reclaimable >= 1);
        }
    }
}

} // namespace siskinwharf::control
