#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::entry {

/// Numbers the unannounced deaths of endpoints. The requests that an endpoint ran find out about its death
/// one after the other; all of them must count the same crash. Safe for concurrent use.
class crash_log {
public:
    /// A request has lost its endpoint. Returns the number of the crash, or nothing if the endpoint was
    /// expected to go away: then its end says nothing about the requests that it ran.
    [[nodiscard]] std::optional<admission::crash_number>
    on_lost(const endpoint_id& endpoint, const routing::routing_table& table, monotonic_time now,
            std::chrono::system_clock::time_point wall_time);

private:
    struct crash {
        endpoint_id endpoint;
        admission::crash_number number = 0;
        monotonic_time time;
    };

    std::mutex m_mutex;
    std::vector<crash> m_recent;
};

} // namespace siskinwharf::entry
