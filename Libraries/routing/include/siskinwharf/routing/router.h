#pragma once

#include <atomic>
#include <memory>

#include "siskinwharf/routing/cache_hints.h"
#include "siskinwharf/routing/routing_policy.h"
#include "siskinwharf/routing/routing_request.h"
#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::routing {

/// Constants of a deployment that routing decisions use.
struct routing_options {
    routing_policy policy = prefix_affinity{};
    nanoseconds round_trip_in_domain = microseconds(200);
    nanoseconds round_trip_in_region = milliseconds(1);
    nanoseconds round_trip_to_region = milliseconds(80);
    std::uint32_t prompt_tokens_per_block = 64;
    std::uint32_t bytes_per_prompt_token = 4;
    std::uint32_t bytes_per_output_token = 48; ///< One JSON line of the endpoint protocol.
    /// Another region must be cheaper by this share, so that small price changes do not move caches around.
    double required_price_advantage = 0.1;
    std::size_t cache_hint_slots = 1U << 16U; ///< 32 bytes each.
    /// Without a load report of this age a process does not know how many streams of others an engine runs.
    /// In large failure domains the digests of peers are up to 3.5 s old.
    nanoseconds report_lifetime = seconds(5);
    /// Part of an engine's capacity that one process uses without such a report: capacity / divisor, at least
    /// one stream. 1 means all of it.
    std::uint32_t unreported_capacity_divisor = 1;
};

/// What an endpoint says about its prefix cache.
struct cache_event {
    enum class change { stored, evicted };

    endpoint_id endpoint;
    std::uint64_t sequence = 0; ///< Rises by one with each event of an endpoint.
    change kind = change::stored;
    std::vector<std::uint64_t> prefix_hashes;
};

/// Chooses endpoints for requests. Usable from several threads; a decision takes no lock.
class router {
public:
    router(routing_table& table, const routing_options& options);

    /// Chooses an endpoint and takes one of its slots, or says why there is none.
    [[nodiscard]] routing_decision choose(const routing_request& request, monotonic_time now);

    /// Takes in a cache event. Returns false for one of an unknown endpoint or an old sequence number.
    bool apply(const cache_event& event);

    /// Price of sending the request to an endpoint, in microcents: its tokens, and the volume that crosses a
    /// region border in both directions.
    [[nodiscard]] double price_of(const routing_request& request, const endpoint_info& endpoint) const;

private:
    routing_table& m_table;
    const routing_options m_options;
    cache_hints m_hints;
    std::atomic<std::uint64_t> m_request_number{0};
};

} // namespace siskinwharf::routing
