#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_record.h"

namespace siskinwharf::dispatch {

/// Limits that endpoints have named in their responses: the requests a second that they take from all
/// processes together. Performs no I/O and reads no clock.
class endpoint_limits {
public:
    /// Records what a response of an endpoint said; nothing if it named no limit. Returns whether this is
    /// news.
    bool observe(const endpoint_record& endpoint, std::optional<double> per_second, monotonic_time now);

private:
    struct entry {
        std::uint64_t started_ms = 0; ///< Incarnation of the endpoint.
        std::optional<double> per_second;
    };

    std::unordered_map<endpoint_id, entry> m_entries;
};

} // namespace siskinwharf::dispatch
