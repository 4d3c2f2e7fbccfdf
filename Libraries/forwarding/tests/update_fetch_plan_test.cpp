#include <catch2/catch.hpp>

#include "siskinwharf/forwarding/transfer_budget.h"
#include "siskinwharf/forwarding/update_fetch_plan.h"

namespace siskinwharf::forwarding {

namespace {

const monotonic_time start = monotonic_time{} + seconds(100);
const known_versions own{{1, 0}, {0, 1}};

update_offer make_offer(const std::string& id, std::uint64_t rank, bool is_in_domain = true)
{
    return {instance_id(id), {"10.0.0.1", 7'600}, {{2, 0}, {0, 1}}, is_in_domain, rank};
}

} // namespace

TEST_CASE("a peer that does not answer is joined by another one, and left out after it failed")
{
    // Guards against a process that asks one peer until it is no more the best.
    update_fetch_plan plan(shared_item::configuration);
    plan.observe({make_offer("low", 1), make_offer("high", 2)}, own, start);
    CHECK(plan.next(start)->process == instance_id("high"));
    CHECK_FALSE(plan.next(start + milliseconds(200)));
    CHECK(plan.next(start + milliseconds(250))->process == instance_id("low"));
    plan.on_failed(instance_id("high"), start + milliseconds(300));
    plan.on_answered(instance_id("low"), false, start + milliseconds(300));
    CHECK_FALSE(plan.next(start + milliseconds(300)));
    plan.observe({make_offer("low", 1), make_offer("high", 2)}, own, start + milliseconds(600));
    CHECK(plan.next(start + milliseconds(600))->process == instance_id("low"));
    CHECK(plan.failures() == 1);
}

TEST_CASE("peers of the own failure domain are asked first, and the others a moment later")
{
    update_fetch_plan plan(shared_item::configuration);
    plan.observe({make_offer("far", 9, false)}, own, start);
    CHECK_FALSE(plan.next(start + milliseconds(50)));
    plan.observe({make_offer("far", 9, false), make_offer("near", 1)}, own, start + milliseconds(150));
    CHECK(plan.next(start + milliseconds(150))->process == instance_id("near"));
}

TEST_CASE("what peers do not deliver is read from the store, sooner if they refuse")
{
    update_fetch_plan plan(shared_item::configuration);
    CHECK_FALSE(plan.must_read_store(start));
    const std::vector<update_offer> offers{make_offer("first", 1), make_offer("second", 2)};
    plan.observe(offers, own, start);
    REQUIRE(plan.next(start));
    CHECK_FALSE(plan.must_read_store(start + milliseconds(499)));
    CHECK(plan.must_read_store(start + milliseconds(500)));
    // A version that arrived starts the time anew.
    const known_versions newer{{2, 0}, {0, 1}};
    auto newest = offers;
    for (auto& offer : newest)
        offer.versions.configuration.version = 3;
    plan.observe(newest, newer, start + milliseconds(500));
    CHECK_FALSE(plan.must_read_store(start + milliseconds(600)));
    plan.on_refused(instance_id("first"), start + milliseconds(600));
    plan.on_refused(instance_id("second"), start + milliseconds(600));
    CHECK(plan.must_read_store(start + milliseconds(600)));
    plan.observe({}, {{3, 0}, {0, 1}}, start + milliseconds(700));
    CHECK_FALSE(plan.must_read_store(start + seconds(9)));
    CHECK_FALSE(plan.is_missing());
}

TEST_CASE("transfers to peers leave most of the link to callers")
{
    // Guards against a reader on a slow link that sends a large text to all processes of its region at once.
    transfer_budget budget(1'250'000);
    constexpr std::uint64_t text = 150'000;
    int sent = 0;
    for (int asked = 0; asked < 23; ++asked)
        sent += budget.try_take(text, start) ? 1 : 0;
    CHECK(sent == 2);
    // Changes of the endpoint list are small.
    CHECK(budget.try_take(2'000, start));
    CHECK_FALSE(budget.try_take(text, start + milliseconds(200)));
    CHECK(budget.try_take(text, start + seconds(1)));
    // A text larger than the budget of a second is sent when nothing else is.
    CHECK(budget.try_take(4'000'000, start + seconds(3)));
    CHECK_FALSE(budget.try_take(text, start + seconds(10)));
}

} // namespace siskinwharf::forwarding
