#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/settings/socket_address.h"

namespace siskinwharf::forwarding {

/// Limits that the operators guarantee or require.
struct service_bounds {
    milliseconds stop_time{8'000}; ///< Grace period from the stop signal until the process is killed.
    double retry_ratio = 0.2;      ///< Retries allowed per request of a service.
    seconds retry_window{10};      ///< Window over which `retry_ratio` is measured.
    double retry_slack = 0;        ///< Retries that are always allowed, over all processes.
    milliseconds quota_window{8'000};
    double quota_overage = 0;  ///< Fraction of a quota by which all processes together may exceed it.
    double quota_slack = 0;    ///< Absolute amount by which all processes together may exceed a quota.
    milliseconds lease{3'000}; ///< Time within which the lease must not return to a former holder.
    milliseconds usage_window{5'000};
    milliseconds usage_due{10'000}; ///< Time from the end of a usage window until its report is due.

    auto operator<=>(const service_bounds&) const = default;
};

/// The port for requests that peers pass on is the one for messages plus this, in the whole deployment.
inline constexpr std::uint16_t relay_port_offset = 2;

/// Settings of a forwarding process.
struct process_settings {
    instance_id instance;
    failure_domain_id domain;
    region_id region;
    std::map<failure_domain_id, region_id> regions;
    settings::socket_address callers;
    settings::socket_address readiness;
    settings::socket_address peers;  ///< UDP for state messages, TCP for HTTP between processes.
    settings::socket_address relays; ///< Requests that peers without a path to endpoints pass on.
    settings::socket_address metrics;
    settings::socket_address store;
    settings::socket_address duties;
    std::vector<settings::socket_address> seeds; ///< Peers to contact at start; may be outdated.
    bool is_first_start = false;                 ///< The whole deployment starts for the first time.
    bool reports_usage = false;
    bool orders_endpoints = false;
    /// Memory with which the platform ends the process.
    std::uint64_t memory_bytes = 256'000'000;
    /// Rate of the instance's network link, in bytes a second.
    std::uint64_t link_rate = 125'000'000;
    service_bounds bounds;

    auto operator<=>(const process_settings&) const = default;
};

} // namespace siskinwharf::forwarding
