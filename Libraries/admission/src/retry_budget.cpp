#include "siskinwharf/admission/retry_budget.h"

#include <algorithm>

namespace siskinwharf::admission {

namespace {

static_assert(std::atomic<std::int64_t>::is_always_lock_free);

constexpr std::int64_t hundredths_per_retry = 100;

} // namespace

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits), m_available(std::int64_t{limits.capacity} * hundredths_per_retry)
{
}

void retry_budget::on_first_attempt() noexcept
{
    const std::int64_t full = std::int64_t{m_limits.capacity} * hundredths_per_retry;
    std::int64_t current = m_available.load(std::memory_order_relaxed);
    // In the common case of a full bucket, the counter is only read, to avoid contention on its cache line.
    while (current < full) {
        const std::int64_t next = std::min(full, current + m_limits.percent_of_first_attempts);
        if (m_available.compare_exchange_weak(current, next, std::memory_order_relaxed))
            return;
    }
}

bool retry_budget::try_retry() noexcept
{
    std::int64_t current = m_available.load(std::memory_order_relaxed);
    while (current >= hundredths_per_retry) {
        if (m_available.compare_exchange_weak(current, current - hundredths_per_retry,
                                              std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace siskinwharf::admission
