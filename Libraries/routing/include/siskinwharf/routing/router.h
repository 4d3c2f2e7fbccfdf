#pragma once

#include <atomic>
#include <memory>

#include "siskinwharf/routing/cache_hints.h"
#include "siskinwharf/routing/routing_policy.h"
#include "siskinwharf/routing/routing_request.h"
#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::routing {

/// Settings of a deployment for routing decisions.
struct routing_options {
    routing_policy policy = prefix_affinity{};
    nanoseconds round_trip_in_domain = microseconds(200);
    nanoseconds round_trip_in_region = milliseconds(1);
    nanoseconds round_trip_to_region = milliseconds(80);
    std::uint32_t prompt_tokens_per_block = 64; ///< Block size of `routing_request::prefix_hashes`.
    std::uint32_t bytes_per_prompt_token = 4;
    std::uint32_t bytes_per_output_token = 48; ///< One JSON line of the endpoint protocol.
    /// Fraction by which another region must be cheaper to be chosen. Prevents small price changes from
    /// shifting traffic away from warm caches.
    double required_price_advantage = 0.1;
    std::size_t cache_hint_slots = 1U << 16U; ///< 32 bytes each.
    /// Age up to which a load report is trusted for the streams of other processes on a model endpoint. In
    /// large failure domains the digests of peers are up to 3.5 s old.
    nanoseconds report_lifetime = seconds(5);
    /// Without a load report within `report_lifetime`, a process uses only capacity / divisor streams of a
    /// model endpoint, at least one. 1 means the whole capacity.
    std::uint32_t unreported_capacity_divisor = 1;
};

/// Change in the prefix cache of an endpoint, as the endpoint reports it.
struct cache_event {
    enum class change { stored, evicted };

    endpoint_id endpoint;
    std::uint64_t sequence = 0; ///< Increases by one with each event of an endpoint.
    change kind = change::stored;
    std::vector<std::uint64_t> prefix_hashes;
};

/// Chooses endpoints for requests. Thread-safe; a decision takes no lock.
class router {
public:
    router(routing_table& table, const routing_options& options);

    /// Chooses an endpoint and acquires one of its slots, or returns the reason why none can be used.
    [[nodiscard]] routing_decision choose(const routing_request& request, monotonic_time now);

    /// Updates the cache hints. Returns false if the endpoint is unknown or the sequence number is not newer.
    bool apply(const cache_event& event);

    /// Price of sending the request to an endpoint, in microcents: its tokens and the egress between regions
    /// in both directions.
    [[nodiscard]] double price_of(const routing_request& request, const endpoint_info& endpoint) const;

private:
    routing_table& m_table;
    const routing_options m_options;
    cache_hints m_hints;
    std::atomic<std::uint64_t> m_request_number{0};
};

} // namespace siskinwharf::routing
