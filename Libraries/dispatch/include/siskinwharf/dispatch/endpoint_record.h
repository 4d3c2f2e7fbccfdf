#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/speed_evidence.h"

namespace siskinwharf::dispatch {

/// Registration of an endpoint in the list of endpoints, as written by the endpoint.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    software_version software; ///< Empty if the entry names none.
    std::string ip;
    std::uint16_t port = 0;
    failure_domain_id domain;
    region_id region;
    std::uint32_t slots = 1;      ///< Requests that the endpoint runs at the same time.
    bool is_leaving = false;      ///< The endpoint accepts no new requests.
    bool is_reclaimable = false;  ///< The platform may reclaim the instance.
    std::uint64_t sequence = 0;   ///< Number of the entry among those that the incarnation has written.
    std::uint64_t started_ms = 0; ///< Start time since the epoch; distinguishes incarnations of the same id.

    auto operator<=>(const endpoint_record&) const = default;
};

/// One part of a prompt. An engine that has cached the first parts of a prompt need not compute them again.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator<=>(const prompt_part&) const = default;
};

/// Ids of the parts in order, in hexadecimal digits and separated by commas, for log lines.
[[nodiscard]] std::string to_string(const std::vector<prompt_part>& parts);

/// Ids of all parts except the last, which no other request has.
[[nodiscard]] std::vector<std::uint64_t> shared_part_ids(const std::vector<prompt_part>& parts);

/// Resources that a request needs at an endpoint.
struct workload {
    std::uint64_t prompt_tokens = 0; ///< 0 at a service without model engines.
    std::uint64_t answer_tokens = 0; ///< Upper bound.
    std::vector<prompt_part> parts;
    std::size_t urgency = 0; ///< 0 is the most urgent.
    /// Version of the endpoints that can serve the request: the one that began its stream. What two versions
    /// write does not fit together. Missing if any can.
    std::optional<software_version> software = std::nullopt;
    /// Versions of the endpoints at which the request may begin. Missing if it may begin at any.
    std::optional<std::set<software_version>> allowed_software = std::nullopt;
};

/// Load of one process at an endpoint, as exchanged between peers.
struct endpoint_load {
    endpoint_id endpoint;
    std::uint32_t running = 0;        ///< Number of running requests.
    std::uint64_t waiting_tokens = 0; ///< Prompt tokens of requests that have had no first event.
    speed_evidence speed{};           ///< What the process measured at the endpoint.

    auto operator<=>(const endpoint_load&) const = default;
};

} // namespace siskinwharf::dispatch
