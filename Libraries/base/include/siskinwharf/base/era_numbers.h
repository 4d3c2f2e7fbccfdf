#pragma once

#include <cstdint>

namespace siskinwharf {

/// Binary digits of the numbers that are given in one era of a store.
inline constexpr unsigned era_number_bits = 20;

/// The highest number that may have been given before an era of a store began. Numbers that rise, such as
/// versions and fencing tokens, are given above it, so that one which a restore of the store has lost is
/// never given again.
[[nodiscard]] constexpr std::uint64_t last_number_before_era(std::uint64_t era)
{
    return era << era_number_bits;
}

} // namespace siskinwharf
