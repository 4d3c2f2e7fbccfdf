#pragma once

#include <chrono>

namespace siskinwharf {

/// Point on the process's monotonic clock. Decision cores receive it as an argument and never read a clock.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace siskinwharf
