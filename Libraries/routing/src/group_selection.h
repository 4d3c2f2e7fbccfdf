#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "siskinwharf/routing/router.h"

namespace siskinwharf::routing {

/// A request with the hashes that the selection needs, computed once for all groups.
struct prepared_request {
    const routing_request& request;
    const routing_options& options;
    const cache_hints& hints;
    monotonic_time now;
    std::uint64_t affinity_key = 0;   ///< Position on the hash ring at which the selection starts.
    std::uint64_t request_number = 0; ///< Counts the requests of the router. Rotates round robin and samples.
    std::vector<std::uint64_t> excluded_keys; ///< Hashes of the excluded endpoint ids.
};

/// An endpoint that can take a request. The entry points into the snapshot and is valid in its read section.
struct selection {
    const endpoint_entry* entry = nullptr;
    std::uint32_t cached_blocks = 0; ///< Prompt blocks cached on the endpoint according to a cache hint.
    nanoseconds first_token{0};      ///< Expected time to the first token.
};

/// Upper limit of the endpoint's streams, those of other processes included, up to which this process starts
/// new ones. Without a recent load report this is only a part of the capacity, because other entry processes
/// use the endpoint as well.
[[nodiscard]] std::uint32_t usable_capacity(const endpoint_entry& entry, const routing_options& options,
                                            monotonic_time now);

/// Selects an endpoint of one group by the configured routing policy.
class group_selection {
public:
    group_selection(const prepared_request& prepared, const endpoint_group& group, nanoseconds round_trip);

    /// An endpoint with a free slot that meets the first-token target, or nothing.
    [[nodiscard]] std::optional<selection> select();

    /// Whether `select` found any endpoint that is not excluded.
    [[nodiscard]] bool saw_endpoint() const { return m_saw_endpoint; }
    /// Whether `select` found an endpoint with a free slot that is not excluded.
    [[nodiscard]] bool saw_free_slot() const { return m_saw_free_slot; }

    std::optional<selection> operator()(const prefix_affinity& policy);
    std::optional<selection> operator()(const round_robin& policy);
    std::optional<selection> operator()(const least_in_flight& policy);

private:
    /// All endpoints of a small group, or a random run of a large one.
    [[nodiscard]] std::span<const endpoint_entry> sample() const;
    [[nodiscard]] bool excluded(const endpoint_entry& entry) const;
    /// The endpoint, or nothing if it is excluded, full or too slow for the first-token target.
    [[nodiscard]] std::optional<selection> select_if_suitable(const endpoint_entry& entry,
                                                              std::uint32_t cached_blocks = 0);
    /// The endpoint that a cache hint names for the longest prefix of the prompt, within the load bound.
    [[nodiscard]] std::optional<selection> select_hinted(double load_per_slot_limit);
    /// The next endpoint on the consistent hash ring after the affinity key, within the load bound.
    [[nodiscard]] std::optional<selection> select_on_ring(double load_per_slot_limit);

    const prepared_request& m_prepared;
    const endpoint_group& m_group;
    nanoseconds m_round_trip;
    bool m_saw_endpoint = false;
    bool m_saw_free_slot = false;
};

} // namespace siskinwharf::routing
