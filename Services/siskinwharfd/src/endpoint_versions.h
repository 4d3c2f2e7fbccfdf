#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/peer/messages.h"
#include "siskinwharf/routing/endpoint_info.h"

namespace siskinwharf::entry {

/// A drain that the lease holder does not repeat ends after this time, so that a holder that died leaves no
/// endpoint drained. It repeats drains every second.
inline constexpr seconds drain_lifetime{5};

/// What the lease holder of the own failure domain says about its model engines: which version each serves,
/// and which are drained for a change. The instance list knows neither. Confined to the control thread.
class endpoint_versions {
public:
    /// What a state has changed.
    struct changes {
        std::set<endpoint_id> changed;                 ///< Version or drain.
        std::map<endpoint_id, monotonic_time> drained; ///< Began; streams must be elsewhere by this time.
        std::set<endpoint_id> restored;                ///< No longer drained.
    };

    /// Takes in a state; what is older than what is known is ignored.
    [[nodiscard]] changes apply(const peer::rollout_state& state, monotonic_time now);
    /// Ends drains that were not repeated.
    [[nodiscard]] changes expire(monotonic_time now);
    /// Corrects an endpoint of the instance list.
    void correct(routing::endpoint_info& info) const;
    /// Forgets all endpoints but these.
    void retain(const std::set<endpoint_id>& listed);

private:
    struct known_endpoint {
        std::uint64_t fencing = 0;
        std::uint64_t sequence = 0;
        routing::model_target serves;
        std::optional<monotonic_time> drained_at; ///< When the drain was last repeated.
    };

    std::map<endpoint_id, known_endpoint> m_endpoints;
};

} // namespace siskinwharf::entry
