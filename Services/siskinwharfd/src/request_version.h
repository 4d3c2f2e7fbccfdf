#pragma once

#include <optional>
#include <vector>

#include "entry_core.h"
#include "live_request.h"

namespace siskinwharf::entry {

/// Which version of its model a request gets. It is open until the request is accepted and then stays,
/// because tokens of two versions must not be mixed in one answer. Confined to the thread of the request.
class request_version {
public:
    request_version(entry_core& core, live_request& request) : m_core(core), m_request(request) {}

    /// Chooses the version if it is still open. Returns whether it has changed.
    bool choose(const std::vector<endpoint_id>& excluded);
    /// When a wait for a slot of the chosen version ends, so that the others are considered again.
    [[nodiscard]] monotonic_time limit_of_wait(monotonic_time limit) const;
    /// Throws `request_refused` for an accepted request whose version no endpoint has had for a while.
    void refuse_if_gone(monotonic_time time);

private:
    [[nodiscard]] bool is_open() const
    {
        return m_request.current_phase() == live_request::phase::waiting &&
               !m_request.spec().versions.empty();
    }

    entry_core& m_core;
    live_request& m_request;
    /// Since when no endpoint has the version.
    std::optional<monotonic_time> m_gone_since;
};

} // namespace siskinwharf::entry
