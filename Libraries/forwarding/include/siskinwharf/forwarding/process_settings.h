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

/// Bounds that the operators promise or demand.
struct service_bounds {
    milliseconds stop_time{8'000}; ///< From the request to stop until the process is killed.
    double retry_ratio = 0.2;      ///< Repeats for each request of a service.
    seconds retry_window{10};
    double retry_slack = 0; ///< Repeats that are always allowed, over all processes.
    milliseconds quota_window{8'000};
    double quota_overage = 0;  ///< Share of a quota by which all processes together may exceed it.
    double quota_slack = 0;    ///< The same as an amount.
    milliseconds lease{3'000}; ///< Within which duties must not go back to a former holder.
    milliseconds usage_window{5'000};
    milliseconds usage_due{10'000}; ///< From the end of a window until its report is due.

    auto operator<=>(const service_bounds&) const = default;
};

/// Settings of a forwarding process.
struct process_settings {
    instance_id instance;
    failure_domain_id domain;
    region_id region;
    std::map<failure_domain_id, region_id> regions;
    settings::socket_address callers;
    settings::socket_address readiness;
    settings::socket_address peers; ///< UDP for states, TCP for HTTP between processes.
    settings::socket_address metrics;
    settings::socket_address store;
    settings::socket_address duties;
    std::vector<settings::socket_address> seeds; ///< Peers that may be there already. May be out of date.
    bool reports_usage = false;
    bool orders_endpoints = false;
    service_bounds bounds;

    auto operator<=>(const process_settings&) const = default;
};

} // namespace siskinwharf::forwarding
