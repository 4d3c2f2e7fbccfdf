#pragma once

#include <cstdint>
#include <deque>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// Bound on repeated requests of one service, in a sliding window over all processes.
struct retry_limiter_settings {
    double ratio = 0.2; ///< Repeats for each first request.
    seconds window{10};
    double slack = 0; ///< Repeats that are always allowed, over all processes.
};

/// Keeps this process's repeats within its part of the bound: the ratio of its own requests and an equal part
/// of the slack. The parts of all processes add up to the bound without any exchange.
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings bound) : m_bound(bound) {}

    void on_first_request(monotonic_time now);
    /// Counts a repeat and returns true if it is allowed with `processes` processes in all.
    [[nodiscard]] bool try_repeat(std::size_t processes, monotonic_time now);
    [[nodiscard]] std::uint64_t repeats() const { return m_repeats; }

private:
    struct slice {
        monotonic_time start;
        std::uint64_t requests = 0;
        std::uint64_t repeats = 0;
    };
    slice& current(monotonic_time now);

    retry_limiter_settings m_bound;
    std::deque<slice> m_slices;
    std::uint64_t m_requests = 0; ///< In `m_slices`.
    std::uint64_t m_repeats = 0;
};

} // namespace siskinwharf::dispatch
