#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "siskinwharf/admission/quarantine.h"
#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/routing/routing_table.h"

namespace siskinwharf::entry {

/// Number of the death of this endpoint in its present incarnation: the same at all entry processes, and
/// another one after a restart under the same name.
[[nodiscard]] admission::crash_id crash_number_of(const routing::endpoint_info& endpoint);

/// Numbers the unannounced deaths of endpoints. The requests that an endpoint ran find out about its death
/// one after the other; all of them must count the same crash. Safe for concurrent use.
class crash_log {
public:
    /// A request has lost its endpoint, given as it was when the request began there. Returns the number of
    /// the crash, or nothing if the endpoint was expected to go away: then its end says nothing about the
    /// requests that it ran.
    [[nodiscard]] std::optional<admission::crash_id>
    on_lost(const routing::endpoint_info& endpoint, const routing::routing_table& table, monotonic_time now);
    /// A probe or a peer has found an endpoint dead. Must be called before the routing table marks it as
    /// leaving: the requests of this process that lose it later would otherwise escape suspicion.
    void note_death(const endpoint_id& endpoint, const routing::routing_table& table, monotonic_time now);

private:
    struct crash {
        admission::crash_id number = 0;
        monotonic_time time;
    };

    /// Forgets old crashes. The caller holds the mutex.
    [[nodiscard]] bool is_recent(admission::crash_id number, monotonic_time now);

    std::mutex m_mutex;
    std::vector<crash> m_recent;
};

} // namespace siskinwharf::entry
