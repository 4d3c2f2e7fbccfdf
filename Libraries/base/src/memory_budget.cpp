#include "siskinwharf/base/memory_budget.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "siskinwharf/base/event_log.h"

namespace siskinwharf {

namespace {

/// The budget is divided into this many parts; a use leaves some of them to the uses after it.
constexpr std::uint64_t parts = 8;
constexpr std::uint64_t parts_for_bodies = 6;
constexpr std::uint64_t parts_for_answers = 7;

} // namespace

std::uint64_t memory_budget::limit_of(memory_use use) const
{
    switch (use) {
    case memory_use::body:
        return m_limit / parts * parts_for_bodies;
    case memory_use::answer:
        return m_limit / parts * parts_for_answers;
    case memory_use::request:
        break;
    }
    return m_limit;
}

bool memory_budget::try_take(std::uint64_t bytes, memory_use use, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    advance(now);
    const auto limit = limit_of(use);
    if (bytes <= limit && m_held <= limit - bytes) {
        m_held += bytes;
        return true;
    }
    if (!std::exchange(m_is_used_up, true))
        log_event(event::memory_used_up, {{"budget", std::to_string(m_limit)},
                                          {"held", std::to_string(m_held)},
                                          {"wanted", std::to_string(bytes)}});
    return false;
}

void memory_budget::give_back(std::uint64_t bytes, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    advance(now);
    m_held -= bytes;
    m_returned += bytes;
    if (m_held < m_limit / 2)
        m_is_used_up = false;
}

bool memory_budget::try_begin_wait()
{
    const std::lock_guard lock(m_mutex);
    return !std::exchange(m_has_waiter, true);
}

void memory_budget::end_wait()
{
    const std::lock_guard lock(m_mutex);
    m_has_waiter = false;
}

void memory_budget::count_refusal()
{
    const std::lock_guard lock(m_mutex);
    ++m_refusals;
}

std::uint64_t memory_budget::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

std::uint64_t memory_budget::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

milliseconds memory_budget::retry_after(std::uint64_t bytes, memory_use use, monotonic_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto limit = limit_of(use);
    const auto lacking = m_held + bytes > limit ? m_held + bytes - limit : 0;
    const auto returned = m_returned + m_returned_before;
    const auto window = half_window + std::chrono::duration_cast<milliseconds>(now - m_half_began);
    if (returned == 0 || window >= 2 * half_window + longest_retry_after)
        return longest_retry_after;
    const auto wait =
        static_cast<double>(lacking) / static_cast<double>(returned) * static_cast<double>(window.count());
    const auto bounded = std::min(wait, static_cast<double>(longest_retry_after.count()));
    return std::max(shortest_retry_after, milliseconds(static_cast<milliseconds::rep>(bounded)));
}

void memory_budget::advance(monotonic_time now)
{
    if (now - m_half_began < half_window)
        return;
    m_returned_before = now - m_half_began < 2 * half_window ? m_returned : 0;
    m_returned = 0;
    m_half_began = now;
}

memory_share::memory_share(memory_share&& other) noexcept
    : m_budget(std::move(other.m_budget)), m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

bool memory_share::try_resize(std::uint64_t bytes, memory_use use)
{
    if (m_budget && bytes > m_bytes &&
        !m_budget->try_take(bytes - m_bytes, use, std::chrono::steady_clock::now()))
        return false;
    if (m_budget && bytes < m_bytes)
        m_budget->give_back(m_bytes - bytes, std::chrono::steady_clock::now());
    m_bytes = bytes;
    return true;
}

void memory_share::release()
{
    if (m_budget && m_bytes > 0)
        m_budget->give_back(m_bytes, std::chrono::steady_clock::now());
    m_bytes = 0;
}

} // namespace siskinwharf
