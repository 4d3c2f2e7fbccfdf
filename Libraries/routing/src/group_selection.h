#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "siskinwharf/routing/router.h"

namespace siskinwharf::routing {

/// A request prepared for the selection, so that hashes are computed once for all groups.
struct prepared_request {
    const routing_request& request;
    const routing_options& options;
    const cache_hints& hints;
    monotonic_time now;
    std::uint64_t affinity_key = 0;
    std::uint64_t request_number = 0;
    std::vector<std::uint64_t> excluded_keys;
};

/// An endpoint that can take a request.
struct selection {
    const endpoint_entry* entry = nullptr;
    std::uint32_t cached_blocks = 0;
    nanoseconds first_token{0};
};

/// Streams that this process may have on an endpoint. Other entry processes send work to it as well; a
/// process that has no recent report of them must not count on the whole capacity.
[[nodiscard]] std::uint32_t usable_capacity(const endpoint_entry& entry, const routing_options& options,
                                            monotonic_time now);

/// Selects an endpoint of one group by the policy in force.
class group_selection {
public:
    group_selection(const prepared_request& prepared, const endpoint_group& group, nanoseconds round_trip);

    /// An endpoint with a free slot that meets the first-token target, or nothing.
    [[nodiscard]] std::optional<selection> select();

    /// Whether an endpoint that is not excluded was seen at all, and whether one had a free slot.
    [[nodiscard]] bool saw_endpoint() const { return m_saw_endpoint; }
    [[nodiscard]] bool saw_free_slot() const { return m_saw_free_slot; }

    std::optional<selection> operator()(const prefix_affinity& policy);
    std::optional<selection> operator()(const round_robin& policy);
    std::optional<selection> operator()(const least_in_flight& policy);

private:
    [[nodiscard]] std::span<const endpoint_entry> sample() const;
    [[nodiscard]] bool excluded(const endpoint_entry& entry) const;
    [[nodiscard]] std::optional<selection> consider(const endpoint_entry& entry,
                                                    std::uint32_t cached_blocks = 0);
    [[nodiscard]] std::optional<selection> select_hinted(double load_for_each_slot);
    [[nodiscard]] std::optional<selection> select_on_ring(double load_for_each_slot);

    const prepared_request& m_prepared;
    const endpoint_group& m_group;
    nanoseconds m_round_trip;
    bool m_saw_endpoint = false;
    bool m_saw_free_slot = false;
};

} // namespace siskinwharf::routing
