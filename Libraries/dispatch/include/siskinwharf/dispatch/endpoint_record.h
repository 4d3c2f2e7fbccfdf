#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// What an endpoint says about itself in the list of endpoints.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    std::string ip;
    std::uint16_t port = 0;
    failure_domain_id domain;
    region_id region;
    std::uint32_t slots = 1;
    bool is_leaving = false;
    bool is_reclaimable = false;
    std::uint64_t started_ms = 0; ///< Since the epoch; tells incarnations of one id apart.

    auto operator<=>(const endpoint_record&) const = default;
};

/// One part of a prompt. Requests that share their first parts need not read these again.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator<=>(const prompt_part&) const = default;
};

/// What a request asks of an endpoint.
struct workload {
    std::uint64_t prompt_tokens = 0; ///< 0 at a plain service.
    std::uint64_t answer_tokens = 0; ///< At most.
    std::vector<prompt_part> parts;
    std::size_t urgency = 0; ///< 0 goes first.
};

/// Requests that one process has at an endpoint, as peers tell each other.
struct endpoint_load {
    endpoint_id endpoint;
    std::uint32_t running = 0;
    std::uint64_t waiting_tokens = 0; ///< Prompt tokens of requests without a first event.

    auto operator<=>(const endpoint_load&) const = default;
};

} // namespace siskinwharf::dispatch
