#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"

namespace siskinwharf::admission {

/// What an endpoint is running.
struct isolation_endpoint {
    endpoint_id endpoint;
    std::uint32_t in_flight = 0;        ///< Requests, with the suspect.
    std::optional<content_key> suspect; ///< The suspect it runs, if any.
    bool reserved = false;              ///< By the last plan.

    auto operator<=>(const isolation_endpoint&) const = default;
};

/// A suspect that may run now, alone on this endpoint.
struct isolated_run {
    content_key suspect;
    endpoint_id endpoint;

    auto operator<=>(const isolated_run&) const = default;
};

/// What to do with suspects. No healthy request may be sent to a reserved endpoint.
struct isolation_plan {
    std::vector<isolated_run> runs;
    std::vector<endpoint_id> reserved; ///< Sorted. Those that run a suspect, start one or drain for one.

    auto operator<=>(const isolation_plan&) const = default;
};

/// Settings of `plan_isolation`.
struct isolation_limits {
    /// Largest part of the endpoints that is reserved, so that many suspects at once, as after the loss of a
    /// rack, do not take the capacity of healthy requests. At least one endpoint can be reserved.
    unsigned maximum_percent = 25;
};

/// Decides which suspects may run now. `waiting` is in the order of arrival; the endpoints are those that can
/// serve the suspects. A suspect starts on an endpoint that runs nothing; if there is none, the least loaded
/// endpoints are reserved so that they drain. Copies of one suspect never run at the same time, because they
/// would crash two endpoints at once.
[[nodiscard]] isolation_plan plan_isolation(const std::vector<content_key>& waiting,
                                            const std::vector<isolation_endpoint>& endpoints,
                                            const isolation_limits& limits);

} // namespace siskinwharf::admission
