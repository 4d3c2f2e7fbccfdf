#include "siskinwharf/exchange/round_schedule.h"

#include <algorithm>

namespace siskinwharf::exchange {

std::size_t round_schedule::slices(std::size_t peers)
{
    return std::max<std::size_t>(1, (peers + slice_peers - 1) / slice_peers);
}

bool round_schedule::is_due(std::size_t position, bool is_near, std::size_t peers) const
{
    if (position % slices(peers) != m_slice)
        return false;
    // The position within the slice staggers the peers of other regions over the rounds.
    const auto turn = position / slices(peers) + m_round;
    return is_near || turn % rounds_of_other_regions == 0;
}

void round_schedule::advance(std::size_t peers)
{
    ++m_slice;
    if (m_slice < slices(peers))
        return;
    m_slice = 0;
    ++m_round;
}

} // namespace siskinwharf::exchange
