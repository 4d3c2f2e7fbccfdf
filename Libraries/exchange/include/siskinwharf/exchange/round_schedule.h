#pragma once

#include <cstddef>

namespace siskinwharf::exchange {

/// When a process tells its state to which of its peers. A round reaches each near peer once and each peer of
/// another region in every third round, because traffic between regions is billed. A round is sent in slices,
/// so that it fits into the queue of a slow link: what comes last in a burst would be lost each time.
class round_schedule {
public:
    /// Peers of one slice.
    static constexpr std::size_t slice_peers = 6;
    static constexpr std::size_t rounds_of_other_regions = 3;

    /// Slices of a round with this many peers, at least 1.
    [[nodiscard]] static std::size_t slices(std::size_t peers);

    /// Whether the peer with this position is told in the present slice.
    [[nodiscard]] bool is_due(std::size_t position, bool is_near, std::size_t peers) const;
    [[nodiscard]] bool begins_round() const { return m_slice == 0; }
    void advance(std::size_t peers);

private:
    std::size_t m_slice = 0;
    std::size_t m_round = 0;
};

} // namespace siskinwharf::exchange
