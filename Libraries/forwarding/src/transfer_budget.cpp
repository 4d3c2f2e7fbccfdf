#include "siskinwharf/forwarding/transfer_budget.h"

#include <algorithm>

namespace siskinwharf::forwarding {

namespace {

/// Part of the link that transfers of the state may use; the rest is for callers and endpoints.
constexpr double link_share = 0.25;
/// Answers of this size are always sent: changes of the endpoint list must not wait for configurations.
constexpr std::uint64_t small_answer_bytes = 16U << 10U;

} // namespace

transfer_budget::transfer_budget(std::uint64_t link_rate)
    : m_rate(static_cast<double>(link_rate) * link_share), m_available(m_rate)
{
}

bool transfer_budget::try_take(std::uint64_t bytes, monotonic_time now)
{
    const std::chrono::duration<double> passed = now - m_refilled;
    m_available = std::min(m_rate, m_available + m_rate * passed.count());
    m_refilled = now;
    const auto size = static_cast<double>(bytes);
    if (bytes > small_answer_bytes && m_available < std::min(size, m_rate))
        return false;
    m_available -= size;
    return true;
}

} // namespace siskinwharf::forwarding
