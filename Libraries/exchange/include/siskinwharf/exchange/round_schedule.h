#pragma once

#include <cstddef>

namespace siskinwharf::exchange {

/// Schedule of state messages to peers. A round contains each peer of the same region once and each peer of
/// another region in every third round, because traffic between regions is billed. A round is sent in slices
/// that fit into the queue of a slow link; in a single burst the last messages would be lost each time.
class round_schedule {
public:
    /// Number of peers in a slice.
    static constexpr std::size_t slice_peers = 6;
    static constexpr std::size_t rounds_of_other_regions = 3;

    /// Number of slices in a round, at least 1.
    [[nodiscard]] static std::size_t slices(std::size_t peers);

    /// Whether the current slice contains a message to the peer at `position`.
    [[nodiscard]] bool is_due(std::size_t position, bool is_near, std::size_t peers) const;
    [[nodiscard]] bool begins_round() const { return m_slice == 0; }
    void advance(std::size_t peers);

private:
    std::size_t m_slice = 0;
    std::size_t m_round = 0;
};

} // namespace siskinwharf::exchange
