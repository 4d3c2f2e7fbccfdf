#include "siskinwharf/dispatch/answer_pace.h"

#include <algorithm>
#include <cmath>

namespace siskinwharf::dispatch {

namespace {

/// The load of the engine may grow while an answer runs.
constexpr double load_growth = 1.5;

} // namespace

answer_pace::answer_number answer_pace::begin(std::uint64_t answer_tokens, monotonic_time now)
{
    m_running.insert({++m_last, {now, std::max<std::uint64_t>(answer_tokens, 1)}});
    return m_last;
}

void answer_pace::end(answer_number answer, monotonic_time now)
{
    const auto found = m_running.find(answer);
    if (found == m_running.end())
        return;
    m_ended[m_ended_count % kept_answers] = ms_per_token(found->second, now);
    ++m_ended_count;
    m_running.erase(found);
}

std::optional<milliseconds> answer_pace::longest(std::uint64_t answer_tokens, monotonic_time now) const
{
    if (m_ended_count == 0 && m_running.empty())
        return std::nullopt;
    auto slowest = *std::max_element(m_ended.begin(), m_ended.end());
    for (const auto& [number, answer] : m_running)
        slowest = std::max(slowest, ms_per_token(answer, now));
    return milliseconds(std::llround(std::ceil(load_growth * slowest * static_cast<double>(answer_tokens))));
}

double answer_pace::ms_per_token(const running_answer& answer, monotonic_time now)
{
    const std::chrono::duration<double, std::milli> taken = now - answer.since;
    return taken.count() / static_cast<double>(answer.answer_tokens);
}

} // namespace siskinwharf::dispatch
