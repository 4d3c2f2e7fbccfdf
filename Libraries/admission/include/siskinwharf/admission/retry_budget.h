#pragma once

#include <atomic>
#include <cstdint>

namespace siskinwharf::admission {

/// Settings of a `retry_budget`.
struct retry_limits {
    /// Retries for each hundred first attempts. Bounds the extra load in a failure of all endpoints to this
    /// part.
    std::uint32_t percent_of_first_attempts = 10;
    /// Most retries that can be saved up, and the number at the start: a process with little load can retry
    /// too.
    std::uint32_t capacity = 20;
};

/// Token bucket that limits retries to a fixed part of the load. Needs no clock, as first attempts fill it.
/// Lock free and safe for concurrent use.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Counts a first attempt.
    void on_first_attempt() noexcept;
    /// Takes one retry out of the budget. Returns false if there is none.
    [[nodiscard]] bool try_retry() noexcept;

private:
    retry_limits m_limits;
    std::atomic<std::int64_t> m_hundredths; ///< Hundredths of a retry.
};

} // namespace siskinwharf::admission
