#pragma once

#include <compare>
#include <cstddef>
#include <variant>

namespace siskinwharf::routing {

/// Sends equal prompt prefixes to the same endpoint while its load is within the bound.
struct prefix_affinity {
    /// Bound on an endpoint's streams, as a multiple of its share: the streams of the group divided among its
    /// endpoints in proportion to their capacity.
    double load_factor = 1.25;
    /// Number of leading prompt blocks (see `routing_request::prefix_hashes`) whose hash selects the endpoint
    /// if no cache hint tells which endpoint has the prefix in its KV cache.
    std::size_t affinity_blocks = 4;

    auto operator<=>(const prefix_affinity&) const = default;
};

/// Rotates through the endpoints of a group without comparing their load. Like the other policies, it skips
/// endpoints that are excluded, full or too slow.
struct round_robin {
    auto operator<=>(const round_robin&) const = default;
};

/// Chooses the endpoint with the fewest running streams relative to its capacity.
struct least_in_flight {
    auto operator<=>(const least_in_flight&) const = default;
};

/// Policy by which an endpoint is selected from a group.
using routing_policy = std::variant<prefix_affinity, round_robin, least_in_flight>;

} // namespace siskinwharf::routing
