#include "siskinwharf/dispatch/sliding_sum.h"

namespace siskinwharf::dispatch {

void sliding_sum::add(double amount, monotonic_time now)
{
    while (!m_slices.empty() && m_slices.front().start + m_span + slice_length < now)
        m_slices.pop_front();
    if (m_slices.empty() || m_slices.back().start + slice_length <= now)
        m_slices.push_back({now, 0});
    m_slices.back().amount += amount;
}

double sliding_sum::since(monotonic_time first) const
{
    double sum = 0;
    for (const auto& entry : m_slices) {
        if (entry.start >= first)
            sum += entry.amount;
    }
    return sum;
}

double sliding_sum::per_second(milliseconds span, monotonic_time now) const
{
    return since(now - span) / std::chrono::duration<double>(span).count();
}

} // namespace siskinwharf::dispatch
