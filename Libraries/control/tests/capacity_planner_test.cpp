#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/control/capacity_planner.h"

namespace siskinwharf::control {

namespace {

const monotonic_time start(seconds(1000));

/// Offers in each failure domain, per 10 streams and hour: reclaimable small instances at 3 cents,
/// reclaimable large ones at 4 cents, and on-demand small ones at 10 cents.
capacity_snapshot make_snapshot(int domains, std::uint32_t demand)
{
    capacity_snapshot snapshot;
    snapshot.demand_streams = demand;
    for (int number = 0; number < domains; ++number) {
        const failure_domain_id domain("d" + std::to_string(number));
        snapshot.offers.push_back({{domain, "small", instance_kind::reclaimable}, 3'000'000, 10, 0, 0});
        snapshot.offers.push_back({{domain, "large", instance_kind::reclaimable}, 8'000'000, 20, 0, 0});
        snapshot.offers.push_back({{domain, "small", instance_kind::on_demand}, 10'000'000, 10, 0, 0});
        snapshot.budgets.push_back({domain, 1'000'000'000});
    }
    return snapshot;
}

/// Applies the planned counts at once.
void execute(capacity_snapshot& snapshot, const capacity_plan& plan)
{
    for (const auto& order : plan.orders) {
        for (auto& offer : snapshot.offers) {
            if (offer.key == order.key)
                offer.running = order.count;
        }
    }
}

std::uint32_t running(const capacity_snapshot& snapshot, instance_kind kind, const std::string& machine_class)
{
    std::uint32_t sum = 0;
    for (const auto& offer : snapshot.offers) {
        if (offer.key.kind == kind && offer.key.machine_class == machine_class)
            sum += offer.running;
    }
    return sum;
}

} // namespace

TEST_CASE(
    "refused starts move to the next class, then to the next failure domain, and to on-demand only at risk")
{
    struct refusal_case {
        const char* description;
        std::vector<std::size_t> refused; ///< Indices of the refused offers.
        std::uint32_t small;
        std::uint32_t large;
        std::uint32_t on_demand;
    };
    // 100 streams and a margin of 5 in three domains: with 53 streams in each, any two of them serve 105.
    const refusal_case cases[] = {
        {"none", {}, 17, 0, 0},
        {"one class in one domain", {0}, 11, 3, 0},
        {"one whole domain", {0, 1}, 22, 0, 0},
        {"all reclaimable", {0, 1, 3, 4, 6, 7}, 0, 0, 11},
    };
    for (const auto& fault : cases) {
        INFO(fault.description);
        auto snapshot = make_snapshot(3, 100);
        capacity_planner planner({});
        for (const auto offer : fault.refused)
            planner.start_refused(snapshot.offers[offer].key, start);
        const auto plan = planner.plan(snapshot, start + seconds(1));
        execute(snapshot, plan);
        CHECK(running(snapshot, instance_kind::reclaimable, "small") == fault.small);
        CHECK(running(snapshot, instance_kind::reclaimable, "large") == fault.large);
        CHECK(running(snapshot, instance_kind::on_demand, "small") == fault.on_demand);
        CHECK(plan.at_risk == (fault.on_demand > 0));
        CHECK(plan.surviving_streams >= 105);
    }
}

TEST_CASE("a refused offer is tried again after a back-off that doubles")
{
    auto snapshot = make_snapshot(1, 10);
    snapshot.offers.resize(1);
    const auto key = snapshot.offers[0].key;
    capacity_planner planner({});
    planner.start_refused(key, start);
    planner.start_refused(key, start + seconds(1)); // Belongs to the same order.
    CHECK(planner.plan(snapshot, start + seconds(59)).orders.empty());
    CHECK(planner.plan(snapshot, start + seconds(60)).orders.size() == 1);
    planner.start_refused(key, start + seconds(60));
    CHECK(planner.plan(snapshot, start + seconds(179)).orders.empty());
    CHECK(planner.plan(snapshot, start + seconds(180)).orders.size() == 1);
}

TEST_CASE("a short dip in demand stops no instances")
{
    auto snapshot = make_snapshot(3, 100);
    capacity_planner planner({});
    execute(snapshot, planner.plan(snapshot, start));
    snapshot.demand_streams = 50;
    CHECK(planner.plan(snapshot, start + seconds(60)).orders.empty());
    snapshot.demand_streams = 100;
    CHECK(planner.plan(snapshot, start + seconds(120)).orders.empty());
    snapshot.demand_streams = 50;
    CHECK(planner.plan(snapshot, start + seconds(900)).orders.empty());
    CHECK_FALSE(planner.plan(snapshot, start + seconds(1800)).orders.empty());
}

TEST_CASE("property: budgets and the weight store's rate hold, and the loss of a domain is survived")
{
    CHECK(rc::check([] {
        auto snapshot = make_snapshot(*rc::gen::inRange(2, 6), *rc::gen::inRange<std::uint32_t>(1, 400));
        const bool has_small_budget = *rc::gen::arbitrary<bool>();
        for (auto& budget : snapshot.budgets)
            budget.microcents_per_hour = has_small_budget ? 20'000'000 : 10'000'000'000;
        capacity_planner planner({});
        for (int refusals = *rc::gen::inRange(0, 6); refusals > 0; --refusals)
            planner.start_refused(
                snapshot.offers[*rc::gen::inRange<std::size_t>(0, snapshot.offers.size())].key, start);
        std::uint32_t before = 0;
        capacity_plan plan;
        for (int minute = 0; minute < 8; ++minute) {
            plan = planner.plan(snapshot, start + seconds(minute * 60));
            execute(snapshot, plan);
            std::uint32_t total = 0;
            std::map<std::string, std::uint64_t> spend;
            for (const auto& offer : snapshot.offers) {
                total += offer.running;
                spend[offer.key.domain.value()] += offer.running * offer.microcents_per_hour;
            }
            RC_ASSERT(total <= before + 40);
            before = total;
            for (const auto& [domain, microcents] : spend)
                RC_ASSERT(microcents <= snapshot.budgets[0].microcents_per_hour);
        }
        RC_ASSERT(has_small_budget || plan.surviving_streams >= snapshot.demand_streams);
    }));
}

} // namespace siskinwharf::control
