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
    m_offsets[peer] = shown - uncorrected(now);
    std::vector<milliseconds> offsets{milliseconds(0)};
    for (const auto& [id, offset] : m_offsets)
        offsets.push_back(offset);
    std::ranges::sort(offsets);
    m_correction = offsets[offsets.size() / 2];
}

} // namespace siskinwharf::usage
