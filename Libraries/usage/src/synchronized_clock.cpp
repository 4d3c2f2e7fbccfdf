#include "siskinwharf/usage/synchronized_clock.h"

#include <algorithm>
#include <vector>

namespace siskinwharf::usage {

wall_time synchronized_clock::uncorrected(monotonic_time now) const
{
    return m_start + std::chrono::duration_cast<milliseconds>(now - m_started);
}

wall_time synchronized_clock::now(monotonic_time now) const
{
    return uncorrected(now) + m_correction;
}

void synchronized_clock::observe(const instance_id& peer, wall_time shown, monotonic_time now)
{
    m_differences[peer] = shown - uncorrected(now);
    std::vector<milliseconds> differences{milliseconds(0)};
    for (const auto& [id, difference] : m_differences)
        differences.push_back(difference);
    std::ranges::sort(differences);
    m_correction = differences[differences.size() / 2];
}

} // namespace siskinwharf::usage
