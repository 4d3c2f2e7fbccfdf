#include <catch2/catch.hpp>

#include "siskinwharf/deployment/snapshot.h"

namespace siskinwharf::deployment {

namespace {

route make_route(std::string host, std::string prefix, std::uint32_t rank)
{
    route result;
    result.name = host + prefix;
    result.host = std::move(host);
    result.path_prefix = std::move(prefix);
    result.rank = rank;
    result.shares = {{service_id("plans"), 90}, {service_id("plans-next"), 10}};
    return result;
}

snapshot make_snapshot()
{
    snapshot_content content;
    content.version = 7;
    content.routes = {make_route("a.example", "/plan/", 4), make_route("a.example", "/plan/weekly/", 9),
                      make_route("b.example", "/", 1)};
    account bakery;
    bakery.id = account_id("bakery");
    bakery.keys = {"old-key", "new-key"};
    content.accounts = {bakery};
    return snapshot(std::move(content));
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen")
{
    const auto value = make_snapshot();
    REQUIRE(value.find_route("a.example", "/plan/weekly/x") != nullptr);
    CHECK(value.find_route("a.example", "/plan/weekly/x")->path_prefix == "/plan/weekly/");
    CHECK(value.find_route("a.example", "/plan/x")->path_prefix == "/plan/");
    // A request for another host must not fall through to a route of this one.
    CHECK(value.find_route("c.example", "/plan/x") == nullptr);
    CHECK(value.find_route("a.example", "/planet/x") == nullptr);
}

TEST_CASE("each key of an account finds it and no other text does")
{
    const auto value = make_snapshot();
    REQUIRE(value.find_account("new-key") != nullptr);
    CHECK(value.find_account("new-key")->id == account_id("bakery"));
    CHECK(value.find_account("old-key") == value.find_account("new-key"));
    CHECK(value.find_account("") == nullptr);
    CHECK(value.find_account("new-key ") == nullptr);
}

TEST_CASE("ranks are ordered by their value, not by their distance")
{
    const auto value = make_snapshot();
    CHECK(value.urgency(1) == 0);
    CHECK(value.urgency(4) == 1);
    CHECK(value.urgency(9) == 2);
}

TEST_CASE("a route's services get requests by their weights")
{
    const auto split = make_route("a", "/", 0);
    std::size_t next = 0;
    for (std::uint64_t choice = 0; choice < 1000; ++choice)
        next += choose_service(split, choice) == service_id("plans-next") ? 1U : 0U;
    CHECK(next == 100);
}

} // namespace siskinwharf::deployment
