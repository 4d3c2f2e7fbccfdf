#pragma once

#include <cstdint>
#include <deque>

#include "siskinwharf/base/time.h"

namespace siskinwharf::dispatch {

/// Limit on retries of one service's requests, in a sliding window across all processes.
struct retry_limiter_settings {
    double ratio = 0.2; ///< Retries allowed for each first request.
    seconds window{10};
    /// Retries that are allowed independently of the number of requests, across all processes.
    double slack = 0;
};

/// Keeps this process's retries within its share of the limit: the ratio applied to its own requests plus an
/// equal share of the slack. The shares of all processes add up to the limit without communication.
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings settings) : m_settings(settings) {}

    /// Counts a request that is not a retry.
    void on_first_request(monotonic_time now);
    /// Counts a retry and returns true if it is allowed, or returns false. `processes` is the number of all
    /// processes, including this one.
    [[nodiscard]] bool try_repeat(std::size_t processes, monotonic_time now);
    /// Retries counted in the window.
    [[nodiscard]] std::uint64_t repeats() const { return m_repeats; }

private:
    struct slice {
        monotonic_time start;
        std::uint64_t requests = 0;
        std::uint64_t repeats = 0;
    };
    /// Drops expired slices and returns the slice for `now`.
    slice& current(monotonic_time now);

    retry_limiter_settings m_settings;
    std::deque<slice> m_slices;
    std::uint64_t m_requests = 0; ///< Sum over `m_slices`.
    std::uint64_t m_repeats = 0;  ///< Retries; sum over `m_slices`.
};

} // namespace siskinwharf::dispatch
