#pragma once

#include <chrono>

#include "siskinwharf/base/time.h"

namespace siskinwharf::forwarding {

/// A peer that has sent no message for this time is considered dead, unless it is registered in the store: it
/// may be cut off from this process and go on taking requests.
inline constexpr milliseconds dead_after{60'000};
/// A relay that has sent nothing for this time is replaced.
inline constexpr milliseconds relay_timeout{2'500};

inline milliseconds elapsed(monotonic_time from, monotonic_time until)
{
    return std::chrono::duration_cast<milliseconds>(until - from);
}

} // namespace siskinwharf::forwarding
