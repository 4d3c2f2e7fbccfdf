#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::routing {

/// A model version that an endpoint serves or a request asks for.
struct model_target {
    model_id model;
    std::string version;

    auto operator<=>(const model_target&) const = default;
};

/// A plain service that an endpoint serves or a request asks for.
struct service_target {
    service_id service;

    auto operator<=>(const service_target&) const = default;
};

using target = std::variant<model_target, service_target>;

/// Stable hash of a target.
[[nodiscard]] std::uint64_t hash_target(const target& value);

/// Price of one processed token, in microcents.
struct price_per_token {
    std::uint64_t microcents = 0;

    auto operator<=>(const price_per_token&) const = default;
};

/// Price of one hour of the whole endpoint, in microcents.
struct price_per_hour {
    std::uint64_t microcents = 0;

    auto operator<=>(const price_per_hour&) const = default;
};

using price = std::variant<price_per_token, price_per_hour>;

/// Whether an endpoint accepts work. An isolated endpoint runs one suspect request at a time and nothing
/// else.
enum class endpoint_state { live, leaving, isolated };

/// What is known about an endpoint apart from its load.
struct endpoint_info {
    endpoint_id id;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id domain;
    region_id region;
    target serves;
    std::uint32_t capacity = 0;                  ///< Concurrent streams.
    std::uint32_t nominal_tokens_per_second = 0; ///< With all streams in use. 0 where unknown.
    price cost;
    endpoint_state state = endpoint_state::live;
    /// Start time in the instance list, in milliseconds since the epoch. Tells an endpoint from an earlier
    /// one of the same name.
    std::uint64_t incarnation = 0;

    auto operator<=>(const endpoint_info&) const = default;
};

/// Price of one token in microcents. An hourly price is spread over the nominal token rate; without a rate it
/// counts as 1 token per second and stream, so that an endpoint of unknown speed never looks cheap.
[[nodiscard]] double microcents_per_token(const endpoint_info& info);

} // namespace siskinwharf::routing
