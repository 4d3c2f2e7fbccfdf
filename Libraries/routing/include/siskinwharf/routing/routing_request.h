#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/routing/in_flight_guard.h"

namespace siskinwharf::routing {

/// Properties of a request that a routing decision uses.
struct routing_request {
    account_id account;
    target serves;
    region_id region;         ///< Of the entry process.
    failure_domain_id domain; ///< Of the entry process.
    /// One hash per full block of the prompt. Each covers the prompt from its start to the end of the block,
    /// so equal prefixes have equal hashes.
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t prompt_tokens = 0;   ///< Estimate.
    std::uint32_t output_tokens = 0;   ///< Estimate.
    nanoseconds first_token_target{0}; ///< Longest time to the first token. 0 means no limit.
    std::vector<endpoint_id> excluded; ///< Endpoints that must not be chosen.
    bool isolated = false;             ///< A suspect request, which must run alone on an isolated endpoint.
};

/// The endpoint that a request is sent to. `guard` owns its slot.
struct chosen_endpoint {
    std::shared_ptr<const endpoint_info> endpoint;
    in_flight_guard guard;
    std::uint32_t cached_blocks = 0; ///< Prompt blocks cached there according to a hint.
    nanoseconds expected_first_token{0};
};

/// Why no endpoint was chosen.
enum class no_endpoint {
    no_endpoint_for_target, ///< No endpoint serves the target, or all that do are excluded.
    all_full,               ///< Every endpoint that is not excluded is full.
    all_leaving,            ///< Every endpoint of the target is leaving.
    target_cannot_be_met,   ///< No endpoint with a free slot meets the first-token target.
};

/// Name of the enumerator.
[[nodiscard]] constexpr std::string_view to_string(no_endpoint reason)
{
    switch (reason) {
    case no_endpoint::no_endpoint_for_target:
        return "no_endpoint_for_target";
    case no_endpoint::all_full:
        return "all_full";
    case no_endpoint::all_leaving:
        return "all_leaving";
    case no_endpoint::target_cannot_be_met:
        return "target_cannot_be_met";
    }
    return "unknown";
}

/// The chosen endpoint, or the reason why there is none.
using routing_decision = std::variant<chosen_endpoint, no_endpoint>;

} // namespace siskinwharf::routing
