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

/// A service other than a model that an endpoint serves or a request asks for.
struct service_target {
    service_id service;

    auto operator<=>(const service_target&) const = default;
};

/// What an endpoint serves: a model version or a service.
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

/// Whether an endpoint accepts requests. `leaving` endpoints accept no new ones. An `isolated` endpoint runs
/// one suspect request at a time and nothing else.
enum class endpoint_state { live, leaving, isolated };

/// Static description of an endpoint. Its load is in `endpoint_load`.
struct endpoint_info {
    endpoint_id id;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id domain;
    region_id region;
    target serves;
    std::uint32_t capacity = 0;                  ///< Largest number of concurrent streams.
    std::uint32_t nominal_tokens_per_second = 0; ///< Throughput at full capacity. 0 if unknown.
    price cost;
    endpoint_state state = endpoint_state::live;
    /// Start time from the instance list, in milliseconds since the epoch. Distinguishes the endpoint from an
    /// earlier one with the same name.
    std::uint64_t incarnation = 0;

    auto operator<=>(const endpoint_info&) const = default;
};

/// Price of one token in microcents. An hourly price is spread over the nominal token rate; without a rate it
/// 1 token per second and stream is assumed, so that an endpoint of unknown speed never appears cheap.
[[nodiscard]] double microcents_per_token(const endpoint_info& info);

} // namespace siskinwharf::routing
