#pragma once

#include <chrono>
#include <cstdint>

#include "siskinwharf/base/time.h"

namespace siskinwharf::entry {

/// Milliseconds since the epoch, by the wall clock.
[[nodiscard]] inline std::uint64_t unix_milliseconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

} // namespace siskinwharf::entry
