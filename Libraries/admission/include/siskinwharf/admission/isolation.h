#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"

namespace siskinwharf::admission {

/// The load of an endpoint, as input of `plan_isolation`. A suspect is a request that was running when an
/// endpoint crashed (`content_status::suspect`); it may run only as the only request of an endpoint.
struct isolation_endpoint {
    endpoint_id endpoint;
    std::uint32_t in_flight = 0;        ///< Running requests, including a suspect.
    std::optional<content_key> suspect; ///< The suspect that it runs, if any.
    bool reserved = false;              ///< Whether the previous plan reserved it.

    auto operator<=>(const isolation_endpoint&) const = default;
};

/// Permission to start a suspect now, as the only request on the endpoint.
struct isolated_run {
    content_key suspect;
    endpoint_id endpoint;

    auto operator<=>(const isolated_run&) const = default;
};

/// Placement of suspects. Healthy requests, which are all that are not suspects, must not be sent to reserved
/// endpoints.
struct isolation_plan {
    std::vector<isolated_run> runs;
    /// Sorted. Endpoints that run a suspect, are to start one now, or drain their requests so that they can.
    std::vector<endpoint_id> reserved;

    auto operator<=>(const isolation_plan&) const = default;
};

/// Settings of `plan_isolation`.
struct isolation_limits {
    /// Largest share of the endpoints that may be reserved, in percent; at least one endpoint always may be.
    /// Protects the capacity for healthy requests when many suspects appear at once, as after the loss of a
    /// rack.
    unsigned maximum_percent = 25;
};

/// Decides which suspects may run now. `waiting` is in order of arrival; `endpoints` are those able to serve
/// the suspects. A suspect starts on an idle endpoint; if there is none, the least loaded endpoints are
/// reserved so that they drain. Duplicates of a suspect, which have the same `content_key`, never run at the
/// same time, because they could crash several endpoints at once.
[[nodiscard]] isolation_plan plan_isolation(const std::vector<content_key>& waiting,
                                            const std::vector<isolation_endpoint>& endpoints,
                                            const isolation_limits& limits);

} // namespace siskinwharf::admission
