#include <map>

#include <catch2/catch.hpp>

#include "siskinwharf/membership/polling.h"

namespace siskinwharf::membership {

TEST_CASE("polling is spread over the members, and a departed member moves only its own endpoints")
{
    std::vector<instance_id> members(14);
    for (std::size_t index = 0; index < members.size(); ++index)
        members[index] = instance_id("entry-" + std::to_string(index));
    std::vector<endpoint_id> endpoints(88);
    for (std::size_t index = 0; index < endpoints.size(); ++index)
        endpoints[index] = endpoint_id("m-" + std::to_string(index));
    const std::vector fewer(members.begin() + 1, members.end());
    const std::vector reversed(members.rbegin(), members.rend());
    std::size_t total = 0;
    for (const auto& member : members) {
        const auto polled = polled_endpoints(member, members, endpoints);
        total += polled.size();
        // The fair share is 6.3; more than three times that would make one process the bottleneck.
        CHECK(polled.size() <= 19);
    }
    CHECK(total == endpoints.size());
    for (const auto& endpoint : endpoints) {
        const auto owner = polling_owner(endpoint, members);
        CHECK(polling_owner(endpoint, reversed) == owner);
        if (owner != members.front())
            CHECK(polling_owner(endpoint, fewer) == owner);
    }
    CHECK_FALSE(polling_owner(endpoints.front(), {}));
}

} // namespace siskinwharf::membership
