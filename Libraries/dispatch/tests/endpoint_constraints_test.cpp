#include <algorithm>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "siskinwharf/dispatch/load_balancer.h"

namespace siskinwharf::dispatch {

namespace {

constexpr monotonic_time start{seconds(1'000)};
constexpr milliseconds maximum_spread{500};
constexpr auto never = endpoint_constraints::never;

endpoint_record make_endpoint(const std::string& id, std::uint16_t port)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    record.service = service_id("s");
    record.ip = "10.0.0.1";
    record.port = port;
    record.slots = 8;
    record.started_ms = 1;
    return record;
}

endpoint_statement leaving()
{
    endpoint_statement result;
    result.is_leaving = true;
    return result;
}

endpoint_statement pause_of(milliseconds time)
{
    endpoint_statement result;
    result.pause = time;
    return result;
}

endpoint_constraints make_constraints(const std::string& process = "entry-1")
{
    return endpoint_constraints({instance_id(process), failure_domain_id("domain-0")});
}

deployment::service make_service()
{
    deployment::service service;
    service.id = service_id("s");
    return service;
}

load_balancer make_balancer(const std::vector<endpoint_record>& endpoints)
{
    load_balancer balancer(load_balancer_settings{});
    balancer.set_endpoints(endpoints);
    return balancer;
}

placement_decision place(const load_balancer& balancer, monotonic_time now,
                         const std::vector<endpoint_id>& tried = {})
{
    return balancer.place(make_service(), workload{}, tried, seconds(1), now);
}

} // namespace

TEST_CASE("an endpoint that said that it leaves gets no requests until its next incarnation is listed")
{
    auto endpoint = make_endpoint("i-1", 1);
    const auto other = make_endpoint("i-2", 2);
    auto constraints = make_constraints();
    CHECK(constraints.wait(endpoint, start).count() == 0);
    CHECK(constraints.observe(endpoint, leaving(), start).is_leaving_new);
    CHECK_FALSE(constraints.observe(endpoint, leaving(), start).is_leaving_new);
    CHECK(constraints.wait(endpoint, start) == never);
    CHECK(constraints.wait(other, start).count() == 0);
    // Neither a response without the statement nor time nor an older list ends it.
    constraints.observe(endpoint, {}, start + seconds(1));
    constraints.retain({endpoint, other});
    CHECK(constraints.wait(endpoint, start + std::chrono::hours(2)) == never);
    constraints.retain({other});
    constraints.retain({endpoint, other});
    CHECK(constraints.wait(endpoint, start + seconds(2)) == never);
    CHECK(constraints.take_ended(start + seconds(2)).empty());
    endpoint.started_ms = 2;
    CHECK(constraints.wait(endpoint, start).count() == 0);
    constraints.retain({endpoint, other});
    const ended_constraint ended{endpoint.id, constraint_kind::leaving, constraint_end::replaced, start};
    CHECK(constraints.take_ended(start + seconds(3)) == std::vector{ended});
    CHECK(constraints.take_ended(start + seconds(3)).empty());
}

TEST_CASE("another endpoint at the address of a leaving one takes requests, and the leaving one is forgotten")
{
    const auto endpoint = make_endpoint("i-1", 1);
    const auto successor = make_endpoint("i-9", 1);
    auto constraints = make_constraints();
    constraints.observe(endpoint, leaving(), start);
    constraints.retain({successor});
    CHECK(constraints.wait(successor, start).count() == 0);
    CHECK(constraints.take_ended(start).size() == 1);
}

TEST_CASE("leaving endpoints that are not listed any more fill no memory")
{
    auto constraints = make_constraints();
    for (std::size_t index = 0; index < 2 * endpoint_constraints::maximum_unlisted; ++index)
        constraints.observe(make_endpoint("i-" + std::to_string(index), static_cast<std::uint16_t>(index)),
                            leaving(), start);
    constraints.retain({});
    CHECK(constraints.take_ended(start).size() == endpoint_constraints::maximum_unlisted);
}

TEST_CASE("a pause holds for its time and is reported once when it begins and once when it ends")
{
    const auto endpoint = make_endpoint("i-1", 1);
    auto constraints = make_constraints();
    REQUIRE(constraints.observe(endpoint, pause_of(seconds(4)), start).pause);
    CHECK(constraints.wait(endpoint, start) >= seconds(4));
    CHECK(constraints.wait(endpoint, start) <= seconds(4) + maximum_spread);
    // The responses of one moment name the same pause, and others say nothing of it.
    CHECK_FALSE(constraints.observe(endpoint, pause_of(seconds(4)), start + milliseconds(20)).pause);
    constraints.observe(endpoint, {}, start + seconds(1));
    const auto last = start + milliseconds(4'019);
    CHECK(constraints.wait(endpoint, last).count() > 0);
    CHECK(constraints.take_ended(last).empty());
    const auto after = start + milliseconds(4'020) + maximum_spread;
    CHECK(constraints.wait(endpoint, after).count() == 0);
    const ended_constraint ended{endpoint.id, constraint_kind::pause, constraint_end::expired, start};
    CHECK(constraints.take_ended(after) == std::vector{ended});
    CHECK(constraints.take_ended(after).empty());
    CHECK(constraints.observe(endpoint, pause_of(seconds(4)), after).pause);
}

TEST_CASE("the last pause that an endpoint names holds, shorter or longer, and 0 ends it")
{
    const auto endpoint = make_endpoint("i-1", 1);
    auto constraints = make_constraints();
    constraints.observe(endpoint, pause_of(seconds(20)), start);
    CHECK(constraints.observe(endpoint, pause_of(seconds(2)), start).pause);
    CHECK(constraints.wait(endpoint, start) <= seconds(2) + maximum_spread);
    CHECK(constraints.observe(endpoint, pause_of(seconds(30)), start).pause);
    CHECK(constraints.wait(endpoint, start) >= seconds(30));
    CHECK_FALSE(constraints.observe(endpoint, pause_of(seconds(0)), start).pause);
    CHECK(constraints.wait(endpoint, start).count() == 0);
    const ended_constraint ended{endpoint.id, constraint_kind::pause, constraint_end::withdrawn, start};
    CHECK(constraints.take_ended(start) == std::vector{ended});
}

TEST_CASE("a restart ends a pause, and a very long pause is bounded")
{
    auto endpoint = make_endpoint("i-1", 1);
    auto constraints = make_constraints();
    constraints.observe(endpoint, pause_of(std::chrono::hours(1'000)), start);
    CHECK(constraints.wait(endpoint, start) <= endpoint_constraints::maximum_pause + maximum_spread);
    CHECK(constraints.pause_left(endpoint, start) == constraints.wait(endpoint, start));
    endpoint.started_ms = 2;
    CHECK(constraints.wait(endpoint, start).count() == 0);
    CHECK(constraints.pause_left(endpoint, start).count() == 0);
    // What the new incarnation says replaces what the old one said.
    constraints.observe(endpoint, pause_of(seconds(1)), start);
    CHECK(constraints.wait(endpoint, start) <= seconds(1) + maximum_spread);
    CHECK(constraints.take_ended(start).size() == 1);
}

TEST_CASE("a limit, a pause and leaving hold together")
{
    const auto endpoint = make_endpoint("i-1", 1);
    auto constraints = make_constraints();
    constraints.observe(endpoint, {0.5, false, seconds(90)}, start);
    // A limit that nobody confirms is tried out after a minute, but not during the pause.
    CHECK(constraints.wait(endpoint, start + seconds(70)) >= seconds(20));
    constraints.observe(endpoint, {0.5, false, std::nullopt}, start + seconds(91));
    CHECK(constraints.wait(endpoint, start + seconds(91)).count() == 0);
    constraints.on_sent(endpoint, start + seconds(91));
    CHECK(constraints.wait(endpoint, start + seconds(91)).count() > 0);
    constraints.observe(endpoint, {0.5, true, std::nullopt}, start + seconds(91));
    CHECK(constraints.wait(endpoint, start + seconds(200)) == never);
}

TEST_CASE("pauses that endpoints name at one moment do not all end at one moment")
{
    std::set<milliseconds> of_endpoints;
    auto constraints = make_constraints();
    std::set<milliseconds> of_processes;
    for (std::uint16_t index = 0; index < 20; ++index) {
        const auto endpoint = make_endpoint("i-" + std::to_string(index), index);
        constraints.observe(endpoint, pause_of(seconds(5)), start);
        of_endpoints.insert(constraints.wait(endpoint, start));
        auto process = make_constraints("entry-" + std::to_string(index));
        const auto one = make_endpoint("i-1", 1);
        process.observe(one, pause_of(seconds(5)), start);
        of_processes.insert(process.wait(one, start));
    }
    for (const auto& waits : {of_endpoints, of_processes}) {
        CHECK(waits.size() >= 15);
        CHECK(*waits.begin() >= seconds(5));
        CHECK(*waits.rbegin() <= seconds(5) + maximum_spread);
        CHECK(*waits.rbegin() - *waits.begin() >= milliseconds(300));
    }
}

TEST_CASE("peers are told of a leaving endpoint once, and act on the word for the same incarnation only")
{
    const auto endpoint = make_endpoint("i-1", 1);
    auto balancer = make_balancer({endpoint});
    auto own = make_constraints();
    own.observe(endpoint, leaving(), start);
    const auto told = own.announcements(start + milliseconds(200));
    REQUIRE(told.size() == 1);
    CHECK(told[0] == endpoint_limit{endpoint.id, 1, std::nullopt, milliseconds(200), true});
    CHECK(own.announcements(start + seconds(3)).empty());
    // A repeated statement is no news.
    own.observe(endpoint, leaving(), start + seconds(4));
    CHECK(own.announcements(start + seconds(4)).empty());

    CHECK(balancer.merge_limits({{endpoint.id, 0, std::nullopt, milliseconds(0), true}}, start).empty());
    CHECK(std::holds_alternative<placement>(place(balancer, start)));
    CHECK(balancer.merge_limits(told, start + milliseconds(300)).size() == 1);
    CHECK(balancer.merge_limits(told, start + milliseconds(300)).empty());
    CHECK(std::holds_alternative<placement_refusal>(place(balancer, start + seconds(60))));
    // What was told is not told on.
    CHECK(balancer.constraints().announcements(start + milliseconds(300)).empty());
    // An older word of the limit, which a peer sent before, does not undo it.
    CHECK(balancer.constraints().merge(endpoint, {endpoint.id, 1, 2.0, seconds(1)}, start + seconds(1)));
    CHECK(balancer.constraints().wait(endpoint, start + seconds(1)) == never);
}

TEST_CASE("what peers are told of leaving endpoints is bounded, and the latest are told")
{
    constexpr std::size_t maximum_told = 2;
    auto constraints = make_constraints();
    for (std::uint16_t index = 0; index < 100; ++index)
        constraints.observe(make_endpoint("i-" + std::to_string(index), index), leaving(),
                            start + milliseconds(index));
    const auto told = constraints.announcements(start + milliseconds(100));
    CHECK(told.size() == maximum_told);
    CHECK(std::ranges::all_of(told, [](const auto& one) { return one.age.count() <= 2; }));
}

TEST_CASE("placement passes over endpoints that leave or pause and names the least wait when none is left")
{
    const std::vector<endpoint_record> endpoints{make_endpoint("i-1", 1), make_endpoint("i-2", 2),
                                                 make_endpoint("i-3", 3)};
    auto balancer = make_balancer(endpoints);
    auto& constraints = balancer.constraints();
    constraints.observe(endpoints[0], leaving(), start);
    constraints.observe(endpoints[1], pause_of(seconds(9)), start);
    for (int index = 0; index < 20; ++index) {
        const auto decision = place(balancer, start);
        REQUIRE(std::holds_alternative<placement>(decision));
        CHECK(std::get<placement>(decision).endpoint.id == endpoint_id("i-3"));
        static_cast<void>(balancer.start(make_service(), endpoint_id("i-3"), workload{}, start));
    }
    constraints.observe(endpoints[2], pause_of(seconds(5)), start);
    // An endpoint that was tried may take the caller's next request.
    for (const auto& tried : std::vector<std::vector<endpoint_id>>{{}, {endpoint_id("i-3")}}) {
        const auto decision = place(balancer, start, tried);
        REQUIRE(std::holds_alternative<placement_refusal>(decision));
        const auto& refusal = std::get<placement_refusal>(decision);
        CHECK(refusal.reason == refusal_reason::limited);
        CHECK(refusal.retry_after == constraints.wait(endpoints[2], start));
    }
    // An older list does not bring the leaving endpoint back.
    balancer.set_endpoints(endpoints);
    constraints.observe(endpoints[1], leaving(), start);
    constraints.observe(endpoints[2], leaving(), start);
    const auto none = place(balancer, start);
    REQUIRE(std::holds_alternative<placement_refusal>(none));
    CHECK(std::get<placement_refusal>(none).reason == refusal_reason::no_endpoint);
}

} // namespace siskinwharf::dispatch
