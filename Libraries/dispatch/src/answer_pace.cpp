#include "siskinwharf/dispatch/answer_pace.h"

#include <cmath>

namespace siskinwharf::dispatch {

namespace {

/// The load of the engine may grow while an answer runs.
constexpr double load_growth = 1.5;

} // namespace

answer_pace::answer_number answer_pace::begin(std::uint64_t answer_tokens, monotonic_time now)
{
    m_running.insert({++m_last, {now, answer_tokens}});
    return m_last;
}

void answer_pace::end(answer_number answer, monotonic_time now)
{
    const auto found = m_running.find(answer);
    if (found == m_running.end())
        return;
    const std::chrono::duration<double, std::milli> taken = now - found->second.since;
    m_ended[m_ended_count % kept_answers] = {taken.count(), found->second.answer_tokens};
    ++m_ended_count;
    m_running.erase(found);
}

std::optional<milliseconds> answer_pace::expected(std::uint64_t answer_tokens, monotonic_time now) const
{
    // One pace from all answers together: that of a short one is mostly the time of its first event.
    double taken_ms = 0;
    std::uint64_t tokens = 0;
    for (const auto& answer : m_ended) {
        if (answer.answer_tokens == 0)
            continue;
        taken_ms += answer.taken_ms;
        tokens += answer.answer_tokens;
    }
    const auto pace = tokens == 0 ? 0 : taken_ms / static_cast<double>(tokens);
    for (const auto& [number, answer] : m_running) {
        const std::chrono::duration<double, std::milli> taken = now - answer.since;
        // A running answer that has taken longer than it was expected to shows that the pace is too fast.
        if (answer.answer_tokens == 0 || taken.count() <= pace * static_cast<double>(answer.answer_tokens))
            continue;
        taken_ms += taken.count();
        tokens += answer.answer_tokens;
    }
    if (tokens == 0 || answer_tokens == 0)
        return std::nullopt;
    const auto ms_per_token = load_growth * taken_ms / static_cast<double>(tokens);
    return milliseconds(std::llround(std::ceil(ms_per_token * static_cast<double>(answer_tokens))));
}

} // namespace siskinwharf::dispatch
