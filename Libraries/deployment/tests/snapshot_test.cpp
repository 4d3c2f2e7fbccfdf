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

TEST_CASE("the route with the longest matching prefix of the host is selected")
{
    const auto configuration = make_snapshot();
    REQUIRE(configuration.find_route("a.example", "/plan/weekly/x") != nullptr);
    CHECK(configuration.find_route("a.example", "/plan/weekly/x")->path_prefix == "/plan/weekly/");
    CHECK(configuration.find_route("a.example", "/plan/x")->path_prefix == "/plan/");
    // A request for another host must not match a route of this host.
    CHECK(configuration.find_route("c.example", "/plan/x") == nullptr);
    // A path prefix ends with a slash, so a longer path segment does not match it.
    CHECK(configuration.find_route("a.example", "/planet/x") == nullptr);
}

TEST_CASE("an account is found by each of its keys and by no other text")
{
    const auto configuration = make_snapshot();
    REQUIRE(configuration.find_account("new-key") != nullptr);
    CHECK(configuration.find_account("new-key")->id == account_id("bakery"));
    CHECK(configuration.find_account("old-key") == configuration.find_account("new-key"));
    CHECK(configuration.find_account("") == nullptr);
    CHECK(configuration.find_account("new-key ") == nullptr);
}

TEST_CASE("the urgency is the position of a rank, regardless of the distance between ranks")
{
    const auto configuration = make_snapshot();
    // The ranks of the three routes are 1, 4 and 9; the position is that among the distinct ranks.
    CHECK(configuration.urgency(1) == 0);
    CHECK(configuration.urgency(4) == 1);
    CHECK(configuration.urgency(9) == 2);
}

TEST_CASE("a route splits requests among its services by their weights")
{
    // The weights are 90 and 10, so a tenth of the requests goes to the second service.
    const auto split = make_route("a", "/", 0);
    std::size_t requests_to_next = 0;
    for (std::uint64_t request_hash = 0; request_hash < 1000; ++request_hash)
        requests_to_next += choose_service(split, request_hash) == service_id("plans-next") ? 1U : 0U;
    CHECK(requests_to_next == 100);
}

} // namespace siskinwharf::deployment
