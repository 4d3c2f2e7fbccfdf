#pragma once

#include <compare>
#include <cstddef>
#include <variant>

namespace siskinwharf::routing {

/// Sends equal prompt prefixes to the same endpoint while its load is within the bound.
struct prefix_affinity {
    double load_factor = 1.25;       ///< Bound on an endpoint's load, as a multiple of its share.
    std::size_t affinity_blocks = 4; ///< Leading prompt blocks that select the endpoint without a hint.

    auto operator<=>(const prefix_affinity&) const = default;
};

/// Rotates through the endpoints of a group, regardless of their load.
struct round_robin {
    auto operator<=>(const round_robin&) const = default;
};

/// Chooses the endpoint with the fewest streams relative to its capacity.
struct least_in_flight {
    auto operator<=>(const least_in_flight&) const = default;
};

/// Policy by which an endpoint of a group is selected.
using routing_policy = std::variant<prefix_affinity, round_robin, least_in_flight>;

} // namespace siskinwharf::routing
