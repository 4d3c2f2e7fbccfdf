#include "siskinwharf/sheet/poll_schedule.h"

#include <algorithm>

namespace siskinwharf::sheet {

namespace {

nanoseconds with_jitter(nanoseconds duration, std::uint64_t random)
{
    const nanoseconds half_width = duration * poll_schedule::jitter_percent / 100;
    const auto width = static_cast<std::uint64_t>(2 * half_width.count()) + 1;
    return duration - half_width + nanoseconds(random % width);
}

} // namespace

void poll_schedule::on_answer(monotonic_time now, std::uint64_t random)
{
    m_period = period;
    m_is_failing = false;
    m_next = now + with_jitter(m_period, random);
}

void poll_schedule::on_no_answer(monotonic_time now, std::uint64_t random)
{
    // The first failure is retried after the usual period; it may have been a single lost answer.
    m_period = m_is_failing ? std::min(m_period * 2, max_period) : period;
    m_is_failing = true;
    m_next = now + with_jitter(m_period, random);
}

void poll_schedule::expedite(monotonic_time now, std::uint64_t random)
{
    if (m_is_failing)
        return;
    const auto width = static_cast<std::uint64_t>(nanoseconds(expedite_limit).count());
    m_next = std::min(m_next, now + nanoseconds(random % width));
}

} // namespace siskinwharf::sheet
