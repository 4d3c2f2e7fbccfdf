#include "siskinwharf/dispatch/answer_pace.h"

#include <algorithm>
#include <cmath>

namespace siskinwharf::dispatch {

namespace {

/// The load of the engine may grow while an answer runs.
constexpr double load_growth = 1.5;

} // namespace

void answer_pace::add(milliseconds taken, std::uint64_t answer_tokens)
{
    if (answer_tokens == 0)
        return;
    m_ms_per_token[m_count % kept_answers] =
        static_cast<double>(taken.count()) / static_cast<double>(answer_tokens);
    ++m_count;
}

std::optional<milliseconds> answer_pace::longest(std::uint64_t answer_tokens) const
{
    if (m_count == 0)
        return std::nullopt;
    // Places that no answer has filled hold 0.
    const auto slowest = *std::max_element(m_ms_per_token.begin(), m_ms_per_token.end());
    return milliseconds(std::llround(std::ceil(load_growth * slowest * static_cast<double>(answer_tokens))));
}

} // namespace siskinwharf::dispatch
