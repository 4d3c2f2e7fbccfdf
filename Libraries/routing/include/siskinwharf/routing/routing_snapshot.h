#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/routing/endpoint_load.h"

namespace siskinwharf::routing {

/// An endpoint in a snapshot. Its load object is shared by successive snapshots.
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
    std::uint64_t domain_key = 0; ///< Hash of the failure domain.
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
    std::uint32_t leaving = 0; ///< Number of leaving endpoints, which are in no group.
};

/// Hasher of `target` for unordered containers.
struct target_hash {
    std::size_t operator()(const target& value) const { return hash_target(value); }
};

/// Price of sending a gigabyte out of a region, in cents. Egress from a region without an entry is free.
using egress_prices = std::unordered_map<region_id, std::uint32_t>;

using endpoint_map = std::unordered_map<endpoint_id, endpoint_entry>;

/// State that routing decisions read. Immutable except for the loads.
struct routing_snapshot {
    std::unordered_map<target, target_endpoints, target_hash> targets;
    endpoint_map endpoints;
    egress_prices egress;
};

/// Builds the group and the hash ring of `entries`, which must be live endpoints of one target and one
/// failure domain.
[[nodiscard]] std::shared_ptr<const endpoint_group> make_group(std::vector<endpoint_entry> entries);

/// Indexes endpoints by target. Unchanged groups are shared with `previous`, so that changing one endpoint
/// rebuilds the hash ring of only one failure domain.
[[nodiscard]] routing_snapshot make_snapshot(endpoint_map endpoints, egress_prices egress,
                                             const routing_snapshot& previous);

} // namespace siskinwharf::routing
