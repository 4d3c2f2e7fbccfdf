#include <algorithm>

#include <catch2/catch.hpp>

#include "forwarding_fixture.h"

namespace siskinwharf::forwarding {

namespace {

constexpr std::size_t requests = 30;

std::deque<std::string> answers(const std::string& headers)
{
    return std::deque<std::string>(requests, answer(200, "Signed: 1\r\n" + headers, "whole"));
}

} // namespace

TEST_CASE("an endpoint that names a limit gets far more requests than it takes")
{
    // The first endpoint is preferred. The limit is far below the rate of the callers.
    forwarding_fixture all({answers("Limit: 0.5\r\n"), answers("")});
    std::size_t served = 0;
    for (std::size_t index = 0; index < requests; ++index)
        served += all.ask("/order/x").starts_with("HTTP/1.1 200") ? 1 : 0;
    CHECK(served == requests);
    CHECK(all.endpoints[0]->requests().size() <= 3);
}

} // namespace siskinwharf::forwarding
