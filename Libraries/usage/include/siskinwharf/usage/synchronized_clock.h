#pragma once

#include <chrono>
#include <map>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::usage {

/// Time of day in milliseconds since the epoch.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Wall clock that a minority of wrong clocks among the processes cannot shift. It starts with the system
/// time at the start of the process, advances with the monotonic clock and is corrected by the median of the
/// clock offsets of the peers and this process.
class synchronized_clock {
public:
    synchronized_clock(wall_time start, monotonic_time now) : m_start(start), m_started(now) {}

    /// Records the uncorrected time in a peer's message, received at `now`, and updates the correction.
    void observe(const instance_id& peer, wall_time shown, monotonic_time now);
    /// Removes the offset of a peer. The correction changes with the next `observe`.
    void forget(const instance_id& peer) { m_offsets.erase(peer); }

    /// Time without the correction, for messages to peers.
    [[nodiscard]] wall_time uncorrected(monotonic_time now) const;
    /// Corrected time.
    [[nodiscard]] wall_time now(monotonic_time now) const;

private:
    wall_time m_start;
    monotonic_time m_started;
    std::map<instance_id, milliseconds> m_offsets;
    milliseconds m_correction{0};
};

} // namespace siskinwharf::usage
