#pragma once

#include <cstdint>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/exchange/process_state.h"

namespace siskinwharf::forwarding {

/// The newest message of a peer and its age.
struct peer_view {
    const exchange::process_state* state = nullptr; ///< Null if no message was received from the peer.
    milliseconds age{0};
    bool is_alive = false;  ///< The message is recent enough to consider the peer alive.
    bool has_ended = false; ///< The message was sent before the peer restarted.
    bool is_summed = false; ///< The peer's use of quotas is part of a `use_summary`.
};

/// Use of quotas by several processes, from the newest report of a relay.
struct use_summary {
    const std::vector<exchange::account_use>* accounts = nullptr;
    std::uint32_t processes = 0;
    double coverage = 0; ///< Fraction of the quota window, 0 to 1, for which the usage is known.
    milliseconds age{0};
};

/// All that a process knows of its peers at one time.
struct deployment_view {
    std::vector<peer_view> peers;
    std::vector<use_summary> summaries;
};

} // namespace siskinwharf::forwarding
