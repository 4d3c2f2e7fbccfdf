#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/routing/endpoint_load.h"

namespace siskinwharf::routing {

/// An endpoint of the snapshot with its load, which lives on across snapshots.
struct endpoint_entry {
    std::shared_ptr<const endpoint_info> info;
    std::shared_ptr<endpoint_load> load;
    std::uint64_t key = 0; ///< Hash of the endpoint id.
    std::uint32_t capacity = 0;
};

/// One point of the consistent hash ring.
struct ring_point {
    std::uint64_t position = 0;
    std::uint32_t index = 0; ///< Into `endpoint_group::endpoints`.
};

/// The live endpoints of one target in one failure domain.
struct endpoint_group {
    failure_domain_id domain;
    region_id region;
    std::uint64_t domain_key = 0;
    double cheapest_microcents_per_token = 0;
    std::vector<endpoint_entry> endpoints; ///< Sorted by key.
    std::vector<ring_point> ring;          ///< Sorted by position.

    /// The endpoint with this key, or null.
    [[nodiscard]] const endpoint_entry* find(std::uint64_t key) const;
};

/// All endpoints of one target.
struct target_endpoints {
    std::vector<std::shared_ptr<const endpoint_group>> groups;
    std::vector<endpoint_entry> isolated;
    std::uint32_t leaving = 0; ///< How many more endpoints are leaving.
};

struct target_hash {
    std::size_t operator()(const target& value) const { return hash_target(value); }
};

/// Price of sending a gigabyte out of a region, in cents. A region without an entry sends for nothing.
using egress_prices = std::unordered_map<region_id, std::uint32_t>;

using endpoint_map = std::unordered_map<endpoint_id, endpoint_entry>;

/// What a routing decision reads. Immutable but for the loads.
struct routing_snapshot {
    std::unordered_map<target, target_endpoints, target_hash> targets;
    endpoint_map endpoints;
    egress_prices egress;
};

/// Builds the group of the live endpoints among `entries`, which are of one target and one failure domain.
[[nodiscard]] std::shared_ptr<const endpoint_group> make_group(std::vector<endpoint_entry> entries);

/// Indexes endpoints by target. Groups without a change are taken over from `previous`, so that the change of
/// one endpoint costs the rebuild of one failure domain's ring.
[[nodiscard]] routing_snapshot make_snapshot(endpoint_map endpoints, egress_prices egress,
                                             const routing_snapshot& previous);

} // namespace siskinwharf::routing
