#pragma once

#include <chrono>
#include <map>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::usage {

/// Time of day in milliseconds since the epoch.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Time of day that a minority of wrong clocks cannot move: the time at the process's start carried on by the
/// monotonic clock, corrected by the median of the differences to the peers.
class synchronized_clock {
public:
    synchronized_clock(wall_time start, monotonic_time now) : m_start(start), m_started(now) {}

    /// What a peer's uncorrected clock showed when its message arrived.
    void observe(const instance_id& peer, wall_time shown, monotonic_time now);
    void forget(const instance_id& peer) { m_differences.erase(peer); }

    /// This process's own clock without the correction, for messages to peers.
    [[nodiscard]] wall_time uncorrected(monotonic_time now) const;
    [[nodiscard]] wall_time now(monotonic_time now) const;

private:
    wall_time m_start;
    monotonic_time m_started;
    std::map<instance_id, milliseconds> m_differences;
    milliseconds m_correction{0};
};

} // namespace siskinwharf::usage
