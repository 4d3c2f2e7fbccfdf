#include "siskinwharf/dispatch/retry_limiter.h"

#include <algorithm>

namespace siskinwharf::dispatch {

namespace {

constexpr milliseconds slice_length{500};
/// Fraction of the limit that is used. The rest covers requests that are counted in a different window than
/// their retries.
constexpr double used_share = 0.6;

} // namespace

retry_limiter::slice& retry_limiter::current(monotonic_time now)
{
    while (!m_slices.empty() && m_slices.front().start + m_settings.window + slice_length < now) {
        m_requests -= m_slices.front().requests;
        m_repeats -= m_slices.front().repeats;
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().start + slice_length <= now)
        m_slices.push_back({now, 0, 0});
    return m_slices.back();
}

void retry_limiter::on_first_request(monotonic_time now)
{
    ++current(now).requests;
    ++m_requests;
}

bool retry_limiter::try_repeat(std::size_t processes, monotonic_time now)
{
    auto& newest = current(now);
    const auto slack = m_settings.slack / static_cast<double>(std::max<std::size_t>(processes, 1));
    const auto allowed = used_share * (m_settings.ratio * static_cast<double>(m_requests) + slack);
    if (static_cast<double>(m_repeats + 1) > allowed)
        return false;
    ++newest.repeats;
    ++m_repeats;
    return true;
}

} // namespace siskinwharf::dispatch
