#pragma once

#include <atomic>
#include <cstdint>

namespace siskinwharf::admission {

/// Settings of a `retry_budget`.
struct retry_limits {
    /// Retries granted per hundred first attempts. Bounds the extra load to this share, even when all
    /// endpoints fail.
    std::uint32_t percent_of_first_attempts = 10;
    /// Size of the bucket in retries. The bucket starts full, so that a process with little load can retry,
    /// too.
    std::uint32_t capacity = 20;
};

/// Token bucket that limits retries to a fixed share of the load. First attempts refill it, so it needs no
/// clock. Lock free and safe for concurrent use.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Counts a first attempt, which adds `percent_of_first_attempts` hundredths of a retry to the budget.
    void on_first_attempt() noexcept;
    /// Takes one retry from the budget. Returns false if less than one is left.
    [[nodiscard]] bool try_retry() noexcept;

private:
    retry_limits m_limits;
    std::atomic<std::int64_t> m_available; ///< Hundredths of a retry.
};

} // namespace siskinwharf::admission
