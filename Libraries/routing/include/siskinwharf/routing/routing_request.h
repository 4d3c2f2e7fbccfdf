#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/endpoint_info.h"
#include "siskinwharf/routing/in_flight_guard.h"

namespace siskinwharf::routing {

/// What a routing decision needs to know about a request.
struct routing_request {
    account_id account;
    target serves;
    region_id region;         ///< Of the entry process.
    failure_domain_id domain; ///< Of the entry process.
    /// One hash for each full block of the prompt, over everything from the prompt's start to the block's
    /// end, so that equal prefixes have equal hashes.
    std::vector<std::uint64_t> prefix_hashes;
    std::uint32_t prompt_tokens = 0;   ///< Estimate.
    std::uint32_t output_tokens = 0;   ///< Estimate.
    nanoseconds first_token_target{0}; ///< 0 means none.
    std::vector<endpoint_id> excluded;
    bool isolated = false; ///< A suspect, which needs an isolated endpoint to itself.
};

/// The endpoint to send the request to. Its slot is held while `guard` lives.
struct chosen_endpoint {
    std::shared_ptr<const endpoint_info> endpoint;
    in_flight_guard guard;
    std::uint32_t cached_blocks = 0; ///< Blocks of the prompt that a cache hint promises.
    nanoseconds expected_first_token{0};
};

/// Why no endpoint was chosen.
enum class no_endpoint {
    no_endpoint_for_target, ///< Nothing serves the target, or everything that does is excluded.
    all_full,               ///< No endpoint that may be used has a free slot.
    all_leaving,            ///< Every endpoint of the target is leaving.
    target_cannot_be_met,   ///< There are free slots, but none yields the first token in time.
};

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

using routing_decision = std::variant<chosen_endpoint, no_endpoint>;

} // namespace siskinwharf::routing
