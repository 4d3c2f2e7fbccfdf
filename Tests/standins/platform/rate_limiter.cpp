#include "rate_limiter.h"

#include <algorithm>

namespace siskinwharf::standins {

namespace {

constexpr double burst_seconds = 0.2;

} // namespace

rate_limiter::rate_limiter(double per_second)
    : m_per_second(per_second), m_burst(std::max(per_second * burst_seconds, 1.0)), m_available(m_burst)
{
}

bool rate_limiter::take(monotonic_time now)
{
    if (m_per_second <= 0)
        return true;
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_last = now;
    m_available = std::min(m_available + elapsed * m_per_second, m_burst);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace siskinwharf::standins
